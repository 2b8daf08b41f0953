// Interface to the file system as the trace writer uses it, so that tests can simulate a failing disk.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace copperfront::trace {

class OutputFile {
  public:
    virtual ~OutputFile() = default;
    // Returns false if not all bytes were written, with the reason in `why`; `truncate` may still remove the
    // partial write.
    virtual bool append(std::string_view bytes, std::string& why) = 0;
    virtual bool truncate(std::uint64_t size, std::string& why) = 0;
    // What was appended so far survives a loss of power once this returns true.
    virtual bool sync(std::string& why) = 0;
};

class Disk {
  public:
    struct FileEntry {
        std::string name;  // without its folder
        std::uint64_t bytes = 0;
    };
    virtual ~Disk() = default;
    // Returns null if the file cannot be created or already exists.
    virtual std::unique_ptr<OutputFile> create(const std::string& path, std::string& why) = 0;
    // Returns the files of a folder, sorted by name; empty if it cannot be read.
    virtual std::vector<FileEntry> list(const std::string& folder) = 0;
    virtual bool remove(const std::string& path, std::string& why) = 0;
};

// The file system of this machine.
class RealDisk : public Disk {
  public:
    std::unique_ptr<OutputFile> create(const std::string& path, std::string& why) override;
    std::vector<FileEntry> list(const std::string& folder) override;
    bool remove(const std::string& path, std::string& why) override;
};
// Standard output; it cannot be truncated.
std::unique_ptr<OutputFile> standard_output();

}  // namespace copperfront::trace
