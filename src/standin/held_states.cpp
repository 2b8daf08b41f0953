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

const std::string kHolds = "holds.";
const std::string kWaits = "waits.";

// Identifiers become names of folders.
std::string safe_name(const std::string& id) {
    std::string name;
    for (const char c : id) {
        if (std::isalnum(static_cast<unsigned char>(c)) != 0) name.push_back(c);
    }
    return name.empty() ? "none" : name;
}

bool starts_with(const std::string& mark, const std::string& kind) { return mark.rfind(kind, 0) == 0; }

// What a process held and waited for has gone with it.
bool is_of_dead_process(const std::string& mark) {
    const std::size_t name = mark.find('.') + 1;
    const auto process = static_cast<pid_t>(std::atoll(mark.c_str() + name));
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

std::set<std::string> MemoryMarkStore::marks(const std::string& request) const {
    const auto it = marks_.find(request);
    return it == marks_.end() ? std::set<std::string>{} : it->second;
}

std::vector<std::string> MemoryMarkStore::requests() const {
    std::vector<std::string> found;
    for (const auto& [request, marks] : marks_) found.push_back(request);
    return found;
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

std::set<std::string> FolderMarkStore::marks(const std::string& request) const {
    std::set<std::string> found;
    std::error_code none;
    for (const auto& entry : std::filesystem::directory_iterator(folder_of(request), none)) {
        const std::string mark = entry.path().filename().string();
        if (!is_of_dead_process(mark)) found.insert(mark);
    }
    return found;
}

// ---- the model

void HeldStates::prefill_ended(const std::string& request, const std::string& attempt) {
    store_.add(request, kHolds + attempt);
}

bool HeldStates::has_mark(const std::string& request, const std::string& kind) const {
    const std::set<std::string> marks = store_.marks(request);
    return std::any_of(marks.begin(), marks.end(),
                       [&kind](const std::string& mark) { return starts_with(mark, kind); });
}

bool HeldStates::is_held(const std::string& request) const { return has_mark(request, kHolds); }

bool HeldStates::hand_over_arrived(const std::string& request, const std::string& attempt) {
    if (!is_held(request)) return false;
    store_.add(request, kWaits + attempt);
    return true;
}

bool HeldStates::fetch(const std::string& request, const std::string& attempt) {
    const bool taken = drop_states(request);
    attempt_over(request, attempt);
    return taken;
}

void HeldStates::attempt_over(const std::string& request, const std::string& attempt) {
    store_.remove(request, kWaits + attempt);
}

HeldStates::ReleaseEffect HeldStates::release(const std::string& request) {
    if (!is_held(request)) return ReleaseEffect::nothing_held;
    if (has_mark(request, kWaits)) return ReleaseEffect::kept;
    return drop_states(request) ? ReleaseEffect::let_go : ReleaseEffect::nothing_held;
}

// With its first event, or a release, all that is held for a request goes.
bool HeldStates::drop_states(const std::string& request) {
    bool any = false;
    for (const std::string& mark : store_.marks(request)) {
        if (starts_with(mark, kHolds)) any = store_.remove(request, mark) || any;
    }
    return any;
}

}  // namespace copperfront::standin
