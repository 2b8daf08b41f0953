// The model servers of the lists received so far: the index of each name and its latest list entry. Long
// lists are processed in batches, one in each iteration of the loop, and then applied as a whole. Servers
// that a list withdraws are withdrawn at once.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/router.h"
#include "interning/name_table.h"
#include "logging/log.h"
#include "net/address.h"
#include "net/loop.h"
#include "node/server_starts.h"
#include "platform/registry.h"

namespace copperfront {

class Membership {
  public:
    // Address of a server, and the start time of its process.
    struct Endpoint {
        Address address;
        std::string text;  // the address as it is written in the list
        Instant started_at;
    };
    // The connections to model servers, as far as they depend on the list.
    class Connections {
      public:
        virtual ~Connections() = default;
        // Reserves memory for about this many servers.
        virtual void reserve(std::size_t servers) = 0;
        // Adds or updates a server. Another address or another start time ends its present connections.
        virtual void set_endpoint(ServerIndex server, const Endpoint& endpoint) = 0;
        // No new attempts are to be sent to it.
        virtual void stop_new_attempts(ServerIndex server) = 0;
        virtual void remove_server(ServerIndex server) = 0;
        // Whether no connection to it is left, and so no attempt or release, so that its index may be
        // assigned to another server.
        virtual bool has_no_connections(ServerIndex server) const = 0;
    };
    class Owner {
      public:
        virtual ~Owner() = default;
        // The changes of a list, all in one call, except withdrawals, which may be reported before.
        // `is_snapshot`: servers that are not listed are removed.
        virtual void servers_changed(std::span<const ServerListing> listings, bool is_snapshot) = 0;
    };

    // `kinds`: the models of the settings; more may be added later.
    Membership(Loop& loop, const NameTable& kinds, const NameTable& zones, Connections& connections,
               Owner& owner, Log& log);

    // Applies the list of the settings, which may be old, at once.
    void apply_known_list(platform::ServerListUpdate news);
    // Applies a list from discovery, or a change of it, after any earlier one.
    void apply_update(platform::ServerListUpdate news);
    // Applies the entries of draining or removed servers, of a list that is still being received.
    void withdraw(const platform::ServerListUpdate& part);

    // Whether this server is in the list that is applied now.
    bool has(const std::string& name) const;
    const std::string& name_of(ServerIndex server) const { return servers_[server].name; }
    std::size_t size() const { return index_of_name_.size() - removed_.size(); }
    // The number of indices that were ever in use at once.
    std::size_t indices() const { return servers_.size(); }

  private:
    struct Server {
        std::string name;
        Instant listed_start;   // as the list reports it
        ServerListing listing;  // with its index
        bool removed = false;
    };
    // A valid entry, with everything that does not need an index.
    struct Prepared {
        std::string name;
        Endpoint endpoint;
        ServerListing listing;
    };
    struct Update {
        platform::ServerListUpdate news;
        Instant arrived;
        // It was up to date when it arrived, as it came from discovery and not from the settings. So a server
        // that was missing from the list had not started before then, except for the time that a change takes
        // to be notified.
        bool is_current = false;
        std::size_t next = 0;  // the first entry that is not prepared
        std::vector<Prepared> prepared;

        bool is_prepared() const { return next == news.entries.size(); }
    };

    void begin_update(platform::ServerListUpdate news);
    void prepare_batch(Update& update);
    void prepare(const platform::ServerEntry& entry, Update& update);
    Prepared parse_entry(const platform::ServerEntry& entry, Instant arrived);
    void continue_update();
    void finish_update();
    void reserve_for(const Update& update);
    // `listed`: by index, for the servers known before this update.
    void apply_prepared(Update& update, std::vector<ServerListing>& listings, std::vector<bool>& listed);
    ServerListing apply(const Prepared& prepared);
    void remove(ServerIndex server);
    std::optional<ServerIndex> find(const std::string& name) const;
    ServerIndex assign_index(const std::string& name);
    static Instant distinct_start(Instant reported, const Server& previous);

    Loop& loop_;
    const NameTable& kinds_;
    NameTable zones_, cells_;
    Connections& connections_;
    Owner& owner_;
    Log& log_;
    std::vector<Server> servers_;    // by index
    std::set<ServerIndex> removed_;  // their indices may be assigned to other servers
    std::unordered_map<std::string, ServerIndex> index_of_name_;
    ServerStarts starts_;
    std::optional<Update> update_;  // the one that is being processed
    Timer batch_timer_;
};

}  // namespace copperfront
