#include "soak/model_server.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>

#include "fakes/held_states.h"
#include "fakes/response_text.h"
#include "http/message.h"
#include "net/stream.h"
#include "soak/records.h"

namespace copperfront::soak {
namespace {

using fake_server::chunk;
using fake_server::response;

constexpr std::size_t kMaxInputBytes = 1 << 20;
constexpr const char* kStatesPath = "/bootstrap/rooms/";
constexpr const char* kUnprocessedHeader = "X-Unprocessed: 1\r\n";
const std::string kInterimResponse = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

// What happens to a call instead of its usual processing.
enum class CallFault {
    none,
    rejected,            // 503, never ran
    rejected_truncated,  // the same, and its body is shorter than its length
    error,               // 500
    error_truncated,     // the same, and its body is shorter than its length
    reset_on_arrival,
    closed_on_arrival,  // closed without an answer
    answer_lost,        // the work is done, and the connection reset in place of its answer
    answer_truncated,   // a part of the answer, then the connection closes
    answer_half_sent,   // a part of the answer, and the connection stays open
    interim_only,       // 1xx in place of the answer, and the connection stays open
    answer_not_http,
    never_answered,     // the work is done, and no answer is sent
    waits_forever,      // a hand-over never takes the state, and no answer is sent
    head_only,          // the head of a stream
    chunk_size_only,    // a stream's head and the size of its first chunk
    half_event,         // a stream's head and half of its first event
    interim_ahead,      // 1xx first, then as usual
    second_answer,      // some milliseconds after a good one
    resets_mid_stream,  // the connection is reset after the first event of a stream
    stalls,             // a stream pauses for a while
};
constexpr int kCallBits = 24;
constexpr int kCallFaults = static_cast<int>(CallFault::stalls) + 1;

// What happens to a release instead of its usual processing.
enum class ReleaseFault {
    none,
    silent,            // nothing is done, and no answer is sent
    error,             // 500, and nothing is done
    answer_truncated,  // it is done, and half of the answer is sent
};
constexpr int kReleaseFaults = static_cast<int>(ReleaseFault::answer_truncated) + 1;

}  // namespace

struct ModelServer::Impl {
    Impl(Loop& the_loop, const ModelServerOptions& the_options)
        : loop(the_loop),
          options(the_options),
          random(the_options.seed),
          markers(the_options.states_folder),
          held_states(markers) {
        records = open(options.records_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (records < 0) throw std::runtime_error(options.records_file + ": cannot be opened");
    }
    ~Impl() { close(records); }
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void record(ServerEvent event, const std::string& request, std::uint64_t call,
                std::int64_t time_left_ms = -1) const {
        ServerRecord entry;
        entry.at = monotonic_clock_us();
        entry.event = event;
        entry.request = request.empty() ? "-" : request;
        entry.server = options.name;
        entry.role = options.role;
        entry.call = call;
        entry.time_left_ms = time_left_ms;
        const std::string line = line_of(entry);
        // One write, so that a kill leaves complete lines.
        if (write(records, line.data(), line.size()) < 0) std::abort();
    }
    std::int64_t draw_between(std::int64_t least_ms, std::int64_t most_ms) {
        return std::uniform_int_distribution<std::int64_t>(least_ms, most_ms)(random);
    }
    bool draws_fault() { return std::uniform_real_distribution<double>(0, 1)(random) < options.fault_share; }
    CallFault draw_call_fault() {
        if (loop.now() < silent_until) {
            return draw_between(0, 1) == 0 ? CallFault::never_answered : CallFault::waits_forever;
        }
        return draws_fault() ? static_cast<CallFault>(draw_between(1, kCallFaults - 1)) : CallFault::none;
    }
    ReleaseFault draw_release_fault() {
        return draws_fault() ? static_cast<ReleaseFault>(draw_between(1, kReleaseFaults - 1))
                             : ReleaseFault::none;
    }
    void drop(Connection& connection, bool reset);

    Loop& loop;
    const ModelServerOptions options;
    std::minstd_rand random;
    fake_server::FolderMarkerStore markers;
    fake_server::HeldStates held_states;
    Instant silent_until;
    int records = -1;
    // Distinct from the calls of an earlier process of the same name.
    std::uint64_t next_call = static_cast<std::uint64_t>(getpid()) << kCallBits;
    std::map<Connection*, std::unique_ptr<Connection>> connections;
    std::unique_ptr<Listener> listener;
};

class ModelServer::Connection : public Stream::Owner {
  public:
    Connection(Impl& impl, int fd) : impl_(impl), step_timer_(impl.loop, [this] { continue_work(); }) {
        stream_ = Stream::accepted(impl.loop, fd, {0, kMaxInputBytes}, *this);
    }
    std::unique_ptr<Stream> take_stream() {
        step_timer_.cancel();
        return std::move(stream_);
    }
    void bytes_received(Stream&) override { read_requests(); }
    void stream_closed(Stream&, CloseReason, const std::string&) override {
        if (busy_) {
            impl_.record(ServerEvent::closed, request_, call_);
            impl_.held_states.attempt_ended(request_, attempt_name());
        }
        impl_.drop(*this, false);
    }

