// Stores the last list of servers across restarts: written to a new file, synced and renamed, so that a kill
// at any moment leaves either the old list or the new one.
#pragma once

#include <optional>
#include <string>

#include "rpc/wire.h"

namespace copperfront {

class ServerListStore {
  public:
    // With an empty folder name nothing is stored. Throws std::runtime_error if the folder cannot be created.
    explicit ServerListStore(std::string folder);

    // Returns nothing if no list is stored. A damaged file is renamed, and `error` says so.
    std::optional<rpc::RosterUpdate> read(std::string& error);
    // Returns false, with the reason in `error`, if the list cannot be written.
    bool write(const rpc::RosterUpdate& snapshot, std::string& error);

  private:
    std::string folder_, file_;
};

}  // namespace copperfront
