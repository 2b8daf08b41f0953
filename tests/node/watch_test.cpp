// Guards against outdated server lists where answers of discovery are held back, truncated, late or in
// unusual forms: a draining server must get no new attempts.
#include "scripted_gateway_fixture.h"

namespace copperfront {
namespace {

constexpr Duration kMaxUpdateDelay = ms(6000);

// Discovery that answers on command. The requests to it are numbered in the order of their arrival.
struct ScriptedDiscovery : GatewayFixture {
    ScriptedServer agent{loop};

    ScriptedDiscovery() {
        // Starts from the known list, with a discovery agent that does not answer yet.
        node = std::make_unique<Node>(loop, terms_for(agent.address(), platform.list_json(), 256, settings),
                                      log);
    }
    static std::string entry(const std::string& name, const std::string& status) {
        return R"({"name":")" + name + R"(","address":"127.0.0.1:9","zone":"z","type":"writer","group":1,)" +
               R"("status":")" + status + R"(","since_ms":0})";
    }
    // The list of the fake platform's servers and of these.
    std::string list(int index, bool whole, const std::string& more) {
        std::string base = platform.list_json();
        const std::size_t from = base.find("\"endpoints\":[") + 13;
        base = base.substr(from, base.rfind("]}") - from);
        return R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (whole ? "true" : "false") +
               R"(,"endpoints":[)" + (whole ? base + (more.empty() ? "" : ",") : "") + more + "]}";
    }
    std::size_t request_count() const { return agent.requests().size(); }
    const ScriptedServer::Request& wait_for_request(std::size_t n) {
        wait_until("a request to discovery", [&] { return request_count() > n; });
        return agent.requests()[n];
    }
    static bool is_watch(const ScriptedServer::Request& request) {
        return request.head.target.find("after=") != std::string::npos;
    }
    void answer(const ScriptedServer::Request& request, const std::string& body) {
        agent.send(request.connection, response_of(200, "Content-Type: application/json\r\n", body));
    }
    // The first request from the n-th on that waits for a list update.
    ScriptedServer::Request next_watch(std::size_t n) {
        for (;; ++n) {
            if (is_watch(wait_for_request(n))) return agent.requests()[n];
        }
    }
};

TEST(Watch, SilentFromTheStartIsRequestedAgainAndAppliedOnceItAnswers) {
    ScriptedDiscovery fixture;
    fixture.wait_for_request(3);
    const ScriptedServer::Request latest = fixture.agent.requests().back();
    const Instant answered_at = fixture.loop.now();
    fixture.answer(latest, fixture.list(7, true, fixture.entry("w9", "up")));
    fixture.wait_until("the new server is in the list", [&] { return fixture.node->has_server("w9"); });
    EXPECT_LT(fixture.loop.now() - answered_at, ms(100));
}

TEST(Watch, SilentAfterAWhileIsReopenedInTime) {
    ScriptedDiscovery fixture;
    fixture.answer(fixture.wait_for_request(0), fixture.list(7, true, ""));
    const ScriptedServer::Request watch = fixture.next_watch(0);
    const Instant silent_from = fixture.loop.now();
    const std::size_t requests_before = fixture.request_count();
    fixture.wait_until("the whole list is requested",
                       [&] { return fixture.request_count() > requests_before; });
    EXPECT_FALSE(fixture.is_watch(fixture.agent.requests().back()));
    fixture.answer(fixture.agent.requests().back(), fixture.list(8, true, fixture.entry("w9", "up")));
    fixture.wait_until("the new server is in the list", [&] { return fixture.node->has_server("w9"); });
    EXPECT_LT(fixture.loop.now() - silent_from, kMaxUpdateDelay);
    (void)watch;
}

// An answer with an older list version changes nothing.
TEST(Watch, LateAnswerWithAnOldVersionChangesNothing) {
    ScriptedDiscovery fixture;
    fixture.answer(fixture.wait_for_request(0), fixture.list(7, true, fixture.entry("w9", "up")));
    const ScriptedServer::Request watch = fixture.next_watch(0);
    fixture.answer(watch, fixture.list(5, false, fixture.entry("w9", "removed")));
    fixture.run_for(ms(100));
    EXPECT_TRUE(fixture.node->has_server("w9"));
}

// Updates between the end of an abandoned request and the next request are covered by requesting the whole
// list.
TEST(Watch, UpdateOnAnAbandonedRequestIsRequestedAgain) {
    ScriptedDiscovery fixture;
    fixture.answer(fixture.wait_for_request(0), fixture.list(7, true, ""));
    const ScriptedServer::Request watch = fixture.next_watch(0);
    const std::size_t requests_before = fixture.request_count();
    fixture.wait_until(
        "the watch is abandoned", [&] { return !fixture.agent.is_open(watch.connection); }, ms(3000));
    fixture.wait_until("the next request", [&] { return fixture.request_count() > requests_before; });
    EXPECT_FALSE(fixture.is_watch(fixture.agent.requests().back()))
        << "requests changes of a list that the gateway does not have";
}

TEST(Watch, TruncatedAnswerIsNotApplied) {
    ScriptedDiscovery fixture;
    fixture.answer(fixture.wait_for_request(0), fixture.list(7, true, ""));
    const ScriptedServer::Request watch = fixture.next_watch(0);
    const std::string whole = response_of(200, "", fixture.list(8, false, fixture.entry("w9", "up")));
    const std::size_t requests_before = fixture.request_count();
    fixture.agent.send(watch.connection, whole.substr(0, whole.size() / 2));
    fixture.agent.close(watch.connection);
    fixture.wait_until("the list is requested again",
                       [&] { return fixture.request_count() > requests_before; });
    EXPECT_FALSE(fixture.node->has_server("w9"));
    fixture.answer(fixture.agent.requests().back(), fixture.list(8, true, fixture.entry("w9", "up")));
    fixture.wait_until("the new server is in the list", [&] { return fixture.node->has_server("w9"); });
}

// Guards against a list that stops in the middle and blocks the next request.
TEST(Watch, ListThatStopsInTheMiddleIsRequestedAgain) {
    ScriptedDiscovery fixture;
    const std::string text = response_of(200, "", fixture.list(7, true, fixture.entry("w9", "up")));
    fixture.agent.send(fixture.wait_for_request(0).connection, text.substr(0, text.size() / 2));
    const Instant stopped = fixture.loop.now();
    fixture.wait_until("the next request", [&] { return fixture.request_count() >= 2; });
    fixture.answer(fixture.agent.requests().back(), fixture.list(8, true, fixture.entry("w8", "up")));
    fixture.wait_until("the new server is in the list", [&] { return fixture.node->has_server("w8"); });
    EXPECT_LT(fixture.loop.now() - stopped, ms(2000));
}

// Guards against changes that are applied too late because their answer never ends.
TEST(Watch, EndlessAnswerToAWatchIsAbandonedAndTheListRequested) {
    ScriptedDiscovery fixture;
    fixture.answer(fixture.wait_for_request(0), fixture.list(7, true, ""));
    const ScriptedServer::Request watch = fixture.next_watch(0);
    const std::string text = response_of(200, "", fixture.list(8, false, fixture.entry("w9", "up")));
    const std::size_t requests_before = fixture.request_count();
    const Instant began = fixture.loop.now();
    std::size_t at = 0;
    while (fixture.request_count() == requests_before && fixture.loop.now() - began < kMaxUpdateDelay &&
           at + 1 < text.size()) {
        fixture.agent.send(watch.connection, text.substr(at++, 1));
        fixture.run_for(ms(100));
    }
    ASSERT_GT(fixture.request_count(), requests_before);
    EXPECT_LT(fixture.loop.now() - began, ms(3500));
    fixture.answer(fixture.agent.requests().back(), fixture.list(8, true, fixture.entry("w9", "up")));
    fixture.wait_until("the new server is in the list", [&] { return fixture.node->has_server("w9"); });
}

// Guards against several concurrent list requests whose results are not needed.
TEST(Watch, ListInTransitIsNotRequestedTenTimesASecond) {
    ScriptedDiscovery fixture;
    fixture.run_for(ms(500));
    const ScriptedServer::Request latest = fixture.agent.requests().back();
    const std::string text = response_of(200, "", fixture.list(7, true, fixture.entry("w9", "up")));
    const std::size_t requests_before = fixture.request_count();
    for (std::size_t at = 0; at < text.size(); at += text.size() / 15) {
        fixture.agent.send(latest.connection, text.substr(at, text.size() / 15));
        fixture.run_for(ms(100));
    }
    fixture.wait_until("the new server is in the list", [&] { return fixture.node->has_server("w9"); });
    EXPECT_LE(fixture.request_count() - requests_before, 4u) << "in 1.5 s, including the watch that follows";
}

// Guards against a drain that waits for the rest of a list that arrives slowly.
TEST(Watch, RemovalIsAppliedBeforeTheRestOfTheAnswerHasArrived) {
    ScriptedDiscovery fixture;
    fixture.answer(fixture.wait_for_request(0), fixture.list(7, true, fixture.entry("w9", "up")));
    const ScriptedServer::Request watch = fixture.next_watch(0);
    const std::string text = response_of(
        200, "", fixture.list(8, false, fixture.entry("w9", "removed") + "," + fixture.entry("w8", "up")));
    const std::size_t first = text.find("w8");
    fixture.agent.send(watch.connection, text.substr(0, first));
    fixture.wait_until(
        "the server is removed from the list", [&] { return !fixture.node->has_server("w9"); }, ms(500));
    EXPECT_FALSE(fixture.node->has_server("w8"));
    fixture.agent.send(watch.connection, text.substr(first));
    fixture.wait_until("the rest of the list is applied", [&] { return fixture.node->has_server("w8"); });
    EXPECT_FALSE(fixture.node->has_server("w9"));
}

TEST(Watch, IndentedListInOneBytePiecesIsRead) {
    ScriptedDiscovery fixture;
    std::string body = fixture.list(7, true, fixture.entry("w9", "up"));
    for (std::size_t at = 0; (at = body.find(',', at)) != std::string::npos; at += 4)
        body.replace(at, 1, ",\n  ");
    const ScriptedServer::Request first = fixture.wait_for_request(0);
    std::size_t sent = 0;
    const std::string text = response_of(200, "", body);
    // Each byte is a separate write, as it is sent in a separate loop iteration.
    fixture.wait_until("the new server is in the list", [&] {
        for (int n = 0; n < 40 && sent < text.size(); ++n) {
            fixture.agent.send(first.connection, text.substr(sent++, 1));
            fixture.run_for(Duration{0});
        }
        return fixture.node->has_server("w9");
    });
    EXPECT_EQ(sent, text.size());
}

// A whole list that no longer names a server ends its use, even where an attempt waits for a connection to
// it.
enum class Withdrawal { draining, removed, omitted };

class WithdrawnServer : public testing::TestWithParam<Withdrawal> {};

TEST_P(WithdrawnServer, AttemptWaitingForItsConnectionIsMovedElsewhere) {
    ScriptedGatewayFixture fixture(
        with_setting(kSettings, R"("connect-timeout-ms":250)", R"("connect-timeout-ms":5000)"));
    StalledListener stalled;
    fixture.platform.set_address("w1", stalled.address());
    fixture.wait_for_list();
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "4000"));
    fixture.prefill.send(fixture.wait_for_post(fixture.prefill, 1), prefill_response());
    fixture.wait_until("the attempt waits for its connection",
                       [&] { return fixture.node->dispatcher().counters().decodes == 1; });
    fixture.platform.add("w2", Role::decode, "z", 1);
    fixture.platform.set_address("w2", fixture.decode.address());
    switch (GetParam()) {
        case Withdrawal::draining:
            fixture.platform.set_status("w1", "draining");
            break;
        case Withdrawal::removed:
            fixture.platform.set_status("w1", "removed");
            break;
        case Withdrawal::omitted:
            fixture.platform.reset_watches();
            fixture.platform.set_status("w1", "removed");
            break;
    }
    fixture.decode.send(fixture.wait_for_post(fixture.decode, 1), whole_stream("whole"));
    fixture.wait_until("the answer", [&] { return client->is_complete(); });
    stalled.accept_all();
    fixture.run_for(ms(1200));
    EXPECT_EQ(stalled.received().find("POST "), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Each, WithdrawnServer,
                         testing::Values(Withdrawal::draining, Withdrawal::removed, Withdrawal::omitted));

// Discovery answers again at the moment when new settings name another address.
TEST(Watch, DiscoveryReturnsWhenSettingsChange) {
    GatewayFixture fixture;
    fixture.platform.set_discovery_silent(true);
    fixture.run_for(ms(300));
    fake_server::FakePlatform other(fixture.loop, {});
    other.add("r1", Role::prefill, "z", 1);
    other.add("w9", Role::decode, "z", 1);
    fixture.platform.set_discovery_silent(false);
    fixture.node->change(terms_for(other.discovery().text(), fixture.platform.list_json(), 256));
    fixture.wait_until(
        "the list of the new address is applied", [&] { return fixture.node->has_server("w9"); }, ms(4000));
    EXPECT_FALSE(fixture.node->has_server("w1")) << "the new list does not contain it";
}

// Settings with an invalid discovery address keep the old one in use.
TEST(Watch, InvalidAddressInNewSettingsKeepsTheOldOne) {
    GatewayFixture fixture;
    fixture.run_for(ms(30));
    fixture.node->change(terms_for("nowhere", fixture.platform.list_json(), 256));
    fixture.platform.add("w9", Role::decode, "z", 1);
    fixture.wait_until(
        "the list of the old address is applied", [&] { return fixture.node->has_server("w9"); }, ms(1000));
}

}  // namespace
}  // namespace copperfront
