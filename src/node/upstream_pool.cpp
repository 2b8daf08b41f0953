#include "node/upstream_pool.h"

#include <algorithm>

#include "core/release_policy.h"
#include "core/sabotage.h"

namespace copperfront {
namespace {

constexpr std::size_t kMostHead = 8192;
constexpr std::size_t kMostBody = 64 << 10;   // of an answer that is no stream
constexpr std::size_t kHeldBytes = 64 << 10;  // of a stream whose events wait
constexpr int kMostInterim = 100;             // 1xx answers ahead of one
constexpr Span kLookEvery{50000};
constexpr Span kOverstatedBy{500000};  // where that is sabotaged
constexpr Span kLookWhileOwed{20000};  // while releases are owed

}  // namespace

class UpstreamPool::Connection : public Stream::Owner {
  public:
    enum class Use { none, attempt, release };

    Connection(UpstreamPool& all, ServerIndex server, const Address& to, std::uint32_t life)
        : all_(all), server_(server), life_(life) {
        stream_ = Stream::dial(all.loop_, to, {0, kHeldBytes}, *this);
    }

    ServerIndex server() const { return server_; }
    // And not to one before it under the same index.
    bool is_to_present_process() const { return life_ == all_.upstreams_[server_].life; }
    Use use() const { return use_; }
    AttemptId attempt() const { return attempt_; }
    bool never_sent() const { return !stream_->made() || stream_->unsent() > 0; }
    bool nothing_sent() const { return !stream_->made(); }
    Instant rested() const { return rested_; }
    // Its place among all that rest.
    std::list<Connection*>::iterator resting_order;
    std::unique_ptr<Stream> take_stream() { return std::move(stream_); }

    // It was kept from an earlier attempt, and nothing has come on it since.
    bool is_stale() const { return kept_ && !message_ && interim_ == 0; }

    void carry(AttemptId attempt, Call call) {
        use_ = Use::attempt;
        attempt_ = attempt;
        reading_ = call.reading;
        begin(std::move(call));
    }
    void carry_release(ReleaseCallId call, std::string message) {
        use_ = Use::release;
        release_call_ = call;
        begin({std::move(message), "", {}, false});
    }
    ReleaseCallId release_call() const { return release_call_; }
    void rest() {
        use_ = Use::none;
        attempt_ = 0;
        message_.reset();
        events_.reset();
        rested_ = all_.loop_.now();
    }
    void hold_back(bool hold) {
        if (std::exchange(held_back_, hold) == hold) return;
        stream_->pause_reading(hold);
        if (hold) return;
        UpstreamPool* const all = &all_;
        all_.loop_.post([all, self = this, attempt = attempt_] {
            const auto it = all->out_.find(attempt);
            if (it != all->out_.end() && it->second == self) self->read();
        });
    }
    bool is_reusable() const { return reusable_ && stream_->held() == 0; }
    // Nothing has come on it while it rested.
    bool is_quiet() const { return stream_->is_quiet(); }

    void stream_made(Stream&) override { write(); }
    void bytes_came(Stream&) override {
        if (is_to_present_process()) all_.heard_from(server_);
        // Against a second answer that comes late: the next request would take it for its own.
        if (use_ == Use::none) return all_.drop(*this, false);
        if (use_ == Use::attempt && answer_began_.us == 0) {
            answer_began_ = all_.loop_.now();
            all_.owner_.answer_began(attempt_);
        }
        read();
    }
    // The rest of an answer that is no stream has not come within this time. A prefill server has read by the
    // time that it answers; what a decode server has begun to say may yet become a stream.
    bool is_incomplete(Span within) const {
        if (use_ != Use::attempt || answer_began_.us == 0 || events_) return false;
        const bool head_done = message_ && message_->head_done();
        return (reading_ || head_done) && all_.loop_.now() - answer_began_ >= within;
    }
    // What its head says holds without its body too; such a connection is of no further use.
    void end_incomplete() {
        const bool head_done = message_ && message_->head_done() && message_->head().status / 100 != 1;
        if (!head_done) {
            spoilt("the rest of its answer does not come");
            return;
        }
        ++all_.counts_.spoilt;
        answered();
    }
    void stream_closed(Stream&, Closing why, const std::string& what) override {
        if (use_ == Use::none) return all_.drop(*this, false);
        const bool unsent = why == Closing::not_made || never_sent();
        // An answer that only the connection's end ends, such as an error without a length.
        if (!unsent && message_ && why == Closing::peer_ended && message_->ended()) return answered();
        all_.lost(*this, unsent ? Loss::never_sent : Loss::peer_closed, what);
    }

