// The gateway in one loop with a prefill and a decode server that answer on command.
#pragma once

#include <gtest/gtest.h>

#include "raw_client.h"
#include "scripted_server.h"
#include "world.h"

namespace copperfront {

inline std::string with_setting(std::string settings, const std::string& from, const std::string& to) {
    const std::size_t at = settings.find(from);
    assert(at != std::string::npos);
    return settings.replace(at, from.size(), to);
}

// The one class of the test settings with another effect.
inline std::string settings_with_effect(const std::string& effect, const std::string& more = "") {
    return with_setting(kSettings, R"("effect":"repeatable")", R"("effect":")" + effect + "\"" + more);
}

struct ScriptedWorld : World {
    ScriptedServer prefill{loop}, decode{loop};

    explicit ScriptedWorld(const std::string& with = kSettings, std::size_t sockets = 256)
        : World(sockets, {}, with) {
        platform.point("r1", prefill.address());
        platform.point("w1", decode.address());
        until("the scripted servers are known", [&] { return follows_discovery(); });
    }

    // The gateway has been told all that discovery has: a name of its own that comes last is known.
    bool follows_discovery() {
        if (marker_.empty()) {
            marker_ = "marker-" + fresh();
            platform.add(marker_, Role::writer, "z", 1);
            platform.set(marker_, "draining");
        }
        if (!node->knows(marker_)) return false;
        marker_.clear();
        return true;
    }
    void wait_for_list() {
        until("the list is told", [&] { return follows_discovery(); });
    }

    using Connection = ScriptedServer::ConnectionId;

    // Waits for the n-th POST (from 1) at a server and returns the connection it came on.
    Connection wait_for_post(ScriptedServer& server, std::size_t n) {
        until("a request at a server", [&] { return server.count("POST") >= n; });
        std::size_t seen = 0;
        for (const auto& request : server.requests()) {
            if (request.head.method == "POST" && ++seen == n) return request.connection;
        }
        return 0;
    }
    // Takes a fresh request of `client` up to the decode server, which has not answered yet.
    Connection up_to_decode(Client& client, std::size_t n = 1, const std::string& left = "2000",
                            const std::string& id = "") {
        client.say(call(id.empty() ? fresh() : id, left));
        prefill.send(wait_for_post(prefill, n), prefill_response());
        return wait_for_post(decode, n);
    }
    const ScriptedServer::Request& last(const ScriptedServer& server) const {
        return server.requests().back();
    }

    // Answers each DELETE, as any model server does.
    void answer_releases(ScriptedServer& server, std::size_t& answered) {
        for (; answered < server.requests().size(); ++answered) {
            const auto& request = server.requests()[answered];
            if (request.head.method == "DELETE" && server.is_open(request.connection)) {
                server.send(request.connection, "HTTP/1.1 204 No Content\r\n\r\n");
            }
        }
    }

  private:
    std::string marker_;
};

}  // namespace copperfront
