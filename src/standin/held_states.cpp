#include "standin/held_states.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <filesystem>

namespace copperfront::standin {
namespace {

const std::string kState = "state";
const std::string kWaits = "waits.";

// Identifiers become names of folders.
std::string safe_name(const std::string& id) {
    std::string name;
    for (const char c : id) {
        if (std::isalnum(static_cast<unsigned char>(c)) != 0) name.push_back(c);
    }
    return name.empty() ? "none" : name;
}

bool is_wait_of_dead_process(const std::string& mark) {
    if (mark.rfind(kWaits, 0) != 0) return false;
    const auto process = static_cast<pid_t>(std::atoll(mark.c_str() + kWaits.size()));
    return kill(process, 0) != 0 && errno == ESRCH;
}

}  // namespace

// ---- in one process

void MemoryMarkStore::add(const std::string& request, const std::string& mark) {
    marks_[request].insert(mark);
}

bool MemoryMarkStore::remove(const std::string& request, const std::string& mark) {
    const auto it = marks_.find(request);
    if (it == marks_.end() || it->second.erase(mark) == 0) return false;
    if (it->second.empty()) marks_.erase(it);
    return true;
}

bool MemoryMarkStore::has(const std::string& request, const std::string& mark) const {
    const auto it = marks_.find(request);
    return it != marks_.end() && it->second.count(mark) > 0;
}

std::set<std::string> MemoryMarkStore::marks(const std::string& request) const {
    const auto it = marks_.find(request);
    return it == marks_.end() ? std::set<std::string>{} : it->second;
}

std::size_t MemoryMarkStore::count(const std::string& mark) const {
    return static_cast<std::size_t>(std::count_if(
        marks_.begin(), marks_.end(), [&](const auto& one) { return one.second.count(mark) > 0; }));
}

// ---- in a folder

std::string FolderMarkStore::attempt_name(std::uint64_t call) {
    return std::to_string(getpid()) + "." + std::to_string(call);
}

std::string FolderMarkStore::folder_of(const std::string& request) const {
    return folder_ + "/" + safe_name(request);
}

void FolderMarkStore::add(const std::string& request, const std::string& mark) {
    mkdir(folder_of(request).c_str(), 0755);
    const int file = open((folder_of(request) + "/" + mark).c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
    if (file >= 0) close(file);
}

bool FolderMarkStore::remove(const std::string& request, const std::string& mark) {
    return unlink((folder_of(request) + "/" + mark).c_str()) == 0;
}

bool FolderMarkStore::has(const std::string& request, const std::string& mark) const {
    return access((folder_of(request) + "/" + mark).c_str(), F_OK) == 0;
}

std::set<std::string> FolderMarkStore::marks(const std::string& request) const {
    std::set<std::string> found;
    std::error_code none;
    for (const auto& entry : std::filesystem::directory_iterator(folder_of(request), none)) {
        const std::string mark = entry.path().filename().string();
        if (!is_wait_of_dead_process(mark)) found.insert(mark);
    }
    return found;
}

// ---- the model

void HeldStates::prefill_ended(const std::string& request) { store_.add(request, kState); }

bool HeldStates::is_held(const std::string& request) const { return store_.has(request, kState); }

bool HeldStates::hand_over_arrived(const std::string& request, const std::string& attempt) {
    if (!is_held(request)) return false;
    store_.add(request, kWaits + attempt);
    return true;
}

bool HeldStates::fetch(const std::string& request, const std::string& attempt) {
    const bool taken = store_.remove(request, kState);
    attempt_over(request, attempt);
    return taken;
}

void HeldStates::attempt_over(const std::string& request, const std::string& attempt) {
    store_.remove(request, kWaits + attempt);
}

HeldStates::ReleaseEffect HeldStates::release(const std::string& request) {
    if (!is_held(request)) return ReleaseEffect::nothing_held;
    for (const std::string& mark : store_.marks(request)) {
        if (mark.rfind(kWaits, 0) == 0) return ReleaseEffect::kept;
    }
    return store_.remove(request, kState) ? ReleaseEffect::let_go : ReleaseEffect::nothing_held;
}

}  // namespace copperfront::standin
