#include "node/membership.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <thread>
#include <utility>

#include "core/sabotage.h"

namespace copperfront {
namespace {

constexpr std::size_t kEntriesPerTurn = 512;
constexpr Instant kNoStart{-1};  // of an index that no server has had
constexpr std::chrono::milliseconds kSabotagedPause{500};

bool is_withdrawn(const platform::Entry& entry) { return entry.standing != Standing::ready; }

}  // namespace

Membership::Membership(Loop& loop, const Names& kinds, const Names& zones, Connections& connections,
                       Owner& owner, Log& log)
    : loop_(loop),
      kinds_(kinds),
      zones_(zones),
      connections_(connections),
      owner_(owner),
      log_(log),
      next_part_(loop, [this] {
          loop_.name_event("list");
          go_on();
      }) {}

void Membership::take_known(platform::News news) {
    begin(std::move(news));
    finish();
}

void Membership::take(platform::News news) {
    loop_.name_event("list");
    if (is_sabotaged(Sabotage::loop_stands_still)) std::this_thread::sleep_for(kSabotagedPause);
    finish();
    if (news.entries.size() > kEntriesPerTurn) withdraw(news);
    begin(std::move(news));
    update_->confirms = true;
    go_on();
}

void Membership::withdraw(const platform::News& part) {
    loop_.name_event("list");
    finish();
    platform::News withdrawn;
    std::copy_if(part.entries.begin(), part.entries.end(), std::back_inserter(withdrawn.entries),
                 is_withdrawn);
    begin(std::move(withdrawn));
    finish();
}

void Membership::begin(platform::News news) {
    update_.emplace();
    update_->news = std::move(news);
    update_->arrived = loop_.now();
}

void Membership::go_on() {
    if (!update_) return;
    prepare_some(*update_);
    if (update_->is_prepared()) return finish();
    next_part_.set(Span{0});
}

void Membership::prepare_some(Update& update) {
    const std::vector<platform::Entry>& entries = update.news.entries;
    const std::size_t end = std::min(entries.size(), update.next + kEntriesPerTurn);
    for (; update.next < end; ++update.next) prepare(entries[update.next], update);
}

void Membership::prepare(const platform::Entry& entry, Update& update) {
    if (entry.standing == Standing::gone) {
        Prepared prepared{entry.name, {}, {}};
        prepared.listing.standing = Standing::gone;
        update.prepared.push_back(std::move(prepared));
        return;
    }
    try {
        update.prepared.push_back(read(entry, update.arrived));
    } catch (const NetTrouble& bad) {
        log_.say(Weight::error, "discovery", "an entry of the list cannot be used; it is passed over",
                 {{"server", entry.name}, {"error", bad.what()}});
    }
}

// Throws NetTrouble for an entry that can't be used.
Membership::Prepared Membership::read(const platform::Entry& entry, Instant arrived) {
    const std::uint32_t* const kind = kinds_.find(entry.kind);
    if (kind == nullptr) throw NetTrouble("unknown type " + entry.kind);
    Prepared prepared{entry.name, {Address::parse(entry.address), entry.address, entry.born}, {}};
    Listing& listing = prepared.listing;
    listing.standing = entry.standing;
    const bool ignored = listing.standing == Standing::draining && is_sabotaged(Sabotage::drain_ignored);
    if (ignored) listing.standing = Standing::ready;
    listing.mark = mark(entry.name);
    listing.kind = static_cast<std::uint16_t>(*kind);
    listing.zone = static_cast<std::uint16_t>(zones_.index(entry.zone));
    listing.cell = cells_.index(entry.cell);
    listing.born = starts_.start_of(entry.name, entry.born, arrived);
    return prepared;
}

// From here on the list holds.
void Membership::finish() {
    if (!update_) return;
    next_part_.off();
    Update update = std::move(*update_);
    update_.reset();
    std::vector<Listing> listings;
    listings.reserve(update.news.entries.size());
    std::vector<bool> named(servers_.size(), false);
    reserve_for(update);
    apply_prepared(update, listings, named);
    while (!update.is_prepared()) {
        prepare_some(update);
        apply_prepared(update, listings, named);
    }
    for (ServerIndex server = 0; update.news.whole && server < named.size(); ++server) {
        if (!named[server] && !servers_[server].gone) remove(server);
    }
    if (update.confirms) starts_.list_confirmed(update.arrived);
    owner_.servers_changed(listings, update.news.whole);
}

// A whole list that has more entries than there is room for.
void Membership::reserve_for(const Update& update) {
    const std::size_t count = update.news.entries.size();
    if (!update.news.whole || count <= servers_.capacity()) return;
    servers_.reserve(count);
    index_of_name_.reserve(count);
    connections_.reserve(count);
}

void Membership::apply_prepared(Update& update, std::vector<Listing>& listings, std::vector<bool>& named) {
    for (const Prepared& prepared : update.prepared) {
        if (prepared.listing.standing == Standing::gone && !find(prepared.name)) continue;
        listings.push_back(apply(prepared));
        const ServerIndex server = listings.back().server;
        if (server < named.size()) named[server] = true;
    }
    update.prepared.clear();
}

Listing Membership::apply(const Prepared& prepared) {
    if (prepared.listing.standing == Standing::gone) {
        const ServerIndex server = *find(prepared.name);
        servers_[server].listing.standing = Standing::gone;
        remove(server);
        return servers_[server].listing;
    }
    const bool is_new = !find(prepared.name);
    Listing listing = prepared.listing;
    listing.server = index_for(prepared.name);
    Server& server = servers_[listing.server];
    const Instant told_start = listing.born;
    const bool same_process = !is_new && server.told_start == told_start;
    listing.born = same_process ? server.listing.born : start_that_differs(told_start, server);
    server.told_start = told_start;
    server.listing = listing;
    server.gone = false;
    removed_.erase(listing.server);
    connections_.learn(listing.server, prepared.endpoint);
    if (listing.standing == Standing::draining) connections_.shun(listing.server);
    return listing;
}

void Membership::remove(ServerIndex server) {
    servers_[server].gone = true;
    removed_.insert(server);
    starts_.forget(servers_[server].name);
    connections_.gone(server);
}

bool Membership::has(const std::string& name) const {
    const std::optional<ServerIndex> known = find(name);
    return known && !servers_[*known].gone;
}

std::optional<ServerIndex> Membership::find(const std::string& name) const {
    const auto known = index_of_name_.find(name);
    if (known == index_of_name_.end()) return std::nullopt;
    return known->second;
}

// Another start is what tells the rules that there is another process under an index.
Instant Membership::start_that_differs(Instant told, const Server& before) {
    return told == before.listing.born ? told + Span{1} : told;
}

// A name that is new takes the index of a server that has gone and owes nothing, so that a fleet that is
// replaced all day long costs no more than its size.
ServerIndex Membership::index_for(const std::string& name) {
    if (const std::optional<ServerIndex> known = find(name)) return *known;
    ServerIndex index = static_cast<ServerIndex>(servers_.size());
    const auto free = std::find_if(removed_.begin(), removed_.end(), [this](ServerIndex server) {
        return connections_.is_idle(server) || is_sabotaged(Sabotage::index_handed_on_early);
    });
    if (free != removed_.end()) {
        index = *free;
        removed_.erase(free);
        index_of_name_.erase(servers_[index].name);
    } else {
        servers_.emplace_back().listing.born = kNoStart;
    }
    servers_[index].name = name;
    index_of_name_[name] = index;
    return index;
}

}  // namespace copperfront
