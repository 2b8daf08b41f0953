#include "node/upstream_pool.h"

#include <algorithm>

#include "core/free_memory.h"
#include "core/release_policy.h"
#include "core/sabotage.h"

namespace copperfront {
namespace {

constexpr std::size_t kMaxHeadBytes = 8192;
constexpr std::size_t kMaxBodyBytes = 64 << 10;     // of a response that is not a stream
constexpr std::size_t kReadBufferBytes = 64 << 10;  // of a paused stream
constexpr int kMaxInterimResponses = 100;           // 1xx responses before the final one
constexpr Duration kMaintenanceInterval{50000};
// Fault injection for tests; see core/sabotage.h. Added to the deadline under Sabotage::deadline_overstated.
constexpr Duration kSabotagedExtraTime{500000};
constexpr Duration kMaintenanceIntervalWhileOwed{20000};  // while releases are owed

}  // namespace

class UpstreamPool::Connection : public Stream::Owner {
  public:
    enum class Use { none, attempt, release };

    Connection(UpstreamPool& parent, ServerIndex server, const Address& to, std::uint32_t process_generation)
        : parent_(parent),
          server_(server),
          process_generation_(process_generation),
          response_(parent.budget_, MemoryUse::server_input) {
        stream_ = Stream::dial(parent.loop_, to, {0, kReadBufferBytes}, *this);
        stream_->charge_input(parent.budget_, MemoryUse::server_input);
    }

    ServerIndex server() const { return server_; }
    // Whether it is connected to the present process, not to an earlier one under the same index.
    bool is_to_current_process() const {
        return process_generation_ == parent_.upstreams_[server_].process_generation;
    }
    Use use() const { return use_; }
    AttemptId attempt() const { return attempt_; }
    bool is_not_fully_written() const { return !stream_->is_connected() || stream_->unsent() > 0; }
    bool is_connecting() const { return !stream_->is_connected(); }
    Instant idle_since() const { return idle_since_; }
    // Its position in UpstreamPool::idle_order_.
    std::list<Connection*>::iterator idle_order;
    std::unique_ptr<Stream> take_stream() { return std::move(stream_); }

    // Whether it is reused from an earlier attempt and nothing has been received for this one.
    bool is_stale() const { return reused_ && !message_ && interim_responses_ == 0; }

    void send_attempt(AttemptId attempt, OutgoingMessage message) {
        use_ = Use::attempt;
        attempt_ = attempt;
        prefill_ = message.prefill;
        begin(std::move(message));
    }
    void send_release(ReleaseCallId call, std::string message) {
        use_ = Use::release;
        release_call_ = call;
        begin({std::move(message), "", nullptr, {}, false});
    }
    ReleaseCallId release_call() const { return release_call_; }
    void become_idle() {
        response_.set(0);
        use_ = Use::none;
        attempt_ = 0;
        message_.reset();
        events_.reset();
        idle_since_ = parent_.loop_.now();
    }
    void pause_stream(bool pause) {
        if (std::exchange(stream_paused_, pause) == pause) return;
        stream_->pause_reading(pause);
        if (pause) return;
        UpstreamPool* const parent = &parent_;
        parent_.loop_.post([parent, self = this, attempt = attempt_] {
            const auto it = parent->attempts_.find(attempt);
            if (it != parent->attempts_.end() && it->second == self) self->read();
        });
    }
    bool is_reusable() const { return reusable_ && stream_->buffered() == 0; }
    // Whether nothing has been received on it while it was idle.
    bool has_no_pending_input() const { return stream_->has_no_pending_input(); }

