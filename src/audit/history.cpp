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

Stamp from_ms(const Json& j, const char* name) { return static_cast<Stamp>(number(j, name) * 1000); }

Where where(const RecordFile& file, const Record& r) { return {file.name + ".rec", r.line, r.at}; }

void read_run(const RecordFile& file, History& h) {
    for (const Record& r : file.records) {
        const Json& f = r.fields;
        if (r.event == "terms") {
            Figures& g = h.figures;
            g.answer_slack = from_ms(f, "answer_slack_ms");
            g.drain_grace = from_ms(f, "drain_grace_ms");
            g.fall = from_ms(f, "fall_ms");
            g.release_within = from_ms(f, "release_within_ms");
            g.tip_multiple = number(f, "tip_multiple", 1);
            for (const auto& [name, c] : f.at("categories").items()) {
                Figures::Category& mine = g.categories[name];
                mine.effect = text(c, "effect");
                mine.group = text(c, "group");
                mine.window = from_ms(c, "window_ms");
                mine.latency_goal = from_ms(c, "latency_goal_ms");
                mine.goal_per_thousand = from_ms(c, "goal_per_thousand_ms");
                mine.token_gap = from_ms(c, "token_gap_ms");
            }
        } else if (r.event == "gateway") {
            h.zone_of[text(f, "name")] = text(f, "zone");
        } else if (r.event == "killed") {
            h.ends[text(f, "name")].push_back({r.at, true});
        } else if (r.event == "asked to stop") {
            h.ends[text(f, "name")].push_back({r.at, false});
        } else if (r.event == "cut") {
            h.cuts[text(f, "zone")].emplace_back(r.at, kNever);
        } else if (r.event == "cut ends") {
            auto& cuts = h.cuts[text(f, "zone")];
            if (!cuts.empty()) cuts.back().second = r.at;
        }
    }
}

void read_callers(const RecordFile& file, History& h) {
    std::map<std::pair<std::string, std::string>, std::size_t> open;  // by connection and id
    for (const Record& r : file.records) {
        const Json& f = r.fields;
        const std::pair<std::string, std::string> key{text(f, "c"), text(f, "id")};
        if (r.event == "ask") {
            Asked a;
            a.where = where(file, r);
            a.gateway = text(f, "gw");
            a.category = text(f, "cat");
            a.mark = text(f, "mark");
            a.id = key.second;
            a.connection = file.name + "/" + key.first;
            a.prompt_tokens = number(f, "prompt");
            a.budget = from_ms(f, "budget_ms");
            open[key] = h.asked.size();
            h.asked.push_back(a);
            continue;
        }
        if (r.event == "closed") {
            for (auto& [k, at] : open)
                if (k.first == key.first && h.asked[at].final == kNever && h.asked[at].closed == kNever)
                    h.asked[at].closed = r.at;
            continue;
        }
        const auto it = open.find(key);
        if (it == open.end()) continue;
        Asked& a = h.asked[it->second];
        if (r.event == "first") a.first = std::min(a.first, r.at);
        if (r.event == "leave") a.left = r.at;
        if (r.event == "final") {
            if (++a.finals > 1) {
                a.more.push_back(where(file, r));
                continue;
            }
            a.final = r.at;
            a.ending = text(f, "end");
            a.tokens = number(f, "tokens");
            a.torn_stream = f.value("torn", false);
        }
        if (r.event == "extra") {
            ++a.extra;
            a.more.push_back(where(file, r));
        }
    }
}

