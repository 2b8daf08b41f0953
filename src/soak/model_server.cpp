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
#include "standin/held_states.h"
#include "standin/response_text.h"

namespace copperfront::soak {
namespace {

using standin::chunk;
using standin::response;

constexpr std::size_t kHeldBytes = 1 << 20;
constexpr const char* kRooms = "/bootstrap/rooms/";
constexpr const char* kNeverRan = "X-Unprocessed: 1\r\n";
const std::string kInterim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

// What happens to a call in place of its usual course.
enum class CallFault {
    none,
    turned_away,      // 503, never ran
    turned_away_cut,  // the same, and its body stays short of its length
    error,            // 500
    error_cut,        // the same, and its body stays short of its length
    reset_on_arrival,
    closed_on_arrival,  // dropped without a word
    answer_lost,        // the work is done, and the connection reset in place of its answer
    answer_cut,         // half an answer, then the connection ends
    answer_half_sent,   // a part of the answer, and the connection stays open
    interim_only,       // 1xx in place of the answer, and the connection stays open
    answer_unreadable,
    never_answered,     // the work is done, and nothing is said of it
    waits_without_end,  // a hand-over never takes the state, and nothing is said of it
    head_only,          // of a stream
    chunk_size_only,    // a stream's head and the size of its first chunk
    half_event,         // a stream's head and half of its first event
    interim_ahead,      // 1xx, then as usual
    second_answer,      // some milliseconds after a good one
    breaks_off,         // a stream ends after its first event
    stalls,             // a stream stops for a while
};
constexpr int kCallBits = 24;
constexpr int kCallFaults = static_cast<int>(CallFault::stalls) + 1;

// What happens to a release in place of its usual course.
enum class ReleaseFault {
    none,
    silent,      // nothing is done, and nothing said
    error,       // 500, and nothing is done
    answer_cut,  // it is done, and half of the answer is sent
};
constexpr int kReleaseFaults = static_cast<int>(ReleaseFault::answer_cut) + 1;

}  // namespace

struct ModelServer::State {
    State(Loop& the_loop, const ModelServerOptions& the_options)
        : loop(the_loop),
          options(the_options),
          chance(the_options.seed),
          marks(the_options.states_folder),
          held_states(marks) {
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
    std::int64_t between(std::int64_t least_ms, std::int64_t most_ms) {
        return std::uniform_int_distribution<std::int64_t>(least_ms, most_ms)(chance);
    }
    bool meets_fault() { return std::uniform_real_distribution<double>(0, 1)(chance) < options.fault_share; }
    CallFault draw_call_fault() {
        if (loop.now() < silent_until) {
            return between(0, 1) == 0 ? CallFault::never_answered : CallFault::waits_without_end;
        }
        return meets_fault() ? static_cast<CallFault>(between(1, kCallFaults - 1)) : CallFault::none;
    }
    ReleaseFault draw_release_fault() {
        return meets_fault() ? static_cast<ReleaseFault>(between(1, kReleaseFaults - 1)) : ReleaseFault::none;
    }
    void drop(Connection& connection, bool reset);

    Loop& loop;
    const ModelServerOptions options;
    std::minstd_rand chance;
    standin::FolderMarkStore marks;
    standin::HeldStates held_states;
    Instant silent_until;
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
        if (busy_) {
            state_.record(ServerEvent::closed, request_, call_);
            state_.held_states.attempt_over(request_, attempt_name());
        }
        state_.drop(*this, false);
    }

