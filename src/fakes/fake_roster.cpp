#include "fakes/fake_roster.h"

#include <algorithm>

#include "interning/name_table.h"

namespace copperfront::fake_server {
namespace {

using rpc::Json;

constexpr LineLimits kBounds{16 << 20, 64 << 20};

}  // namespace

class FakeRoster::Peer : public LineConnection::Owner {
  public:
    Peer(FakeRoster& server, std::uint64_t id, int fd) : server_(server), id_(id) {
        link_ = LineConnection::accepted(server.loop_, fd, kBounds, *this);
    }
    void line_received(LineConnection&, std::string_view line) override;
    void connection_closed(LineConnection&, CloseReason, const std::string&) override {
        server_.remove_peer(*this);
    }

    void send_update(const rpc::RosterUpdate& news, const rpc::Id* answer_to) {
        server_.record_update(*this, news);
        link_->send(answer_to ? rpc::result_line(*answer_to, rpc::roster_update_json(news))
                              : rpc::notification_line(rpc::kRosterChanged, rpc::roster_update_json(news)));
        sent_version_ = news.version;
        is_watching_ = true;
    }
    std::uint64_t id() const { return id_; }
    const rpc::Hello& hello() const { return hello_; }
    bool is_watching() const { return is_watching_; }
    std::uint64_t sent_version() const { return sent_version_; }
    std::unique_ptr<LineConnection> take_link() { return std::move(link_); }

  private:
    FakeRoster& server_;
    const std::uint64_t id_;
    std::unique_ptr<LineConnection> link_;
    rpc::Hello hello_;
    bool is_watching_ = false;
    std::uint64_t sent_version_ = 0;
};

void FakeRoster::Peer::line_received(LineConnection&, std::string_view line) {
    auto parsed = rpc::parse(line);
    if (const auto* wrong = std::get_if<rpc::InvalidMessage>(&parsed)) {
        link_->send(rpc::error_line(wrong->id, wrong->code, wrong->text));
        return;
    }
    const auto& m = std::get<rpc::Message>(parsed);
    if (m.kind != rpc::MessageKind::request) return;
    if (m.method == rpc::kInitialize) {
        auto hello = rpc::read_hello(m.body);
        if (const auto* wrong = std::get_if<std::string>(&hello)) {
            link_->send(rpc::error_line(m.id, rpc::kInvalidParams, *wrong));
            return;
        }
        hello_ = std::get<rpc::Hello>(hello);
        link_->send(rpc::hello_result_line(m.id, "roster", "0.2.0"));
    } else if (m.method == rpc::kWatch) {
        // The answer is the whole list as of the gateway's delay ago, whatever version the gateway has.
        const std::uint64_t version = server_.version_for(*this);
        const rpc::RosterUpdate news{version, true, server_.list_at(version)};
        send_update(news, &m.id);
        server_.push_due_changes();
    } else if (m.method == rpc::kPing) {
        link_->send(rpc::result_line(m.id, Json::object()));
    } else if (m.method == "roster/set") {
        Json body = m.body;
        body["version"] = 1;
        body["how"] = "changes";
        auto news = rpc::read_roster_update(body);
        if (const auto* wrong = std::get_if<std::string>(&news)) {
            link_->send(rpc::error_line(m.id, rpc::kInvalidParams, *wrong));
            return;
        }
        server_.change(std::get<rpc::RosterUpdate>(news).entries);
        link_->send(rpc::result_line(m.id, Json::object()));
    } else if (m.method == "standin/fault") {
        server_.record_.note("fault", {{"fault", m.body}});
        server_.extra_delay_ = {static_cast<std::int64_t>(rpc::number_or(m.body, "size") * 1000)};
        server_.push_due_changes();
        link_->send(rpc::result_line(m.id, Json::object()));
    } else {
        link_->send(rpc::error_line(m.id, rpc::kMethodNotFound, "unknown method " + m.method.substr(0, 80)));
    }
}

FakeRoster::FakeRoster(Loop& loop, const FakeRosterOptions& identity)
    : loop_(loop),
      identity_(identity),
      record_(identity.record),
      listener_(loop, Address::parse(identity.listen),
                [this](int fd) {
                    const std::uint64_t id = next_peer_++;
                    peers_.emplace(id, std::make_unique<Peer>(*this, id, fd));
                }),
      push_timer_(loop, [this] { push_due_changes(); }) {
    record_.note("start", {{"name", "roster"}, {"server", address().text()}});
}

FakeRoster::~FakeRoster() = default;

void FakeRoster::stop() {
    record_.end();
    loop_.stop();
}

void FakeRoster::change(const std::vector<rpc::RosterEntry>& entries) {
    versions_.push_back({loop_.now(), entries});
    push_due_changes();
}

// The delay stays the same for a gateway as long as it keeps its name, so that lists differ between gateways.
Duration FakeRoster::delay_of(const std::string& gateway) {
    const auto [it, fresh] = delay_draws_.try_emplace(gateway, 0);
    if (fresh) {
        std::minstd_rand chance(static_cast<std::uint32_t>(hash_of(gateway) ^ identity_.seed));
        chance.discard(8);
        it->second = std::uniform_real_distribution<double>(0, 1)(chance);
    }
    return identity_.min_delay + (identity_.max_delay - identity_.min_delay) * it->second + extra_delay_;
}

std::uint64_t FakeRoster::version_for(const Peer& peer) {
    const Instant until = loop_.now() - delay_of(peer.hello().name);
    std::uint64_t version = 0;
    while (version < versions_.size() && versions_[version].at <= until) ++version;
    // Every gateway knows the initial list from the start.
    return std::max<std::uint64_t>(version, versions_.empty() ? 0 : 1);
}

std::vector<rpc::RosterEntry> FakeRoster::list_at(std::uint64_t version) const {
    std::map<std::string, rpc::RosterEntry> list;
    for (std::uint64_t v = 0; v < version; ++v)
        for (const rpc::RosterEntry& e : versions_[v].changes) {
            if (e.status == ServerStatus::removed)
                list.erase(e.server);
            else
                list[e.server] = e;
        }
    std::vector<rpc::RosterEntry> out;
    for (const auto& [server, entry] : list) out.push_back(entry);
    return out;
}

void FakeRoster::push_due_changes() {
    Duration next{INT64_MAX};
    for (const auto& [id, peer] : peers_) {
        if (!peer->is_watching()) continue;
        while (peer->sent_version() < versions_.size()) {
            const Version& version = versions_[peer->sent_version()];
            const Duration left = version.at + delay_of(peer->hello().name) - loop_.now();
            if (left.us > 0) {
                next = std::min(next, left);
                break;
            }
            peer->send_update({peer->sent_version() + 1, false, version.changes}, nullptr);
        }
    }
    if (next.us != INT64_MAX) push_timer_.set(next);
}

void FakeRoster::record_update(const Peer& peer, const rpc::RosterUpdate& news) {
    if (!record_.on()) return;
    Json fields = rpc::roster_update_json(news);
    fields["gw"] = peer.hello().name + "." + peer.hello().instance_id;
    record_.note("told", std::move(fields));
}

void FakeRoster::remove_peer(Peer& peer) {
    const auto it = peers_.find(peer.id());
    if (it == peers_.end()) return;
    LineConnection::detach_and_close(loop_, peer.take_link(), false);
    loop_.delete_later(std::move(it->second));
    peers_.erase(it);
}

}  // namespace copperfront::fake_server
