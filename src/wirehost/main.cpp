// Adapter between a simulator and the router: reads batches of events as JSON lines from standard input,
// passes each event to the router of its gateway, and writes the router's actions to standard output. It
// makes no decision of its own. It maps ids to small indices, and writes the original ids.

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/router.h"
#include "interning/name_table.h"
#include "platform/settings.h"

namespace copperfront {
namespace {

using namespace platform;

// Converts a duration to the milliseconds of the JSON lines.
double wire_ms(Duration span) { return static_cast<double>(span.us) / 1000.0; }

// Returns the index of the name. Throws BadInput if the name is unknown.
std::uint32_t required_index(const NameTable& names, const std::string& name, const char* what) {
    const std::uint32_t* i = names.find(name);
    if (!i) throw BadInput(std::string("unknown ") + what + ": " + name);
    return *i;
}

// One simulated gateway: its router, and the names and ids of its events.
class Gateway : public Host {
  public:
    Gateway(std::uint64_t gateway_id, const Json& event, Instant clock, std::string& reply)
        : gateway_id_(gateway_id), now_(clock), reply_(reply) {
        const Json& env = required_field(event, "env");
        if (!env.is_object()) throw BadInput("not an object: env");
        const Terms terms = read_terms(env, setting_names_);
        router_ = std::make_unique<Router>(
            terms, *this, static_cast<std::uint32_t>(required_unsigned(event, "random-seed")));
    }

    void set_clock(Instant clock) { now_ = clock; }

    void handle_event(const std::string& kind, const Json& event) {
        if (kind == "DirectoryUpdate") return handle_directory_update(event);
        if (kind == "Inbound") return handle_inbound(event);
        if (kind == "Flowing") return handle_flowing(event);
        if (kind == "Result") return handle_result(event);
        if (kind == "Gone") return handle_gone(event);
        if (kind == "Wake") return handle_wake(event);
        if (kind == "StatusBack") return handle_status_back(event);
        if (kind == "AnswerAhead") {  // the router never reserves a slot ahead of its use
            required_unsigned(event, "call");
            return;
        }
        if (kind == "Heard") return router_->peer_note_received(required_string(event, "data"));
        throw BadInput("unknown message: " + kind);
    }

    // Frees the indices of ended requests. This happens only between batches, since later events of a batch
    // may still name a request that has ended.
    void end_batch() {
        for (const RequestIndex i : ended_requests_) {
            RequestState& state = requests_[i];
            if (!state.is_used || !state.has_ended || state.attempts_in_flight > 0) continue;
            index_by_id_.erase(state.id);
            state.is_used = false;
            free_indices_.push_back(i);
        }
        ended_requests_.clear();
    }

    Instant now() const override { return now_; }
    void start_attempt(RequestIndex request, ServerIndex server, const AttemptLimits& limits) override {
        RequestState& state = requests_[request];
        ++state.attempts_in_flight;
        write_action("SubmitTo", {{"call", state.id},
                                  {"server", server_names_.name(server)},
                                  {"limit-ms", limits.answer.us > 0 ? wire_ms(limits.answer) : -1.0}});
    }
    void cancel_attempt(RequestIndex request, std::uint32_t attempt) override {
        write_action("Retract", {{"call", requests_[request].id}, {"attempt", attempt}});
    }
    void reject(RequestIndex request, Duration retry_after) override {
        mark_ended(request);
        Json action = {{"call", requests_[request].id}};
        if (retry_after.us > 0) action["stay-away-ms"] = wire_ms(retry_after);
        write_action("Decline", std::move(action));
    }
    void abandon(RequestIndex request) override {
        mark_ended(request);
        write_action("Lose", {{"call", requests_[request].id}});
    }
    void release(RequestIndex request) override {
        write_action("Release", {{"call", requests_[request].id}});
    }
    bool may_attempt_again(RequestIndex, Ending) override { return true; }
    void probe(ServerIndex server) override {
        write_action("SoundOut", {{"server", server_names_.name(server)}});
    }
    void notify_peers(std::string_view what) override {
        write_action("Publish", {{"dst", "all"}, {"data", what}});
    }
    void subscribe() override { write_action("Listen", {{"on", true}}); }
    void set_timer(Duration from_now, TimerKey key) override {
        write_action("Timer", {{"from-now-ms", wire_ms(from_now)}, {"key-back", std::to_string(key)}});
    }
    void log(std::string_view line) override { write_action("Log", {{"line", line}}); }

  private:
    struct RequestState {
        std::uint64_t id = 0;
        std::uint32_t attempts_in_flight = 0;
        bool is_used = false, has_ended = false;
    };

