// Interprets responses of model servers: the outcome of an attempt, and the events of a stream. No I/O.
#pragma once

#include <string>
#include <string_view>

#include "core/router.h"
#include "http/message.h"

namespace copperfront::platform {

// Returns whether this response head starts an event stream: status 200, text/event-stream, chunked. Any
// other response gives the outcome of the attempt once its body is complete.
bool starts_event_stream(const http::Head& head);

// Returns the outcome for a complete response that is not a stream. `is_prefill`: the request went to a
// prefill server.
AttemptOutcome outcome_of(const http::Head& head, std::string_view body, bool is_prefill);

// Splits a stream into server-sent events. Parsing is strict: anything that is not an event does not come
// from a model server and is not forwarded.
class EventStreamParser {
  public:
    // Appends `bytes` and sets `complete_events` to the text of all events that are now complete, unchanged,
    // and `count` to the number of those with data. Returns false if the stream is malformed; nothing of
    // `bytes` past the last complete event counts then.
    bool take(std::string_view bytes, std::string& complete_events, std::size_t& count);
    // Returns whether the final event of the stream has been received, and nothing after it.
    bool finished() const { return finished_ && buffer_.empty(); }
    // Bytes that an incomplete event takes in memory.
    std::size_t memory_bytes() const { return buffer_.capacity(); }

  private:
    bool accept_line(std::string_view line);

    std::string buffer_;
    std::size_t scanned_ = 0;  // bytes of buffer_ whose lines have been checked
    bool finished_ = false, has_data_ = false;
};

}  // namespace copperfront::platform
