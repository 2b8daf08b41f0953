#include "standin/engine_server.h"

#include <algorithm>
#include <deque>

#include "door/names.h"

namespace copperfront::standin {
namespace {

using rpc::Json;

constexpr LinkBounds kBounds{16 << 20, 64 << 20};
constexpr Span kLook{500000};
constexpr Span kAbandoned{5000000};      // a state is freed this long after its gateway was last connected
constexpr Span kFetchPatience{1000000};  // for a reader to answer a writer
constexpr Span kAgeingStep{250000};

// Far enough back to be warm, and the same for every engine: 0 means long ago on the roster.
constexpr Instant kLongAgo{1};

}  // namespace

class EngineServer::Peer : public Link::Owner {
  public:
    Peer(EngineServer& server, std::uint64_t id, int fd)
        : server_(server), id_(id), greeting_(server.loop_, [this] { greet(); }) {
        link_ = Link::accepted(server.loop_, fd, kBounds, *this);
    }

    // Across a cut, and at a hung process, bytes neither come nor go; the connection itself stays.
    bool frozen() const {
        if (server_.hung_ && !control_) return true;
        if (server_.cut_.empty() || control_ || !greeted_) return false;
        return (server_.cut_ == hello_.zone) != (server_.cut_ == server_.identity_.zone);
    }
    void thaw() {
        while (!frozen() && !held_out_.empty()) {
            link_->send(held_out_.front());
            held_out_.pop_front();
        }
        while (!frozen() && !held_in_.empty() && link_) {
            const auto [came, line] = std::move(held_in_.front());
            held_in_.pop_front();
            came_ = came;
            take(line);
        }
        if (ended_ && !frozen()) server_.closed(*this);
    }
    void say(const std::string& line) {
        if (!link_) return;
        if (frozen())
            held_out_.push_back(line);
        else
            link_->send(line);
    }
    void line_came(Link&, std::string_view line) override {
        if (frozen() || !held_in_.empty())
            held_in_.emplace_back(machine_clock_us(), line);
        else {
            came_ = machine_clock_us();
            take(line);
        }
    }
    // What reached this socket before it closed is read all the same once the process goes on.
    void link_closed(Link&, Closing, const std::string&) override {
        ended_ = true;
        if (!frozen() || held_in_.empty()) server_.closed(*this);
    }

    std::uint64_t id() const { return id_; }
    const rpc::Hello& hello() const { return hello_; }
    // When the line in hand reached this socket, which a cut or a hang may have kept from being read.
    std::int64_t came() const { return came_; }
    std::string owner() const { return hello_.name + "." + hello_.life; }
    void mark_control() { control_ = true; }
    std::unique_ptr<Link> take_link() {
        greeting_.off();
        return std::move(link_);
    }
    void reset() { Link::reset(server_.loop_, std::move(link_)); }

  private:
    void take(std::string_view line) {
        auto parsed = rpc::parse(line);
        if (const auto* wrong = std::get_if<rpc::BadMessage>(&parsed)) {
            say(rpc::error(wrong->id, wrong->code, wrong->text));
            return;
        }
        const auto& m = std::get<rpc::Message>(parsed);
        if (m.sort == rpc::Sort::call && m.method == rpc::kInitialize) {
            auto hello = rpc::read_hello(m.body);
            if (const auto* wrong = std::get_if<std::string>(&hello)) {
                say(rpc::error(m.id, rpc::kInvalidParams, *wrong));
                return;
            }
            hello_ = std::get<rpc::Hello>(hello);
            greeted_ = true;
            hello_id_ = m.id;
            server_.record_.note("hello", {{"gw", hello_.name}, {"life", hello_.life}});
            if (server_.greeting_delay_.us > 0)
                greeting_.set(server_.greeting_delay_);
            else
                greet();
        } else if (m.sort == rpc::Sort::call) {
            server_.called(*this, m);
        } else if (m.sort == rpc::Sort::notice) {
            server_.noticed(*this, m);
        }
    }
    void greet() { say(rpc::hello_answer_line(hello_id_, server_.identity_.name, "0.2.0")); }

