#include "logging/standard_streams.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <initializer_list>

namespace copperfront {

void open_missing_standard_streams() {
    for (const int stream : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        const bool closed = fcntl(stream, F_GETFD) < 0 && errno == EBADF;
        // open() returns the lowest free descriptor, which is this one.
        if (closed) open("/dev/null", O_RDWR);
    }
}

}  // namespace copperfront
