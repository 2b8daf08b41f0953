// copperfront trace ...: the tools on trace files. What they do is in src/trace; here are their options,
// files, progress and errors.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <fstream>
#include <iostream>
#include <memory>
#include <numeric>
#include <sstream>

#include "cli/commands.h"
#include "trace/anonymise.h"
#include "trace/cut.h"
#include "trace/json_lines.h"
#include "trace/story.h"
#include "trace/summary.h"
#include "trace/writer.h"

namespace copperfront {
namespace {

using namespace trace;
using Files = std::vector<std::unique_ptr<TraceFile>>;

// Told once a second on standard error, and not at all of work that takes less.
class Progress {
  public:
    explicit Progress(const char* what) : what_(what) {}
    ~Progress() {
        if (told_ && on_screen()) std::fprintf(stderr, "\r\033[K");
    }
    void at(double done, double all, const char* unit) {
        if (++calls_ % 16 != 0) return;
        const auto now = std::chrono::steady_clock::now();
        if (now - last_ < std::chrono::seconds(on_screen() ? 1 : 5)) return;
        last_ = now;
        told_ = true;
        std::fprintf(stderr, "%s%s: %.1f of %.1f %s%s", on_screen() ? "\r\033[K" : "", what_, done, all, unit,
                     on_screen() ? "" : "\n");
        std::fflush(stderr);
    }
    std::function<void(std::uint64_t, std::uint64_t)> bytes() {
        return [this](std::uint64_t done, std::uint64_t all) {
            at(static_cast<double>(done) / 1e6, static_cast<double>(all) / 1e6, "MB");
        };
    }