    EngineServer& server_;
    const std::uint64_t id_;
    std::unique_ptr<Link> link_;
    Timer greeting_;
    rpc::Hello hello_;
    rpc::Id hello_id_;
    bool greeted_ = false, control_ = false, ended_ = false;
    std::deque<std::pair<std::int64_t, std::string>> held_in_;
    std::deque<std::string> held_out_;
    std::int64_t came_ = 0;
};

// A writer's connection to one reader, from which it fetches states.
class EngineServer::Fetcher : public Link::Owner {
  public:
    Fetcher(EngineServer& server, const std::string& address)
        : server_(server), address_(address), patience_(server.loop_, [this] { look(); }) {}

    void fetch(JobId job, const std::string& state) {
        wanted_[job] = {state, server_.loop_.now()};
        if (!link_)
            link_ = Link::dial(server_.loop_, Address::parse(address_), kBounds, *this);
        else if (open_)
            ask(job, state);
        if (!patience_.is_set()) patience_.set(kFetchPatience);
    }
    void link_made(Link& link) override {
        link.send(rpc::hello_line(rpc::Id{std::string("hello")},
                                  {server_.identity_.name, server_.identity_.zone, ""}));
        open_ = true;
        for (const auto& [job, wish] : wanted_) ask(job, wish.first);
    }
    void line_came(Link&, std::string_view line) override {
        auto parsed = rpc::parse(line);
        const auto* m = std::get_if<rpc::Message>(&parsed);
        if (!m || !std::holds_alternative<std::int64_t>(m->id)) return;
        const auto job = static_cast<JobId>(std::get<std::int64_t>(m->id));
        if (wanted_.erase(job) == 0) return;
        if (m->sort != rpc::Sort::result) {
            server_.model_.fetch_missed(job);
            return;
        }
        // The state takes its time to move.
        const double tokens = rpc::number_at(m->body, "tokens");
        auto timer = std::make_unique<Timer>(server_.loop_, [this, job] {
            server_.loop_.post([this, job] { moving_.erase(job); });
            server_.model_.fetched(job);
        });
        timer->set({static_cast<std::int64_t>(tokens / server_.identity_.fetch_per_s * 1e6)});
        moving_[job] = std::move(timer);
    }
    void link_closed(Link&, Closing, const std::string&) override { fail_all(); }

  private:
    void ask(JobId job, const std::string& state) {
        link_->send(rpc::call(rpc::Id{static_cast<std::int64_t>(job)}, rpc::kFetch, {{"state", state}}));
    }
    void look() {
        const Instant now = server_.loop_.now();
        for (const auto& [job, wish] : wanted_)
            if (now - wish.second >= kFetchPatience) return fail_all();
        if (!wanted_.empty()) patience_.set(kFetchPatience);
    }
    void fail_all() {
        Link::hand_off(server_.loop_, std::move(link_), false);
        open_ = false;
        const auto wanted = std::move(wanted_);
        wanted_.clear();
        for (const auto& [job, wish] : wanted) server_.model_.fetch_missed(job);
    }

