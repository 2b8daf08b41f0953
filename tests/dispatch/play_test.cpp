// Plays random events against random accepted terms files: whatever servers answer, lose or forget, whichever
// clients leave and whenever the terms change, the rules hold. A terms file that would break a rule is
// rejected when it is read (tests/terms).
#include <rapidcheck.h>

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <string>

#include "dispatch/dispatcher.h"
#include "terms/terms_file.h"

using namespace copperfront;

namespace {

constexpr Duration ms(std::int64_t x) { return {x * 1000}; }
constexpr ServerIndex kServers = 8;  // four prefill servers, three decode servers, one mixed server
constexpr std::uint16_t kKinds[kServers] = {0, 0, 0, 0, 1, 1, 1, 2};

// Two variants of the terms: plain, and with load reports, probes and notes between peers.
const char* const kPlain = "(allow (cancel yes) (second-copies yes))";
const char* const kReporting =
    R"((allow (cancel yes) (second-copies yes) (probes yes) (peers yes) (writers-read yes))
  (peer "h" (at "127.0.0.1:9")) (reports (how inline) (memory yes) (unread yes)))";

const char* const kBase = R"((copperfront
  (gateway (name "g") (zone "z")) (fleet (quantum 4ms)) (zone "z")
  (kind "reader" (role reader)) (kind "writer" (role writer) (memory-tokens 3000))
  (kind "mixed" (role mixed) (memory-tokens 3000))
  (category "pure" (latency-goal 500ms) (token-gap 20ms) (hard-stop 2s))
  (category "receipt" (effect receipted) (window 1s) (latency-goal 500ms) (hard-stop 2s))
  (category "once" (effect effectful) (latency-goal 500ms) (hard-stop 2s))
  (rules (drain-grace 250ms) (start-capacity 0.3) (tip-multiple 2.5) (fall 3s) (warm-within 14s) (release-within 1s)
    (most-launches 5)))";

// Most values are acceptable; about one in sixty is not, alone or in combination.
std::string random_route(int n) {
    const std::string category = *rc::gen::element<std::string>("pure", "pure", "receipt", "once");
    std::string out = "(route \"r" + std::to_string(n) + "\" (category \"" + category + "\") (prompt-from " +
                      std::to_string(n * 100) + ")";
    const auto maybe_add = [&](const std::string& key, const std::vector<std::string>& good,
                               const std::string& bad) {
        if (*rc::gen::inRange(0, 3) != 0) return;
        out += " (" + key + " " + (*rc::gen::inRange(0, 60) == 0 ? bad : *rc::gen::elementOf(good)) + ")";
    };
    maybe_add("connect", {"10ms", "40ms"}, "2s");
    maybe_add("read", {"100ms", "500ms"}, "3s");
    maybe_add("hand-over", {"50ms", "400ms"}, "2s");
    maybe_add("first-token", {"100ms", "900ms"}, "3s");
    maybe_add("gap", {"50ms", "1s"}, "0");
    maybe_add("whole", {"1s", "5s"}, "10ms");
    maybe_add("most-launches", {"2", "3", "5"}, "9");
    maybe_add("after-unreachable", {"0", "1", "3"}, "-1");
    maybe_add("after-full", {"0", "1", "3"}, "x");
    if (category != "once") {
        maybe_add("after-failed", {"0", "1", "3"}, "1.5");
        maybe_add("after-silent", {"0", "1", "3"}, "99");
    }
    maybe_add("retry-share", {"0", "0.2", "1"}, "11");
    maybe_add("rate", {"5", "50"}, "0");
    maybe_add("in-hand", {"1", "4", "20"}, "0");
    maybe_add("held", {"1", "10"}, "0");
    maybe_add("adapts", {"yes"}, "maybe");
    if (category != "pure") {
        out += " (second-copies no)";
    } else {
        maybe_add("second-copies", {"yes"}, "always");
        maybe_add("second-after", {"20ms", "200ms"}, "4s");
        maybe_add("second-share", {"0.1", "1"}, "2");
    }
    return out + ")";
}

struct SimulatedHost : DispatcherHost {
    struct InFlight {
        ServerIndex server;
        RequestIndex request;
        bool is_prefill, cancelled = false;
        AttemptId state;
    };
    struct HeldState {
        ServerIndex server;
        std::uint64_t request_number;  // index in requests
        Instant idle_since;
    };
    struct IssuedRequest {
        Instant arrived_at;
        Duration budget;
        Effect effect = Effect::pure;
        int answers = 0, in_flight = 0;
        bool streaming = false, client_left = false, ended = false, may_have_run = false;
    };

