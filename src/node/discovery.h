// The list of model servers as discovery tells it: one call that waits follows the other. What can't be read,
// or goes backward, changes nothing and has the whole list asked for again; silence has an end.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "logging/log.h"
#include "net/address.h"
#include "net/loop.h"
#include "platform/registry.h"

namespace copperfront {

class Discovery {
  public:
    struct Events {
        // A list, or changes of it, has come as a whole.
        std::function<void(platform::News)> told;
        // Entries of servers that drain or are gone, of one still on its way.
        std::function<void(const platform::News&)> withdrawn;
        std::function<void()> missed;  // the watch is lost
    };
    // `most_bytes`: of one list.
    Discovery(Loop& loop, Events events, std::uint32_t seed, std::uint64_t most_bytes, Log& log);
    ~Discovery();

    // From now on at this address, the whole list first. The same address again changes nothing.
    void follow(const std::string& address);
    void stop();
    bool live() const { return live_; }

    // For whoever watches the gateway.
    struct Status {
        std::uint64_t index = 0;  // version of the list in hand; 0: none was taken
        std::size_t bytes = 0;    // of the answer that was taken last
        Instant confirmed;        // when an answer was taken last; zero: never
        std::uint64_t taken = 0;  // answers
        std::uint64_t lost = 0;   // calls without a usable answer
    };
    const Status& status() const { return status_; }

  private:
    class Call;
    friend class Call;

    void open_call();
    void answered(Call& call, bool keeps_open, platform::News news, std::size_t bytes);
    void lost(Call& call, const std::string& why);
    void drop(Call& call);
    void began(const Call& call);
    bool make_room();
    bool is_receiving() const;
    bool may_wait_longer(const Call& call) const;
    void watch_is_lost(const std::string& why);
    std::string target() const;

    Loop& loop_;
    const Events events_;
    const std::uint64_t most_bytes_;
    Log& log_;
    Status status_;
    std::minstd_rand chance_;
    std::string text_;
    Address address_;
    // While it is live: the watch. Else each asks for the whole list, and the first to be answered goes on as
    // the watch.
    std::vector<std::unique_ptr<Call>> calls_;
    bool live_ = false, complained_ = false;
    std::uint64_t index_ = 0;
    Timer again_;
};

}  // namespace copperfront
