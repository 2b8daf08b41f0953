#include "fakes/fake_platform.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "fakes/response_text.h"

namespace copperfront::fake_server {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxInputBytes = 1 << 20;
constexpr std::size_t kMaxReceived = 100000;
const std::string kStatesPath = "/bootstrap/rooms/";

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

class FakePlatform::ServerConnection : public Stream::Owner {
  public:
    ServerConnection(FakePlatform& platform, std::string server, Role role, int fd)
        : platform_(platform),
          server_(std::move(server)),
          role_(role),
          number_(platform.next_connection_++),
          step_timer_(platform.loop_, [this] { continue_work(); }) {
        stream_ = Stream::accepted(platform.loop_, fd, {0, kMaxInputBytes}, *this);
    }
    const std::string& server() const { return server_; }
    std::unique_ptr<Stream> take_stream() {
        step_timer_.cancel();
        return std::move(stream_);
    }
    void bytes_received(Stream&) override { read_requests(); }
    void stream_closed(Stream&, CloseReason, const std::string&) override { platform_.drop(*this, false); }
    void end_attempt() { platform_.held_states_.attempt_ended(id_, attempt_name()); }

  private:
    void read_requests() {
        while (stream_ && !busy_) {
            const std::string_view bytes = stream_->front();
            if (bytes.empty()) return;
            if (!message_)
                message_ = std::make_unique<http::Message>(
                    http::MessageKind::request, http::Bounds{16384, 256 << 10},
                    [this](std::string_view piece) { body_.append(piece); });
            stream_->drain(message_->take(bytes));
            if (message_->error() != http::ParseError::none) return platform_.drop(*this, false);
            if (message_->done()) handle_request();
        }
    }

    void handle_request() {
        const std::unique_ptr<http::Message> message = std::move(message_);
        const http::Head& head = message->head();
        ReceivedRequest received{server_, head.method,           head.target, "", std::exchange(body_, {}),
                                 -1,      platform_.loop_.now(), number_};
        if (const std::string* id = head.find("X-Correlation-Id")) received.id = *id;
        if (const std::string* left = head.find("X-Time-Left-Ms"))
            received.time_left_ms = std::atoll(left->c_str());
        if (head.target.rfind(kStatesPath, 0) == 0) received.id = head.target.substr(kStatesPath.size());
        id_ = received.id;
        if (platform_.received_.size() < kMaxReceived) platform_.received_.push_back(std::move(received));
        if (head.method == "DELETE") {
            platform_.held_states_.release(id_);
            return stream_->send("HTTP/1.1 204 No Content\r\n\r\n");
        }
        if (id_.empty()) return stream_->send(response(404, "", ""));
        fault_ = platform_.fault_for(server_);
        const std::string unprocessed_header = "X-Unprocessed: 1\r\n";
        switch (fault_) {
            case Fault::rejected:
                return stream_->send(response(503, unprocessed_header, ""));
            case Fault::rejected_may_have_run:
                store_state();
                return stream_->send(response(503, "", ""));
            case Fault::error:
                store_state();
                return stream_->send(response(500, "", ""));
            case Fault::no_state:
                return stream_->send(response(410, unprocessed_header, ""));
            case Fault::never_answered:
                store_state();
                busy_ = true;
                if (role_ == Role::decode) platform_.held_states_.hand_over_arrived(id_, attempt_name());
                return;
            case Fault::closes_unanswered:
                store_state();
                return platform_.drop(*this, false);
            case Fault::resets_unanswered:
                store_state();
                return platform_.drop(*this, true);
            case Fault::not_http:
                store_state();
                busy_ = true;
                return stream_->send("%\x01 what is this\r\n\r\n\r\n");
            case Fault::head_without_end:
                store_state();
                busy_ = true;
                return stream_->send("HTTP/1.1 200 OK\r\nX: " + std::string(20000, 'a'));
            case Fault::interim:
                stream_->send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
                break;
            case Fault::invalid_event:
                store_state();
                busy_ = true;
                return stream_->send(kEventStreamHead + chunk("what is this\n\n"));
            default:
                break;
        }
        busy_ = true;
        sent_events_ = 0;
        if (role_ == Role::decode && !platform_.held_states_.hand_over_arrived(id_, attempt_name())) {
            return reject_without_state();
        }
        step_timer_.set(role_ == Role::prefill ? platform_.shape_.prefill_time
                                               : platform_.shape_.first_event_delay);
    }