    void stream_connected(Stream&) override { write_message(); }
    std::size_t read_limit(const Stream&) const override {
        return parent_.budget_.read_limit(MemoryUse::server_input, stream_->buffered());
    }
    void bytes_received(Stream&) override {
        if (is_to_current_process()) parent_.note_contact(server_);
        // A second, late response would be taken for the response to the next request.
        if (use_ == Use::none) return parent_.drop(*this, false);
        if (use_ == Use::attempt && answer_began_.us == 0) {
            answer_began_ = parent_.loop_.now();
            parent_.owner_.answer_began(attempt_);
        }
        if (use_ == Use::attempt && stream_started_) parent_.owner_.stream_progressed(attempt_);
        read();
    }
    // Whether a response that is not an event stream began at least `limit` ago and is still incomplete. That
    // of a prefill counts from its first byte, as the prefill is finished when its server starts to answer.
    // That of a decode attempt counts only once its header is complete, as until then it may become a stream.
    bool is_incomplete(Duration limit) const {
        if (use_ != Use::attempt || answer_began_.us == 0 || events_) return false;
        const bool head_done = message_ && message_->head_done();
        return (prefill_ || head_done) && parent_.loop_.now() - answer_began_ >= limit;
    }
    // Ends an attempt whose response stayed incomplete: with the outcome of the status in its header if that
    // is complete, otherwise as an invalid response. The connection is not reused, as the rest may still
    // arrive.
    void end_incomplete() {
        const bool head_done = message_ && message_->head_done() && message_->head().status / 100 != 1;
        if (!head_done) {
            fail_invalid("response not completed in time");
            return;
        }
        ++parent_.counts_.invalid;
        finish_response();
    }
    void stream_closed(Stream&, CloseReason why, const std::string& what) override {
        if (use_ == Use::none) return parent_.drop(*this, false);
        const bool unsent = why == CloseReason::connect_failed || is_not_fully_written();
        // A response without a length, such as an error, ends with the connection.
        if (!unsent && message_ && why == CloseReason::peer_closed && message_->end_of_input())
            return finish_response();
        parent_.attempt_failed(*this, unsent ? Loss::not_fully_written : Loss::peer_closed, what);
    }

  private:
    void begin(OutgoingMessage message) {
        pending_message_ = std::move(message);
        interim_responses_ = 0;
        stream_started_ = stream_paused_ = reusable_ = false;
        answer_began_ = {};
        reused_ = stream_->is_connected();
        free_memory(body_);
        if (stream_->is_connected()) write_message();
    }

    // The remaining time is computed now, as time has passed while the connection was made.
    void write_message() {
        const OutgoingMessage message = std::exchange(pending_message_, {});
        if (message.before.empty()) return;
        Instant& since = parent_.upstreams_[server_].unanswered_since;
        if (since.us == 0 && is_to_current_process()) since = parent_.loop_.now();
        if (use_ == Use::release) return stream_->send(message.before);
        Duration left = message.deadline - parent_.loop_.now();
        if (is_sabotaged(Sabotage::deadline_overstated)) left = left + kSabotagedExtraTime;
        switch (const Denial denial = parent_.owner_.may_write(attempt_, left)) {
            case Denial::none:
                break;
            case Denial::client_gone:
                parent_.drop_for_gone_client(attempt_);
                return parent_.drop(*this, false);
            default:
                return parent_.attempt_failed(*this, Loss::not_fully_written, text_of(denial));
        }
        parent_.owner_.attempt_is_written(attempt_);
        stream_->send(message.before);
        stream_->send(std::to_string(std::max<std::int64_t>(1, left.us / 1000)));
        stream_->send(message.after);
        stream_->send(message.body);
    }

    void read() {
        while (stream_ && use_ != Use::none && !stream_paused_) {
            const std::string_view bytes = stream_->front();
            if (bytes.empty()) return;
            // A response before the end of the request cannot belong to it.
            if (is_not_fully_written())
                return parent_.attempt_failed(*this, Loss::not_fully_written,
                                              "response before the end of the request");
            if (!message_) {
                message_ = std::make_unique<http::Message>(
                    http::MessageKind::response, http::Bounds{kMaxHeadBytes, parent_.bounds_.stream_bytes},
                    [this](std::string_view piece) { piece_.append(piece); });
                events_.reset();
            }
            const std::size_t took = message_->take(bytes);
            stream_->drain(took);
            if (!process_input()) return;
            if (!charge_response()) return;
        }
    }

