#include "trace/disk.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>

namespace copperfront::trace {
namespace {

class PosixOutputFile : public OutputFile {
  public:
    PosixOutputFile(int fd, bool owned) : fd_(fd), owned_(owned) {}
    ~PosixOutputFile() override {
        if (owned_) ::close(fd_);
    }
    PosixOutputFile(const PosixOutputFile&) = delete;
    PosixOutputFile& operator=(const PosixOutputFile&) = delete;
    bool append(std::string_view bytes, std::string& why) override {
        while (!bytes.empty()) {
            const ssize_t n = ::write(fd_, bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR) continue;
            if (n <= 0) {
                why = std::strerror(errno);
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }
    bool truncate(std::uint64_t size, std::string& why) override {
        if (::ftruncate(fd_, static_cast<off_t>(size)) == 0 && ::lseek(fd_, 0, SEEK_END) >= 0) return true;
        why = std::strerror(errno);
        return false;
    }
    bool sync(std::string& why) override {
        if (::fdatasync(fd_) == 0) return true;
        why = std::strerror(errno);
        return false;
    }

  private:
    int fd_;
    bool owned_;
};

}  // namespace

std::unique_ptr<OutputFile> RealDisk::create(const std::string& path, std::string& why) {
    const int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0640);
    if (fd >= 0) return std::make_unique<PosixOutputFile>(fd, true);
    why = path + ": " + std::strerror(errno);
    return nullptr;
}

std::vector<Disk::FileEntry> RealDisk::list(const std::string& folder) {
    std::vector<FileEntry> out;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
        std::error_code entry_error;
        if (!entry.is_regular_file(entry_error)) continue;
        const auto size = entry.file_size(entry_error);
        if (!entry_error) out.push_back({entry.path().filename().string(), static_cast<std::uint64_t>(size)});
    }
    std::sort(out.begin(), out.end(), [](const FileEntry& a, const FileEntry& b) { return a.name < b.name; });
    return out;
}

bool RealDisk::remove(const std::string& path, std::string& why) {
    if (::unlink(path.c_str()) == 0) return true;
    why = path + ": " + std::strerror(errno);
    return false;
}

std::unique_ptr<OutputFile> standard_output() {
    return std::make_unique<PosixOutputFile>(STDOUT_FILENO, false);
}

}  // namespace copperfront::trace
