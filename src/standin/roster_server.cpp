#include "standin/roster_server.h"

#include <algorithm>

#include "door/names.h"

namespace copperfront::standin {
namespace {

using rpc::Json;

constexpr LinkBounds kBounds{16 << 20, 64 << 20};

}  // namespace

class RosterServer::Peer : public Link::Owner {
  public:
    Peer(RosterServer& server, std::uint64_t id, int fd) : server_(server), id_(id) {
        link_ = Link::accepted(server.loop_, fd, kBounds, *this);
    }
    void line_came(Link&, std::string_view line) override;
    void link_closed(Link&, Closing, const std::string&) override { server_.closed(*this); }

    void tell(const rpc::RosterNews& news, const rpc::Id* answer_to) {
        server_.note_told(*this, news);
        link_->send(answer_to ? rpc::result(*answer_to, rpc::news_json(news))
                              : rpc::notice(rpc::kRosterChanged, rpc::news_json(news)));
        told_ = news.version;
        watches_ = true;
    }
    std::uint64_t id() const { return id_; }
    const rpc::Hello& hello() const { return hello_; }
    bool watches() const { return watches_; }
    std::uint64_t told() const { return told_; }
    std::unique_ptr<Link> take_link() { return std::move(link_); }

  private:
    RosterServer& server_;
    const std::uint64_t id_;
    std::unique_ptr<Link> link_;
    rpc::Hello hello_;
    bool watches_ = false;
    std::uint64_t told_ = 0;
};

void RosterServer::Peer::line_came(Link&, std::string_view line) {
    auto parsed = rpc::parse(line);
    if (const auto* wrong = std::get_if<rpc::BadMessage>(&parsed)) {
        link_->send(rpc::error(wrong->id, wrong->code, wrong->text));
        return;
    }
    const auto& m = std::get<rpc::Message>(parsed);
    if (m.sort != rpc::Sort::call) return;
    if (m.method == rpc::kInitialize) {
        auto hello = rpc::read_hello(m.body);
        if (const auto* wrong = std::get_if<std::string>(&hello)) {
            link_->send(rpc::error(m.id, rpc::kInvalidParams, *wrong));
            return;
        }
        hello_ = std::get<rpc::Hello>(hello);
        link_->send(rpc::hello_answer_line(m.id, "roster", "0.2.0"));
    } else if (m.method == rpc::kWatch) {
        // Whatever a gateway has, it gets the whole list as of its own delay ago.
        const std::uint64_t version = server_.seen_by(*this);
        const rpc::RosterNews news{version, true, server_.list_at(version)};
        tell(news, &m.id);
        server_.push();
    } else if (m.method == rpc::kPing) {
        link_->send(rpc::result(m.id, Json::object()));
    } else if (m.method == "roster/set") {
        Json body = m.body;
        body["version"] = 1;
        body["how"] = "changes";
        auto news = rpc::read_news(body);
        if (const auto* wrong = std::get_if<std::string>(&news)) {
            link_->send(rpc::error(m.id, rpc::kInvalidParams, *wrong));
            return;
        }
        server_.change(std::get<rpc::RosterNews>(news).entries);
        link_->send(rpc::result(m.id, Json::object()));
    } else if (m.method == "standin/fault") {
        server_.record_.note("fault", {{"fault", m.body}});
        server_.late_ = {static_cast<std::int64_t>(rpc::number_at(m.body, "size") * 1000)};
        server_.push();
        link_->send(rpc::result(m.id, Json::object()));
    } else {
        link_->send(rpc::error(m.id, rpc::kMethodNotFound, "unknown method " + m.method.substr(0, 80)));
    }
}

RosterServer::RosterServer(Loop& loop, const RosterIdentity& identity)
    : loop_(loop),
      identity_(identity),
      record_(identity.record),
      listener_(loop, Address::parse(identity.listen),
                [this](int fd) {
                    const std::uint64_t id = next_peer_++;
                    peers_.emplace(id, std::make_unique<Peer>(*this, id, fd));
                }),
      push_(loop, [this] { push(); }) {
    record_.note("start", {{"name", "roster"}, {"server", address().text()}});
}

RosterServer::~RosterServer() = default;

void RosterServer::stop() {
    record_.end();
    loop_.stop();
}

void RosterServer::change(const std::vector<rpc::RosterEntry>& entries) {
    versions_.push_back({loop_.now(), entries});
    push();
}

// The same for a gateway as long as it goes by the same name, so that lists differ between gateways.
Span RosterServer::delay_of(const std::string& gateway) {
    const auto [it, fresh] = drawn_.try_emplace(gateway, 0);
    if (fresh) {
        std::minstd_rand chance(static_cast<std::uint32_t>(mark(gateway) ^ identity_.seed));
        chance.discard(8);
        it->second = std::uniform_real_distribution<double>(0, 1)(chance);
    }
    return identity_.least_delay + (identity_.most_delay - identity_.least_delay) * it->second + late_;
}

std::uint64_t RosterServer::seen_by(const Peer& peer) {
    const Instant until = loop_.now() - delay_of(peer.hello().name);
    std::uint64_t version = 0;
    while (version < versions_.size() && versions_[version].at <= until) ++version;
    // The list that a fleet begins with is known to all from the start.
    return std::max<std::uint64_t>(version, versions_.empty() ? 0 : 1);
}

std::vector<rpc::RosterEntry> RosterServer::list_at(std::uint64_t version) const {
    std::map<std::string, rpc::RosterEntry> list;
    for (std::uint64_t v = 0; v < version; ++v)
        for (const rpc::RosterEntry& e : versions_[v].changes) {
            if (e.standing == Standing::gone)
                list.erase(e.server);
            else
                list[e.server] = e;
        }
    std::vector<rpc::RosterEntry> out;
    for (const auto& [server, entry] : list) out.push_back(entry);
    return out;
}

void RosterServer::push() {
    Span next{INT64_MAX};
    for (const auto& [id, peer] : peers_) {
        if (!peer->watches()) continue;
        while (peer->told() < versions_.size()) {
            const Version& v = versions_[peer->told()];
            const Span left = v.at + delay_of(peer->hello().name) - loop_.now();
            if (left.us > 0) {
                next = std::min(next, left);
                break;
            }
            peer->tell({peer->told() + 1, false, v.changes}, nullptr);
        }
    }
    if (next.us != INT64_MAX) push_.set(next);
}

void RosterServer::note_told(const Peer& peer, const rpc::RosterNews& news) {
    if (!record_.on()) return;
    Json noted = rpc::news_json(news);
    noted["gw"] = peer.hello().name + "." + peer.hello().life;
    record_.note("told", std::move(noted));
}

void RosterServer::closed(Peer& peer) {
    const auto it = peers_.find(peer.id());
    if (it == peers_.end()) return;
    Link::hand_off(loop_, peer.take_link(), false);
    loop_.bury(std::move(it->second));
    peers_.erase(it);
}

}  // namespace copperfront::standin
