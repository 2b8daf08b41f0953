// Frees the memory of a string. Clearing or reassigning one keeps its buffer, so that one long text would
// occupy its memory for as long as the object exists.
#pragma once

#include <string>

namespace copperfront {

inline void free_memory(std::string& text) { std::string().swap(text); }

}  // namespace copperfront
