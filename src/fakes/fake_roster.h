// A fake roster: holds the list of servers, pushes changes to every gateway with a delay that differs between
// gateways, and records what it sent to which gateway.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/line_connection.h"
#include "recording/recorder.h"
#include "rpc/wire.h"

namespace copperfront::fake_server {

struct FakeRosterOptions {
    std::string listen = "127.0.0.1:0", record;
    std::uint32_t seed = 1;
    Duration min_delay{200000},
        max_delay{1000000};  // delay until a gateway learns of a change; drawn for each gateway
};

class FakeRoster {
  public:
    FakeRoster(Loop& loop, const FakeRosterOptions& identity);
    ~FakeRoster();
    Address address() const { return listener_.address(); }
    // Changes the true list. This makes a new version, which each gateway receives after its own delay.
    void change(const std::vector<rpc::RosterEntry>& entries);
    void stop();

  private:
    class Peer;
    struct Version {
        Instant at;
        std::vector<rpc::RosterEntry> changes;
    };
    void push_due_changes();
    void remove_peer(Peer& peer);
    Duration delay_of(const std::string& gateway);
    std::uint64_t version_for(const Peer& peer);
    std::vector<rpc::RosterEntry> list_at(std::uint64_t version) const;
    void record_update(const Peer& peer, const rpc::RosterUpdate& news);

    Loop& loop_;
    const FakeRosterOptions identity_;
    Recorder record_;
    Listener listener_;
    Timer push_timer_;
    std::vector<Version> versions_;  // version n is at index n - 1
    std::map<std::string, double> delay_draws_;
    Duration extra_delay_;  // added by the fault of a late roster
    std::uint64_t next_peer_ = 1;
    std::map<std::uint64_t, std::unique_ptr<Peer>> peers_;
};

}  // namespace copperfront::fake_server
