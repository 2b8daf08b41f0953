// The processes of a soak run: gateways, fake model servers behind proxies, and discovery. Every fault that
// can be done to them is one method here, which notes its span for the judge.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "day/process.h"
#include "net/loop.h"
#include "soak/cpu_share.h"
#include "soak/fault_proxy.h"
#include "soak/load_client.h"
#include "soak/records.h"
#include "standin/platform.h"

namespace copperfront::soak {

struct FleetOptions {
    std::string program;          // this program, which servers are started from
    std::string gateway_program;  // that gateways are started from
    std::string folder;           // for configurations, logs and records
    std::uint32_t seed = 1;
    std::size_t gateways = 5, prefill_servers = 12, decode_servers = 12;
    // Entries of the list in all, where that is more than there are servers: each server then stands in it
    // under many names.
    std::size_t listed_servers = 0;
    double least_cpu_share = 1;  // of a core; each life of a gateway draws its own from there to one
    double server_fault_share = 0.05;
    std::string shim;                // a library to preload into gateways; empty: none
    std::string log_level = "info";  // of gateways
};

class Fleet : public GatewayDirectory {
  public:
    // Throws std::runtime_error or NetTrouble where something cannot be started.
    Fleet(Loop& loop, const FleetOptions& options, Records& records);
    ~Fleet() override;

    void start();
    // Whether all gateways and servers have said that they are ready.
    bool is_ready() const;
    bool gateways_have_exited() const;

    std::size_t gateway_count() const override { return gateways_.size(); }
    bool takes_connections(std::size_t gateway) const override;
    Address gateway_address(std::size_t gateway) const override;
    std::uint32_t gateway_life(std::size_t gateway) const override;

    // ---- faults of gateways
    // SIGTERM, the kill at the earliest time that the protocol allows, and a new start.
    void restart_gateway(std::size_t gateway);
    // SIGKILL without a word, and a new start.
    void crash_gateway(std::size_t gateway);
    // Another configuration, and SIGHUP.
    void reload_gateway(std::size_t gateway);
    // The process stands still.
    void pause_gateway(std::size_t gateway, Span span);
    // Reloads and shutdowns asked for in one moment, more than once each.
    void signal_series(std::size_t gateway);
    void stop_all_gateways();

    // ---- faults of model servers and the network
    std::size_t server_count() const { return servers_.size(); }
    bool is_prefill(std::size_t server) const;
    void pause_server(std::size_t server, Span span);
    void crash_server(std::size_t server);
    // Out of service for a while, as discovery tells.
    void drain_server(std::size_t server, Span span);
    void cut_off_server(std::size_t server, Span span);
    // A quarter of the servers drains in steps, is taken out of the list for a part of the time, and comes
    // back.
    void replace_quarter(std::size_t first, Span step);
    // It hangs, leaves the list, and comes back under other names, with its old places in the list given to
    // others.
    void rename_server(std::size_t server, Span hangs, Span out);
    // It runs, takes calls and says nothing of them for a while.
    void mute_server(std::size_t server);
    void silence_connections(std::size_t server, double share);
    void reset_connections(std::size_t server, double share);
    void slow_connections(std::size_t server, Span delay, Span span);

    // ---- faults of discovery
    void write_lists_slowly(std::size_t pieces, Span apart) {
        platform_->write_whole_lists_in_pieces(pieces, apart);
    }
    void indent_lists(bool indent) { platform_->indent_lists(indent); }
    void silence_discovery(Span span);
    void silence_watches() { platform_->watches_fall_silent(); }
    void reset_watches() { platform_->watches_are_reset(); }
    // At another address, which gateways learn from a new configuration.
    void move_discovery();

    // Ends every fault that is under way.
    void heal();
    // When discovery wrote what to which gateway.
    void note_written_lists();

  private:
    struct Gateway;
    struct Server;

    void start_gateway(std::size_t gateway);
    void start_server(std::size_t server);
    void write_configuration(std::size_t gateway);
    void share_cpu(std::size_t gateway);
    void gateway_ended(std::size_t gateway, int status);
    void server_ended(std::size_t server);
    void poll_ready(std::size_t gateway);
    void note_fault(std::size_t server, Span span);
    std::vector<std::string> names_of(std::size_t server) const;
    void list_server(std::size_t server);
    void withdraw(std::size_t server, const std::string& status, Span span);
    void after(Span span, std::function<void()> what);
    void signal(const std::string& process, int which) { processes_.signal(process, which); }

    Loop& loop_;
    const FleetOptions options_;
    Records& records_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::unique_ptr<standin::Platform> platform_;
    std::vector<std::unique_ptr<Timer>> timers_;
    bool stopping_ = false;
    Instant silent_until_;     // discovery
    bool cold_start_ = false;  // the list tells all servers as started just now
    day::Processes processes_;
};

}  // namespace copperfront::soak
