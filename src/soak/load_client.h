// One client of a soak run: sends requests to gateways over connections that it keeps for as long as they
// stay open, disconnects early from some of them in every way a client can, and records the answers.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "http/message.h"
#include "net/loop.h"
#include "net/stream.h"
#include "soak/records.h"

namespace copperfront::soak {

// What a client may know of the gateways, as a load balancer in front of them would report it.
class GatewayDirectory {
  public:
    virtual ~GatewayDirectory() = default;
    virtual std::size_t gateway_count() const = 0;
    virtual bool accepts_connections(std::size_t gateway) const = 0;
    virtual Address gateway_address(std::size_t gateway) const = 0;
    virtual std::uint32_t gateway_life(std::size_t gateway) const = 0;
};

class LoadClient : private Stream::Owner {
  public:
    LoadClient(Loop& loop, const GatewayDirectory& gateways, std::vector<RequestRecord>& records,
               std::string name, std::uint32_t seed);
    ~LoadClient() override;

    void start() { think_timer_.set({0}); }
    // Sends no further requests; open ones continue.
    void stop() { stopped_ = true; }
    bool is_idle() const { return pending_.empty(); }

  private:
    enum class DisconnectMode { stays_connected, close_connection, reset_connection, half_close };
    struct PendingRequest {
        std::size_t record = 0;
        std::unique_ptr<http::Message> answer;
        std::string body;
    };

    void stream_connected(Stream&) override;
    void bytes_received(Stream&) override;
    void stream_closed(Stream&, CloseReason why, const std::string& what) override;

    void send_or_connect();
    void connect();
    void send_requests();
    std::string next_request(bool is_pipelined);
    bool read_answer();
    void finish(RequestOutcome fate);
    void disconnect_early();
    void stop_waiting();
    void schedule_next_request();
    void drop_connection(bool reset);
    std::int64_t draw_between(std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(random_);
    }
    RequestRecord& record_of(const PendingRequest& pending) { return records_[pending.record]; }

    Loop& loop_;
    const GatewayDirectory& gateways_;
    std::vector<RequestRecord>& records_;
    const std::string name_;
    std::minstd_rand random_;
    std::unique_ptr<Stream> stream_;
    std::size_t gateway_ = 0;
    std::uint32_t gateway_life_ = 0;
    bool is_new_connection_ = true, stopped_ = false;
    std::deque<PendingRequest> pending_;  // in the order in which they were sent
    std::uint64_t sent_count_ = 0;
    DisconnectMode disconnect_mode_ = DisconnectMode::stays_connected;
    std::string request_remainder_;
    Timer think_timer_, disconnect_timer_, answer_timer_, remainder_timer_;
};

}  // namespace copperfront::soak
