// One client of a soak run: sends requests to gateways over connections that it keeps for as long as they
// stay open, leaves some of them early in every way a client can, and records what it was answered.
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

// What a client may know of the gateways, as a load balancer in front of them tells it.
class GatewayDirectory {
  public:
    virtual ~GatewayDirectory() = default;
    virtual std::size_t gateway_count() const = 0;
    virtual bool takes_connections(std::size_t gateway) const = 0;
    virtual Address gateway_address(std::size_t gateway) const = 0;
    virtual std::uint32_t gateway_life(std::size_t gateway) const = 0;
};

class LoadClient : private Stream::Owner {
  public:
    LoadClient(Loop& loop, const GatewayDirectory& gateways, std::vector<RequestRecord>& records,
               std::string name, std::uint32_t seed);
    ~LoadClient() override;

    void start() { think_.set({0}); }
    // Sends nothing more; what is open goes on.
    void stop() { stopped_ = true; }
    bool is_idle() const { return waiting_.empty(); }

  private:
    enum class Leaving { stays, closes, resets, ends_sending };
    struct Waiting {
        std::size_t record = 0;
        std::unique_ptr<http::Message> answer;
        std::string body;
    };

    void stream_made(Stream&) override;
    void bytes_came(Stream&) override;
    void stream_closed(Stream&, Closing why, const std::string& what) override;

    void go_on();
    void connect();
    void send_requests();
    std::string next_request(bool behind_another);
    bool read_answer();
    void finish(Fate fate);
    void leave();
    void give_up_waiting();
    void rest();
    void drop_connection(bool reset);
    std::int64_t between(std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(chance_);
    }
    RequestRecord& record_of(const Waiting& waiting) { return records_[waiting.record]; }

    Loop& loop_;
    const GatewayDirectory& gateways_;
    std::vector<RequestRecord>& records_;
    const std::string name_;
    std::minstd_rand chance_;
    std::unique_ptr<Stream> stream_;
    std::size_t gateway_ = 0;
    std::uint32_t gateway_life_ = 0;
    bool fresh_ = true, stopped_ = false;
    std::deque<Waiting> waiting_;  // in the order in which they were sent
    std::uint64_t sent_ = 0;
    Leaving leaving_ = Leaving::stays;
    std::string rest_of_request_;
    Timer think_, leave_, patience_, rest_later_;
};

}  // namespace copperfront::soak
