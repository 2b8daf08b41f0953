// Connections to model servers on real sockets, against scripted servers that misbehave in different ways.
#include "gateway/server_connections.h"

#include <cassert>
#include <cstdio>
#include <functional>

using namespace copperfront;

namespace {

constexpr Duration ms(std::int64_t x) { return {x * 1000}; }
constexpr LineLimits kServerBounds{1 << 20, 4 << 20};

// A server that answers initialize, if enabled, and passes every other message to its script.
struct ScriptedServer : LineConnection::Owner {
    Loop& loop;
    Listener listener;
    bool answers_initialize = true;
    std::function<void(ScriptedServer&, const rpc::Message&)> script;
    std::vector<std::unique_ptr<LineConnection>> connections;
    std::vector<rpc::Message> received;
    std::size_t accepted_count = 0;

    explicit ScriptedServer(Loop& event_loop)
        : loop(event_loop), listener(event_loop, Address::parse("127.0.0.1:0"), [this](int fd) {
              ++accepted_count;
              connections.push_back(LineConnection::accepted(loop, fd, kServerBounds, *this));
          }) {}
    void send(const std::string& line) { connections.back()->send(line); }
    void reset_all() {
        for (auto& connection : connections) LineConnection::reset(loop, std::move(connection));
        connections.clear();
    }
    void line_received(LineConnection& connection, std::string_view line) override {
        auto parsed = rpc::parse(line);
        const auto& m = std::get<rpc::Message>(parsed);
        if (m.method == rpc::kInitialize) {
            if (answers_initialize) connection.send(rpc::hello_result_line(m.id, "peer", "1"));
            return;
        }
        received.push_back(m);
        if (script) script(*this, m);
    }
    void connection_closed(LineConnection& connection, CloseReason, const std::string&) override {
        for (auto it = connections.begin(); it != connections.end(); ++it) {
            if (it->get() != &connection) continue;
            LineConnection::detach_and_close(loop, std::move(*it), false);
            connections.erase(it);
            return;
        }
    }
};

struct ConnectionsTest : ServerConnections::Owner {
    Loop loop;
    Bounds bounds;
    Log log{"error", "json", "", 1 << 20, 1};
    std::unique_ptr<ServerConnections> servers;
    std::vector<std::pair<AttemptId, Ending>> endings;
    std::vector<std::string> tokens;
    std::size_t attempts_expected = 0;
    std::function<bool()> until;
    Timer watchdog{loop, [] {
                       std::fprintf(stderr, "the test did not finish within 20 s\n");
                       std::abort();
                   }};

