// The adapter: reads batches of events from standard input, calls the rules of each gateway, and writes what
// they did. It holds no decision; ids become small indices here and go back unchanged.

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/rules.h"
#include "door/names.h"
#include "platform/settings.h"

namespace copperfront {
namespace {

using namespace platform;

double wire_ms(Span span) { return static_cast<double>(span.us) / 1000.0; }

std::uint32_t known(const Names& names, const std::string& name, const char* what) {
    const std::uint32_t* i = names.find(name);
    if (!i) throw BadInput(std::string("unknown ") + what + ": " + name);
    return *i;
}

class Gateway : public Host {
  public:
    Gateway(std::uint64_t who, const Json& event, Instant clock, std::string& reply)
        : who_(who), clock_(clock), reply_(reply) {
        const Json& env = needed(event, "env");
        if (!env.is_object()) throw BadInput("not an object: env");
        const Terms terms = read_terms(env, named_);
        rules_ =
            std::make_unique<Rules>(terms, *this, static_cast<std::uint32_t>(whole(event, "random-seed")));
    }

    void set_clock(Instant clock) { clock_ = clock; }

    void take(const std::string& kind, const Json& event) {
        if (kind == "DirectoryUpdate") return directory(event);
        if (kind == "Inbound") return inbound(event);
        if (kind == "Flowing") return flowing(event);
        if (kind == "Result") return result(event);
        if (kind == "Gone") return gone(event);
        if (kind == "Wake") return wake(event);
        if (kind == "StatusBack") return status_back(event);
        if (kind == "AnswerAhead") {  // the rules never hold a place ahead
            whole(event, "call");
            return;
        }
        if (kind == "Heard") return rules_->peer_told(text(event, "data"));
        throw BadInput("unknown message: " + kind);
    }

    // An index is free again only between batches, since a query that has ended may still be named within
    // one.
    void end_batch() {
        for (const QueryIndex i : ended_) {
            Call& call = calls_[i];
            if (!call.used || !call.ended || call.out > 0) continue;
            index_of_call_.erase(call.id);
            call.used = false;
            free_.push_back(i);
        }
        ended_.clear();
    }

    Instant now() const override { return clock_; }
    void start_attempt(QueryIndex query, ServerIndex server, const AttemptLimits& limits) override {
        Call& call = calls_[query];
        ++call.out;
        say("SubmitTo", {{"call", call.id},
                         {"server", servers_.name(server)},
                         {"limit-ms", limits.answer.us > 0 ? wire_ms(limits.answer) : -1.0}});
    }
    void retract(QueryIndex query, std::uint32_t attempt) override {
        say("Retract", {{"call", calls_[query].id}, {"attempt", attempt}});
    }
    void decline(QueryIndex query, Span stay_away) override {
        ended(query);
        Json action = {{"call", calls_[query].id}};
        if (stay_away.us > 0) action["stay-away-ms"] = wire_ms(stay_away);
        say("Decline", std::move(action));
    }
    void give_up(QueryIndex query) override {
        ended(query);
        say("Lose", {{"call", calls_[query].id}});
    }
    void release(QueryIndex query) override { say("Release", {{"call", calls_[query].id}}); }
    bool may_attempt_again(QueryIndex, Ending) override { return true; }
    void probe(ServerIndex server) override { say("SoundOut", {{"server", servers_.name(server)}}); }
    void tell_peers(std::string_view what) override { say("Publish", {{"dst", "all"}, {"data", what}}); }
    void subscribe() override { say("Listen", {{"on", true}}); }
    void set_timer(Span from_now, TimerKey key) override {
        say("Timer", {{"from-now-ms", wire_ms(from_now)}, {"key-back", std::to_string(key)}});
    }
    void log(std::string_view line) override { say("Log", {{"line", line}}); }

  private:
    struct Call {
        std::uint64_t id = 0;
        std::uint32_t out = 0;
        bool used = false, ended = false;
    };

    void say(const char* kind, Json action) {
        action["kind"] = kind;
        action["who"] = who_;
        reply_ += action.dump(-1, ' ', false, Json::error_handler_t::replace);
        reply_ += '\n';
    }

    void ended(QueryIndex query) {
        calls_[query].ended = true;
        ended_.push_back(query);
    }

