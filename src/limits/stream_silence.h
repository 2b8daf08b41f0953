// Decides when a stream that has begun counts as broken. The router sets no deadline for a begun stream and
// hears nothing of it until it ends, so a server whose last message is lost would keep its client waiting for
// ever. No I/O and no clock.
#pragma once

#include "core/terms.h"

namespace copperfront {

// The longest time that a begun stream may send nothing. It follows from existing settings: a client that
// waits at most `budget` for a first token does not wait longer for the next, unless the wanted pace of its
// category is slower than that.
Duration max_stream_silence(const Category& category, Duration budget);

}  // namespace copperfront
