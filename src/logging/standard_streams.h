// A process may be started with its standard streams closed. The system then gives their numbers to whatever
// is opened next, and a log line would be written into a connection.
#pragma once

namespace copperfront {

// Opens /dev/null for each of the three that is closed. To be called before anything else is opened.
void open_missing_standard_streams();

}  // namespace copperfront