    // Returns false if the response is given up, as memory is short.
    bool charge_response() {
        const std::size_t buffered = body_.capacity() + (events_ ? events_->memory_bytes() : 0);
        response_.set(buffered);
        return parent_.budget_.may_buffer_response(buffered) || fail_invalid("too much is being buffered");
    }

    // Returns false if nothing more is to be read for this attempt.
    bool process_input() {
        const http::Head& head = message_->head();
        const bool bad = message_->error() != http::ParseError::none;
        if (message_->head_done() && !bad && head.status / 100 == 1) {
            if (!message_->done()) return true;
            const bool switches_protocol = head.status == 101;
            message_.reset();
            return switches_protocol || ++interim_responses_ > kMaxInterimResponses
                       ? fail_invalid("too many 1xx responses")
                       : true;
        }
        if (message_->head_done() && use_ == Use::attempt && platform::starts_event_stream(head)) {
            if (!events_) events_ = std::make_unique<platform::EventStreamParser>();
            std::string complete_events;
            std::size_t count = 0;
            const bool well_formed = events_->take(piece_, complete_events, count);
            free_memory(piece_);
            // No event has been forwarded yet, so the attempt may fail as if it had not been answered.
            if ((bad || !well_formed) && !stream_started_)
                return fail_invalid(bad ? message_->what() : "no event");
            if (count > 0) {
                stream_started_ = true;
                const AttemptId attempt = attempt_;
                const std::shared_ptr<bool> alive = alive_;
                parent_.owner_.events_received(attempt, complete_events, count);
                if (!*alive || use_ != Use::attempt || attempt_ != attempt) return false;
            }
            if (bad || !well_formed) return fail_invalid(bad ? message_->what() : "no event");
            if (message_->done()) {
                if (!events_->finished()) return fail_invalid("stream ended before its last event");
                finish_response();
                return false;
            }
            return true;
        }
        body_.append(std::exchange(piece_, {}));
        if (bad) return fail_invalid(message_->what());
        if (body_.size() > kMaxBodyBytes) return fail_invalid("response body too long");
        if (!message_->done()) return true;
        finish_response();
        return false;
    }

    bool fail_invalid(const std::string& what) {
        ++parent_.counts_.invalid;
        parent_.attempt_failed(*this, Loss::closed_by_gateway, what);
        return false;
    }

    void finish_response() {
        const http::Head head = message_->head();
        reusable_ = message_->done() && head.keep_alive;
        const bool stream = events_ != nullptr;
        const std::string body = std::exchange(body_, {});
        if (use_ == Use::release) {
            const bool done = head.status / 100 == 2 || is_sabotaged(Sabotage::refused_release_counts);
            return parent_.release_call_ended(*this, done ? ReleaseEnd::acknowledged : ReleaseEnd::refused);
        }
        AttemptOutcome outcome;
        if (stream)
            outcome.ending = Ending::completed;
        else
            outcome = platform::outcome_of(head, body, prefill_);
        parent_.attempt_completed(*this, outcome);
    }

    UpstreamPool& parent_;
    const ServerIndex server_;
    const std::uint32_t process_generation_;
    std::unique_ptr<Stream> stream_;
    Use use_ = Use::none;
    AttemptId attempt_ = 0;
    ReleaseCallId release_call_ = 0;
    OutgoingMessage pending_message_;  // until the connection is made
    std::unique_ptr<http::Message> message_;
    std::unique_ptr<platform::EventStreamParser> events_;
    std::string piece_, body_;
    MemoryCharge response_;  // what is buffered of an incomplete response, or of an event of it
    int interim_responses_ = 0;
    bool prefill_ = false, reused_ = false, stream_started_ = false, stream_paused_ = false,
         reusable_ = false;
    Instant idle_since_, answer_began_;  // answer_began_ zero: nothing received yet

