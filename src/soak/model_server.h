// A fake model server that runs as a process of its own, so that it can be stopped, killed and restarted
// beside gateways. It implements the platform's protocol, fails at random as model servers do, and records
// what it received. The states that prefills leave are files in a folder that all servers of a run share.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/terms.h"
#include "net/line_connection.h"
#include "net/loop.h"

namespace copperfront::soak {

struct ModelServerOptions {
    std::string name;
    Role role = Role::prefill;
    std::string listen = "127.0.0.1:0";
    std::string states_folder;
    std::string records_file;  // opened for appending
    std::uint32_t seed = 1;
    double fault_share = 0.05;  // share of the calls that meet a fault
};

class ModelServer {
  public:
    // Throws NetworkError if it cannot listen, std::runtime_error if its files cannot be opened.
    ModelServer(Loop& loop, const ModelServerOptions& options);
    ~ModelServer();
    ModelServer(const ModelServer&) = delete;
    ModelServer& operator=(const ModelServer&) = delete;
    Address address() const;
    // For this long calls are accepted and none is answered: hand-overs wait, prefills leave their state.
    void stop_answering(Duration span);

  private:
    class Connection;
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace copperfront::soak
