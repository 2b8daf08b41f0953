#include "gateway/engines.h"

#include <algorithm>

namespace copperfront {
namespace {

constexpr std::size_t kMostOwed = 10000;  // releases kept for one engine that cannot be reached
// An engine lets go by itself of what a gateway holds that it has not heard of for some seconds
// (docs/protocol.md), so older releases are of no use.
constexpr Span kOwedFor{10000000};

}  // namespace

struct Engines::Door {
    ServerIndex server = 0;
    std::string name;
    Address address;
    std::vector<std::unique_ptr<Line>> lines;
    std::deque<std::pair<Instant, std::string>> owed;  // releases that wait for a link
    std::unique_ptr<Timer> again;
    bool is_gone = false;
};

class Engines::Line : public Link::Owner {
  public:
    enum class State { dialing, greeting, open };

    Line(Engines& pool, Door& door)
        : pool_(pool),
          door_(door),
          patience_(pool.loop_, [this] { pool_.drop(*this, Closing::not_made, "not made in time"); }),
          watch_(pool.loop_, [this] { look(); }) {
        link_ =
            Link::dial(pool.loop_, door.address, {pool.bounds_.line_bytes, pool.bounds_.unsent_bytes}, *this);
        patience_.set(pool.bounds_.connect_timeout);
        heard_ = used_ = pool.loop_.now();
    }

    bool open() const { return state_ == State::open; }
    std::size_t load() const { return attempts_.size(); }

    void forget(AttemptId attempt) {
        attempts_.erase(attempt);
        used_ = pool_.loop_.now();
    }
    // Attempts still waiting to be sent can be called off without a word.
    bool unsend(AttemptId attempt) {
        if (open()) return false;
        const auto it =
            std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& w) { return w.first == attempt; });
        if (it == waiting_.end()) return false;
        waiting_.erase(it);
        return true;
    }
    void say(std::string line) {
        if (open())
            link_->send(line);
        else
            waiting_.emplace_back(0, std::move(line));
    }
    void queue(AttemptId attempt, std::string line) {
        attempts_.insert(attempt);
        used_ = pool_.loop_.now();
        if (open()) {
            // What was silent because nothing was asked of it is not silent yet.
            if (attempts_.size() == 1) heard_ = used_;
            link_->send(line);
        } else {
            waiting_.emplace_back(attempt, std::move(line));
        }
    }
    void probe(std::int64_t number) {
        probes_.insert(number);
        used_ = pool_.loop_.now();
        say(rpc::call(rpc::Id{"probe-" + std::to_string(number)}, rpc::kProbe, rpc::Json::object()));
    }

    void link_made(Link& link) override {
        state_ = State::greeting;
        link.send(rpc::hello_line(rpc::Id{std::string("hello")}, pool_.hello_));
    }

    void line_came(Link&, std::string_view line) override;
    void link_closed(Link&, Closing why, const std::string& what) override { pool_.drop(*this, why, what); }

    // Every attempt on it, in the order in which they were made.
    std::vector<AttemptId> attempts() const {
        std::vector<AttemptId> all(attempts_.begin(), attempts_.end());
        std::sort(all.begin(), all.end());
        return all;
    }
    std::size_t probes() const { return probes_.size(); }
    Door& door() { return door_; }
    std::unique_ptr<Link> take_link() {
        patience_.off();
        watch_.off();
        return std::move(link_);
    }

  private:
    void look() {
        const Instant now = pool_.loop_.now();
        const Bounds& b = pool_.bounds_;
        if (attempts_.empty() && probes_.empty()) {
            if (now - used_ >= b.idle_link) return pool_.drop(*this, Closing::peer_ended, "idle");
        } else if (now - heard_ >= b.engine_silence) {
            return pool_.drop(*this, Closing::broken, "silent with launches out");
        } else if (now - heard_ >= b.ping_after) {
            link_->send(rpc::call(rpc::Id{std::string("ping")}, rpc::kPing, rpc::Json::object()));
        }
        watch_.set(std::min(b.idle_link, b.ping_after) * 0.5);
    }
    bool bad(const std::string& what) {
        pool_.log_.say(Weight::warn, "engines", "an engine sent a bad message",
                       {{"server", door_.name}, {"error", what}});
        if (++bad_ < pool_.bounds_.bad_messages) return false;
        pool_.drop(*this, Closing::broken, "too many bad messages; the last: " + what);
        return true;
    }

    Engines& pool_;
    Door& door_;
    std::unique_ptr<Link> link_;
    State state_ = State::dialing;
    Timer patience_, watch_;
    Instant heard_, used_;
    std::unordered_set<AttemptId> attempts_;
    std::unordered_set<std::int64_t> probes_;
    std::deque<std::pair<AttemptId, std::string>> waiting_;
    std::size_t bad_ = 0;
};

