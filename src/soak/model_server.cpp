#include "soak/model_server.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>

#include "http/message.h"
#include "net/stream.h"
#include "soak/records.h"
#include "standin/response_text.h"

namespace copperfront::soak {
namespace {

using standin::chunk;
using standin::response;

constexpr std::size_t kHeldBytes = 1 << 20;
constexpr const char* kRooms = "/bootstrap/rooms/";
constexpr const char* kNeverRan = "X-Unprocessed: 1\r\n";

// What happens to a call in place of its usual course.
enum class CallFault {
    none,
    turned_away,  // 503, never ran
    error,        // 500
    reset_on_arrival,
    answer_lost,  // the work is done, and the connection reset in place of its answer
    answer_cut,   // half an answer, then the connection ends
    answer_unreadable,
    never_answered,
    interim_ahead,  // 1xx, then as usual
    second_answer,  // some milliseconds after a good one
    breaks_off,     // a stream ends after its first event
    stalls,         // a stream stops for a while
};
constexpr int kCallBits = 24;
constexpr int kCallFaults = static_cast<int>(CallFault::stalls) + 1;

// Identifiers become names of files.
std::string safe_name(const std::string& id) {
    std::string name;
    for (const char c : id) {
        if (std::isalnum(static_cast<unsigned char>(c)) != 0) name.push_back(c);
    }
    return name.empty() ? "none" : name;
}

}  // namespace

struct ModelServer::State {
    State(Loop& the_loop, const ModelServerOptions& the_options)
        : loop(the_loop), options(the_options), chance(the_options.seed) {
        records = open(options.records_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (records < 0) throw std::runtime_error(options.records_file + ": cannot be opened");
    }
    ~State() { close(records); }
    State(const State&) = delete;
    State& operator=(const State&) = delete;

    void record(ServerEvent event, const std::string& request, std::uint64_t call,
                std::int64_t time_left_ms = -1) const {
        ServerRecord made;
        made.at = machine_clock_us();
        made.event = event;
        made.request = request.empty() ? "-" : request;
        made.server = options.name;
        made.role = options.role;
        made.call = call;
        made.time_left_ms = time_left_ms;
        const std::string line = line_of(made);
        // One write, so that a kill leaves whole lines.
        if (write(records, line.data(), line.size()) < 0) std::abort();
    }
    std::string state_file(const std::string& request) const {
        return options.states_folder + "/" + safe_name(request);
    }
    std::int64_t between(std::int64_t least_ms, std::int64_t most_ms) {
        return std::uniform_int_distribution<std::int64_t>(least_ms, most_ms)(chance);
    }
    CallFault draw_fault() {
        if (std::uniform_real_distribution<double>(0, 1)(chance) >= options.fault_share) {
            return CallFault::none;
        }
        return static_cast<CallFault>(between(1, kCallFaults - 1));
    }
    void drop(Connection& connection, bool reset);

    Loop& loop;
    const ModelServerOptions options;
    std::minstd_rand chance;
    int records = -1;
    // Not of an earlier process of the same name.
    std::uint64_t next_call = static_cast<std::uint64_t>(getpid()) << kCallBits;
    std::map<Connection*, std::unique_ptr<Connection>> connections;
    std::unique_ptr<Listener> listener;
};

class ModelServer::Connection : public Stream::Owner {
  public:
    Connection(State& state, int fd) : state_(state), step_(state.loop, [this] { go_on(); }) {
        stream_ = Stream::accepted(state.loop, fd, {0, kHeldBytes}, *this);
    }
    std::unique_ptr<Stream> take_stream() {
        step_.off();
        return std::move(stream_);
    }
    void bytes_came(Stream&) override { read(); }
    void stream_closed(Stream&, Closing, const std::string&) override {
        if (busy_) state_.record(ServerEvent::closed, request_, call_);
        state_.drop(*this, false);
    }

  private:
    void read() {
        while (stream_ && !busy_ && stream_->held() > 0) {
            if (!message_) {
                message_ = std::make_unique<http::Message>(http::Sort::call, http::Bounds{16384, 256 << 10},
                                                           nullptr);
            }
            stream_->drain(message_->take(stream_->front()));
            if (message_->trouble() != http::Trouble::none) return state_.drop(*this, false);
            if (message_->done()) take_call();
        }
    }

    void take_call() {
        const std::unique_ptr<http::Message> message = std::move(message_);
        const http::Head& head = message->head();
        call_ = state_.next_call++;
        if (head.method == "DELETE" && head.target.rfind(kRooms, 0) == 0) {
            return release(head.target.substr(std::string(kRooms).size()));
        }
        const std::string* const id = head.find("X-Correlation-Id");
        if (id == nullptr) return stream_->send(response(404, "", ""));
        request_ = *id;
        const std::string* const left = head.find("X-Time-Left-Ms");
        state_.record(ServerEvent::arrived, request_, call_, left ? std::atoll(left->c_str()) : -1);
        begin_work();
    }

    void release(const std::string& request) {
        unlink(state_.state_file(request).c_str());
        state_.record(ServerEvent::released, request, call_);
        stream_->send("HTTP/1.1 204 No Content\r\n\r\n");
    }