  private:
    void read() {
        while (stream_ && !busy_ && !silenced_ && stream_->held() > 0) {
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
        // Before anything that other servers see of it: this process may be stopped at any point.
        state_.record(ServerEvent::arrived, request_, call_, left ? std::atoll(left->c_str()) : -1);
        // A hand-over waits from the moment that it has arrived: a release that is read next lets go of
        // nothing.
        const bool is_hand_over = state_.options.role == Role::writer;
        const bool has_state = is_hand_over && state_.held_states.hand_over_arrived(request_, attempt_name());
        begin_work(has_state);
    }

    std::string attempt_name() const { return standin::FolderMarkStore::attempt_name(call_); }

    void release(const std::string& request) {
        const ReleaseFault fault = state_.draw_release_fault();
        if (fault == ReleaseFault::silent) {
            silenced_ = true;
            return;
        }
        if (fault == ReleaseFault::error) return stream_->send(response(500, "", ""));
        const auto effect = state_.held_states.release(request);
        const bool kept = effect == standin::HeldStates::ReleaseEffect::kept;
        state_.record(kept ? ServerEvent::release_kept : ServerEvent::released, request, call_);
        const std::string answer = "HTTP/1.1 204 No Content\r\n\r\n";
        if (fault != ReleaseFault::answer_cut) return stream_->send(answer);
        stream_->send(answer.substr(0, answer.size() / 2));
        silenced_ = true;
    }

    void begin_work(bool has_state) {
        fault_ = state_.draw_call_fault();
        events_sent_ = 0;
        has_taken_ = false;
        if (fault_ == CallFault::turned_away || fault_ == CallFault::turned_away_cut) return turn_away(503);
        const bool prefill = state_.options.role == Role::reader;
        // Nothing can run without its state, whatever else would go wrong with it.
        if (!prefill && !has_state) return turn_away(410);
        if (fault_ == CallFault::error) return finish(response(500, "", ""));
        if (fault_ == CallFault::error_cut) return stop_short(response(500, "", "something went wrong"));
        if (fault_ == CallFault::reset_on_arrival) return break_off(true);
        if (fault_ == CallFault::closed_on_arrival) return break_off(false);
        busy_ = true;
        if (fault_ == CallFault::interim_ahead) stream_->send(kInterim);
        if (fault_ == CallFault::waits_without_end && !prefill) return;
        step_.set({state_.between(2, 60) * 1000});
    }

    void go_on() {
        if (!stream_) return;
        if (!busy_) return stream_->send(response(200, "", "another"));
        if (state_.options.role == Role::reader) return end_prefill();
        if (!has_taken_) return take_state();
        stream_on();
    }

    // In its turn: until then it waits for the state.
    void take_state() {
        has_taken_ = state_.held_states.fetch(request_, attempt_name());
        if (!has_taken_) return turn_away(410);
        state_.record(ServerEvent::taken, request_, call_);
        if (fault_ == CallFault::never_answered) return;
        if (fault_ == CallFault::interim_only) return stream_->send(kInterim);
        if (fault_ == CallFault::head_only) return stream_->send(standin::kEventStreamHead);
        if (fault_ == CallFault::chunk_size_only) {
            return stream_->send(std::string(standin::kEventStreamHead) + "40\r\n");
        }
        if (fault_ == CallFault::half_event) {
            const std::string whole = chunk(event(1, false));
            return stream_->send(standin::kEventStreamHead + whole.substr(0, whole.size() / 2));
        }
        step_.set({state_.between(2, 30) * 1000});
    }

    void end_prefill() {
        state_.held_states.prefill_ended(request_, attempt_name());
        state_.record(ServerEvent::held, request_, call_);
        if (fault_ == CallFault::never_answered) return;
        if (fault_ == CallFault::answer_lost) return break_off(true);
        if (fault_ == CallFault::interim_only) return stop_short(kInterim);
        const std::string answer =
            response(202, "Content-Type: application/json\r\n", R"({"cached_tokens":8})");
        if (fault_ == CallFault::answer_cut) {
            stream_->send(answer.substr(0, any_part(answer)));
            return break_off(false);
        }
        if (fault_ == CallFault::answer_half_sent) return stop_short(answer);
        if (fault_ == CallFault::answer_unreadable) {
            stream_->send("%\x01 what is this\r\n\r\n");
            return;
        }
        finish(answer);
    }

    std::size_t any_part(const std::string& answer) {
        return static_cast<std::size_t>(state_.between(1, static_cast<std::int64_t>(answer.size()) - 1));
    }

    // The server is through with the call; a part of its answer comes, and the connection stays open.
    void stop_short(const std::string& answer) {
        state_.record(ServerEvent::ended, request_, call_);
        state_.held_states.attempt_over(request_, attempt_name());
        stream_->send(answer == kInterim ? answer : answer.substr(0, any_part(answer)));
        busy_ = false;
        silenced_ = true;
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
        if (events_sent_ == 1 && fault_ == CallFault::answer_half_sent) return;
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
        state_.held_states.attempt_over(request_, attempt_name());
        if (fault_ == CallFault::turned_away_cut) {
            const std::string answer = response(status, kNeverRan, "not now");
            stream_->send(answer.substr(0, answer.size() - 3));
            busy_ = false;
            silenced_ = true;
            return;
        }
        answered();
        stream_->send(response(status, kNeverRan, ""));
    }
    void finish(const std::string& bytes) {
        state_.record(ServerEvent::ended, request_, call_);
        state_.held_states.attempt_over(request_, attempt_name());
        stream_->send(bytes);
        answered();
        if (fault_ == CallFault::second_answer) step_.set({state_.between(1, 12) * 1000});
    }
    void break_off(bool reset) {
        state_.record(ServerEvent::ended, request_, call_);
        state_.held_states.attempt_over(request_, attempt_name());
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
    bool has_taken_ = false;  // a hand-over has taken its state
    bool silenced_ = false;   // nothing more is read from this connection or written to it
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

void ModelServer::fall_silent(Span span) { state_->silent_until = state_->loop.now() + span; }

Address ModelServer::address() const { return state_->listener->address(); }

}  // namespace copperfront::soak