  private:
    void read_requests() {
        while (stream_ && !busy_ && !silenced_ && stream_->buffered() > 0) {
            if (!message_) {
                message_ = std::make_unique<http::Message>(http::MessageKind::request,
                                                           http::Bounds{16384, 256 << 10}, nullptr);
            }
            stream_->drain(message_->take(stream_->front()));
            if (message_->error() != http::ParseError::none) return impl_.drop(*this, false);
            if (message_->done()) handle_call();
        }
    }

    void handle_call() {
        const std::unique_ptr<http::Message> message = std::move(message_);
        const http::Head& head = message->head();
        call_ = impl_.next_call++;
        if (head.method == "DELETE" && head.target.rfind(kStatesPath, 0) == 0) {
            return release(head.target.substr(std::string(kStatesPath).size()));
        }
        const std::string* const id = head.find("X-Correlation-Id");
        if (id == nullptr) return stream_->send(response(404, "", ""));
        request_ = *id;
        const std::string* const left = head.find("X-Time-Left-Ms");
        // Recorded before any effect that other servers see: this process may be stopped at any point.
        impl_.record(ServerEvent::arrived, request_, call_, left ? std::atoll(left->c_str()) : -1);
        // A hand-over waits for the state from its arrival on: a release that is read next frees nothing.
        const bool is_hand_over = impl_.options.role == Role::decode;
        const bool has_state = is_hand_over && impl_.held_states.hand_over_arrived(request_, attempt_name());
        start_work(has_state);
    }

    std::string attempt_name() const { return fake_server::FolderMarkerStore::attempt_name(call_); }

    void release(const std::string& request) {
        const ReleaseFault fault = impl_.draw_release_fault();
        if (fault == ReleaseFault::silent) {
            silenced_ = true;
            return;
        }
        if (fault == ReleaseFault::error) return stream_->send(response(500, "", ""));
        const auto effect = impl_.held_states.release(request);
        const bool kept = effect == fake_server::HeldStates::ReleaseEffect::kept;
        impl_.record(kept ? ServerEvent::release_kept : ServerEvent::released, request, call_);
        const std::string answer = "HTTP/1.1 204 No Content\r\n\r\n";
        if (fault != ReleaseFault::answer_truncated) return stream_->send(answer);
        stream_->send(answer.substr(0, answer.size() / 2));
        silenced_ = true;
    }

