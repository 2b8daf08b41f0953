// The gateway on real sockets with misbehaving clients: each gets an error, other clients are not affected,
// and every accepted request gets exactly one final answer.
#include "gateway/gateway.h"

#include <cassert>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "fakes/fake_model_server.h"
#include "fakes/fake_roster.h"

using namespace copperfront;

namespace {

constexpr Duration ms(std::int64_t x) { return {x * 1000}; }

const char* const kTerms = R"((copperfront
  (gateway (name "g") (zone "z")) (zone "z")
  (kind "reader" (role reader)) (kind "writer" (role writer))
  (category "help" (latency-goal 1s) (hard-stop 2s))
  (category "whole" (latency-goal 1s) (hard-stop 2s) (stream no))
  (rules (drain-grace 250ms) (start-capacity 0.3) (tip-multiple 2.5) (fall 3s) (warm-within 14s) (release-within 1s))
  (bounds (line-bytes 4096) (unsent-bytes 20000) (callers 3) (queries-a-caller 2) (bad-messages 3)
    (caller-silence 300ms) (stop-within 1s))))";

// A client that records every line that it receives.
struct Client : LineConnection::Owner {
    std::unique_ptr<LineConnection> connection;
    Loop& loop;
    std::vector<rpc::Message> received;
    bool closed = false;

    Client(Loop& l, const Address& to) : loop(l) {
        connection = LineConnection::dial(l, to, {1 << 20, 16 << 20}, *this);
    }
    ~Client() override { LineConnection::detach_and_close(loop, std::move(connection), false); }
    void line_received(LineConnection&, std::string_view line) override {
        auto parsed = rpc::parse(line);
        received.push_back(std::get<rpc::Message>(parsed));
    }
    void connection_closed(LineConnection&, CloseReason, const std::string&) override { closed = true; }
    std::size_t count(rpc::MessageKind kind, const rpc::Id& id) const {
        std::size_t n = 0;
        for (const auto& m : received) n += m.kind == kind && m.id == id;
        return n;
    }
    std::size_t final_answers(std::int64_t id) const {
        return count(rpc::MessageKind::result, rpc::Id{id}) + count(rpc::MessageKind::error, rpc::Id{id});
    }
};

struct TestFleet {
    Loop loop;
    Log log{"error", "json", "", 1 << 20, 1};
    fake_server::FakeModelServer reader, writer;
    fake_server::FakeRoster roster;
    std::unique_ptr<Gateway> gateway;
    Timer watchdog{loop, [] {
                       std::fprintf(stderr, "the test did not finish within 20 s\n");
                       std::abort();
                   }};

    static fake_server::ModelServerProfile shape(Role role, double step_ms) {
        fake_server::ModelServerProfile s;
        s.role = role;
        s.step_ms = step_ms;
        s.step_ms_per_stream = 0;
        return s;
    }
    static fake_server::FakeModelServerOptions identity(const char* name) {
        fake_server::FakeModelServerOptions i;
        i.name = name;
        i.zone = "z";
        return i;
    }
    explicit TestFleet(const std::string& state = "", double step_ms = 2, const std::string& with = kTerms)
        : reader(loop, shape(Role::prefill, 2), identity("r")),
          writer(loop, shape(Role::decode, step_ms), identity("w")),
          roster(loop, {}),
          text(with) {
        roster.change({{reader.address().text(), "r", "reader", "z", "a", 0, ServerStatus::ready},
                       {writer.address().text(), "w", "writer", "z", "a", 0, ServerStatus::ready}});
        start(state);
    }
    const std::string text;  // text of the terms file

    void start(const std::string& state) {
        GatewayTerms terms;
        std::vector<Diagnostic> diagnostics;
        Overrides overrides;
        overrides.roster = roster.address().text();
        overrides.state_folder = state;
        const bool well = read_terms(text, overrides, terms, diagnostics);
        assert(well);
        gateway = std::make_unique<Gateway>(loop, terms, 5, log);
    }
    template <class Done>
    void run(Done done) {
        watchdog.set(ms(20000));
        Timer poll(loop, [&] {
            if (done()) return loop.stop();
            poll.set(ms(3));
        });
        poll.set(ms(0));
        loop.run();
        watchdog.cancel();
    }
};

