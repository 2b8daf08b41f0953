#include "soak/fault_proxy.h"

#include <vector>

#include "core/helpers.h"

namespace copperfront::soak {
namespace {

constexpr Stream::Bounds kUnbounded{0, 0};

}  // namespace

class FaultProxy::Relay {
  public:
    Relay(FaultProxy& proxy, int fd)
        : proxy_(proxy),
          gateway_(*this),
          server_(*this),
          connect_timer_(proxy.loop_, [this] { connect_to_server(); }) {
        gateway_.stream = Stream::accepted(proxy.loop_, fd, kUnbounded, gateway_);
        if (proxy.is_cut_off_ || !proxy.has_server_) {
            fall_silent();
            return;
        }
        if (proxy.connect_delay_.us > 0) {
            connect_timer_.set(proxy.connect_delay_);
        } else {
            connect_to_server();
        }
    }
    void fall_silent() {
        if (!silent_) silent_since_ = monotonic_clock_us();
        silent_ = true;
    }
    void end(bool reset) {
        connect_timer_.cancel();
        if (silent_ && proxy_.on_silence_ended) proxy_.on_silence_ended(silent_since_, monotonic_clock_us());
        for (End* const end : {&gateway_, &server_}) {
            if (reset) {
                Stream::reset(proxy_.loop_, std::move(end->stream));
            } else {
                Stream::detach_and_close(proxy_.loop_, std::move(end->stream), true);
            }
        }
    }

  private:
    struct End : Stream::Owner {
        explicit End(Relay& the_relay) : relay(the_relay) {}
        void stream_connected(Stream&) override { relay.forward(relay.gateway_, relay.server_); }
        void bytes_received(Stream&) override {
            relay.forward(*this, this == &relay.gateway_ ? relay.server_ : relay.gateway_);
        }
        void stream_closed(Stream&, CloseReason why, const std::string&) override {
            relay.closed(*this, why);
        }
        Relay& relay;
        std::unique_ptr<Stream> stream;
    };

    void connect_to_server() {
        server_.stream = Stream::dial(proxy_.loop_, proxy_.server_, kUnbounded, server_);
    }
    void forward(End& from, End& to) {
        if (!from.stream) return;
        while (from.stream->buffered() > 0) {
            // Bytes that arrive on a silent connection are accepted by the system and lost.
            if (!silent_) {
                if (!to.stream || !to.stream->is_connected()) return;
                to.stream->send(from.stream->front());
            }
            from.stream->drain(from.stream->front().size());
        }
    }
    void closed(End& end, CloseReason why) {
        // On a silent connection the gateway does not learn that the server has closed.
        if (silent_ && &end == &server_) {
            Stream::detach_and_close(proxy_.loop_, std::move(server_.stream), false);
            return;
        }
        proxy_.drop(*this, why != CloseReason::peer_closed);
    }

    FaultProxy& proxy_;
    End gateway_, server_;
    bool silent_ = false;
    std::int64_t silent_since_ = 0;
    Timer connect_timer_;
};

FaultProxy::FaultProxy(Loop& loop, std::uint32_t seed)
    : loop_(loop), random_state_(seed), listener_(loop, Address::parse("127.0.0.1:0"), [this](int fd) {
          auto relay = std::make_unique<Relay>(*this, fd);
          Relay* const raw = relay.get();
          relays_.emplace(raw, std::move(relay));
      }) {}

FaultProxy::~FaultProxy() = default;

double FaultProxy::draw() { return unit_interval(random_state_ = mix_bits(random_state_ + 1)); }

void FaultProxy::forward_to(const Address& server) {
    reset(1.0);
    server_ = server;
    has_server_ = true;
}

void FaultProxy::cut_off(bool on) {
    if (is_cut_off_ == on) return;
    is_cut_off_ = on;
    if (!on) return reset(1.0);
    silence(1.0);
}

void FaultProxy::silence(double share) {
    for (const auto& [relay, owned] : relays_) {
        if (draw() < share) relay->fall_silent();
    }
}

void FaultProxy::reset(double share) {
    std::vector<Relay*> chosen;
    for (const auto& [relay, owned] : relays_) {
        if (draw() < share) chosen.push_back(relay);
    }
    for (Relay* const relay : chosen) drop(*relay, true);
}

void FaultProxy::drop(Relay& relay, bool reset) {
    const auto it = relays_.find(&relay);
    if (it == relays_.end()) return;
    relay.end(reset);
    loop_.delete_later(std::move(it->second));
    relays_.erase(it);
}

}  // namespace copperfront::soak
