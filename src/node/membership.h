// Which model servers there are, by the lists that were taken: the index of each name, and what a list told
// of it last. Long lists are worked through a part in each turn of the loop and then hold from one moment on,
// but servers that a list withdraws are withdrawn at once.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/rules.h"
#include "door/names.h"
#include "logging/log.h"
#include "net/address.h"
#include "net/loop.h"
#include "node/server_starts.h"
#include "platform/registry.h"

namespace copperfront {

class Membership {
  public:
    // Where a server is reached, and since when its process runs.
    struct Endpoint {
        Address address;
        std::string text;  // the address as the list has it
        Instant born;
    };
    // The connections to model servers, as far as a list concerns them.
    class Connections {
      public:
        virtual ~Connections() = default;
        // About so many servers will be known.
        virtual void reserve(std::size_t servers) = 0;
        // Known from now on; another address, or another start, parts with the connections so far.
        virtual void learn(ServerIndex server, const Endpoint& endpoint) = 0;
        // Nothing new is to be sent to it.
        virtual void shun(ServerIndex server) = 0;
        virtual void gone(ServerIndex server) = 0;
        // Whether nothing is out or owed there, so that its index may name another.
        virtual bool is_idle(ServerIndex server) const = 0;
    };
    class Owner {
      public:
        virtual ~Owner() = default;
        // What a list changes, all of it in one call but for what it withdraws, which may come before.
        // `whole`: servers that it does not name are gone.
        virtual void servers_changed(std::span<const Listing> listings, bool whole) = 0;
    };

    // `kinds`: the models of the settings, which may grow.
    Membership(Loop& loop, const Names& kinds, const Names& zones, Connections& connections, Owner& owner,
               Log& log);

    // The list of the settings, which may be old: taken at once.
    void take_known(platform::News news);
    // A list of discovery, or a change of it. One that came before holds first.
    void take(platform::News news);
    // Entries of servers that drain or are gone, of a list that is still on its way.
    void withdraw(const platform::News& part);

    // Whether a list that holds has this server.
    bool has(const std::string& name) const;
    const std::string& name_of(ServerIndex server) const { return servers_[server].name; }
    std::size_t size() const { return index_of_name_.size() - removed_.size(); }
    // As many as servers have ever taken at once.
    std::size_t indices() const { return servers_.size(); }

  private:
    struct Server {
        std::string name;
        Instant told_start;  // as the list has it
        Listing listing;     // with its index
        bool gone = false;
    };
    // An entry that can be used, with all that needs no index.
    struct Prepared {
        std::string name;
        Endpoint endpoint;
        Listing listing;
    };
    struct Update {
        platform::News news;
        Instant arrived;
        bool confirms = false;  // what it does not name has not started
        std::size_t next = 0;   // of the entries, the first that is not prepared
        std::vector<Prepared> prepared;

        bool is_prepared() const { return next == news.entries.size(); }
    };

    void begin(platform::News news);
    void prepare_some(Update& update);
    void prepare(const platform::Entry& entry, Update& update);
    Prepared read(const platform::Entry& entry, Instant arrived);
    void go_on();
    void finish();
    void reserve_for(const Update& update);
    // `named`: by index, of those known before.
    void apply_prepared(Update& update, std::vector<Listing>& listings, std::vector<bool>& named);
    Listing apply(const Prepared& prepared);
    void remove(ServerIndex server);
    std::optional<ServerIndex> find(const std::string& name) const;
    ServerIndex index_for(const std::string& name);
    static Instant start_that_differs(Instant told, const Server& before);

    Loop& loop_;
    const Names& kinds_;
    Names zones_, cells_;
    Connections& connections_;
    Owner& owner_;
    Log& log_;
    std::vector<Server> servers_;    // by index
    std::set<ServerIndex> removed_;  // gone, so that their indices may name others
    std::unordered_map<std::string, ServerIndex> index_of_name_;
    ServerStarts starts_;
    std::optional<Update> update_;  // the one that is being worked through
    Timer next_part_;
};

}  // namespace copperfront