    void write_action(const char* kind, Json action) {
        action["kind"] = kind;
        action["who"] = gateway_id_;
        reply_ += action.dump(-1, ' ', false, Json::error_handler_t::replace);
        reply_ += '\n';
    }

    void mark_ended(RequestIndex request) {
        requests_[request].has_ended = true;
        ended_requests_.push_back(request);
    }

    const RequestIndex* find_request(const Json& event) const {
        const auto it = index_by_id_.find(required_unsigned(event, "call"));
        return it == index_by_id_.end() ? nullptr : &it->second;
    }

    void handle_directory_update(const Json& event) {
        const std::string how = required_string(event, "how");
        if (how == "broken") return router_->list_fetch_failed();
        if (how != "patch" && how != "whole" && how != "stale_copy") throw BadInput("unknown how: " + how);
        std::vector<ServerListing> entries;
        for (const Json& e : array_or_empty(event, "members-list")) {
            if (!e.is_object()) throw BadInput("not an object: members-list");
            ServerListing listing;
            listing.server = server_names_.intern(required_string(e, "server"));
            listing.name_hash = hash_of(required_string(e, "server"));
            listing.kind = static_cast<std::uint16_t>(
                required_index(setting_names_.kinds, required_string(e, "family-type"), "family-type"));
            listing.zone =
                static_cast<std::uint16_t>(setting_names_.zones.intern(string_or(e, "region-part", "")));
            listing.cell = cell_names_.intern(std::to_string(number_or(e, "unit-group", 0)));
            listing.started_at = {us_from_ms(number_or(e, "born-ms", 0))};
            const std::string condition = required_string(e, "condition");
            if (condition != "Ready" && condition != "Terminating" && condition != "Gone")
                throw BadInput("unknown condition: " + condition);
            listing.status = condition == "Ready"  ? ServerStatus::ready
                             : condition == "Gone" ? ServerStatus::removed
                                                   : ServerStatus::draining;
            entries.push_back(listing);
        }
        router_->list_arrived(entries, how != "patch");
    }

    void handle_inbound(const Json& event) {
        const std::uint64_t id = required_unsigned(event, "call");
        if (index_by_id_.count(id)) throw BadInput("duplicate call: " + std::to_string(id));
        RequestInfo info;
        info.category = static_cast<std::uint16_t>(
            required_index(setting_names_.categories, required_string(event, "priority"), "priority"));
        if (const Json* group = field(event, "client-group"); group && group->is_string())
            info.client_group = static_cast<std::int32_t>(
                required_index(setting_names_.groups, group->get<std::string>(), "client-group"));
        else if (group && *group != 0)
            throw BadInput("not a text: client-group");
        info.session = hash_of(string_or(event, "session-id", ""));
        if (const Json* shared = field(event, "system-prompt"); shared && *shared != 0)
            info.shared_prefix = hash_of(as_string(*shared, "system-prompt"));
        info.time_budget = {us_from_ms(required_number(event, "time-budget-ms"))};
        info.duration_hint = duration_or(event, "hint-ms", 0);
        info.prompt_tokens = number_or(event, "prompt-tokens", 0);
        info.shared_prefix_tokens = number_or(event, "prefix-len", 0);
        info.max_output_tokens = number_or(event, "max-tokens", 0);
        RequestIndex i = static_cast<RequestIndex>(requests_.size());
        if (free_indices_.empty()) {
            requests_.emplace_back();
        } else {
            i = free_indices_.back();
            free_indices_.pop_back();
        }
        requests_[i] = {id, 0, true, false};
        index_by_id_[id] = i;
        router_->request_arrived(i, info);
    }

    void handle_flowing(const Json& event) {
        const double took = number_or(event, "took-ms", 0);
        if (const RequestIndex* i = find_request(event)) router_->stream_began(*i, {us_from_ms(took)});
    }

    void handle_gone(const Json& event) {
        const RequestIndex* i = find_request(event);
        if (!i) return;
        mark_ended(*i);
        router_->client_left(*i);
    }

    LoadReport read_load_report(const Json& event) const {
        LoadReport report;
        const Json& pressure = object_or_empty(event, "pressure");
        report.memory_share = number_or(pressure, "x0", -1);
        report.queued_kilotokens = number_or(pressure, "x1", -1);
        return report;
    }

