#include "logging/log.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/rotating_file_sink.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "logging/standard_error.h"

namespace copperfront {
namespace {

spdlog::level::level_enum level_of(Severity severity) {
    switch (severity) {
        case Severity::trace:
            return spdlog::level::trace;
        case Severity::debug:
            return spdlog::level::debug;
        case Severity::info:
            return spdlog::level::info;
        case Severity::warn:
            return spdlog::level::warn;
        case Severity::error:
            return spdlog::level::err;
    }
    return spdlog::level::info;
}

// Returns the wall clock of the first line, advanced by the monotonic clock: lines stay in order when the
// wall clock is stepped.
spdlog::log_clock::time_point monotonic_wall_time() {
    static const auto wall_at_start = spdlog::log_clock::now();
    static const auto monotonic_at_start = std::chrono::steady_clock::now();
    const auto elapsed = std::chrono::steady_clock::now() - monotonic_at_start;
    return wall_at_start + std::chrono::duration_cast<spdlog::log_clock::duration>(elapsed);
}

std::string to_json_string(std::string_view text) {
    return nlohmann::json(std::string(text)).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

Log::Log(const std::string& level, const std::string& format, const std::string& file, std::size_t file_bytes,
         std::size_t files)
    : json_(format != "text") {
    try {
        spdlog::sink_ptr sink;
        if (file.empty()) {
            standard_error_ = std::make_shared<StandardErrorSink>();
            sink = standard_error_;
        } else {
            sink = std::make_shared<spdlog::sinks::rotating_file_sink_st>(file, file_bytes, files);
        }
        logger_ = std::make_shared<spdlog::logger>("copperfront", sink);
    } catch (const spdlog::spdlog_ex& error) {
        throw std::runtime_error("cannot write the log: " + std::string(error.what()));
    }
    logger_->set_pattern(json_ ? "{\"time\":\"%Y-%m-%dT%H:%M:%S.%e%z\",\"level\":\"%l\",%v}"
                               : "%H:%M:%S.%e %^%-5l%$ %v");
    logger_->set_level(spdlog::level::from_str(level));
    logger_->flush_on(spdlog::level::info);
}

Log::~Log() { logger_->flush(); }

bool Log::is_enabled(Severity severity) const { return logger_->should_log(level_of(severity)); }

void Log::set_level(const std::string& level) { logger_->set_level(spdlog::level::from_str(level)); }

void Log::flush() { logger_->flush(); }

void Log::log(Severity severity, std::string_view component, std::string_view message,
              std::initializer_list<Field> fields) {
    if (!is_enabled(severity)) return;
    report_dropped_lines();
    write_record(severity, component, message, fields);
}

void Log::report_dropped_lines() {
    const std::uint64_t dropped_lines = standard_error_ ? standard_error_->dropped_lines() : 0;
    if (dropped_lines == reported_dropped_lines_ || !standard_error_->is_writable()) return;
    write_record(Severity::warn, "log", "log lines could not be written",
                 {{"lines", static_cast<std::int64_t>(dropped_lines - reported_dropped_lines_)}});
    reported_dropped_lines_ = dropped_lines;
}

void Log::write_record(Severity severity, std::string_view component, std::string_view message,
                       std::initializer_list<Field> fields) {
    std::string line =
        json_ ? "\"package\":" + to_json_string(component) + ",\"what\":" + to_json_string(message)
              : std::string(component) + ": " + std::string(message);
    for (const auto& [name, value] : fields) {
        std::string value_text;
        if (const auto* text = std::get_if<std::string>(&value))
            value_text = json_ || text->find(' ') != std::string::npos || text->empty()
                             ? to_json_string(*text)
                             : *text;
        else if (const auto* integer = std::get_if<std::int64_t>(&value))
            value_text = std::to_string(*integer);
        else
            value_text = nlohmann::json(std::get<double>(value)).dump();
        line += json_ ? ",\"" + std::string(name) + "\":" + value_text
                      : " " + std::string(name) + "=" + value_text;
    }
    logger_->log(monotonic_wall_time(), spdlog::source_loc{}, level_of(severity),
                 spdlog::string_view_t(line));
}

}  // namespace copperfront
