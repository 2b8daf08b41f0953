// Reads a list of model servers as its bytes come. Each entry is read once its last byte is there, so a long
// list takes no second copy of itself and no long turn of the event loop. Free of I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "platform/registry.h"

namespace copperfront::platform {

class ListReader {
  public:
    // The next bytes. Throws BadInput where no list can come of them; nothing may be taken after that.
    void take(std::string_view bytes);
    // Entries that were read since the last call and tell that a server drains or is gone. They hold whatever
    // the rest of the list says.
    std::vector<Entry> take_withdrawn();
    // All bytes are there. Throws BadInput where they make no list.
    News finish();
    // Taken so far.
    std::size_t bytes() const { return bytes_; }

  private:
    // The member of the outermost object in which entries stand.
    bool at_entries() const;
    // Whether the byte lies within a string, its quotes included.
    bool is_in_string(char byte);
    void open(char byte);
    void close(char byte);
    void end_entry(std::string_view last_part);
    void keep(char byte);

    News news_;
    std::size_t bytes_ = 0;
    std::size_t looked_at_ = 0;  // entries, by take_withdrawn
    int depth_ = 0;              // of objects and arrays
    bool in_string_ = false, escaped_ = false;
    bool in_entries_ = false, in_entry_ = false;
    std::string entry_;  // the part of the present entry that came in earlier pieces
    std::string frame_;  // all else, with a zero in the place of each entry
};

}  // namespace copperfront::platform
