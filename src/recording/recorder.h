// Records what a peer saw on its own sockets, one JSON object per line, stamped with the machine's monotonic
// clock. Each record is written at once, so that a kill loses at most the one being written; an end mark
// distinguishes a complete file from a torn one.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace copperfront {

class Recorder {
  public:
    // An empty path disables recording. Throws std::runtime_error if the file cannot be opened. Appends, so
    // that a restarted process continues the same file.
    explicit Recorder(const std::string& path);
    ~Recorder();
    Recorder(const Recorder&) = delete;
    Recorder& operator=(const Recorder&) = delete;

    bool on() const { return fd_ >= 0; }
    // Writes `event` as "e" and the present time in microseconds as "t".
    void note(std::string_view event, nlohmann::json fields = nlohmann::json::object());
    // Writes the end mark; nothing may be recorded after it.
    void end();

  private:
    int fd_ = -1;
    bool write_failed_ = false;
};

// One record as read from a file.
struct Record {
    std::int64_t at = 0;  // microseconds
    std::string event;
    nlohmann::json fields;
    std::size_t line = 0;
};

struct RecordFile {
    std::string name;  // file name without folder and extension
    std::vector<Record> records;
    std::size_t torn = 0;  // lines that could not be read
    bool ended = false;    // the last run of the process wrote its end mark
};

// Throws std::runtime_error if a file cannot be opened.
RecordFile read_records(const std::string& path);

}  // namespace copperfront