void read_engine(const RecordFile& file, History& h) {
    std::map<std::string, std::size_t> attempt_at, held_at;  // by gateway and attempt; by state
    std::size_t run = h.runs.size();
    bool begun = false;
    const auto close_run = [&](Stamp at) {
        if (!begun) return;
        h.runs[run].until = std::min(h.runs[run].until, at);
        for (auto& [key, i] : attempt_at) h.started[i].over = std::min(h.started[i].over, at);
        for (auto& [key, i] : held_at) {
            if (h.held[i].until != kNever) continue;
            h.held[i].until = at;
            h.held[i].why = "its engine ended";
        }
        attempt_at.clear();
        held_at.clear();
    };
    for (const Record& r : file.records) {
        const Json& f = r.fields;
        if (r.event == "start") {
            // When a process that was killed really ended stands in the runner's record; taken up later.
            if (begun) close_run(r.at);
            begun = true;
            run = h.runs.size();
            Run fresh;
            fresh.where = where(file, r);
            fresh.engine = file.name;
            fresh.server = text(f, "server");
            fresh.zone = text(f, "zone");
            fresh.cell = text(f, "cell");
            fresh.role = text(f, "role");
            fresh.born_ms = static_cast<std::int64_t>(number(f, "born_ms"));
            fresh.capacity = number(f, "capacity");
            fresh.cold_from = number(f, "cold_from", 1);
            fresh.warm = from_ms(f, "warm_ms");
            h.runs.push_back(fresh);
            continue;
        }
        if (!begun) continue;
        const std::string key = text(f, "gw") + "/" + text(f, "l");
        if (r.event == "in") {
            StartedAttempt l;
            l.where = where(file, r);
            l.where.at = static_cast<Stamp>(number(f, "came", static_cast<double>(r.at)));
            l.engine = file.name;
            l.query = text(f, "q");
            l.attempt = text(f, "l");
            l.gateway = text(f, "gw");
            l.category = text(f, "cat");
            l.mark = text(f, "mark");
            l.state = text(f, "state");
            l.reading = text(f, "m") == "read";
            l.work = number(f, "work");
            l.run = run;
            attempt_at[key] = h.started.size();
            h.started.push_back(l);
        } else if (r.event == "out" || r.event == "lost" || r.event == "cancel" || r.event == "ran") {
            const auto it = attempt_at.find(key);
            if (it == attempt_at.end()) continue;
            StartedAttempt& l = h.started[it->second];
            if (r.event == "ran") {
                l.ran = true;
                continue;
            }
            if (r.event == "out") l.out = r.at;
            if (r.event == "lost") l.lost = true;
            if (r.event != "lost") l.over = std::min(l.over, r.at);
            if (r.event != "cancel") l.ending = text(f, "end");
            l.tokens = number(f, "tokens");
        } else if (r.event == "closed") {
            const std::string gw = text(f, "gw") + "/";
            for (auto& [k, i] : attempt_at)
                if (k.rfind(gw, 0) == 0) h.started[i].over = std::min(h.started[i].over, r.at);
        } else if (r.event == "hold") {
            held_at[text(f, "state")] = h.held.size();
            h.held.push_back({where(file, r), file.name, text(f, "q"), text(f, "state"), "", kNever, run});
        } else if (r.event == "free") {
            const auto it = held_at.find(text(f, "state"));
            if (it == held_at.end()) continue;
            h.held[it->second].until = r.at;
            h.held[it->second].why = text(f, "why");
        } else if (r.event == "fell") {
            h.runs[run].fell = true;
        } else if (r.event == "fault") {
            const Json& fault = f.at("fault");
            if (text(fault, "kind") != "hang") continue;
            if (number(fault, "size") > 0)
                h.runs[run].deaf.emplace_back(r.at, kNever);
            else if (!h.runs[run].deaf.empty())
                h.runs[run].deaf.back().second = r.at;
        } else if (r.event == "end") {
            close_run(r.at);
        }
    }
}

void read_roster(const RecordFile& file, History& h) {
    // What was once told of and is missing in a whole list is gone.
    for (const Record& r : file.records) {
        if (r.event != "told") continue;
        auto& servers = h.told[text(r.fields, "gw")];
        std::set<std::string> named;
        for (const Json& e : r.fields.at("servers")) {
            const std::string server = text(e, "server");
            named.insert(server);
            servers[server].push_back(
                {where(file, r), text(e, "standing"), static_cast<std::int64_t>(number(e, "bornMs"))});
        }
        if (text(r.fields, "how") != "whole") continue;
        for (auto& [server, told] : servers)
            if (!named.count(server)) told.push_back({where(file, r), "gone", 0});
    }
}

}  // namespace

History read_history(const std::string& folder) {
    History h;
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
        read_run(file, h);
    }
    if (!run) throw std::runtime_error("folder " + folder + " holds no run.rec: not the records of a day");
    if (h.figures.categories.empty()) h.gaps.push_back("run.rec holds no figures of the rules");

    bool callers = false, engines = false, roster = false;
    for (const RecordFile& file : files) {
        const bool is_callers = file.name.rfind("callers-", 0) == 0;
        const bool is_roster = file.name == "roster";
        if (file.torn > 0)
            h.notes.push_back(file.name + ".rec: " + std::to_string(file.torn) + " torn lines");
        // A process that was killed could write no end mark; any other has to.
        const auto ends = h.ends.find(file.name);
        const bool killed = ends != h.ends.end() && !ends->second.empty() && ends->second.back().by_force;
        if (!file.ended && killed)
            h.notes.push_back(file.name + ".rec: no end mark, its process was killed");
        else if (!file.ended)
            h.gaps.push_back(file.name + ".rec: no end mark: the record is torn off");
        if (file.name == "run") continue;
        if (is_callers) read_callers(file, h);
        if (is_roster) read_roster(file, h);
        if (!is_callers && !is_roster) read_engine(file, h);
        callers |= is_callers;
        roster |= is_roster;
        engines |= !is_callers && !is_roster;
    }
    if (!callers) h.gaps.push_back("no record of callers");
    if (!engines) h.gaps.push_back("no record of engines");
    if (!roster) h.gaps.push_back("no record of the roster");

    // A killed engine's own record only ends; when it died its runner knows.
    for (std::size_t i = 0; i < h.runs.size(); ++i) {
        Run& r = h.runs[i];
        for (const Ended& e : h.ends[r.engine])
            if (e.by_force && e.at >= r.where.at && e.at < r.until) r.until = e.at;
        for (StartedAttempt& l : h.started)
            if (l.engine == r.engine && l.run == i) l.over = std::min(l.over, r.until);
        for (Held& s : h.held) {
            if (s.engine != r.engine || s.run != i || s.until <= r.until) continue;
            s.until = r.until;
            s.why = "its engine ended";
        }
    }
    std::stable_sort(
        h.started.begin(), h.started.end(),
        [](const StartedAttempt& a, const StartedAttempt& b) { return a.where.at < b.where.at; });
    return h;
}

}  // namespace copperfront::audit
