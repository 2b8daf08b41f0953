#include "fakes/fake_model_server.h"

#include <algorithm>
#include <deque>

#include "interning/name_table.h"

namespace copperfront::fake_server {
namespace {

using rpc::Json;

constexpr LineLimits kBounds{16 << 20, 64 << 20};
constexpr Duration kAbandonedCheckInterval{500000};
constexpr Duration kAbandonedAfter{
    5000000};                               // a state is freed this long after its gateway was last connected
constexpr Duration kFetchTimeout{1000000};  // for a prefill server to answer a decode server
constexpr Duration kAgeingInterval{250000};

// Long enough ago to be warm, and the same for every server: on the roster 0 means long ago.
constexpr Instant kLongAgo{1};

}  // namespace

class FakeModelServer::Peer : public LineConnection::Owner {
  public:
    Peer(FakeModelServer& server, std::uint64_t id, int fd)
        : server_(server), id_(id), hello_timer_(server.loop_, [this] { send_hello_answer(); }) {
        link_ = LineConnection::accepted(server.loop_, fd, kBounds, *this);
    }

    // During a network partition, and while the process hangs, bytes are neither received nor sent; the
    // connection itself stays open.
    bool is_frozen() const {
        if (server_.hung_ && !is_control_) return true;
        if (server_.partitioned_zone_.empty() || is_control_ || !greeted_) return false;
        return (server_.partitioned_zone_ == hello_.zone) !=
               (server_.partitioned_zone_ == server_.identity_.zone);
    }
    void deliver_delayed() {
        while (!is_frozen() && !delayed_out_.empty()) {
            link_->send(delayed_out_.front());
            delayed_out_.pop_front();
        }
        while (!is_frozen() && !delayed_in_.empty() && link_) {
            const auto [received_at_us, line] = std::move(delayed_in_.front());
            delayed_in_.pop_front();
            received_at_us_ = received_at_us;
            handle_line(line);
        }
        if (ended_ && !is_frozen()) server_.remove_peer(*this);
    }
    void send(const std::string& line) {
        if (!link_) return;
        if (is_frozen())
            delayed_out_.push_back(line);
        else
            link_->send(line);
    }
    void line_received(LineConnection&, std::string_view line) override {
        if (is_frozen() || !delayed_in_.empty())
            delayed_in_.emplace_back(monotonic_clock_us(), line);
        else {
            received_at_us_ = monotonic_clock_us();
            handle_line(line);
        }
    }
    // Lines that reached this socket before it closed are still processed once the process continues.
    void connection_closed(LineConnection&, CloseReason, const std::string&) override {
        ended_ = true;
        if (!is_frozen() || delayed_in_.empty()) server_.remove_peer(*this);
    }

    std::uint64_t id() const { return id_; }
    const rpc::Hello& hello() const { return hello_; }
    // When the line being processed reached this socket, which a partition or a hang may have kept from being
    // read.
    std::int64_t received_at_us() const { return received_at_us_; }
    std::string owner() const { return hello_.name + "." + hello_.instance_id; }
    void mark_control() { is_control_ = true; }
    std::unique_ptr<LineConnection> take_link() {
        hello_timer_.cancel();
        return std::move(link_);
    }
    void reset() { LineConnection::reset(server_.loop_, std::move(link_)); }

  private:
    void handle_line(std::string_view line) {
        auto parsed = rpc::parse(line);
        if (const auto* wrong = std::get_if<rpc::InvalidMessage>(&parsed)) {
            send(rpc::error_line(wrong->id, wrong->code, wrong->text));
            return;
        }
        const auto& m = std::get<rpc::Message>(parsed);
        if (m.kind == rpc::MessageKind::request && m.method == rpc::kInitialize) {
            auto hello = rpc::read_hello(m.body);
            if (const auto* wrong = std::get_if<std::string>(&hello)) {
                send(rpc::error_line(m.id, rpc::kInvalidParams, *wrong));
                return;
            }
            hello_ = std::get<rpc::Hello>(hello);
            greeted_ = true;
            hello_id_ = m.id;
            server_.record_.note("hello", {{"gw", hello_.name}, {"life", hello_.instance_id}});
            if (server_.hello_delay_.us > 0)
                hello_timer_.set(server_.hello_delay_);
            else
                send_hello_answer();
        } else if (m.kind == rpc::MessageKind::request) {
            server_.handle_call(*this, m);
        } else if (m.kind == rpc::MessageKind::notification) {
            server_.handle_notice(*this, m);
        }
    }
    void send_hello_answer() { send(rpc::hello_result_line(hello_id_, server_.identity_.name, "0.2.0")); }

