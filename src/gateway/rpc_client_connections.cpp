#include "gateway/rpc_client_connections.h"

#include <unistd.h>

#include <set>
#include <vector>

namespace copperfront {

class RpcClientConnections::Connection : public LineConnection::Owner {
  public:
    Connection(RpcClientConnections& parent, ClientId id, int fd, std::uint32_t listener)
        : parent_(parent), id_(id), listener_(listener), idle_timer_(parent.loop_, [this] { check_idle(); }) {
        transport_ = LineConnection::accepted(
            parent.loop_, fd, {parent.bounds_.max_line_bytes, parent.bounds_.max_unsent_bytes}, *this);
        last_activity_ = parent.loop_.now();
        idle_timer_.set(parent.bounds_.client_idle_timeout);
    }

    void line_received(LineConnection&, std::string_view line) override;
    void connection_closed(LineConnection&, CloseReason, const std::string& what) override {
        parent_.drop(*this, what);
    }

    void tokens(const rpc::Id& id, std::string_view text) {
        if (open_requests_.count(id)) transport_->send(rpc::tokens_line(id, text));
    }
    void answer(const rpc::Id& id, const std::string& line) {
        if (open_requests_.erase(id)) transport_->send(line);
        last_activity_ = parent_.loop_.now();
    }
    ClientId id() const { return id_; }
    const std::set<rpc::Id>& open_requests() const { return open_requests_; }
    std::unique_ptr<LineConnection> take_transport() {
        idle_timer_.cancel();
        return std::move(transport_);
    }
    void send(const std::string& line) { transport_->send(line); }

  private:
    void check_idle() {
        const Duration idle_for = parent_.loop_.now() - last_activity_;
        const Duration limit = parent_.bounds_.client_idle_timeout;
        if (open_requests_.empty() && idle_for >= limit) {
            parent_.drop(*this, "silent for too long");
            return;
        }
        idle_timer_.set(open_requests_.empty() ? limit - idle_for : limit);
    }
    // Answers a bad message with an error; closes the connection after too many of them.
    void report_bad_message(const rpc::Id& id, int code, const std::string& what) {
        transport_->send(rpc::error_line(id, code, what));
        if (++bad_message_count_ >= parent_.bounds_.max_bad_messages)
            parent_.drop(*this, "too many bad messages; the last: " + what);
    }
    void handle_call(const rpc::Message& m);

