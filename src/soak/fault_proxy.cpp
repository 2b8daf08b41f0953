#include "soak/fault_proxy.h"

#include <vector>

#include "core/helpers.h"

namespace copperfront::soak {
namespace {

constexpr Stream::Bounds kUnbounded{0, 0};

}  // namespace

class FaultProxy::Pair {
  public:
    Pair(FaultProxy& proxy, int fd)
        : proxy_(proxy), gateway_(*this), server_(*this), later_(proxy.loop_, [this] { open(); }) {
        gateway_.stream = Stream::accepted(proxy.loop_, fd, kUnbounded, gateway_);
        if (proxy.is_cut_ || !proxy.has_server_) {
            fall_silent();
            return;
        }
        if (proxy.delay_.us > 0) {
            later_.set(proxy.delay_);
        } else {
            open();
        }
    }
    void fall_silent() {
        if (!silent_) silent_since_ = machine_clock_us();
        silent_ = true;
    }
    void end(bool reset) {
        later_.off();
        if (silent_ && proxy_.on_silence_over) proxy_.on_silence_over(silent_since_, machine_clock_us());
        for (End* const end : {&gateway_, &server_}) {
            if (reset) {
                Stream::reset(proxy_.loop_, std::move(end->stream));
            } else {
                Stream::hand_off(proxy_.loop_, std::move(end->stream), true);
            }
        }
    }

  private:
    struct End : Stream::Owner {
        explicit End(Pair& the_pair) : pair(the_pair) {}
        void stream_made(Stream&) override { pair.pass(pair.gateway_, pair.server_); }
        void bytes_came(Stream&) override {
            pair.pass(*this, this == &pair.gateway_ ? pair.server_ : pair.gateway_);
        }
        void stream_closed(Stream&, Closing why, const std::string&) override { pair.closed(*this, why); }
        Pair& pair;
        std::unique_ptr<Stream> stream;
    };

    void open() { server_.stream = Stream::dial(proxy_.loop_, proxy_.server_, kUnbounded, server_); }
    void pass(End& from, End& to) {
        if (!from.stream) return;
        while (from.stream->held() > 0) {
            // What comes on a silent connection is accepted by the system and lost.
            if (!silent_) {
                if (!to.stream || !to.stream->made()) return;
                to.stream->send(from.stream->front());
            }
            from.stream->drain(from.stream->front().size());
        }
    }
    void closed(End& end, Closing why) {
        // On a silent connection the other side learns nothing.
        if (silent_ && &end == &server_) {
            Stream::hand_off(proxy_.loop_, std::move(server_.stream), false);
            return;
        }
        proxy_.drop(*this, why != Closing::peer_ended);
    }

    FaultProxy& proxy_;
    End gateway_, server_;
    bool silent_ = false;
    std::int64_t silent_since_ = 0;
    Timer later_;
};

FaultProxy::FaultProxy(Loop& loop, std::uint32_t seed)
    : loop_(loop), random_(seed), listener_(loop, Address::parse("127.0.0.1:0"), [this](int fd) {
          auto pair = std::make_unique<Pair>(*this, fd);
          Pair* const raw = pair.get();
          pairs_.emplace(raw, std::move(pair));
      }) {}

FaultProxy::~FaultProxy() = default;

double FaultProxy::chance() { return unit(random_ = mixed(random_ + 1)); }

void FaultProxy::forward_to(const Address& server) {
    reset(1.0);
    server_ = server;
    has_server_ = true;
}

void FaultProxy::cut_off(bool on) {
    if (is_cut_ == on) return;
    is_cut_ = on;
    if (!on) return reset(1.0);
    silence(1.0);
}

void FaultProxy::silence(double share) {
    for (const auto& [pair, owned] : pairs_) {
        if (chance() < share) pair->fall_silent();
    }
}

void FaultProxy::reset(double share) {
    std::vector<Pair*> chosen;
    for (const auto& [pair, owned] : pairs_) {
        if (chance() < share) chosen.push_back(pair);
    }
    for (Pair* const pair : chosen) drop(*pair, true);
}

void FaultProxy::drop(Pair& pair, bool reset) {
    const auto held = pairs_.find(&pair);
    if (held == pairs_.end()) return;
    pair.end(reset);
    loop_.bury(std::move(held->second));
    pairs_.erase(held);
}

}  // namespace copperfront::soak
