#include "soak/load_client.h"

#include <sstream>
#include <utility>

namespace copperfront::soak {
namespace {

constexpr std::int64_t kShortestDeadlineMs = 300, kLongestDeadlineMs = 3000;
constexpr std::int64_t kLeastTimeMs = 10;
constexpr int kLittleTimePercent = 5;
constexpr std::int64_t kThinkMs = 150;
// Past its deadline a request is waited for so long before it counts as never answered.
constexpr std::int64_t kPatienceMs = 1500;
constexpr int kPercent = 100;
constexpr int kLeavesPercent = 10, kPipelinesPercent = 4, kInPiecesPercent = 6, kNewConnectionPercent = 15;
constexpr std::int64_t kLeavesWithinMs = 400;
constexpr int kEventsOfAStream = 5;
constexpr std::size_t kAnswerBytes = 1 << 20;

struct ServiceClass {
    const char* name;
    Effect effect;
};
constexpr ServiceClass kClasses[] = {
    {"idempotent", Effect::pure}, {"deduplicated", Effect::receipted}, {"once", Effect::effectful}};

// Whole, in order, and of one attempt.
bool is_sound_stream(const std::string& body) {
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
    return events == kEventsOfAStream && body.find("data: [DONE]\n\n") != std::string::npos;
}

}  // namespace

LoadClient::LoadClient(Loop& loop, const GatewayDirectory& gateways, std::vector<RequestRecord>& records,
                       std::string name, std::uint32_t seed)
    : loop_(loop),
      gateways_(gateways),
      records_(records),
      name_(std::move(name)),
      chance_(seed),
      think_(loop, [this] { go_on(); }),
      leave_(loop, [this] { leave(); }),
      patience_(loop, [this] { give_up_waiting(); }),
      rest_later_(loop, [this] {
          if (stream_) stream_->send(std::exchange(rest_of_request_, {}));
      }) {}

LoadClient::~LoadClient() { Stream::hand_off(loop_, std::move(stream_), false); }

void LoadClient::rest() { think_.set({between(0, kThinkMs) * 1000}); }

void LoadClient::go_on() {
    if (stopped_ || !waiting_.empty()) return;
    if (stream_ && between(1, kPercent) <= kNewConnectionPercent) drop_connection(false);
    if (stream_) return send_requests();
    connect();
}

void LoadClient::connect() {
    const std::size_t count = gateways_.gateway_count();
    const auto first = static_cast<std::size_t>(between(0, static_cast<std::int64_t>(count) - 1));
    for (std::size_t n = 0; n < count; ++n) {
        const std::size_t gateway = (first + n) % count;
        if (!gateways_.takes_connections(gateway)) continue;
        gateway_ = gateway;
        gateway_life_ = gateways_.gateway_life(gateway);
        fresh_ = true;
        stream_ = Stream::dial(loop_, gateways_.gateway_address(gateway), {0, 0}, *this);
        return;
    }
    rest();
}

void LoadClient::stream_made(Stream&) {
    if (!stopped_) send_requests();
}

std::string LoadClient::next_request(bool behind_another) {
    const ServiceClass& service = kClasses[between(0, std::size(kClasses) - 1)];
    const bool has_little_time = between(1, kPercent) <= kLittleTimePercent;
    const std::int64_t deadline_ms = has_little_time ? between(kLeastTimeMs, kShortestDeadlineMs)
                                                     : between(kShortestDeadlineMs, kLongestDeadlineMs);
    RequestRecord record;
    record.request = name_ + "x" + std::to_string(++sent_);
    record.effect = service.effect;
    record.gateway = gateway_;
    record.gateway_life = gateway_life_;
    record.sent = machine_clock_us();
    record.deadline = record.sent + deadline_ms * 1000;
    record.on_new_connection = fresh_;
    record.behind_another = behind_another;
    waiting_.emplace_back();
    waiting_.back().record = records_.size();
    records_.push_back(record);
    const std::string body = R"({"model":"chat","stream":true,"messages":[{"role":"user","content":")" +
                             std::string(static_cast<std::size_t>(between(10, 2000)), 'a') + R"("}]})";
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + record.request +
           "\r\nX-Service-Class: " + service.name + "\r\nX-Account: acme\r\nX-Session-Key: " + name_ +
           "\r\nX-Time-Left-Ms: " + std::to_string(deadline_ms) +
           "\r\nX-Facts: prompt_len=200,max_out=50\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

