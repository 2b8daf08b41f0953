// Interning of external names: a name gets a small dense index, in order of first appearance, and is
// translated back to the same name on output. Does no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace copperfront {

// Returns the 64-bit FNV-1a hash of a name; 0 means no name. Sessions and shared prefixes are unbounded in
// number, so they are hashed, not interned. The same name has the same hash at every gateway.
inline std::uint64_t hash_of(std::string_view name) {
    if (name.empty()) return 0;
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return hash ? hash : 1;
}

// A table of interned names that only grows: for servers, zones, kinds, categories and client groups, whose
// number is bounded by the server list and the terms; not for names that clients can make up.
class NameTable {
  public:
    std::uint32_t intern(const std::string& name) {
        const auto [it, inserted] = index_.try_emplace(name, static_cast<std::uint32_t>(names_.size()));
        if (inserted) names_.push_back(name);
        return it->second;
    }
    // Null: the name is not in the table.
    const std::uint32_t* find(const std::string& name) const {
        const auto it = index_.find(name);
        return it == index_.end() ? nullptr : &it->second;
    }
    const std::string& name(std::uint32_t i) const { return names_[i]; }
    std::size_t size() const { return names_.size(); }

  private:
    std::unordered_map<std::string, std::uint32_t> index_;
    std::vector<std::string> names_;
};

}  // namespace copperfront
