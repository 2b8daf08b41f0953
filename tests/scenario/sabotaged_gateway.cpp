// A gateway that breaks one rule on purpose, to test that the audit detects it. For tests only.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>

#include "gateway/gateway.h"

namespace copperfront {
namespace {

// Sits between the dispatcher and the gateway, and changes some of the dispatcher's calls.
class SabotagingHost : public DispatcherHost {
  public:
    SabotagingHost(DispatcherHost& host, std::string kind, const ServerIndex& cold_server)
        : host_(host), kind_(std::move(kind)), cold_server_(cold_server) {}

    Instant now() const override { return host_.now(); }
    void schedule_wakeup(Instant at) override {
        host_.schedule_wakeup(kind_ == "late" ? at + Duration{600000} : at);
    }
    void send_prefill(AttemptId attempt, ServerIndex to, RequestIndex request, Duration limit) override {
        // Overloads the cold server. Each extra attempt is cancelled at once, so that no state is left
        // behind.
        for (int n = 0; kind_ == "cold" && cold_server_ != kNoServer && n < 6; ++n) {
            const AttemptId extra_attempt = (AttemptId{1} << 40) + ++extra_attempts_;
            host_.send_prefill(extra_attempt, cold_server_, request, limit);
            host_.cancel_attempt(extra_attempt, cold_server_);
        }
        host_.send_prefill(attempt, to, request, limit);
    }
    void send_decode(AttemptId attempt, ServerIndex to, RequestIndex request, AttemptId state,
                     ServerIndex from, Duration limit) override {
        host_.send_decode(attempt, to, request, state, from, limit);
    }
    void cancel_attempt(AttemptId attempt, ServerIndex at) override { host_.cancel_attempt(attempt, at); }
    bool cancel_if_unsent(AttemptId attempt, ServerIndex at) override {
        return host_.cancel_if_unsent(attempt, at);
    }
    void release(ServerIndex at, AttemptId state) override {
        if (kind_ == "pinned") return;
        host_.release(at, state);
    }
    void probe(ServerIndex server) override { host_.probe(server); }
    void subscribe() override { host_.subscribe(); }
    void completed(RequestIndex request) override {
        if (kind_ == "dropped" && ++answers_ % 5 == 0) return;
        host_.completed(request);
    }
    void rejected(RequestIndex request, Duration retry_after, std::string_view why) override {
        host_.rejected(request, retry_after, why);
    }
    void abandoned(RequestIndex request, std::string_view why) override { host_.abandoned(request, why); }
    void closed(RequestIndex request) override { host_.closed(request); }
    void log(std::string_view line) override { host_.log(line); }

    static constexpr ServerIndex kNoServer = ~ServerIndex{0};

  private:
    DispatcherHost& host_;
    const std::string kind_;
    const ServerIndex& cold_server_;
    std::uint64_t answers_ = 0, extra_attempts_ = 0;
};

class SabotagedGateway : public Gateway {
  public:
    SabotagedGateway(Loop& loop, const GatewayTerms& terms, std::uint32_t seed, Log& log, std::string kind,
                     std::unique_ptr<SabotagingHost>& sabotaging_host, ServerIndex& cold_server)
        : Gateway(loop, terms, seed, log,
                  [&](const Terms& core, copperfront::DispatcherHost& host, std::uint32_t s) {
                      sabotaging_host = std::make_unique<SabotagingHost>(host, kind, cold_server);
                      Terms other = core;
                      // The dispatcher decides what may be sent twice; here it gets the wrong effects.
                      if (kind == "twice")
                          for (Category& c : other.categories) c.effect = Effect::pure;
                      return std::make_unique<Dispatcher>(other, *sabotaging_host, s);
                  }),
          kind_(std::move(kind)),
          cold_server_(cold_server) {}

  private:
    std::string rewrite_final_line(const std::string& line) override {
        return kind_ == "doubled" ? line + "\n" + line : line;
    }
    void list_received(const std::vector<rpc::RosterEntry>& entries, bool whole, bool stale) override {
        std::vector<rpc::RosterEntry> changed = entries;
        for (rpc::RosterEntry& e : changed) {
            const ServerIndex server = names_.intern(e.server);
            if (kind_ == "drain") e.status = ServerStatus::ready;
            if (e.started_at_ms > 0 && e.kind == "reader" && e.status == ServerStatus::ready)
                cold_server_ = server;
        }
        Gateway::list_received(changed, whole, stale);
    }
    const std::string kind_;
    ServerIndex& cold_server_;
    NameTable names_;
};

}  // namespace
}  // namespace copperfront

int main(int argc, char** argv) {
    using namespace copperfront;
    CLI::App app("a gateway that breaks one rule on purpose");
    auto* sub = app.add_subcommand("gateway", "");
    std::string file, kind;
    Overrides o;
    std::uint32_t seed = 1;
    sub->add_option("FILE", file)->required();
    sub->add_option("--name", o.name);
    sub->add_option("--zone", o.zone);
    sub->add_option("--listen", o.listen);
    sub->add_option("--roster", o.roster);
    sub->add_option("--state", o.state_folder);
    sub->add_option("--trace", o.trace_folder);
    sub->add_option("--seed", seed);
    sub->add_option("--sabotage", kind)
        ->required()
        ->check(CLI::IsMember({"dropped", "doubled", "late", "twice", "drain", "cold", "pinned"}));
    CLI11_PARSE(app, argc, argv);
    GatewayTerms terms;
    std::vector<Diagnostic> diagnostics;
    if (!read_terms_file(file, o, terms, diagnostics)) {
        std::fprintf(stderr, "%s\n", format_diagnostics(file, diagnostics).c_str());
        return 2;
    }
    Log log("info", "json", "", 1 << 20, 1);
    Loop loop;
    std::unique_ptr<SabotagingHost> sabotaging_host;
    ServerIndex cold_server = SabotagingHost::kNoServer;
    SabotagedGateway gateway(loop, terms, seed, log, kind, sabotaging_host, cold_server);
    for (const int signal : {SIGTERM, SIGINT}) loop.on_signal(signal, [&] { gateway.stop(); });
    std::printf("ready %s\n", gateway.address().text().c_str());
    std::fflush(stdout);
    loop.run();
    return 0;
}
