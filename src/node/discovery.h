// Client of the discovery agent, which reports the list of model servers. The watch is the long poll for
// changes after the last accepted response; while there is none, the whole list is requested repeatedly. A
// response that is malformed or has an older version changes nothing, and the whole list is requested again,
// as it is when the agent does not answer in time.
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
    struct Callbacks {
        // A list, or changes of it, has been received completely.
        std::function<void(platform::ServerListUpdate)> list_received;
        // Entries of draining or removed servers, of a list that is still being received.
        std::function<void(const platform::ServerListUpdate&)> servers_withdrawn;
        std::function<void()> watch_lost;
    };
    Discovery(Loop& loop, Callbacks callbacks, std::uint32_t seed, std::uint64_t max_list_bytes, Log& log);
    ~Discovery();

    // Watches the agent at this address from now on, starting with the whole list. Does nothing if this is
    // the present address.
    void follow(const std::string& address);
    void stop();
    bool has_watch() const { return has_watch_; }

    // For the status log.
    struct Status {
        std::uint64_t index = 0;         // version of the present list; 0: none was accepted
        std::size_t bytes = 0;           // of the response accepted last
        Instant last_response_at;        // when a response was accepted last; zero: never
        std::uint64_t responses = 0;     // accepted
        std::uint64_t failed_calls = 0;  // without a usable response
    };
    const Status& status() const { return status_; }

  private:
    class Call;
    friend class Call;

    void open_call();
    void response_received(Call& call, bool keep_alive, platform::ServerListUpdate news, std::size_t bytes);
    void call_failed(Call& call, const std::string& why);
    void drop(Call& call);
    void response_started(const Call& call);
    bool make_room();
    bool is_receiving() const;
    bool may_wait_longer(const Call& call) const;
    void log_watch_lost(const std::string& why);
    std::string target() const;

    Loop& loop_;
    const Callbacks callbacks_;
    const std::uint64_t max_list_bytes_;
    Log& log_;
    Status status_;
    std::minstd_rand random_;
    std::string address_text_;
    Address address_;
    // While has_watch_: the watch. Otherwise each call requests the whole list, and the first one to be
    // answered becomes the watch.
    std::vector<std::unique_ptr<Call>> calls_;
    bool has_watch_ = false, loss_logged_ = false;
    std::uint64_t index_ = 0;
    Timer retry_timer_;
};

}  // namespace copperfront
