// What model servers answer, in our words: how an attempt has ended, and the events of a stream. Free of I/O.
#pragma once

#include <string>
#include <string_view>

#include "core/rules.h"
#include "http/message.h"

namespace copperfront::platform {

// Whether this head may begin a stream: 200, of events, in chunks. Anything else tells how the attempt ended
// once its body is there.
bool begins_stream(const http::Head& head);

// Of an answer that is whole and no stream. `reading`: it was sent to a reader.
Outcome outcome_of(const http::Head& head, std::string_view body, bool reading);

// Cuts a stream into events, strictly: what is no event was made by no model server, and is not passed on.
class Events {
  public:
    // False: the stream is spoilt, and nothing of `bytes` past the last whole event counts. `whole` gets all
    // events that are whole now, unchanged.
    bool take(std::string_view bytes, std::string& whole, std::size_t& count);
    // The event that ends a stream has come, and nothing after it.
    bool finished() const { return finished_ && held_.empty(); }

  private:
    bool line_is_well(std::string_view line);

    std::string held_;
    std::size_t scanned_ = 0;  // of held_: lines that were looked at
    bool finished_ = false, has_data_ = false;
};

}  // namespace copperfront::platform