rpc::GenerateRequest make_request(const char* category = "help") {
    rpc::GenerateRequest request;
    request.category = category;
    request.prompt = R"([{"type":"text","text":"x","tokens":100}])";
    request.prompt_tokens = 100;
    request.max_output_tokens = 20;
    request.time_budget = ms(2000);
    return request;
}

void a_request_completes_and_an_unstreamed_answer_comes_in_one_piece() {
    TestFleet fleet;
    Client c(fleet.loop, fleet.gateway->address());
    fleet.run([&] { return fleet.gateway->dispatcher().attempts_out() == 0; });
    c.connection->send(rpc::generate_request_line(rpc::Id{std::int64_t{1}}, make_request()));
    c.connection->send(rpc::generate_request_line(rpc::Id{std::int64_t{2}}, make_request("whole")));
    fleet.run([&] { return c.final_answers(1) == 1 && c.final_answers(2) == 1; });
    assert(c.received.back().kind == rpc::MessageKind::result);
    std::size_t tokens = 0;
    for (const auto& m : c.received) {
        if (m.kind == rpc::MessageKind::notification) tokens += m.body["requestId"] == 1;
        if (m.kind == rpc::MessageKind::notification) assert(m.body["requestId"] != 2);
        if (m.id == rpc::Id{std::int64_t{1}}) assert(m.body["tokens"] == tokens);
        if (m.id == rpc::Id{std::int64_t{2}}) assert(!m.body["text"].get<std::string>().empty());
    }
}

// Guards against an id that is used twice: an error under that id would look like the open request's final
// answer.
void an_id_in_use_is_rejected_without_naming_it() {
    TestFleet fleet;
    Client c(fleet.loop, fleet.gateway->address());
    for (int n = 0; n < 2; ++n)
        c.connection->send(rpc::generate_request_line(rpc::Id{std::int64_t{1}}, make_request()));
    fleet.run([&] { return c.final_answers(1) == 1 && c.count(rpc::MessageKind::error, rpc::Id{}) == 1; });
    assert(c.count(rpc::MessageKind::result, rpc::Id{std::int64_t{1}}) == 1);
}

void bounds_on_a_client_are_enforced() {
    TestFleet fleet;
    Client c(fleet.loop, fleet.gateway->address());
    for (std::int64_t id = 1; id <= 3; ++id)
        c.connection->send(rpc::generate_request_line(rpc::Id{id}, make_request()));
    fleet.run([&] { return c.final_answers(1) + c.final_answers(2) + c.final_answers(3) == 3; });
    for (const auto& m : c.received)
        if (m.id == rpc::Id{std::int64_t{3}}) assert(m.code == rpc::kNotAccepted);
    Client unknown(fleet.loop, fleet.gateway->address());
    unknown.connection->send(rpc::generate_request_line(rpc::Id{std::int64_t{1}}, make_request("nonsense")));
    fleet.run([&] { return unknown.final_answers(1) == 1; });
    assert(unknown.received.back().body["reason"] == "unknown category nonsense");
    // A line that is too long, and too many invalid lines: the client gets errors and is disconnected.
    Client longer(fleet.loop, fleet.gateway->address());
    longer.connection->send(std::string(8000, 'x'));
    fleet.run([&] { return longer.closed; });
    Client noisy(fleet.loop, fleet.gateway->address());
    for (int n = 0; n < 10; ++n) noisy.connection->send("noise");
    fleet.run([&] { return noisy.closed; });
    assert(noisy.count(rpc::MessageKind::error, rpc::Id{}) == 3);
    // A silent client without an open request is disconnected.
    Client silent(fleet.loop, fleet.gateway->address());
    fleet.run([&] { return silent.closed; });
}

void clients_beyond_the_limit_are_refused() {
    TestFleet fleet;
    Client a(fleet.loop, fleet.gateway->address()), b(fleet.loop, fleet.gateway->address()),
        c(fleet.loop, fleet.gateway->address());
    // All three connections are accepted once the last one has its answer.
    c.connection->send(rpc::generate_request_line(rpc::Id{std::int64_t{1}}, make_request()));
    fleet.run([&] { return c.final_answers(1) == 1; });
    Client d(fleet.loop, fleet.gateway->address());
    fleet.run([&] { return d.closed; });
    assert(d.received.size() == 1 && d.received[0].code == rpc::kNotAccepted);
}