    RpcClientConnections& parent_;
    const ClientId id_;
    const std::uint32_t listener_;
    std::unique_ptr<LineConnection> transport_;
    Timer idle_timer_;
    Instant last_activity_;
    std::set<rpc::Id> open_requests_;
    std::size_t bad_message_count_ = 0;
};

void RpcClientConnections::Connection::line_received(LineConnection&, std::string_view line) {
    last_activity_ = parent_.loop_.now();
    auto parsed = rpc::parse(line);
    if (const auto* problem = std::get_if<rpc::InvalidMessage>(&parsed)) {
        // With an id that is in use the error would look like that request's final answer.
        report_bad_message(open_requests_.count(problem->id) ? rpc::Id{} : problem->id, problem->code,
                           problem->text);
        return;
    }
    const auto& m = std::get<rpc::Message>(parsed);
    if (m.kind == rpc::MessageKind::request) {
        if (open_requests_.count(m.id)) {
            report_bad_message({}, rpc::kInvalidRequest,
                               "id " + rpc::text_of(m.id) + " is in use by an open call");
            return;
        }
        handle_call(m);
    } else if (m.kind == rpc::MessageKind::notification) {
        if (m.method != rpc::kCancelled) return;
        const auto id = m.body.find("requestId");
        rpc::Id request_id;
        if (id != m.body.end() && id->is_number_integer())
            request_id = id->get<std::int64_t>();
        else if (id != m.body.end() && id->is_string())
            request_id = id->get<std::string>();
        else
            return report_bad_message({}, rpc::kInvalidParams,
                                      "cancelled: requestId: expected the id of an open call");
        // A request that has just been answered may still be cancelled; no answer is due then.
        if (open_requests_.erase(request_id)) parent_.owner_.client_left(id_, request_id);
    } else {
        report_bad_message({}, rpc::kInvalidRequest, "an answer to nothing that was asked");
    }
}

void RpcClientConnections::Connection::handle_call(const rpc::Message& m) {
    if (m.method == rpc::kPing) {
        transport_->send(rpc::result_line(m.id, rpc::Json::object()));
    } else if (m.method == rpc::kInitialize) {
        transport_->send(rpc::hello_result_line(m.id, parent_.gateway_name_, "0.2.0"));
    } else if (m.method == rpc::kStatus) {
        transport_->send(rpc::result_line(m.id, parent_.owner_.status()));
    } else if (m.method == rpc::kGenerate) {
        auto params = rpc::read_generate_request(m.body);
        if (const auto* problem = std::get_if<std::string>(&params))
            return report_bad_message(m.id, rpc::kInvalidParams, *problem);
        if (open_requests_.size() >= parent_.bounds_.max_requests_per_client) {
            transport_->send(
                rpc::error_line(m.id, rpc::kNotAccepted, "too many open queries on this connection"));
            return;
        }
        open_requests_.insert(m.id);
        const std::string refusal =
            parent_.owner_.request_received(id_, m.id, std::get<rpc::GenerateRequest>(params), listener_);
        if (refusal.empty()) return;
        open_requests_.erase(m.id);
        transport_->send(rpc::error_line(m.id, rpc::kNotAccepted, "not taken", {{"reason", refusal}}));
    } else {
        report_bad_message(m.id, rpc::kMethodNotFound,
                           "unknown method " + m.method.substr(0, 80) +
                               "; known are generate, gateway/status, initialize, ping");
    }
}

RpcClientConnections::RpcClientConnections(Loop& loop, const Bounds& bounds, std::string gateway_name,
                                           Owner& owner, Log& log)
    : loop_(loop), bounds_(bounds), gateway_name_(std::move(gateway_name)), owner_(owner), log_(log) {}

RpcClientConnections::~RpcClientConnections() = default;

void RpcClientConnections::add_connection(int fd, std::uint32_t listener) {
    if (connections_.size() >= bounds_.max_clients) {
        const std::string line =
            rpc::error_line({}, rpc::kNotAccepted, "too many callers; come again later") + "\n";
        [[maybe_unused]] const auto written = ::write(fd, line.data(), line.size());
        ::close(fd);
        log_.log(Severity::warn, "callers", "a caller was turned away: too many connections",
                 {{"bound", static_cast<std::int64_t>(bounds_.max_clients)}});
        return;
    }
    const ClientId id = next_id_++;
    connections_.emplace(id, std::make_unique<Connection>(*this, id, fd, listener));
}

void RpcClientConnections::tokens(ClientId client, const rpc::Id& id, std::string_view text) {
    if (const auto it = connections_.find(client); it != connections_.end()) it->second->tokens(id, text);
}

void RpcClientConnections::answer(ClientId client, const rpc::Id& id, const std::string& line) {
    if (const auto it = connections_.find(client); it != connections_.end()) it->second->answer(id, line);
}

void RpcClientConnections::drop(Connection& connection, const std::string& why) {
    const auto it = connections_.find(connection.id());
    if (it == connections_.end()) return;
    std::unique_ptr<Connection> closed = std::move(it->second);
    connections_.erase(it);
    LineConnection::detach_and_close(loop_, connection.take_transport(), true);
    const std::set<rpc::Id> open_requests = connection.open_requests();
    const ClientId id = connection.id();
    loop_.delete_later(std::move(closed));
    log_.log(Severity::debug, "callers", "client connection closed",
             {{"caller", static_cast<std::int64_t>(id)},
              {"why", why},
              {"queries_left", static_cast<std::int64_t>(open_requests.size())}});
    for (const rpc::Id& request_id : open_requests) owner_.client_left(id, request_id);
}

void RpcClientConnections::close_all() {
    std::vector<ClientId> all;
    for (const auto& [id, connection] : connections_) all.push_back(id);
    for (const ClientId id : all)
        if (const auto it = connections_.find(id); it != connections_.end())
            drop(*it->second, "the gateway stops");
}

}  // namespace copperfront
