#include "fakes/held_states.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <filesystem>

namespace copperfront::fake_server {
namespace {

const std::string kHoldMarker = "holds.";
const std::string kWaitMarker = "waits.";

// Makes a folder name of an identifier.
std::string safe_name(const std::string& id) {
    std::string name;
    for (const char c : id) {
        if (std::isalnum(static_cast<unsigned char>(c)) != 0) name.push_back(c);
    }
    return name.empty() ? "none" : name;
}

bool starts_with(const std::string& marker, const std::string& kind) { return marker.rfind(kind, 0) == 0; }

// The states and waits of a process that has died are gone with it.
bool is_of_dead_process(const std::string& marker) {
    const std::size_t name = marker.find('.') + 1;
    const auto process = static_cast<pid_t>(std::atoll(marker.c_str() + name));
    return kill(process, 0) != 0 && errno == ESRCH;
}

}  // namespace

// ---- in one process

void MemoryMarkerStore::add(const std::string& request, const std::string& marker) {
    markers_[request].insert(marker);
}

bool MemoryMarkerStore::remove(const std::string& request, const std::string& marker) {
    const auto it = markers_.find(request);
    if (it == markers_.end() || it->second.erase(marker) == 0) return false;
    if (it->second.empty()) markers_.erase(it);
    return true;
}

std::set<std::string> MemoryMarkerStore::markers(const std::string& request) const {
    const auto it = markers_.find(request);
    return it == markers_.end() ? std::set<std::string>{} : it->second;
}

std::vector<std::string> MemoryMarkerStore::requests() const {
    std::vector<std::string> found;
    for (const auto& [request, markers] : markers_) found.push_back(request);
    return found;
}

// ---- in a folder

std::string FolderMarkerStore::attempt_name(std::uint64_t call) {
    return std::to_string(getpid()) + "." + std::to_string(call);
}

std::string FolderMarkerStore::folder_of(const std::string& request) const {
    return folder_ + "/" + safe_name(request);
}

void FolderMarkerStore::add(const std::string& request, const std::string& marker) {
    mkdir(folder_of(request).c_str(), 0755);
    const int file = open((folder_of(request) + "/" + marker).c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
    if (file >= 0) close(file);
}

bool FolderMarkerStore::remove(const std::string& request, const std::string& marker) {
    return unlink((folder_of(request) + "/" + marker).c_str()) == 0;
}

std::set<std::string> FolderMarkerStore::markers(const std::string& request) const {
    std::set<std::string> found;
    std::error_code none;
    for (const auto& entry : std::filesystem::directory_iterator(folder_of(request), none)) {
        const std::string marker = entry.path().filename().string();
        if (!is_of_dead_process(marker)) found.insert(marker);
    }
    return found;
}

// ---- the model

void HeldStates::prefill_ended(const std::string& request, const std::string& attempt) {
    store_.add(request, kHoldMarker + attempt);
}

bool HeldStates::has_marker(const std::string& request, const std::string& kind) const {
    const std::set<std::string> markers = store_.markers(request);
    return std::any_of(markers.begin(), markers.end(),
                       [&kind](const std::string& marker) { return starts_with(marker, kind); });
}

bool HeldStates::is_held(const std::string& request) const { return has_marker(request, kHoldMarker); }

bool HeldStates::hand_over_arrived(const std::string& request, const std::string& attempt) {
    if (!is_held(request)) return false;
    store_.add(request, kWaitMarker + attempt);
    return true;
}

bool HeldStates::fetch(const std::string& request, const std::string& attempt) {
    const bool taken = drop_states(request);
    attempt_ended(request, attempt);
    return taken;
}

void HeldStates::attempt_ended(const std::string& request, const std::string& attempt) {
    store_.remove(request, kWaitMarker + attempt);
}

HeldStates::ReleaseEffect HeldStates::release(const std::string& request) {
    if (!is_held(request)) return ReleaseEffect::nothing_held;
    if (has_marker(request, kWaitMarker)) return ReleaseEffect::kept;
    return drop_states(request) ? ReleaseEffect::released : ReleaseEffect::nothing_held;
}

// The first event of an answer, or a release, frees everything that is held for a request.
bool HeldStates::drop_states(const std::string& request) {
    bool any = false;
    for (const std::string& marker : store_.markers(request)) {
        if (starts_with(marker, kHoldMarker)) any = store_.remove(request, marker) || any;
    }
    return any;
}

}  // namespace copperfront::fake_server