  private:
    void begin(Call call) {
        call_ = std::move(call);
        interim_ = 0;
        begun_ = held_back_ = reusable_ = false;
        answer_began_ = {};
        kept_ = stream_->made();
        body_ = {};
        if (stream_->made()) write();
    }

    // What is told is what is left now: time went by while the connection came up.
    void write() {
        const Call call = std::exchange(call_, {});
        if (call.before.empty()) return;
        Instant& since = all_.upstreams_[server_].unanswered_since;
        if (since.us == 0 && is_to_present_process()) since = all_.loop_.now();
        if (use_ == Use::release) return stream_->send(call.before);
        Span left = call.until - all_.loop_.now();
        if (is_sabotaged(Sabotage::deadline_overstated)) left = left + kOverstatedBy;
        switch (const Denial denial = all_.owner_.may_write(attempt_, left)) {
            case Denial::none:
                break;
            case Denial::client_gone:
                all_.not_awaited(attempt_);
                return all_.drop(*this, false);
            default:
                return all_.lost(*this, Loss::never_sent, text_of(denial));
        }
        stream_->send(call.before);
        stream_->send(std::to_string(std::max<std::int64_t>(1, left.us / 1000)));
        stream_->send(call.after);
    }

    void read() {
        while (stream_ && use_ != Use::none && !held_back_) {
            const std::string_view bytes = stream_->front();
            if (bytes.empty()) return;
            // An answer ahead of its question's end can't be one to it.
            if (never_sent()) return all_.lost(*this, Loss::never_sent, "an answer before the question");
            if (!message_) {
                message_ = std::make_unique<http::Message>(
                    http::Sort::answer, http::Bounds{kMostHead, all_.bounds_.stream_bytes},
                    [this](std::string_view piece) { piece_.append(piece); });
                events_.reset();
            }
            const std::size_t took = message_->take(bytes);
            stream_->drain(took);
            if (!read_on()) return;
        }
    }

    // False: nothing more is to be read for this attempt.
    bool read_on() {
        const http::Head& head = message_->head();
        const bool bad = message_->trouble() != http::Trouble::none;
        if (message_->head_done() && !bad && head.status / 100 == 1) {
            if (!message_->done()) return true;
            const bool last = head.status == 101;
            message_.reset();
            return last || ++interim_ > kMostInterim ? spoilt("1xx answers without end") : true;
        }
        if (message_->head_done() && use_ == Use::attempt && platform::begins_stream(head)) {
            if (!events_) events_ = std::make_unique<platform::Events>();
            std::string whole;
            std::size_t count = 0;
            const bool well = events_->take(piece_, whole, count);
            piece_ = {};
            // Nothing has been passed on yet, so the attempt may end as if nothing had come.
            if ((bad || !well) && !begun_) return spoilt(bad ? message_->what() : "no event");
            if (count > 0) {
                begun_ = true;
                const AttemptId attempt = attempt_;
                const std::shared_ptr<bool> alive = alive_;
                all_.owner_.events_came(attempt, whole, count);
                if (!*alive || use_ != Use::attempt || attempt_ != attempt) return false;
            }
            if (bad || !well) return spoilt(bad ? message_->what() : "no event");
            if (message_->done()) {
                if (!events_->finished()) return spoilt("the stream ends before its last event");
                answered();
                return false;
            }
            return true;
        }
        body_.append(std::exchange(piece_, {}));
        if (bad) return spoilt(message_->what());
        if (body_.size() > kMostBody) return spoilt("an answer that does not end");
        if (!message_->done()) return true;
        answered();
        return false;
    }

