// Reads the settings object that the simulator and the platform pass at start. No other code reads it. No
// I/O.
#pragma once

#include "core/terms.h"
#include "interning/name_table.h"
#include "platform/json.h"

namespace copperfront::platform {

// Names used in the settings, in the order of their indices.
struct SettingNames {
    NameTable zones, kinds, categories, groups;
};

// Throws BadInput. New names are added to `names`; known ones keep their indices.
Terms read_terms(const Json& settings, SettingNames& names);

// Settings that concern only connections. 0: not configured.
struct ConnectionSettings {
    Duration idle_timeout;  // a server closes a connection that has been idle for this long
    double max_waiting = 0;
    Duration longest_deadline;  // longest of all categories
};
ConnectionSettings read_connection_settings(const Json& settings);

}  // namespace copperfront::platform
