// copperfront trace ...: the trace tools. Their functions are in src/trace; this file holds their options,
// files, progress output and errors.
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

// Prints progress on standard error: every second on a terminal, otherwise every 5 seconds, and not at all
// for work that takes less.
class Progress {
  public:
    explicit Progress(const char* what) : what_(what) {}
    ~Progress() {
        if (printed_ && on_terminal()) std::fprintf(stderr, "\r\033[K");
    }
    void at(double done, double all, const char* unit) {
        if (++calls_ % 16 != 0) return;
        const auto now = std::chrono::steady_clock::now();
        if (now - last_ < std::chrono::seconds(on_terminal() ? 1 : 5)) return;
        last_ = now;
        printed_ = true;
        std::fprintf(stderr, "%s%s: %.1f of %.1f %s%s", on_terminal() ? "\r\033[K" : "", what_, done, all,
                     unit, on_terminal() ? "" : "\n");
        std::fflush(stderr);
    }
    std::function<void(std::uint64_t, std::uint64_t)> bytes() {
        return [this](std::uint64_t done, std::uint64_t all) {
            at(static_cast<double>(done) / 1e6, static_cast<double>(all) / 1e6, "MB");
        };
    }

  private:
    static bool on_terminal() { return ::isatty(STDERR_FILENO) == 1; }
    const char* what_;
    std::uint64_t calls_ = 0;
    bool printed_ = false;
    std::chrono::steady_clock::time_point last_ = std::chrono::steady_clock::now();
};

