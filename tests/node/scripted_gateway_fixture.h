// Test fixture: the gateway in one event loop with a prefill and a decode server that answer on command.
#pragma once

#include <gtest/gtest.h>

#include "gateway_fixture.h"
#include "raw_client.h"
#include "scripted_server.h"

namespace copperfront {

inline std::string with_setting(std::string settings, const std::string& from, const std::string& to) {
    const std::size_t at = settings.find(from);
    assert(at != std::string::npos);
    return settings.replace(at, from.size(), to);
}

// The test settings with another effect for their only service class.
inline std::string settings_with_effect(const std::string& effect, const std::string& more = "") {
    return with_setting(kSettings, R"("effect":"repeatable")", R"("effect":")" + effect + "\"" + more);
}

struct ScriptedGatewayFixture : GatewayFixture {
    ScriptedServer prefill{loop}, decode{loop};

    explicit ScriptedGatewayFixture(const std::string& node_settings = kSettings, std::size_t sockets = 256)
        : GatewayFixture(sockets, {}, node_settings) {
        platform.set_address("r1", prefill.address());
        platform.set_address("w1", decode.address());
        wait_until("the scripted servers are in the list", [&] { return has_applied_list(); });
    }

    // Whether the gateway has applied every list change so far: a marker server is added last, and the
    // gateway knows it.
    bool has_applied_list() {
        if (marker_.empty()) {
            marker_ = "marker-" + new_request_id();
            platform.add(marker_, Role::decode, "z", 1);
            platform.set_status(marker_, "draining");
        }
        if (!node->has_server(marker_)) return false;
        marker_.clear();
        return true;
    }
    void wait_for_list() {
        wait_until("the list is applied", [&] { return has_applied_list(); });
    }

    using Connection = ScriptedServer::ConnectionId;

    // Waits for the n-th POST (from 1) at a server and returns the connection it came on.
    Connection wait_for_post(ScriptedServer& server, std::size_t n) {
        wait_until("a request at a server", [&] { return server.count("POST") >= n; });
        std::size_t seen = 0;
        for (const auto& request : server.requests()) {
            if (request.head.method == "POST" && ++seen == n) return request.connection;
        }
        return 0;
    }
    // Sends a new request of `client` and takes it to the point where the decode server has received the
    // hand-over and not answered yet. Returns the connection of the hand-over.
    Connection advance_to_decode(Client& client, std::size_t n = 1, const std::string& left = "2000",
                                 const std::string& id = "") {
        client.send(request_text(id.empty() ? new_request_id() : id, left));
        prefill.send(wait_for_post(prefill, n), prefill_response());
        return wait_for_post(decode, n);
    }
    const ScriptedServer::Request& last_request(const ScriptedServer& server) const {
        return server.requests().back();
    }

    // Answers each DELETE, as model servers do.
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