  public:
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

UpstreamPool::UpstreamPool(Loop& loop, const Bounds& bounds, MemoryBudget& budget, Owner& owner)
    : loop_(loop),
      bounds_(bounds),
      budget_(budget),
      owner_(owner),
      releases_(loop, static_cast<ReleaseHost&>(*this)),
      maintenance_timer_(loop, [this] { maintain(); }) {
    maintenance_timer_.set(kMaintenanceInterval);
}

UpstreamPool::~UpstreamPool() = default;

void UpstreamPool::add_upstreams(std::size_t count) { upstreams_.resize(std::max(upstreams_.size(), count)); }

void UpstreamPool::set_endpoint(ServerIndex server, const Membership::Endpoint& endpoint) {
    add_upstreams(server + 1);
    Upstream& upstream = upstreams_[server];
    upstream.removed = false;
    const bool same_address = upstream.known && upstream.endpoint.text == endpoint.text;
    if (same_address && upstream.endpoint.started_at == endpoint.started_at) return;
    upstream.endpoint = endpoint;
    upstream.known = true;
    if (!same_address) {
        upstream.address_since = loop_.now();
        reset_contact(upstream);
    }
    // Invalidates all connections to the previous process, including those still being made.
    ++upstream.process_generation;
    stop_new_attempts(server);
    while (!upstream.idle.empty()) drop(*upstream.idle.back(), false);
}

void UpstreamPool::stop_new_attempts(ServerIndex server) {
    if (server >= upstreams_.size()) return;
    // A short cut: most servers of a large list have no connection in use.
    if (upstreams_[server].connections == upstreams_[server].idle.size()) return;
    std::vector<Connection*> waiting;
    for (const auto& [attempt, connection] : attempts_)
        if (connection->server() == server && connection->is_connecting()) waiting.push_back(connection);
    for (Connection* connection : waiting)
        attempt_failed(*connection, Loss::not_fully_written, "server accepts no new requests");
}

void UpstreamPool::remove_server(ServerIndex server) {
    if (server >= upstreams_.size()) return;
    stop_new_attempts(server);
    upstreams_[server].removed = true;
    while (!upstreams_[server].idle.empty()) drop(*upstreams_[server].idle.back(), false);
}

bool UpstreamPool::has_no_connections(ServerIndex server) const {
    return server >= upstreams_.size() || upstreams_[server].connections == 0;
}

// Returns the most recently used idle connection, which is the most likely to be alive, or null. The system
// is asked for bytes or a close that have arrived just now, as such a connection is not reusable.
UpstreamPool::Connection* UpstreamPool::take_idle(Upstream& upstream) {
    for (std::size_t n = upstream.idle.size(); n-- > 0;) {
        Connection* connection = upstream.idle[n];
        // A connection without pending input stays in the pool while the guard does not allow its reuse yet:
        // a server may send a second answer shortly after the first.
        const bool quiet = connection->has_no_pending_input();
        if (owner_.guard().may_reuse({quiet, loop_.now() - connection->idle_since()}) == Denial::none) {
            upstream.idle.erase(upstream.idle.begin() + static_cast<std::ptrdiff_t>(n));
            idle_order_.erase(connection->idle_order);
            return connection;
        }
        if (!quiet) drop(*connection, false);
    }
    return nullptr;
}

UpstreamPool::Connection* UpstreamPool::connection_to(ServerIndex server) {
    Upstream& upstream = upstreams_.at(server);
    if (Connection* connection = take_idle(upstream)) {
        ++counts_.reused;
        return connection;
    }
    if (connections_.size() >= bounds_.connections) make_room();
    auto created =
        std::make_unique<Connection>(*this, server, upstream.endpoint.address, upstream.process_generation);
    Connection* connection = created.get();
    connections_.emplace(connection, std::move(created));
    ++upstream.connections;
    ++counts_.made;
    return connection;
}

bool UpstreamPool::make_room() {
    if (idle_order_.empty()) return false;
    drop(*idle_order_.front(), false);
    return true;
}

void UpstreamPool::send(ServerIndex server, AttemptId attempt, OutgoingMessage message) {
    if (owner_.may_write(attempt, message.deadline - loop_.now()) == Denial::client_gone)
        return drop_for_gone_client(attempt);
    Connection* connection = connection_to(server);
    attempts_[attempt] = connection;
    connection->send_attempt(attempt, std::move(message));
}

void UpstreamPool::cancel(AttemptId attempt) {
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end()) return;
    Connection& connection = *it->second;
    attempts_.erase(it);
    // Reset, not closed: a hanging server may read its socket later. A reset discards the data there, an
    // orderly close does not, and the attempt would run after another one of its request.
    drop(connection, true);
}

bool UpstreamPool::cancel_unsent(AttemptId attempt) {
    if (dropped_unsent_.erase(attempt) > 0) return true;
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end() || !it->second->is_not_fully_written()) return false;
    Connection& connection = *it->second;
    attempts_.erase(it);
    ++counts_.unsent;
    drop(connection, true);
    return true;
}