// Guards against a client that never reads: its unsent bytes are bounded, and its request ends.
void a_client_that_never_reads_is_disconnected() {
    // Long enough even if the flood and the gateway share a small fraction of a core.
    constexpr Duration kTimeBudget = ms(15000);
    std::string terms = kTerms;
    const std::string usual = R"("help" (latency-goal 1s) (hard-stop 2s))";
    terms.replace(terms.find(usual), usual.size(), R"("help" (latency-goal 15s) (hard-stop 15s))");
    TestFleet fleet("", 0.05, terms);  // fast enough to fill the kernel's socket buffers
    Client c(fleet.loop, fleet.gateway->address());
    rpc::GenerateRequest big = make_request(), usual_request = make_request();
    big.time_budget = usual_request.time_budget = kTimeBudget;
    big.max_output_tokens = 1e6;
    c.connection->send(rpc::generate_request_line(rpc::Id{std::int64_t{1}}, big));
    fleet.run([&] { return !c.received.empty(); });
    c.connection->pause_reading(true);
    Client other(fleet.loop, fleet.gateway->address());
    std::int64_t id = 0;
    fleet.run([&] {
        if (id == 0 || other.final_answers(id) == 1)
            other.connection->send(rpc::generate_request_line(rpc::Id{++id}, usual_request));
        return fleet.gateway->dispatcher().counters().client_left == 1 && other.final_answers(1) == 1;
    });
    const bool served = other.count(rpc::MessageKind::result, rpc::Id{std::int64_t{1}}) == 1;
    for (const auto& received : other.received) {
        if (!served) std::fprintf(stderr, "%d %s\n", received.code, received.body.dump().c_str());
    }
    assert(served);  // other clients are not affected
}

void a_cancelled_request_gets_no_answer() {
    TestFleet fleet;
    Client c(fleet.loop, fleet.gateway->address());
    c.connection->send(rpc::generate_request_line(rpc::Id{std::int64_t{1}}, make_request()));
    c.connection->send(rpc::cancelled_line(rpc::Id{std::int64_t{1}}, "left"));
    c.connection->send(rpc::generate_request_line(rpc::Id{std::int64_t{2}}, make_request()));
    fleet.run([&] { return c.final_answers(2) == 1; });
    assert(c.final_answers(1) == 0);
}

// As on SIGTERM: no new requests are accepted, open requests end, and only then the connections close.
void shutdown_lets_open_requests_end() {
    TestFleet fleet;
    Client c(fleet.loop, fleet.gateway->address());
    c.connection->send(rpc::generate_request_line(rpc::Id{std::int64_t{1}}, make_request()));
    fleet.run([&] { return fleet.gateway->dispatcher().open_requests() == 1; });
    fleet.gateway->stop();
    c.connection->send(rpc::generate_request_line(rpc::Id{std::int64_t{2}}, make_request()));
    fleet.run([&] { return c.closed; });
    assert(c.final_answers(1) == 1 && c.final_answers(2) == 1);
    for (const auto& m : c.received) {
        if (m.id == rpc::Id{std::int64_t{1}}) assert(m.kind == rpc::MessageKind::result);
        if (m.id == rpc::Id{std::int64_t{2}}) assert(m.code == rpc::kNotAccepted);
    }
}

std::string terms_with_forms(const std::string& more) {
    std::string text = kTerms;
    return text.substr(0, text.rfind(')')) + more + ")";
}
void write(const std::string& path, const std::string& text) { std::ofstream(path) << text; }
std::string temporary_folder() {
    std::string folder = (std::filesystem::temp_directory_path() / "copperfront-terms-XXXXXX").string();
    assert(mkdtemp(folder.data()) != nullptr);
    return folder;
}

