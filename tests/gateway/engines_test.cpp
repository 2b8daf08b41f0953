// Links to engines on real sockets, against scripted peers that misbehave each in its own way.
#include "gateway/engines.h"

#include <cassert>
#include <cstdio>
#include <functional>

using namespace copperfront;

namespace {

constexpr Span ms(std::int64_t x) { return {x * 1000}; }
constexpr LinkBounds kPeerBounds{1 << 20, 4 << 20};

// A peer that greets, if it does, and then does what its script says with each line.
struct Peer : Link::Owner {
    Loop& loop;
    Listener listener;
    bool greets = true;
    std::function<void(Peer&, const rpc::Message&)> script;
    std::vector<std::unique_ptr<Link>> links;
    std::vector<rpc::Message> heard;
    std::size_t came = 0;

    explicit Peer(Loop& l)
        : loop(l), listener(l, Address::parse("127.0.0.1:0"), [this](int fd) {
              ++came;
              links.push_back(Link::accepted(loop, fd, kPeerBounds, *this));
          }) {}
    void say(const std::string& line) { links.back()->send(line); }
    void reset_all() {
        for (auto& link : links) Link::reset(loop, std::move(link));
        links.clear();
    }
    void line_came(Link& link, std::string_view line) override {
        auto parsed = rpc::parse(line);
        const auto& m = std::get<rpc::Message>(parsed);
        if (m.method == rpc::kInitialize) {
            if (greets) link.send(rpc::hello_answer_line(m.id, "peer", "1"));
            return;
        }
        heard.push_back(m);
        if (script) script(*this, m);
    }
    void link_closed(Link& link, Closing, const std::string&) override {
        for (auto it = links.begin(); it != links.end(); ++it) {
            if (it->get() != &link) continue;
            Link::hand_off(loop, std::move(*it), false);
            links.erase(it);
            return;
        }
    }
};

struct Story : Engines::Owner {
    Loop loop;
    Bounds bounds;
    Log log{"error", "json", "", 1 << 20, 1};
    std::unique_ptr<Engines> engines;
    std::vector<std::pair<AttemptId, Ending>> ended;
    std::vector<std::string> tokens;
    std::size_t ends_wanted = 0;
    std::function<bool()> until;
    Timer give_up{loop, [] {
                      std::fprintf(stderr, "the story does not end\n");
                      std::abort();
                  }};

