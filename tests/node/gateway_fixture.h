// Test fixture: the HTTP gateway in one event loop with fake clients, model servers and discovery.
#pragma once

#include <cassert>
#include <cstdio>
#include <cstdlib>

#include "fakes/fake_platform.h"
#include "node/node.h"
#include "stalled_peers.h"

namespace copperfront {

constexpr Duration ms(std::int64_t x) { return {x * 1000}; }

inline const char* const kSettings =
    R"("settings":{"azs":["z"],"zone":"z","balancers":1,"models":["reader","writer"],
 "family-info":{"role-by-kind":["read","write"],"tokens-by-kind":[100000,100000],"release-ms":1000,"token-aim-ms":[60]},
 "limits":{"cancel":true,"max-attempts":6,"retry-after":true,"max-retry-after-ms":1000,"conn-idle-ms":15000,
  "connect-timeout-ms":250,"most-held":500},
 "profiles":[{"name":"help","target-ms":1000,"deadline-ms":2000,"effect":"repeatable","stream":true}],
 "realms":[{"name":"acme","quota-per-s":500}],"quantum-ms":4,
 "safety":{"fall-ms":3000,"tip-multiple":2.5,"start-capacity":0.3,"warm-within-ms":14000}})";

inline platform::NodeTerms terms_for(const std::string& discovery, const std::string& known,
                                     std::size_t sockets, const std::string& settings = kSettings) {
    return platform::read_node_terms(
        R"({"name":"n1","listen":"127.0.0.1:0","seed":"1","limits":{"memory_mb":64,"sockets":)" +
            std::to_string(sockets) + R"(},"discovery":")" + discovery + R"(","known":)" + known + "," +
            settings + "}",
        [](const char*) { return std::string(); });
}

// A client that stores all bytes it receives.
struct Client : Stream::Owner {
    Loop& loop;
    std::unique_ptr<Stream> stream;
    std::string received;
    bool closed = false;
    CloseReason close_reason = CloseReason::peer_closed;
    Instant closed_at;

    Client(Loop& l, const Address& to) : loop(l) { stream = Stream::dial(l, to, {0, 0}, *this); }
    ~Client() override { Stream::detach_and_close(loop, std::move(stream), false); }
    void stream_connected(Stream&) override {}
    void bytes_received(Stream& s) override {
        while (s.buffered() > 0) {
            received.append(s.front());
            s.drain(s.front().size());
        }
    }
    void stream_closed(Stream&, CloseReason reason, const std::string&) override {
        closed = true;
        close_reason = reason;
        closed_at = loop.now();
    }
    void send(const std::string& text) { stream->send(text); }
    void disconnect() { Stream::detach_and_close(loop, std::move(stream), false); }
    int status() const { return received.size() < 12 ? 0 : std::atoi(received.c_str() + 9); }
    bool is_complete() const {
        return received.find("data: [DONE]\n\n") != std::string::npos &&
               received.find("\r\n0\r\n\r\n") != std::string::npos;
    }
    std::size_t response_count() const {
        std::size_t n = 0;
        for (std::size_t at = 0; (at = received.find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++n;
        return n;
    }
};

struct GatewayFixture {
    Loop loop;
    Log log{"error", "json", "", 1 << 20, 1};
    fake_server::FakePlatform platform;
    const std::string settings;
    std::unique_ptr<Node> node;
    std::uint64_t next_id = 1;

    explicit GatewayFixture(std::size_t sockets = 256, fake_server::FakePlatform::ServiceTimes shape = {},
                            const std::string& node_settings = kSettings)
        : platform(loop, shape), settings(node_settings) {
        platform.add("r1", Role::prefill, "z", 1);
        platform.add("w1", Role::decode, "z", 1);
        start(sockets);
    }
    void start(std::size_t sockets) {
        node = std::make_unique<Node>(
            loop, terms_for(platform.discovery().text(), platform.list_json(), sockets, settings), log);
    }
    std::unique_ptr<Client> client() { return std::make_unique<Client>(loop, node->address()); }

    // Runs the loop until the condition holds; fails the test if it does not hold within the limit.
    template <class Condition>
    void wait_until(const char* description, Condition condition, Duration limit = ms(15000)) {
        bool timed_out = false;
        Timer timeout(loop, [&] {
            timed_out = true;
            loop.stop();
        });
        timeout.set(limit);
        bool done = condition();
        while (!done && !timed_out) {
            Timer poll(loop, [&] {
                done = condition();
                loop.stop();
            });
            poll.set(ms(2));
            loop.run();
        }
        if (!done) std::fprintf(stderr, "condition not reached: %s\n", description);
        assert(done);
    }
    void run_for(Duration span) {
        const Instant end = loop.now() + span;
        wait_until(
            "the time has passed", [&] { return loop.now() >= end; }, span + ms(5000));
    }
    std::string request_text(const std::string& id, const std::string& left = "2000",
                             const std::string& extra_fields = "") {
        return request_text_with_content(id, "hello there", left, extra_fields);
    }
    std::string request_text_with_content(const std::string& id, const std::string& content,
                                          const std::string& left = "2000",
                                          const std::string& extra_fields = "") {
        const std::string body =
            R"({"model":"chat","stream":true,"messages":[{"role":"user","content":")" + content + R"("}]})";
        return "POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id +
               "\r\nX-Service-Class: help\r\nX-Account: acme\r\nX-Session-Key: s\r\nX-Time-Left-Ms: " + left +
               "\r\nX-Facts: prompt_len=20,max_out=50\r\nContent-Type: application/json\r\n" + extra_fields +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    std::string new_request_id() { return "q" + std::to_string(next_id++); }
    // Sends one request and waits for its final answer.
    std::unique_ptr<Client> run_request(const std::string& left = "2000") {
        auto sender = client();
        sender->send(request_text(new_request_id(), left));
        wait_until("an answer", [&] {
            return sender->closed || sender->is_complete() ||
                   (sender->status() != 0 && sender->status() != 200);
        });
        return sender;
    }
    void wait_until_idle() {
        wait_until("no request open, no attempt in flight, no release owed, no state held", [&] {
            return node->dispatcher().open_requests() == 0 && node->dispatcher().attempts_out() == 0 &&
                   node->upstreams().owed_releases() == 0 && node->upstreams().attempts() == 0 &&
                   platform.held_state_count() == 0;
        });
    }
};

}  // namespace copperfront
