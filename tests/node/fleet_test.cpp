// The gateway among many: what discovery, restarts, clients that leave and servers out of reach ask of it.
#include <algorithm>

#include "raw_client.h"
#include "world.h"

using namespace copperfront;
using standin::Fault;

namespace {

// ---- discovery

// The agent has the list the moment it is back, and a drain leaves a quarter of a second.
void a_list_is_known_the_moment_discovery_is_back() {
    for (const std::int64_t outage : {1500, 2300, 3100}) {
        World w;
        w.pass(ms(30));
        w.platform.discovery_is_silent(true);
        w.pass(ms(outage));
        w.platform.add("w9", Role::writer, "z", 1);
        w.platform.discovery_is_silent(false);
        w.until(
            "it is known", [&] { return w.node->knows("w9"); }, ms(250));
    }
}

void a_watch_that_falls_silent_is_opened_anew() {
    World w;
    w.pass(ms(30));
    w.platform.watches_fall_silent();
    w.platform.add("w9", Role::writer, "z", 1);
    w.until(
        "it is known", [&] { return w.node->knows("w9"); }, ms(2000));
    assert(w.ask()->whole());
}

// An agent that takes long for its list is heard all the same: no call is given up for the next.
void a_slow_discovery_is_heard() {
    World w;
    w.pass(ms(30));
    w.platform.whole_lists_take(ms(900));
    w.platform.watches_are_reset();
    w.platform.add("w9", Role::writer, "z", 1);
    w.until(
        "it is known", [&] { return w.node->knows("w9"); }, ms(2500));
}

void a_watch_that_is_reset_is_opened_anew_at_once() {
    World w;
    w.pass(ms(30));
    for (int n = 0; n < 3; ++n) {
        const std::string name = "w1" + std::to_string(n);
        w.platform.watches_are_reset();
        w.platform.add(name, Role::writer, "z", 1);
        w.until(
            "it is known", [&] { return w.node->knows(name); }, ms(250));
    }
}

void a_discovery_that_refuses_is_followed_once_it_is_back() {
    World w;
    w.pass(ms(30));
    w.platform.discovery_is_down(true);
    w.platform.add("w9", Role::writer, "z", 1);
    w.pass(ms(1700));
    assert(!w.node->knows("w9") && w.ask()->whole());
    w.platform.discovery_is_down(false);
    w.until(
        "it is known", [&] { return w.node->knows("w9"); }, ms(250));
}

void a_gateway_that_starts_without_discovery_serves_from_the_known_list() {
    World w;
    for (const bool refuses : {false, true}) {
        refuses ? w.platform.discovery_is_down(true) : w.platform.discovery_is_silent(true);
        w.start(256);
        auto c = w.client();
        c->say("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        w.until(
            "ready", [&] { return c->status() == 200; }, ms(200));
        assert(w.ask()->whole());
        refuses ? w.platform.discovery_is_down(false) : w.platform.discovery_is_silent(false);
        const std::string name = refuses ? "w8" : "w9";
        w.platform.add(name, Role::writer, "z", 1);
        w.until(
            "it is followed", [&] { return w.node->knows(name); }, ms(250));
    }
}

// Idle clients take no more than their part of the descriptors, with those that linger after a close, so that
// discovery's connection can always be made anew.
void a_crowd_of_idle_clients_leaves_discovery_its_connection() {
    World w(64);
    w.pass(ms(30));
    std::vector<std::unique_ptr<Client>> crowd;
    std::size_t most = 0;
    for (int n = 0; n < 100; ++n) {
        crowd.push_back(w.client());
        // Some are answered and told to go, and stay.
        if (n % 3 == 0) crowd.back()->say("nonsense\r\n\r\n");
        w.pass(ms(5));
        most = std::max(most, w.node->clients().size() + w.loop.adopted());
    }
    assert(most > 10 && most <= 64 / 2);
    w.platform.watches_are_reset();
    w.platform.add("w9", Role::writer, "z", 1);
    w.until(
        "it is known", [&] { return w.node->knows("w9"); }, ms(250));
    assert(w.ask()->whole());
}

// ---- clients that leave

// A client's close may lie behind its call, and behind whatever else the loop has to do.
void a_call_whose_client_has_gone_is_not_sent_on() {
    World w;
    for (const bool more : {false, true}) {
        {
            RawClient client(w.node->address());
            client.say(w.call(w.fresh()) + (more ? w.call(w.fresh()) : ""));
        }
        w.pass(ms(100));
    }
    assert(w.platform.heard().empty() && w.node->desk().tally().left == 2);
    w.at_rest();
}

void a_client_that_leaves_behind_much_that_it_sent_is_seen_to_go() {
    standin::Platform::Shape slow;
    slow.read = ms(600);
    World w(256, slow);
    for (int round = 0; round < 2; ++round) {
        auto c = w.client();
        std::string text;
        for (int n = 0; n < (round == 0 ? 200 : 3000); ++n) text += w.call(w.fresh());  // 70 KB, and 1 MB
        c->say(text);
        w.until("it is open", [&] { return w.node->desk().open_queries() == 1; });
        w.pass(ms(150));
        c->leave();
        w.until(
            "it is seen to go", [&] { return w.node->desk().open_queries() == 0; }, ms(100));
    }
    assert(w.platform.count("POST", "w1") == 0);
    w.at_rest();
}

// ---- answers

void a_client_group_over_its_share_is_told_so() {
    std::string settings = kSettings;
    const std::string quota = R"("quota-per-s":500)";
    settings.replace(settings.find(quota), quota.size(), R"("quota-per-s":1)");
    standin::Platform::Shape slow;
    slow.first = ms(800);
    World w(256, slow, settings);
    std::vector<std::unique_ptr<Client>> all;
    for (int n = 0; n < 24; ++n) {
        all.push_back(w.client());
        all.back()->say(w.call(w.fresh()));
    }
    w.until("all are answered", [&] {
        return std::all_of(all.begin(), all.end(),
                           [](const auto& c) { return c->whole() || c->status() > 200; });
    });
    // The fleet is strained now, and the group over its share.
    int told = 0;
    for (int n = 0; n < 6; ++n) {
        auto c = w.ask();
        if (c->status() != 429) continue;
        ++told;
        assert(c->heard.find("Retry-After: ") != std::string::npos);
    }
    assert(told > 0);
    w.at_rest();
}

// ---- attempts

// Connections to a process that is no more are of no use, also those that have yet to come up.
void an_attempt_that_waits_for_an_earlier_process_is_not_sent_there() {
    World w;
    const StalledListener stalled;
    w.platform.point("r1", stalled.address());
    w.pass(ms(30));
    auto c = w.client();
    c->say(w.call("q"));
    w.until("it waits", [&] { return w.node->upstreams().attempts() == 1; });
    // Under another address: what waits has never been sent, long before the connection's time is over.
    w.platform.add("r1", Role::reader, "z", 1);
    w.until(
        "it waits no more",
        [&] {
            return w.node->desk().tally().endings[static_cast<std::size_t>(Ending::unreachable)] == 1 &&
                   w.node->desk().tally().not_connected == 0;
        },
        ms(150));
    w.until("an answer", [&] { return c->closed || c->whole() || c->status() == 503; });
}

// What is left is told when the attempt is written, not when its connection was asked for.
void the_time_left_is_told_as_it_is_when_the_attempt_is_written() {
    Loop loop;
    struct Quiet : UpstreamPool::Owner {
        void attempt_over(AttemptId, const Outcome&, const std::string&) override {}
        void events_came(AttemptId, std::string_view, std::size_t) override {}
        SendGuard send_guard{Span{1000000}};
        Denial may_write(AttemptId, Span) override { return Denial::none; }
        HoldLedger hold_ledger{Span{1000000}};
        void answer_began(AttemptId) override {}
        void release_answered(const std::string&, const HoldLedger::ReleaseResult&) override {}
        void release_given_up(const std::string&, const HoldLedger::ReleaseResult&) override {}
        SendGuard& guard() override { return send_guard; }
        HoldLedger& ledger() override { return hold_ledger; }
    } owner;
    struct Taker : Stream::Owner {
        std::string heard;
        std::unique_ptr<Stream> stream;
        void bytes_came(Stream& s) override {
            heard.append(s.pull(s.held()));
            s.drain(s.held());
        }
        void stream_closed(Stream&, Closing, const std::string&) override {}
    } taker;
    UpstreamPool servers(loop, {}, owner);
    Listener listener(loop, Address::parse("127.0.0.1:0"), [&](int fd) {
        taker.stream = Stream::accepted(loop, fd, {0, 0}, taker);
    });
    servers.learn(0, {listener.address(), listener.address().text(), {}});
    servers.send(0, 1,
                 {"POST / HTTP/1.1\r\nX-Time-Left-Ms: ", "\r\nContent-Length: 0\r\n\r\n",
                  loop.now() + ms(1000), true});
    // The loop is busy with something else while the connection comes up.
    for (const Instant from = loop.now(); loop.now() - from < ms(200);) continue;
    Timer look(loop, [&] {
        if (taker.heard.find("\r\n\r\n") != std::string::npos) return loop.stop();
        look.set(ms(5));
    });
    look.set(ms(5));
    loop.run();
    const int left = std::atoi(taker.heard.c_str() + taker.heard.find(": ") + 2);
    assert(left > 0 && left <= 800);
}

// ---- the end

void calls_behind_the_open_one_are_served_at_a_stop() {
    standin::Platform::Shape slow;
    slow.read = ms(100);
    World w(256, slow);
    auto c = w.client();
    c->say(w.call(w.fresh()) + w.call(w.fresh()) + w.call(w.fresh()));
    w.until("the first is open", [&] { return w.node->desk().open_queries() == 1; });
    w.node->stop();
    w.until("the connection ends", [&] { return c->closed; });
    std::size_t whole = 0;
    for (std::size_t at = 0; (at = c->heard.find("data: [DONE]", at)) != std::string::npos; ++at) ++whole;
    assert(c->answers() == 3 && whole == 3 && c->why == Closing::peer_ended);
    w.loop.run();
    assert(w.platform.states() == 0);
}

// A call that crosses the close of a resting connection is not read, and its client sees an end, no reset.
void a_resting_connection_ends_in_good_order_at_a_stop() {
    World w;
    RawClient c(w.node->address());
    c.say("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    bool ended = false;
    w.until("ready", [&] { return c.hear(ended) > 0; });
    c.say(w.call("crossing"));
    w.node->stop();
    std::ptrdiff_t came = 0;
    w.until("its end", [&] { return (came = c.hear(ended)) < 0 || ended; });
    assert(ended && came == 0);
    w.pass(ms(50));
    assert(w.platform.heard().empty() && w.node->desk().tally().came == 0);
}

// What a server has finished is the client's, also one that takes its time.
void what_is_queued_reaches_a_slow_peer_that_is_told_to_go() {
    struct Deaf : Stream::Owner {
        void bytes_came(Stream&) override {}
        void stream_closed(Stream&, Closing, const std::string&) override {}
    } deaf;
    Loop loop;
    std::unique_ptr<Stream> stream;
    Listener listener(loop, Address::parse("127.0.0.1:0"), [&](int fd) {
        const int small = 8192;
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &small, sizeof small);
        stream = Stream::accepted(loop, fd, {0, 0}, deaf);
        stream->send(std::string(6 << 20, 'x'));
        Stream::hand_off_politely(loop, std::move(stream));
    });
    RawClient peer(listener.address());
    std::size_t heard = 0;
    bool ended = false;
    int turns = 0;
    Timer turn(loop, [&] {
        const std::ptrdiff_t n = peer.hear(ended, 64 << 10);
        if (n > 0) heard += static_cast<std::size_t>(n);
        if (ended || n < 0) return loop.stop();
        // Once it takes nothing for longer than a second.
        turn.set(++turns == 20 ? ms(1300) : ms(20));
    });
    turn.set(ms(20));
    loop.run();
    assert(heard == 6 << 20);
}

}  // namespace

