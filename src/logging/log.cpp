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

spdlog::level::level_enum level_of(Weight weight) {
    switch (weight) {
        case Weight::trace:
            return spdlog::level::trace;
        case Weight::debug:
            return spdlog::level::debug;
        case Weight::info:
            return spdlog::level::info;
        case Weight::warn:
            return spdlog::level::warn;
        case Weight::error:
            return spdlog::level::err;
    }
    return spdlog::level::info;
}

// The wall clock as it was at the first line, carried on by the monotonic one: lines stay in order where the
// wall clock is stepped.
spdlog::log_clock::time_point time_now() {
    static const auto wall_at_start = spdlog::log_clock::now();
    static const auto steady_at_start = std::chrono::steady_clock::now();
    const auto passed = std::chrono::steady_clock::now() - steady_at_start;
    return wall_at_start + std::chrono::duration_cast<spdlog::log_clock::duration>(passed);
}

std::string json_text(std::string_view text) {
    return nlohmann::json(std::string(text)).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

Log::Log(const std::string& level, const std::string& form, const std::string& file, std::size_t file_bytes,
         std::size_t files)
    : json_(form != "text") {
    try {
        spdlog::sink_ptr sink;
        if (file.empty()) {
            standard_error_ = std::make_shared<StandardErrorSink>();
            sink = standard_error_;
        } else {
            sink = std::make_shared<spdlog::sinks::rotating_file_sink_st>(file, file_bytes, files);
        }
        logger_ = std::make_shared<spdlog::logger>("copperfront", sink);
    } catch (const spdlog::spdlog_ex& trouble) {
        throw std::runtime_error("the log cannot be written: " + std::string(trouble.what()));
    }
    logger_->set_pattern(json_ ? "{\"time\":\"%Y-%m-%dT%H:%M:%S.%e%z\",\"level\":\"%l\",%v}"
                               : "%H:%M:%S.%e %^%-5l%$ %v");
    logger_->set_level(spdlog::level::from_str(level));
    logger_->flush_on(spdlog::level::info);
}

Log::~Log() { logger_->flush(); }

bool Log::writes(Weight weight) const { return logger_->should_log(level_of(weight)); }

void Log::set_level(const std::string& level) { logger_->set_level(spdlog::level::from_str(level)); }

void Log::flush() { logger_->flush(); }

void Log::say(Weight weight, std::string_view package, std::string_view what,
              std::initializer_list<Field> fields) {
    if (!writes(weight)) return;
    tell_lines_left_out();
    write(weight, package, what, fields);
}

void Log::tell_lines_left_out() {
    const std::uint64_t left_out = standard_error_ ? standard_error_->left_out() : 0;
    if (left_out == told_left_out_ || !standard_error_->takes_bytes()) return;
    write(Weight::warn, "log", "log lines could not be written",
          {{"lines", static_cast<std::int64_t>(left_out - told_left_out_)}});
    told_left_out_ = left_out;
}

void Log::write(Weight weight, std::string_view package, std::string_view what,
                std::initializer_list<Field> fields) {
    std::string line = json_ ? "\"package\":" + json_text(package) + ",\"what\":" + json_text(what)
                             : std::string(package) + ": " + std::string(what);
    for (const auto& [name, value] : fields) {
        std::string held;
        if (const auto* text = std::get_if<std::string>(&value))
            held = json_ || text->find(' ') != std::string::npos || text->empty() ? json_text(*text) : *text;
        else if (const auto* whole = std::get_if<std::int64_t>(&value))
            held = std::to_string(*whole);
        else
            held = nlohmann::json(std::get<double>(value)).dump();
        line += json_ ? ",\"" + std::string(name) + "\":" + held : " " + std::string(name) + "=" + held;
    }
    logger_->log(time_now(), spdlog::source_loc{}, level_of(weight), spdlog::string_view_t(line));
}

}  // namespace copperfront
