// The gateway as part of a fleet: discovery outages, restarts, clients that disconnect and unreachable
// servers.
#include <algorithm>

#include "gateway_fixture.h"
#include "raw_client.h"

using namespace copperfront;
using fake_server::Fault;

namespace {

// ---- discovery

// The agent has the list as soon as it is back, and a drain has to take effect within 250 ms.
void list_is_applied_as_soon_as_discovery_is_back() {
    for (const std::int64_t outage : {1500, 2300, 3100}) {
        GatewayFixture fixture;
        fixture.run_for(ms(30));
        fixture.platform.set_discovery_silent(true);
        fixture.run_for(ms(outage));
        fixture.platform.add("w9", Role::decode, "z", 1);
        fixture.platform.set_discovery_silent(false);
        fixture.wait_until(
            "the new server is in the list", [&] { return fixture.node->has_server("w9"); }, ms(250));
    }
}

void silent_watch_is_reopened() {
    GatewayFixture fixture;
    fixture.run_for(ms(30));
    fixture.platform.silence_watches();
    fixture.platform.add("w9", Role::decode, "z", 1);
    fixture.wait_until(
        "the new server is in the list", [&] { return fixture.node->has_server("w9"); }, ms(2000));
    assert(fixture.run_request()->is_complete());
}

// The list of a slow agent is applied: no request to it is abandoned for the next one.
void list_of_slow_discovery_is_applied() {
    GatewayFixture fixture;
    fixture.run_for(ms(30));
    fixture.platform.set_snapshot_delay(ms(900));
    fixture.platform.reset_watches();
    fixture.platform.add("w9", Role::decode, "z", 1);
    fixture.wait_until(
        "the new server is in the list", [&] { return fixture.node->has_server("w9"); }, ms(2500));
}

void reset_watch_is_reopened_at_once() {
    GatewayFixture fixture;
    fixture.run_for(ms(30));
    for (int n = 0; n < 3; ++n) {
        const std::string name = "w1" + std::to_string(n);
        fixture.platform.reset_watches();
        fixture.platform.add(name, Role::decode, "z", 1);
        fixture.wait_until(
            "the new server is in the list", [&] { return fixture.node->has_server(name); }, ms(250));
    }
}

void refusing_discovery_is_followed_once_it_is_back() {
    GatewayFixture fixture;
    fixture.run_for(ms(30));
    fixture.platform.set_discovery_down(true);
    fixture.platform.add("w9", Role::decode, "z", 1);
    fixture.run_for(ms(1700));
    assert(!fixture.node->has_server("w9") && fixture.run_request()->is_complete());
    fixture.platform.set_discovery_down(false);
    fixture.wait_until(
        "the new server is in the list", [&] { return fixture.node->has_server("w9"); }, ms(250));
}

void gateway_started_without_discovery_serves_from_the_known_list() {
    GatewayFixture fixture;
    for (const bool refuses : {false, true}) {
        refuses ? fixture.platform.set_discovery_down(true) : fixture.platform.set_discovery_silent(true);
        fixture.start(256);
        auto client = fixture.client();
        client->send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        fixture.wait_until(
            "ready", [&] { return client->status() == 200; }, ms(200));
        assert(fixture.run_request()->is_complete());
        refuses ? fixture.platform.set_discovery_down(false) : fixture.platform.set_discovery_silent(false);
        const std::string name = refuses ? "w8" : "w9";
        fixture.platform.add(name, Role::decode, "z", 1);
        fixture.wait_until(
            "the list is followed", [&] { return fixture.node->has_server(name); }, ms(250));
    }
}

// Idle clients, with connections that linger after a close, use no more than their share of the descriptors,
// so that a new connection to discovery is always possible.
void many_idle_clients_leave_discovery_its_connection() {
    GatewayFixture fixture(64);
    fixture.run_for(ms(30));
    std::vector<std::unique_ptr<Client>> idle_clients;
    std::size_t max_open = 0;
    for (int n = 0; n < 100; ++n) {
        idle_clients.push_back(fixture.client());
        // Some send a bad request, get an answer with a close, and stay connected.
        if (n % 3 == 0) idle_clients.back()->send("nonsense\r\n\r\n");
        fixture.run_for(ms(5));
        max_open = std::max(max_open, fixture.node->clients().size() + fixture.loop.adopted());
    }
    assert(max_open > 10 && max_open <= 64 / 2);
    fixture.platform.reset_watches();
    fixture.platform.add("w9", Role::decode, "z", 1);
    fixture.wait_until(
        "the new server is in the list", [&] { return fixture.node->has_server("w9"); }, ms(250));
    assert(fixture.run_request()->is_complete());
}

// ---- clients that disconnect

// The close of a client may arrive behind its request, and behind other work of the loop.
void request_of_a_disconnected_client_is_not_sent() {
    GatewayFixture fixture;
    for (const bool more : {false, true}) {
        {
            RawClient client(fixture.node->address());
            client.send(fixture.request_text(fixture.new_request_id()) +
                        (more ? fixture.request_text(fixture.new_request_id()) : ""));
        }
        fixture.run_for(ms(100));
    }
    assert(fixture.platform.received().empty() && fixture.node->dispatcher().counters().client_left == 2);
    fixture.wait_until_idle();
}

void disconnect_behind_many_sent_requests_is_noticed() {
    fake_server::FakePlatform::ServiceTimes slow;
    slow.prefill_time = ms(600);
    GatewayFixture fixture(256, slow);
    for (int round = 0; round < 2; ++round) {
        auto client = fixture.client();
        std::string text;
        for (int n = 0; n < (round == 0 ? 200 : 3000); ++n)
            text += fixture.request_text(fixture.new_request_id());  // 70 KB, and 1 MB
        client->send(text);
        fixture.wait_until("the request is open",
                           [&] { return fixture.node->dispatcher().open_requests() == 1; });
        fixture.run_for(ms(150));
        client->disconnect();
        fixture.wait_until(
            "the disconnect is noticed", [&] { return fixture.node->dispatcher().open_requests() == 0; },
            ms(100));
    }
    assert(fixture.platform.count("POST", "w1") == 0);
    fixture.wait_until_idle();
}

// ---- answers

void client_group_over_its_share_is_rejected() {
    std::string settings = kSettings;
    const std::string quota = R"("quota-per-s":500)";
    settings.replace(settings.find(quota), quota.size(), R"("quota-per-s":1)");
    fake_server::FakePlatform::ServiceTimes slow;
    slow.first_event_delay = ms(800);
    GatewayFixture fixture(256, slow, settings);
    std::vector<std::unique_ptr<Client>> all;
    for (int n = 0; n < 24; ++n) {
        all.push_back(fixture.client());
        all.back()->send(fixture.request_text(fixture.new_request_id()));
    }
    fixture.wait_until("all requests are answered", [&] {
        return std::all_of(all.begin(), all.end(), [](const auto& client) {
            return client->is_complete() || client->status() > 200;
        });
    });
    // The fleet is overloaded now, and the client group is over its share.
    int rejected = 0;
    for (int n = 0; n < 6; ++n) {
        auto client = fixture.run_request();
        if (client->status() != 429) continue;
        ++rejected;
        assert(client->received.find("Retry-After: ") != std::string::npos);
    }
    assert(rejected > 0);
    fixture.wait_until_idle();
}

// ---- attempts

// Connections to a process that has ended are useless, also those that are not yet established.
void attempt_waiting_for_an_ended_process_is_not_sent_there() {
    GatewayFixture fixture;
    const StalledListener stalled;
    fixture.platform.set_address("r1", stalled.address());
    fixture.run_for(ms(30));
    auto client = fixture.client();
    client->send(fixture.request_text("q"));
    fixture.wait_until("the attempt waits for its connection",
                       [&] { return fixture.node->upstreams().attempts() == 1; });
    // The server gets another address: the waiting attempt ends as never sent, long before the connect
    // timeout.
    fixture.platform.add("r1", Role::prefill, "z", 1);
    fixture.wait_until(
        "the attempt has ended as unreachable",
        [&] {
            return fixture.node->dispatcher()
                           .counters()
                           .endings[static_cast<std::size_t>(Ending::unreachable)] == 1 &&
                   fixture.node->dispatcher().counters().connect_timeouts == 0;
        },
        ms(150));
    fixture.wait_until("an answer",
                       [&] { return client->closed || client->is_complete() || client->status() == 503; });
}

// The remaining time is computed when the attempt is written, not when its connection was requested.
void time_left_is_computed_when_the_attempt_is_written() {
    Loop loop;
    struct IgnoringPoolOwner : UpstreamPool::Owner {
        void attempt_ended(AttemptId, const AttemptOutcome&, const std::string&) override {}
        void events_received(AttemptId, std::string_view, std::size_t) override {}
        SendGuard send_guard{Duration{1000000}};
        Denial may_write(AttemptId, Duration) override { return Denial::none; }
        HoldLedger hold_ledger{Duration{1000000}};
        void answer_began(AttemptId) override {}
        void attempt_is_written(AttemptId) override {}
        void stream_progressed(AttemptId) override {}
        void release_answered(const std::string&, const HoldLedger::ReleaseResult&) override {}
        void release_abandoned(const std::string&, const HoldLedger::ReleaseResult&) override {}
        SendGuard& guard() override { return send_guard; }
        HoldLedger& ledger() override { return hold_ledger; }
    } owner;
    struct RecordingPeer : Stream::Owner {
        std::string received;
        std::unique_ptr<Stream> stream;
        void bytes_received(Stream& s) override {
            received.append(s.contiguous(s.buffered()));
            s.drain(s.buffered());
        }
        void stream_closed(Stream&, CloseReason, const std::string&) override {}
    } receiver;
    MemoryBudget memory({});
    UpstreamPool servers(loop, {}, memory, owner);
    Listener listener(loop, Address::parse("127.0.0.1:0"), [&](int fd) {
        receiver.stream = Stream::accepted(loop, fd, {0, 0}, receiver);
    });
    servers.set_endpoint(0, {listener.address(), listener.address().text(), {}});
    servers.send(0, 1,
                 {"POST / HTTP/1.1\r\nX-Time-Left-Ms: ", "\r\nContent-Length: 0\r\n\r\n",
                  std::make_shared<const std::string>(), loop.now() + ms(1000), true});
    // The loop is busy with other work while the connection is established.
    for (const Instant from = loop.now(); loop.now() - from < ms(200);) continue;
    Timer poll(loop, [&] {
        if (receiver.received.find("\r\n\r\n") != std::string::npos) return loop.stop();
        poll.set(ms(5));
    });
    poll.set(ms(5));
    loop.run();
    const int left = std::atoi(receiver.received.c_str() + receiver.received.find(": ") + 2);
    assert(left > 0 && left <= 800);
}

// ---- shutdown

void pipelined_requests_are_served_at_a_stop() {
    fake_server::FakePlatform::ServiceTimes slow;
    slow.prefill_time = ms(100);
    GatewayFixture fixture(256, slow);
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id()) +
                 fixture.request_text(fixture.new_request_id()) +
                 fixture.request_text(fixture.new_request_id()));
    fixture.wait_until("the first request is open",
                       [&] { return fixture.node->dispatcher().open_requests() == 1; });
    fixture.node->stop();
    fixture.wait_until("the connection is closed", [&] { return client->closed; });
    std::size_t completed = 0;
    for (std::size_t at = 0; (at = client->received.find("data: [DONE]", at)) != std::string::npos; ++at)
        ++completed;
    assert(client->response_count() == 3 && completed == 3 &&
           client->close_reason == CloseReason::peer_closed);
    fixture.loop.run();
    assert(fixture.platform.held_state_count() == 0);
}