bool open_all(const std::vector<std::string>& paths, Files& files) {
    for (const std::string& path : paths) {
        std::string why;
        auto source = open_source(path, why);
        auto file = source ? TraceFile::open(std::move(source), path, why) : nullptr;
        if (!file) {
            print_error(path + ": " + why);
            return false;
        }
        // Missing data is reported whatever the tool does: its result covers the rest only.
        for (const DamagedRange& t : file->damaged_ranges())
            std::fprintf(stderr, "copperfront: %s: %llu bytes from byte %llu are skipped, %s%s\n",
                         path.c_str(), static_cast<unsigned long long>(t.bytes),
                         static_cast<unsigned long long>(t.offset), t.reason.c_str(),
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

int report_errors(const std::vector<std::string>& errors) {
    for (const std::string& t : errors) std::fprintf(stderr, "copperfront: %s\n", t.c_str());
    return errors.empty() ? kSuccess : kFailure;
}

// Opens the destination of a new trace. Existing files are never overwritten.
std::unique_ptr<OutputFile> open_output(const std::string& path, std::string& why) {
    if (path == "-") return standard_output();
    RealDisk disk;
    return disk.create(path, why);
}

// Writes rows to a new file, from its header to its footer, and prints errors.
int write_file(const std::string& path, Header header, const StringTable& pool,
               const std::function<bool(RowSink&, std::string&)>& fill, std::uint64_t* rows = nullptr) {
    std::string why;
    auto out = open_output(path, why);
    if (!out) return print_error(why);
    FileWriter writer(std::move(out), std::move(header));
    RowSink sink(writer, pool);
    if (!writer.start(why) || !fill(sink, why) || !sink.flush(why) || !writer.finish(why))
        return print_error(path + ": " + why, kFailure);
    if (rows) *rows = writer.rows();
    return kSuccess;
}

// Parses "2026-12-01T15:00:00.250Z", or "+12.5": seconds from the first row of the files.
bool parse_time(const std::string& text, const Files& files, std::int64_t& us) {
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

struct FilterOptions {
    std::string from, until;
    RowFilter filter;
    void add(CLI::App& app) {
        app.add_option("--from", from, "2026-12-01T15:00:00Z, or +SECONDS from the first row");
        app.add_option("--until", until, "the same");
        app.add_option("--route", filter.route, "queries of this route, and all that belongs to them");
        app.add_option("--group", filter.group, "of this client group");
        app.add_option("--server", filter.server, "that were at this server");
        app.add_option("--gateway", filter.origin, "of this gateway, by its name or its name and life");
    }
    bool resolve(const Files& files, RowFilter& to) const {
        to = filter;
        if (!from.empty() && !parse_time(from, files, to.from))
            return print_error("--from " + from + ": expected 2026-12-01T15:00:00Z or +SECONDS"), false;
        if (!until.empty() && !parse_time(until, files, to.until))
            return print_error("--until " + until + ": expected 2026-12-01T15:00:00Z or +SECONDS"), false;
        if (to.from > to.until) return print_error("--from lies after --until"), false;
        return true;
    }
};

// Returns a header for rows of several files; origin and zone are set only if all files agree.
Header header_of(const Files& files, std::uint32_t version = 0) {
    std::string origin = files.front()->header().origin, zone = files.front()->header().zone;
    std::int64_t created_at = files.front()->header().created_at;
    std::uint32_t newest = kOldestVersion;
    for (const auto& f : files) {
        if (f->header().origin != origin) origin.clear();
        if (f->header().zone != zone) zone.clear();
        created_at = std::min(created_at, f->header().created_at);
        newest = std::max(newest, f->header().version);
    }
    return Header::of(version != 0 ? version : newest, origin, zone, created_at);
}

using Paths = std::shared_ptr<std::vector<std::string>>;
Paths files_option(CLI::App& app) {
    auto paths = std::make_shared<std::vector<std::string>>();
    app.add_option("FILE", *paths, "trace files; - is standard input")->required();
    return paths;
}
std::shared_ptr<std::string> out_option(CLI::App& app) {
    auto out = std::make_shared<std::string>();
    app.add_option("-o,--output", *out, "the new trace file, which must not exist yet; - is standard output")
        ->required();
    return out;
}

int cut_files(const std::vector<std::string>& paths, const FilterOptions& filter_options,
              const std::string& out) {
    Files files;
    RowFilter filter;
    if (!open_all(paths, files) || !filter_options.resolve(files, filter)) return kUsageError;
    StringTable pool;
    CutResult result;
    Progress progress("cut");
    const int code = write_file(out, header_of(files), pool, [&](RowSink& sink, std::string& why) {
        result = cut(
            views(files), filter, pool, [&](const Row& row) { return sink.put(row, why); }, progress.bytes());
        return result.complete;
    });
    if (code != kSuccess) return code;
    std::fprintf(stderr, "%llu rows, %llu queries; %zu of %zu blocks were read\n",
                 static_cast<unsigned long long>(result.rows),
                 static_cast<unsigned long long>(result.requests), result.blocks_read, result.blocks);
    return report_errors(result.errors);
}

int merge_files(const std::vector<std::string>& paths, const std::vector<std::string>& offsets,
                const std::string& out) {
    Files files;
    if (!open_all(paths, files)) return kUsageError;
    std::vector<Merger::Input> inputs;
    for (const auto& f : files) inputs.push_back({f.get(), 0});
    for (const std::string& o : offsets) {
        const std::size_t eq = o.find('=');
        double ms = 0;
        if (eq == std::string::npos || !CLI::detail::lexical_cast(o.substr(eq + 1), ms) ||
            !(std::abs(ms) < 1e12))
            return print_error("--offset " + o + ": expected GATEWAY=MS, such as g1=-12.5");
        bool known = false;
        for (std::size_t n = 0; n < files.size(); ++n) {
            const std::string& origin = files[n]->header().origin;
            if (origin != o.substr(0, eq) && origin.substr(0, origin.rfind('.')) != o.substr(0, eq)) continue;
            inputs[n].offset = static_cast<std::int64_t>(ms * 1000);
            known = true;
        }
        if (!known) return print_error("--offset " + o + ": no file belongs to this gateway");
    }
    StringTable pool;
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
    if (code != kSuccess) return code;
    std::fprintf(stderr, "%llu rows of %zu files; %llu rows were duplicates and were written once\n",
                 static_cast<unsigned long long>(written), files.size(),
                 static_cast<unsigned long long>(merger.duplicates()));
    return report_errors(merger.errors());
}

int anonymise_files(const std::vector<std::string>& paths, const std::string& key_file, double time_ms,
                    std::int64_t tokens, const std::string& out) {
    std::ifstream in(key_file, std::ios::binary);
    std::string key((std::istreambuf_iterator<char>(in)), {});
    if (!in || key.size() < 16)
        return print_error(key_file +
                           ": expected a key of at least 16 bytes, such as from: head -c 32 /dev/urandom");
    Files files;
    if (!open_all(paths, files)) return kUsageError;
    StringTable pool;
    Anonymiser anonymiser(key, {static_cast<std::int64_t>(time_ms * 1000), tokens}, pool);
    CutResult result;
    Progress progress("anonymise");
    Header header = Header::of(header_of(files).version, "", "", 0);
    const int code = write_file(out, header, pool, [&](RowSink& sink, std::string& why) {
        result = cut(
            views(files), {}, pool,
            [&](const Row& row) {
                Row changed = row;
                anonymiser.anonymise(changed);
                return sink.put(changed, why);
            },
            progress.bytes());
        return result.complete;
    });
    return code != kSuccess ? code : report_errors(result.errors);
}

bool summarise(const Files& files, const RowFilter& filter, Summary& summary,
               std::vector<std::string>& errors) {
    StringTable pool;
    Progress progress("summary");
    const CutResult result = cut(
        views(files), filter, pool,
        [&](const Row& row) {
            summary.add(row, pool);
            return true;
        },
        progress.bytes());
    errors = result.errors;
    return result.complete;
}

GroupBy group_by_name(const std::string& word) {
    for (std::size_t n = 0; n < std::size(kGroupByNames); ++n)
        if (word == kGroupByNames[n]) return static_cast<GroupBy>(n);
    return GroupBy::all;
}

int show_files(const std::vector<std::string>& paths, const FilterOptions& filter_options,
               std::uint64_t limit) {
    Files files;
    RowFilter filter;
    if (!open_all(paths, files) || !filter_options.resolve(files, filter)) return kUsageError;
    StringTable pool;
    std::uint64_t shown = 0;
    const auto line = [&](const Row& row) {
        if (limit != 0 && shown == limit) return false;
        ++shown;
        std::string name = pool.text(row[1]);
        if (row.table != Table::events) name += "." + std::to_string(row[2]);
        std::printf("%s %-9s %s  %s\n", time_text(row.at()).c_str(), name_of(row.table), name.c_str(),
                    describe(row, pool).c_str());
        return std::ferror(stdout) == 0;
    };
    const bool by_whole_request = filter.selects_by_request() || !filter.server.empty();
    if (by_whole_request) return report_errors(cut(views(files), filter, pool, line).errors);
    std::vector<Merger::Input> inputs;
    for (const auto& f : files) inputs.push_back({f.get(), 0});
    Merger merger(inputs, pool, filter.from, filter.until);
    for (Row row; merger.next(row);)
        if (filter.matches(row, pool) && !line(row)) break;
    return report_errors(merger.errors());
}

int explain(const std::string& request, const std::vector<std::string>& paths) {
    RequestName name;
    if (!parse_request_name(request, name))
        return print_error("explain " + request +
                           ": expected the name of a request, such as g1.18f3a.756, or its number");
    Files files;
    if (!open_all(paths, files)) return kUsageError;
    StringTable pool;
    const RequestRows found = find_request(views(files), name, pool);
    const std::string text = explain_request(found.rows, pool);
    if (text.empty()) return print_error("no query " + request + " in these files", kFailure);
    std::printf("%s", text.c_str());
    return report_errors(found.errors);
}

int to_json(const std::vector<std::string>& paths) {
    Files files;
    if (!open_all(paths, files)) return kUsageError;
    StringTable pool;
    JsonLines lines(pool);
    std::string buffer;
    Progress progress("convert");
    const CutResult result = cut(
        views(files), {}, pool,
        [&](const Row& row) {
            lines.append(row, buffer);
            buffer += '\n';
            if (buffer.size() < (1U << 20)) return true;
            const bool ok = std::fwrite(buffer.data(), 1, buffer.size(), stdout) == buffer.size();
            buffer.clear();
            return ok;
        },
        progress.bytes());
    if (!result.complete || std::fwrite(buffer.data(), 1, buffer.size(), stdout) != buffer.size() ||
        std::fflush(stdout) != 0)
        return print_error(std::string("standard output: ") + std::strerror(errno), kFailure);
    return report_errors(result.errors);
}

int from_json(const std::vector<std::string>& paths, std::uint32_t version, const std::string& out) {
    StringTable pool;
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
                        // Invalid lines are counted and reported, never dropped silently.
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
    if (code != kSuccess) return code;
    if (bad > 0) return print_error(std::to_string(bad) + " lines were left out", kFailure);
    return kSuccess;
}

int verify(const std::vector<std::string>& paths) {
    bool ok = true;
    for (const std::string& path : paths) {
        std::string why;
        const std::shared_ptr<const Source> source = open_source(path, why);
        const auto file = source ? TraceFile::open(source, path, why) : nullptr;
        if (!file) {
            print_error(path + ": " + why);
            ok = false;
            continue;
        }
        const auto found = TraceFile::scan(source, path, why);
        bool whole = file->closed() && found && found->damaged_ranges().empty();
        std::string notes;
        // Compares the footer with the blocks found.
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
            for (const DamagedRange& t : found->damaged_ranges())
                notes += "; " + std::to_string(t.bytes) + " bytes from byte " + std::to_string(t.offset) +
                         ": " + t.reason +
                         (t.rows > 0 ? ", of " + std::to_string(t.rows) + " rows at most" : "");
        const TraceFile& f = found ? *found : *file;
        std::printf("%s: %s, version %u, %zu blocks, %llu queries, %llu decisions, %llu events%s\n",
                    path.c_str(), whole ? "whole" : "NOT WHOLE", f.header().version, f.index().blocks.size(),
                    static_cast<unsigned long long>(f.rows(Table::requests)),
                    static_cast<unsigned long long>(f.rows(Table::decisions)),
                    static_cast<unsigned long long>(f.rows(Table::events)), notes.c_str());
        ok = ok && whole;
    }
    return ok ? kSuccess : kFailure;
}

int mend(const std::string& path, const std::string& out) {
    std::string why;
    auto source = open_source(path, why);
    auto file = source ? TraceFile::scan(std::move(source), path, why) : nullptr;
    if (!file) return print_error(path + ": " + why);
    auto to = open_output(out, why);
    if (!to) return print_error(why);
    FileWriter writer(std::move(to), file->header());
    bool ok = writer.start(why);
    std::uint64_t rows = 0;
    for (const BlockInfo& info : file->index().blocks) {
        StringTable pool;
        Batch batch(info.table);
        const std::string block = ok ? file->bytes(info, why) : std::string();
        ok = ok && decode(file->header(), block, pool, batch, why) &&
             writer.add_block(block, batch, pool, why);
        rows += batch.rows();
    }
    if (!ok || !writer.finish(why)) return print_error(out + ": " + why, kFailure);
    std::uint64_t lost = 0;
    std::uint32_t lost_rows = 0;
    for (const DamagedRange& t : file->damaged_ranges()) {
        lost += t.bytes;
        lost_rows += t.rows;
    }
    std::printf("%s: %zu blocks, %llu rows kept; %llu bytes were in no intact block%s\n", out.c_str(),
                file->index().blocks.size(), static_cast<unsigned long long>(rows),
                static_cast<unsigned long long>(lost),
                lost_rows > 0 ? (", of " + std::to_string(lost_rows) + " rows at most").c_str() : "");
    return kSuccess;
}

}  // namespace

void add_trace_command(CLI::App& app, Command& command) {
    auto* trace = app.add_subcommand("trace", "Read, cut, merge and explain the traces that gateways write");
    trace->require_subcommand(1);

    auto* cutting =
        trace->add_subcommand("cut", "Extract a time range, a route, a group, a server or a gateway");
    {
        auto paths = files_option(*cutting);
        auto out = out_option(*cutting);
        auto filter_options = std::make_shared<FilterOptions>();
        filter_options->add(*cutting);
        cutting->callback(
            [=, &command] { command = [=] { return cut_files(*paths, *filter_options, *out); }; });
    }
    auto* merging =
        trace->add_subcommand("merge", "Merge files by time, without duplicates, in bounded memory");
    {
        auto paths = files_option(*merging);
        auto out = out_option(*merging);
        auto offsets = std::make_shared<std::vector<std::string>>();
        merging
            ->add_option("--offset", *offsets,
                         "GATEWAY=MS, added to its times: by how much its clock was behind")
            ->allow_extra_args(false);
        merging->callback([=, &command] { command = [=] { return merge_files(*paths, *offsets, *out); }; });
    }
    auto* hiding = trace->add_subcommand(
        "anonymise", "Replace sessions, groups, routes, servers and gateways by keyed hashes");
    {
        auto paths = files_option(*hiding);
        auto out = out_option(*hiding);
        auto key = std::make_shared<std::string>();
        auto time = std::make_shared<double>(0);
        auto tokens = std::make_shared<std::int64_t>(0);
        hiding->add_option("--key", *key, "file with the key; equal stays equal under one key")->required();
        hiding->add_option("--coarsen-ms", *time, "times are rounded down to a multiple of this many ms")
            ->check(CLI::Range(0.0, 1e9));
        hiding->add_option("--coarsen-tokens", *tokens, "sizes are rounded up to a multiple of this")
            ->check(CLI::Range(std::int64_t{0}, std::int64_t{1000000}));
        hiding->callback(
            [=, &command] { command = [=] { return anonymise_files(*paths, *key, *time, *tokens, *out); }; });
    }
    auto* summing = trace->add_subcommand("summary", "Outcomes, quantiles, attempts and waste by one key");
    {
        auto paths = files_option(*summing);
        auto filter_options = std::make_shared<FilterOptions>();
        filter_options->add(*summing);
        auto by = std::make_shared<std::string>("category"), form = std::make_shared<std::string>("text");
        summing->add_option("--by", *by)
            ->check(
                CLI::IsMember(std::vector<std::string>(std::begin(kGroupByNames), std::end(kGroupByNames))))
            ->capture_default_str();
        summing->add_option("--format", *form)
            ->check(CLI::IsMember({"text", "csv", "json"}))
            ->capture_default_str();
        summing->callback([=, &command] {
            command = [=] {
                Files files;
                RowFilter filter;
                if (!open_all(*paths, files) || !filter_options->resolve(files, filter)) return kUsageError;
                Summary summary(group_by_name(*by));
                std::vector<std::string> errors;
                summarise(files, filter, summary, errors);
                std::printf("%s", (*form == "csv"    ? summary.csv()
                                   : *form == "json" ? summary.json()
                                                     : summary.text())
                                      .c_str());
                return report_errors(errors);
            };
        });
    }
    auto* showing = trace->add_subcommand("show", "Print rows as lines, by time");
    {
        auto paths = files_option(*showing);
        auto filter_options = std::make_shared<FilterOptions>();
        filter_options->add(*showing);
        auto limit = std::make_shared<std::uint64_t>(0);
        showing->add_option("--limit", *limit, "at most this many lines; 0: all");
        showing->callback(
            [=, &command] { command = [=] { return show_files(*paths, *filter_options, *limit); }; });
    }
    auto* explaining =
        trace->add_subcommand("explain", "Explain one request: each decision, what was known, and why");
    {
        auto request = std::make_shared<std::string>();
        explaining->add_option("QUERY", *request, "its name, such as g1.18f3a.756, or its number")
            ->required();
        auto paths = files_option(*explaining);
        explaining->callback([=, &command] { command = [=] { return explain(*request, *paths); }; });
    }
    auto* converting =
        trace->add_subcommand("convert", "Convert to JSON lines on standard output, or from JSON lines");
    {
        auto paths = files_option(*converting);
        auto to = std::make_shared<std::string>("json"), out = std::make_shared<std::string>();
        auto version = std::make_shared<std::uint32_t>(kNewestVersion);
        converting->add_option("--to", *to, "json, or trace to read JSON lines")
            ->check(CLI::IsMember({"json", "trace"}))
            ->capture_default_str();
        converting->add_option("-o,--output", *out, "the new trace file, with --to trace");
        converting->add_option("--version", *version, "of the new trace file")
            ->check(CLI::Range(kOldestVersion, kNewestVersion))
            ->capture_default_str();
        converting->callback([=, &command] {
            command = [=] {
                if (*to == "json") return to_json(*paths);
                if (out->empty())
                    return print_error("convert --to trace: an output file is required, -o FILE");
                return from_json(*paths, *version, *out);
            };
        });
    }
    auto* verifying =
        trace->add_subcommand("verify", "Check every checksum, and the index against the blocks");
    {
        auto paths = files_option(*verifying);
        verifying->callback([=, &command] { command = [=] { return verify(*paths); }; });
    }
    auto* mending = trace->add_subcommand(
        "mend", "Copy all intact blocks of a truncated or damaged file to a closed file");
    {
        auto path = std::make_shared<std::string>();
        mending->add_option("FILE", *path)->required();
        auto out = out_option(*mending);
        mending->callback([=, &command] { command = [=] { return mend(*path, *out); }; });
    }
    trace
        ->add_subcommand("columns",
                         "Print every column of the three tables, in the form used in docs/trace-format.md")
        ->callback([&command] {
            command = [] {
                constexpr const char* kEncodingNames[] = {"",     "number",  "delta", "name",
                                                          "mark", "numbers", "names"};
                for (const Table t : kTables) {
                    std::printf(
                        "### Table %d, %s\n\n| column | stored as | since version | |\n| --- | --- | --- | "
                        "--- |\n",
                        static_cast<int>(t), name_of(t));
                    for (const Column& c : columns_of(t))
                        std::printf("| `%s` | %s | %u | %s |\n", c.name,
                                    kEncodingNames[static_cast<int>(c.encoding)], c.since_version,
                                    c.description);
                    std::printf("\n");
                }
                return kSuccess;
            };
        });
    auto* differing =
        trace->add_subcommand("diff", "Show the differences between the summaries of two traces");
    {
        auto a = std::make_shared<std::string>(), b = std::make_shared<std::string>();
        differing->add_option("BEFORE", *a)->required();
        differing->add_option("AFTER", *b)->required();
        auto by = std::make_shared<std::string>("category");
        differing->add_option("--by", *by)
            ->check(
                CLI::IsMember(std::vector<std::string>(std::begin(kGroupByNames), std::end(kGroupByNames))))
            ->capture_default_str();
        differing->callback([=, &command] {
            command = [=] {
                Files before, after;
                if (!open_all({*a}, before) || !open_all({*b}, after)) return kUsageError;
                Summary was(group_by_name(*by)), is(group_by_name(*by));
                std::vector<std::string> errors, more;
                summarise(before, {}, was, errors);
                summarise(after, {}, is, more);
                errors.insert(errors.end(), more.begin(), more.end());
                std::printf("%s", difference(was, is).c_str());
                return report_errors(errors);
            };
        });
    }
}

}  // namespace copperfront