    void handle_result(const Json& event) {
        static const std::map<std::string, Ending> endings = {
            {"ok", Ending::completed},          {"error", Ending::error},
            {"full", Ending::refused},          {"timeout", Ending::timed_out},
            {"reset", Ending::connection_lost}, {"connect_failed", Ending::unreachable},
            {"cancelled", Ending::cancelled},   {"moot", Ending::unsent},
            {"read", Ending::prefilled}};
        const auto ending = endings.find(required_string(event, "how"));
        if (ending == endings.end()) throw BadInput("unknown how: " + required_string(event, "how"));
        const ServerIndex server = required_index(server_names_, required_string(event, "server"), "server");
        const double info = number_or(event, "info", 0);
        AttemptOutcome outcome;
        outcome.ending = ending->second;
        outcome.duration = duration_or(event, "took-ms", 0);
        outcome.state_missing = outcome.ending == Ending::refused && info == 1;
        outcome.cached_tokens = info;
        outcome.request_answered = flag(event, "final");
        outcome.report = read_load_report(event);
        const RequestIndex* found = find_request(event);
        if (!found || requests_[*found].attempts_in_flight == 0) return;
        const RequestIndex i = *found;
        --requests_[i].attempts_in_flight;
        if (outcome.request_answered) requests_[i].has_ended = true;
        if (requests_[i].has_ended) ended_requests_.push_back(i);
        router_->attempt_ended(i, server, outcome);
    }

    void handle_wake(const Json& event) {
        const std::string key = required_string(event, "key-back");
        char* end = nullptr;
        const TimerKey timer = std::strtoull(key.c_str(), &end, 10);
        if (key.empty() || *end != '\0') throw BadInput("invalid timer key: " + key);
        router_->timer_fired(timer);
    }

    void handle_status_back(const Json& event) {
        const ServerIndex server = required_index(server_names_, required_string(event, "server"), "server");
        router_->probe_answered(server, required_string(event, "how") == "ok", read_load_report(event));
    }

    std::uint64_t gateway_id_;
    Instant now_;
    std::string& reply_;
    NameTable server_names_, cell_names_;
    SettingNames setting_names_;
    std::vector<RequestState> requests_;
    std::vector<RequestIndex> free_indices_, ended_requests_;
    std::unordered_map<std::uint64_t, RequestIndex> index_by_id_;
    std::unique_ptr<Router> router_;
};

// Reads the JSON lines and writes one reply for each batch.
class Adapter {
  public:
    void handle_line(const std::string& input) {
        const Json event = Json::parse(input, nullptr, false);
        if (event.is_discarded()) throw BadInput("not JSON");
        if (!event.is_object()) throw BadInput("not an object");
        const std::string kind = required_string(event, "kind");
        if (kind == "Round") {
            if (in_batch_) throw BadInput("a Round inside a batch");
            const Instant clock{us_from_ms(required_number(event, "time-ms"))};
            if (clock < now_) throw BadInput("the clock goes backward");
            now_ = clock;
            in_batch_ = true;
            return;
        }
        if (!in_batch_) throw BadInput("no Round before " + kind);
        if (kind == "EofBatch") {
            for (auto& [gateway_id, gateway] : gateways_) gateway->end_batch();
            reply_ += "{\"kind\":\"Eor\"}\n";
            std::cout << reply_ << std::flush;
            reply_.clear();
            in_batch_ = false;
            return;
        }
        const std::uint64_t gateway_id = required_unsigned(event, "who");
        if (kind == "Provision") {
            if (gateways_.count(gateway_id)) throw BadInput("an instance is provisioned twice");
            gateways_.emplace(gateway_id, std::make_unique<Gateway>(gateway_id, event, now_, reply_));
            return;
        }
        const auto it = gateways_.find(gateway_id);
        if (it == gateways_.end())
            throw BadInput("an instance that is not provisioned: " + std::to_string(gateway_id));
        if (kind == "Teardown") {
            gateways_.erase(it);
            return;
        }
        try {
            it->second->set_clock(now_);
            it->second->handle_event(kind, event);
        } catch (const BadInput&) {
            throw;
        } catch (const std::exception& error) {
            const Json fault = {{"kind", "Exception"}, {"who", gateway_id}, {"line", error.what()}};
            reply_ += fault.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
        }
    }

    bool in_batch() const { return in_batch_; }

  private:
    bool in_batch_ = false;
    Instant now_;
    std::string reply_;
    std::map<std::uint64_t, std::unique_ptr<Gateway>> gateways_;
};

}  // namespace
}  // namespace copperfront

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    copperfront::Adapter adapter;
    std::string input;
    std::size_t line_number = 0;
    try {
        while (std::getline(std::cin, input)) {
            ++line_number;
            if (input.find_first_not_of(" \t\r") == std::string::npos) continue;
            adapter.handle_line(input);
        }
        if (adapter.in_batch()) throw copperfront::BadInput("the input ends inside a batch");
    } catch (const std::exception& error) {
        std::cerr << "copperfront_wirehost: line " << line_number << ": " << error.what() << std::endl;
        return 2;
    }
    return 0;
}
