// The program's log, written with spdlog: one JSON object per line, or plain text lines.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace spdlog {
class logger;
}

namespace copperfront {

class StandardErrorSink;

enum class Severity { trace, debug, info, warn, error };

class Log {
  public:
    using Field = std::pair<std::string_view, std::variant<std::string, double, std::int64_t>>;

    // `level` and `format` are as in the terms file. An empty `file` means standard error, where a line that
    // can't be written immediately is dropped, and the number of dropped lines is logged as soon as writing
    // is possible again. Otherwise files are rotated by size. Throws std::runtime_error if the file cannot be
    // opened.
    Log(const std::string& level, const std::string& format, const std::string& file, std::size_t file_bytes,
        std::size_t files);
    ~Log();
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;

    void set_level(const std::string& level);
    bool is_enabled(Severity severity) const;
    // `component` names the source of the message. `message` is a constant text; variable data goes into the
    // fields.
    void log(Severity severity, std::string_view component, std::string_view message,
             std::initializer_list<Field> fields = {});
    void flush();

  private:
    void write_record(Severity severity, std::string_view component, std::string_view message,
                      std::initializer_list<Field> fields);
    void report_dropped_lines();

    bool json_;
    std::shared_ptr<spdlog::logger> logger_;
    std::shared_ptr<StandardErrorSink> standard_error_;  // null if the log is a file
    std::uint64_t reported_dropped_lines_ = 0;           // dropped lines already reported
};

}  // namespace copperfront
