#include "node/servers.h"

#include <algorithm>

namespace copperfront {
namespace {

constexpr std::size_t kMostHead = 8192;
constexpr std::size_t kMostBody = 64 << 10;   // of an answer that is no stream
constexpr std::size_t kHeldBytes = 64 << 10;  // of a stream whose events wait
constexpr int kMostInterim = 100;             // 1xx answers ahead of one
constexpr Span kLookEvery{50000};
constexpr Span kMayHangAfter{150000};  // with a message unanswered, and nothing heard since
constexpr Span kLookWhileOwed{20000};  // while releases are owed

}  // namespace

class Servers::Line : public Stream::Owner {
  public:
    enum class Use { none, launch, release };

    Line(Servers& all, ServerIndex server, const Address& to, std::uint32_t life)
        : all_(all), server_(server), life_(life) {
        stream_ = Stream::dial(all.loop_, to, {0, kHeldBytes}, *this);
    }

    ServerIndex server() const { return server_; }
    std::uint32_t life() const { return life_; }
    Use use() const { return use_; }
    LaunchId launch() const { return launch_; }
    bool never_sent() const { return !stream_->made() || stream_->unsent() > 0; }
    bool nothing_sent() const { return !stream_->made(); }
    Instant rested() const { return rested_; }
    std::unique_ptr<Stream> take_stream() { return std::move(stream_); }

    // It was kept from an earlier launch, and nothing has come on it since.
    bool is_stale() const { return kept_ && !message_ && interim_ == 0; }

    void carry(LaunchId launch, Call call) {
        use_ = Use::launch;
        launch_ = launch;
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
        launch_ = 0;
        message_.reset();
        events_.reset();
        rested_ = all_.loop_.now();
    }
    void hold_back(bool hold) {
        if (std::exchange(held_back_, hold) == hold) return;
        stream_->pause_reading(hold);
        if (hold) return;
        Servers* const all = &all_;
        all_.loop_.post([all, self = this, launch = launch_] {
            const auto it = all->out_.find(launch);
            if (it != all->out_.end() && it->second == self) self->read();
        });
    }
    bool is_reusable() const { return reusable_ && stream_->held() == 0; }
    // Nothing has come on it while it rested.
    bool is_quiet() const { return stream_->is_quiet(); }

    void stream_made(Stream&) override { write(); }
    void bytes_came(Stream&) override {
        all_.doors_[server_].heard = all_.loop_.now();
        all_.doors_[server_].unanswered_since = {};
        // Against a second answer that comes late: the next request would take it for its own.
        if (use_ == Use::none) return all_.drop(*this, false);
        read();
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
        kept_ = stream_->made();
        body_ = {};
        if (stream_->made()) write();
    }