    void continue_work() {
        if (role_ == Role::prefill) {
            store_state();
            return finish(response(202, "Content-Type: application/json\r\n", R"({"cached_tokens":8})"));
        }
        // The hand-over takes the state when it is its turn; until then the state stays where it is.
        if (sent_events_ == 0 && !platform_.held_states_.fetch(id_, attempt_name()))
            return reject_without_state();
        if (sent_events_ == 0) stream_->send(kEventStreamHead);
        ++sent_events_;
        if (sent_events_ == 2) {
            const std::string malformed = fault_ == Fault::chunk_size_malformed ? "zz\r\nwhat is this\r\n"
                                          : fault_ == Fault::chunk_size_huge    ? "B2D05E00\r\ndata: {"
                                                                                : "";
            if (fault_ == Fault::ends_early) return finish("0\r\n\r\n");
            if (fault_ == Fault::closes_mid_stream) return platform_.drop(*this, false);
            if (fault_ == Fault::stalls_mid_stream) return;
            if (fault_ == Fault::chunk_size_mismatch) {
                // The stated size is less than the data.
                const std::string more = event(2, false);
                return stream_->send("5\r\n" + more + "\r\n");
            }
            if (!malformed.empty()) return stream_->send(malformed);
        }
        if (sent_events_ < platform_.shape_.events) {
            stream_->send(chunk(event(sent_events_, false)));
            return step_timer_.set(platform_.shape_.event_gap);
        }
        const std::string usage =
            "data: " +
            Json{{"choices", Json::array()}, {"usage", {{"completion_tokens", sent_events_}}}}.dump() +
            "\n\n";
        std::string end =
            chunk(event(sent_events_, true)) + chunk(usage) + chunk("data: [DONE]\n\n") + "0\r\n\r\n";
        if (fault_ == Fault::second_answer) end += response(200, "", "another");
        finish(end);
    }

    // Whatever happens to its answer, a prefill server may have done the prefill by then.
    void store_state() {
        if (role_ == Role::prefill) platform_.held_states_.prefill_ended(id_, attempt_name());
    }
    void reject_without_state() {
        busy_ = false;
        stream_->send(response(410, "X-Unprocessed: 1\r\n", ""));
    }
    std::string attempt_name() const { return std::to_string(number_); }

    void finish(const std::string& bytes) {
        stream_->send(bytes);
        busy_ = false;
        // Input behind this request is read after this callback.
        FakePlatform* const platform = &platform_;
        platform_.loop_.post([platform, self = this] {
            if (platform->server_connections_.count(self)) self->read_requests();
        });
    }

    FakePlatform& platform_;
    const std::string server_;
    const Role role_;
    const std::uint64_t number_;
    std::unique_ptr<Stream> stream_;
    std::unique_ptr<http::Message> message_;
    std::string body_, id_;
    Fault fault_ = Fault::none;
    bool busy_ = false;
    int sent_events_ = 0;
    Timer step_timer_;
};

class FakePlatform::Watcher : public Stream::Owner {
  public:
    Watcher(FakePlatform& platform, std::string gateway, int fd)
        : platform_(platform),
          gateway_(std::move(gateway)),
          wait_timer_(platform.loop_, [this] { send_list(); }),
          piece_timer_(platform.loop_, [this] { write_piece(); }) {
        stream_ = Stream::accepted(platform.loop_, fd, {0, kMaxInputBytes}, *this);
    }
    std::unique_ptr<Stream> take_stream() {
        wait_timer_.cancel();
        piece_timer_.cancel();
        return std::move(stream_);
    }
    void bytes_received(Stream&) override {
        while (stream_ && stream_->buffered() > 0) {
            if (!message_)
                message_ =
                    std::make_unique<http::Message>(http::MessageKind::request, http::Bounds{}, nullptr);
            stream_->drain(message_->take(stream_->front()));
            if (message_->error() != http::ParseError::none) return platform_.drop(*this);
            if (!message_->done()) continue;
            const std::string target = message_->head().target;
            message_.reset();
            const std::size_t after = target.find("after="), wait = target.find("wait_ms=");
            is_watch_ = after != std::string::npos;
            after_ = is_watch_ ? std::strtoull(target.c_str() + after + 6, nullptr, 10) : 0;
            if (platform_.is_discovery_silent_ || stopped_answering_) return;
            if (!is_watch_ && platform_.snapshot_delay_.us > 0) {
                wait_timer_.set(platform_.snapshot_delay_);
            } else if (!is_watch_ || after_ < platform_.index_ || !platform_.replacement_lists_.empty()) {
                send_list();
            } else {
                const std::int64_t ms = wait == std::string::npos ? 0 : std::atoll(target.c_str() + wait + 8);
                wait_timer_.set({ms * 1000});
            }
        }
    }
    void stream_closed(Stream&, CloseReason, const std::string&) override { platform_.drop(*this); }
    bool is_waiting() const { return is_watch_ && wait_timer_.is_set(); }
    void stop_answering() { stopped_answering_ = true; }
    void send_list() {
        wait_timer_.cancel();
        if (platform_.is_discovery_silent_ || stopped_answering_) return;
        std::string body;
        bool whole = !is_watch_;
        if (!platform_.replacement_lists_.empty()) {
            whole = false;
            body = platform_.replacement_lists_.front();
            platform_.replacement_lists_.pop_front();
        } else if (!is_watch_) {
            body = platform_.list_json();
        } else {
            std::vector<std::string> names;
            for (const auto& [index, name] : platform_.changes_)
                if (index > after_) names.push_back(name);
            body = "{\"index\":" + std::to_string(platform_.index_) + ",\"snapshot\":false,\"endpoints\":[" +
                   platform_.entries_json(names) + "]}";
        }
        platform_.written_lists_.push_back(
            {platform_.loop_.now(), {}, gateway_, platform_.index_, whole, body.size()});
        write(response(200, "Content-Type: application/json\r\n", body),
              whole ? platform_.snapshot_pieces_ : 1);
    }

