#include "standin/platform.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "standin/response_text.h"

namespace copperfront::standin {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kHeldBytes = 1 << 20;
constexpr std::size_t kMostHeard = 100000;
const std::string kRooms = "/bootstrap/rooms/";

std::string event(int n, bool last) {
    return "data: " +
           Json{{"choices",
                 {{{"index", 0},
                   {"delta", {{"content", "t" + std::to_string(n)}}},
                   {"finish_reason", last ? Json("stop") : Json(nullptr)}}}}}
               .dump() +
           "\n\n";
}

}  // namespace

class Platform::Line : public Stream::Owner {
  public:
    Line(Platform& all, std::string server, Role role, int fd)
        : all_(all),
          server_(std::move(server)),
          role_(role),
          number_(all.next_connection_++),
          step_(all.loop_, [this] { go_on(); }) {
        stream_ = Stream::accepted(all.loop_, fd, {0, kHeldBytes}, *this);
    }
    const std::string& server() const { return server_; }
    std::unique_ptr<Stream> take_stream() {
        step_.off();
        return std::move(stream_);
    }
    void bytes_came(Stream&) override { read(); }
    void stream_closed(Stream&, Closing, const std::string&) override { all_.drop(*this, false); }
    void leave() { all_.held_states_.attempt_over(id_, attempt_name()); }

  private:
    void read() {
        while (stream_ && !busy_) {
            const std::string_view bytes = stream_->front();
            if (bytes.empty()) return;
            if (!message_)
                message_ =
                    std::make_unique<http::Message>(http::Sort::call, http::Bounds{16384, 256 << 10},
                                                    [this](std::string_view piece) { body_.append(piece); });
            stream_->drain(message_->take(bytes));
            if (message_->trouble() != http::Trouble::none) return all_.drop(*this, false);
            if (message_->done()) answer();
        }
    }

    void answer() {
        const std::unique_ptr<http::Message> message = std::move(message_);
        const http::Head& head = message->head();
        Heard heard{server_, head.method,      head.target, "", std::exchange(body_, {}),
                    -1,      all_.loop_.now(), number_};
        if (const std::string* id = head.find("X-Correlation-Id")) heard.id = *id;
        if (const std::string* left = head.find("X-Time-Left-Ms")) heard.left_ms = std::atoll(left->c_str());
        if (head.target.rfind(kRooms, 0) == 0) heard.id = head.target.substr(kRooms.size());
        id_ = heard.id;
        if (all_.heard_.size() < kMostHeard) all_.heard_.push_back(std::move(heard));
        if (head.method == "DELETE") {
            all_.held_states_.release(id_);
            return stream_->send("HTTP/1.1 204 No Content\r\n\r\n");
        }
        if (id_.empty()) return stream_->send(response(404, "", ""));
        fault_ = all_.fault_for(server_);
        const std::string never = "X-Unprocessed: 1\r\n";
        switch (fault_) {
            case Fault::turned_away:
                return stream_->send(response(503, never, ""));
            case Fault::turned_away_ran:
                leave_state();
                return stream_->send(response(503, "", ""));
            case Fault::error:
                leave_state();
                return stream_->send(response(500, "", ""));
            case Fault::no_state:
                return stream_->send(response(410, never, ""));
            case Fault::silent:
                leave_state();
                busy_ = true;
                if (role_ == Role::writer) all_.held_states_.hand_over_arrived(id_, attempt_name());
                return;
            case Fault::closes:
                leave_state();
                return all_.drop(*this, false);
            case Fault::resets:
                leave_state();
                return all_.drop(*this, true);
            case Fault::noise:
                leave_state();
                busy_ = true;
                return stream_->send("%\x01 what is this\r\n\r\n\r\n");
            case Fault::head_without_end:
                leave_state();
                busy_ = true;
                return stream_->send("HTTP/1.1 200 OK\r\nX: " + std::string(20000, 'a'));
            case Fault::interim:
                stream_->send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
                break;
            case Fault::no_event:
                leave_state();
                busy_ = true;
                return stream_->send(kEventStreamHead + chunk("what is this\n\n"));
            default:
                break;
        }
        busy_ = true;
        sent_ = 0;
        if (role_ == Role::writer && !all_.held_states_.hand_over_arrived(id_, attempt_name())) {
            return turn_away_without_state();
        }
        step_.set(role_ == Role::reader ? all_.shape_.read : all_.shape_.first);
    }