    // What is told is what is left now: time went by while the connection came up.
    void write() {
        const Call call = std::exchange(call_, {});
        if (call.before.empty()) return;
        if (Instant& since = all_.doors_[server_].unanswered_since; since.us == 0) since = all_.loop_.now();
        if (use_ == Use::release) return stream_->send(call.before);
        const Span left = call.until - all_.loop_.now();
        switch (const Denial denial = all_.owner_.may_write(launch_, left)) {
            case Denial::none:
                break;
            case Denial::client_gone:
                all_.not_awaited(launch_);
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

    // False: nothing more is to be read for this launch.
    bool read_on() {
        const http::Head& head = message_->head();
        const bool bad = message_->trouble() != http::Trouble::none;
        if (message_->head_done() && !bad && head.status / 100 == 1) {
            if (!message_->done()) return true;
            const bool last = head.status == 101;
            message_.reset();
            return last || ++interim_ > kMostInterim ? spoilt("1xx answers without end") : true;
        }
        if (message_->head_done() && use_ == Use::launch && platform::begins_stream(head)) {
            if (!events_) events_ = std::make_unique<platform::Events>();
            std::string whole;
            std::size_t count = 0;
            const bool well = events_->take(piece_, whole, count);
            piece_ = {};
            // Nothing has been passed on yet, so the launch may end as if nothing had come.
            if ((bad || !well) && !begun_) return spoilt(bad ? message_->what() : "no event");
            if (count > 0) {
                begun_ = true;
                const LaunchId launch = launch_;
                const std::shared_ptr<bool> alive = alive_;
                all_.owner_.events_came(launch, whole, count);
                if (!*alive || use_ != Use::launch || launch_ != launch) return false;
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
        if (use_ == Use::release) return all_.released(*this, true);
        Outcome outcome;
        if (stream)
            outcome.ending = Ending::settled;
        else
            outcome = platform::outcome_of(head, body, reading_);
        all_.ended(*this, outcome);
    }

    Servers& all_;
    const ServerIndex server_;
    const std::uint32_t life_;
    std::unique_ptr<Stream> stream_;
    Use use_ = Use::none;
    LaunchId launch_ = 0;
    ReleaseCallId release_call_ = 0;
    Call call_;  // waits for the connection
    std::unique_ptr<http::Message> message_;
    std::unique_ptr<platform::Events> events_;
    std::string piece_, body_;
    int interim_ = 0;
    bool reading_ = false, kept_ = false, begun_ = false, held_back_ = false, reusable_ = false;
    Instant rested_;

  public:
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

Servers::Servers(Loop& loop, const Bounds& bounds, Owner& owner)
    : loop_(loop),
      bounds_(bounds),
      owner_(owner),
      releases_(loop, static_cast<ReleasePool&>(*this)),
      look_(loop, [this] { look(); }) {
    look_.set(kLookEvery);
}

Servers::~Servers() = default;

void Servers::learn(ServerIndex server, const std::string& address, Instant born) {
    if (server >= doors_.size()) doors_.resize(server + 1);
    Door& door = doors_[server];
    door.gone = false;
    if (door.known && door.text == address && door.born == born) return;
    door.address = Address::parse(address);
    door.text = address;
    door.born = born;
    door.known = true;
    // Against connections to a process that is no more, also ones that have yet to come up.
    ++door.life;
    shun(server);
    while (!door.idle.empty()) drop(*door.idle.back(), false);
}

void Servers::shun(ServerIndex server) {
    if (server >= doors_.size()) return;
    std::vector<Line*> waiting;
    for (const auto& [launch, line] : out_)
        if (line->server() == server && line->nothing_sent()) waiting.push_back(line);
    for (Line* line : waiting) lost(*line, Loss::never_sent, "the server takes nothing new");
}

void Servers::gone(ServerIndex server) {
    if (server >= doors_.size()) return;
    shun(server);
    doors_[server].gone = true;
    while (!doors_[server].idle.empty()) drop(*doors_[server].idle.back(), false);
}

bool Servers::is_idle(ServerIndex server) const {
    return server >= doors_.size() || doors_[server].lines == 0;
}

// The newest idle one, which is the likeliest to be alive. Against bytes or an end that have come in the very
// moment in which it is taken, the system is asked: such a connection is no longer of use. Null: there is
// none.
Servers::Line* Servers::take_idle(Door& door) {
    for (std::size_t n = door.idle.size(); n-- > 0;) {
        Line* line = door.idle[n];
        // Too young, it may be used later.
        const bool quiet = line->is_quiet();
        if (owner_.guard().may_reuse({quiet, loop_.now() - line->rested()}) == Denial::none) {
            door.idle.erase(door.idle.begin() + static_cast<std::ptrdiff_t>(n));
            return line;
        }
        if (!quiet) drop(*line, false);
    }
    return nullptr;
}

Servers::Line* Servers::line_to(ServerIndex server) {
    Door& door = doors_.at(server);
    if (Line* line = take_idle(door)) {
        ++counts_.reused;
        return line;
    }
    if (lines_.size() >= bounds_.connections) make_room();
    auto fresh = std::make_unique<Line>(*this, server, door.address, door.life);
    Line* line = fresh.get();
    lines_.emplace(line, std::move(fresh));
    ++door.lines;
    ++counts_.made;
    return line;
}

bool Servers::make_room() {
    Line* oldest = nullptr;
    for (const Door& door : doors_)
        if (!door.idle.empty() && (!oldest || door.idle.front()->rested() < oldest->rested()))
            oldest = door.idle.front();
    if (oldest) drop(*oldest, false);
    return oldest != nullptr;
}

void Servers::send(ServerIndex server, LaunchId launch, Call call) {
    if (owner_.may_write(launch, call.until - loop_.now()) == Denial::client_gone) return not_awaited(launch);
    Line* line = line_to(server);
    out_[launch] = line;
    line->carry(launch, std::move(call));
}

void Servers::call_off(LaunchId launch) {
    const auto it = out_.find(launch);
    if (it == out_.end()) return;
    Line& line = *it->second;
    out_.erase(it);
    // Against a server that hangs and reads later what lies in its socket: a reset takes that back, an end
    // does not, and the launch would run after another one of its query.
    drop(line, true);
}

bool Servers::unsend(LaunchId launch) {
    if (not_awaited_.erase(launch) > 0) return true;
    const auto it = out_.find(launch);
    if (it == out_.end() || !it->second->never_sent()) return false;
    Line& line = *it->second;
    out_.erase(it);
    ++counts_.not_made;
    drop(line, true);
    return true;
}

void Servers::hold_back(LaunchId launch, bool hold) {
    if (const auto it = out_.find(launch); it != out_.end()) it->second->hold_back(hold);
}

void Servers::drop(Line& line, bool reset) {
    const auto held = lines_.find(&line);
    if (held == lines_.end()) return;
    Door& door = doors_[line.server()];
    std::erase(door.idle, &line);
    --door.lines;
    // It may be on the call stack.
    std::unique_ptr<Line> buried = std::move(held->second);
    lines_.erase(held);
    *line.alive_ = false;
    if (line.use() == Line::Use::release) released(line, false);
    if (reset)
        Stream::reset(loop_, line.take_stream());
    else
        Stream::hand_off(loop_, line.take_stream(), false);
    loop_.bury(std::move(buried));
}

void Servers::ended(Line& line, const Outcome& outcome) {
    const LaunchId launch = line.launch();
    out_.erase(launch);
    rest(line);
    owner_.launch_over(launch, outcome, "");
}

void Servers::lost(Line& line, Loss loss, const std::string& what) {
    if (line.use() != Line::Use::launch) return drop(line, false);
    const bool never_sent = loss == Loss::never_sent;
    const LaunchId launch = line.launch();
    out_.erase(launch);
    ++(never_sent ? counts_.not_made : counts_.broken);
    const bool stale = line.is_stale();
    Door& door = doors_[line.server()];
    drop(line, never_sent);
    // Against servers that part with kept connections without a word: the others there are as old, and each
    // would cost a launch to find out.
    while (stale && !door.idle.empty()) drop(*door.idle.back(), false);
    Outcome outcome;
    outcome.ending = never_sent ? Ending::unreachable : Ending::broken;
    outcome.stale = stale && !never_sent;
    outcome.closed_here = loss == Loss::closed_here;
    loop_.post([this, launch, outcome, what] { owner_.launch_over(launch, outcome, what); });
}

// Against a launch for a client that has gone, whose end waits behind other events.
void Servers::not_awaited(LaunchId launch) {
    out_.erase(launch);
    ++counts_.not_made;
    not_awaited_.insert(launch);
    loop_.post([this, launch] {
        if (not_awaited_.count(launch) == 0) return;
        Outcome outcome;
        outcome.ending = Ending::unsent;
        owner_.launch_over(launch, outcome, "its client has gone");
        not_awaited_.erase(launch);
    });
}

void Servers::rest(Line& line) {
    Door& door = doors_[line.server()];
    if (!line.is_reusable() || door.gone || line.life() != door.life) {
        line.rest();
        return drop(line, false);
    }
    line.rest();
    door.idle.push_back(&line);
}

// ---- releases

bool Servers::is_reachable(ServerIndex server) const {
    return server < doors_.size() && doors_[server].known && !doors_[server].gone;
}

bool Servers::may_hang(ServerIndex server) const {
    const Instant since = doors_[server].unanswered_since;
    return since.us != 0 && loop_.now() - since >= kMayHangAfter;
}

ReleaseCallId Servers::start_release(ServerIndex server, const std::string& id) {
    // Not over the part of the descriptors that is the servers'.
    if (doors_[server].idle.empty() && lines_.size() >= bounds_.connections && !make_room()) return 0;
    const ReleaseCallId call = next_release_call_++;
    Line* line = line_to(server);
    release_calls_[call] = line;
    line->carry_release(call, "DELETE /bootstrap/rooms/" + id + " HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    return call;
}

void Servers::cancel_release(ReleaseCallId call) {
    const auto it = release_calls_.find(call);
    if (it == release_calls_.end()) return;
    Line& line = *it->second;
    release_calls_.erase(it);
    drop(line, true);
}

void Servers::released(Line& line, bool answered) {
    const ReleaseCallId call = line.release_call();
    const bool known = release_calls_.erase(call) > 0;
    if (answered) rest(line);
    if (known) releases_.call_ended(call, answered);
}

void Servers::look() {
    const Instant now = loop_.now();
    releases_.look();
    for (Door& door : doors_)
        while (!door.idle.empty() && now - door.idle.front()->rested() >= bounds_.idle)
            drop(*door.idle.front(), false);
    look_.set(releases_.owed() > 0 ? kLookWhileOwed : kLookEvery);
}

}  // namespace copperfront
