#include "audit/history.h"

#include <algorithm>
#include <filesystem>
#include <stdexcept>

namespace copperfront::audit {
namespace {

using Json = nlohmann::json;

std::string text(const Json& j, const char* name) {
    const auto it = j.find(name);
    return it != j.end() && it->is_string() ? it->get<std::string>() : std::string();
}

double number(const Json& j, const char* name, double absent = 0) {
    const auto it = j.find(name);
    return it != j.end() && it->is_number() ? it->get<double>() : absent;
}

Timestamp from_ms(const Json& j, const char* name) { return static_cast<Timestamp>(number(j, name) * 1000); }

RecordPosition position(const RecordFile& file, const Record& record) {
    return {file.name + ".rec", record.line, record.at};
}

void read_run(const RecordFile& file, History& history) {
    for (const Record& record : file.records) {
        const Json& fields = record.fields;
        if (record.event == "terms") {
            RuleLimits& limits = history.limits;
            limits.answer_slack = from_ms(fields, "answer_slack_ms");
            limits.drain_grace = from_ms(fields, "drain_grace_ms");
            limits.overload_window = from_ms(fields, "fall_ms");
            limits.release_within = from_ms(fields, "release_within_ms");
            limits.overload_multiple = number(fields, "tip_multiple", 1);
            for (const auto& [name, category] : fields.at("categories").items()) {
                RuleLimits::Category& category_limits = limits.categories[name];
                category_limits.effect = text(category, "effect");
                category_limits.dedup_scope = text(category, "group");
                category_limits.dedup_window = from_ms(category, "window_ms");
                category_limits.latency_goal = from_ms(category, "latency_goal_ms");
                category_limits.goal_per_thousand_tokens = from_ms(category, "goal_per_thousand_ms");
                category_limits.token_gap = from_ms(category, "token_gap_ms");
            }
        } else if (record.event == "gateway") {
            history.zone_of[text(fields, "name")] = text(fields, "zone");
        } else if (record.event == "killed") {
            history.process_ends[text(fields, "name")].push_back({record.at, true});
        } else if (record.event == "asked to stop") {
            history.process_ends[text(fields, "name")].push_back({record.at, false});
        } else if (record.event == "cut") {
            history.cuts[text(fields, "zone")].emplace_back(record.at, kNever);
        } else if (record.event == "cut ends") {
            auto& cuts = history.cuts[text(fields, "zone")];
            if (!cuts.empty()) cuts.back().second = record.at;
        }
    }
}

void read_clients(const RecordFile& file, History& history) {
    std::map<std::pair<std::string, std::string>, std::size_t> open;  // by connection and id
    for (const Record& record : file.records) {
        const Json& fields = record.fields;
        const std::pair<std::string, std::string> key{text(fields, "c"), text(fields, "id")};
        if (record.event == "ask") {
            ClientRequest request;
            request.position = position(file, record);
            request.gateway = text(fields, "gw");
            request.category = text(fields, "cat");
            request.idempotency_key = text(fields, "mark");
            request.id = key.second;
            request.connection = file.name + "/" + key.first;
            request.prompt_tokens = number(fields, "prompt");
            request.time_budget = from_ms(fields, "budget_ms");
            open[key] = history.requests.size();
            history.requests.push_back(request);
            continue;
        }
        if (record.event == "closed") {
            for (auto& [k, at] : open)
                if (k.first == key.first && history.requests[at].answered_at == kNever &&
                    history.requests[at].closed_at == kNever)
                    history.requests[at].closed_at = record.at;
            continue;
        }
        const auto it = open.find(key);
        if (it == open.end()) continue;
        ClientRequest& request = history.requests[it->second];
        if (record.event == "first") request.first_token_at = std::min(request.first_token_at, record.at);
        if (record.event == "leave") request.left_at = record.at;
        if (record.event == "final") {
            if (++request.final_messages > 1) {
                request.extra_positions.push_back(position(file, record));
                continue;
            }
            request.answered_at = record.at;
            request.ending = text(fields, "end");
            request.tokens = number(fields, "tokens");
            request.damaged_stream = fields.value("torn", false);
        }
        if (record.event == "extra") {
            ++request.extra_messages;
            request.extra_positions.push_back(position(file, record));
        }
    }
}

void read_server(const RecordFile& file, History& history) {
    std::map<std::string, std::size_t> attempt_index, state_index;  // by gateway and attempt; by state
    std::size_t run = history.server_runs.size();
    bool has_run = false;
    const auto close_run = [&](Timestamp at) {
        if (!has_run) return;
        history.server_runs[run].until = std::min(history.server_runs[run].until, at);
        for (auto& [key, i] : attempt_index)
            history.attempts[i].ended_at = std::min(history.attempts[i].ended_at, at);
        for (auto& [key, i] : state_index) {
            if (history.held_states[i].until != kNever) continue;
            history.held_states[i].until = at;
            history.held_states[i].why = "its engine ended";
        }
        attempt_index.clear();
        state_index.clear();
    };
    for (const Record& record : file.records) {
        const Json& fields = record.fields;
        if (record.event == "start") {
            // When a killed process really ended is in the record of the runner, which is applied later.
            if (has_run) close_run(record.at);
            has_run = true;
            run = history.server_runs.size();
            ServerRun fresh;
            fresh.position = position(file, record);
            fresh.process = file.name;
            fresh.address = text(fields, "server");
            fresh.zone = text(fields, "zone");
            fresh.cell = text(fields, "cell");
            fresh.role = text(fields, "role");
            fresh.started_at_ms = static_cast<std::int64_t>(number(fields, "born_ms"));
            fresh.capacity = number(fields, "capacity");
            fresh.cold_speed_share = number(fields, "cold_from", 1);
            fresh.warm_up_time = from_ms(fields, "warm_ms");
            history.server_runs.push_back(fresh);
            continue;
        }
        if (!has_run) continue;
        const std::string key = text(fields, "gw") + "/" + text(fields, "l");
        if (record.event == "in") {
            Attempt attempt;
            attempt.position = position(file, record);
            attempt.position.at =
                static_cast<Timestamp>(number(fields, "came", static_cast<double>(record.at)));
            attempt.process = file.name;
            attempt.request_name = text(fields, "q");
            attempt.id = text(fields, "l");
            attempt.gateway = text(fields, "gw");
            attempt.category = text(fields, "cat");
            attempt.idempotency_key = text(fields, "mark");
            attempt.state_id = text(fields, "state");
            attempt.is_prefill = text(fields, "m") == "read";
            attempt.work = number(fields, "work");
            attempt.run_index = run;
            attempt_index[key] = history.attempts.size();
            history.attempts.push_back(attempt);
        } else if (record.event == "out" || record.event == "lost" || record.event == "cancel" ||
                   record.event == "ran") {
            const auto it = attempt_index.find(key);
            if (it == attempt_index.end()) continue;
            Attempt& attempt = history.attempts[it->second];
            if (record.event == "ran") {
                attempt.ran = true;
                continue;
            }
            if (record.event == "out") attempt.answered_at = record.at;
            if (record.event == "lost") attempt.answer_lost = true;
            if (record.event != "lost") attempt.ended_at = std::min(attempt.ended_at, record.at);
            if (record.event != "cancel") attempt.ending = text(fields, "end");
            attempt.tokens = number(fields, "tokens");
        } else if (record.event == "closed") {
            const std::string gw = text(fields, "gw") + "/";
            for (auto& [k, i] : attempt_index)
                if (k.rfind(gw, 0) == 0)
                    history.attempts[i].ended_at = std::min(history.attempts[i].ended_at, record.at);
        } else if (record.event == "hold") {
            state_index[text(fields, "state")] = history.held_states.size();
            history.held_states.push_back({position(file, record), file.name, text(fields, "q"),
                                           text(fields, "state"), "", kNever, run});
        } else if (record.event == "free") {
            const auto it = state_index.find(text(fields, "state"));
            if (it == state_index.end()) continue;
            history.held_states[it->second].until = record.at;
            history.held_states[it->second].why = text(fields, "why");
        } else if (record.event == "fell") {
            history.server_runs[run].fell_over = true;
        } else if (record.event == "fault") {
            const Json& fault = fields.at("fault");
            if (text(fault, "kind") != "hang") continue;
            if (number(fault, "size") > 0)
                history.server_runs[run].unreachable.emplace_back(record.at, kNever);
            else if (!history.server_runs[run].unreachable.empty())
                history.server_runs[run].unreachable.back().second = record.at;
        } else if (record.event == "end") {
            close_run(record.at);
        }
    }
}

void read_roster(const RecordFile& file, History& history) {
    // A server that was reported before and is missing from a whole list has been removed.
    for (const Record& record : file.records) {
        if (record.event != "told") continue;
        auto& servers = history.notices[text(record.fields, "gw")];
        std::set<std::string> named;
        for (const Json& e : record.fields.at("servers")) {
            const std::string server = text(e, "server");
            named.insert(server);
            servers[server].push_back({position(file, record), text(e, "standing"),
                                       static_cast<std::int64_t>(number(e, "bornMs"))});
        }
        if (text(record.fields, "how") != "whole") continue;
        for (auto& [server, notices] : servers)
            if (!named.count(server)) notices.push_back({position(file, record), "gone", 0});
    }
}

}  // namespace

History read_history(const std::string& folder) {
    History history;
    std::vector<std::string> paths;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(folder, error))
        if (entry.path().extension() == ".rec") paths.push_back(entry.path().string());
    if (error) throw std::runtime_error("folder " + folder + " cannot be read: " + error.message());
    std::sort(paths.begin(), paths.end());