// A request that arrives with the close of an idle connection is not read, and its client sees a graceful
// close, not a reset.
void idle_connection_is_closed_gracefully_at_a_stop() {
    GatewayFixture fixture;
    RawClient client(fixture.node->address());
    client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    bool ended = false;
    fixture.wait_until("ready", [&] { return client.receive(ended) > 0; });
    client.send(fixture.request_text("crossing"));
    fixture.node->stop();
    std::ptrdiff_t bytes = 0;
    fixture.wait_until("the close", [&] { return (bytes = client.receive(ended)) < 0 || ended; });
    assert(ended && bytes == 0);
    fixture.run_for(ms(50));
    assert(fixture.platform.received().empty() && fixture.node->dispatcher().counters().received == 0);
}

// A completed answer reaches its client, even if the client reads slowly.
void queued_bytes_reach_a_slow_peer_after_a_close() {
    struct IgnoringStreamOwner : Stream::Owner {
        void bytes_received(Stream&) override {}
        void stream_closed(Stream&, CloseReason, const std::string&) override {}
    } stream_owner;
    Loop loop;
    std::unique_ptr<Stream> stream;
    Listener listener(loop, Address::parse("127.0.0.1:0"), [&](int fd) {
        const int small = 8192;
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &small, sizeof small);
        stream = Stream::accepted(loop, fd, {0, 0}, stream_owner);
        stream->send(std::string(6 << 20, 'x'));
        Stream::detach_and_half_close(loop, std::move(stream));
    });
    RawClient peer(listener.address());
    std::size_t received = 0;
    bool ended = false;
    int rounds = 0;
    Timer read_timer(loop, [&] {
        const std::ptrdiff_t n = peer.receive(ended, 64 << 10);
        if (n > 0) received += static_cast<std::size_t>(n);
        if (ended || n < 0) return loop.stop();
        // Once, the peer reads nothing for longer than a second.
        read_timer.set(++rounds == 20 ? ms(1300) : ms(20));
    });
    read_timer.set(ms(20));
    loop.run();
    assert(received == 6 << 20);
}

}  // namespace

