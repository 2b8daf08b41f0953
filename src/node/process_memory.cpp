#include "node/process_memory.h"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <array>
#include <cstdio>

namespace copperfront {
namespace {

// Size, resident pages and more, as decimal numbers in one line.
constexpr const char* kStatmFile = "/proc/self/statm";

}  // namespace

std::size_t resident_memory() {
    const int file = open(kStatmFile, O_RDONLY | O_CLOEXEC);
    if (file < 0) return 0;
    std::array<char, 128> text{};
    const ssize_t length = read(file, text.data(), text.size() - 1);
    close(file);
    unsigned long size = 0, resident = 0;
    if (length <= 0 || std::sscanf(text.data(), "%lu %lu", &size, &resident) != 2) return 0;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

void trim_process_memory() { malloc_trim(0); }

}  // namespace copperfront
