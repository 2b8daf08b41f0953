#include "soak/load_client.h"

#include <sstream>
#include <utility>

namespace copperfront::soak {
namespace {

constexpr std::int64_t kShortestDeadlineMs = 300, kLongestDeadlineMs = 3000;
constexpr std::int64_t kMinDeadlineMs = 10;
constexpr int kMinDeadlinePercent = 5;
constexpr std::int64_t kMaxThinkTimeMs = 150;
// A request whose deadline has passed by this much counts as never answered.
constexpr std::int64_t kAnswerGraceMs = 1500;
constexpr int kPercent = 100;
constexpr int kDisconnectPercent = 10, kPipelinePercent = 4, kSplitPercent = 6, kNewConnectionPercent = 15;
constexpr std::int64_t kDisconnectWithinMs = 400;
constexpr int kEventsPerStream = 5;
constexpr std::size_t kMaxAnswerBytes = 1 << 20;

struct ServiceClass {
    const char* name;
    Effect effect;
};
constexpr ServiceClass kClasses[] = {
    {"idempotent", Effect::pure}, {"deduplicated", Effect::receipted}, {"once", Effect::effectful}};

// Whether the stream is complete, in order, and of one attempt.
bool is_intact_stream(const std::string& body) {
    const std::string start = R"("content":")";
    std::string attempt;
    int events = 0;
    for (std::size_t at = 0; (at = body.find(start, at)) != std::string::npos;) {
        at += start.size();
        const std::string content = body.substr(at, body.find('"', at) - at);
        const std::size_t slash = content.rfind('/');
        if (slash == std::string::npos) return false;
        if (events == 0) attempt = content.substr(0, slash);
        if (content.substr(0, slash) != attempt) return false;
        if (std::atoi(content.c_str() + slash + 1) != ++events) return false;
    }
    return events == kEventsPerStream && body.find("data: [DONE]\n\n") != std::string::npos;
}

}  // namespace

LoadClient::LoadClient(Loop& loop, const GatewayDirectory& gateways, std::vector<RequestRecord>& records,
                       std::string name, std::uint32_t seed)
    : loop_(loop),
      gateways_(gateways),
      records_(records),
      name_(std::move(name)),
      random_(seed),
      think_timer_(loop, [this] { send_or_connect(); }),
      disconnect_timer_(loop, [this] { disconnect_early(); }),
      answer_timer_(loop, [this] { stop_waiting(); }),
      remainder_timer_(loop, [this] {
          if (stream_) stream_->send(std::exchange(request_remainder_, {}));
      }) {}

LoadClient::~LoadClient() { Stream::detach_and_close(loop_, std::move(stream_), false); }

void LoadClient::schedule_next_request() { think_timer_.set({draw_between(0, kMaxThinkTimeMs) * 1000}); }

void LoadClient::send_or_connect() {
    if (stopped_ || !pending_.empty()) return;
    if (stream_ && draw_between(1, kPercent) <= kNewConnectionPercent) drop_connection(false);
    if (stream_) return send_requests();
    connect();
}

void LoadClient::connect() {
    const std::size_t count = gateways_.gateway_count();
    const auto first = static_cast<std::size_t>(draw_between(0, static_cast<std::int64_t>(count) - 1));
    for (std::size_t n = 0; n < count; ++n) {
        const std::size_t gateway = (first + n) % count;
        if (!gateways_.accepts_connections(gateway)) continue;
        gateway_ = gateway;
        gateway_life_ = gateways_.gateway_life(gateway);
        is_new_connection_ = true;
        stream_ = Stream::dial(loop_, gateways_.gateway_address(gateway), {0, 0}, *this);
        return;
    }
    schedule_next_request();
}

void LoadClient::stream_connected(Stream&) {
    if (!stopped_) send_requests();
}

std::string LoadClient::next_request(bool is_pipelined) {
    const ServiceClass& service = kClasses[draw_between(0, std::size(kClasses) - 1)];
    const bool has_short_deadline = draw_between(1, kPercent) <= kMinDeadlinePercent;
    const std::int64_t deadline_ms = has_short_deadline
                                         ? draw_between(kMinDeadlineMs, kShortestDeadlineMs)
                                         : draw_between(kShortestDeadlineMs, kLongestDeadlineMs);
    RequestRecord record;
    record.request = name_ + "x" + std::to_string(++sent_count_);
    record.effect = service.effect;
    record.gateway = gateway_;
    record.gateway_life = gateway_life_;
    record.sent = monotonic_clock_us();
    record.deadline = record.sent + deadline_ms * 1000;
    record.on_new_connection = is_new_connection_;
    record.is_pipelined = is_pipelined;
    pending_.emplace_back();
    pending_.back().record = records_.size();
    records_.push_back(record);
    const std::string body = R"({"model":"chat","stream":true,"messages":[{"role":"user","content":")" +
                             std::string(static_cast<std::size_t>(draw_between(10, 2000)), 'a') + R"("}]})";
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + record.request +
           "\r\nX-Service-Class: " + service.name + "\r\nX-Account: acme\r\nX-Session-Key: " + name_ +
           "\r\nX-Time-Left-Ms: " + std::to_string(deadline_ms) +
           "\r\nX-Facts: prompt_len=200,max_out=50\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