void LoadClient::send_requests() {
    std::string text = next_request(false);
    if (between(1, kPercent) <= kPipelinesPercent) text += next_request(true);
    patience_.set({(kLongestDeadlineMs + kPatienceMs) * 1000});
    if (between(1, kPercent) <= kInPiecesPercent) {
        const auto half = text.size() / 2;
        rest_of_request_ = text.substr(half);
        text.resize(half);
        rest_later_.set({between(1, 40) * 1000});
    }
    stream_->send(text);
    fresh_ = false;
    leaving_ = Leaving::stays;
    if (between(1, kPercent) > kLeavesPercent) return;
    leaving_ = static_cast<Leaving>(between(1, 3));
    leave_.set({between(0, kLeavesWithinMs) * 1000});
}

void LoadClient::leave() {
    if (!stream_ || waiting_.empty() || leaving_ == Leaving::stays) return;
    const Microseconds now = machine_clock_us();
    for (const Waiting& waiting : waiting_) {
        RequestRecord& record = record_of(waiting);
        record.fate = Fate::client_left;
        record.ended = now;
    }
    waiting_.clear();
    patience_.off();
    // One that ends its sending stays for a while to read.
    if (leaving_ == Leaving::ends_sending) Stream::hand_off_politely(loop_, std::move(stream_));
    drop_connection(leaving_ == Leaving::resets);
    rest();
}

void LoadClient::bytes_came(Stream&) {
    while (stream_ && stream_->held() > 0) {
        // Bytes that answer nothing.
        if (waiting_.empty()) return drop_connection(true);
        if (!read_answer()) return;
    }
}

// False: the connection is of no more use.
bool LoadClient::read_answer() {
    Waiting& waiting = waiting_.front();
    RequestRecord& record = record_of(waiting);
    if (record.first_byte == 0) record.first_byte = machine_clock_us();
    if (!waiting.answer) {
        waiting.answer = std::make_unique<http::Message>(
            http::Sort::answer, http::Bounds{8192, kAnswerBytes},
            [body = &waiting.body](std::string_view piece) { body->append(piece); });
    }
    stream_->drain(waiting.answer->take(stream_->front()));
    if (waiting.answer->trouble() != http::Trouble::none) {
        record.spoilt = true;
        finish(Fate::failed);
        drop_connection(true);
        rest();
        return false;
    }
    if (!waiting.answer->done()) return true;
    const http::Head head = waiting.answer->head();
    if (head.status / 100 == 1) {
        waiting.answer.reset();
        return true;
    }
    const bool completed = head.status == 200;
    if (completed) record.spoilt = !is_sound_stream(waiting.body);
    finish(completed                                  ? Fate::completed
           : head.status == 429 || head.status == 503 ? Fate::rejected
                                                      : Fate::failed);
    if (!head.keeps_open) {
        while (!waiting_.empty()) finish(Fate::closed_unanswered);
        drop_connection(false);
    }
    if (waiting_.empty()) {
        leaving_ = Leaving::stays;
        patience_.off();
        rest();
    }
    return stream_ != nullptr;
}

void LoadClient::finish(Fate fate) {
    RequestRecord& record = record_of(waiting_.front());
    record.fate = fate;
    record.ended = machine_clock_us();
    waiting_.pop_front();
}

void LoadClient::stream_closed(Stream&, Closing, const std::string&) {
    while (!waiting_.empty()) {
        const RequestRecord& record = record_of(waiting_.front());
        finish(record.first_byte != 0 ? Fate::broken : Fate::closed_unanswered);
    }
    patience_.off();
    drop_connection(false);
    rest();
}

void LoadClient::give_up_waiting() {
    // They stay open in the records.
    waiting_.clear();
    drop_connection(false);
    rest();
}

void LoadClient::drop_connection(bool reset) {
    leave_.off();
    rest_later_.off();
    rest_of_request_.clear();
    if (reset) {
        Stream::reset(loop_, std::move(stream_));
    } else {
        Stream::hand_off(loop_, std::move(stream_), false);
    }
}

}  // namespace copperfront::soak