    std::vector<RecordFile> files;
    for (const std::string& path : paths) files.push_back(read_records(path));
    bool run = false;
    for (const RecordFile& file : files) {
        if (file.name != "run") continue;
        run = true;
        read_run(file, history);
    }
    if (!run) throw std::runtime_error("folder " + folder + " holds no run.rec: not the records of a day");
    if (history.limits.categories.empty()) history.gaps.push_back("run.rec holds no figures of the rules");

    bool clients = false, servers = false, roster = false;
    for (const RecordFile& file : files) {
        const bool is_clients = file.name.rfind("callers-", 0) == 0;
        const bool is_roster = file.name == "roster";
        if (file.torn > 0)
            history.notes.push_back(file.name + ".rec: " + std::to_string(file.torn) + " torn lines");
        // A killed process could not write an end mark; every other process must.
        const auto process_ends = history.process_ends.find(file.name);
        const bool killed = process_ends != history.process_ends.end() && !process_ends->second.empty() &&
                            process_ends->second.back().by_force;
        if (!file.ended && killed)
            history.notes.push_back(file.name + ".rec: no end mark, its process was killed");
        else if (!file.ended)
            history.gaps.push_back(file.name + ".rec: no end mark: the record is torn off");
        if (file.name == "run") continue;
        if (is_clients) read_clients(file, history);
        if (is_roster) read_roster(file, history);
        if (!is_clients && !is_roster) read_server(file, history);
        clients |= is_clients;
        roster |= is_roster;
        servers |= !is_clients && !is_roster;
    }
    if (!clients) history.gaps.push_back("no record of callers");
    if (!servers) history.gaps.push_back("no record of engines");
    if (!roster) history.gaps.push_back("no record of the roster");

    // The record of a killed server just stops; the record of its runner holds the time of its death.
    for (std::size_t i = 0; i < history.server_runs.size(); ++i) {
        ServerRun& ended_run = history.server_runs[i];
        for (const ProcessEnd& e : history.process_ends[ended_run.process])
            if (e.by_force && e.at >= ended_run.position.at && e.at < ended_run.until) ended_run.until = e.at;
        for (Attempt& attempt : history.attempts)
            if (attempt.process == ended_run.process && attempt.run_index == i)
                attempt.ended_at = std::min(attempt.ended_at, ended_run.until);
        for (HeldState& state : history.held_states) {
            if (state.process != ended_run.process || state.run_index != i || state.until <= ended_run.until)
                continue;
            state.until = ended_run.until;
            state.why = "its engine ended";
        }
    }
    std::stable_sort(history.attempts.begin(), history.attempts.end(),
                     [](const Attempt& x, const Attempt& y) { return x.position.at < y.position.at; });
    return history;
}

}  // namespace copperfront::audit