    FakeModelServer& server_;
    const std::uint64_t id_;
    std::unique_ptr<LineConnection> link_;
    Timer hello_timer_;
    rpc::Hello hello_;
    rpc::Id hello_id_;
    bool greeted_ = false, is_control_ = false, ended_ = false;
    std::deque<std::pair<std::int64_t, std::string>> delayed_in_;
    std::deque<std::string> delayed_out_;
    std::int64_t received_at_us_ = 0;
};

// A decode server's connection to one prefill server, from which it fetches states.
class FakeModelServer::Fetcher : public LineConnection::Owner {
  public:
    Fetcher(FakeModelServer& server, const std::string& address)
        : server_(server), address_(address), timeout_timer_(server.loop_, [this] { check_timeouts(); }) {}

    void fetch(JobId job, const std::string& state) {
        pending_[job] = {state, server_.loop_.now()};
        if (!link_)
            link_ = LineConnection::dial(server_.loop_, Address::parse(address_), kBounds, *this);
        else if (is_connected_)
            request_state(job, state);
        if (!timeout_timer_.is_set()) timeout_timer_.set(kFetchTimeout);
    }
    void connection_opened(LineConnection& link) override {
        link.send(rpc::hello_line(rpc::Id{std::string("hello")},
                                  {server_.identity_.name, server_.identity_.zone, ""}));
        is_connected_ = true;
        for (const auto& [job, pending] : pending_) request_state(job, pending.first);
    }
    void line_received(LineConnection&, std::string_view line) override {
        auto parsed = rpc::parse(line);
        const auto* m = std::get_if<rpc::Message>(&parsed);
        if (!m || !std::holds_alternative<std::int64_t>(m->id)) return;
        const auto job = static_cast<JobId>(std::get<std::int64_t>(m->id));
        if (pending_.erase(job) == 0) return;
        if (m->kind != rpc::MessageKind::result) {
            server_.simulation_.state_fetch_failed(job);
            return;
        }
        // The transfer of the state takes time.
        const double tokens = rpc::number_or(m->body, "tokens");
        auto timer = std::make_unique<Timer>(server_.loop_, [this, job] {
            server_.loop_.post([this, job] { transfers_.erase(job); });
            server_.simulation_.state_fetched(job);
        });
        timer->set({static_cast<std::int64_t>(tokens / server_.identity_.transfer_tokens_per_s * 1e6)});
        transfers_[job] = std::move(timer);
    }
    void connection_closed(LineConnection&, CloseReason, const std::string&) override { fail_all(); }

  private:
    void request_state(JobId job, const std::string& state) {
        link_->send(
            rpc::request_line(rpc::Id{static_cast<std::int64_t>(job)}, rpc::kFetch, {{"state", state}}));
    }
    void check_timeouts() {
        const Instant now = server_.loop_.now();
        for (const auto& [job, pending] : pending_)
            if (now - pending.second >= kFetchTimeout) return fail_all();
        if (!pending_.empty()) timeout_timer_.set(kFetchTimeout);
    }
    void fail_all() {
        LineConnection::detach_and_close(server_.loop_, std::move(link_), false);
        is_connected_ = false;
        const auto failed = std::move(pending_);
        pending_.clear();
        for (const auto& [job, pending] : failed) server_.simulation_.state_fetch_failed(job);
    }

