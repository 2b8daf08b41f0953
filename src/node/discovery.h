// The list of model servers as discovery tells it: one call that waits follows the other. What can't be read,
// or goes backward, changes nothing and has the whole list asked for again; silence has an end.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/message.h"
#include "logging/log.h"
#include "net/stream.h"
#include "platform/registry.h"

namespace copperfront {

class Discovery : public Stream::Owner {
  public:
    using Told = std::function<void(const platform::News&)>;

    Discovery(Loop& loop, Told told, std::function<void()> missed, Log& log);
    ~Discovery() override;

    // From now on at this address, the whole list first. The same address again changes nothing.
    void follow(const std::string& address);
    void stop();
    bool live() const { return live_; }

    void stream_made(Stream&) override;
    void bytes_came(Stream&) override;
    void stream_closed(Stream&, Closing, const std::string& what) override;

  private:
    void dial();
    void ask();
    void lost(const std::string& why);
    void take();

    Loop& loop_;
    Told told_;
    std::function<void()> missed_;
    Log& log_;
    std::string text_;
    Address address_;
    std::unique_ptr<Stream> stream_;
    std::unique_ptr<http::Message> message_;
    std::string body_;
    bool live_ = false, whole_wanted_ = true, complained_ = false;
    std::uint64_t index_ = 0;
    Span redial_;
    Timer again_, patience_;
};

}  // namespace copperfront