void a_route_over_its_limit_rejects_at_once_and_others_continue() {
    TestFleet fleet;
    const std::string folder = temporary_folder(), file = folder + "/x.terms";
    Overrides overrides;
    overrides.roster = fleet.roster.address().text();
    write(file, terms_with_forms(R"((route "web" (attributes "app=web") (in-hand 1)))"));
    assert(fleet.gateway->reload(file, overrides) && fleet.gateway->generation() == 2);
    Client c(fleet.loop, fleet.gateway->address());
    rpc::GenerateRequest web = make_request();
    web.attributes = {"app=web", "other=1"};
    c.connection->send(rpc::generate_request_line(rpc::Id{std::int64_t{1}}, web));
    c.connection->send(rpc::generate_request_line(rpc::Id{std::int64_t{2}}, web));
    fleet.run([&] { return c.final_answers(1) == 1 && c.final_answers(2) == 1; });
    Client d(fleet.loop, fleet.gateway->address());
    d.connection->send(rpc::generate_request_line(rpc::Id{std::int64_t{1}}, make_request()));
    fleet.run([&] { return d.final_answers(1) == 1; });
    for (const auto& m : c.received) {
        if (m.id == rpc::Id{std::int64_t{1}}) assert(m.kind == rpc::MessageKind::result);
        if (m.id != rpc::Id{std::int64_t{2}}) continue;
        assert(m.code == rpc::kRejected && m.body["stayAwayMs"].get<double>() > 0);
        assert(m.body["reason"] == "too many queries in hand on this route");
    }
    assert(d.received.back().kind == rpc::MessageKind::result);
    d.connection->send(rpc::request_line(rpc::Id{std::int64_t{9}}, rpc::kStatus, rpc::Json::object()));
    fleet.run([&] { return d.final_answers(9) == 1; });
    assert(d.received.back().body["overLimit"] == 1 && d.received.back().body["generation"] == 2);
    std::filesystem::remove_all(folder);
}

// Guards against a reload that is applied in part: one invalid entry, a half-written file, a change that
// needs a restart.
void a_bad_reload_changes_nothing() {
    TestFleet fleet;
    const std::string folder = temporary_folder(), file = folder + "/x.terms";
    Overrides overrides;
    overrides.roster = fleet.roster.address().text();
    std::string many;
    for (int n = 0; n < 2000; ++n)
        many += "(route \"r" + std::to_string(n) + "\" (attributes \"shop=" + std::to_string(n) +
                "\") (in-hand 5))\n";
    const std::string good = terms_with_forms(many);
    std::string one_bad = good, half = good.substr(0, good.size() / 2), other_zone = good;
    one_bad.replace(one_bad.find("(in-hand 5))\n(route \"r1500"), 11, "(in-hand 0)");
    other_zone.replace(other_zone.find("(zone \"z\")) (zone \"z\")"), 23, "(zone \"y\")) (zone \"y\")");
    for (const std::string& bad : {one_bad, half, other_zone, std::string()}) {
        write(file, bad);
        assert(!fleet.gateway->reload(file, overrides) && fleet.gateway->generation() == 1);
    }
    assert(!fleet.gateway->reload(folder + "/none", overrides));
    write(file, good);
    assert(fleet.gateway->reload(file, overrides) && fleet.gateway->generation() == 2);
    std::filesystem::remove_all(folder);
}

// A hundred reloads, valid and invalid in turn, under load: no request is lost or answered twice. The
// category turns effectful and back, and a route is added and removed while it has requests in flight.
void reloads_under_load_lose_no_request() {
    TestFleet fleet;
    const std::string folder = temporary_folder(), file = folder + "/x.terms";
    Overrides overrides;
    overrides.roster = fleet.roster.address().text();
    Client c(fleet.loop, fleet.gateway->address());
    std::int64_t sent = 0;
    int reloads = 0, applied = 0;
    const std::string route = R"((route "web" (attributes "app=web") (in-hand 100) (retry-share 0.1)))";
    fleet.run([&] {
        // Two open requests at a time, as many as this client may have.
        while (sent - static_cast<std::int64_t>(fleet.gateway->dispatcher().counters().completed) < 2 &&
               reloads < 100) {
            rpc::GenerateRequest a = make_request();
            if (sent % 2) a.attributes = {"app=web"};
            c.connection->send(rpc::generate_request_line(rpc::Id{++sent}, a));
        }
        std::size_t final_answers = 0;
        for (const auto& m : c.received) final_answers += m.kind != rpc::MessageKind::notification;
        // Two reloads for each request that has ended, so that every request overlaps with some.
        if (reloads < 100 && reloads <= static_cast<int>(2 * final_answers)) {
            std::string text = terms_with_forms(reloads % 4 < 2 ? route : "");
            if (reloads % 3 == 1)
                text.replace(text.find("(category \"help\""), 16, "(category \"help\" (effect effectful)");
            if (reloads % 2) text += ")";
            write(file, text);
            applied += fleet.gateway->reload(file, overrides);
            ++reloads;
        }
        return reloads == 100 && final_answers == static_cast<std::size_t>(sent);
    });
    assert(applied == 50 && fleet.gateway->generation() == 51);
    assert(sent > 20);
    for (std::int64_t id = 1; id <= sent; ++id) {
        assert(c.final_answers(id) == 1);
        assert(c.count(rpc::MessageKind::result, rpc::Id{id}) == 1);
    }
    std::filesystem::remove_all(folder);
}