    void begin_work() {
        fault_ = state_.draw_fault();
        events_sent_ = 0;
        if (fault_ == CallFault::turned_away) return turn_away(503);
        const bool prefill = state_.options.role == Role::reader;
        // Nothing can run without its state, whatever else would go wrong with it.
        if (!prefill && access(state_.state_file(request_).c_str(), F_OK) != 0) return turn_away(410);
        if (fault_ == CallFault::error) return finish(response(500, "", ""));
        if (fault_ == CallFault::reset_on_arrival) return break_off(true);
        if (!prefill) {
            unlink(state_.state_file(request_).c_str());
            state_.record(ServerEvent::taken, request_, call_);
        }
        busy_ = true;
        if (fault_ == CallFault::interim_ahead) stream_->send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
        if (fault_ == CallFault::never_answered && !prefill) return;
        step_.set({state_.between(5, 60) * 1000});
    }

    void go_on() {
        if (!stream_) return;
        if (!busy_) return stream_->send(response(200, "", "another"));
        if (state_.options.role == Role::reader) return end_prefill();
        stream_on();
    }

    void end_prefill() {
        const int file = open(state_.state_file(request_).c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
        if (file >= 0) close(file);
        state_.record(ServerEvent::held, request_, call_);
        if (fault_ == CallFault::never_answered) return;
        if (fault_ == CallFault::answer_lost) return break_off(true);
        const std::string answer =
            response(202, "Content-Type: application/json\r\n", R"({"cached_tokens":8})");
        if (fault_ == CallFault::answer_cut) {
            stream_->send(answer.substr(0, answer.size() / 2));
            return break_off(false);
        }
        if (fault_ == CallFault::answer_unreadable) {
            stream_->send("%\x01 what is this\r\n\r\n");
            return;
        }
        finish(answer);
    }

    std::string event(int number, bool last) const {
        return R"(data: {"choices":[{"index":0,"delta":{"content":")" + state_.options.name + "/" +
               std::to_string(call_) + "/" + std::to_string(number) + R"("},"finish_reason":)" +
               (last ? R"("stop")" : "null") + "}]}\n\n";
    }

    void stream_on() {
        if (fault_ == CallFault::answer_lost) return break_off(true);
        if (fault_ == CallFault::answer_unreadable && events_sent_ == 0) {
            stream_->send("%\x01 what is this\r\n\r\n");
            return;
        }
        if (events_sent_ == 0) stream_->send(standin::kEventStreamHead);
        if (events_sent_ == 1 && (fault_ == CallFault::breaks_off || fault_ == CallFault::answer_cut)) {
            return break_off(fault_ == CallFault::breaks_off);
        }
        ++events_sent_;
        if (events_sent_ < kEvents) {
            stream_->send(chunk(event(events_sent_, false)));
            const bool stalls = fault_ == CallFault::stalls && events_sent_ == 2;
            return step_.set({(stalls ? state_.between(200, 1200) : state_.between(2, 30)) * 1000});
        }
        finish(chunk(event(events_sent_, true)) +
               chunk("data: {\"choices\":[],\"usage\":{\"completion_tokens\":1}}\n\n") +
               chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    }

    void turn_away(int status) {
        state_.record(ServerEvent::never_ran, request_, call_);
        answered();
        stream_->send(response(status, kNeverRan, ""));
    }
    void finish(const std::string& bytes) {
        state_.record(ServerEvent::ended, request_, call_);
        stream_->send(bytes);
        answered();
        if (fault_ == CallFault::second_answer) step_.set({state_.between(1, 12) * 1000});
    }
    void break_off(bool reset) {
        state_.record(ServerEvent::ended, request_, call_);
        state_.drop(*this, reset);
    }
    void answered() {
        busy_ = false;
        // What came behind is read after this callback.
        State* const state = &state_;
        state_.loop.post([state, self = this] {
            if (state->connections.count(self) > 0) self->read();
        });
    }

    static constexpr int kEvents = 5;

    State& state_;
    std::unique_ptr<Stream> stream_;
    std::unique_ptr<http::Message> message_;
    std::string request_;
    std::uint64_t call_ = 0;
    CallFault fault_ = CallFault::none;
    bool busy_ = false;
    int events_sent_ = 0;
    Timer step_;
};

void ModelServer::State::drop(Connection& connection, bool reset) {
    const auto held = connections.find(&connection);
    if (held == connections.end()) return;
    if (reset) {
        Stream::reset(loop, connection.take_stream());
    } else {
        Stream::hand_off(loop, connection.take_stream(), true);
    }
    loop.bury(std::move(held->second));
    connections.erase(held);
}

ModelServer::ModelServer(Loop& loop, const ModelServerOptions& options)
    : state_(std::make_unique<State>(loop, options)) {
    State* const state = state_.get();
    state->listener = std::make_unique<Listener>(loop, Address::parse(options.listen), [state](int fd) {
        auto connection = std::make_unique<Connection>(*state, fd);
        Connection* const raw = connection.get();
        state->connections.emplace(raw, std::move(connection));
    });
}

ModelServer::~ModelServer() = default;

Address ModelServer::address() const { return state_->listener->address(); }

}  // namespace copperfront::soak