    bool spoilt(const std::string& what) {
        ++all_.counts_.spoilt;
        all_.lost(*this, Loss::closed_here, what);
        return false;
    }

    void answered() {
        const http::Head head = message_->head();
        reusable_ = message_->done() && head.keeps_open;
        const bool stream = events_ != nullptr;
        const std::string body = std::exchange(body_, {});
        if (use_ == Use::release) {
            const bool done = head.status / 100 == 2 || is_sabotaged(Sabotage::refused_release_counts);
            return all_.released(*this, done ? ReleaseEnd::acknowledged : ReleaseEnd::refused);
        }
        Outcome outcome;
        if (stream)
            outcome.ending = Ending::settled;
        else
            outcome = platform::outcome_of(head, body, reading_);
        all_.ended(*this, outcome);
    }

    UpstreamPool& all_;
    const ServerIndex server_;
    const std::uint32_t life_;
    std::unique_ptr<Stream> stream_;
    Use use_ = Use::none;
    AttemptId attempt_ = 0;
    ReleaseCallId release_call_ = 0;
    Call call_;  // waits for the connection
    std::unique_ptr<http::Message> message_;
    std::unique_ptr<platform::Events> events_;
    std::string piece_, body_;
    int interim_ = 0;
    bool reading_ = false, kept_ = false, begun_ = false, held_back_ = false, reusable_ = false;
    Instant rested_, answer_began_;  // answer_began_ zero: nothing has come yet

