// A client that sends a part of a request, stops there and stays connected. The gateway has to answer with an
// error or close the connection.
#pragma once

#include <memory>
#include <vector>

#include "net/loop.h"
#include "net/stream.h"
#include "soak/load_client.h"
#include "soak/records.h"

namespace copperfront::soak {

class StalledClient : private Stream::Owner {
  public:
    // Connects at once. Its record is the next one of `records`.
    StalledClient(Loop& loop, const GatewayDirectory& gateways, std::size_t gateway,
                  std::vector<StalledRecord>& records);
    ~StalledClient() override;

  private:
    void stream_connected(Stream&) override;
    void bytes_received(Stream& stream) override;
    void stream_closed(Stream&, CloseReason why, const std::string& what) override;
    void end();

    Loop& loop_;
    std::vector<StalledRecord>& records_;
    const std::size_t record_;
    std::unique_ptr<Stream> stream_;
};

}  // namespace copperfront::soak
