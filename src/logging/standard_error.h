// Log sink for standard error, which may be a pipe or terminal whose reader has stopped: a line that can't be
// written immediately is dropped and counted, so that a log nobody reads never blocks the process.
#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <string_view>

namespace copperfront {

class StandardErrorSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
  public:
    // Number of lines since the start that could not be written completely.
    std::uint64_t dropped_lines() const { return dropped_lines_; }
    bool is_writable() const;

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override {}

  private:
    bool write(std::string_view bytes);

    std::uint64_t dropped_lines_ = 0;
    bool has_partial_line_ = false;
};

}  // namespace copperfront
