#include "gateway/server_connections.h"

#include <algorithm>

namespace copperfront {
namespace {

constexpr std::size_t kMaxOwedReleases = 10000;  // releases kept for one unreachable server
// A server drops the states of a gateway that it has not heard from for some seconds (docs/protocol.md), so
// older releases are useless.
constexpr Duration kOwedReleaseLifetime{10000000};

}  // namespace

struct ServerConnections::Endpoint {
    ServerIndex server = 0;
    std::string name;
    Address address;
    std::vector<std::unique_ptr<Connection>> connections;
    std::deque<std::pair<Instant, std::string>> owed_releases;  // releases that wait for a connection
    std::unique_ptr<Timer> retry_timer;
    bool removed = false;
};

class ServerConnections::Connection : public LineConnection::Owner {
  public:
    enum class State { connecting, initializing, open };

    Connection(ServerConnections& pool, Endpoint& endpoint)
        : pool_(pool),
          endpoint_(endpoint),
          connect_timer_(pool.loop_,
                         [this] { pool_.drop(*this, CloseReason::connect_failed, "connect timeout"); }),
          health_timer_(pool.loop_, [this] { check_health(); }) {
        transport_ =
            LineConnection::dial(pool.loop_, endpoint.address,
                                 {pool.bounds_.max_line_bytes, pool.bounds_.max_unsent_bytes}, *this);
        connect_timer_.set(pool.bounds_.connect_timeout);
        last_received_ = last_used_ = pool.loop_.now();
    }

    bool open() const { return state_ == State::open; }
    std::size_t attempt_count() const { return attempts_.size(); }

    void remove_attempt(AttemptId attempt) {
        attempts_.erase(attempt);
        last_used_ = pool_.loop_.now();
    }
    // Removes an attempt that still waits to be sent; the server never hears of it.
    bool cancel_if_unsent(AttemptId attempt) {
        if (open()) return false;
        const auto it =
            std::find_if(unsent_.begin(), unsent_.end(), [&](const auto& w) { return w.first == attempt; });
        if (it == unsent_.end()) return false;
        unsent_.erase(it);
        return true;
    }
    void send(std::string line) {
        if (open())
            transport_->send(line);
        else
            unsent_.emplace_back(0, std::move(line));
    }
    void send_attempt(AttemptId attempt, std::string line) {
        attempts_.insert(attempt);
        last_used_ = pool_.loop_.now();
        if (open()) {
            // A connection without attempts is silent legitimately; its silence counts from here.
            if (attempts_.size() == 1) last_received_ = last_used_;
            transport_->send(line);
        } else {
            unsent_.emplace_back(attempt, std::move(line));
        }
    }
    void probe(std::int64_t number) {
        probes_.insert(number);
        last_used_ = pool_.loop_.now();
        send(rpc::request_line(rpc::Id{"probe-" + std::to_string(number)}, rpc::kProbe, rpc::Json::object()));
    }

    void connection_opened(LineConnection& connection) override {
        state_ = State::initializing;
        connection.send(rpc::hello_line(rpc::Id{std::string("hello")}, pool_.hello_));
    }

    void line_received(LineConnection&, std::string_view line) override;
    void connection_closed(LineConnection&, CloseReason reason, const std::string& what) override {
        pool_.drop(*this, reason, what);
    }

    // All attempts on this connection, in the order in which they were made.
    std::vector<AttemptId> attempts() const {
        std::vector<AttemptId> all(attempts_.begin(), attempts_.end());
        std::sort(all.begin(), all.end());
        return all;
    }
    std::size_t probes() const { return probes_.size(); }
    Endpoint& endpoint() { return endpoint_; }
    std::unique_ptr<LineConnection> take_transport() {
        connect_timer_.cancel();
        health_timer_.cancel();
        return std::move(transport_);
    }

  private:
    void check_health() {
        const Instant now = pool_.loop_.now();
        const Bounds& b = pool_.bounds_;
        if (attempts_.empty() && probes_.empty()) {
            if (now - last_used_ >= b.connection_idle_timeout)
                return pool_.drop(*this, CloseReason::peer_closed, "idle");
        } else if (now - last_received_ >= b.server_silence_timeout) {
            return pool_.drop(*this, CloseReason::broken, "silent with attempts in flight");
        } else if (now - last_received_ >= b.ping_after) {
            transport_->send(
                rpc::request_line(rpc::Id{std::string("ping")}, rpc::kPing, rpc::Json::object()));
        }
        health_timer_.set(std::min(b.connection_idle_timeout, b.ping_after) * 0.5);
    }
    bool count_bad_message(const std::string& what) {
        pool_.log_.log(Severity::warn, "engines", "an engine sent a bad message",
                       {{"server", endpoint_.name}, {"error", what}});
        if (++bad_message_count_ < pool_.bounds_.max_bad_messages) return false;
        pool_.drop(*this, CloseReason::broken, "too many bad messages; the last: " + what);
        return true;
    }