// Runs all test cases, or the one named on the command line.
int main(int argc, char** argv) {
    setvbuf(stderr, nullptr, _IOLBF, 0);
    const std::pair<const char*, void (*)()> test_cases[] = {
        {"list_is_applied_as_soon_as_discovery_is_back", list_is_applied_as_soon_as_discovery_is_back},
        {"silent_watch_is_reopened", silent_watch_is_reopened},
        {"list_of_slow_discovery_is_applied", list_of_slow_discovery_is_applied},
        {"reset_watch_is_reopened_at_once", reset_watch_is_reopened_at_once},
        {"refusing_discovery_is_followed_once_it_is_back", refusing_discovery_is_followed_once_it_is_back},
        {"gateway_started_without_discovery_serves_from_the_known_list",
         gateway_started_without_discovery_serves_from_the_known_list},
        {"many_idle_clients_leave_discovery_its_connection",
         many_idle_clients_leave_discovery_its_connection},
        {"request_of_a_disconnected_client_is_not_sent", request_of_a_disconnected_client_is_not_sent},
        {"disconnect_behind_many_sent_requests_is_noticed", disconnect_behind_many_sent_requests_is_noticed},
        {"client_group_over_its_share_is_rejected", client_group_over_its_share_is_rejected},
        {"attempt_waiting_for_an_ended_process_is_not_sent_there",
         attempt_waiting_for_an_ended_process_is_not_sent_there},
        {"time_left_is_computed_when_the_attempt_is_written",
         time_left_is_computed_when_the_attempt_is_written},
        {"pipelined_requests_are_served_at_a_stop", pipelined_requests_are_served_at_a_stop},
        {"idle_connection_is_closed_gracefully_at_a_stop", idle_connection_is_closed_gracefully_at_a_stop},
        {"queued_bytes_reach_a_slow_peer_after_a_close", queued_bytes_reach_a_slow_peer_after_a_close},
    };
    bool any = false;
    for (const auto& [name, test_case] : test_cases) {
        if (argc > 1 && std::string(argv[1]) != name) continue;
        any = true;
        test_case();
    }
    return any ? 0 : 2;
}