    Instant clock{1'000'000'000'000};
    Instant next_wakeup{INT64_MAX};
    std::map<AttemptId, InFlight> attempts;
    std::map<std::pair<ServerIndex, AttemptId>, HeldState> states;
    std::map<RequestIndex, std::uint64_t> request_numbers;
    std::vector<IssuedRequest> requests;
    std::set<ServerIndex> draining_servers;
    std::string violation;
    std::vector<ServerIndex> pending_probes;  // probes that have not been answered
    std::vector<std::string> notes;
    std::uint64_t probes = 0;

    void record_violation(const std::string& what) {
        if (violation.empty()) violation = what;
    }
    IssuedRequest& of(RequestIndex request) { return requests[request_numbers.at(request)]; }

    Instant now() const override { return clock; }
    void schedule_wakeup(Instant at) override { next_wakeup = at; }
    void record_attempt(AttemptId attempt, ServerIndex to, RequestIndex request, bool is_prefill,
                        AttemptId state) {
        IssuedRequest& issued = of(request);
        if (issued.ended) record_violation("an attempt for a request that has ended");
        if (draining_servers.count(to)) record_violation("an attempt on a draining server");
        if (issued.effect != Effect::pure && issued.in_flight > 0)
            record_violation("two attempts in flight for a request that is not pure");
        if (!is_prefill && issued.effect == Effect::effectful && issued.may_have_run)
            record_violation("an effectful request was sent again");
        ++issued.in_flight;
        attempts[attempt] = {to, request, is_prefill, false, state};
    }
    void send_prefill(AttemptId attempt, ServerIndex to, RequestIndex request, Duration) override {
        record_attempt(attempt, to, request, true, 0);
    }
    void send_decode(AttemptId attempt, ServerIndex to, RequestIndex request, AttemptId state, ServerIndex,
                     Duration) override {
        record_attempt(attempt, to, request, false, state);
    }
    void cancel_attempt(AttemptId attempt, ServerIndex) override {
        const auto it = attempts.find(attempt);
        if (it == attempts.end() || it->second.cancelled)
            return record_violation("cancelled an attempt that is not in flight");
        it->second.cancelled = true;
        attempt_finished(attempt, !it->second.is_prefill);
    }
    // Every third attempt still waits for its connection, so it has not run.
    bool cancel_if_unsent(AttemptId attempt, ServerIndex) override {
        const auto it = attempts.find(attempt);
        if (it == attempts.end() || it->second.cancelled || attempt % 3 != 0) return false;
        attempt_finished(attempt, false);
        attempts.erase(it);
        return true;
    }
    // The gateway no longer waits for this attempt.
    void attempt_finished(AttemptId attempt, bool may_have_run) {
        IssuedRequest& issued = of(attempts.at(attempt).request);
        --issued.in_flight;
        issued.may_have_run |= may_have_run;
        const std::uint64_t n = request_numbers.at(attempts.at(attempt).request);
        if (issued.in_flight == 0)
            for (auto& [key, s] : states)
                if (s.request_number == n) s.idle_since = clock;
    }
    void release(ServerIndex at, AttemptId state) override { states.erase({at, state}); }
    void probe(ServerIndex server) override {
        ++probes;
        pending_probes.push_back(server);
    }
    void notify_peers(std::string_view note) override { notes.emplace_back(note); }
    void subscribe() override {}
    void final_answer(RequestIndex request, bool is_rejection) {
        IssuedRequest& issued = of(request);
        if (++issued.answers > 1 || issued.client_left)
            record_violation("a second final answer, or one after the client left");
        if (is_rejection && issued.effect == Effect::effectful &&
            (issued.may_have_run || issued.in_flight > 0))
            record_violation("rejected a request that may have run or has an attempt in flight");
        if (!issued.streaming && clock > issued.arrived_at + issued.budget)
            record_violation("a final answer after the deadline");
        issued.ended = true;
    }
    void completed(RequestIndex request) override { final_answer(request, false); }
    void rejected(RequestIndex request, Duration, std::string_view) override { final_answer(request, true); }
    void abandoned(RequestIndex request, std::string_view) override { final_answer(request, false); }
    void closed(RequestIndex request) override {
        if (of(request).in_flight > 0) record_violation("closed with attempts in flight");
        request_numbers.erase(request);
    }
    void log(std::string_view) override {}

    void check_held_states() {
        for (const auto& [key, s] : states)
            if (requests[s.request_number].in_flight == 0 && clock - s.idle_since > ms(1000))
                record_violation("a state stayed held after its release was due");
    }
};