void Engines::Line::line_came(Link&, std::string_view line) {
    heard_ = pool_.loop_.now();
    if (const auto tokens = rpc::plain_tokens(line)) {
        const auto attempt = static_cast<AttemptId>(tokens->id);
        if (attempts_.count(attempt)) pool_.owner_.token_came(attempt, tokens->text);
        return;
    }
    auto parsed = rpc::parse(line);
    if (const auto* wrong = std::get_if<rpc::BadMessage>(&parsed)) {
        bad(wrong->text);
        return;
    }
    const auto& m = std::get<rpc::Message>(parsed);
    if (m.sort == rpc::Sort::notice) {
        if (m.method != rpc::kTokens)
            return;  // a notice that is not known is passed over, as JSON-RPC has it
        const auto id = m.body.find("requestId");
        const auto text = m.body.find("text");
        if (id == m.body.end() || !id->is_number_unsigned() || text == m.body.end() || !text->is_string()) {
            bad("tokens: expected requestId, a number, and text");
            return;
        }
        const auto attempt = id->get<AttemptId>();
        if (attempts_.count(attempt)) pool_.owner_.token_came(attempt, text->get_ref<const std::string&>());
        return;
    }
    if (m.sort == rpc::Sort::call) {
        if (m.method == rpc::kPing)
            link_->send(rpc::result(m.id, rpc::Json::object()));
        else
            link_->send(rpc::error(m.id, rpc::kMethodNotFound, "unknown method " + m.method));
        return;
    }
    if (const auto* word = std::get_if<std::string>(&m.id)) {
        if (*word == "hello" && state_ == State::greeting) {
            if (m.sort == rpc::Sort::error) {
                pool_.drop(*this, Closing::not_made, "not greeted: " + m.text);
                return;
            }
            state_ = State::open;
            patience_.off();
            watch_.set(std::min(pool_.bounds_.idle_link, pool_.bounds_.ping_after) * 0.5);
            while (!waiting_.empty()) {
                link_->send(waiting_.front().second);
                waiting_.pop_front();
            }
            for (const auto& [since, state] : door_.owed) link_->send(rpc::release_line(state));
            door_.owed.clear();
            return;
        }
        if (word->rfind("probe-", 0) == 0) {
            const std::int64_t number = std::strtoll(word->c_str() + 6, nullptr, 10);
            if (probes_.erase(number))
                pool_.owner_.probe_over(door_.server, m.sort == rpc::Sort::result, rpc::read_report(m.body));
            return;
        }
        if (*word == "ping") return;
        bad("an answer to nothing that was asked: " + *word);
        return;
    }
    if (std::holds_alternative<std::monostate>(m.id)) {
        bad("an error without an id: " + m.text);
        return;
    }
    const auto number = std::get<std::int64_t>(m.id);
    const auto attempt = static_cast<AttemptId>(number);
    if (number <= 0 || !attempts_.count(attempt)) {
        // An attempt that was called off may have been answered just before; anything else nobody asked for.
        if (number <= 0 || attempt > pool_.last_) bad("an answer to no launch: " + std::to_string(number));
        return;
    }
    const auto out = pool_.out_.find(attempt);
    const bool reading = out->second.reading;
    pool_.out_.erase(out);
    attempts_.erase(attempt);
    used_ = heard_;
    pool_.owner_.attempt_over(attempt, rpc::read_outcome(m, reading), rpc::number_at(m.body, "tokens"),
                              rpc::text_at(m.body, "text"));
}

Engines::Engines(Loop& loop, const Bounds& bounds, rpc::Hello hello, Owner& owner, Log& log)
    : loop_(loop), bounds_(bounds), hello_(std::move(hello)), owner_(owner), log_(log) {}

Engines::~Engines() = default;

void Engines::learn(ServerIndex server, const std::string& address) {
    if (server >= doors_.size()) doors_.resize(server + 1);
    if (doors_[server]) {
        doors_[server]->is_gone = false;
        return;
    }
    auto door = std::make_unique<Door>();
    door->server = server;
    door->name = address;
    door->address = Address::parse(address);
    doors_[server] = std::move(door);
}