  public:
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

UpstreamPool::UpstreamPool(Loop& loop, const Bounds& bounds, Owner& owner)
    : loop_(loop),
      bounds_(bounds),
      owner_(owner),
      releases_(loop, static_cast<ReleasePool&>(*this)),
      look_(loop, [this] { look(); }) {
    look_.set(kLookEvery);
}

UpstreamPool::~UpstreamPool() = default;

void UpstreamPool::add_upstreams(std::size_t count) { upstreams_.resize(std::max(upstreams_.size(), count)); }

void UpstreamPool::learn(ServerIndex server, const Membership::Endpoint& endpoint) {
    add_upstreams(server + 1);
    Upstream& upstream = upstreams_[server];
    upstream.gone = false;
    const bool same_address = upstream.known && upstream.endpoint.text == endpoint.text;
    if (same_address && upstream.endpoint.born == endpoint.born) return;
    upstream.endpoint = endpoint;
    upstream.known = true;
    if (!same_address) {
        upstream.address_since = loop_.now();
        forget_what_was_heard(upstream);
    }
    // Against connections to a process that is no more, also ones that have yet to come up.
    ++upstream.life;
    shun(server);
    while (!upstream.idle.empty()) drop(*upstream.idle.back(), false);
}

void UpstreamPool::shun(ServerIndex server) {
    if (server >= upstreams_.size()) return;
    // Most servers of a large list have nothing in use.
    if (upstreams_[server].connections == upstreams_[server].idle.size()) return;
    std::vector<Connection*> waiting;
    for (const auto& [attempt, connection] : out_)
        if (connection->server() == server && connection->nothing_sent()) waiting.push_back(connection);
    for (Connection* connection : waiting)
        lost(*connection, Loss::never_sent, "the server takes nothing new");
}

void UpstreamPool::gone(ServerIndex server) {
    if (server >= upstreams_.size()) return;
    shun(server);
    upstreams_[server].gone = true;
    while (!upstreams_[server].idle.empty()) drop(*upstreams_[server].idle.back(), false);
}

bool UpstreamPool::is_idle(ServerIndex server) const {
    return server >= upstreams_.size() || upstreams_[server].connections == 0;
}

// The newest idle one, which is the likeliest to be alive. Against bytes or an end that have come in the very
// moment in which it is taken, the system is asked: such a connection is no longer of use. Null: there is
// none.
UpstreamPool::Connection* UpstreamPool::take_idle(Upstream& upstream) {
    for (std::size_t n = upstream.idle.size(); n-- > 0;) {
        Connection* connection = upstream.idle[n];
        // Too young, it may be used later.
        const bool quiet = connection->is_quiet();
        if (owner_.guard().may_reuse({quiet, loop_.now() - connection->rested()}) == Denial::none) {
            upstream.idle.erase(upstream.idle.begin() + static_cast<std::ptrdiff_t>(n));
            resting_order_.erase(connection->resting_order);
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
    auto fresh = std::make_unique<Connection>(*this, server, upstream.endpoint.address, upstream.life);
    Connection* connection = fresh.get();
    connections_.emplace(connection, std::move(fresh));
    ++upstream.connections;
    ++counts_.made;
    return connection;
}

bool UpstreamPool::make_room() {
    if (resting_order_.empty()) return false;
    drop(*resting_order_.front(), false);
    return true;
}

void UpstreamPool::send(ServerIndex server, AttemptId attempt, Call call) {
    if (owner_.may_write(attempt, call.until - loop_.now()) == Denial::client_gone)
        return not_awaited(attempt);
    Connection* connection = connection_to(server);
    out_[attempt] = connection;
    connection->carry(attempt, std::move(call));
}

void UpstreamPool::call_off(AttemptId attempt) {
    const auto it = out_.find(attempt);
    if (it == out_.end()) return;
    Connection& connection = *it->second;
    out_.erase(it);
    // Against a server that hangs and reads later what lies in its socket: a reset takes that back, an end
    // does not, and the attempt would run after another one of its query.
    drop(connection, true);
}

bool UpstreamPool::unsend(AttemptId attempt) {
    if (not_awaited_.erase(attempt) > 0) return true;
    const auto it = out_.find(attempt);
    if (it == out_.end() || !it->second->never_sent()) return false;
    Connection& connection = *it->second;
    out_.erase(it);
    ++counts_.not_made;
    drop(connection, true);
    return true;
}

void UpstreamPool::hold_back(AttemptId attempt, bool hold) {
    if (const auto it = out_.find(attempt); it != out_.end()) it->second->hold_back(hold);
}

void UpstreamPool::drop(Connection& connection, bool reset) {
    const auto held = connections_.find(&connection);
    if (held == connections_.end()) return;
    Upstream& upstream = upstreams_[connection.server()];
    if (std::erase(upstream.idle, &connection) > 0) resting_order_.erase(connection.resting_order);
    --upstream.connections;
    // It may be on the call stack.
    std::unique_ptr<Connection> buried = std::move(held->second);
    connections_.erase(held);
    *connection.alive_ = false;
    if (connection.use() == Connection::Use::release) released(connection, ReleaseEnd::lost);
    if (reset)
        Stream::reset(loop_, connection.take_stream());
    else
        Stream::hand_off(loop_, connection.take_stream(), false);
    loop_.bury(std::move(buried));
}

void UpstreamPool::ended(Connection& connection, const Outcome& outcome) {
    const AttemptId attempt = connection.attempt();
    out_.erase(attempt);
    rest(connection);
    owner_.attempt_over(attempt, outcome, "");
}

void UpstreamPool::lost(Connection& connection, Loss loss, const std::string& what) {
    if (connection.use() != Connection::Use::attempt) return drop(connection, false);
    const bool never_sent = loss == Loss::never_sent;
    const AttemptId attempt = connection.attempt();
    out_.erase(attempt);
    ++(never_sent ? counts_.not_made : counts_.broken);
    const bool stale = connection.is_stale();
    Upstream& upstream = upstreams_[connection.server()];
    drop(connection, never_sent);
    // Against servers that part with kept connections without a word: the others there are as old, and each
    // would cost an attempt to find out.
    while (stale && !upstream.idle.empty()) drop(*upstream.idle.back(), false);
    Outcome outcome;
    outcome.ending = never_sent ? Ending::unreachable : Ending::broken;
    outcome.stale = stale && !never_sent;
    outcome.closed_here = loss == Loss::closed_here;
    loop_.post([this, attempt, outcome, what] { owner_.attempt_over(attempt, outcome, what); });
}

// Against an attempt for a client that has gone, whose end waits behind other events.
void UpstreamPool::not_awaited(AttemptId attempt) {
    out_.erase(attempt);
    ++counts_.not_made;
    not_awaited_.insert(attempt);
    loop_.post([this, attempt] {
        if (not_awaited_.count(attempt) == 0) return;
        Outcome outcome;
        outcome.ending = Ending::unsent;
        owner_.attempt_over(attempt, outcome, "its client has gone");
        not_awaited_.erase(attempt);
    });
}

void UpstreamPool::rest(Connection& connection) {
    Upstream& upstream = upstreams_[connection.server()];
    if (!connection.is_reusable() || upstream.gone || !connection.is_to_present_process()) {
        connection.rest();
        return drop(connection, false);
    }
    connection.rest();
    upstream.idle.push_back(&connection);
    connection.resting_order = resting_order_.insert(resting_order_.end(), &connection);
}

// ---- releases

bool UpstreamPool::is_reachable(ServerIndex server) const {
    return server < upstreams_.size() && upstreams_[server].known && !upstreams_[server].gone;
}

bool UpstreamPool::may_hang(ServerIndex server) const {
    const Instant since = upstreams_[server].unanswered_since;
    return since.us != 0 && loop_.now() - since >= release_policy::kMayHangAfter;
}

void UpstreamPool::forget_what_was_heard(Upstream& upstream) {
    if (upstream.heard.us != 0) heard_order_.erase(upstream.heard_order);
    upstream.heard = upstream.unanswered_since = upstream.hung_until = {};
}

void UpstreamPool::heard_from(ServerIndex server) {
    Upstream& upstream = upstreams_[server];
    if (may_hang(server)) upstream.hung_until = loop_.now();
    if (upstream.heard.us == 0) {
        upstream.heard_order = heard_order_.insert(heard_order_.begin(), server);
    } else {
        heard_order_.splice(heard_order_.begin(), heard_order_, upstream.heard_order);
    }
    upstream.heard = loop_.now();
    upstream.unanswered_since = {};
}

void UpstreamPool::visit_by_last_heard(const ServerVisitor& visit) const {
    for (const ServerIndex server : heard_order_) {
        if (!visit(server)) return;
    }
    const std::size_t count = upstreams_.size(), step = release_policy::step_through_list(count);
    std::size_t at = 0;
    for (std::size_t n = 0; n < count; ++n) {
        at = (at + step) % count;
        const bool heard = upstreams_[at].heard.us != 0;
        if (!heard && !visit(static_cast<ServerIndex>(at))) return;
    }
}

ReleaseCallId UpstreamPool::start_release(ServerIndex server, const std::string& id) {
    // Not over the part of the descriptors that is the servers'.
    if (upstreams_[server].idle.empty() && connections_.size() >= bounds_.connections && !make_room())
        return 0;
    const ReleaseCallId call = next_release_call_++;
    Connection* connection = connection_to(server);
    release_calls_[call] = connection;
    connection->carry_release(call, "DELETE /bootstrap/rooms/" + id + " HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    return call;
}

void UpstreamPool::cancel_release(ReleaseCallId call) {
    const auto it = release_calls_.find(call);
    if (it == release_calls_.end()) return;
    Connection& connection = *it->second;
    release_calls_.erase(it);
    drop(connection, true);
}

void UpstreamPool::released(Connection& connection, ReleaseEnd end) {
    const ReleaseCallId call = connection.release_call();
    const bool known = release_calls_.erase(call) > 0;
    if (end != ReleaseEnd::lost) rest(connection);
    if (known) releases_.call_ended(call, end == ReleaseEnd::acknowledged);
}

void UpstreamPool::drop_incomplete_answers() {
    const Span within = owner_.guard().answer_completion_time();
    if (within.us <= 0) return;
    std::vector<Connection*> incomplete;
    for (const auto& [attempt, connection] : out_) {
        if (connection->is_incomplete(within)) incomplete.push_back(connection);
    }
    for (Connection* connection : incomplete) connection->end_incomplete();
}

void UpstreamPool::look() {
    const Instant now = loop_.now();
    drop_incomplete_answers();
    releases_.look();
    while (!resting_order_.empty() && now - resting_order_.front()->rested() >= bounds_.idle)
        drop(*resting_order_.front(), false);
    look_.set(releases_.owed() > 0 ? kLookWhileOwed : kLookEvery);
}

}  // namespace copperfront