  private:
    static bool on_screen() { return ::isatty(STDERR_FILENO) == 1; }
    const char* what_;
    std::uint64_t calls_ = 0;
    bool told_ = false;
    std::chrono::steady_clock::time_point last_ = std::chrono::steady_clock::now();
};

bool open_all(const std::vector<std::string>& paths, Files& files) {
    for (const std::string& path : paths) {
        std::string why;
        auto source = open_source(path, why);
        auto file = source ? TraceFile::open(std::move(source), path, why) : nullptr;
        if (!file) {
            complain(path + ": " + why);
            return false;
        }
        // What is missing is said whatever the tool does: its result is of the rest.
        for (const Torn& t : file->torn())
            std::fprintf(stderr, "copperfront: %s: %llu bytes from byte %llu are passed over, %s%s\n",
                         path.c_str(), static_cast<unsigned long long>(t.bytes),
                         static_cast<unsigned long long>(t.offset), t.what.c_str(),
                         t.rows > 0 ? (", of " + std::to_string(t.rows) + " rows at most").c_str() : "");
        files.push_back(std::move(file));
    }
    return true;
}

std::vector<const TraceFile*> views(const Files& files) {
    std::vector<const TraceFile*> out;
    for (const auto& f : files) out.push_back(f.get());
    return out;
}

int told(const std::vector<std::string>& troubles) {
    for (const std::string& t : troubles) std::fprintf(stderr, "copperfront: %s\n", t.c_str());
    return troubles.empty() ? kWell : kBroken;
}

// Where a new trace goes. An old file is never written over.
std::unique_ptr<Out> open_out(const std::string& path, std::string& why) {
    if (path == "-") return standard_output();
    RealDisk disk;
    return disk.create(path, why);
}

// Rows into a new file, from its start to its footer; what is wrong is told.
int write_file(const std::string& path, Header header, const Pool& pool,
               const std::function<bool(RowSink&, std::string&)>& fill, std::uint64_t* rows = nullptr) {
    std::string why;
    auto out = open_out(path, why);
    if (!out) return complain(why);
    FileWriter writer(std::move(out), std::move(header));
    RowSink sink(writer, pool);
    if (!writer.start(why) || !fill(sink, why) || !sink.flush(why) || !writer.finish(why))
        return complain(path + ": " + why, kBroken);
    if (rows) *rows = writer.rows();
    return kWell;
}

// "2026-12-01T15:00:00.250Z", or "+12.5": seconds from the first row of the files.
bool read_time(const std::string& text, const Files& files, std::int64_t& us) {
    if (!text.empty() && text[0] == '+') {
        double s = 0;
        if (!CLI::detail::lexical_cast(text.substr(1), s) || !(std::abs(s) < 1e9)) return false;
        std::int64_t first = INT64_MAX;
        for (const auto& f : files)
            for (const BlockInfo& b : f->index().blocks) first = std::min(first, b.first);
        us = (first == INT64_MAX ? 0 : first) + static_cast<std::int64_t>(s * 1e6);
        return true;
    }
    std::tm parts{};
    const char* rest = ::strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (!rest) return false;
    double part = 0;
    if (*rest == '.') {
        char* end = nullptr;
        part = std::strtod(rest, &end);
        rest = end;
    }
    if (std::string(rest) != "Z" && *rest != '\0') return false;
    us = static_cast<std::int64_t>(::timegm(&parts)) * 1000000 + static_cast<std::int64_t>(part * 1e6);
    return true;
}

struct Choice {
    std::string from, until;
    Wanted wanted;
    void add(CLI::App& app) {
        app.add_option("--from", from, "2026-12-01T15:00:00Z, or +SECONDS from the first row");
        app.add_option("--until", until, "the same");
        app.add_option("--route", wanted.route, "queries of this route, and all that belongs to them");
        app.add_option("--group", wanted.group, "of this client group");
        app.add_option("--server", wanted.server, "that were at this server");
        app.add_option("--gateway", wanted.origin, "of this gateway, by its name or its name and life");
    }
    bool settle(const Files& files, Wanted& to) const {
        to = wanted;
        if (!from.empty() && !read_time(from, files, to.from))
            return complain("--from " + from + ": expected 2026-12-01T15:00:00Z or +SECONDS"), false;
        if (!until.empty() && !read_time(until, files, to.until))
            return complain("--until " + until + ": expected 2026-12-01T15:00:00Z or +SECONDS"), false;
        if (to.from > to.until) return complain("--from lies after --until"), false;
        return true;
    }
};

// A header for what comes of several files; their gateway's only where it is one.
Header header_of(const Files& files, std::uint32_t version = 0) {
    std::string origin = files.front()->header().origin, zone = files.front()->header().zone;
    std::int64_t began = files.front()->header().began;
    std::uint32_t newest = kOldest;
    for (const auto& f : files) {
        if (f->header().origin != origin) origin.clear();
        if (f->header().zone != zone) zone.clear();
        began = std::min(began, f->header().began);
        newest = std::max(newest, f->header().version);
    }
    return Header::of(version != 0 ? version : newest, origin, zone, began);
}

using Paths = std::shared_ptr<std::vector<std::string>>;
Paths files_option(CLI::App& app) {
    auto paths = std::make_shared<std::vector<std::string>>();
    app.add_option("FILE", *paths, "trace files; - is standard input")->required();
    return paths;
}
std::shared_ptr<std::string> out_option(CLI::App& app) {
    auto out = std::make_shared<std::string>();
    app.add_option("-o,--output", *out,
                   "the new trace file, which must not be there yet; - is standard output")
        ->required();
    return out;
}

int cut_files(const std::vector<std::string>& paths, const Choice& choice, const std::string& out) {
    Files files;
    Wanted wanted;
    if (!open_all(paths, files) || !choice.settle(files, wanted)) return kBadUse;
    Pool pool;
    CutResult result;
    Progress progress("cut");
    const int code = write_file(out, header_of(files), pool, [&](RowSink& sink, std::string& why) {
        result = cut(
            views(files), wanted, pool, [&](const Row& row) { return sink.put(row, why); }, progress.bytes());
        return result.well;
    });
    if (code != kWell) return code;
    std::fprintf(stderr, "%llu rows, %llu queries; %zu of %zu blocks were read\n",
                 static_cast<unsigned long long>(result.rows),
                 static_cast<unsigned long long>(result.queries), result.blocks_read, result.blocks);
    return told(result.troubles);
}

int merge_files(const std::vector<std::string>& paths, const std::vector<std::string>& offsets,
                const std::string& out) {
    Files files;
    if (!open_all(paths, files)) return kBadUse;
    std::vector<Merger::Input> inputs;
    for (const auto& f : files) inputs.push_back({f.get(), 0});
    for (const std::string& o : offsets) {
        const std::size_t eq = o.find('=');
        double ms = 0;
        if (eq == std::string::npos || !CLI::detail::lexical_cast(o.substr(eq + 1), ms) ||
            !(std::abs(ms) < 1e12))
            return complain("--offset " + o + ": expected GATEWAY=MS, such as g1=-12.5");
        bool known = false;
        for (std::size_t n = 0; n < files.size(); ++n) {
            const std::string& origin = files[n]->header().origin;
            if (origin != o.substr(0, eq) && origin.substr(0, origin.rfind('.')) != o.substr(0, eq)) continue;
            inputs[n].offset = static_cast<std::int64_t>(ms * 1000);
            known = true;
        }
        if (!known) return complain("--offset " + o + ": no file is of this gateway");
    }
    Pool pool;
    Progress progress("merge");
    Merger merger(inputs, pool);
    std::uint64_t all = 0, done = 0, written = 0;
    for (const auto& f : files)
        for (const Table t : kTables) all += f->rows(t);
    const int code = write_file(
        out, header_of(files), pool,
        [&](RowSink& sink, std::string& why) {
            for (Row row; merger.next(row); ++done) {
                if (!sink.put(row, why)) return false;
                progress.at(static_cast<double>(done) / 1e6, static_cast<double>(all) / 1e6, "million rows");
            }
            return true;
        },
        &written);
    if (code != kWell) return code;
    std::fprintf(stderr, "%llu rows of %zu files; %llu stood in several and were written once\n",
                 static_cast<unsigned long long>(written), files.size(),
                 static_cast<unsigned long long>(merger.duplicates()));
    return told(merger.troubles());
}

int anonymise_files(const std::vector<std::string>& paths, const std::string& key_file, double time_ms,
                    std::int64_t tokens, const std::string& out) {
    std::ifstream in(key_file, std::ios::binary);
    std::string key((std::istreambuf_iterator<char>(in)), {});
    if (!in || key.size() < 16)
        return complain(key_file +
                        ": expected a key of at least 16 bytes, such as from: head -c 32 /dev/urandom");
    Files files;
    if (!open_all(paths, files)) return kBadUse;
    Pool pool;
    Anonymiser anonymiser(key, {static_cast<std::int64_t>(time_ms * 1000), tokens}, pool);
    CutResult result;
    Progress progress("anonymise");
    Header header = Header::of(header_of(files).version, "", "", 0);
    const int code = write_file(out, header, pool, [&](RowSink& sink, std::string& why) {
        result = cut(
            views(files), {}, pool,
            [&](const Row& row) {
                Row changed = row;
                anonymiser.change(changed);
                return sink.put(changed, why);
            },
            progress.bytes());
        return result.well;
    });
    return code != kWell ? code : told(result.troubles);
}

bool sum_up(const Files& files, const Wanted& wanted, Summary& summary, std::vector<std::string>& troubles) {
    Pool pool;
    Progress progress("summary");
    const CutResult result = cut(
        views(files), wanted, pool,
        [&](const Row& row) {
            summary.add(row, pool);
            return true;
        },
        progress.bytes());
    troubles = result.troubles;
    return result.well;
}

By by_word(const std::string& word) {
    for (std::size_t n = 0; n < std::size(kByWords); ++n)
        if (word == kByWords[n]) return static_cast<By>(n);
    return By::all;
}

int show_files(const std::vector<std::string>& paths, const Choice& choice, std::uint64_t limit) {
    Files files;
    Wanted wanted;
    if (!open_all(paths, files) || !choice.settle(files, wanted)) return kBadUse;
    Pool pool;
    std::uint64_t shown = 0;
    const auto line = [&](const Row& row) {
        if (limit != 0 && shown == limit) return false;
        ++shown;
        std::string name = pool.text(row[1]);
        if (row.table != Table::events) name += "." + std::to_string(row[2]);
        std::printf("%s %-9s %s  %s\n", time_text(row.at()).c_str(), name_of(row.table), name.c_str(),
                    sentence(row, pool).c_str());
        return std::ferror(stdout) == 0;
    };
    const bool stories = wanted.by_query() || !wanted.server.empty();
    if (stories) return told(cut(views(files), wanted, pool, line).troubles);
    std::vector<Merger::Input> inputs;
    for (const auto& f : files) inputs.push_back({f.get(), 0});
    Merger merger(inputs, pool, wanted.from, wanted.until);
    for (Row row; merger.next(row);)
        if (wanted.fits(row, pool) && !line(row)) break;
    return told(merger.troubles());
}

int explain(const std::string& query, const std::vector<std::string>& paths) {
    QueryName name;
    if (!read_query_name(query, name))
        return complain("explain " + query +
                        ": expected a query's name, such as g1.18f3a.756, or its number");
    Files files;
    if (!open_all(paths, files)) return kBadUse;
    Pool pool;
    const Found found = rows_of(views(files), name, pool);
    const std::string text = story(found.rows, pool);
    if (text.empty()) return complain("no query " + query + " in these files", kBroken);
    std::printf("%s", text.c_str());
    return told(found.troubles);
}

int to_json(const std::vector<std::string>& paths) {
    Files files;
    if (!open_all(paths, files)) return kBadUse;
    Pool pool;
    JsonLines lines(pool);
    std::string buffer;
    Progress progress("convert");
    const CutResult result = cut(
        views(files), {}, pool,
        [&](const Row& row) {
            lines.append(row, buffer);
            buffer += '\n';
            if (buffer.size() < (1U << 20)) return true;
            const bool well = std::fwrite(buffer.data(), 1, buffer.size(), stdout) == buffer.size();
            buffer.clear();
            return well;
        },
        progress.bytes());
    if (!result.well || std::fwrite(buffer.data(), 1, buffer.size(), stdout) != buffer.size() ||
        std::fflush(stdout) != 0)
        return complain(std::string("standard output: ") + std::strerror(errno), kBroken);
    return told(result.troubles);
}

int from_json(const std::vector<std::string>& paths, std::uint32_t version, const std::string& out) {
    Pool pool;
    std::uint64_t bad = 0;
    const int code =
        write_file(out, Header::of(version, "", "", 0), pool, [&](RowSink& sink, std::string& why) {
            JsonLines lines(pool);
            for (const std::string& path : paths) {
                std::ifstream file;
                if (path != "-") file.open(path);
                std::istream& in = path == "-" ? std::cin : file;
                if (!in) {
                    why = path + ": " + std::strerror(errno);
                    return false;
                }
                std::uint64_t number = 0;
                Row row;
                for (std::string line; std::getline(in, line);) {
                    ++number;
                    std::string what;
                    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
                    if (!lines.read(line, row, what)) {
                        // Counted and told, never left out in silence.
                        if (++bad <= 20)
                            std::fprintf(stderr, "copperfront: %s:%llu: %s\n", path.c_str(),
                                         static_cast<unsigned long long>(number), what.c_str());
                        continue;
                    }
                    if (!sink.put(row, why)) return false;
                }
            }
            return true;
        });
    if (code != kWell) return code;
    if (bad > 0) return complain(std::to_string(bad) + " lines were left out", kBroken);
    return kWell;
}

int verify(const std::vector<std::string>& paths) {
    bool well = true;
    for (const std::string& path : paths) {
        std::string why;
        const std::shared_ptr<const Source> source = open_source(path, why);
        const auto file = source ? TraceFile::open(source, path, why) : nullptr;
        if (!file) {
            complain(path + ": " + why);
            well = false;
            continue;
        }
        const auto found = TraceFile::scan(source, path, why);
        bool whole = file->closed() && found && found->torn().empty();
        std::string notes;
        // The footer against what is there.
        if (file->closed() && found) {
            const auto& a = file->index().blocks;
            const auto& b = found->index().blocks;
            bool same = a.size() == b.size();
            for (std::size_t n = 0; same && n < a.size(); ++n)
                same = a[n].offset == b[n].offset && a[n].rows == b[n].rows && a[n].first == b[n].first &&
                       a[n].last == b[n].last && a[n].table == b[n].table;
            if (!same) notes += "; its index does not agree with its blocks";
            whole = whole && same;
        }
        if (!file->closed()) notes += "; it was never closed: still written, or cut off";
        if (found)
            for (const Torn& t : found->torn())
                notes += "; " + std::to_string(t.bytes) + " bytes from byte " + std::to_string(t.offset) +
                         ": " + t.what +
                         (t.rows > 0 ? ", of " + std::to_string(t.rows) + " rows at most" : "");
        const TraceFile& f = found ? *found : *file;
        std::printf("%s: %s, version %u, %zu blocks, %llu queries, %llu decisions, %llu events%s\n",
                    path.c_str(), whole ? "whole" : "NOT WHOLE", f.header().version, f.index().blocks.size(),
                    static_cast<unsigned long long>(f.rows(Table::queries)),
                    static_cast<unsigned long long>(f.rows(Table::decisions)),
                    static_cast<unsigned long long>(f.rows(Table::events)), notes.c_str());
        well = well && whole;
    }
    return well ? kWell : kBroken;
}

int mend(const std::string& path, const std::string& out) {
    std::string why;
    auto source = open_source(path, why);
    auto file = source ? TraceFile::scan(std::move(source), path, why) : nullptr;
    if (!file) return complain(path + ": " + why);
    auto to = open_out(out, why);
    if (!to) return complain(why);
    FileWriter writer(std::move(to), file->header());
    bool well = writer.start(why);
    std::uint64_t rows = 0;
    for (const BlockInfo& info : file->index().blocks) {
        Pool pool;
        Batch batch(info.table);
        const std::string block = well ? file->bytes(info, why) : std::string();
        well = well && decode(file->header(), block, pool, batch, why) &&
               writer.add_block(block, batch, pool, why);
        rows += batch.rows();
    }
    if (!well || !writer.finish(why)) return complain(out + ": " + why, kBroken);
    std::uint64_t lost = 0;
    std::uint32_t lost_rows = 0;
    for (const Torn& t : file->torn()) {
        lost += t.bytes;
        lost_rows += t.rows;
    }
    std::printf("%s: %zu blocks, %llu rows kept; %llu bytes were no whole block%s\n", out.c_str(),
                file->index().blocks.size(), static_cast<unsigned long long>(rows),
                static_cast<unsigned long long>(lost),
                lost_rows > 0 ? (", of " + std::to_string(lost_rows) + " rows at most").c_str() : "");
    return kWell;
}

}  // namespace

void add_trace(CLI::App& app, Command& chosen) {
    auto* trace = app.add_subcommand("trace", "Read, cut, merge and explain the traces that gateways write");
    trace->require_subcommand(1);

    auto* cutting = trace->add_subcommand("cut", "Cut out a time, a route, a group, a server or a gateway");
    {
        auto paths = files_option(*cutting);
        auto out = out_option(*cutting);
        auto choice = std::make_shared<Choice>();
        choice->add(*cutting);
        cutting->callback([=, &chosen] { chosen = [=] { return cut_files(*paths, *choice, *out); }; });
    }
    auto* merging =
        trace->add_subcommand("merge", "Many files into one by time, without duplicates, in bounded memory");
    {
        auto paths = files_option(*merging);
        auto out = out_option(*merging);
        auto offsets = std::make_shared<std::vector<std::string>>();
        merging
            ->add_option("--offset", *offsets, "GATEWAY=MS, added to its times: what its clock was behind by")
            ->allow_extra_args(false);
        merging->callback([=, &chosen] { chosen = [=] { return merge_files(*paths, *offsets, *out); }; });
    }
    auto* hiding = trace->add_subcommand("anonymise",
                                         "Marks in place of sessions, groups, routes, servers and gateways");
    {
        auto paths = files_option(*hiding);
        auto out = out_option(*hiding);
        auto key = std::make_shared<std::string>();
        auto time = std::make_shared<double>(0);
        auto tokens = std::make_shared<std::int64_t>(0);
        hiding->add_option("--key", *key, "file with the key; equal stays equal under one key")->required();
        hiding->add_option("--coarsen-ms", *time, "times are cut to this many ms")
            ->check(CLI::Range(0.0, 1e9));
        hiding->add_option("--coarsen-tokens", *tokens, "sizes are rounded up to a multiple of this")
            ->check(CLI::Range(std::int64_t{0}, std::int64_t{1000000}));
        hiding->callback(
            [=, &chosen] { chosen = [=] { return anonymise_files(*paths, *key, *time, *tokens, *out); }; });
    }
    auto* summing = trace->add_subcommand("summary", "Outcomes, quantiles, launches and waste by one key");
    {
        auto paths = files_option(*summing);
        auto choice = std::make_shared<Choice>();
        choice->add(*summing);
        auto by = std::make_shared<std::string>("category"), form = std::make_shared<std::string>("text");
        summing->add_option("--by", *by)
            ->check(CLI::IsMember(std::vector<std::string>(std::begin(kByWords), std::end(kByWords))))
            ->capture_default_str();
        summing->add_option("--format", *form)
            ->check(CLI::IsMember({"text", "csv", "json"}))
            ->capture_default_str();
        summing->callback([=, &chosen] {
            chosen = [=] {
                Files files;
                Wanted wanted;
                if (!open_all(*paths, files) || !choice->settle(files, wanted)) return kBadUse;
                Summary summary(by_word(*by));
                std::vector<std::string> troubles;
                sum_up(files, wanted, summary, troubles);
                std::printf("%s", (*form == "csv"    ? summary.csv()
                                   : *form == "json" ? summary.json()
                                                     : summary.text())
                                      .c_str());
                return told(troubles);
            };
        });
    }
    auto* showing = trace->add_subcommand("show", "Rows as lines, by time");
    {
        auto paths = files_option(*showing);
        auto choice = std::make_shared<Choice>();
        choice->add(*showing);
        auto limit = std::make_shared<std::uint64_t>(0);
        showing->add_option("--limit", *limit, "no more than so many lines; 0: all");
        showing->callback([=, &chosen] { chosen = [=] { return show_files(*paths, *choice, *limit); }; });
    }
    auto* explaining =
        trace->add_subcommand("explain", "One query's story: each decision, what was known, and why");
    {
        auto query = std::make_shared<std::string>();
        explaining->add_option("QUERY", *query, "its name, such as g1.18f3a.756, or its number")->required();
        auto paths = files_option(*explaining);
        explaining->callback([=, &chosen] { chosen = [=] { return explain(*query, *paths); }; });
    }
    auto* converting = trace->add_subcommand("convert", "To JSON lines, on standard output, or from them");
    {
        auto paths = files_option(*converting);
        auto to = std::make_shared<std::string>("json"), out = std::make_shared<std::string>();
        auto version = std::make_shared<std::uint32_t>(kNewest);
        converting->add_option("--to", *to, "json, or trace: the files are JSON lines then")
            ->check(CLI::IsMember({"json", "trace"}))
            ->capture_default_str();
        converting->add_option("-o,--output", *out, "the new trace file, with --to trace");
        converting->add_option("--version", *version, "of the new trace file")
            ->check(CLI::Range(kOldest, kNewest))
            ->capture_default_str();
        converting->callback([=, &chosen] {
            chosen = [=] {
                if (*to == "json") return to_json(*paths);
                if (out->empty()) return complain("convert --to trace: an output is wanted, -o FILE");
                return from_json(*paths, *version, *out);
            };
        });
    }
    auto* verifying = trace->add_subcommand("verify", "Every sum, and the index against the blocks");
    {
        auto paths = files_option(*verifying);
        verifying->callback([=, &chosen] { chosen = [=] { return verify(*paths); }; });
    }
    auto* mending =
        trace->add_subcommand("mend", "A closed file of all whole blocks of one that is cut off or damaged");
    {
        auto path = std::make_shared<std::string>();
        mending->add_option("FILE", *path)->required();
        auto out = out_option(*mending);
        mending->callback([=, &chosen] { chosen = [=] { return mend(*path, *out); }; });
    }
    trace
        ->add_subcommand("columns",
                         "Print every column of the three tables, as docs/trace-format.md has them")
        ->callback([&chosen] {
            chosen = [] {
                constexpr const char* kStores[] = {"", "number", "delta", "name", "mark", "numbers", "names"};
                for (const Table t : kTables) {
                    std::printf(
                        "### Table %d, %s\n\n| column | stored as | since version | |\n| --- | --- | --- | "
                        "--- |\n",
                        static_cast<int>(t), name_of(t));
                    for (const Column& c : columns_of(t))
                        std::printf("| `%s` | %s | %u | %s |\n", c.name, kStores[static_cast<int>(c.store)],
                                    c.since, c.meaning);
                    std::printf("\n");
                }
                return kWell;
            };
        });
    auto* differing = trace->add_subcommand("diff", "What has changed between the summaries of two traces");
    {
        auto a = std::make_shared<std::string>(), b = std::make_shared<std::string>();
        differing->add_option("BEFORE", *a)->required();
        differing->add_option("AFTER", *b)->required();
        auto by = std::make_shared<std::string>("category");
        differing->add_option("--by", *by)
            ->check(CLI::IsMember(std::vector<std::string>(std::begin(kByWords), std::end(kByWords))))
            ->capture_default_str();
        differing->callback([=, &chosen] {
            chosen = [=] {
                Files before, after;
                if (!open_all({*a}, before) || !open_all({*b}, after)) return kBadUse;
                Summary was(by_word(*by)), is(by_word(*by));
                std::vector<std::string> troubles, more;
                sum_up(before, {}, was, troubles);
                sum_up(after, {}, is, more);
                troubles.insert(troubles.end(), more.begin(), more.end());
                std::printf("%s", difference(was, is).c_str());
                return told(troubles);
            };
        });
    }
}

}  // namespace copperfront