    const QueryIndex* find_call(const Json& event) const {
        const auto it = index_of_call_.find(whole(event, "call"));
        return it == index_of_call_.end() ? nullptr : &it->second;
    }

    void directory(const Json& event) {
        const std::string how = text(event, "how");
        if (how == "broken") return rules_->list_missed();
        if (how != "patch" && how != "whole" && how != "stale_copy") throw BadInput("unknown how: " + how);
        std::vector<Listing> entries;
        for (const Json& e : list_or_empty(event, "members-list")) {
            if (!e.is_object()) throw BadInput("not an object: members-list");
            Listing listing;
            listing.server = servers_.index(text(e, "server"));
            listing.mark = mark(text(e, "server"));
            listing.kind =
                static_cast<std::uint16_t>(known(named_.kinds, text(e, "family-type"), "family-type"));
            listing.zone = static_cast<std::uint16_t>(named_.zones.index(text_or(e, "region-part", "")));
            listing.cell = cells_.index(std::to_string(number_or(e, "unit-group", 0)));
            listing.born = {micros(number_or(e, "born-ms", 0))};
            const std::string condition = text(e, "condition");
            if (condition != "Ready" && condition != "Terminating" && condition != "Gone")
                throw BadInput("unknown condition: " + condition);
            listing.standing = condition == "Ready"  ? Standing::ready
                               : condition == "Gone" ? Standing::gone
                                                     : Standing::draining;
            entries.push_back(listing);
        }
        rules_->list_arrived(entries, how != "patch");
    }

    void inbound(const Json& event) {
        const std::uint64_t id = whole(event, "call");
        if (index_of_call_.count(id)) throw BadInput("a call comes twice: " + std::to_string(id));
        Arrival a;
        a.category =
            static_cast<std::uint16_t>(known(named_.categories, text(event, "priority"), "priority"));
        if (const Json* group = field(event, "client-group"); group && group->is_string())
            a.client_group =
                static_cast<std::int32_t>(known(named_.groups, group->get<std::string>(), "client-group"));
        else if (group && *group != 0)
            throw BadInput("not a text: client-group");
        a.session = mark(text_or(event, "session-id", ""));
        if (const Json* shared = field(event, "system-prompt"); shared && *shared != 0)
            a.beginning = mark(as_text(*shared, "system-prompt"));
        a.budget = {micros(number(event, "time-budget-ms"))};
        a.hint = span_or(event, "hint-ms", 0);
        a.prompt_tokens = number_or(event, "prompt-tokens", 0);
        a.beginning_tokens = number_or(event, "prefix-len", 0);
        a.most_tokens = number_or(event, "max-tokens", 0);
        QueryIndex i = static_cast<QueryIndex>(calls_.size());
        if (free_.empty()) {
            calls_.emplace_back();
        } else {
            i = free_.back();
            free_.pop_back();
        }
        calls_[i] = {id, 0, true, false};
        index_of_call_[id] = i;
        rules_->query_arrived(i, a);
    }

    void flowing(const Json& event) {
        const double took = number_or(event, "took-ms", 0);
        if (const QueryIndex* i = find_call(event)) rules_->stream_began(*i, {micros(took)});
    }

    void gone(const Json& event) {
        const QueryIndex* i = find_call(event);
        if (!i) return;
        ended(*i);
        rules_->query_left(*i);
    }

    LoadReport report(const Json& event) const {
        LoadReport r;
        const Json& pressure = object_or_empty(event, "pressure");
        r.memory_share = number_or(pressure, "x0", -1);
        r.unread_thousands = number_or(pressure, "x1", -1);
        return r;
    }

