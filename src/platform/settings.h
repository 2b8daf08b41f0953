// The one reader of the settings object that the simulator and the platform hand over at a start: its terms
// in our words. Free of I/O.
#pragma once

#include "core/terms.h"
#include "door/names.h"
#include "platform/json.h"

namespace copperfront::platform {

// Names of the settings in the order of their indices.
struct Named {
    Names zones, kinds, categories, groups;
};

// Throws BadInput. Names that are new are added; those that were known keep their indices.
Terms read_terms(const Json& env, Named& named);

// What concerns connections alone. 0: not told.
struct Links {
    Span idle;  // a server closes a connection that idle
    double most_held = 0;
    Span longest_wait;  // of any category
};
Links read_links(const Json& env);

}  // namespace copperfront::platform