  private:
    void write(std::string text, std::size_t pieces) {
        list_number_ = platform_.written_lists_.size() - 1;
        piece_bytes_ = text.size() / pieces + 1;
        pending_text_ = std::move(text);
        written_bytes_ = 0;
        write_piece();
    }
    void write_piece() {
        stream_->send(std::string_view(pending_text_).substr(written_bytes_, piece_bytes_));
        written_bytes_ += piece_bytes_;
        if (written_bytes_ < pending_text_.size()) return piece_timer_.set(platform_.piece_interval_);
        platform_.written_lists_[list_number_].completed_at = platform_.loop_.now();
    }

    FakePlatform& platform_;
    const std::string gateway_;
    std::unique_ptr<Stream> stream_;
    std::unique_ptr<http::Message> message_;
    std::uint64_t after_ = 0;
    bool is_watch_ = false, stopped_answering_ = false;
    std::string pending_text_;  // rest of an answer that is written in pieces
    std::size_t written_bytes_ = 0, piece_bytes_ = 0, list_number_ = 0;
    Timer wait_timer_, piece_timer_;
};

FakePlatform::FakePlatform(Loop& loop, const ServiceTimes& shape) : loop_(loop), shape_(shape) {
    discovery_ = open_discovery("", Address::parse("127.0.0.1:0"));
    discovery_address_ = discovery_->address();
}

FakePlatform::~FakePlatform() = default;

std::unique_ptr<Listener> FakePlatform::open_discovery(const std::string& gateway, const Address& at) {
    return std::make_unique<Listener>(loop_, at, [this, gateway](int fd) {
        auto watcher = std::make_unique<Watcher>(*this, gateway, fd);
        Watcher* raw = watcher.get();
        watchers_.emplace(raw, std::move(watcher));
    });
}

Address FakePlatform::discovery() const { return discovery_address_; }

Address FakePlatform::discovery_for(const std::string& gateway) {
    std::unique_ptr<Listener>& listener = discovery_of_gateways_[gateway];
    if (!listener) listener = open_discovery(gateway, Address::parse("127.0.0.1:0"));
    return listener->address();
}

void FakePlatform::set_discovery_down(bool down) {
    if (down)
        discovery_.reset();
    else
        discovery_ = open_discovery("", discovery_address_);
    if (down) reset_watches();
}

void FakePlatform::silence_watches() {
    for (const auto& [watcher, held] : watchers_) watcher->stop_answering();
}

void FakePlatform::reset_watches() {
    while (!watchers_.empty()) drop(*watchers_.begin()->first, true);
}

void FakePlatform::move_discovery() {
    while (!watchers_.empty()) drop(*watchers_.begin()->first);
    discovery_ = open_discovery("", Address::parse("127.0.0.1:0"));
    discovery_address_ = discovery_->address();
    discovery_of_gateways_.clear();
}

void FakePlatform::add(const std::string& name, Role role, const std::string& zone, int group,
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
        auto connection = std::make_unique<ServerConnection>(*this, name, servers_[name].role, fd);
        ServerConnection* raw = connection.get();
        server_connections_.emplace(raw, std::move(connection));
    });
    server.address = server.listener->address().text();
    publish_changes({name});
}

void FakePlatform::set_status(const std::string& name, const std::string& status) {
    servers_.at(name).status = status;
    publish_changes({name});
}

