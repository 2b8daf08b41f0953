// The processes of a soak run: gateways, fake model servers behind proxies, and discovery. Every fault that
// can be injected is one method here, which records its interval for the judge.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_platform.h"
#include "net/loop.h"
#include "scenario/process.h"
#include "soak/cpu_share.h"
#include "soak/fault_proxy.h"
#include "soak/load_client.h"
#include "soak/records.h"

namespace copperfront::soak {

struct FleetOptions {
    std::string program;          // this program, which runs the model servers
    std::string gateway_program;  // the program that runs the gateways
    std::string folder;           // for configurations, logs and records
    std::uint32_t seed = 1;
    std::size_t gateways = 5, prefill_servers = 12, decode_servers = 12;
    // Total number of entries in the list, where that exceeds the number of servers: each server is then
    // listed under many names.
    std::size_t listed_servers = 0;
    std::size_t memory_mb = 192, descriptors = 512;  // limits of each gateway
    double least_cpu_share = 1;  // of a core; each life of a gateway draws its share from here to 1
    double server_fault_share = 0.05;
    std::string shim;                // a library to preload into gateways; empty: none
    std::string log_level = "info";  // of gateways
};

class Fleet : public GatewayDirectory {
  public:
    // Throws std::runtime_error or NetworkError if something cannot be started.
    Fleet(Loop& loop, const FleetOptions& options, Records& records);
    ~Fleet() override;

    void start();
    std::size_t descriptors() const { return options_.descriptors; }
    // Whether all gateways and servers have reported that they are ready.
    bool is_ready() const;
    bool gateways_have_exited() const;

    std::size_t gateway_count() const override { return gateways_.size(); }
    bool accepts_connections(std::size_t gateway) const override;
    Address gateway_address(std::size_t gateway) const override;
    std::uint32_t gateway_life(std::size_t gateway) const override;

    // ---- faults of gateways
    // SIGTERM, a SIGKILL at the earliest time that the protocol allows, and a new start.
    void restart_gateway(std::size_t gateway);
    // SIGKILL without warning, and a new start.
    void crash_gateway(std::size_t gateway);
    // Writes another configuration and sends SIGHUP.
    void reload_gateway(std::size_t gateway);
    // Stops the process with SIGSTOP for this long.
    void pause_gateway(std::size_t gateway, Duration duration);
    // Requests reloads and shutdowns at the same moment, more than once each.
    void signal_series(std::size_t gateway);
    void stop_all_gateways();

    // ---- faults of model servers and the network
    std::size_t server_count() const { return servers_.size(); }
    bool is_prefill(std::size_t server) const;
    void pause_server(std::size_t server, Duration duration);
    void crash_server(std::size_t server);
    // Discovery reports the server as draining for this long.
    void drain_server(std::size_t server, Duration duration);
    void cut_off_server(std::size_t server, Duration duration);
    // Withdraws a quarter of the servers one after another, every second of them by removing it from the
    // list, and lists them again later.
    void replace_quarter(std::size_t first, Duration step);
    // The server hangs, leaves the list and returns under other names; its old places in the list go to
    // others.
    void rename_server(std::size_t server, Duration hang_duration, Duration absence);
    // The process runs and accepts calls, but does not answer them for a while.
    void mute_server(std::size_t server);
    void silence_connections(std::size_t server, double share);
    void reset_connections(std::size_t server, double share);
    void slow_connections(std::size_t server, Duration delay, Duration duration);

    // ---- faults of discovery
    void write_lists_slowly(std::size_t pieces, Duration interval) {
        platform_->set_snapshot_pieces(pieces, interval);
    }
    void indent_lists(bool indent) { platform_->set_list_indent(indent); }
    void silence_discovery(Duration duration);
    void silence_watches() { platform_->silence_watches(); }
    void reset_watches() { platform_->reset_watches(); }
    // Moves discovery to another address, which gateways learn from a new configuration.
    void move_discovery();

    // Ends every fault that is in progress.
    void heal();
    // Records when discovery wrote which list to which gateway.
    void record_written_lists();

  private:
    struct Gateway;
    struct Server;

    void start_gateway(std::size_t gateway);
    void start_server(std::size_t server);
    void write_configuration(std::size_t gateway);
    void limit_cpu(std::size_t gateway);
    void sample_memory();
    void gateway_ended(std::size_t gateway, int status);
    void server_ended(std::size_t server);
    void poll_ready(std::size_t gateway);
    void record_fault(std::size_t server, Duration duration);
    std::vector<std::string> listed_names(std::size_t server) const;
    void list_server(std::size_t server);
    void withdraw(std::size_t server, const std::string& status, Duration duration);
    void after(Duration duration, std::function<void()> action);
    void signal(const std::string& process, int which) { processes_.signal(process, which); }

    Loop& loop_;
    const FleetOptions options_;
    Records& records_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::unique_ptr<fake_server::FakePlatform> platform_;
    std::vector<std::unique_ptr<Timer>> timers_;
    bool stopping_ = false;
    Instant discovery_silent_until_;
    bool cold_start_ = false;  // the list reports all servers as started just now
    scenario::ChildProcesses processes_;
};

}  // namespace copperfront::soak