// Guards against answers delayed by a file of thousands of routes: requests continue while it is read, and
// two reload signals in a row end with the newest file.
void a_large_file_is_read_in_the_background() {
    TestFleet fleet;
    const std::string folder = temporary_folder(), file = folder + "/x.terms";
    Overrides overrides;
    overrides.roster = fleet.roster.address().text();
    std::string many;
    for (int n = 0; n < 10000; ++n)
        many += "(route \"r" + std::to_string(n) + "\" (attributes \"shop=" + std::to_string(n) +
                "\") (in-hand 5) (rate 9))\n";
    write(file, terms_with_forms(many));
    std::int64_t last = monotonic_clock_us(), longest = 0, ticks = 0;
    Timer heartbeat(fleet.loop, [&] {
        const std::int64_t now = monotonic_clock_us();
        longest = std::max(longest, now - last);
        last = now;
        ++ticks;
        heartbeat.set(ms(1));
    });
    heartbeat.set(ms(0));
    const std::int64_t begun = monotonic_clock_us();
    fleet.gateway->reload_in_background(file, overrides);
    bool written = false;
    fleet.run([&] {
        if (!written && ticks >= 10) {
            written = true;
            write(file + ".new", terms_with_forms(many + "(route \"last\" (attributes \"shop=last\"))"));
            std::filesystem::rename(file + ".new", file);
            fleet.gateway->reload_in_background(file, overrides);
        }
        return fleet.gateway->generation() == 3;
    });
    std::fprintf(
        stderr,
        "10,000 routes read in the background twice in %.0f ms; the loop was blocked for %.1f ms at most\n",
        static_cast<double>(monotonic_clock_us() - begun) / 1e3, static_cast<double>(longest) / 1e3);
    assert(ticks > 20);  // the loop was never blocked for a whole read
    Client c(fleet.loop, fleet.gateway->address());
    c.connection->send(rpc::generate_request_line(rpc::Id{std::int64_t{1}}, make_request()));
    fleet.run([&] { return c.final_answers(1) == 1; });
    std::filesystem::remove_all(folder);
}

// A restart uses the stored list; a damaged file is renamed and reported.
void the_last_server_list_is_stored() {
    std::string folder = (std::filesystem::temp_directory_path() / "copperfront-state-XXXXXX").string();
    assert(mkdtemp(folder.data()) != nullptr);
    TestFleet fleet(folder);
    fleet.run([&] { return std::filesystem::exists(folder + "/servers.json"); });
    ServerListStore store(folder);
    std::string problem;
    auto list = store.read(problem);
    assert(list && list->entries.size() == 2 && problem.empty());
    std::string text;
    std::vector<Diagnostic> diagnostics;
    assert(read_file(folder + "/servers.json", 1 << 20, text, diagnostics));
    for (const std::size_t cut : {std::size_t{0}, std::size_t{1}, text.size() / 2, text.size() - 4}) {
        std::ofstream(folder + "/servers.json") << text.substr(0, cut);
        problem.clear();
        assert(!store.read(problem) && problem.find("set aside") != std::string::npos);
        assert(!std::filesystem::exists(folder + "/servers.json"));
    }
    // One character changed, as by a failing disk: the checksum detects it.
    std::string other = text;
    other[other.find("reader")] = 'R';
    std::ofstream(folder + "/servers.json") << other;
    problem.clear();
    assert(!store.read(problem) && problem.find("sum") != std::string::npos);
    std::filesystem::remove_all(folder);
}

// Returns the answer of the status call to this client.
rpc::Json get_status(TestFleet& fleet, Client& c, std::int64_t id) {
    c.connection->send(rpc::request_line(rpc::Id{id}, "gateway/status", rpc::Json::object()));
    fleet.run([&] { return c.final_answers(id) == 1; });
    for (const auto& m : c.received)
        if (m.id == rpc::Id{id}) return m.body;
    return {};
}

