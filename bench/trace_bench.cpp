// Measures the cost and size of a trace: a generated day of requests with their decisions, compared with the
// same rows as JSON lines (plain and compressed by zstd); cutting, summaries, search and merging; the
// quantile sketch and the range index compared with plain ones. Not a test: compare figures only within one
// run. The rows are random, the files are real.
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <zstd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <queue>

#include "../tests/trace/rows_at_random.h"
#include "trace/cut.h"
#include "trace/json_lines.h"
#include "trace/recorder.h"
#include "trace/story.h"
#include "trace/summary.h"

using namespace copperfront;
using namespace copperfront::trace;

namespace {

double seconds() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
double cpu_seconds() {
    rusage u{};
    ::getrusage(RUSAGE_SELF, &u);
    return static_cast<double>(u.ru_utime.tv_sec + u.ru_stime.tv_sec) +
           static_cast<double>(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1e6;
}
double peak_memory_mib() {
    rusage u{};
    ::getrusage(RUSAGE_SELF, &u);
    return static_cast<double>(u.ru_maxrss) / 1024;
}

// Returns the rows of a day as a gateway writes them: ordered by time, though requests overlap.
class TimeOrderedRows {
  public:
    explicit TimeOrderedRows(RandomRows& day) : day_(day) {}
    const Row& next() {
        std::vector<Row> rows;
        while (heap_.empty() || heap_.top().at() > day_.now()) {
            day_.next(rows);
            for (Row& row : rows) heap_.push(std::move(row));
        }
        row_ = heap_.top();
        heap_.pop();
        return row_;
    }

  private:
    struct Later {
        bool operator()(const Row& a, const Row& b) const { return a.at() > b.at(); }
    };
    RandomRows& day_;
    std::priority_queue<Row, std::vector<Row>, Later> heap_;
    Row row_;
};

std::unique_ptr<TraceFile> open_or_exit(const std::string& path) {
    std::string why;
    auto source = open_source(path, why);
    auto file = source ? TraceFile::open(std::move(source), path, why) : nullptr;
    if (!file) {
        std::fprintf(stderr, "%s: %s\n", path.c_str(), why.c_str());
        std::exit(1);
    }
    return file;
}

// Writes a day of requests to one file, and prints its size and that of its JSON lines.
void write_day(const std::string& path, std::uint64_t requests, std::uint64_t sessions) {
    StringTable pool;
    RandomRows day(pool, 7, "g1", 1'764'600'000'000'000,
                   static_cast<std::int64_t>(86400e6 / static_cast<double>(requests)));
    day.sessions = sessions;
    TimeOrderedRows rows(day);
    RealDisk disk;
    std::string why;
    FileWriter writer(disk.create(path, why), Header::of(kNewestVersion, "g1.18f3a", "north", 0));
    RowSink sink(writer, pool);
    JsonLines lines(pool);
    std::string json;
    std::uint64_t json_bytes = 0, compressed_bytes = 0, count = 0;
    ZSTD_CStream* stream = ZSTD_createCStream();
    ZSTD_initCStream(stream, 3);
    std::string compressed(ZSTD_CStreamOutSize(), '\0');
    const auto compress = [&](bool last) {
        ZSTD_inBuffer in{json.data(), json.size(), 0};
        for (std::size_t rest = 1; last ? rest != 0 : in.pos < in.size;) {
            ZSTD_outBuffer out{compressed.data(), compressed.size(), 0};
            rest = ZSTD_compressStream2(stream, &out, &in, last ? ZSTD_e_end : ZSTD_e_continue);
            compressed_bytes += out.pos;
        }
        json.clear();
    };
    writer.start(why);
    double sink_cpu_s = 0;
    std::vector<Row> batch;
    for (std::uint64_t ended = 0; ended < requests;) {
        batch.clear();
        for (int n = 0; n < 4096; ++n) {
            batch.push_back(rows.next());
            if (batch.back().table == Table::requests && ++ended == requests) break;
        }
        count += batch.size();
        const double started_at = cpu_seconds();
        for (const Row& row : batch) sink.put(row, why);
        sink_cpu_s += cpu_seconds() - started_at;
        for (const Row& row : batch) {
            const std::size_t before = json.size();
            lines.append(row, json);
            json += '\n';
            json_bytes += json.size() - before;
        }
        compress(false);
    }
    compress(true);
    ZSTD_freeCStream(stream);
    const double started_at = cpu_seconds();
    sink.flush(why);
    writer.finish(why);
    sink_cpu_s += cpu_seconds() - started_at;
    const double mb = 1e6;
    std::printf("## A day of %llu queries, %llu rows, %llu sessions\n\n",
                static_cast<unsigned long long>(requests), static_cast<unsigned long long>(count),
                static_cast<unsigned long long>(sessions));
    std::printf("| | MB | of the JSON lines | bytes a query |\n| --- | --- | --- | --- |\n");
    const auto line = [&](const char* name, double bytes) {
        std::printf("| %s | %.1f | %.3f | %.0f |\n", name, bytes / mb,
                    bytes / static_cast<double>(json_bytes), bytes / static_cast<double>(requests));
    };
    line("JSON lines", static_cast<double>(json_bytes));
    line("JSON lines under zstd, level 3, as one stream", static_cast<double>(compressed_bytes));
    line("trace", static_cast<double>(writer.size()));
    std::printf("\nPacking: %.2f us of CPU a row, %.2f a query.\n\n",
                sink_cpu_s * 1e6 / static_cast<double>(count),
                sink_cpu_s * 1e6 / static_cast<double>(requests));
}

void read_day(const std::string& path) {
    std::printf("| on that file | time |\n| --- | --- |\n");
    double started_at = seconds();
    const auto print_row = [&](const std::string& what) {
        std::printf("| %s | %.3f s |\n", what.c_str(), seconds() - started_at);
        started_at = seconds();
    };
    const auto file = open_or_exit(path);
    print_row("open, " + std::to_string(file->index().blocks.size()) + " blocks");
    StringTable pool;
    RowFilter minute;
    minute.from = 1'764'600'000'000'000 + 12 * 3600'000'000LL;
    minute.until = minute.from + 60'000'000;
    std::uint64_t rows = 0;
    CutResult result = cut({file.get()}, minute, pool, [&](const Row&) { return ++rows > 0; });
    print_row("cut of one minute: " + std::to_string(rows) + " rows from " +
              std::to_string(result.blocks_read) + " blocks");
    Summary summary(GroupBy::category);
    cut({file.get()}, {}, pool, [&](const Row& row) {
        summary.add(row, pool);
        return true;
    });
    print_row("summary of all");
    const RequestRows found = find_request({file.get()}, {"g1.18f3a", 500000}, pool);
    print_row("one query's story: " + std::to_string(found.rows.size()) + " rows from " +
              std::to_string(found.blocks_read) + " blocks");
    std::string why;
    const auto scanned = TraceFile::scan(open_source(path, why), path, why);
    print_row("the index found anew");
    std::printf("\nMost memory so far: %.0f MiB.\n\n", peak_memory_mib());
}

void sketch_and_index(std::uint64_t count) {
    std::minstd_rand chance(3);
    std::lognormal_distribution<double> draw(4.5, 1);
    std::vector<double> samples;
    for (std::uint64_t n = 0; n < count; ++n) samples.push_back(draw(chance));
    Sketch sketch;
    double started_at = seconds();
    for (const double s : samples) sketch.add(s);
    const double p99 = sketch.quantile(0.99), with_sketch = seconds() - started_at;
    started_at = seconds();
    std::vector<double> sorted = samples;
    std::sort(sorted.begin(), sorted.end());
    const double truth = sorted[sorted.size() * 99 / 100], with_sort = seconds() - started_at;
    std::printf("| quantiles of %llu samples | time | memory | p99 |\n| --- | --- | --- | --- |\n",
                static_cast<unsigned long long>(count));
    std::printf("| sketch | %.3f s | %zu buckets, about %zu KB | %.1f |\n", with_sketch, sketch.buckets(),
                sketch.buckets() * 48 / 1000, p99);
    std::printf("| sorted vector | %.3f s | %llu KB | %.1f |\n\n", with_sort,
                static_cast<unsigned long long>(count * 8 / 1000), truth);

    std::printf(
        "| blocks | range index | a look at every block | std::multimap by beginning, from its start |\n"
        "| --- | --- | --- | --- |\n");
    for (const int blocks : {100, 1000, 10000, 100000}) {
        RangeIndex index;
        std::multimap<std::int64_t, std::int64_t> plain;
        for (int n = 0; n < blocks; ++n) {
            const std::int64_t first = n * 1000LL,
                               last = first + 1000 + static_cast<std::int64_t>(chance() % 4000);
            index.add(first, last, static_cast<std::uint32_t>(n));
            plain.emplace(first, last);
        }
        index.build();
        const int rounds = 2000;
        std::uint64_t hits = 0;
        volatile std::uint64_t result_sink = 0;  // keeps the compiler from removing the unused searches
        double times[3];
        for (int method = 0; method < 3; ++method) {
            started_at = seconds();
            for (int n = 0; n < rounds; ++n) {
                const std::int64_t at =
                    static_cast<std::int64_t>(chance() % static_cast<std::uint32_t>(blocks)) * 1000;
                if (method == 0) index.find(at, at + 500, [&](std::uint32_t) { ++hits; });
                if (method == 1) index.scan(at, at + 500, [&](std::uint32_t) { ++hits; });
                // The ends are not ordered, so a plain map must be searched from its start.
                if (method == 2)
                    for (auto it = plain.begin(); it != plain.end() && it->first <= at + 500; ++it)
                        hits += it->second >= at;
            }
            times[method] = (seconds() - started_at) / rounds * 1e9;
            result_sink = hits;
        }
        (void)result_sink;
        std::printf("| %d | %.0f ns | %.0f ns | %.0f ns |\n", blocks, times[0], times[1], times[2]);
    }
    std::printf("\n");
}

// Merges the files of 64 gateways into one. Runs in a process of its own, so that its peak memory is measured
// alone.
void merge_many(const std::string& folder, std::uint64_t requests) {
    std::vector<std::string> paths;
    for (int g = 0; g < 64; ++g) {
        StringTable pool;
        RandomRows day(pool, static_cast<std::uint32_t>(g + 1), "g" + std::to_string(g),
                       1'764'600'000'000'000, 200000);
        TimeOrderedRows rows(day);
        RealDisk disk;
        std::string why;
        paths.push_back(folder + "/g" + std::to_string(g) + ".cft");
        FileWriter writer(disk.create(paths.back(), why),
                          Header::of(kNewestVersion, "g" + std::to_string(g) + ".1", "z", 0));
        RowSink sink(writer, pool);
        writer.start(why);
        for (std::uint64_t ended = 0; ended < requests;) {
            const Row& row = rows.next();
            ended += row.table == Table::requests;
            sink.put(row, why);
        }
        sink.flush(why);
        writer.finish(why);
    }
    const double before = peak_memory_mib(), started_at = seconds();
    std::vector<std::unique_ptr<TraceFile>> files;
    std::vector<Merger::Input> inputs;
    std::uint64_t bytes = 0;
    for (const std::string& p : paths) {
        files.push_back(open_or_exit(p));
        inputs.push_back({files.back().get(), 0});
        bytes += files.back()->size();
    }
    StringTable pool;
    Merger merger(inputs, pool);
    RealDisk disk;
    std::string why;
    FileWriter writer(disk.create(folder + "/all.cft", why), Header::of(kNewestVersion, "", "", 0));
    RowSink sink(writer, pool);
    writer.start(why);
    std::uint64_t rows = 0;
    for (Row row; merger.next(row); ++rows) sink.put(row, why);
    sink.flush(why);
    writer.finish(why);
    std::printf(
        "64 files of %.1f MB in all, %llu rows, merged in %.1f s; most memory %.0f MiB, of which %.0f "
        "before.\n\n",
        static_cast<double>(bytes) / 1e6, static_cast<unsigned long long>(rows), seconds() - started_at,
        peak_memory_mib(), before);
}

void recorder_cost(const std::string& folder) {
    RealDisk disk;
    Instant now{1'764'600'000'000'000};
    StorageTerms terms;
    terms.max_queued_batches = 100000;
    StringTable pool;
    RandomRows day(pool, 5);
    std::vector<Row> rows, one;
    std::uint64_t requests = 0;
    while (rows.size() < 200000) {
        day.next(one);
        ++requests;
        rows.insert(rows.end(), one.begin(), one.end());
    }
    Recorder recorder(disk, terms, folder, "r", "1", "z", now);
    for (std::size_t n = 1; n < pool.size(); ++n) recorder.code(pool.text(static_cast<std::int64_t>(n)));
    const double started_at = seconds();
    for (const Row& row : rows) recorder.add(row, now);
    const double duration_s = seconds() - started_at;
    std::printf("On the loop's thread: %.0f ns a row, %.2f us a query.\n",
                duration_s * 1e9 / static_cast<double>(rows.size()),
                duration_s * 1e6 / static_cast<double>(requests));
}

}  // namespace

int main(int argc, char** argv) {
    const std::uint64_t requests = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1000000;
    std::string folder = (std::filesystem::temp_directory_path() / "copperfront-trace-bench-XXXXXX").string();
    if (!mkdtemp(folder.data())) return 1;
    write_day(folder + "/day.cft", requests, 50000);
    read_day(folder + "/day.cft");
    std::filesystem::remove(folder + "/day.cft");
    write_day(folder + "/many.cft", requests, 1000000);
    std::filesystem::remove(folder + "/many.cft");
    sketch_and_index(requests);
    recorder_cost(folder);
    std::fflush(stdout);
    if (const pid_t child = ::fork(); child == 0) {
        merge_many(folder, 20000);
        std::fflush(stdout);
        ::_exit(0);
    } else {
        int status = 0;
        ::waitpid(child, &status, 0);
    }
    std::filesystem::remove_all(folder);
}
