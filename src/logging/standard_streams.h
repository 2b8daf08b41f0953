// A process may be started with its standard streams closed. The system then reuses their descriptors for the
// next files opened, and log lines would be written into a connection.
#pragma once

namespace copperfront {

// Opens /dev/null for each standard stream that is closed. Must be called before anything else is opened.
void open_missing_standard_streams();

}  // namespace copperfront