void UpstreamPool::pause_stream(AttemptId attempt, bool pause) {
    if (const auto it = attempts_.find(attempt); it != attempts_.end()) it->second->pause_stream(pause);
}

void UpstreamPool::drop(Connection& connection, bool reset) {
    const auto held = connections_.find(&connection);
    if (held == connections_.end()) return;
    Upstream& upstream = upstreams_[connection.server()];
    if (std::erase(upstream.idle, &connection) > 0) idle_order_.erase(connection.idle_order);
    --upstream.connections;
    // Not destroyed at once, as the connection may be on the call stack.
    std::unique_ptr<Connection> dropped = std::move(held->second);
    connections_.erase(held);
    *connection.alive_ = false;
    if (connection.use() == Connection::Use::release) release_call_ended(connection, ReleaseEnd::lost);
    if (reset)
        Stream::reset(loop_, connection.take_stream());
    else
        Stream::detach_and_close(loop_, connection.take_stream(), false);
    loop_.delete_later(std::move(dropped));
}

void UpstreamPool::attempt_completed(Connection& connection, const AttemptOutcome& outcome) {
    const AttemptId attempt = connection.attempt();
    attempts_.erase(attempt);
    return_to_pool(connection);
    owner_.attempt_ended(attempt, outcome, "");
}

void UpstreamPool::attempt_failed(Connection& connection, Loss loss, const std::string& what) {
    if (connection.use() != Connection::Use::attempt) return drop(connection, false);
    const bool not_fully_written = loss == Loss::not_fully_written;
    const AttemptId attempt = connection.attempt();
    attempts_.erase(attempt);
    ++(not_fully_written ? counts_.unsent : counts_.broken);
    const bool stale = connection.is_stale();
    Upstream& upstream = upstreams_[connection.server()];
    drop(connection, not_fully_written);
    // The server may drop idle connections without a close. Its other idle connections are as old, and
    // each would cost an attempt to find out.
    while (stale && !upstream.idle.empty()) drop(*upstream.idle.back(), false);
    AttemptOutcome outcome;
    outcome.ending = not_fully_written ? Ending::unreachable : Ending::connection_lost;
    outcome.stale_connection = stale && !not_fully_written;
    outcome.closed_by_gateway = loss == Loss::closed_by_gateway;
    loop_.post([this, attempt, outcome, what] { owner_.attempt_ended(attempt, outcome, what); });
}

// Drops an unsent attempt whose client has disconnected, when the loop has not processed the disconnection
// yet. The owner is notified later, from the loop.
void UpstreamPool::drop_for_gone_client(AttemptId attempt) {
    attempts_.erase(attempt);
    ++counts_.unsent;
    dropped_unsent_.insert(attempt);
    loop_.post([this, attempt] {
        if (dropped_unsent_.count(attempt) == 0) return;
        AttemptOutcome outcome;
        outcome.ending = Ending::unsent;
        owner_.attempt_ended(attempt, outcome, "its client has gone");
        dropped_unsent_.erase(attempt);
    });
}