    ServerConnections& pool_;
    Endpoint& endpoint_;
    std::unique_ptr<LineConnection> transport_;
    State state_ = State::connecting;
    Timer connect_timer_, health_timer_;
    Instant last_received_, last_used_;
    std::unordered_set<AttemptId> attempts_;
    std::unordered_set<std::int64_t> probes_;
    std::deque<std::pair<AttemptId, std::string>> unsent_;
    std::size_t bad_message_count_ = 0;
};

void ServerConnections::Connection::line_received(LineConnection&, std::string_view line) {
    last_received_ = pool_.loop_.now();
    if (const auto tokens = rpc::plain_tokens(line)) {
        const auto attempt = static_cast<AttemptId>(tokens->id);
        if (attempts_.count(attempt)) pool_.owner_.token_received(attempt, tokens->text);
        return;
    }
    auto parsed = rpc::parse(line);
    if (const auto* problem = std::get_if<rpc::InvalidMessage>(&parsed)) {
        count_bad_message(problem->text);
        return;
    }
    const auto& m = std::get<rpc::Message>(parsed);
    if (m.kind == rpc::MessageKind::notification) {
        if (m.method != rpc::kTokens) return;  // unknown notifications are ignored, as JSON-RPC requires
        const auto id = m.body.find("requestId");
        const auto text = m.body.find("text");
        if (id == m.body.end() || !id->is_number_unsigned() || text == m.body.end() || !text->is_string()) {
            count_bad_message("tokens: expected requestId, a number, and text");
            return;
        }
        const auto attempt = id->get<AttemptId>();
        if (attempts_.count(attempt))
            pool_.owner_.token_received(attempt, text->get_ref<const std::string&>());
        return;
    }
    if (m.kind == rpc::MessageKind::request) {
        if (m.method == rpc::kPing)
            transport_->send(rpc::result_line(m.id, rpc::Json::object()));
        else
            transport_->send(rpc::error_line(m.id, rpc::kMethodNotFound, "unknown method " + m.method));
        return;
    }
    if (const auto* text_id = std::get_if<std::string>(&m.id)) {
        if (*text_id == "hello" && state_ == State::initializing) {
            if (m.kind == rpc::MessageKind::error) {
                pool_.drop(*this, CloseReason::connect_failed, "initialize was refused: " + m.text);
                return;
            }
            state_ = State::open;
            connect_timer_.cancel();
            health_timer_.set(std::min(pool_.bounds_.connection_idle_timeout, pool_.bounds_.ping_after) *
                              0.5);
            while (!unsent_.empty()) {
                transport_->send(unsent_.front().second);
                unsent_.pop_front();
            }
            for (const auto& [since, state] : endpoint_.owed_releases)
                transport_->send(rpc::release_line(state));
            endpoint_.owed_releases.clear();
            return;
        }
        if (text_id->rfind("probe-", 0) == 0) {
            const std::int64_t number = std::strtoll(text_id->c_str() + 6, nullptr, 10);
            if (probes_.erase(number))
                pool_.owner_.probe_ended(endpoint_.server, m.kind == rpc::MessageKind::result,
                                         rpc::read_load_report(m.body));
            return;
        }
        if (*text_id == "ping") return;
        count_bad_message("a response to an unknown request: " + *text_id);
        return;
    }
    if (std::holds_alternative<std::monostate>(m.id)) {
        count_bad_message("an error without an id: " + m.text);
        return;
    }
    const auto number = std::get<std::int64_t>(m.id);
    const auto attempt = static_cast<AttemptId>(number);
    if (number <= 0 || !attempts_.count(attempt)) {
        // A cancelled attempt may have been answered just before; any other unknown number was never sent.
        if (number <= 0 || attempt > pool_.last_attempt_)
            count_bad_message("a response to an unknown attempt: " + std::to_string(number));
        return;
    }
    const auto entry = pool_.in_flight_.find(attempt);
    const bool is_prefill = entry->second.is_prefill;
    pool_.in_flight_.erase(entry);
    attempts_.erase(attempt);
    last_used_ = last_received_;
    pool_.owner_.attempt_ended(attempt, rpc::read_outcome(m, is_prefill), rpc::number_or(m.body, "tokens"),
                               rpc::string_or(m.body, "text"));
}

ServerConnections::ServerConnections(Loop& loop, const Bounds& bounds, rpc::Hello hello, Owner& owner,
                                     Log& log)
    : loop_(loop), bounds_(bounds), hello_(std::move(hello)), owner_(owner), log_(log) {}

ServerConnections::~ServerConnections() = default;

void ServerConnections::set_address(ServerIndex server, const std::string& address) {
    if (server >= endpoints_.size()) endpoints_.resize(server + 1);
    if (endpoints_[server]) {
        endpoints_[server]->removed = false;
        return;
    }
    auto endpoint = std::make_unique<Endpoint>();
    endpoint->server = server;
    endpoint->name = address;
    endpoint->address = Address::parse(address);
    endpoints_[server] = std::move(endpoint);
}

void ServerConnections::remove_server(ServerIndex server) {
    if (server >= endpoints_.size() || !endpoints_[server]) return;
    endpoints_[server]->removed = true;
    endpoints_[server]->owed_releases.clear();
}

const std::string& ServerConnections::address(ServerIndex server) const {
    return endpoints_.at(server)->name;
}

std::size_t ServerConnections::connection_count() const {
    std::size_t n = 0;
    for (const auto& endpoint : endpoints_)
        if (endpoint) n += endpoint->connections.size();
    return n;
}

std::size_t ServerConnections::owed_releases() const {
    std::size_t n = 0;
    for (const auto& endpoint : endpoints_)
        if (endpoint) n += endpoint->owed_releases.size();
    return n;
}

// Returns an open connection with room, else one that is being opened, else a new one.
ServerConnections::Connection& ServerConnections::connection_for(Endpoint& endpoint) {
    Connection* best = nullptr;
    for (const auto& connection : endpoint.connections) {
        if (connection->attempt_count() >= bounds_.max_attempts_per_connection) continue;
        if (!best || (connection->open() && !best->open())) best = connection.get();
    }
    if (best) return *best;
    endpoint.connections.push_back(std::make_unique<Connection>(*this, endpoint));
    return *endpoint.connections.back();
}

void ServerConnections::send(ServerIndex server, AttemptId attempt, std::string line, bool is_prefill) {
    Connection& to = connection_for(*endpoints_.at(server));
    last_attempt_ = std::max(last_attempt_, attempt);
    in_flight_[attempt] = {&to, is_prefill};
    to.send_attempt(attempt, std::move(line));
}

void ServerConnections::cancel_attempt(ServerIndex, AttemptId attempt) {
    const auto it = in_flight_.find(attempt);
    if (it == in_flight_.end()) return;
    Connection& connection = *it->second.connection;
    in_flight_.erase(it);
    connection.remove_attempt(attempt);
    if (!connection.cancel_if_unsent(attempt))
        connection.send(rpc::cancelled_line(rpc::Id{static_cast<std::int64_t>(attempt)}, "called off"));
}

bool ServerConnections::cancel_if_unsent(AttemptId attempt) {
    const auto it = in_flight_.find(attempt);
    if (it == in_flight_.end() || !it->second.connection->cancel_if_unsent(attempt)) return false;
    it->second.connection->remove_attempt(attempt);
    in_flight_.erase(it);
    return true;
}

void ServerConnections::release(ServerIndex server, const std::string& state) {
    Endpoint& endpoint = *endpoints_.at(server);
    for (const auto& connection : endpoint.connections) {
        if (!connection->open()) continue;
        connection->send(rpc::release_line(state));
        return;
    }
    if (endpoint.removed) return;
    if (endpoint.owed_releases.size() >= kMaxOwedReleases) endpoint.owed_releases.pop_front();
    endpoint.owed_releases.emplace_back(loop_.now(), state);
    if (endpoint.connections.empty()) connection_for(endpoint);
}

void ServerConnections::probe(ServerIndex server) {
    connection_for(*endpoints_.at(server)).probe(next_probe_++);
}

void ServerConnections::drop(Connection& connection, CloseReason reason, const std::string& what) {
    Endpoint& endpoint = connection.endpoint();
    const auto position = std::find_if(endpoint.connections.begin(), endpoint.connections.end(),
                                       [&](const auto& c) { return c.get() == &connection; });
    if (position == endpoint.connections.end()) return;
    // The connection may be on the call stack, so it is deleted later.
    std::unique_ptr<Connection> closed = std::move(*position);
    endpoint.connections.erase(position);
    LineConnection::detach_and_close(loop_, connection.take_transport(), reason == CloseReason::peer_closed);
    const std::vector<AttemptId> attempts = connection.attempts();
    const std::size_t probes = connection.probes();
    const bool was_open = connection.open();
    loop_.delete_later(std::move(closed));
    if (what != "idle")
        log_.log(Severity::debug, "engines", "connection to server closed",
                 {{"server", endpoint.name},
                  {"error", what},
                  {"launches", static_cast<std::int64_t>(attempts.size())}});

    AttemptOutcome outcome;
    outcome.ending = was_open ? Ending::connection_lost : Ending::unreachable;
    for (const AttemptId attempt : attempts) in_flight_.erase(attempt);
    for (const AttemptId attempt : attempts) owner_.attempt_ended(attempt, outcome, 0, "");
    for (std::size_t n = 0; n < probes; ++n) owner_.probe_ended(endpoint.server, false, {});

    while (!endpoint.owed_releases.empty() &&
           loop_.now() - endpoint.owed_releases.front().first > kOwedReleaseLifetime)
        endpoint.owed_releases.pop_front();
    if (endpoint.owed_releases.empty() || endpoint.removed || !endpoint.connections.empty()) return;
    if (!endpoint.retry_timer)
        endpoint.retry_timer = std::make_unique<Timer>(loop_, [this, &endpoint] {
            if (endpoint.connections.empty() && !endpoint.owed_releases.empty() && !endpoint.removed)
                connection_for(endpoint);
        });
    endpoint.retry_timer->set(bounds_.connect_timeout);
}

}  // namespace copperfront
