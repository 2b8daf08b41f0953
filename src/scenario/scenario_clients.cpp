#include "scenario/scenario_clients.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <unordered_map>

#include "interning/name_table.h"
#include "net/line_connection.h"
#include "recording/recorder.h"
#include "rpc/wire.h"

namespace copperfront::scenario {
namespace {

using rpc::Json;

constexpr LineLimits kLineLimits{4 << 20, 16 << 20};
constexpr Duration kTickInterval{5000};  // resolution at which the arrivals drawn in advance are sent
constexpr std::size_t kMaxOpenSessions = 500;

// An arrival of a request of one traffic entry.
struct Arrival {
    Duration at;
    std::size_t traffic = 0;
};

class Clients;

// A connection to one gateway. It is opened at its first use, and opened again after it has closed.
class Connection : public LineConnection::Owner {
  public:
    Connection(Clients& clients, std::size_t gateway, std::string name)
        : clients_(clients), gateway_(gateway), name_(std::move(name)) {}
    void connection_opened(LineConnection&) override;
    void line_received(LineConnection&, std::string_view line) override;
    void connection_closed(LineConnection&, CloseReason why, const std::string& what) override;

    Clients& clients_;
    const std::size_t gateway_;
    const std::string name_;
    std::unique_ptr<LineConnection> link_;
    bool is_open_ = false, stopping_ = false;
    std::int64_t next_id_ = 1;
    std::map<std::int64_t, std::size_t> open_requests_;  // request ids to indices of attempts
    std::vector<std::size_t> waiting_attempts_;          // attempts that wait for the connection to open
};

// One attempt of a client; a repeat is an attempt of its own.
struct ClientAttempt {
    std::size_t traffic = 0, number = 0;
    std::string request_name;
    rpc::GenerateRequest request;
    std::int64_t sent_at = 0, leave_at = 0;
    std::uint64_t tokens = 0;
    bool has_tokens = false, is_over = false, is_corrupt = false, has_left = false;
    Connection* connection = nullptr;
    std::int64_t id = 0;
    std::vector<std::size_t> unreached;  // gateways that were not reached
};

// A client that breaks the protocol or does not read what it is sent.
class MisbehavingClient : public LineConnection::Owner {
  public:
    MisbehavingClient(Clients& clients, std::string kind, std::string name)
        : clients_(clients), kind_(std::move(kind)), name_(std::move(name)) {}
    void start();
    void connection_opened(LineConnection&) override;
    void line_received(LineConnection&, std::string_view line) override;
    void connection_closed(LineConnection&, CloseReason, const std::string& what) override;

  private:
    Clients& clients_;
    const std::string kind_, name_;
    std::unique_ptr<LineConnection> link_;
    std::size_t received_lines_ = 0;
};

// The clients of one zone.
class Clients {
  public:
    Clients(const Scenario& scenario, const GatewayTerms& terms, const ClientOptions& options)
        : scenario_(scenario),
          terms_(terms),
          options_(options),
          record_(options.record),
          random_(scenario.seed + static_cast<std::uint32_t>(hash_of(options.zone) & 0xffff)),
          tick_timer_(loop_, [this] { run_due(); }),
          down_since_(options.gateways.size(), 0) {
        draw_arrivals();
        connections_by_gateway_.resize(options.gateways.size());
        for (const MisbehavingClientPlan& m : scenario.misbehaving_clients) {
            if (m.zone != options.zone) continue;
            for (std::size_t n = 0; n < m.count; ++n)
                misbehaving_clients_.emplace_back(
                    m.at, std::make_unique<MisbehavingClient>(*this, m.kind,
                                                              "misfit-" + m.name + std::to_string(n)));
        }
    }

    void run() {
        tick_timer_.set(kTickInterval);
        loop_.run();
        record_.end();
    }

    Loop& loop() { return loop_; }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    const std::string& gateway_name(std::size_t g) const { return options_.gateways[g].first; }
    const std::string& gateway_address(std::size_t g) const { return options_.gateways[g].second; }

    void note_unreachable(std::size_t gateway) {
        if (down_since_[gateway] == 0) down_since_[gateway] = monotonic_clock_us();
    }
    void note_reachable(std::size_t gateway) { down_since_[gateway] = 0; }