    void go_on() {
        if (role_ == Role::reader) {
            leave_state();
            return finish(response(202, "Content-Type: application/json\r\n", R"({"cached_tokens":8})"));
        }
        // In its turn: until then the state stays where it is.
        if (sent_ == 0 && !all_.held_states_.fetch(id_, attempt_name())) return turn_away_without_state();
        if (sent_ == 0) stream_->send(kEventStreamHead);
        ++sent_;
        if (sent_ == 2) {
            const std::string spoilt = fault_ == Fault::size_unreadable ? "zz\r\nwhat is this\r\n"
                                       : fault_ == Fault::size_huge     ? "B2D05E00\r\ndata: {"
                                                                        : "";
            if (fault_ == Fault::ends_early) return finish("0\r\n\r\n");
            if (fault_ == Fault::breaks) return all_.drop(*this, false);
            if (fault_ == Fault::falls_silent) return;
            if (fault_ == Fault::size_misfit) {
                // It says less than it brings.
                const std::string more = event(2, false);
                return stream_->send("5\r\n" + more + "\r\n");
            }
            if (!spoilt.empty()) return stream_->send(spoilt);
        }
        if (sent_ < all_.shape_.events) {
            stream_->send(chunk(event(sent_, false)));
            return step_.set(all_.shape_.gap);
        }
        const std::string usage =
            "data: " + Json{{"choices", Json::array()}, {"usage", {{"completion_tokens", sent_}}}}.dump() +
            "\n\n";
        std::string end = chunk(event(sent_, true)) + chunk(usage) + chunk("data: [DONE]\n\n") + "0\r\n\r\n";
        if (fault_ == Fault::second_answer) end += response(200, "", "another");
        finish(end);
    }

    // Whatever becomes of its answer, a prefill server may have read by then.
    void leave_state() {
        if (role_ == Role::reader) all_.held_states_.prefill_ended(id_, attempt_name());
    }
    void turn_away_without_state() {
        busy_ = false;
        stream_->send(response(410, "X-Unprocessed: 1\r\n", ""));
    }
    std::string attempt_name() const { return std::to_string(number_); }

    void finish(const std::string& bytes) {
        stream_->send(bytes);
        busy_ = false;
        // What came behind is read after this callback.
        Platform* const all = &all_;
        all_.loop_.post([all, self = this] {
            if (all->lines_.count(self)) self->read();
        });
    }

    Platform& all_;
    const std::string server_;
    const Role role_;
    const std::uint64_t number_;
    std::unique_ptr<Stream> stream_;
    std::unique_ptr<http::Message> message_;
    std::string body_, id_;
    Fault fault_ = Fault::none;
    bool busy_ = false;
    int sent_ = 0;
    Timer step_;
};

class Platform::Watcher : public Stream::Owner {
  public:
    Watcher(Platform& all, std::string gateway, int fd)
        : all_(all),
          gateway_(std::move(gateway)),
          wait_(all.loop_, [this] { tell(); }),
          next_piece_(all.loop_, [this] { write_piece(); }) {
        stream_ = Stream::accepted(all.loop_, fd, {0, kHeldBytes}, *this);
    }
    std::unique_ptr<Stream> take_stream() {
        wait_.off();
        next_piece_.off();
        return std::move(stream_);
    }
    void bytes_came(Stream&) override {
        while (stream_ && stream_->held() > 0) {
            if (!message_)
                message_ = std::make_unique<http::Message>(http::Sort::call, http::Bounds{}, nullptr);
            stream_->drain(message_->take(stream_->front()));
            if (message_->trouble() != http::Trouble::none) return all_.drop(*this);
            if (!message_->done()) continue;
            const std::string target = message_->head().target;
            message_.reset();
            const std::size_t after = target.find("after="), wait = target.find("wait_ms=");
            waits_ = after != std::string::npos;
            after_ = waits_ ? std::strtoull(target.c_str() + after + 6, nullptr, 10) : 0;
            if (all_.silent_ || mute_) return;
            if (!waits_ && all_.list_takes_.us > 0) {
                wait_.set(all_.list_takes_);
            } else if (!waits_ || after_ < all_.index_ || !all_.odd_lists_.empty()) {
                tell();
            } else {
                const std::int64_t ms = wait == std::string::npos ? 0 : std::atoll(target.c_str() + wait + 8);
                wait_.set({ms * 1000});
            }
        }
    }
    void stream_closed(Stream&, Closing, const std::string&) override { all_.drop(*this); }
    bool waits() const { return waits_ && wait_.is_set(); }
    void fall_silent() { mute_ = true; }
    void tell() {
        wait_.off();
        if (all_.silent_ || mute_) return;
        std::string body;
        bool whole = !waits_;
        if (!all_.odd_lists_.empty()) {
            whole = false;
            body = all_.odd_lists_.front();
            all_.odd_lists_.pop_front();
        } else if (!waits_) {
            body = all_.list();
        } else {
            std::vector<std::string> names;
            for (const auto& [index, name] : all_.changes_)
                if (index > after_) names.push_back(name);
            body = "{\"index\":" + std::to_string(all_.index_) + ",\"snapshot\":false,\"endpoints\":[" +
                   all_.entries(names) + "]}";
        }
        all_.written_lists_.push_back({all_.loop_.now(), {}, gateway_, all_.index_, whole, body.size()});
        write(response(200, "Content-Type: application/json\r\n", body), whole ? all_.list_pieces_ : 1);
    }

