// The daemon: joins callers, engines and the roster to the desk, and so to the module that decides. What
// happens on the sockets becomes a call; what the desk does becomes a message. No decision is taken here.
#pragma once

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "desk/desk.h"
#include "gateway/callers.h"
#include "gateway/engines.h"
#include "gateway/peers.h"
#include "gateway/roster_feed.h"
#include "gateway/trace_feed.h"
#include "logging/log.h"
#include "net/link.h"
#include "terms/terms_file.h"

namespace copperfront {

class Gateway : private Outside, private Callers::Owner, private Engines::Owner {
  public:
    // Listens at once; throws NetTrouble or std::runtime_error where it cannot.
    // `make_desk` is for tests that break a rule on purpose, to see that it is noticed.
    using MakeDesk = std::function<std::unique_ptr<Desk>(const Terms&, Outside&, std::uint32_t seed)>;
    Gateway(Loop& loop, const GatewayTerms& terms, std::uint32_t seed, Log& log,
            const MakeDesk& make_desk = {});
    ~Gateway() override;

    Address address(std::uint32_t listener = 0) const { return listeners_.at(listener)->address(); }
    // Other terms, as a whole or not at all: false, with everything that is wrong in the faults, and the old
    // ones stay. What is in hand keeps the terms that it came with.
    bool change(GatewayTerms terms, std::vector<Fault>& faults);
    // The same from a file; what is wrong is logged and told by the status call.
    bool reload(const std::string& path, const Overrides& overrides);
    // The same, but read and checked on a thread of its own, so that a file of thousands of routes holds up
    // no answer. One that is wanted while another is under way is begun when that is done.
    void reload_aside(const std::string& path, const Overrides& overrides);
    // Counts where the terms of another file would decide otherwise, and decides as before. False, with what
    // is wrong in the faults: its categories, kinds, client groups and zones must be those of this one.
    bool watch(const GatewayTerms& other, std::vector<Fault>& faults, std::uint32_t seed);
    Peers* peers() { return peers_.get(); }
    std::uint64_t generation() const { return generation_; }
    // Takes nothing new, lets what is open end, and then stops the loop. A second call gives up what is open.
    void stop();
    const Desk& desk() const { return *desk_; }

  protected:
    // Both for tests that break a rule on purpose.
    virtual std::string final_line(const std::string& line) { return line; }
    virtual void list_told(const std::vector<rpc::RosterEntry>& entries, bool whole, bool stale);

  private:
    struct Open {
        CallerId caller = 0;
        rpc::Id id;
        rpc::Ask ask;
        std::string name;  // in records and at engines
        double tokens = 0;
        std::string text;
        bool streams = true;
    };

    Instant now() const override { return loop_.now(); }
    void wake_at(Instant at) override;
    void send_read(AttemptId attempt, ServerIndex to, QueryIndex query, Span limit) override;
    void send_write(AttemptId attempt, ServerIndex to, QueryIndex query, AttemptId state, ServerIndex from,
                    Span limit) override;
    void call_off(AttemptId attempt, ServerIndex at) override;
    bool unsend(AttemptId attempt, ServerIndex) override { return engines_->unsend(attempt); }
    void release(ServerIndex at, AttemptId state) override;
    void probe(ServerIndex server) override;
    void subscribe() override;
    void tell_peers(std::string_view note) override {
        if (peers_) peers_->tell(note);
    }
    void settled(QueryIndex query) override;
    void declined(QueryIndex query, Span stay_away, std::string_view why) override;
    void given_up(QueryIndex query, std::string_view why) override;
    void closed(QueryIndex query) override;
    void log(std::string_view line) override;

    std::string asked(CallerId caller, const rpc::Id& id, const rpc::Ask& ask,
                      std::uint32_t listener) override;
    rpc::Json status() const override;
    rpc::Json peers_told() const;
    rpc::Json watching_told() const;
    void left(CallerId caller, const rpc::Id& id) override;

    void attempt_over(AttemptId attempt, const Outcome& outcome, double tokens,
                      const std::string& text) override;
    void token_came(AttemptId attempt, std::string_view text) override;
    void probe_over(ServerIndex server, bool answered, const LoadReport& report) override;

    struct Read {
        bool well = false;
        GatewayTerms terms;
        std::vector<Fault> faults;
    };
    static Read read(const std::string& path, const Overrides& overrides);
    bool take(const std::string& path, Read read);
    void look_for_read();
    Terms adopt(const GatewayTerms& terms);
    std::vector<RouteLimits> route_limits() const;
    std::string state_name(AttemptId attempt) const;
    rpc::Order order_of(const Open& open, Span limit) const;
    void answer(QueryIndex query, const std::string& line, const char* how);
    void look_for_end();

    Loop& loop_;
    GatewayTerms terms_;
    Log& log_;
    const std::string life_;
    std::vector<Open> open_;  // by query
    std::map<std::pair<CallerId, rpc::Id>, QueryIndex> by_call_;
    Names servers_, cells_;
    std::uint64_t queries_ = 0;
    double settled_tokens_ = 0;
    std::string settled_text_;
    bool stopping_ = false, ended_ = false;
    // Of the module, under the names of the file: they only grow, so that a query in hand keeps what it came
    // with.
    std::vector<Category> categories_;
    std::vector<std::string> category_names_;
    std::vector<std::uint16_t> category_now_;  // by the file's index
    Names groups_, routes_;                    // routes_: by RouteIndex
    std::vector<std::int32_t> group_now_;      // by the file's index
    std::vector<RouteIndex> route_now_;        // by place in the table
    std::uint64_t generation_ = 1;
    Instant changed_;
    std::string refused_;  // why the last reload was
    std::vector<std::unique_ptr<Listener>> listeners_;
    std::unique_ptr<Callers> callers_;
    std::unique_ptr<Engines> engines_;
    std::unique_ptr<RosterFeed> roster_;
    std::unique_ptr<Peers> peers_;      // null: it may not tell them anything
    std::unique_ptr<TraceFeed> trace_;  // null: no trace is kept
    std::unique_ptr<Desk> desk_;
    std::future<Read> reading_;
    std::string reading_path_;
    Overrides reading_overrides_;
    bool read_again_ = false;
    Timer wake_, stop_timer_, read_timer_;
    Instant stop_by_;
};

}  // namespace copperfront
