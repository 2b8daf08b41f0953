// Files as a trace is written to them, so that a disk that fails can be played.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace copperfront::trace {

class Out {
  public:
    virtual ~Out() = default;
    // False: not all of it is there, and `why` tells; `truncate` may still take the rest away.
    virtual bool append(std::string_view bytes, std::string& why) = 0;
    virtual bool truncate(std::uint64_t size, std::string& why) = 0;
    // What was appended outlives a loss of power from here on.
    virtual bool sync(std::string& why) = 0;
};

class Disk {
  public:
    struct Kept {
        std::string name;  // without its folder
        std::uint64_t bytes = 0;
    };
    virtual ~Disk() = default;
    // Null: it cannot be created, or is there already.
    virtual std::unique_ptr<Out> create(const std::string& path, std::string& why) = 0;
    // Of a folder, by name; empty where it cannot be read.
    virtual std::vector<Kept> list(const std::string& folder) = 0;
    virtual bool remove(const std::string& path, std::string& why) = 0;
};

// The machine's own.
class RealDisk : public Disk {
  public:
    std::unique_ptr<Out> create(const std::string& path, std::string& why) override;
    std::vector<Kept> list(const std::string& folder) override;
    bool remove(const std::string& path, std::string& why) override;
};
// Standard output; it cannot be truncated.
std::unique_ptr<Out> standard_output();

}  // namespace copperfront::trace
