#include "node/membership.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <thread>
#include <utility>

#include "core/sabotage.h"

namespace copperfront {
namespace {

constexpr std::size_t kEntriesPerBatch = 512;
constexpr Instant kNoStart{-1};  // of an index that was never assigned
// Fault injection for tests; see core/sabotage.h.
constexpr std::chrono::milliseconds kSabotagedPause{500};

bool is_withdrawn(const platform::ServerEntry& entry) { return entry.status != ServerStatus::ready; }

}  // namespace

Membership::Membership(Loop& loop, const NameTable& kinds, const NameTable& zones, Connections& connections,
                       Owner& owner, Log& log)
    : loop_(loop),
      kinds_(kinds),
      zones_(zones),
      connections_(connections),
      owner_(owner),
      log_(log),
      batch_timer_(loop, [this] {
          loop_.name_event("list");
          continue_update();
      }) {}

void Membership::apply_known_list(platform::ServerListUpdate news) {
    begin_update(std::move(news));
    finish_update();
}

void Membership::apply_update(platform::ServerListUpdate news) {
    loop_.name_event("list");
    if (is_sabotaged(Sabotage::loop_stands_still)) std::this_thread::sleep_for(kSabotagedPause);
    finish_update();
    if (news.entries.size() > kEntriesPerBatch) withdraw(news);
    begin_update(std::move(news));
    update_->is_current = true;
    continue_update();
}

void Membership::withdraw(const platform::ServerListUpdate& part) {
    loop_.name_event("list");
    finish_update();
    platform::ServerListUpdate withdrawn;
    std::copy_if(part.entries.begin(), part.entries.end(), std::back_inserter(withdrawn.entries),
                 is_withdrawn);
    begin_update(std::move(withdrawn));
    finish_update();
}

void Membership::begin_update(platform::ServerListUpdate news) {
    update_.emplace();
    update_->news = std::move(news);
    update_->arrived = loop_.now();
}

void Membership::continue_update() {
    if (!update_) return;
    prepare_batch(*update_);
    if (update_->is_prepared()) return finish_update();
    batch_timer_.set(Duration{0});
}

void Membership::prepare_batch(Update& update) {
    const std::vector<platform::ServerEntry>& entries = update.news.entries;
    const std::size_t end = std::min(entries.size(), update.next + kEntriesPerBatch);
    for (; update.next < end; ++update.next) prepare(entries[update.next], update);
}

void Membership::prepare(const platform::ServerEntry& entry, Update& update) {
    if (entry.status == ServerStatus::removed) {
        Prepared prepared{entry.name, {}, {}};
        prepared.listing.status = ServerStatus::removed;
        update.prepared.push_back(std::move(prepared));
        return;
    }
    try {
        update.prepared.push_back(parse_entry(entry, update.arrived));
    } catch (const NetworkError& bad) {
        log_.log(Severity::error, "discovery", "an entry of the list cannot be used; it is passed over",
                 {{"server", entry.name}, {"error", bad.what()}});
    }
}

// Throws NetworkError for an entry that cannot be used.
Membership::Prepared Membership::parse_entry(const platform::ServerEntry& entry, Instant arrived) {
    const std::uint32_t* const kind = kinds_.find(entry.kind);
    if (kind == nullptr) throw NetworkError("unknown type " + entry.kind);
    Prepared prepared{entry.name, {Address::parse(entry.address), entry.address, entry.started_at}, {}};
    ServerListing& listing = prepared.listing;
    listing.status = entry.status;
    const bool ignored = listing.status == ServerStatus::draining && is_sabotaged(Sabotage::drain_ignored);
    if (ignored) listing.status = ServerStatus::ready;
    listing.name_hash = hash_of(entry.name);
    listing.kind = static_cast<std::uint16_t>(*kind);
    listing.zone = static_cast<std::uint16_t>(zones_.intern(entry.zone));
    listing.cell = cells_.intern(entry.cell);
    listing.started_at = starts_.start_of(entry.name, entry.started_at, arrived);
    return prepared;
}

// Prepares the remaining entries and applies the list.
void Membership::finish_update() {
    if (!update_) return;
    batch_timer_.cancel();
    Update update = std::move(*update_);
    update_.reset();
    std::vector<ServerListing> listings;
    listings.reserve(update.news.entries.size());
    std::vector<bool> listed(servers_.size(), false);
    reserve_for(update);
    apply_prepared(update, listings, listed);
    while (!update.is_prepared()) {
        prepare_batch(update);
        apply_prepared(update, listings, listed);
    }
    for (ServerIndex server = 0; update.news.is_snapshot && server < listed.size(); ++server) {
        if (!listed[server] && !servers_[server].removed) remove(server);
    }
    if (update.is_current) starts_.list_confirmed(update.arrived);
    owner_.servers_changed(listings, update.news.is_snapshot);
}

// Reserves memory for a whole list that exceeds the present capacity.
void Membership::reserve_for(const Update& update) {
    const std::size_t count = update.news.entries.size();
    if (!update.news.is_snapshot || count <= servers_.capacity()) return;
    servers_.reserve(count);
    index_of_name_.reserve(count);
    connections_.reserve(count);
}

void Membership::apply_prepared(Update& update, std::vector<ServerListing>& listings,
                                std::vector<bool>& listed) {
    for (const Prepared& prepared : update.prepared) {
        if (prepared.listing.status == ServerStatus::removed && !find(prepared.name)) continue;
        listings.push_back(apply(prepared));
        const ServerIndex server = listings.back().server;
        if (server < listed.size()) listed[server] = true;
    }
    update.prepared.clear();
}

ServerListing Membership::apply(const Prepared& prepared) {
    if (prepared.listing.status == ServerStatus::removed) {
        const ServerIndex server = *find(prepared.name);
        servers_[server].listing.status = ServerStatus::removed;
        remove(server);
        return servers_[server].listing;
    }
    const bool is_new = !find(prepared.name);
    ServerListing listing = prepared.listing;
    listing.server = assign_index(prepared.name);
    Server& server = servers_[listing.server];
    const Instant listed_start = listing.started_at;
    const bool same_process = !is_new && server.listed_start == listed_start;
    listing.started_at = same_process ? server.listing.started_at : distinct_start(listed_start, server);
    server.listed_start = listed_start;
    server.listing = listing;
    server.removed = false;
    removed_.erase(listing.server);
    connections_.set_endpoint(listing.server, prepared.endpoint);
    if (listing.status == ServerStatus::draining) connections_.stop_new_attempts(listing.server);
    return listing;
}

void Membership::remove(ServerIndex server) {
    servers_[server].removed = true;
    removed_.insert(server);
    starts_.forget(servers_[server].name);
    connections_.remove_server(server);
}

bool Membership::has(const std::string& name) const {
    const std::optional<ServerIndex> known = find(name);
    return known && !servers_[*known].removed;
}

std::optional<ServerIndex> Membership::find(const std::string& name) const {
    const auto known = index_of_name_.find(name);
    if (known == index_of_name_.end()) return std::nullopt;
    return known->second;
}

// The router recognizes another process under an index by its changed start time. So if it reports the same
// start time as the previous one, 1 us is added.
Instant Membership::distinct_start(Instant reported, const Server& previous) {
    return reported == previous.listing.started_at ? reported + Duration{1} : reported;
}

// A new name reuses the index of a removed server without outstanding calls or releases, so that a fleet
// whose servers are replaced continually needs no more memory than its size.
ServerIndex Membership::assign_index(const std::string& name) {
    if (const std::optional<ServerIndex> known = find(name)) return *known;
    ServerIndex index = static_cast<ServerIndex>(servers_.size());
    const auto free = std::find_if(removed_.begin(), removed_.end(), [this](ServerIndex server) {
        return connections_.has_no_connections(server) || is_sabotaged(Sabotage::index_handed_on_early);
    });
    if (free != removed_.end()) {
        index = *free;
        removed_.erase(free);
        index_of_name_.erase(servers_[index].name);
    } else {
        servers_.emplace_back().listing.started_at = kNoStart;
    }
    servers_[index].name = name;
    index_of_name_[name] = index;
    return index;
}

}  // namespace copperfront