    void start_work(bool has_state) {
        fault_ = impl_.draw_call_fault();
        events_sent_ = 0;
        has_taken_state_ = false;
        if (fault_ == CallFault::rejected || fault_ == CallFault::rejected_truncated) return reject(503);
        const bool prefill = impl_.options.role == Role::prefill;
        // A hand-over cannot run without its state, whatever other fault it would meet.
        if (!prefill && !has_state) return reject(410);
        if (fault_ == CallFault::error) return finish(response(500, "", ""));
        if (fault_ == CallFault::error_truncated) {
            return send_part_and_stall(response(500, "", "something went wrong"));
        }
        if (fault_ == CallFault::reset_on_arrival) return end_connection(true);
        if (fault_ == CallFault::closed_on_arrival) return end_connection(false);
        busy_ = true;
        if (fault_ == CallFault::interim_ahead) stream_->send(kInterimResponse);
        if (fault_ == CallFault::waits_forever && !prefill) return;
        step_timer_.set({impl_.draw_between(2, 60) * 1000});
    }

    void continue_work() {
        if (!stream_) return;
        if (!busy_) return stream_->send(response(200, "", "another"));
        if (impl_.options.role == Role::prefill) return end_prefill();
        if (!has_taken_state_) return take_state();
        send_next_event();
    }

    // The hand-over takes its state only when it is its turn; until then it waits for the state.
    void take_state() {
        has_taken_state_ = impl_.held_states.fetch(request_, attempt_name());
        if (!has_taken_state_) return reject(410);
        impl_.record(ServerEvent::taken, request_, call_);
        if (fault_ == CallFault::never_answered) return;
        if (fault_ == CallFault::interim_only) return stream_->send(kInterimResponse);
        if (fault_ == CallFault::head_only) return stream_->send(fake_server::kEventStreamHead);
        if (fault_ == CallFault::chunk_size_only) {
            return stream_->send(std::string(fake_server::kEventStreamHead) + "40\r\n");
        }
        if (fault_ == CallFault::half_event) {
            const std::string whole = chunk(event(1, false));
            return stream_->send(fake_server::kEventStreamHead + whole.substr(0, whole.size() / 2));
        }
        step_timer_.set({impl_.draw_between(2, 30) * 1000});
    }

    void end_prefill() {
        impl_.held_states.prefill_ended(request_, attempt_name());
        impl_.record(ServerEvent::held, request_, call_);
        if (fault_ == CallFault::never_answered) return;
        if (fault_ == CallFault::answer_lost) return end_connection(true);
        if (fault_ == CallFault::interim_only) return send_part_and_stall(kInterimResponse);
        const std::string answer =
            response(202, "Content-Type: application/json\r\n", R"({"cached_tokens":8})");
        if (fault_ == CallFault::answer_truncated) {
            stream_->send(answer.substr(0, random_prefix_length(answer)));
            return end_connection(false);
        }
        if (fault_ == CallFault::answer_half_sent) return send_part_and_stall(answer);
        if (fault_ == CallFault::answer_not_http) {
            stream_->send("%\x01 what is this\r\n\r\n");
            return;
        }
        finish(answer);
    }

    std::size_t random_prefix_length(const std::string& answer) {
        return static_cast<std::size_t>(impl_.draw_between(1, static_cast<std::int64_t>(answer.size()) - 1));
    }

    // The server has finished the call; a part of its answer is sent, and the connection stays open.
    void send_part_and_stall(const std::string& answer) {
        impl_.record(ServerEvent::ended, request_, call_);
        impl_.held_states.attempt_ended(request_, attempt_name());
        stream_->send(answer == kInterimResponse ? answer : answer.substr(0, random_prefix_length(answer)));
        busy_ = false;
        silenced_ = true;
    }