void LoadClient::send_requests() {
    std::string text = next_request(false);
    if (draw_between(1, kPercent) <= kPipelinePercent) text += next_request(true);
    answer_timer_.set({(kLongestDeadlineMs + kAnswerGraceMs) * 1000});
    if (draw_between(1, kPercent) <= kSplitPercent) {
        const auto half = text.size() / 2;
        request_remainder_ = text.substr(half);
        text.resize(half);
        remainder_timer_.set({draw_between(1, 40) * 1000});
    }
    stream_->send(text);
    is_new_connection_ = false;
    disconnect_mode_ = DisconnectMode::stays_connected;
    if (draw_between(1, kPercent) > kDisconnectPercent) return;
    disconnect_mode_ = static_cast<DisconnectMode>(draw_between(1, 3));
    disconnect_timer_.set({draw_between(0, kDisconnectWithinMs) * 1000});
}

void LoadClient::disconnect_early() {
    if (!stream_ || pending_.empty() || disconnect_mode_ == DisconnectMode::stays_connected) return;
    const Microseconds now = monotonic_clock_us();
    for (const PendingRequest& pending : pending_) {
        RequestRecord& record = record_of(pending);
        record.fate = RequestOutcome::client_left;
        record.ended = now;
    }
    pending_.clear();
    answer_timer_.cancel();
    // A client that only shuts down its sending side stays for a while to read.
    if (disconnect_mode_ == DisconnectMode::half_close) {
        Stream::detach_and_half_close(loop_, std::move(stream_));
    }
    drop_connection(disconnect_mode_ == DisconnectMode::reset_connection);
    schedule_next_request();
}

void LoadClient::bytes_received(Stream&) {
    while (stream_ && stream_->buffered() > 0) {
        // Bytes that belong to no request.
        if (pending_.empty()) return drop_connection(true);
        if (!read_answer()) return;
    }
}

// False: the connection cannot be used any more.
bool LoadClient::read_answer() {
    PendingRequest& pending = pending_.front();
    RequestRecord& record = record_of(pending);
    if (record.first_byte == 0) record.first_byte = monotonic_clock_us();
    if (!pending.answer) {
        pending.answer = std::make_unique<http::Message>(
            http::MessageKind::response, http::Bounds{8192, kMaxAnswerBytes},
            [body = &pending.body](std::string_view piece) { body->append(piece); });
    }
    stream_->drain(pending.answer->take(stream_->front()));
    if (pending.answer->error() != http::ParseError::none) {
        record.corrupted = true;
        finish(RequestOutcome::failed);
        drop_connection(true);
        schedule_next_request();
        return false;
    }
    if (!pending.answer->done()) return true;
    const http::Head head = pending.answer->head();
    if (head.status / 100 == 1) {
        pending.answer.reset();
        return true;
    }
    const bool completed = head.status == 200;
    if (completed) record.corrupted = !is_intact_stream(pending.body);
    finish(completed                                  ? RequestOutcome::completed
           : head.status == 429 || head.status == 503 ? RequestOutcome::rejected
                                                      : RequestOutcome::failed);
    if (!head.keep_alive) {
        while (!pending_.empty()) finish(RequestOutcome::closed_unanswered);
        drop_connection(false);
    }
    if (pending_.empty()) {
        disconnect_mode_ = DisconnectMode::stays_connected;
        answer_timer_.cancel();
        schedule_next_request();
    }
    return stream_ != nullptr;
}

void LoadClient::finish(RequestOutcome fate) {
    RequestRecord& record = record_of(pending_.front());
    record.fate = fate;
    record.ended = monotonic_clock_us();
    pending_.pop_front();
}

void LoadClient::stream_closed(Stream&, CloseReason, const std::string&) {
    while (!pending_.empty()) {
        const RequestRecord& record = record_of(pending_.front());
        finish(record.first_byte != 0 ? RequestOutcome::broken : RequestOutcome::closed_unanswered);
    }
    answer_timer_.cancel();
    drop_connection(false);
    schedule_next_request();
}

void LoadClient::stop_waiting() {
    // The requests stay open in the records.
    pending_.clear();
    drop_connection(false);
    schedule_next_request();
}

void LoadClient::drop_connection(bool reset) {
    disconnect_timer_.cancel();
    remainder_timer_.cancel();
    request_remainder_.clear();
    if (reset) {
        Stream::reset(loop_, std::move(stream_));
    } else {
        Stream::detach_and_close(loop_, std::move(stream_), false);
    }
}

}  // namespace copperfront::soak