    void result(const Json& event) {
        static const std::map<std::string, Ending> endings = {{"ok", Ending::settled},
                                                              {"error", Ending::error},
                                                              {"full", Ending::full},
                                                              {"timeout", Ending::late},
                                                              {"reset", Ending::broken},
                                                              {"connect_failed", Ending::unreachable},
                                                              {"cancelled", Ending::retracted},
                                                              {"moot", Ending::unsent},
                                                              {"read", Ending::read}};
        const auto ending = endings.find(text(event, "how"));
        if (ending == endings.end()) throw BadInput("unknown how: " + text(event, "how"));
        const ServerIndex server = known(servers_, text(event, "server"), "server");
        const double info = number_or(event, "info", 0);
        Outcome o;
        o.ending = ending->second;
        o.took = span_or(event, "took-ms", 0);
        o.no_state = o.ending == Ending::full && info == 1;
        o.kept_tokens = info;
        o.over = flag(event, "final");
        o.report = report(event);
        const QueryIndex* found = find_call(event);
        if (!found || calls_[*found].out == 0) return;
        const QueryIndex i = *found;
        --calls_[i].out;
        if (o.over) calls_[i].ended = true;
        if (calls_[i].ended) ended_.push_back(i);
        rules_->attempt_ended(i, server, o);
    }

    void wake(const Json& event) {
        const std::string key = text(event, "key-back");
        char* end = nullptr;
        const TimerKey number = std::strtoull(key.c_str(), &end, 10);
        if (key.empty() || *end != '\0') throw BadInput("a timer that was never set: " + key);
        rules_->timer_rang(number);
    }

    void status_back(const Json& event) {
        const ServerIndex server = known(servers_, text(event, "server"), "server");
        rules_->probe_answered(server, text(event, "how") == "ok", report(event));
    }

    std::uint64_t who_;
    Instant clock_;
    std::string& reply_;
    Names servers_, cells_;
    Named named_;
    std::vector<Call> calls_;
    std::vector<QueryIndex> free_, ended_;
    std::unordered_map<std::uint64_t, QueryIndex> index_of_call_;
    std::unique_ptr<Rules> rules_;
};

class Wire {
  public:
    void line(const std::string& raw) {
        const Json event = Json::parse(raw, nullptr, false);
        if (event.is_discarded()) throw BadInput("not JSON");
        if (!event.is_object()) throw BadInput("not an object");
        const std::string kind = text(event, "kind");
        if (kind == "Round") {
            if (in_batch_) throw BadInput("a Round inside a batch");
            const Instant clock{micros(number(event, "time-ms"))};
            if (clock < clock_) throw BadInput("the clock goes backward");
            clock_ = clock;
            in_batch_ = true;
            return;
        }
        if (!in_batch_) throw BadInput("no Round before " + kind);
        if (kind == "EofBatch") {
            for (auto& [who, gateway] : gateways_) gateway->end_batch();
            reply_ += "{\"kind\":\"Eor\"}\n";
            std::cout << reply_ << std::flush;
            reply_.clear();
            in_batch_ = false;
            return;
        }
        const std::uint64_t who = whole(event, "who");
        if (kind == "Provision") {
            if (gateways_.count(who)) throw BadInput("an instance is provisioned twice");
            gateways_.emplace(who, std::make_unique<Gateway>(who, event, clock_, reply_));
            return;
        }
        const auto it = gateways_.find(who);
        if (it == gateways_.end())
            throw BadInput("an instance that is not provisioned: " + std::to_string(who));
        if (kind == "Teardown") {
            gateways_.erase(it);
            return;
        }
        try {
            it->second->set_clock(clock_);
            it->second->take(kind, event);
        } catch (const BadInput&) {
            throw;
        } catch (const std::exception& trouble) {
            const Json fault = {{"kind", "Exception"}, {"who", who}, {"line", trouble.what()}};
            reply_ += fault.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
        }
    }

    bool in_batch() const { return in_batch_; }

  private:
    bool in_batch_ = false;
    Instant clock_;
    std::string reply_;
    std::map<std::uint64_t, std::unique_ptr<Gateway>> gateways_;
};

}  // namespace
}  // namespace copperfront

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    copperfront::Wire wire;
    std::string raw;
    std::size_t line = 0;
    try {
        while (std::getline(std::cin, raw)) {
            ++line;
            if (raw.find_first_not_of(" \t\r") == std::string::npos) continue;
            wire.line(raw);
        }
        if (wire.in_batch()) throw copperfront::BadInput("the input ends inside a batch");
    } catch (const std::exception& trouble) {
        std::cerr << "copperfront_wirehost: line " << line << ": " << trouble.what() << std::endl;
        return 2;
    }
    return 0;
}
