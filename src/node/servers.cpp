#include "node/servers.h"

#include <algorithm>

namespace copperfront {
namespace {

constexpr std::size_t kMostHead = 8192;
constexpr std::size_t kMostBody = 64 << 10;     // of an answer that is no stream
constexpr std::size_t kHeldBytes = 64 << 10;    // of a stream whose events wait
constexpr std::size_t kMostOwed = 10000;        // releases at once
constexpr std::uint32_t kMostReleaseTries = 8;  // servers that are told
constexpr int kMostInterim = 100;               // 1xx answers ahead of one
constexpr Span kLookEvery{50000};
// A server may send an answer twice, the second some milliseconds after the first. Nothing tells it from the
// answer to the next request on that connection, so none is sent there for so long.
constexpr Span kRestBeforeReuse{20000};

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
    void carry_release(std::string message) {
        use_ = Use::release;
        begin({std::move(message), "", {}, false});
    }
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

    void stream_made(Stream&) override {
        const WritePermission permission =
            use_ == Use::launch ? all_.owner_.may_write(launch_) : WritePermission::granted;
        switch (permission) {
            case WritePermission::granted:
                return write();
            case WritePermission::client_gone:
                all_.not_awaited(launch_);
                return all_.drop(*this, false);
            case WritePermission::too_late:
                return all_.lost(*this, true, "its connection came up too late");
        }
    }
    void bytes_came(Stream&) override {
        // Against a second answer that comes late: the next request would take it for its own.
        if (use_ == Use::none) return all_.drop(*this, false);
        read();
    }
    void stream_closed(Stream&, Closing why, const std::string& what) override {
        if (use_ == Use::none) return all_.drop(*this, false);
        const bool unsent = why == Closing::not_made || never_sent();
        // An answer that only the connection's end ends, such as an error without a length.
        if (!unsent && message_ && why == Closing::peer_ended && message_->ended()) return answered();
        all_.lost(*this, unsent, what);
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

    // Against a time told that went by while the connection came up.
    void write() {
        const Call call = std::exchange(call_, {});
        if (call.before.empty()) return;
        stream_->send(call.before);
        if (call.after.empty()) return;
        const Span left = call.until - all_.loop_.now();
        stream_->send(std::to_string(std::max<std::int64_t>(1, left.us / 1000)));
        stream_->send(call.after);
    }

    void read() {
        while (stream_ && use_ != Use::none && !held_back_) {
            const std::string_view bytes = stream_->front();
            if (bytes.empty()) return;
            // An answer ahead of its question's end can't be one to it.
            if (never_sent()) return all_.lost(*this, true, "an answer before the question");
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
        all_.lost(*this, false, what);
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
    : loop_(loop), bounds_(bounds), owner_(owner), look_(loop, [this] { look(); }) {
    look_.set(kLookEvery);
}

Servers::~Servers() = default;

void Servers::change(Span idle, Span release_within) {
    bounds_.idle = idle;
    bounds_.release_within = release_within;
}

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
    for (Line* line : waiting) lost(*line, true, "the server takes nothing new");
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
        if (loop_.now() - line->rested() < kRestBeforeReuse) continue;
        if (line->is_quiet()) {
            door.idle.erase(door.idle.begin() + static_cast<std::ptrdiff_t>(n));
            return line;
        }
        drop(*line, false);
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
    if (owner_.may_write(launch) == WritePermission::client_gone) return not_awaited(launch);
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

void Servers::lost(Line& line, bool never_sent, const std::string& what) {
    if (line.use() != Line::Use::launch) return drop(line, false);
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

void Servers::release(ServerIndex server, const std::string& id, const ReleaseOrder& order) {
    if (releases_.size() >= kMostOwed) return;
    auto release = std::make_unique<Release>();
    release->id = id;
    release->server = order.unsure ? other_than(server) : server;
    release->unsure = order.unsure;
    if (order.may_be_followed) release->not_before = loop_.now() + kLookEvery;
    release->until = loop_.now() + bounds_.release_within;
    ++counts_.releases;
    releases_.push_back(std::move(release));
    go_on(*releases_.back());
}

bool Servers::may_be_told(ServerIndex server) const {
    return server < doors_.size() && doors_[server].known && !doors_[server].gone;
}

ServerIndex Servers::other_than(ServerIndex server) {
    for (std::size_t n = 0; n < doors_.size(); ++n) {
        const ServerIndex other = next_other_++ % static_cast<ServerIndex>(doors_.size());
        if (other != server && may_be_told(other)) return other;
    }
    return server;
}

void Servers::go_on(Release& release) {
    const Instant now = loop_.now();
    if (release.line || release.dead || now < release.not_before) return;
    // Against a release that comes late and takes the state of a newer read: nothing is pinned while a launch
    // is out.
    if (owner_.is_wanted(release.id)) {
        release.until = now + bounds_.release_within;
        return;
    }
    if (release.tries >= kMostReleaseTries || now > release.until) {
        ++counts_.releases_lost;
        release.dead = true;
        return;
    }
    const ServerIndex to = may_be_told(release.server) ? release.server : other_than(release.server);
    if (!may_be_told(to)) {
        release.dead = true;
        return;
    }
    // Not over the part of the descriptors that is the servers'; it is looked at again soon.
    if (doors_[to].idle.empty() && lines_.size() >= bounds_.connections && !make_room()) return;
    if (release.tries++ > 0) ++counts_.releases_again;
    release.since = now;
    Line* line = line_to(to);
    release.line = line;
    line->carry_release("DELETE /bootstrap/rooms/" + release.id + " HTTP/1.1\r\nHost: app.svc\r\n\r\n");
}

void Servers::released(Line& line, bool well) {
    Release* mine = nullptr;
    for (const auto& r : releases_)
        if (r->line == &line) mine = r.get();
    if (mine) {
        mine->line = nullptr;
        // Against a read that ends well after all, just as its connection closed or broke.
        mine->dead = well && !std::exchange(mine->unsure, false);
        if (well && !mine->dead) mine->not_before = loop_.now() + bounds_.release_answer;
        if (!well) mine->server = other_than(mine->server);
    }
    if (well) rest(line);
}

void Servers::look() {
    const Instant now = loop_.now();
    for (std::size_t n = 0; n < releases_.size(); ++n) {
        Release& r = *releases_[n];
        if (r.line && now - r.since >= bounds_.release_answer) drop(*r.line, true);
        if (!r.line) go_on(r);
    }
    std::erase_if(releases_, [](const auto& r) { return r->dead; });
    for (Door& door : doors_)
        while (!door.idle.empty() && now - door.idle.front()->rested() >= bounds_.idle)
            drop(*door.idle.front(), false);
    look_.set(kLookEvery);
}

}  // namespace copperfront