  private:
    void write(std::string text, std::size_t pieces) {
        record_ = all_.written_lists_.size() - 1;
        piece_bytes_ = text.size() / pieces + 1;
        rest_ = std::move(text);
        written_ = 0;
        write_piece();
    }
    void write_piece() {
        stream_->send(std::string_view(rest_).substr(written_, piece_bytes_));
        written_ += piece_bytes_;
        if (written_ < rest_.size()) return next_piece_.set(all_.pieces_apart_);
        all_.written_lists_[record_].whole_at = all_.loop_.now();
    }

    Platform& all_;
    const std::string gateway_;
    std::unique_ptr<Stream> stream_;
    std::unique_ptr<http::Message> message_;
    std::uint64_t after_ = 0;
    bool waits_ = false, mute_ = false;
    std::string rest_;  // of an answer that is written in pieces
    std::size_t written_ = 0, piece_bytes_ = 0, record_ = 0;
    Timer wait_, next_piece_;
};

Platform::Platform(Loop& loop, const Shape& shape) : loop_(loop), shape_(shape) {
    discovery_ = open_discovery("", Address::parse("127.0.0.1:0"));
    discovery_address_ = discovery_->address();
}

Platform::~Platform() = default;

std::unique_ptr<Listener> Platform::open_discovery(const std::string& gateway, const Address& at) {
    return std::make_unique<Listener>(loop_, at, [this, gateway](int fd) {
        auto watcher = std::make_unique<Watcher>(*this, gateway, fd);
        Watcher* raw = watcher.get();
        watchers_.emplace(raw, std::move(watcher));
    });
}

Address Platform::discovery() const { return discovery_address_; }

Address Platform::discovery_of(const std::string& gateway) {
    std::unique_ptr<Listener>& listener = discovery_of_gateways_[gateway];
    if (!listener) listener = open_discovery(gateway, Address::parse("127.0.0.1:0"));
    return listener->address();
}

void Platform::discovery_is_down(bool down) {
    if (down)
        discovery_.reset();
    else
        discovery_ = open_discovery("", discovery_address_);
    if (down) watches_are_reset();
}

void Platform::watches_fall_silent() {
    for (const auto& [watcher, held] : watchers_) watcher->fall_silent();
}

void Platform::watches_are_reset() {
    while (!watchers_.empty()) drop(*watchers_.begin()->first, true);
}

void Platform::move_discovery() {
    while (!watchers_.empty()) drop(*watchers_.begin()->first);
    discovery_ = open_discovery("", Address::parse("127.0.0.1:0"));
    discovery_address_ = discovery_->address();
    discovery_of_gateways_.clear();
}

void Platform::add(const std::string& name, Role role, const std::string& zone, int group,
                   const std::string& listen) {
    const bool again = servers_.count(name) > 0;
    Server& server = servers_[name];
    server.name = name;
    server.zone = zone;
    server.role = role;
    server.group = group;
    server.status = "up";
    if (again) server.since_ms = loop_.now().us / 1000;
    server.listener = std::make_unique<Listener>(loop_, Address::parse(listen), [this, name](int fd) {
        auto line = std::make_unique<Line>(*this, name, servers_[name].role, fd);
        Line* raw = line.get();
        lines_.emplace(raw, std::move(line));
    });
    server.address = server.listener->address().text();
    changed({name});
}

void Platform::set(const std::string& name, const std::string& status) {
    servers_.at(name).status = status;
    changed({name});
}