struct RandomRun {
    SimulatedHost host;
    GatewayTerms terms, shadow_terms;
    bool evaluates_shadow_terms = false;
    std::unique_ptr<Dispatcher> dispatcher;
    std::minstd_rand rng;

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(rng); }

    std::vector<RouteLimits> limits() const {
        std::vector<RouteLimits> out;
        for (const RouteTerms& r : terms.routes) out.push_back(r.limits);
        return out;
    }
    void start() {
        dispatcher = std::make_unique<Dispatcher>(terms.core, host, 5);
        dispatcher->terms_changed(terms.core, limits());
        if (evaluates_shadow_terms) dispatcher->evaluate_shadow_terms(&shadow_terms.core, 5);
        std::vector<ServerListing> list(kServers);
        for (ServerIndex s = 0; s < kServers; ++s) {
            list[s].server = s;
            list[s].kind = kKinds[s];
            list[s].name_hash = s + 1;
        }
        dispatcher->list_arrived(list, true);
    }
    void send_request() {
        RequestInfo a;
        a.category = static_cast<std::uint16_t>(uniform() * 3);
        a.prompt_tokens = std::floor(uniform() * 600);
        a.max_output_tokens = 50;
        a.session = static_cast<std::uint64_t>(uniform() * 5);
        a.time_budget = ms(200 + static_cast<std::int64_t>(uniform() * 1800));
        RouteRequest wanted;
        wanted.category = a.category;
        wanted.listener = 0;
        wanted.prompt_tokens = a.prompt_tokens;
        const std::uint32_t route_index = terms.table.find(wanted);
        const RequestIndex request = dispatcher->open();
        SimulatedHost::IssuedRequest issued;
        issued.arrived_at = host.clock;
        issued.budget = a.time_budget;
        issued.effect = terms.core.categories[a.category].effect;
        host.request_numbers[request] = host.requests.size();
        host.requests.push_back(issued);
        dispatcher->request_arrived(request, a, route_index, terms.routes[route_index].limits);
    }
    LoadReport report() { return {uniform() < 0.8 ? uniform() : -1, uniform() < 0.5 ? 0 : uniform() * 5}; }
    // Answers a probe, and delivers a note that is repeated, altered or made up.
    void receive_probe_or_note() {
        if (!host.pending_probes.empty()) {
            const ServerIndex s = host.pending_probes.back();
            host.pending_probes.pop_back();
            if (uniform() < 0.8) dispatcher->probe_answered(s, uniform() < 0.8, report());
        }
        std::string note = host.notes.empty() ? "u000010" : host.notes.back();
        if (uniform() < 0.5)
            note[static_cast<std::size_t>(uniform() * 0.999 * static_cast<double>(note.size()))] =
                "uawz0f9"[static_cast<int>(uniform() * 7)];
        dispatcher->peer_note_received(note);
    }
    // Answers one attempt, or loses it.
    void answer_attempt(AttemptId id) {
        SimulatedHost::InFlight& o = host.attempts.at(id);
        const std::uint64_t n =
            host.request_numbers.count(o.request) ? host.request_numbers.at(o.request) : 0;
        const bool was_cancelled = o.cancelled;
        const double choice = uniform();
        AttemptOutcome outcome;
        outcome.report = report();
        if (o.is_prefill) {
            outcome.ending = choice < 0.7   ? Ending::prefilled
                             : choice < 0.8 ? Ending::refused
                             : choice < 0.9 ? Ending::connection_lost
                                            : Ending::error;
            // The server may hold the state whatever it answered, unless a cancel arrived first.
            if (!was_cancelled && (choice < 0.7 || (choice >= 0.8 && choice < 0.85)))
                host.states[{o.server, id}] = {o.server, n, host.clock};
        } else if (choice < 0.5 && !was_cancelled) {
            RequestIndex request = 0;
            if (dispatcher->token_received(id, request)) {
                host.states.erase({state_at(o.state), o.state});
                SimulatedHost::IssuedRequest& issued = host.of(request);
                if (issued.ended) host.record_violation("a token after the final answer");
                if (!issued.streaming && host.clock > issued.arrived_at + issued.budget)
                    host.record_violation("a first token after the deadline");
                issued.streaming = true;
            }
            if (!host.attempts.count(id) || host.attempts.at(id).cancelled || uniform() < 0.5) return;
            outcome.ending = Ending::completed;
        } else {
            outcome.ending = choice < 0.6    ? Ending::refused
                             : choice < 0.7  ? Ending::unreachable
                             : choice < 0.85 ? Ending::connection_lost
                                             : Ending::error;
            outcome.state_missing = choice >= 0.55 && choice < 0.6;
        }
        if (!was_cancelled) {
            const bool ran =
                !o.is_prefill && outcome.ending != Ending::refused && outcome.ending != Ending::unreachable;
            host.attempt_finished(id, ran);
        }
        host.attempts.erase(id);
        dispatcher->attempt_ended(id, outcome);
    }
    ServerIndex state_at(AttemptId state) const {
        for (const auto& [key, s] : host.states)
            if (key.second == state) return key.first;
        return 0;
    }
    void advance(Duration span) {
        const Instant until = host.clock + span;
        while (host.next_wakeup <= until) {
            host.clock = std::max(host.clock, host.next_wakeup);
            host.next_wakeup = {INT64_MAX};
            dispatcher->run_due_timers();
            host.check_held_states();
        }
        host.clock = until;
        host.check_held_states();
    }
    void step() {
        const double choice = uniform();
        if (choice < 0.25) {
            send_request();
        } else if (choice < 0.7 && !host.attempts.empty()) {
            auto it = host.attempts.begin();
            std::advance(it,
                         static_cast<std::ptrdiff_t>(uniform() * static_cast<double>(host.attempts.size())));
            answer_attempt(it->first);
        } else if (choice < 0.74 && !host.request_numbers.empty()) {
            auto it = host.request_numbers.begin();
            std::advance(it, static_cast<std::ptrdiff_t>(uniform() *
                                                         static_cast<double>(host.request_numbers.size())));
            SimulatedHost::IssuedRequest& issued = host.requests[it->second];
            if (!issued.ended) {
                issued.client_left = issued.ended = true;
                dispatcher->client_left(it->first);
            }
        } else if (choice < 0.76) {
            ServerListing l;
            l.server = static_cast<ServerIndex>(uniform() * kServers);
            l.kind = kKinds[l.server];
            l.name_hash = l.server + 1;
            const bool drains = uniform() < 0.5 && host.draining_servers.size() < 3;
            l.status = drains ? ServerStatus::draining : ServerStatus::ready;
            if (drains)
                host.draining_servers.insert(l.server);
            else
                host.draining_servers.erase(l.server);
            dispatcher->list_arrived({{l}}, false);
        } else if (choice < 0.765) {
            dispatcher->terms_changed(terms.core, limits());
        } else if (choice < 0.8) {
            receive_probe_or_note();
        } else {
            advance(ms(static_cast<std::int64_t>(uniform() * uniform() * 120)));
        }
    }
};

}  // namespace