    ConnectionsTest() {
        bounds.max_line_bytes = 4096;
        bounds.max_unsent_bytes = 65536;
        bounds.max_attempts_per_connection = 2;
        bounds.max_bad_messages = 3;
        bounds.connect_timeout = ms(100);
        bounds.connection_idle_timeout = ms(200);
        bounds.ping_after = ms(100);
        bounds.server_silence_timeout = ms(300);
        servers = std::make_unique<ServerConnections>(loop, bounds, rpc::Hello{"g", "z", "1"}, *this, log);
    }
    void run(std::function<bool()> done) {
        until = std::move(done);
        watchdog.set(ms(20000));
        Timer poll(loop, [&] {
            if (until()) return loop.stop();
            poll.set(ms(5));
        });
        poll.set(ms(0));
        loop.run();
        watchdog.cancel();
    }
    void send(ServerIndex server, AttemptId attempt) {
        rpc::AttemptRequest attempt_request;
        attempt_request.query = "q" + std::to_string(attempt);
        attempt_request.state = "s";
        servers->send(server, attempt,
                      rpc::attempt_request_line(rpc::Id{static_cast<std::int64_t>(attempt)}, rpc::kPrefill,
                                                attempt_request),
                      true);
    }
    void attempt_ended(AttemptId attempt, const AttemptOutcome& outcome, double,
                       const std::string&) override {
        endings.emplace_back(attempt, outcome.ending);
    }
    void token_received(AttemptId, std::string_view text) override { tokens.emplace_back(text); }
    void probe_ended(ServerIndex, bool, const LoadReport&) override {}
};

using AttemptEndings = std::vector<std::pair<AttemptId, Ending>>;

void answers_come_back() {
    ConnectionsTest test;
    ScriptedServer server(test.loop);
    server.script = [](ScriptedServer& self, const rpc::Message& m) {
        self.send(rpc::tokens_line(m.id, "a"));
        self.send(rpc::prefill_result_line(m.id, 7, {}));
    };
    test.servers->set_address(0, server.listener.address().text());
    test.send(0, 1);
    test.run([&] { return !test.endings.empty(); });
    assert((test.endings == AttemptEndings{{1, Ending::prefilled}}));
    assert(test.tokens.size() == 1);
}

// Nothing was sent, so nothing can have run.
void a_refused_connection_is_unreachable() {
    ConnectionsTest test;
    std::string address;
    {
        Listener closed(test.loop, Address::parse("127.0.0.1:0"), [](int) {});
        address = closed.address().text();
    }
    test.servers->set_address(0, address);
    test.send(0, 1);
    test.run([&] { return !test.endings.empty(); });
    assert((test.endings == AttemptEndings{{1, Ending::unreachable}}));
}

// Guards against a hung server process: the kernel accepts the connection, but the process never answers.
void a_server_that_never_answers_initialize_is_unreachable() {
    ConnectionsTest test;
    ScriptedServer server(test.loop);
    server.answers_initialize = false;
    test.servers->set_address(0, server.listener.address().text());
    test.send(0, 1);
    test.send(0, 2);
    test.run([&] { return test.endings.size() == 2; });
    assert((test.endings == AttemptEndings{{1, Ending::unreachable}, {2, Ending::unreachable}}));
    assert(server.received.empty());
}

void a_reset_with_attempts_in_flight_loses_the_connection() {
    ConnectionsTest test;
    ScriptedServer server(test.loop);
    server.script = [](ScriptedServer& self, const rpc::Message& m) {
        if (m.id == rpc::Id{std::int64_t{2}}) self.reset_all();
    };
    test.servers->set_address(0, server.listener.address().text());
    test.send(0, 1);
    test.send(0, 2);
    test.run([&] { return test.endings.size() == 2; });
    assert((test.endings == AttemptEndings{{1, Ending::connection_lost}, {2, Ending::connection_lost}}));
}

// Guards against a server process that hangs with attempts in flight: pings go unanswered and the connection
// is dropped.
void a_silent_server_loses_its_connection() {
    ConnectionsTest test;
    ScriptedServer server(test.loop);
    test.servers->set_address(0, server.listener.address().text());
    test.send(0, 1);
    test.run([&] { return !test.endings.empty(); });
    assert((test.endings == AttemptEndings{{1, Ending::connection_lost}}));
    assert(server.received.size() >= 2 && server.received[1].method == rpc::kPing);
}

void a_server_that_answers_pings_is_waited_for() {
    ConnectionsTest test;
    ScriptedServer server(test.loop);
    std::size_t pings = 0;
    server.script = [&](ScriptedServer& self, const rpc::Message& m) {
        if (m.method != rpc::kPing) return;
        self.send(rpc::result_line(m.id, rpc::Json::object()));
        if (++pings == 6) self.send(rpc::prefill_result_line(rpc::Id{std::int64_t{1}}, 0, {}));
    };
    test.servers->set_address(0, server.listener.address().text());
    test.send(0, 1);
    test.run([&] { return !test.endings.empty(); });
    assert((test.endings == AttemptEndings{{1, Ending::prefilled}}));
}

void a_server_that_sends_invalid_messages_is_disconnected() {
    for (const char* nonsense : {"not json", R"({"jsonrpc":"2.0","id":99,"result":{}})",
                                 R"({"jsonrpc":"2.0","method":"notifications/tokens","params":{}})"}) {
        ConnectionsTest test;
        ScriptedServer server(test.loop);
        server.script = [&](ScriptedServer& self, const rpc::Message&) {
            for (int n = 0; n < 3; ++n) self.send(nonsense);
        };
        test.servers->set_address(0, server.listener.address().text());
        test.send(0, 1);
        test.run([&] { return !test.endings.empty(); });
        assert((test.endings == AttemptEndings{{1, Ending::connection_lost}}));
    }
    ConnectionsTest test;
    ScriptedServer server(test.loop);
    server.script = [&](ScriptedServer& self, const rpc::Message&) {
        self.send(std::string(5000, ' ') + "x");
    };
    test.servers->set_address(0, server.listener.address().text());
    test.send(0, 1);
    test.run([&] { return !test.endings.empty(); });
    assert((test.endings == AttemptEndings{{1, Ending::connection_lost}}));
}

void connections_are_shared_up_to_their_bound_and_closed_when_idle() {
    ConnectionsTest test;
    ScriptedServer server(test.loop);
    test.servers->set_address(0, server.listener.address().text());
    for (AttemptId attempt = 1; attempt <= 5; ++attempt) test.send(0, attempt);
    test.run([&] { return server.received.size() == 5; });
    assert(server.accepted_count == 3);  // two attempts on each connection
    for (AttemptId attempt = 1; attempt <= 5; ++attempt) test.servers->cancel_attempt(0, attempt);
    test.run([&] { return server.received.size() == 10 && server.connections.empty(); });
    assert(server.received.back().method == rpc::kCancelled);
    assert(test.endings.empty() && test.servers->connection_count() == 0);
}

// Guards against a state that stays pinned because there was no connection for its release: the release is
// kept and sent on the next connection.
void a_release_waits_for_a_connection() {
    ConnectionsTest test;
    ScriptedServer server(test.loop);
    test.servers->set_address(0, server.listener.address().text());
    test.servers->release(0, "g/1");
    assert(test.servers->owed_releases() == 1);
    test.run([&] { return !server.received.empty(); });
    assert(server.received[0].method == rpc::kRelease && server.received[0].body["state"] == "g/1");
    assert(test.servers->owed_releases() == 0);
}

void an_attempt_cancelled_before_its_connection_opens_is_never_sent() {
    ConnectionsTest test;
    ScriptedServer server(test.loop);
    test.servers->set_address(0, server.listener.address().text());
    test.send(0, 1);
    test.servers->cancel_attempt(0, 1);
    test.send(0, 2);
    test.run([&] { return !server.received.empty(); });
    assert(server.received.size() == 1 && server.received[0].id == rpc::Id{std::int64_t{2}});
}

// Guards against waiting for a slow initialize: an attempt that still waits for its connection can be
// withdrawn, and then neither the server nor the owner hears of it; one that was sent cannot.
void only_attempts_waiting_for_a_connection_can_be_withdrawn() {
    ConnectionsTest test;
    ScriptedServer server(test.loop);
    test.servers->set_address(0, server.listener.address().text());
    test.send(0, 1);
    test.send(0, 2);
    assert(test.servers->cancel_if_unsent(1) && !test.servers->cancel_if_unsent(1) &&
           !test.servers->cancel_if_unsent(9));
    test.run([&] { return !server.received.empty(); });
    assert(server.received[0].id == rpc::Id{std::int64_t{2}});
    assert(!test.servers->cancel_if_unsent(2));
    server.reset_all();
    test.run([&] { return !test.endings.empty(); });
    assert((test.endings == AttemptEndings{{2, Ending::connection_lost}}));
}

// Guards against a server that stops reading: the connection is dropped once its unsent bytes exceed the
// bound.
void a_server_that_never_reads_is_disconnected() {
    ConnectionsTest test;
    ScriptedServer server(test.loop);
    server.script = [](ScriptedServer& self, const rpc::Message&) {
        self.connections.back()->pause_reading(true);
    };
    test.bounds.max_attempts_per_connection = 100000;
    test.bounds.server_silence_timeout = ms(60000);
    test.bounds.ping_after = ms(30000);
    test.servers = std::make_unique<ServerConnections>(test.loop, test.bounds, rpc::Hello{"g", "z", "1"},
                                                       test, test.log);
    test.servers->set_address(0, server.listener.address().text());
    AttemptId next = 1;
    test.send(0, next++);
    test.run([&] {
        for (int n = 0; n < 2000 && test.endings.empty(); ++n) test.send(0, next++);
        return !test.endings.empty();
    });
    assert(test.endings[0].second == Ending::connection_lost);
}

}  // namespace

int main() {
    answers_come_back();
    a_refused_connection_is_unreachable();
    a_server_that_never_answers_initialize_is_unreachable();
    a_reset_with_attempts_in_flight_loses_the_connection();
    a_silent_server_loses_its_connection();
    a_server_that_answers_pings_is_waited_for();
    a_server_that_sends_invalid_messages_is_disconnected();
    connections_are_shared_up_to_their_bound_and_closed_when_idle();
    a_release_waits_for_a_connection();
    an_attempt_cancelled_before_its_connection_opens_is_never_sent();
    only_attempts_waiting_for_a_connection_can_be_withdrawn();
    a_server_that_never_reads_is_disconnected();
}