void UpstreamPool::return_to_pool(Connection& connection) {
    Upstream& upstream = upstreams_[connection.server()];
    if (!connection.is_reusable() || upstream.removed || !connection.is_to_current_process()) {
        connection.become_idle();
        return drop(connection, false);
    }
    connection.become_idle();
    upstream.idle.push_back(&connection);
    connection.idle_order = idle_order_.insert(idle_order_.end(), &connection);
}

// ---- releases

bool UpstreamPool::is_reachable(ServerIndex server) const {
    return server < upstreams_.size() && upstreams_[server].known && !upstreams_[server].removed;
}

bool UpstreamPool::may_hang(ServerIndex server) const {
    const Instant since = upstreams_[server].unanswered_since;
    return since.us != 0 && loop_.now() - since >= release_policy::kSuspectHungAfter;
}

void UpstreamPool::reset_contact(Upstream& upstream) {
    if (upstream.last_heard_at.us != 0) heard_order_.erase(upstream.heard_order);
    upstream.last_heard_at = upstream.unanswered_since = upstream.hung_until = {};
}

void UpstreamPool::note_contact(ServerIndex server) {
    Upstream& upstream = upstreams_[server];
    if (may_hang(server)) upstream.hung_until = loop_.now();
    if (upstream.last_heard_at.us == 0) {
        upstream.heard_order = heard_order_.insert(heard_order_.begin(), server);
    } else {
        heard_order_.splice(heard_order_.begin(), heard_order_, upstream.heard_order);
    }
    upstream.last_heard_at = loop_.now();
    upstream.unanswered_since = {};
}

void UpstreamPool::visit_by_last_heard(const ServerVisitor& visit) const {
    for (const ServerIndex server : heard_order_) {
        if (!visit(server)) return;
    }
    const std::size_t count = upstreams_.size(), step = release_policy::list_stride(count);
    std::size_t at = 0;
    for (std::size_t n = 0; n < count; ++n) {
        at = (at + step) % count;
        const bool heard = upstreams_[at].last_heard_at.us != 0;
        if (!heard && !visit(static_cast<ServerIndex>(at))) return;
    }
}

ReleaseCallId UpstreamPool::start_release(ServerIndex server, const std::string& id) {
    // Stays within the share of the descriptors for connections to servers.
    if (upstreams_[server].idle.empty() && connections_.size() >= bounds_.connections && !make_room())
        return 0;
    const ReleaseCallId call = next_release_call_++;
    Connection* connection = connection_to(server);
    release_calls_[call] = connection;
    connection->send_release(call, "DELETE /bootstrap/rooms/" + id + " HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    return call;
}

void UpstreamPool::cancel_release(ReleaseCallId call) {
    const auto it = release_calls_.find(call);
    if (it == release_calls_.end()) return;
    Connection& connection = *it->second;
    release_calls_.erase(it);
    drop(connection, true);
}

void UpstreamPool::release_call_ended(Connection& connection, ReleaseEnd end) {
    const ReleaseCallId call = connection.release_call();
    const bool known = release_calls_.erase(call) > 0;
    if (end != ReleaseEnd::lost) return_to_pool(connection);
    if (known) releases_.call_ended(call, end == ReleaseEnd::acknowledged);
}

void UpstreamPool::drop_incomplete_answers() {
    const Duration within = owner_.guard().answer_completion_time();
    if (within.us <= 0) return;
    std::vector<Connection*> incomplete;
    for (const auto& [attempt, connection] : attempts_) {
        if (connection->is_incomplete(within)) incomplete.push_back(connection);
    }
    for (Connection* connection : incomplete) connection->end_incomplete();
}

void UpstreamPool::drop_idle(Duration idle_time) {
    const Instant now = loop_.now();
    while (!idle_order_.empty() && now - idle_order_.front()->idle_since() >= idle_time)
        drop(*idle_order_.front(), false);
}

void UpstreamPool::maintain() {
    drop_incomplete_answers();
    releases_.send_due();
    drop_idle(bounds_.idle_timeout);
    maintenance_timer_.set(releases_.owed() > 0 ? kMaintenanceIntervalWhileOwed : kMaintenanceInterval);
}

}  // namespace copperfront