void Platform::list(const std::vector<Listed>& servers) {
    std::vector<std::string> names;
    for (const Listed& listed : servers) {
        Server& server = servers_[listed.name];
        server.name = listed.name;
        server.zone = listed.zone;
        server.role = listed.role;
        server.group = listed.group;
        server.status = "up";
        server.since_ms = listed.since_ms;
        server.address = listed.address;
        names.push_back(listed.name);
    }
    changed(names);
}

void Platform::set_start(const std::string& name, std::int64_t since_ms) {
    Server& server = servers_.at(name);
    server.since_ms = since_ms;
    write_entry(server);
}

void Platform::indent_lists(bool indent) { indents_lists_ = indent; }

void Platform::set_all(const std::vector<std::string>& names, const std::string& status) {
    for (const std::string& name : names) servers_.at(name).status = status;
    changed(names);
}

void Platform::point(const std::string& name, const std::string& address) {
    servers_.at(name).address = address;
    changed({name});
}

void Platform::kill(const std::string& name) {
    servers_.at(name).listener.reset();
    std::vector<Line*> its;
    for (const auto& [line, held] : lines_)
        if (line->server() == name) its.push_back(line);
    for (Line* line : its) drop(*line, true);
}

void Platform::next(const std::string& name, Fault fault, int times) {
    for (int n = 0; n < times; ++n) servers_.at(name).faults.push_back(fault);
}

Fault Platform::fault_for(const std::string& server) {
    auto& faults = servers_.at(server).faults;
    if (faults.empty()) return Fault::none;
    const Fault fault = faults.front();
    faults.pop_front();
    return fault;
}

void Platform::changed(const std::vector<std::string>& names) {
    ++index_;
    for (const std::string& name : names) {
        changes_.emplace_back(index_, name);
        write_entry(servers_.at(name));
    }
    if (silent_) return;
    for (const auto& [watcher, held] : watchers_)
        if (watcher->waits()) watcher->tell();
}

void Platform::write_entry(Server& s) const {
    const Json entry{{"name", s.name},   {"address", s.address},
                     {"zone", s.zone},   {"type", s.role == Role::reader ? "reader" : "writer"},
                     {"group", s.group}, {"status", s.status},
                     {"weight", 1.0},    {"since_ms", s.since_ms}};
    s.entry = entry.dump();
    s.indented_entry = "\n" + entry.dump(2);
    for (std::size_t at = 0; (at = s.indented_entry.find('\n', at)) != std::string::npos; ++at) {
        s.indented_entry.insert(at + 1, 4, ' ');
    }
}

std::string Platform::entries(const std::vector<std::string>& names) const {
    std::string text;
    for (const std::string& name : names) {
        const Server& server = servers_.at(name);
        if (!text.empty()) text += ",";
        text += indents_lists_ ? server.indented_entry : server.entry;
    }
    return text;
}

std::vector<std::string> Platform::held_requests() const {
    std::vector<std::string> held = marks_.requests();
    std::erase_if(held, [this](const std::string& request) { return !held_states_.is_held(request); });
    return held;
}

std::size_t Platform::states() const { return held_requests().size(); }

std::string Platform::list() const {
    std::vector<std::string> names;
    for (const auto& [name, server] : servers_)
        if (server.status != "removed") names.push_back(name);
    return "{\"index\":" + std::to_string(index_) + ",\"snapshot\":true,\"endpoints\":[" + entries(names) +
           "]}";
}

std::size_t Platform::count(const std::string& method, const std::string& server) const {
    std::size_t n = 0;
    for (const Heard& h : heard_) n += h.method == method && (server.empty() || h.server == server);
    return n;
}

void Platform::drop(Line& line, bool reset) {
    const auto held = lines_.find(&line);
    if (held == lines_.end()) return;
    line.leave();
    if (reset)
        Stream::reset(loop_, line.take_stream());
    else
        Stream::hand_off(loop_, line.take_stream(), true);
    loop_.bury(std::move(held->second));
    lines_.erase(held);
}

void Platform::drop(Watcher& watcher, bool reset) {
    const auto held = watchers_.find(&watcher);
    if (held == watchers_.end()) return;
    if (reset)
        Stream::reset(loop_, watcher.take_stream());
    else
        Stream::hand_off(loop_, watcher.take_stream(), false);
    loop_.bury(std::move(held->second));
    watchers_.erase(held);
}

}  // namespace copperfront::standin