void FakePlatform::add_to_list(const std::vector<ListEntry>& servers) {
    std::vector<std::string> names;
    for (const ListEntry& entry : servers) {
        Server& server = servers_[entry.name];
        server.name = entry.name;
        server.zone = entry.zone;
        server.role = entry.role;
        server.group = entry.group;
        server.status = "up";
        server.since_ms = entry.since_ms;
        server.address = entry.address;
        names.push_back(entry.name);
    }
    publish_changes(names);
}

void FakePlatform::set_process_start(const std::string& name, std::int64_t since_ms) {
    Server& server = servers_.at(name);
    server.since_ms = since_ms;
    write_entry(server);
}

void FakePlatform::set_list_indent(bool indent) { indents_lists_ = indent; }

void FakePlatform::set_statuses(const std::vector<std::string>& names, const std::string& status) {
    for (const std::string& name : names) servers_.at(name).status = status;
    publish_changes(names);
}

void FakePlatform::set_address(const std::string& name, const std::string& address) {
    servers_.at(name).address = address;
    publish_changes({name});
}

void FakePlatform::kill(const std::string& name) {
    servers_.at(name).listener.reset();
    std::vector<ServerConnection*> connections_of_server;
    for (const auto& [connection, held] : server_connections_)
        if (connection->server() == name) connections_of_server.push_back(connection);
    for (ServerConnection* connection : connections_of_server) drop(*connection, true);
}

void FakePlatform::inject_fault(const std::string& name, Fault fault, int times) {
    for (int n = 0; n < times; ++n) servers_.at(name).faults.push_back(fault);
}

Fault FakePlatform::fault_for(const std::string& server) {
    auto& faults = servers_.at(server).faults;
    if (faults.empty()) return Fault::none;
    const Fault fault = faults.front();
    faults.pop_front();
    return fault;
}

void FakePlatform::publish_changes(const std::vector<std::string>& names) {
    ++index_;
    for (const std::string& name : names) {
        changes_.emplace_back(index_, name);
        write_entry(servers_.at(name));
    }
    if (is_discovery_silent_) return;
    for (const auto& [watcher, held] : watchers_)
        if (watcher->is_waiting()) watcher->send_list();
}

void FakePlatform::write_entry(Server& s) const {
    const Json entry{{"name", s.name},   {"address", s.address},
                     {"zone", s.zone},   {"type", s.role == Role::prefill ? "reader" : "writer"},
                     {"group", s.group}, {"status", s.status},
                     {"weight", 1.0},    {"since_ms", s.since_ms}};
    s.entry = entry.dump();
    s.indented_entry = "\n" + entry.dump(2);
    for (std::size_t at = 0; (at = s.indented_entry.find('\n', at)) != std::string::npos; ++at) {
        s.indented_entry.insert(at + 1, 4, ' ');
    }
}

std::string FakePlatform::entries_json(const std::vector<std::string>& names) const {
    std::string text;
    for (const std::string& name : names) {
        const Server& server = servers_.at(name);
        if (!text.empty()) text += ",";
        text += indents_lists_ ? server.indented_entry : server.entry;
    }
    return text;
}

std::vector<std::string> FakePlatform::held_requests() const {
    std::vector<std::string> held = markers_.requests();
    std::erase_if(held, [this](const std::string& request) { return !held_states_.is_held(request); });
    return held;
}

std::size_t FakePlatform::held_state_count() const { return held_requests().size(); }

std::string FakePlatform::list_json() const {
    std::vector<std::string> names;
    for (const auto& [name, server] : servers_)
        if (server.status != "removed") names.push_back(name);
    return "{\"index\":" + std::to_string(index_) + ",\"snapshot\":true,\"endpoints\":[" +
           entries_json(names) + "]}";
}

std::size_t FakePlatform::count(const std::string& method, const std::string& server) const {
    std::size_t n = 0;
    for (const ReceivedRequest& h : received_)
        n += h.method == method && (server.empty() || h.server == server);
    return n;
}

void FakePlatform::drop(ServerConnection& connection, bool reset) {
    const auto held = server_connections_.find(&connection);
    if (held == server_connections_.end()) return;
    connection.end_attempt();
    if (reset)
        Stream::reset(loop_, connection.take_stream());
    else
        Stream::detach_and_close(loop_, connection.take_stream(), true);
    loop_.delete_later(std::move(held->second));
    server_connections_.erase(held);
}

void FakePlatform::drop(Watcher& watcher, bool reset) {
    const auto held = watchers_.find(&watcher);
    if (held == watchers_.end()) return;
    if (reset)
        Stream::reset(loop_, watcher.take_stream());
    else
        Stream::detach_and_close(loop_, watcher.take_stream(), false);
    loop_.delete_later(std::move(held->second));
    watchers_.erase(held);
}

}  // namespace copperfront::fake_server