GatewayTerms read_valid(std::string text, const Overrides& overrides) {
    GatewayTerms terms;
    std::vector<Diagnostic> diagnostics;
    const bool well = read_terms(text, overrides, terms, diagnostics);
    if (!well) std::fprintf(stderr, "%s\n", format_diagnostics("terms", diagnostics).c_str());
    assert(well);
    return terms;
}

// Shadow evaluation: the gateway decides by its own terms and counts where other terms would decide
// differently. A second prefill server is of a kind that is mixed in the other terms: they would prefill only
// on the first server.
void shadow_evaluation_changes_no_decision() {
    TestFleet fleet;
    fake_server::FakeModelServer second(fleet.loop, TestFleet::shape(Role::prefill, 2),
                                        TestFleet::identity("r2"));
    fake_server::FakeRoster roster(fleet.loop, {});
    roster.change({{fleet.reader.address().text(), "r", "reader", "z", "a", 0, ServerStatus::ready},
                   {second.address().text(), "r2", "extra", "z", "a", 0, ServerStatus::ready},
                   {fleet.writer.address().text(), "w", "writer", "z", "a", 0, ServerStatus::ready}});
    Overrides overrides;
    overrides.roster = roster.address().text();
    const std::string more = R"((kind "extra" (role )";
    const GatewayTerms now = read_valid(terms_with_forms(more + "reader))"), overrides);
    const GatewayTerms other = read_valid(
        terms_with_forms(more + "mixed)) (allow (probes yes)) (reports (how inline) (memory yes))"),
        overrides);
    Gateway gateway(fleet.loop, now, 5, fleet.log);
    std::vector<Diagnostic> diagnostics;
    assert(gateway.start_shadow_evaluation(other, diagnostics, 5) && diagnostics.empty());
    Client c(fleet.loop, gateway.address());
    for (std::int64_t id = 1; id <= 20; ++id) {
        c.connection->send(rpc::generate_request_line(rpc::Id{id}, make_request()));
        fleet.run([&] { return c.final_answers(id) == 1; });
        assert(c.count(rpc::MessageKind::result, rpc::Id{id}) == 1);
    }
    const rpc::Json shadow = get_status(fleet, c, 99)["watching"];
    std::uint64_t attempts = 0;
    for (const char* key : {"alike", "reader", "writer", "held"})
        attempts += shadow[key].get<std::uint64_t>();
    assert(attempts == 40);  // each request had one prefill and one decode, and each of these was compared
    assert(shadow["reader"].get<std::uint64_t>() >= 4 && shadow["alike"].get<std::uint64_t>() >= 10);
    assert(shadow["ended"] == 0 && shadow["wentOn"] == 0);
    assert(gateway.dispatcher().counters().probes == 0 && gateway.dispatcher().counters().prefills == 20);

    // Terms that cannot be compared are refused, and so is a start after the terms have changed.
    std::string strange = kTerms;
    strange.replace(strange.find("\"whole\""), 7, "\"other\"");
    assert(!fleet.gateway->start_shadow_evaluation(read_valid(strange, overrides), diagnostics, 5) &&
           diagnostics.size() == 1);
    diagnostics.clear();
    overrides.roster = fleet.roster.address().text();
    assert(fleet.gateway->change_terms(
        read_valid(terms_with_forms(R"((route "x" (attributes "app=x") (rate 9)))"), overrides),
        diagnostics));
    assert(!fleet.gateway->start_shadow_evaluation(read_valid(kTerms, overrides), diagnostics, 5) &&
           diagnostics.size() == 1);
}

const char* const kPeers =
    R"((allow (peers yes)) (peer "b" (at "127.0.0.1:1")) (reports (how inline) (memory yes)))";