    void send(std::size_t index, Connection& c) {
        ClientAttempt& t = attempts_[index];
        t.connection = &c;
        t.id = c.next_id_++;
        t.sent_at = monotonic_clock_us();
        const TrafficPlan& plan = scenario_.traffic[t.traffic];
        t.leave_at = INT64_MAX;
        if (uniform() < plan.leave_share)
            t.leave_at = t.sent_at +
                         static_cast<std::int64_t>(uniform() * static_cast<double>(t.request.time_budget.us));
        c.open_requests_[t.id] = index;
        record_.note("ask", {{"c", c.name_},
                             {"id", std::to_string(t.id)},
                             {"gw", gateway_name(c.gateway_)},
                             {"cat", plan.category},
                             {"mark", t.request_name},
                             {"try", t.number},
                             {"prompt", t.request.prompt_tokens},
                             {"budget_ms", t.request.time_budget.ms()}});
        c.link_->send(rpc::generate_request_line(rpc::Id{t.id}, t.request));
        if (t.leave_at != INT64_MAX) departures_by_time_.emplace(t.leave_at, index);
    }

    Json request_record(const Connection& c, std::int64_t id) const {
        return {{"c", c.name_}, {"id", std::to_string(id)}};
    }

    void line_received(Connection& c, std::string_view line) {
        auto parsed = rpc::parse(line);
        const auto* m = std::get_if<rpc::Message>(&parsed);
        if (!m) {
            record_.note("bad", {{"c", c.name_}, {"line", std::string(line.substr(0, 200))}});
            return;
        }
        if (m->kind == rpc::MessageKind::notification) {
            if (m->method != rpc::kTokens) return;
            const auto id = m->body.find("requestId");
            if (id == m->body.end() || !id->is_number_integer()) return;
            token_received(c, id->get<std::int64_t>(), rpc::string_or(m->body, "text"));
            return;
        }
        if (!std::holds_alternative<std::int64_t>(m->id)) return;
        const std::int64_t id = std::get<std::int64_t>(m->id);
        if (id == 0) return;  // the greeting
        const auto it = c.open_requests_.find(id);
        if (it == c.open_requests_.end()) {
            // A message for a request that has already had its final answer.
            Json noted = request_record(c, id);
            noted["what"] = std::string(line.substr(0, 200));
            record_.note("final", std::move(noted));
            return;
        }
        ClientAttempt& t = attempts_[it->second];
        const std::size_t index = it->second;
        const char* result = m->kind == rpc::MessageKind::result ? "settled"
                             : m->code == rpc::kRejected         ? "declined"
                             : m->code == rpc::kAbandoned        ? "given up"
                             : m->code == rpc::kNotAccepted      ? "not taken"
                                                                 : "error";
        Json noted = request_record(c, id);
        noted["end"] = result;
        noted["tokens"] = t.tokens;
        if (m->kind == rpc::MessageKind::result &&
            terms_.core.categories[*terms_.categories.find(t.request.category)].stream &&
            rpc::number_or(m->body, "tokens") != static_cast<double>(t.tokens))
            t.is_corrupt = true;
        if (t.is_corrupt) noted["torn"] = true;
        if (m->kind == rpc::MessageKind::error) noted["text"] = m->text + " " + m->body.dump();
        record_.note("final", std::move(noted));
        c.open_requests_.erase(it);
        t.is_over = true;
        if (m->kind == rpc::MessageKind::result) return drop_prompt(index);
        if (m->code == rpc::kNotAccepted) c.stopping_ = true;
        repeat_if_allowed(index, m->code == rpc::kRejected, m->code == rpc::kNotAccepted, t.has_tokens,
                          rpc::number_or(m->body, "stayAwayMs"));
    }

    void token_received(Connection& c, std::int64_t id, const std::string& text) {
        const auto it = c.open_requests_.find(id);
        if (it == c.open_requests_.end()) {
            Json noted = request_record(c, id);
            noted["what"] = "a token";
            const auto left = left_requests_.find({&c, id});
            // Tokens that were in transit when the client left are not the gateway's fault.
            if (left != left_requests_.end()) return;
            record_.note("extra", std::move(noted));
            return;
        }
        ClientAttempt& t = attempts_[it->second];
        if (!t.has_tokens) record_.note("first", request_record(c, id));
        t.has_tokens = true;
        if (text != "t" + std::to_string(t.tokens) + " ") t.is_corrupt = true;
        ++t.tokens;
    }