void Engines::gone(ServerIndex server) {
    if (server >= doors_.size() || !doors_[server]) return;
    doors_[server]->is_gone = true;
    doors_[server]->owed.clear();
}

const std::string& Engines::address(ServerIndex server) const { return doors_.at(server)->name; }

std::size_t Engines::links() const {
    std::size_t n = 0;
    for (const auto& door : doors_)
        if (door) n += door->lines.size();
    return n;
}

std::size_t Engines::owed() const {
    std::size_t n = 0;
    for (const auto& door : doors_)
        if (door) n += door->owed.size();
    return n;
}

// An open link with room, else one that is being made, else a new one.
Engines::Line& Engines::line_for(Door& door) {
    Line* best = nullptr;
    for (const auto& line : door.lines) {
        if (line->load() >= bounds_.streams_a_link) continue;
        if (!best || (line->open() && !best->open())) best = line.get();
    }
    if (best) return *best;
    door.lines.push_back(std::make_unique<Line>(*this, door));
    return *door.lines.back();
}

void Engines::send(ServerIndex server, AttemptId attempt, std::string line, bool reading) {
    Line& to = line_for(*doors_.at(server));
    last_ = std::max(last_, attempt);
    out_[attempt] = {&to, reading};
    to.queue(attempt, std::move(line));
}

void Engines::call_off(ServerIndex, AttemptId attempt) {
    const auto it = out_.find(attempt);
    if (it == out_.end()) return;
    Line& line = *it->second.line;
    out_.erase(it);
    line.forget(attempt);
    if (!line.unsend(attempt))
        line.say(rpc::cancelled_line(rpc::Id{static_cast<std::int64_t>(attempt)}, "called off"));
}

bool Engines::unsend(AttemptId attempt) {
    const auto it = out_.find(attempt);
    if (it == out_.end() || !it->second.line->unsend(attempt)) return false;
    it->second.line->forget(attempt);
    out_.erase(it);
    return true;
}

void Engines::release(ServerIndex server, const std::string& state) {
    Door& door = *doors_.at(server);
    for (const auto& line : door.lines) {
        if (!line->open()) continue;
        line->say(rpc::release_line(state));
        return;
    }
    if (door.is_gone) return;
    if (door.owed.size() >= kMostOwed) door.owed.pop_front();
    door.owed.emplace_back(loop_.now(), state);
    if (door.lines.empty()) line_for(door);
}

void Engines::probe(ServerIndex server) { line_for(*doors_.at(server)).probe(next_probe_++); }

void Engines::drop(Line& line, Closing why, const std::string& what) {
    Door& door = line.door();
    const auto held =
        std::find_if(door.lines.begin(), door.lines.end(), [&](const auto& l) { return l.get() == &line; });
    if (held == door.lines.end()) return;
    // It may be on the call stack.
    std::unique_ptr<Line> buried = std::move(*held);
    door.lines.erase(held);
    Link::hand_off(loop_, line.take_link(), why == Closing::peer_ended);
    const std::vector<AttemptId> attempts = line.attempts();
    const std::size_t probes = line.probes();
    const bool was_open = line.open();
    loop_.bury(std::move(buried));
    if (what != "idle")
        log_.say(Weight::debug, "engines", "a link to an engine has closed",
                 {{"server", door.name},
                  {"error", what},
                  {"launches", static_cast<std::int64_t>(attempts.size())}});

    Outcome outcome;
    outcome.ending = was_open ? Ending::broken : Ending::unreachable;
    for (const AttemptId attempt : attempts) out_.erase(attempt);
    for (const AttemptId attempt : attempts) owner_.attempt_over(attempt, outcome, 0, "");
    for (std::size_t n = 0; n < probes; ++n) owner_.probe_over(door.server, false, {});

    while (!door.owed.empty() && loop_.now() - door.owed.front().first > kOwedFor) door.owed.pop_front();
    if (door.owed.empty() || door.is_gone || !door.lines.empty()) return;
    if (!door.again)
        door.again = std::make_unique<Timer>(loop_, [this, &door] {
            if (door.lines.empty() && !door.owed.empty() && !door.is_gone) line_for(door);
        });
    door.again->set(bounds_.connect_timeout);
}

}  // namespace copperfront