    EngineServer& server_;
    const std::string address_;
    std::unique_ptr<Link> link_;
    Timer patience_;
    bool open_ = false;
    std::map<JobId, std::pair<std::string, Instant>> wanted_;
    std::map<JobId, std::unique_ptr<Timer>> moving_;
};

EngineServer::EngineServer(Loop& loop, const EngineShape& shape, const EngineIdentity& identity)
    : loop_(loop),
      shape_(shape),
      identity_(identity),
      record_(identity.record),
      born_ms_(identity.cold ? loop.now().us / 1000 : 0),
      model_(shape, *this, identity.cold ? loop.now() : kLongAgo),
      listener_(loop, Address::parse(identity.listen),
                [this](int fd) {
                    const std::uint64_t id = next_peer_++;
                    peers_.emplace(id, std::make_unique<Peer>(*this, id, fd));
                }),
      wake_(loop, [this] { model_.time_came(); }),
      second_(loop, [this] { look_after_states(); }),
      ageing_(loop,
              [this] {
                  const double part = std::min(1.0, (loop_.now() - ageing_since_) / ageing_for_);
                  model_.slow(1 + (ageing_to_ - 1) * part);
                  if (part < 1) ageing_.set(kAgeingStep);
              }),
      chance_(identity.seed) {
    second_.set(kLook);
    record_.note("start", {{"name", identity.name},
                           {"zone", identity.zone},
                           {"cell", identity.cell},
                           {"server", address().text()},
                           {"role", shape.role == Role::reader   ? "reader"
                                    : shape.role == Role::writer ? "writer"
                                                                 : "mixed"},
                           {"born_ms", born_ms_},
                           {"capacity", shape.capacity()},
                           {"cold_from", shape.cold_from},
                           {"warm_ms", shape.warm_in.us / 1000}});
}

EngineServer::~EngineServer() = default;

void EngineServer::stop() {
    record_.end();
    loop_.stop();
}

Json EngineServer::about(JobId job) const {
    const Work& w = work_.at(job);
    const auto peer = peers_.find(w.peer);
    Json out = {{"q", w.order.query}, {"l", rpc::text_of(w.id)}, {"m", w.reading ? "read" : "write"}};
    if (peer != peers_.end()) out["gw"] = peer->second->owner();
    return out;
}

// ---- what peers say

void EngineServer::called(Peer& peer, const rpc::Message& m) {
    if (m.method == rpc::kRead || m.method == rpc::kWrite) {
        ordered(peer, m, m.method == rpc::kRead);
    } else if (m.method == rpc::kPing) {
        peer.say(rpc::result(m.id, Json::object()));
    } else if (m.method == rpc::kProbe) {
        Json body = Json::object();
        if (identity_.reports != Reports::none) body["load"] = rpc::report_json(model_.report());
        peer.say(rpc::result(m.id, body));
    } else if (m.method == rpc::kFetch) {
        const std::string state = rpc::text_at(m.body, "state");
        if (!model_.holds(state)) {
            peer.say(rpc::full_line(m.id, true, "no such state", {}));
            return;
        }
        const double tokens = model_.state_tokens(state);
        record_.note("free", {{"state", state}, {"q", held_[state].query}, {"why", "fetched"}});
        held_.erase(state);
        model_.let_go(state);
        peer.say(rpc::result(m.id, {{"tokens", tokens}}));
    } else if (m.method == "standin/fault") {
        peer.mark_control();
        std::string trouble;
        if (fault(m.body, trouble))
            peer.say(rpc::result(m.id, Json::object()));
        else
            peer.say(rpc::error(m.id, rpc::kInvalidParams, trouble));
    } else {
        peer.say(rpc::error(m.id, rpc::kMethodNotFound, "unknown method " + m.method.substr(0, 80)));
    }
}

void EngineServer::noticed(Peer& peer, const rpc::Message& m) {
    if (m.method == rpc::kRelease) {
        const std::string state = rpc::text_at(m.body, "state");
        record_.note("release", {{"state", state}, {"gw", peer.owner()}});
        if (!model_.holds(state)) return;
        record_.note("free", {{"state", state}, {"q", held_[state].query}, {"why", "released"}});
        held_.erase(state);
        model_.let_go(state);
    } else if (m.method == rpc::kCancelled) {
        const auto id = m.body.find("requestId");
        if (id == m.body.end() || !id->is_number_integer()) return;
        const rpc::Id wanted{id->get<std::int64_t>()};
        for (auto it = work_.begin(); it != work_.end(); ++it) {
            if (it->second.peer != peer.id() || it->second.id != wanted) continue;
            record_.note("cancel", about(it->first));
            const JobId job = it->first;
            work_.erase(it);
            model_.cancelled(job);
            return;
        }
    }
}

void EngineServer::ordered(Peer& peer, const rpc::Message& m, bool reading) {
    auto read = rpc::read_order(m.body);
    if (const auto* wrong = std::get_if<std::string>(&read)) {
        peer.say(rpc::error(m.id, rpc::kInvalidParams, *wrong));
        return;
    }
    const JobId job = next_job_++;
    Work& w = work_[job];
    w = {peer.id(), m.id, std::get<rpc::Order>(std::move(read)), reading};
    Job j;
    j.session = w.order.session;
    j.beginning = w.order.beginning;
    j.state = w.order.state;
    j.prompt_tokens = w.order.prompt_tokens;
    j.beginning_tokens = w.order.beginning_tokens;
    j.limit = w.order.limit;
    // How long the answer is only the engine knows; the same query gets the same answer everywhere.
    const double part = static_cast<double>(copperfront::mark(w.order.query) % 1000) / 1000;
    j.answer_tokens = std::max(1.0, std::floor(w.order.most_tokens * (0.15 + 0.7 * part)));
    Json noted = about(job);
    noted["cat"] = w.order.category;
    noted["mark"] = w.order.mark;
    noted["state"] = w.order.state;
    noted["came"] = peer.came();
    noted["work"] = reading ? j.prompt_tokens : j.answer_tokens;
    record_.note("in", std::move(noted));
    if (errors_ > 0 && chance() < errors_) {
        answer(job, rpc::error(w.id, rpc::kEngineError, "the engine went wrong"), "error");
        return;
    }
    if (reading)
        model_.read_came(job, j);
    else
        model_.write_came(job, j);
}

void EngineServer::closed(Peer& peer) {
    const std::uint64_t id = peer.id();
    record_.note("closed", {{"gw", peer.owner()}});
    std::vector<JobId> jobs;
    for (const auto& [job, w] : work_)
        if (w.peer == id) jobs.push_back(job);
    // Ids are drawn from one count, so the order does not hang on the hash.
    std::sort(jobs.begin(), jobs.end());
    const auto it = peers_.find(id);
    if (it == peers_.end()) return;
    Link::hand_off(loop_, peer.take_link(), false);
    for (const JobId job : jobs) {
        work_.erase(job);
        model_.cancelled(job);
    }
    loop_.bury(std::move(it->second));
    peers_.erase(it);
}

// What a gateway that was killed has left behind is freed once it has not been connected for some seconds.
void EngineServer::look_after_states() {
    second_.set(kLook);
    std::set<std::string> there;
    for (const auto& [id, peer] : peers_) there.insert(peer->owner());
    const Instant now = loop_.now();
    for (auto it = held_.begin(); it != held_.end();) {
        if (there.count(it->second.owner)) it->second.seen = now;
        if (now - it->second.seen < kAbandoned) {
            ++it;
            continue;
        }
        record_.note("free", {{"state", it->first}, {"q", it->second.query}, {"why", "abandoned"}});
        model_.let_go(it->first);
        it = held_.erase(it);
    }
}

// ---- what the model says

void EngineServer::answer(JobId job, const std::string& line, const char* how, Json more) {
    const Work w = work_.at(job);
    Json noted = about(job);
    for (const auto& [key, value] : more.items()) noted[key] = value;
    work_.erase(job);
    const auto peer = peers_.find(w.peer);
    if (lost_ > 0 && chance() < lost_) {
        noted["end"] = how;
        noted["reset"] = lost_resets_;
        record_.note("lost", std::move(noted));
        if (lost_resets_ && peer != peers_.end()) {
            Peer& lost = *peer->second;
            lost.reset();
            closed(lost);
        }
        return;
    }
    noted["end"] = how;
    record_.note("out", std::move(noted));
    if (peer != peers_.end()) peer->second->say(line);
}

void EngineServer::read_done(JobId job, double kept) {
    const auto it = work_.find(job);
    if (it == work_.end()) return;
    const Work w = it->second;
    const auto peer = peers_.find(w.peer);
    held_[w.order.state] = {peer == peers_.end() ? "" : peer->second->owner(), w.order.query, loop_.now()};
    record_.note("hold", {{"state", w.order.state}, {"q", w.order.query}});
    answer(job, rpc::read_result_line(w.id, kept, told()), "read",
           {{"kept", kept}, {"tokens", w.order.prompt_tokens}});
}

void EngineServer::fetch(JobId job) {
    const Work& w = work_.at(job);
    auto& fetcher = fetchers_[w.order.from];
    try {
        if (!fetcher) fetcher = std::make_unique<Fetcher>(*this, w.order.from);
        fetcher->fetch(job, w.order.state);
    } catch (const NetTrouble&) {
        loop_.post([this, job] { model_.fetch_missed(job); });
    }
}

void EngineServer::token(JobId job, std::uint64_t number) {
    const auto it = work_.find(job);
    if (it == work_.end()) return;
    const Work& w = it->second;
    if (number == 0) {
        // From here on the query has had its effect.
        Json noted = about(job);
        noted["mark"] = w.order.mark;
        noted["cat"] = w.order.category;
        record_.note("ran", std::move(noted));
    }
    if (!w.order.stream) return;
    if (const auto peer = peers_.find(w.peer); peer != peers_.end())
        peer->second->say(rpc::tokens_line(w.id, "t" + std::to_string(number) + " "));
}

void EngineServer::written(JobId job, double tokens, double kept) {
    const auto it = work_.find(job);
    if (it == work_.end()) return;
    std::string line;
    if (it->second.order.stream) {
        line = rpc::write_result_line(it->second.id, tokens, kept, told());
    } else {
        std::string text;
        for (double n = 0; n < tokens; ++n) text += "t" + std::to_string(static_cast<std::uint64_t>(n)) + " ";
        line = rpc::result(it->second.id, {{"tokens", tokens}, {"kept", kept}, {"text", text}});
    }
    answer(job, line, "settled", {{"tokens", tokens}});
}

void EngineServer::turned_away(JobId job, const char* why) {
    answer(job, rpc::full_line(work_.at(job).id, false, why, told()), "full");
}

void EngineServer::no_state(JobId job) {
    if (work_.count(job)) answer(job, rpc::full_line(work_.at(job).id, true, "no state", told()), "nostate");
}

void EngineServer::expired(JobId job) {
    if (work_.count(job))
        answer(job, rpc::error(work_.at(job).id, rpc::kExpired, "its time limit has passed"), "expired");
}

void EngineServer::fell_over() {
    record_.note("fell");
    record_.end();
    // As a process that dies: every connection breaks at once.
    std::_Exit(3);
}

// ---- faults

void EngineServer::set_cut(const std::string& zone) {
    cut_ = zone;
    std::vector<std::uint64_t> all;
    for (const auto& [id, peer] : peers_) all.push_back(id);
    std::sort(all.begin(), all.end());
    for (const std::uint64_t id : all)
        if (const auto it = peers_.find(id); it != peers_.end()) it->second->thaw();
}

bool EngineServer::fault(const Json& params, std::string& trouble) {
    const std::string kind = rpc::text_at(params, "kind");
    const double size = rpc::number_at(params, "size");
    record_.note("fault", {{"fault", params}});
    if (kind == "slow") {
        slow_ = std::max(1.0, size);
        model_.slow(slow_);
    } else if (kind == "ageing") {
        ageing_to_ = std::max(1.0, size);
        ageing_for_ = {
            std::max<std::int64_t>(1000, static_cast<std::int64_t>(rpc::number_at(params, "forMs") * 1000))};
        ageing_since_ = loop_.now();
        ageing_.set(kAgeingStep);
    } else if (kind == "errors") {
        errors_ = size;
    } else if (kind == "lost") {
        lost_ = size;
        lost_resets_ = rpc::text_at(params, "how") == "reset";
    } else if (kind == "greeting") {
        greeting_delay_ = {static_cast<std::int64_t>(size * 1000)};
    } else if (kind == "forget") {
        model_.forget();
    } else if (kind == "hang") {
        hung_ = size > 0;
        set_cut(cut_);
    } else if (kind == "cut") {
        set_cut(rpc::text_at(params, "zone"));
    } else {
        trouble = "unknown fault " + kind.substr(0, 40) +
                  "; known are ageing, cut, errors, forget, greeting, hang, lost, slow";
        return false;
    }
    return true;
}

}  // namespace copperfront::standin
