// The gateway among many: what discovery, restarts, clients that leave and servers out of reach ask of it.
#include "world.h"

using namespace copperfront;
using standin::Fault;

namespace {

// ---- discovery

// The agent has the list the moment it is back, and a drain leaves a quarter of a second.
void a_list_is_known_the_moment_discovery_is_back() {
    for (const std::int64_t outage : {1500, 2300, 3100}) {
        World w;
        w.pass(ms(30));
        w.platform.discovery_is_silent(true);
        w.pass(ms(outage));
        w.platform.add("w9", Role::writer, "z", 1);
        w.platform.discovery_is_silent(false);
        w.until(
            "it is known", [&] { return w.node->knows("w9"); }, ms(250));
    }
}

void a_watch_that_falls_silent_is_opened_anew() {
    World w;
    w.pass(ms(30));
    w.platform.watches_fall_silent();
    w.platform.add("w9", Role::writer, "z", 1);
    w.until(
        "it is known", [&] { return w.node->knows("w9"); }, ms(2000));
    assert(w.ask()->whole());
}

void a_watch_that_is_reset_is_opened_anew_at_once() {
    World w;
    w.pass(ms(30));
    for (int n = 0; n < 3; ++n) {
        const std::string name = "w1" + std::to_string(n);
        w.platform.watches_are_reset();
        w.platform.add(name, Role::writer, "z", 1);
        w.until(
            "it is known", [&] { return w.node->knows(name); }, ms(250));
    }
}

void a_discovery_that_refuses_is_followed_once_it_is_back() {
    World w;
    w.pass(ms(30));
    w.platform.discovery_is_down(true);
    w.platform.add("w9", Role::writer, "z", 1);
    w.pass(ms(1700));
    assert(!w.node->knows("w9") && w.ask()->whole());
    w.platform.discovery_is_down(false);
    w.until(
        "it is known", [&] { return w.node->knows("w9"); }, ms(250));
}

void a_gateway_that_starts_without_discovery_serves_from_the_known_list() {
    World w;
    for (const bool refuses : {false, true}) {
        refuses ? w.platform.discovery_is_down(true) : w.platform.discovery_is_silent(true);
        w.start(256);
        auto c = w.client();
        c->say("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        w.until(
            "ready", [&] { return c->status() == 200; }, ms(200));
        assert(w.ask()->whole());
        refuses ? w.platform.discovery_is_down(false) : w.platform.discovery_is_silent(false);
        const std::string name = refuses ? "w8" : "w9";
        w.platform.add(name, Role::writer, "z", 1);
        w.until(
            "it is followed", [&] { return w.node->knows(name); }, ms(250));
    }
}

// ---- clients that leave

// A client's close may lie behind its call, and behind whatever else the loop has to do.
void a_call_whose_client_has_gone_is_not_sent_on() {
    World w;
    const Address at = w.node->address();
    for (const bool more : {false, true}) {
        sockaddr_storage raw{};
        const int length = at.fill(&raw);
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        assert(connect(fd, reinterpret_cast<sockaddr*>(&raw), static_cast<socklen_t>(length)) == 0);
        const std::string call = w.call(w.fresh()) + (more ? w.call(w.fresh()) : "");
        assert(write(fd, call.data(), call.size()) == static_cast<ssize_t>(call.size()));
        close(fd);
        w.pass(ms(100));
    }
    assert(w.platform.heard().empty() && w.node->desk().tally().left == 2);
    w.at_rest();
}

}  // namespace

int main() {
    setvbuf(stderr, nullptr, _IOLBF, 0);
    a_list_is_known_the_moment_discovery_is_back();
    a_watch_that_falls_silent_is_opened_anew();
    a_watch_that_is_reset_is_opened_anew_at_once();
    a_discovery_that_refuses_is_followed_once_it_is_back();
    a_gateway_that_starts_without_discovery_serves_from_the_known_list();
    a_call_whose_client_has_gone_is_not_sent_on();
}
