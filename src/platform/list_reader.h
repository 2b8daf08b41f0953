// Incremental parser for a list of model servers. Each entry is parsed as soon as it is complete, so a long
// list is neither buffered as a whole nor parsed in one long turn of the event loop. No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "platform/registry.h"

namespace copperfront::platform {

class ServerListReader {
  public:
    // Parses the next bytes. Throws BadInput if they cannot be part of a list; take() may not be called after
    // that.
    void take(std::string_view bytes);
    // Returns the entries parsed since the last call whose servers are draining or removed. These are valid
    // whatever the rest of the list says.
    std::vector<ServerEntry> take_withdrawn();
    // Call once all bytes have been taken. Throws BadInput if they are not a list.
    ServerListUpdate finish();
    // Number of bytes taken so far.
    std::size_t bytes() const { return bytes_; }

  private:
    // Returns whether the next array is the "endpoints" member of the outermost object.
    bool follows_entries_key() const;
    // Returns whether the byte belongs to a string, its quotes included.
    bool is_in_string(char byte);
    void open_container(char byte);
    void close_container(char byte);
    void finish_entry(std::string_view last_piece);
    void append_to_envelope(char byte);

    ServerListUpdate update_;
    std::size_t bytes_ = 0;
    std::size_t next_withdrawn_ = 0;  // index of the next entry for take_withdrawn()
    int depth_ = 0;                   // nesting of objects and arrays
    bool in_string_ = false, escaped_ = false;
    bool in_entries_ = false, in_entry_ = false;
    std::string partial_entry_;  // bytes of the current entry from earlier pieces
    std::string envelope_;       // everything else, with a zero in place of each entry
};

}  // namespace copperfront::platform
