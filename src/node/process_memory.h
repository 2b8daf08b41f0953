// The resident memory of this process, as the operating system reports it.
#pragma once

#include <cstddef>

namespace copperfront {

// In bytes; 0 if the system does not report it.
std::size_t resident_memory();
// Returns free memory of the allocator to the system.
void trim_process_memory();

}  // namespace copperfront