    std::string event(int number, bool last) const {
        return R"(data: {"choices":[{"index":0,"delta":{"content":")" + impl_.options.name + "/" +
               std::to_string(call_) + "/" + std::to_string(number) + R"("},"finish_reason":)" +
               (last ? R"("stop")" : "null") + "}]}\n\n";
    }

    void send_next_event() {
        if (fault_ == CallFault::answer_lost) return end_connection(true);
        if (fault_ == CallFault::answer_not_http && events_sent_ == 0) {
            stream_->send("%\x01 what is this\r\n\r\n");
            return;
        }
        if (events_sent_ == 0) stream_->send(fake_server::kEventStreamHead);
        if (events_sent_ == 1 && fault_ == CallFault::answer_half_sent) return;
        if (events_sent_ == 1 &&
            (fault_ == CallFault::resets_mid_stream || fault_ == CallFault::answer_truncated)) {
            return end_connection(fault_ == CallFault::resets_mid_stream);
        }
        ++events_sent_;
        if (events_sent_ < kEvents) {
            stream_->send(chunk(event(events_sent_, false)));
            const bool stalls = fault_ == CallFault::stalls && events_sent_ == 2;
            return step_timer_.set(
                {(stalls ? impl_.draw_between(200, 1200) : impl_.draw_between(2, 30)) * 1000});
        }
        finish(chunk(event(events_sent_, true)) +
               chunk("data: {\"choices\":[],\"usage\":{\"completion_tokens\":1}}\n\n") +
               chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    }

    void reject(int status) {
        impl_.record(ServerEvent::never_ran, request_, call_);
        impl_.held_states.attempt_ended(request_, attempt_name());
        if (fault_ == CallFault::rejected_truncated) {
            const std::string answer = response(status, kUnprocessedHeader, "not now");
            stream_->send(answer.substr(0, answer.size() - 3));
            busy_ = false;
            silenced_ = true;
            return;
        }
        read_next_call();
        stream_->send(response(status, kUnprocessedHeader, ""));
    }
    void finish(const std::string& bytes) {
        impl_.record(ServerEvent::ended, request_, call_);
        impl_.held_states.attempt_ended(request_, attempt_name());
        stream_->send(bytes);
        read_next_call();
        if (fault_ == CallFault::second_answer) step_timer_.set({impl_.draw_between(1, 12) * 1000});
    }
    void end_connection(bool reset) {
        impl_.record(ServerEvent::ended, request_, call_);
        impl_.held_states.attempt_ended(request_, attempt_name());
        impl_.drop(*this, reset);
    }
    void read_next_call() {
        busy_ = false;
        // Input behind this call is read after this callback.
        Impl* const impl = &impl_;
        impl_.loop.post([impl, self = this] {
            if (impl->connections.count(self) > 0) self->read_requests();
        });
    }

    static constexpr int kEvents = 5;

    Impl& impl_;
    std::unique_ptr<Stream> stream_;
    std::unique_ptr<http::Message> message_;
    std::string request_;
    std::uint64_t call_ = 0;
    CallFault fault_ = CallFault::none;
    bool busy_ = false;
    bool has_taken_state_ = false;  // the hand-over has taken its state
    bool silenced_ = false;         // nothing more is read from this connection or written to it
    int events_sent_ = 0;
    Timer step_timer_;
};

void ModelServer::Impl::drop(Connection& connection, bool reset) {
    const auto it = connections.find(&connection);
    if (it == connections.end()) return;
    if (reset) {
        Stream::reset(loop, connection.take_stream());
    } else {
        Stream::detach_and_close(loop, connection.take_stream(), true);
    }
    loop.delete_later(std::move(it->second));
    connections.erase(it);
}

ModelServer::ModelServer(Loop& loop, const ModelServerOptions& options)
    : impl_(std::make_unique<Impl>(loop, options)) {
    Impl* const impl = impl_.get();
    impl->listener = std::make_unique<Listener>(loop, Address::parse(options.listen), [impl](int fd) {
        auto connection = std::make_unique<Connection>(*impl, fd);
        Connection* const raw = connection.get();
        impl->connections.emplace(raw, std::move(connection));
    });
}

ModelServer::~ModelServer() = default;

void ModelServer::stop_answering(Duration span) { impl_->silent_until = impl_->loop.now() + span; }

Address ModelServer::address() const { return impl_->listener->address(); }

}  // namespace copperfront::soak