    FakeModelServer& server_;
    const std::string address_;
    std::unique_ptr<LineConnection> link_;
    Timer timeout_timer_;
    bool is_connected_ = false;
    std::map<JobId, std::pair<std::string, Instant>> pending_;
    std::map<JobId, std::unique_ptr<Timer>> transfers_;
};

FakeModelServer::FakeModelServer(Loop& loop, const ModelServerProfile& shape,
                                 const FakeModelServerOptions& identity)
    : loop_(loop),
      shape_(shape),
      identity_(identity),
      record_(identity.record),
      started_at_ms_(identity.cold ? loop.now().us / 1000 : 0),
      simulation_(shape, *this, identity.cold ? loop.now() : kLongAgo),
      listener_(loop, Address::parse(identity.listen),
                [this](int fd) {
                    const std::uint64_t id = next_peer_++;
                    peers_.emplace(id, std::make_unique<Peer>(*this, id, fd));
                }),
      wake_timer_(loop, [this] { simulation_.run_due_work(); }),
      abandoned_timer_(loop, [this] { free_abandoned_states(); }),
      ageing_timer_(loop,
                    [this] {
                        const double progress =
                            std::min(1.0, (loop_.now() - ageing_since_) / ageing_duration_);
                        simulation_.set_slowdown(1 + (ageing_factor_ - 1) * progress);
                        if (progress < 1) ageing_timer_.set(kAgeingInterval);
                    }),
      random_(identity.seed) {
    abandoned_timer_.set(kAbandonedCheckInterval);
    record_.note("start", {{"name", identity.name},
                           {"zone", identity.zone},
                           {"cell", identity.cell},
                           {"server", address().text()},
                           {"role", shape.role == Role::prefill  ? "reader"
                                    : shape.role == Role::decode ? "writer"
                                                                 : "mixed"},
                           {"born_ms", started_at_ms_},
                           {"capacity", shape.capacity()},
                           {"cold_from", shape.cold_speed_share},
                           {"warm_ms", shape.warm_up_time.us / 1000}});
}

FakeModelServer::~FakeModelServer() = default;

void FakeModelServer::stop() {
    record_.end();
    loop_.stop();
}

Json FakeModelServer::job_fields(JobId job) const {
    const ActiveCall& active_call = active_calls_.at(job);
    const auto peer = peers_.find(active_call.peer);
    Json out = {{"q", active_call.order.query},
                {"l", rpc::text_of(active_call.id)},
                {"m", active_call.is_prefill ? "read" : "write"}};
    if (peer != peers_.end()) out["gw"] = peer->second->owner();
    return out;
}

// ---- messages from peers

void FakeModelServer::handle_call(Peer& peer, const rpc::Message& m) {
    if (m.method == rpc::kPrefill || m.method == rpc::kDecode) {
        start_job(peer, m, m.method == rpc::kPrefill);
    } else if (m.method == rpc::kPing) {
        peer.send(rpc::result_line(m.id, Json::object()));
    } else if (m.method == rpc::kProbe) {
        Json body = Json::object();
        if (identity_.reports != LoadReportMode::none)
            body["load"] = rpc::load_report_json(simulation_.report());
        peer.send(rpc::result_line(m.id, body));
    } else if (m.method == rpc::kFetch) {
        const std::string state = rpc::string_or(m.body, "state");
        if (!simulation_.holds_state(state)) {
            peer.send(rpc::refused_line(m.id, true, "no such state", {}));
            return;
        }
        const double tokens = simulation_.state_tokens(state);
        record_.note("free", {{"state", state}, {"q", held_states_[state].request}, {"why", "fetched"}});
        held_states_.erase(state);
        simulation_.free_state(state);
        peer.send(rpc::result_line(m.id, {{"tokens", tokens}}));
    } else if (m.method == "standin/fault") {
        peer.mark_control();
        std::string error_text;
        if (apply_fault(m.body, error_text))
            peer.send(rpc::result_line(m.id, Json::object()));
        else
            peer.send(rpc::error_line(m.id, rpc::kInvalidParams, error_text));
    } else {
        peer.send(rpc::error_line(m.id, rpc::kMethodNotFound, "unknown method " + m.method.substr(0, 80)));
    }
}

void FakeModelServer::handle_notice(Peer& peer, const rpc::Message& m) {
    if (m.method == rpc::kRelease) {
        const std::string state = rpc::string_or(m.body, "state");
        record_.note("release", {{"state", state}, {"gw", peer.owner()}});
        if (!simulation_.holds_state(state)) return;
        record_.note("free", {{"state", state}, {"q", held_states_[state].request}, {"why", "released"}});
        held_states_.erase(state);
        simulation_.free_state(state);
    } else if (m.method == rpc::kCancelled) {
        const auto id = m.body.find("requestId");
        if (id == m.body.end() || !id->is_number_integer()) return;
        const rpc::Id wanted{id->get<std::int64_t>()};
        for (auto it = active_calls_.begin(); it != active_calls_.end(); ++it) {
            if (it->second.peer != peer.id() || it->second.id != wanted) continue;
            record_.note("cancel", job_fields(it->first));
            const JobId job = it->first;
            active_calls_.erase(it);
            simulation_.cancelled(job);
            return;
        }
    }
}

void FakeModelServer::start_job(Peer& peer, const rpc::Message& m, bool is_prefill) {
    auto read = rpc::read_attempt_request(m.body);
    if (const auto* wrong = std::get_if<std::string>(&read)) {
        peer.send(rpc::error_line(m.id, rpc::kInvalidParams, *wrong));
        return;
    }
    const JobId job = next_job_++;
    ActiveCall& active_call = active_calls_[job];
    active_call = {peer.id(), m.id, std::get<rpc::AttemptRequest>(std::move(read)), is_prefill};
    Job new_job;
    new_job.session = active_call.order.session;
    new_job.shared_prefix = active_call.order.shared_prefix;
    new_job.state = active_call.order.state;
    new_job.prompt_tokens = active_call.order.prompt_tokens;
    new_job.shared_prefix_tokens = active_call.order.shared_prefix_tokens;
    new_job.limit = active_call.order.limit;
    // Only the server knows the length of the answer; the same request gets the same answer everywhere.
    const double share = static_cast<double>(copperfront::hash_of(active_call.order.query) % 1000) / 1000;
    new_job.answer_tokens =
        std::max(1.0, std::floor(active_call.order.max_output_tokens * (0.15 + 0.7 * share)));
    Json fields = job_fields(job);
    fields["cat"] = active_call.order.category;
    fields["mark"] = active_call.order.idempotency_key;
    fields["state"] = active_call.order.state;
    fields["came"] = peer.received_at_us();
    fields["work"] = is_prefill ? new_job.prompt_tokens : new_job.answer_tokens;
    record_.note("in", std::move(fields));
    if (error_share_ > 0 && draw() < error_share_) {
        send_answer(job, rpc::error_line(active_call.id, rpc::kServerError, "the engine went wrong"),
                    "error");
        return;
    }
    if (is_prefill)
        simulation_.prefill_arrived(job, new_job);
    else
        simulation_.decode_arrived(job, new_job);
}

void FakeModelServer::remove_peer(Peer& peer) {
    const std::uint64_t id = peer.id();
    record_.note("closed", {{"gw", peer.owner()}});
    std::vector<JobId> jobs;
    for (const auto& [job, active_call] : active_calls_)
        if (active_call.peer == id) jobs.push_back(job);
    // Ids are drawn from one counter, so the order does not depend on the hash.
    std::sort(jobs.begin(), jobs.end());
    const auto it = peers_.find(id);
    if (it == peers_.end()) return;
    LineConnection::detach_and_close(loop_, peer.take_link(), false);
    for (const JobId job : jobs) {
        active_calls_.erase(job);
        simulation_.cancelled(job);
    }
    loop_.delete_later(std::move(it->second));
    peers_.erase(it);
}

// States that a killed gateway has left behind are freed once it has not been connected for some seconds.
void FakeModelServer::free_abandoned_states() {
    abandoned_timer_.set(kAbandonedCheckInterval);
    std::set<std::string> connected_owners;
    for (const auto& [id, peer] : peers_) connected_owners.insert(peer->owner());
    const Instant now = loop_.now();
    for (auto it = held_states_.begin(); it != held_states_.end();) {
        if (connected_owners.count(it->second.owner)) it->second.last_seen = now;
        if (now - it->second.last_seen < kAbandonedAfter) {
            ++it;
            continue;
        }
        record_.note("free", {{"state", it->first}, {"q", it->second.request}, {"why", "abandoned"}});
        simulation_.free_state(it->first);
        it = held_states_.erase(it);
    }
}

// ---- events of the simulation

void FakeModelServer::send_answer(JobId job, const std::string& line, const char* how, Json more) {
    const ActiveCall active_call = active_calls_.at(job);
    Json fields = job_fields(job);
    for (const auto& [key, value] : more.items()) fields[key] = value;
    active_calls_.erase(job);
    const auto peer = peers_.find(active_call.peer);
    if (lost_answer_share_ > 0 && draw() < lost_answer_share_) {
        fields["end"] = how;
        fields["reset"] = lost_answers_reset_;
        record_.note("lost", std::move(fields));
        if (lost_answers_reset_ && peer != peers_.end()) {
            Peer& lost = *peer->second;
            lost.reset();
            remove_peer(lost);
        }
        return;
    }
    fields["end"] = how;
    record_.note("out", std::move(fields));
    if (peer != peers_.end()) peer->second->send(line);
}

void FakeModelServer::prefill_done(JobId job, double cached) {
    const auto it = active_calls_.find(job);
    if (it == active_calls_.end()) return;
    const ActiveCall active_call = it->second;
    const auto peer = peers_.find(active_call.peer);
    held_states_[active_call.order.state] = {peer == peers_.end() ? "" : peer->second->owner(),
                                             active_call.order.query, loop_.now()};
    record_.note("hold", {{"state", active_call.order.state}, {"q", active_call.order.query}});
    send_answer(job, rpc::prefill_result_line(active_call.id, cached, load_report_for_answer()), "read",
                {{"kept", cached}, {"tokens", active_call.order.prompt_tokens}});
}

void FakeModelServer::fetch(JobId job) {
    const ActiveCall& active_call = active_calls_.at(job);
    auto& fetcher = fetchers_[active_call.order.state_address];
    try {
        if (!fetcher) fetcher = std::make_unique<Fetcher>(*this, active_call.order.state_address);
        fetcher->fetch(job, active_call.order.state);
    } catch (const NetworkError&) {
        loop_.post([this, job] { simulation_.state_fetch_failed(job); });
    }
}

void FakeModelServer::token(JobId job, std::uint64_t number) {
    const auto it = active_calls_.find(job);
    if (it == active_calls_.end()) return;
    const ActiveCall& active_call = it->second;
    if (number == 0) {
        // From here on the request has had its effect.
        Json fields = job_fields(job);
        fields["mark"] = active_call.order.idempotency_key;
        fields["cat"] = active_call.order.category;
        record_.note("ran", std::move(fields));
    }
    if (!active_call.order.stream) return;
    if (const auto peer = peers_.find(active_call.peer); peer != peers_.end())
        peer->second->send(rpc::tokens_line(active_call.id, "t" + std::to_string(number) + " "));
}

void FakeModelServer::decode_done(JobId job, double tokens, double cached) {
    const auto it = active_calls_.find(job);
    if (it == active_calls_.end()) return;
    std::string line;
    if (it->second.order.stream) {
        line = rpc::decode_result_line(it->second.id, tokens, cached, load_report_for_answer());
    } else {
        std::string text;
        for (double n = 0; n < tokens; ++n) text += "t" + std::to_string(static_cast<std::uint64_t>(n)) + " ";
        line = rpc::result_line(it->second.id, {{"tokens", tokens}, {"kept", cached}, {"text", text}});
    }
    send_answer(job, line, "settled", {{"tokens", tokens}});
}

void FakeModelServer::job_rejected(JobId job, const char* why) {
    send_answer(job, rpc::refused_line(active_calls_.at(job).id, false, why, load_report_for_answer()),
                "full");
}

void FakeModelServer::state_missing(JobId job) {
    if (active_calls_.count(job))
        send_answer(job,
                    rpc::refused_line(active_calls_.at(job).id, true, "no state", load_report_for_answer()),
                    "nostate");
}

void FakeModelServer::job_expired(JobId job) {
    if (active_calls_.count(job))
        send_answer(job,
                    rpc::error_line(active_calls_.at(job).id, rpc::kTimedOut, "its time limit has passed"),
                    "expired");
}

void FakeModelServer::crashed() {
    record_.note("fell");
    record_.end();
    // As when a process dies: every connection breaks at once.
    std::_Exit(3);
}

// ---- faults

void FakeModelServer::set_partitioned_zone(const std::string& zone) {
    partitioned_zone_ = zone;
    std::vector<std::uint64_t> all;
    for (const auto& [id, peer] : peers_) all.push_back(id);
    std::sort(all.begin(), all.end());
    for (const std::uint64_t id : all)
        if (const auto it = peers_.find(id); it != peers_.end()) it->second->deliver_delayed();
}

bool FakeModelServer::apply_fault(const Json& params, std::string& error_text) {
    const std::string kind = rpc::string_or(params, "kind");
    const double size = rpc::number_or(params, "size");
    record_.note("fault", {{"fault", params}});
    if (kind == "slow") {
        slowdown_ = std::max(1.0, size);
        simulation_.set_slowdown(slowdown_);
    } else if (kind == "ageing") {
        ageing_factor_ = std::max(1.0, size);
        ageing_duration_ = {
            std::max<std::int64_t>(1000, static_cast<std::int64_t>(rpc::number_or(params, "forMs") * 1000))};
        ageing_since_ = loop_.now();
        ageing_timer_.set(kAgeingInterval);
    } else if (kind == "errors") {
        error_share_ = size;
    } else if (kind == "lost") {
        lost_answer_share_ = size;
        lost_answers_reset_ = rpc::string_or(params, "how") == "reset";
    } else if (kind == "greeting") {
        hello_delay_ = {static_cast<std::int64_t>(size * 1000)};
    } else if (kind == "forget") {
        simulation_.clear_prefix_cache();
    } else if (kind == "hang") {
        hung_ = size > 0;
        set_partitioned_zone(partitioned_zone_);
    } else if (kind == "cut") {
        set_partitioned_zone(rpc::string_or(params, "zone"));
    } else {
        error_text = "unknown fault " + kind.substr(0, 40) +
                     "; known are ageing, cut, errors, forget, greeting, hang, lost, slow";
        return false;
    }
    return true;
}

}  // namespace copperfront::fake_server