    Story() {
        bounds.line_bytes = 4096;
        bounds.unsent_bytes = 65536;
        bounds.streams_a_link = 2;
        bounds.bad_messages = 3;
        bounds.connect_timeout = ms(100);
        bounds.idle_link = ms(200);
        bounds.ping_after = ms(100);
        bounds.engine_silence = ms(300);
        engines = std::make_unique<Engines>(loop, bounds, rpc::Hello{"g", "z", "1"}, *this, log);
    }
    void run(std::function<bool()> wanted) {
        until = std::move(wanted);
        give_up.set(ms(20000));
        Timer look(loop, [&] {
            if (until()) return loop.stop();
            look.set(ms(5));
        });
        look.set(ms(0));
        loop.run();
        give_up.off();
    }
    void send(ServerIndex s, AttemptId l) {
        rpc::Order order;
        order.query = "q" + std::to_string(l);
        order.state = "s";
        engines->send(s, l, rpc::order_line(rpc::Id{static_cast<std::int64_t>(l)}, rpc::kRead, order), true);
    }
    void attempt_over(AttemptId l, const Outcome& o, double, const std::string&) override {
        ended.emplace_back(l, o.ending);
    }
    void token_came(AttemptId, std::string_view text) override { tokens.emplace_back(text); }
    void probe_over(ServerIndex, bool, const LoadReport&) override {}
};

using Ends = std::vector<std::pair<AttemptId, Ending>>;

void answers_come_back() {
    Story s;
    Peer peer(s.loop);
    peer.script = [](Peer& p, const rpc::Message& m) {
        p.say(rpc::tokens_line(m.id, "a"));
        p.say(rpc::read_result_line(m.id, 7, {}));
    };
    s.engines->learn(0, peer.listener.address().text());
    s.send(0, 1);
    s.run([&] { return !s.ended.empty(); });
    assert((s.ended == Ends{{1, Ending::read}}));
    assert(s.tokens.size() == 1);
}

// Nothing was sent, so nothing can have run.
void a_refused_connection_is_unreachable() {
    Story s;
    std::string address;
    {
        Listener gone(s.loop, Address::parse("127.0.0.1:0"), [](int) {});
        address = gone.address().text();
    }
    s.engines->learn(0, address);
    s.send(0, 1);
    s.run([&] { return !s.ended.empty(); });
    assert((s.ended == Ends{{1, Ending::unreachable}}));
}

// Against a process that accepts and hangs: the kernel made the connection, but nobody is there.
void an_engine_that_never_greets_is_unreachable() {
    Story s;
    Peer peer(s.loop);
    peer.greets = false;
    s.engines->learn(0, peer.listener.address().text());
    s.send(0, 1);
    s.send(0, 2);
    s.run([&] { return s.ended.size() == 2; });
    assert((s.ended == Ends{{1, Ending::unreachable}, {2, Ending::unreachable}}));
    assert(peer.heard.empty());
}

void a_reset_with_attempts_out_is_broken() {
    Story s;
    Peer peer(s.loop);
    peer.script = [](Peer& p, const rpc::Message& m) {
        if (m.id == rpc::Id{std::int64_t{2}}) p.reset_all();
    };
    s.engines->learn(0, peer.listener.address().text());
    s.send(0, 1);
    s.send(0, 2);
    s.run([&] { return s.ended.size() == 2; });
    assert((s.ended == Ends{{1, Ending::broken}, {2, Ending::broken}}));
}

// Against a process that hangs with attempts out: pings go unanswered and the link is given up.
void a_silent_engine_counts_as_broken() {
    Story s;
    Peer peer(s.loop);
    s.engines->learn(0, peer.listener.address().text());
    s.send(0, 1);
    s.run([&] { return !s.ended.empty(); });
    assert((s.ended == Ends{{1, Ending::broken}}));
    assert(peer.heard.size() >= 2 && peer.heard[1].method == rpc::kPing);
}

void an_engine_that_answers_pings_is_waited_for() {
    Story s;
    Peer peer(s.loop);
    std::size_t pings = 0;
    peer.script = [&](Peer& p, const rpc::Message& m) {
        if (m.method != rpc::kPing) return;
        p.say(rpc::result(m.id, rpc::Json::object()));
        if (++pings == 6) p.say(rpc::read_result_line(rpc::Id{std::int64_t{1}}, 0, {}));
    };
    s.engines->learn(0, peer.listener.address().text());
    s.send(0, 1);
    s.run([&] { return !s.ended.empty(); });
    assert((s.ended == Ends{{1, Ending::read}}));
}

void an_engine_that_talks_nonsense_is_cut_off() {
    for (const char* nonsense : {"not json", R"({"jsonrpc":"2.0","id":99,"result":{}})",
                                 R"({"jsonrpc":"2.0","method":"notifications/tokens","params":{}})"}) {
        Story s;
        Peer peer(s.loop);
        peer.script = [&](Peer& p, const rpc::Message&) {
            for (int n = 0; n < 3; ++n) p.say(nonsense);
        };
        s.engines->learn(0, peer.listener.address().text());
        s.send(0, 1);
        s.run([&] { return !s.ended.empty(); });
        assert((s.ended == Ends{{1, Ending::broken}}));
    }
    Story s;
    Peer peer(s.loop);
    peer.script = [&](Peer& p, const rpc::Message&) { p.say(std::string(5000, ' ') + "x"); };
    s.engines->learn(0, peer.listener.address().text());
    s.send(0, 1);
    s.run([&] { return !s.ended.empty(); });
    assert((s.ended == Ends{{1, Ending::broken}}));
}

void links_are_shared_up_to_their_bound_and_closed_when_idle() {
    Story s;
    Peer peer(s.loop);
    s.engines->learn(0, peer.listener.address().text());
    for (AttemptId l = 1; l <= 5; ++l) s.send(0, l);
    s.run([&] { return peer.heard.size() == 5; });
    assert(peer.came == 3);  // two a link
    for (AttemptId l = 1; l <= 5; ++l) s.engines->call_off(0, l);
    s.run([&] { return peer.heard.size() == 10 && peer.links.empty(); });
    assert(peer.heard.back().method == rpc::kCancelled);
    assert(s.ended.empty() && s.engines->links() == 0);
}

// Against a state pinned because its release found no link: it is owed, and goes out with the next one.
void a_release_waits_for_a_link() {
    Story s;
    Peer peer(s.loop);
    s.engines->learn(0, peer.listener.address().text());
    s.engines->release(0, "g/1");
    assert(s.engines->owed() == 1);
    s.run([&] { return !peer.heard.empty(); });
    assert(peer.heard[0].method == rpc::kRelease && peer.heard[0].body["state"] == "g/1");
    assert(s.engines->owed() == 0);
}

void an_attempt_called_off_before_its_link_is_made_is_never_sent() {
    Story s;
    Peer peer(s.loop);
    s.engines->learn(0, peer.listener.address().text());
    s.send(0, 1);
    s.engines->call_off(0, 1);
    s.send(0, 2);
    s.run([&] { return !peer.heard.empty(); });
    assert(peer.heard.size() == 1 && peer.heard[0].id == rpc::Id{std::int64_t{2}});
}

// Against a dear greeting: what still waits can be taken back, and then nobody hears of it; what was sent
// can't.
void only_what_waits_for_its_link_can_be_taken_back() {
    Story s;
    Peer peer(s.loop);
    s.engines->learn(0, peer.listener.address().text());
    s.send(0, 1);
    s.send(0, 2);
    assert(s.engines->unsend(1) && !s.engines->unsend(1) && !s.engines->unsend(9));
    s.run([&] { return !peer.heard.empty(); });
    assert(peer.heard[0].id == rpc::Id{std::int64_t{2}});
    assert(!s.engines->unsend(2));
    peer.reset_all();
    s.run([&] { return !s.ended.empty(); });
    assert((s.ended == Ends{{2, Ending::broken}}));
}

// Against an engine that takes no more bytes.
void an_engine_that_never_reads_is_cut_off() {
    Story s;
    Peer peer(s.loop);
    peer.script = [](Peer& p, const rpc::Message&) { p.links.back()->pause_reading(true); };
    s.bounds.streams_a_link = 100000;
    s.bounds.engine_silence = ms(60000);
    s.bounds.ping_after = ms(30000);
    s.engines = std::make_unique<Engines>(s.loop, s.bounds, rpc::Hello{"g", "z", "1"}, s, s.log);
    s.engines->learn(0, peer.listener.address().text());
    AttemptId next = 1;
    s.send(0, next++);
    s.run([&] {
        for (int n = 0; n < 2000 && s.ended.empty(); ++n) s.send(0, next++);
        return !s.ended.empty();
    });
    assert(s.ended[0].second == Ending::broken);
}

}  // namespace

int main() {
    answers_come_back();
    a_refused_connection_is_unreachable();
    an_engine_that_never_greets_is_unreachable();
    a_reset_with_attempts_out_is_broken();
    a_silent_engine_counts_as_broken();
    an_engine_that_answers_pings_is_waited_for();
    an_engine_that_talks_nonsense_is_cut_off();
    links_are_shared_up_to_their_bound_and_closed_when_idle();
    a_release_waits_for_a_link();
    an_attempt_called_off_before_its_link_is_made_is_never_sent();
    only_what_waits_for_its_link_can_be_taken_back();
    an_engine_that_never_reads_is_cut_off();
}
