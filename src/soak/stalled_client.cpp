#include "soak/stalled_client.h"

namespace copperfront::soak {

StalledClient::StalledClient(Loop& loop, const GatewayDirectory& gateways, std::size_t gateway,
                             std::vector<StalledRecord>& records)
    : loop_(loop), records_(records), record_(records.size()) {
    StalledRecord record;
    record.gateway = gateway;
    record.gateway_life = gateways.gateway_life(gateway);
    records.push_back(record);
    stream_ = Stream::dial(loop, gateways.gateway_address(gateway), {0, 0}, *this);
}

StalledClient::~StalledClient() { Stream::detach_and_close(loop_, std::move(stream_), false); }

void StalledClient::stream_connected(Stream& stream) {
    stream.send(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: stalled-" +
        std::to_string(record_) +
        "\r\nX-Service-Class: once\r\nX-Time-Left-Ms: 2000\r\nContent-Length: 1000\r\n\r\n{\"model\":");
    records_[record_].stopped = monotonic_clock_us();
}

void StalledClient::bytes_received(Stream& stream) {
    stream.drain(stream.buffered());
    end();
}

void StalledClient::stream_closed(Stream&, CloseReason, const std::string&) { end(); }

void StalledClient::end() {
    StalledRecord& record = records_[record_];
    if (record.stopped != 0 && record.ended == 0) record.ended = monotonic_clock_us();
}

}  // namespace copperfront::soak
