#include "gateway/callers.h"

#include <unistd.h>

#include <set>
#include <vector>

namespace copperfront {

class Callers::Session : public Link::Owner {
  public:
    Session(Callers& callers, CallerId id, int fd, std::uint32_t listener)
        : callers_(callers), id_(id), listener_(listener), silence_(callers.loop_, [this] { look(); }) {
        link_ = Link::accepted(callers.loop_, fd, {callers.bounds_.line_bytes, callers.bounds_.unsent_bytes},
                               *this);
        heard_ = callers.loop_.now();
        silence_.set(callers.bounds_.caller_silence);
    }

    void line_came(Link&, std::string_view line) override;
    void link_closed(Link&, Closing, const std::string& what) override { callers_.drop(*this, what); }

    void tokens(const rpc::Id& id, std::string_view text) {
        if (open_.count(id)) link_->send(rpc::tokens_line(id, text));
    }
    void answer(const rpc::Id& id, const std::string& line) {
        if (open_.erase(id)) link_->send(line);
        heard_ = callers_.loop_.now();
    }
    CallerId id() const { return id_; }
    const std::set<rpc::Id>& open() const { return open_; }
    std::unique_ptr<Link> take_link() {
        silence_.off();
        return std::move(link_);
    }
    void say(const std::string& line) { link_->send(line); }

  private:
    void look() {
        const Span silent = callers_.loop_.now() - heard_;
        const Span most = callers_.bounds_.caller_silence;
        if (open_.empty() && silent >= most) {
            callers_.drop(*this, "silent for too long");
            return;
        }
        silence_.set(open_.empty() ? most - silent : most);
    }
    // The peer is told; after too many it is cut off.
    void bad(const rpc::Id& id, int code, const std::string& what) {
        link_->send(rpc::error(id, code, what));
        if (++bad_ >= callers_.bounds_.bad_messages)
            callers_.drop(*this, "too many bad messages; the last: " + what);
    }
    void call(const rpc::Message& m);

    Callers& callers_;
    const CallerId id_;
    const std::uint32_t listener_;
    std::unique_ptr<Link> link_;
    Timer silence_;
    Instant heard_;
    std::set<rpc::Id> open_;
    std::size_t bad_ = 0;
};

void Callers::Session::line_came(Link&, std::string_view line) {
    heard_ = callers_.loop_.now();
    auto parsed = rpc::parse(line);
    if (const auto* wrong = std::get_if<rpc::BadMessage>(&parsed)) {
        // An id that is in use would make this look like that query's final answer.
        bad(open_.count(wrong->id) ? rpc::Id{} : wrong->id, wrong->code, wrong->text);
        return;
    }
    const auto& m = std::get<rpc::Message>(parsed);
    if (m.sort == rpc::Sort::call) {
        if (open_.count(m.id)) {
            bad({}, rpc::kInvalidRequest, "id " + rpc::text_of(m.id) + " is in use by an open call");
            return;
        }
        call(m);
    } else if (m.sort == rpc::Sort::notice) {
        if (m.method != rpc::kCancelled) return;
        const auto id = m.body.find("requestId");
        rpc::Id which;
        if (id != m.body.end() && id->is_number_integer())
            which = id->get<std::int64_t>();
        else if (id != m.body.end() && id->is_string())
            which = id->get<std::string>();
        else
            return bad({}, rpc::kInvalidParams, "cancelled: requestId: expected the id of an open call");
        // One that has just been answered may still be cancelled; nothing is owed then.
        if (open_.erase(which)) callers_.owner_.left(id_, which);
    } else {
        bad({}, rpc::kInvalidRequest, "an answer to nothing that was asked");
    }
}

void Callers::Session::call(const rpc::Message& m) {
    if (m.method == rpc::kPing) {
        link_->send(rpc::result(m.id, rpc::Json::object()));
    } else if (m.method == rpc::kInitialize) {
        link_->send(rpc::hello_answer_line(m.id, callers_.gateway_, "0.2.0"));
    } else if (m.method == rpc::kStatus) {
        link_->send(rpc::result(m.id, callers_.owner_.status()));
    } else if (m.method == rpc::kGenerate) {
        auto read = rpc::read_ask(m.body);
        if (const auto* wrong = std::get_if<std::string>(&read))
            return bad(m.id, rpc::kInvalidParams, *wrong);
        if (open_.size() >= callers_.bounds_.queries_a_caller) {
            link_->send(rpc::error(m.id, rpc::kNotTaken, "too many open queries on this connection"));
            return;
        }
        open_.insert(m.id);
        const std::string why = callers_.owner_.asked(id_, m.id, std::get<rpc::Ask>(read), listener_);
        if (why.empty()) return;
        open_.erase(m.id);
        link_->send(rpc::error(m.id, rpc::kNotTaken, "not taken", {{"reason", why}}));
    } else {
        bad(m.id, rpc::kMethodNotFound,
            "unknown method " + m.method.substr(0, 80) +
                "; known are generate, gateway/status, initialize, ping");
    }
}

Callers::Callers(Loop& loop, const Bounds& bounds, std::string gateway, Owner& owner, Log& log)
    : loop_(loop), bounds_(bounds), gateway_(std::move(gateway)), owner_(owner), log_(log) {}

Callers::~Callers() = default;

void Callers::came(int fd, std::uint32_t listener) {
    if (sessions_.size() >= bounds_.callers) {
        const std::string line = rpc::error({}, rpc::kNotTaken, "too many callers; come again later") + "\n";
        [[maybe_unused]] const auto written = ::write(fd, line.data(), line.size());
        ::close(fd);
        log_.say(Weight::warn, "callers", "a caller was turned away: too many connections",
                 {{"bound", static_cast<std::int64_t>(bounds_.callers)}});
        return;
    }
    const CallerId id = next_++;
    sessions_.emplace(id, std::make_unique<Session>(*this, id, fd, listener));
}

void Callers::tokens(CallerId caller, const rpc::Id& id, std::string_view text) {
    if (const auto it = sessions_.find(caller); it != sessions_.end()) it->second->tokens(id, text);
}

void Callers::answer(CallerId caller, const rpc::Id& id, const std::string& line) {
    if (const auto it = sessions_.find(caller); it != sessions_.end()) it->second->answer(id, line);
}

void Callers::drop(Session& session, const std::string& why) {
    const auto it = sessions_.find(session.id());
    if (it == sessions_.end()) return;
    std::unique_ptr<Session> buried = std::move(it->second);
    sessions_.erase(it);
    Link::hand_off(loop_, session.take_link(), true);
    const std::set<rpc::Id> open = session.open();
    const CallerId id = session.id();
    loop_.bury(std::move(buried));
    log_.say(Weight::debug, "callers", "a caller's connection has closed",
             {{"caller", static_cast<std::int64_t>(id)},
              {"why", why},
              {"queries_left", static_cast<std::int64_t>(open.size())}});
    for (const rpc::Id& query : open) owner_.left(id, query);
}

void Callers::close_all() {
    std::vector<CallerId> all;
    for (const auto& [id, session] : sessions_) all.push_back(id);
    for (const CallerId id : all)
        if (const auto it = sessions_.find(id); it != sessions_.end()) drop(*it->second, "the gateway stops");
}

}  // namespace copperfront
