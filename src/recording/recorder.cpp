#include "recording/recorder.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "net/loop.h"

namespace copperfront {

using Json = nlohmann::json;

Recorder::Recorder(const std::string& path) {
    if (path.empty()) return;
    fd_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd_ < 0) throw std::runtime_error("record " + path + " cannot be opened: " + std::strerror(errno));
    // After a kill in the middle of a line the next run must not append to that line.
    if (::lseek(fd_, 0, SEEK_END) > 0 && ::write(fd_, "\n", 1) != 1) write_failed_ = true;
}

Recorder::~Recorder() {
    if (fd_ >= 0) ::close(fd_);
}

void Recorder::note(std::string_view event, Json fields) {
    if (fd_ < 0 || write_failed_) return;
    fields["t"] = monotonic_clock_us();
    fields["e"] = event;
    const std::string line = fields.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
    // After a record that cannot be written the file ends; the missing end mark shows it.
    if (::write(fd_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) write_failed_ = true;
}

void Recorder::end() { note("end"); }

RecordFile read_records(const std::string& path) {
    RecordFile file;
    file.name = std::filesystem::path(path).stem().string();
    std::ifstream in(path);
    if (!in) throw std::runtime_error("record " + path + " cannot be opened");
    std::size_t number = 0;
    for (std::string line; std::getline(in, line);) {
        ++number;
        if (line.empty()) continue;
        Json parsed = Json::parse(line, nullptr, false);
        if (!parsed.is_object() || !parsed.contains("t") || !parsed["t"].is_number() ||
            !parsed.contains("e") || !parsed["e"].is_string()) {
            ++file.torn;
            continue;
        }
        Record record;
        record.at = parsed["t"].get<std::int64_t>();
        record.event = parsed["e"].get<std::string>();
        record.fields = std::move(parsed);
        record.line = number;
        file.ended = record.event == "end";
        file.records.push_back(std::move(record));
    }
    return file;
}

}  // namespace copperfront