// Gateways that may exchange notes do so on loopback; datagrams from other senders are dropped.
void peers_receive_hand_over_notes_and_other_senders_are_ignored() {
    TestFleet fleet;
    Overrides overrides;
    overrides.roster = fleet.roster.address().text();
    overrides.peer_listen = "127.0.0.1:0";
    const GatewayTerms terms = read_valid(terms_with_forms(kPeers), overrides);
    Gateway a(fleet.loop, terms, 5, fleet.log), b(fleet.loop, terms, 6, fleet.log);
    a.peers()->add(b.peers()->address());
    b.peers()->add(a.peers()->address());
    std::size_t stranger_received = 0;
    PeerNotes stranger(fleet.loop, Address::parse("127.0.0.1:0"), {b.peers()->address().text()},
                       [&](std::string_view) { ++stranger_received; });
    stranger.send("w003ea99");
    stranger.send(std::string(300, 'x'));  // longer than the limit for notes: never sent
    assert(stranger.counts().sent == 1);
    Client c(fleet.loop, a.address());
    c.connection->send(rpc::generate_request_line(rpc::Id{std::int64_t{1}}, make_request()));
    fleet.run([&] {
        return c.final_answers(1) == 1 && b.peers()->counts().received == 1 &&
               b.peers()->counts().dropped == 1;
    });
    assert(c.count(rpc::MessageKind::result, rpc::Id{std::int64_t{1}}) == 1);
    assert(a.peers()->counts().sent >= 1 && a.peers()->counts().received == 0 && stranger_received == 0);
}

// Guards against a faulty peer that floods the gateway: its notes delay neither other work nor requests.
void a_flood_of_peer_notes_does_not_block_requests() {
    TestFleet fleet;
    Overrides overrides;
    overrides.roster = fleet.roster.address().text();
    overrides.peer_listen = "127.0.0.1:0";
    Gateway a(fleet.loop, read_valid(terms_with_forms(kPeers), overrides), 5, fleet.log);
    PeerNotes flooding_peer(fleet.loop, Address::parse("127.0.0.1:0"), {a.peers()->address().text()},
                            [](std::string_view) {});
    a.peers()->add(flooding_peer.address());
    Client c(fleet.loop, a.address());
    Timer flood(fleet.loop, [&] {
        for (int n = 0; n < 100; ++n) {
            flooding_peer.send("u" + std::string(1, static_cast<char>('0' + n % 10)) + "00000");
            flooding_peer.send(std::string(256, static_cast<char>(n)));
        }
        flood.set(ms(1));
    });
    flood.set(ms(0));
    for (std::int64_t id = 1; id <= 10; ++id) {
        c.connection->send(rpc::generate_request_line(rpc::Id{id}, make_request()));
        fleet.run([&] { return c.final_answers(id) == 1; });
        assert(c.count(rpc::MessageKind::result, rpc::Id{id}) == 1);
    }
    assert(a.peers()->counts().received > 100);
}

// Guards against notes whose category index means another category elsewhere, and against a port already in
// use.
void a_reload_cannot_change_what_peers_rely_on() {
    TestFleet fleet;
    Overrides overrides;
    overrides.roster = fleet.roster.address().text();
    overrides.peer_listen = "127.0.0.1:0";
    const std::string text = terms_with_forms(kPeers);
    Gateway a(fleet.loop, read_valid(text, overrides), 5, fleet.log);
    std::string slower = text;
    slower.replace(slower.find("(latency-goal 1s)"), 17, "(latency-goal 1100ms)");
    std::vector<Diagnostic> diagnostics;
    assert(!a.change_terms(read_valid(slower, overrides), diagnostics) && diagnostics.size() == 1 &&
           diagnostics[0].path == "category");
    diagnostics.clear();
    assert(!a.change_terms(read_valid(terms_with_forms(""), overrides), diagnostics) &&
           diagnostics[0].path == "allow / peers");
    overrides.peer_listen = a.peers()->address().text();
    bool reported = false;
    try {
        Gateway b(fleet.loop, read_valid(text, overrides), 6, fleet.log);
    } catch (const NetworkError& error) {
        reported = std::string(error.what()).find(overrides.peer_listen) != std::string::npos;
    }
    assert(reported);
}

}  // namespace

int main() {
    a_request_completes_and_an_unstreamed_answer_comes_in_one_piece();
    an_id_in_use_is_rejected_without_naming_it();
    bounds_on_a_client_are_enforced();
    clients_beyond_the_limit_are_refused();
    a_client_that_never_reads_is_disconnected();
    a_cancelled_request_gets_no_answer();
    shutdown_lets_open_requests_end();
    a_route_over_its_limit_rejects_at_once_and_others_continue();
    a_bad_reload_changes_nothing();
    reloads_under_load_lose_no_request();
    a_large_file_is_read_in_the_background();
    the_last_server_list_is_stored();
    shadow_evaluation_changes_no_decision();
    peers_receive_hand_over_notes_and_other_senders_are_ignored();
    a_flood_of_peer_notes_does_not_block_requests();
    a_reload_cannot_change_what_peers_rely_on();
}