// All stories, or the one that is named.
int main(int argc, char** argv) {
    setvbuf(stderr, nullptr, _IOLBF, 0);
    const std::pair<const char*, void (*)()> stories[] = {
        {"a_list_is_known_the_moment_discovery_is_back", a_list_is_known_the_moment_discovery_is_back},
        {"a_watch_that_falls_silent_is_opened_anew", a_watch_that_falls_silent_is_opened_anew},
        {"a_slow_discovery_is_heard", a_slow_discovery_is_heard},
        {"a_watch_that_is_reset_is_opened_anew_at_once", a_watch_that_is_reset_is_opened_anew_at_once},
        {"a_discovery_that_refuses_is_followed_once_it_is_back",
         a_discovery_that_refuses_is_followed_once_it_is_back},
        {"a_gateway_that_starts_without_discovery_serves_from_the_known_list",
         a_gateway_that_starts_without_discovery_serves_from_the_known_list},
        {"a_crowd_of_idle_clients_leaves_discovery_its_connection",
         a_crowd_of_idle_clients_leaves_discovery_its_connection},
        {"a_call_whose_client_has_gone_is_not_sent_on", a_call_whose_client_has_gone_is_not_sent_on},
        {"a_client_that_leaves_behind_much_that_it_sent_is_seen_to_go",
         a_client_that_leaves_behind_much_that_it_sent_is_seen_to_go},
        {"a_client_group_over_its_share_is_told_so", a_client_group_over_its_share_is_told_so},
        {"an_attempt_that_waits_for_an_earlier_process_is_not_sent_there",
         an_attempt_that_waits_for_an_earlier_process_is_not_sent_there},
        {"the_time_left_is_told_as_it_is_when_the_attempt_is_written",
         the_time_left_is_told_as_it_is_when_the_attempt_is_written},
        {"calls_behind_the_open_one_are_served_at_a_stop", calls_behind_the_open_one_are_served_at_a_stop},
        {"a_resting_connection_ends_in_good_order_at_a_stop",
         a_resting_connection_ends_in_good_order_at_a_stop},
        {"what_is_queued_reaches_a_slow_peer_that_is_told_to_go",
         what_is_queued_reaches_a_slow_peer_that_is_told_to_go},
    };
    bool any = false;
    for (const auto& [name, story] : stories) {
        if (argc > 1 && std::string(argv[1]) != name) continue;
        any = true;
        story();
    }
    return any ? 0 : 2;
}