    void connection_closed(Connection& c, bool made) {
        const auto open = std::move(c.open_requests_);
        c.open_requests_.clear();
        const auto waiting = std::move(c.waiting_attempts_);
        c.waiting_attempts_.clear();
        if (made)
            record_.note("closed", {{"c", c.name_}, {"gw", gateway_name(c.gateway_)}, {"open", open.size()}});
        if (!made) note_unreachable(c.gateway_);
        for (const auto& [id, index] : open) {
            attempts_[index].is_over = true;
            repeat_if_allowed(index, false, false, attempts_[index].has_tokens, 0);
        }
        for (const std::size_t index : waiting) {
            attempts_[index].unreached.push_back(c.gateway_);
            repeat_if_allowed(index, false, true, false, 0);
        }
    }

  private:
    friend class MisbehavingClient;

    void draw_arrivals() {
        for (std::size_t n = 0; n < scenario_.traffic.size(); ++n) {
            const TrafficPlan& plan = scenario_.traffic[n];
            if (plan.zone != options_.zone) continue;
            double max_factor = 1;
            for (const FaultPlan& t : scenario_.fault_plans)
                if (t.kind == "burst") max_factor = std::max(max_factor, t.size);
            const double rate = plan.requests_per_s * max_factor;
            double at = 0;
            const double end = static_cast<double>(scenario_.length.us) / 1e6;
            while ((at += -std::log(1 - uniform()) / rate) < end) {
                const Duration time{static_cast<std::int64_t>(at * 1e6)};
                double factor = 1;
                for (const FaultPlan& t : scenario_.fault_plans)
                    if (t.kind == "burst" && time >= t.at && time < t.at + t.duration)
                        factor = std::max(factor, t.size);
                if (uniform() * max_factor < factor) arrivals_.push_back({time, n});
            }
        }
        std::stable_sort(arrivals_.begin(), arrivals_.end(),
                         [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
    }

    void run_due() {
        const Duration now{monotonic_clock_us() - options_.begins_at};
        while (next_arrival_ < arrivals_.size() && arrivals_[next_arrival_].at <= now)
            create_request(arrivals_[next_arrival_++].traffic);
        for (auto it = repeats_by_time_.begin(); it != repeats_by_time_.end() && it->first <= now.us;) {
            const std::size_t index = it->second;
            it = repeats_by_time_.erase(it);
            submit(index);
        }
        for (auto it = departures_by_time_.begin();
             it != departures_by_time_.end() && it->first <= now.us + options_.begins_at;) {
            disconnect(it->second);
            it = departures_by_time_.erase(it);
        }
        for (auto& [at, client] : misbehaving_clients_) {
            if (at > now) continue;
            at = Duration{INT64_MAX};
            client->start();
        }
        if (now >= scenario_.length + scenario_.tail) return loop_.stop();
        tick_timer_.set(kTickInterval);
    }

    void create_request(std::size_t traffic) {
        const TrafficPlan& plan = scenario_.traffic[traffic];
        ClientAttempt t;
        t.traffic = traffic;
        t.request_name = plan.name + "-" + options_.zone + "-" + std::to_string(++request_count_);
        auto& sessions = sessions_[traffic];
        const bool continues_session = !sessions.empty() && uniform() > 1 / plan.mean_session_requests;
        std::size_t at = 0;
        if (continues_session) {
            at = static_cast<std::size_t>(uniform() * static_cast<double>(sessions.size()));
        } else {
            at = sessions.size() < kMaxOpenSessions ? sessions.size()
                                                    : static_cast<std::size_t>(uniform() * kMaxOpenSessions);
            if (at == sessions.size()) sessions.emplace_back();
            sessions[at] = {
                "s-" + t.request_name,
                std::max(plan.shared_prefix_tokens + 1, plan.mean_prompt_tokens * (0.4 + 1.2 * uniform())),
                plan.shared_prefixes == 0 ? std::string()
                                          : plan.name + "-b" +
                                                std::to_string(static_cast<std::size_t>(
                                                    uniform() * static_cast<double>(plan.shared_prefixes)))};
        }
        Session& session = sessions[at];
        if (continues_session) session.tokens += 0.2 * plan.mean_prompt_tokens;
        t.request.category = plan.category;
        t.request.client_group = plan.client_group;
        t.request.session = session.name;
        t.request.shared_prefix = session.shared_prefix;
        t.request.shared_prefix_tokens =
            session.shared_prefix.empty() ? 0 : std::floor(plan.shared_prefix_tokens);
        t.request.prompt_tokens = std::floor(session.tokens);
        t.request.prompt = "[{\"type\":\"text\",\"tokens\":" +
                           std::to_string(static_cast<std::int64_t>(t.request.prompt_tokens)) +
                           ",\"text\":\"How many points do I have, and when do they expire?\"}]";
        t.request.max_output_tokens = plan.max_output_tokens;
        t.request.idempotency_key = t.request_name;
        t.request.time_budget =
            plan.time_budget * (plan.min_wait_share + (1 - plan.min_wait_share) * uniform());
        if (plan.sends_duration_hint) t.request.duration_hint = Duration{20000} * plan.max_output_tokens;
        attempts_.push_back(std::move(t));
        submit(attempts_.size() - 1);
    }

    // Picks a gateway as a plain load balancer does: any gateway of the zone, except those that it has found
    // down for longer than the detection delay.
    void submit(std::size_t index) {
        ClientAttempt& t = attempts_[index];
        std::vector<std::size_t> available, untried;
        for (std::size_t g = 0; g < down_since_.size(); ++g) {
            if (std::find(t.unreached.begin(), t.unreached.end(), g) != t.unreached.end()) continue;
            untried.push_back(g);
            if (down_since_[g] == 0 ||
                monotonic_clock_us() - down_since_[g] < scenario_.down_detection_delay.us)
                available.push_back(g);
        }
        if (available.empty()) available = untried;
        if (available.empty()) {
            record_.note("unreached", {{"mark", t.request_name}});
            t.is_over = true;
            return;
        }
        const std::size_t g =
            available[static_cast<std::size_t>(uniform() * static_cast<double>(available.size()))];
        auto& connections = connections_by_gateway_[g];
        const std::size_t wanted = scenario_.traffic[t.traffic].connections;
        while (connections.size() < wanted)
            connections.push_back(std::make_unique<Connection>(
                *this, g, gateway_name(g) + "-" + std::to_string(connections.size())));
        Connection& c = *connections[static_cast<std::size_t>(uniform() * static_cast<double>(wanted))];
        if (c.stopping_ && c.link_ && c.is_open_) {
            t.unreached.push_back(g);
            return submit(index);
        }
        if (c.link_ && c.is_open_) return send(index, c);
        c.waiting_attempts_.push_back(index);
        if (!c.link_) {
            c.is_open_ = c.stopping_ = false;
            c.link_ = LineConnection::dial(loop_, Address::parse(gateway_address(g)), kLineLimits, c);
        }
    }

    // Repeats the request where its category allows: a pure request after any failure, a receipted one within
    // its window, others only after a rejection or if the gateway was not reached.
    void repeat_if_allowed(std::size_t index, bool declined, bool not_reached, bool has_tokens,
                           double retry_after_ms) {
        ClientAttempt& old = attempts_[index];
        if (old.has_left) return;
        const TrafficPlan& plan = scenario_.traffic[old.traffic];
        const Category& c = terms_.core.categories[*terms_.categories.find(plan.category)];
        const bool may_repeat = c.effect == Effect::pure || declined || not_reached ||
                                (c.effect == Effect::receipted && c.group == DedupScope::all &&
                                 old.sent_at > 0 && monotonic_clock_us() - old.sent_at < c.window.us / 2);
        // An attempt that only moves on to another gateway does not count as a repeat.
        const bool is_free =
            not_reached && old.number <= plan.max_repeats && old.unreached.size() < down_since_.size();
        if (!may_repeat || has_tokens || (!is_free && old.number >= plan.max_repeats))
            return drop_prompt(index);
        ClientAttempt t;
        t.traffic = old.traffic;
        t.number = is_free ? old.number : old.number + 1;
        t.request_name = old.request_name;
        t.request = old.request;
        if (not_reached) t.unreached = old.unreached;
        if (!is_free) t.request.is_repeat = true;
        attempts_.push_back(std::move(t));
        const double wait = is_free ? 0 : std::max(plan.repeat_delay.ms(), retry_after_ms * 0.5);
        repeats_by_time_.emplace(
            monotonic_clock_us() - options_.begins_at + static_cast<std::int64_t>(wait * 1000),
            attempts_.size() - 1);
    }

    void disconnect(std::size_t index) {
        ClientAttempt& t = attempts_[index];
        if (t.is_over || !t.connection || !t.connection->open_requests_.count(t.id)) return;
        t.is_over = t.has_left = true;
        t.connection->open_requests_.erase(t.id);
        left_requests_[{t.connection, t.id}] = true;
        record_.note("leave", request_record(*t.connection, t.id));
        if (t.connection->link_)
            t.connection->link_->send(rpc::cancelled_line(rpc::Id{t.id}, "the caller has left"));
        drop_prompt(index);
    }

    void drop_prompt(std::size_t index) { attempts_[index].request.prompt.clear(); }

    struct Session {
        std::string name;
        double tokens = 0;
        std::string shared_prefix;
    };

    const Scenario& scenario_;
    const GatewayTerms& terms_;
    const ClientOptions& options_;
    Loop loop_;
    Recorder record_;
    std::minstd_rand random_;
    Timer tick_timer_;
    std::vector<Arrival> arrivals_;
    std::size_t next_arrival_ = 0;
    std::uint64_t request_count_ = 0;
    std::vector<std::int64_t> down_since_;  // time since when each gateway is known to be down; 0: up
    std::deque<ClientAttempt> attempts_;
    std::multimap<std::int64_t, std::size_t> repeats_by_time_, departures_by_time_;
    std::map<std::pair<Connection*, std::int64_t>, bool> left_requests_;
    std::map<std::size_t, std::vector<Session>> sessions_;
    std::vector<std::vector<std::unique_ptr<Connection>>> connections_by_gateway_;
    std::vector<std::pair<Duration, std::unique_ptr<MisbehavingClient>>> misbehaving_clients_;
};

void Connection::connection_opened(LineConnection& link) {
    is_open_ = true;
    clients_.note_reachable(gateway_);
    link.send(rpc::hello_line(rpc::Id{std::int64_t{0}}, {"caller-" + name_, "", ""}));
    const auto waiting = std::move(waiting_attempts_);
    waiting_attempts_.clear();
    for (const std::size_t index : waiting) clients_.send(index, *this);
}

void Connection::line_received(LineConnection&, std::string_view line) {
    clients_.line_received(*this, line);
}

void Connection::connection_closed(LineConnection&, CloseReason why, const std::string&) {
    LineConnection::detach_and_close(clients_.loop(), std::move(link_), false);
    clients_.connection_closed(*this, why != CloseReason::connect_failed);
}

void MisbehavingClient::start() {
    const std::size_t g =
        static_cast<std::size_t>(clients_.uniform() * static_cast<double>(clients_.options_.gateways.size()));
    clients_.record_.note("misfit", {{"c", name_}, {"kind", kind_}, {"gw", clients_.gateway_name(g)}});
    link_ =
        LineConnection::dial(clients_.loop_, Address::parse(clients_.gateway_address(g)), kLineLimits, *this);
}

void MisbehavingClient::connection_opened(LineConnection& link) {
    rpc::GenerateRequest request;
    request.category = clients_.scenario_.traffic.front().category;
    request.prompt = "[{\"type\":\"text\",\"tokens\":100,\"text\":\"x\"}]";
    request.prompt_tokens = 100;
    request.max_output_tokens = 200;
    request.time_budget = Duration{5000000};
    if (kind_ == "never-reads") {
        link.pause_reading(true);
        for (std::int64_t id = 1; id <= 20; ++id) link.send(rpc::generate_request_line(rpc::Id{id}, request));
    } else if (kind_ == "garbage") {
        for (int n = 0; n < 30; ++n) link.send("\x01\xff{]garbage " + std::to_string(n));
    } else if (kind_ == "half-lines") {
        // send() ends the line with a newline, so what is incomplete is a JSON string that is never closed.
        link.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"generate\",\"params\":{\"category\":\"");
    } else if (kind_ == "long-line") {
        link.send(std::string(3 << 20, 'x'));
    } else if (kind_ == "same-id") {
        for (int n = 0; n < 4; ++n) link.send(rpc::generate_request_line(rpc::Id{std::int64_t{1}}, request));
        link.send("{\"jsonrpc\":\"2.0\",\"id\":[1],\"method\":\"generate\"}");
        link.send("{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"no-such-method\"}");
        link.send("{\"jsonrpc\":\"2.0\",\"id\":3,\"result\":{}}");
    }
}

void MisbehavingClient::line_received(LineConnection&, std::string_view line) {
    if (++received_lines_ <= 50)
        clients_.record_.note("misfit told", {{"c", name_}, {"line", std::string(line.substr(0, 160))}});
}

void MisbehavingClient::connection_closed(LineConnection&, CloseReason, const std::string& what) {
    clients_.record_.note("misfit closed", {{"c", name_}, {"what", what}, {"lines", received_lines_}});
    LineConnection::detach_and_close(clients_.loop_, std::move(link_), false);
}

}  // namespace

void run_clients(const Scenario& scenario, const GatewayTerms& terms, const ClientOptions& options) {
    if (options.gateways.empty()) throw std::runtime_error("zone " + options.zone + " has no gateway");
    Clients clients(scenario, terms, options);
    clients.run();
}

}  // namespace copperfront::scenario