int main() {
    int runs = 0, rejected_files = 0;
    std::uint64_t hedges = 0, requests = 0, retries_denied = 0, over_limit = 0, probes = 0, compared = 0;
    const bool passed = rc::check("accepted files keep the rules", [&] {
        std::string routes_text;
        if (*rc::gen::arbitrary<bool>())
            routes_text += R"((route "default" (second-copies yes) (second-share 1) (second-after 30ms)))";
        const int routes = *rc::gen::inRange(0, 5);
        for (int n = 0; n < routes; ++n) routes_text += random_route(n);
        RandomRun run;
        std::vector<Diagnostic> diagnostics;
        Overrides o;
        o.peer_listen = "127.0.0.1:8";
        const bool with_reports = *rc::gen::arbitrary<bool>();
        run.evaluates_shadow_terms = *rc::gen::arbitrary<bool>();
        const auto full_text = [&](bool reporting) {
            return kBase + std::string(reporting ? kReporting : kPlain) + routes_text + ")";
        };
        if (!read_terms(full_text(with_reports), o, run.terms, diagnostics) ||
            !read_terms(full_text(!with_reports), o, run.shadow_terms, diagnostics)) {
            ++rejected_files;
            return;
        }
        ++runs;
        run.rng.seed(static_cast<std::uint32_t>(*rc::gen::inRange(1, 1 << 30)));
        run.start();
        for (int n = 0; n < 400 && run.host.violation.empty(); ++n) run.step();
        // No more answers arrive: every request must end by itself.
        run.advance(ms(12000));
        const DispatcherCounters& t = run.dispatcher->counters();
        hedges += t.hedges;
        requests += t.received;
        retries_denied += t.retries_denied;
        over_limit += t.over_limit;
        probes += run.host.probes;
        if (const ShadowEvaluation* w = run.dispatcher->shadow_evaluation()) {
            const ShadowDifferences& d = w->differences();
            compared += d.same_server + d.other_prefill_server + d.other_decode_server + d.not_sent;
        }
        if (!run.host.violation.empty()) RC_FAIL(run.host.violation + "\n" + full_text(with_reports));
        RC_ASSERT(run.dispatcher->open_requests() == 0);
        RC_ASSERT(run.dispatcher->attempts_out() == 0);
        RC_ASSERT(run.host.states.empty());
        for (const SimulatedHost::IssuedRequest& issued : run.host.requests)
            RC_ASSERT(issued.answers == (issued.client_left ? 0 : 1));
    });
    std::printf(
        "%d terms files played, %d rejected; %llu requests, %llu hedges, %llu over a limit, %llu retries "
        "denied\n",
        runs, rejected_files, static_cast<unsigned long long>(requests),
        static_cast<unsigned long long>(hedges), static_cast<unsigned long long>(over_limit),
        static_cast<unsigned long long>(retries_denied));
    std::fflush(stdout);
    assert(passed);
    assert(runs > 10 && hedges > 0 && over_limit > 0 && retries_denied > 0 && probes > 0 && compared > 0);
}
