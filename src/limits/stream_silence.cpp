#include "limits/stream_silence.h"

#include <algorithm>

namespace copperfront {

// At twice the wanted time between tokens a late answer still has some value, so a stream at that pace is not
// broken.
Duration max_stream_silence(const Category& category, Duration budget) {
    return std::max(budget, category.token_gap * 2);
}

}  // namespace copperfront
