// Standard error as the place of log lines. It may be a pipe or a terminal whose reader has stopped: a line
// that can't be written at once is left out and counted, so that a log that nobody reads holds up nothing.
#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <string_view>

namespace copperfront {

class StandardErrorSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
  public:
    // Lines of which not all bytes could be written, since the start.
    std::uint64_t left_out() const { return left_out_; }
    bool takes_bytes() const;

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override {}

  private:
    bool write(std::string_view bytes);

    std::uint64_t left_out_ = 0;
    bool ends_within_line_ = false;
};

}  // namespace copperfront
