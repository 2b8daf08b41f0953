// The program's log: one JSON object a line for machines, or one plain line for people. Written with spdlog.
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

enum class Weight { trace, debug, info, warn, error };

class Log {
  public:
    using Field = std::pair<std::string_view, std::variant<std::string, double, std::int64_t>>;

    // `level` and `form` as in the terms file. An empty file: standard error, where a line that can't be
    // written at once is left out, and the number of those told once it can; else files are turned over by
    // size. Throws std::runtime_error where the file cannot be opened.
    Log(const std::string& level, const std::string& form, const std::string& file, std::size_t file_bytes,
        std::size_t files);
    ~Log();
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;

    void set_level(const std::string& level);
    bool writes(Weight weight) const;
    // `package` is who says it; `what` a plain sentence that stays the same, what varies goes into the
    // fields.
    void say(Weight weight, std::string_view package, std::string_view what,
             std::initializer_list<Field> fields = {});
    void flush();

  private:
    void write(Weight weight, std::string_view package, std::string_view what,
               std::initializer_list<Field> fields);
    void tell_lines_left_out();

    bool json_;
    std::shared_ptr<spdlog::logger> logger_;
    std::shared_ptr<StandardErrorSink> standard_error_;  // null: the log is a file
    std::uint64_t told_left_out_ = 0;                    // lines
};

}  // namespace copperfront
