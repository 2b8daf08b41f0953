#include "gateway/server_list_store.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <stdexcept>

#include "interning/name_table.h"
#include "sexpr/tree.h"

namespace copperfront {
namespace {

constexpr std::size_t kMaxFileBytes = 64 << 20;
constexpr int kFormatVersion = 1;

std::string errno_text() { return std::strerror(errno); }

bool write_all(int fd, const std::string& text) {
    std::size_t done = 0;
    while (done < text.size()) {
        const ssize_t n = ::write(fd, text.data() + done, text.size() - done);
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

}  // namespace

ServerListStore::ServerListStore(std::string folder) : folder_(std::move(folder)) {
    if (folder_.empty()) return;
    std::error_code error;
    std::filesystem::create_directories(folder_, error);
    if (error) throw std::runtime_error("state folder " + folder_ + " cannot be made: " + error.message());
    file_ = folder_ + "/servers.json";
}

std::optional<rpc::RosterUpdate> ServerListStore::read(std::string& error) {
    if (file_.empty() || !std::filesystem::exists(file_)) return std::nullopt;
    std::string text;
    std::vector<Diagnostic> diagnostics;
    const auto set_aside = [&](const std::string& reason) -> std::optional<rpc::RosterUpdate> {
        const std::string damaged_file = file_ + ".damaged";
        std::rename(file_.c_str(), damaged_file.c_str());
        error = reason + "; set aside as " + damaged_file;
        return std::nullopt;
    };
    if (!read_file(file_, kMaxFileBytes, text, diagnostics)) return set_aside(diagnostics.front().message);
    const rpc::Json document = rpc::Json::parse(text, nullptr, false);
    if (!document.is_object() || rpc::number_or(document, "format") != kFormatVersion ||
        !document.contains("list"))
        return set_aside("not a list of servers of format 1");
    const std::string checksum = std::to_string(hash_of(document["list"].dump()));
    if (rpc::string_or(document, "sum") != checksum) return set_aside("its checksum does not match");
    auto update = rpc::read_roster_update(document["list"]);
    if (const auto* problem = std::get_if<std::string>(&update)) return set_aside(*problem);
    return std::get<rpc::RosterUpdate>(std::move(update));
}

bool ServerListStore::write(const rpc::RosterUpdate& snapshot, std::string& error) {
    if (file_.empty()) return true;
    const rpc::Json list = rpc::roster_update_json(snapshot);
    const rpc::Json document = {
        {"format", kFormatVersion}, {"sum", std::to_string(hash_of(list.dump()))}, {"list", list}};
    const std::string new_file = file_ + ".new";
    const int fd = ::open(new_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (fd < 0) {
        error = new_file + ": " + errno_text();
        return false;
    }
    const bool written = write_all(fd, document.dump() + "\n") && ::fdatasync(fd) == 0;
    if (!written) error = new_file + ": " + errno_text();
    ::close(fd);
    if (written && std::rename(new_file.c_str(), file_.c_str()) == 0) return true;
    if (written) error = file_ + ": " + errno_text();
    return false;
}

}  // namespace copperfront
