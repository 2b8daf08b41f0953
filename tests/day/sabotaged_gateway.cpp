// A gateway that breaks one rule on purpose, so that the audit can be seen to notice. For tests only.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>

#include "gateway/gateway.h"

namespace copperfront {
namespace {

// Stands between the desk and the gateway and does some of what it is told otherwise.
class Saboteur : public Outside {
  public:
    Saboteur(Outside& real, std::string kind, const ServerIndex& cold)
        : real_(real), kind_(std::move(kind)), cold_(cold) {}

    Instant now() const override { return real_.now(); }
    void wake_at(Instant at) override { real_.wake_at(kind_ == "late" ? at + Span{600000} : at); }
    void send_read(AttemptId attempt, ServerIndex to, QueryIndex query, Span limit) override {
        // Pushed, but each push is called off at once, so that no state is left behind.
        for (int n = 0; kind_ == "cold" && cold_ != kNone && n < 6; ++n) {
            const AttemptId push = (AttemptId{1} << 40) + ++pushes_;
            real_.send_read(push, cold_, query, limit);
            real_.call_off(push, cold_);
        }
        real_.send_read(attempt, to, query, limit);
    }
    void send_write(AttemptId attempt, ServerIndex to, QueryIndex query, AttemptId state, ServerIndex from,
                    Span limit) override {
        real_.send_write(attempt, to, query, state, from, limit);
    }
    void call_off(AttemptId attempt, ServerIndex at) override { real_.call_off(attempt, at); }
    bool unsend(AttemptId attempt, ServerIndex at) override { return real_.unsend(attempt, at); }
    void release(ServerIndex at, AttemptId state) override {
        if (kind_ == "pinned") return;
        real_.release(at, state);
    }
    void probe(ServerIndex server) override { real_.probe(server); }
    void subscribe() override { real_.subscribe(); }
    void settled(QueryIndex query) override {
        if (kind_ == "dropped" && ++answers_ % 5 == 0) return;
        real_.settled(query);
    }
    void declined(QueryIndex query, Span stay_away, std::string_view why) override {
        real_.declined(query, stay_away, why);
    }
    void given_up(QueryIndex query, std::string_view why) override { real_.given_up(query, why); }
    void closed(QueryIndex query) override { real_.closed(query); }
    void log(std::string_view line) override { real_.log(line); }

    static constexpr ServerIndex kNone = ~ServerIndex{0};

  private:
    Outside& real_;
    const std::string kind_;
    const ServerIndex& cold_;
    std::uint64_t answers_ = 0, pushes_ = 0;
};

class Sabotaged : public Gateway {
  public:
    Sabotaged(Loop& loop, const GatewayTerms& terms, std::uint32_t seed, Log& log, std::string kind,
              std::unique_ptr<Saboteur>& saboteur, ServerIndex& cold)
        : Gateway(loop, terms, seed, log,
                  [&](const Terms& core, copperfront::Outside& real, std::uint32_t s) {
                      saboteur = std::make_unique<Saboteur>(real, kind, cold);
                      Terms other = core;
                      // What may be sent twice is the module's to decide; it is told wrongly here.
                      if (kind == "twice")
                          for (Category& c : other.categories) c.effect = Effect::pure;
                      return std::make_unique<Desk>(other, *saboteur, s);
                  }),
          kind_(std::move(kind)),
          cold_(cold) {}

  private:
    std::string final_line(const std::string& line) override {
        return kind_ == "doubled" ? line + "\n" + line : line;
    }
    void list_told(const std::vector<rpc::RosterEntry>& entries, bool whole, bool stale) override {
        std::vector<rpc::RosterEntry> told = entries;
        for (rpc::RosterEntry& e : told) {
            const ServerIndex s = names_.index(e.server);
            if (kind_ == "drain") e.standing = Standing::ready;
            if (e.born_ms > 0 && e.kind == "reader" && e.standing == Standing::ready) cold_ = s;
        }
        Gateway::list_told(told, whole, stale);
    }
    const std::string kind_;
    ServerIndex& cold_;
    Names names_;
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
    std::vector<Fault> faults;
    if (!read_terms_file(file, o, terms, faults)) {
        std::fprintf(stderr, "%s\n", text_of(file, faults).c_str());
        return 2;
    }
    Log log("info", "json", "", 1 << 20, 1);
    Loop loop;
    std::unique_ptr<Saboteur> saboteur;
    ServerIndex cold = Saboteur::kNone;
    Sabotaged gateway(loop, terms, seed, log, kind, saboteur, cold);
    for (const int signal : {SIGTERM, SIGINT}) loop.on_signal(signal, [&] { gateway.stop(); });
    std::printf("ready %s\n", gateway.address().text().c_str());
    std::fflush(stdout);
    loop.run();
    return 0;
}
