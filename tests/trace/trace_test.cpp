// Tests of trace files that are truncated, corrupted, partially written, still being written, of two
// versions, written by clocks that step back, or on full disks. Every row read must have been written;
// whatever cannot be read must be reported.
#include <rapidcheck.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <numeric>
#include <set>
#include <thread>

#include "rows_at_random.h"
#include "trace/anonymise.h"
#include "trace/cut.h"
#include "trace/json_lines.h"
#include "trace/recorder.h"
#include "trace/story.h"
#include "trace/summary.h"

using namespace copperfront;
using namespace copperfront::trace;

namespace {

// An in-memory file system with limited space.
struct FakeDisk : Disk {
    std::map<std::string, std::shared_ptr<std::string>> files;
    std::uint64_t capacity = UINT64_MAX, used = 0;
    bool can_truncate = true;
    std::mutex mutex;

    struct FakeOutputFile : OutputFile {
        FakeDisk& disk;
        std::shared_ptr<std::string> text;
        FakeOutputFile(FakeDisk& d, std::shared_ptr<std::string> t) : disk(d), text(std::move(t)) {}
        bool append(std::string_view bytes, std::string& why) override {
            const std::lock_guard lock(disk.mutex);
            const std::uint64_t fits =
                std::min<std::uint64_t>(bytes.size(), disk.capacity - std::min(disk.capacity, disk.used));
            text->append(bytes.substr(0, static_cast<std::size_t>(fits)));
            disk.used += fits;
            why = "No space left on device";
            return fits == bytes.size();
        }
        bool truncate(std::uint64_t size, std::string&) override {
            const std::lock_guard lock(disk.mutex);
            if (!disk.can_truncate) return false;
            disk.used -= text->size() - size;
            text->resize(static_cast<std::size_t>(size));
            return true;
        }
        bool sync(std::string&) override { return true; }
    };
    std::unique_ptr<OutputFile> create(const std::string& path, std::string& why) override {
        const std::lock_guard lock(mutex);
        if (files.count(path)) {
            why = "File exists";
            return nullptr;
        }
        files[path] = std::make_shared<std::string>();
        return std::make_unique<FakeOutputFile>(*this, files[path]);
    }
    std::vector<FileEntry> list(const std::string& folder) override {
        const std::lock_guard lock(mutex);
        std::vector<FileEntry> out;
        for (const auto& [path, text] : files)
            if (path.rfind(folder + "/", 0) == 0)
                out.push_back({path.substr(folder.size() + 1), text->size()});
        return out;
    }
    bool remove(const std::string& path, std::string&) override {
        const std::lock_guard lock(mutex);
        if (const auto it = files.find(path); it != files.end()) {
            used -= it->second->size();
            files.erase(it);
        }
        return true;
    }
    std::uint64_t used_bytes() {
        const std::lock_guard lock(mutex);
        return used;
    }
    void set_capacity(std::uint64_t more) {
        const std::lock_guard lock(mutex);
        capacity = more;
    }
};

std::unique_ptr<TraceFile> open_bytes(std::string bytes, const std::string& name = "x") {
    std::string why;
    auto file = TraceFile::open(std::make_unique<MemorySource>(std::move(bytes)), name, why);
    if (!file) std::fprintf(stderr, "%s\n", why.c_str());
    return file;
}

std::vector<Row> rows_in(const TraceFile& file, StringTable& pool) {
    std::vector<Row> out;
    const CutResult r = cut({&file}, {}, pool, [&](const Row& row) {
        out.push_back(row);
        return true;
    });
    assert(r.errors.empty());
    return out;
}

// Returns a file of these rows, with `block_rows` rows per block.
std::string file_of(const std::vector<Row>& rows, const StringTable& pool, std::size_t block_rows,
                    std::uint32_t version = kNewestVersion, bool close = true,
                    const std::string& origin = "g1.18f3a") {
    FakeDisk disk;
    std::string why;
    FileWriter writer(disk.create("f", why), Header::of(version, origin, "z", 0));
    assert(writer.start(why));
    std::vector<Batch> batches{Batch(Table::requests), Batch(Table::decisions), Batch(Table::events)};
    const auto flush = [&](Batch& b) {
        assert(writer.add(b, pool, why));
        b.clear();
    };
    for (const Row& row : rows) {
        Batch& b = batches[static_cast<std::size_t>(row.table) - 1];
        b.add(row);
        if (b.rows() == block_rows) flush(b);
    }
    for (Batch& b : batches) flush(b);
    if (close) assert(writer.finish(why));
    return *disk.files.at("f");
}

std::vector<Row> random_rows(StringTable& pool, int queries, std::uint32_t seed = 3,
                             const std::string& gateway = "g1") {
    RandomRows generator(pool, seed, gateway);
    std::vector<Row> all, one;
    for (int n = 0; n < queries; ++n) {
        generator.next(one);
        all.insert(all.end(), one.begin(), one.end());
    }
    return all;
}

// Rows with different pools are compared by their texts.
std::multiset<std::string> texts(const std::vector<Row>& rows, StringTable& pool) {
    JsonLines lines(pool);
    std::multiset<std::string> out;
    for (const Row& row : rows) {
        std::string text;
        lines.append(row, text);
        out.insert(text);
    }
    return out;
}

Row arbitrary_row(StringTable& pool) {
    Row row(*rc::gen::element(Table::requests, Table::decisions, Table::events));
    const auto columns = columns_of(row.table);
    const auto value = [&](Encoding encoding) -> std::int64_t {
        if (is_name(encoding))
            return pool.code(
                *rc::gen::element<std::string>("", "a", "a longer name", "\xff\x00 bytes", "\"\n"));
        if (*rc::gen::inRange(0, 4) == 0) return *rc::gen::element<std::int64_t>(INT64_MIN, INT64_MAX, -1, 0);
        return *rc::gen::arbitrary<std::int64_t>();
    };
    std::size_t list = 0;
    for (std::size_t c = 0; c < columns.size(); ++c) {
        if (!is_list(columns[c].encoding)) {
            row[c] = value(columns[c].encoding);
            continue;
        }
        for (int n = *rc::gen::inRange(0, 4); n > 0; --n)
            row.lists[list].push_back(value(columns[c].encoding));
        ++list;
    }
    return row;
}

void written_rows_are_read_back() {
    assert(rc::check("rows", [] {
        StringTable pool, other;
        std::vector<Row> rows;
        for (int n = *rc::gen::inRange(1, 40); n > 0; --n) rows.push_back(arbitrary_row(pool));
        const auto block = *rc::gen::inRange<std::size_t>(1, 20);
        auto file = open_bytes(file_of(rows, pool, block, kNewestVersion, *rc::gen::arbitrary<bool>()));
        RC_ASSERT(file != nullptr);
        RC_ASSERT(file->damaged_ranges().empty());
        const std::vector<Row> back = rows_in(*file, other);
        RC_ASSERT(texts(back, other) == texts(rows, pool));
    }));
}

// A process may be killed at any byte: every intact block must be read, and nothing that was not written.
void a_truncated_file_yields_its_intact_blocks() {
    StringTable pool;
    const std::vector<Row> rows = random_rows(pool, 12);
    const std::string whole = file_of(rows, pool, 16);
    const auto full = open_bytes(whole);
    assert(full && full->closed());
    const auto all = texts(rows, pool);
    std::size_t headerless = 0;
    for (std::size_t size = 0; size < whole.size(); ++size) {
        std::string why;
        const auto file = TraceFile::open(std::make_unique<MemorySource>(whole.substr(0, size)), "x", why);
        if (!file) {
            assert(!why.empty());
            ++headerless;
            continue;
        }
        assert(!file->closed());
        std::uint64_t expected = 0;
        std::uint64_t end = 0;
        for (const BlockInfo& b : full->index().blocks)
            if (b.offset + b.size <= size) {
                expected += b.rows;
                end = b.offset + b.size;
            }
        StringTable other;
        const std::vector<Row> back = rows_in(*file, other);
        assert(back.size() == expected);
        const auto got = texts(back, other);
        assert(std::includes(all.begin(), all.end(), got.begin(), got.end()));
        // The remaining bytes are reported, with the maximum number of rows that they held where that is
        // known.
        std::uint64_t damaged_bytes = 0;
        for (const DamagedRange& t : file->damaged_ranges()) damaged_bytes += t.bytes;
        if (end > 0) assert(damaged_bytes == size - end);
        const auto next =
            std::find_if(full->index().blocks.begin(), full->index().blocks.end(),
                         [&](const BlockInfo& b) { return b.offset <= size && size < b.offset + b.size; });
        if (next != full->index().blocks.end() && size >= next->offset + kBlockHeaderSize)
            assert(file->damaged_ranges().size() == 1 && file->damaged_ranges()[0].rows == next->rows);
    }
    assert(headerless < 1500 && headerless > 16);
}

// Bits may flip on a disk: every row read must have been written, and a block with a wrong checksum is never
// read.
void flipped_bits_never_yield_false_rows() {
    StringTable pool;
    const std::vector<Row> rows = random_rows(pool, 20);
    const std::string whole = file_of(rows, pool, 8);
    const auto all = texts(rows, pool);
    std::minstd_rand chance(11);
    std::size_t unread = 0;
    for (int n = 0; n < 1500; ++n) {
        std::string bad = whole;
        for (int flips = 1 + static_cast<int>(chance() % 3); flips > 0; --flips)
            bad[chance() % bad.size()] ^= static_cast<char>(1U << (chance() % 8));
        std::string why;
        const auto file = TraceFile::open(std::make_unique<MemorySource>(bad), "x", why);
        if (!file) {
            ++unread;
            continue;
        }
        StringTable other;
        std::vector<Row> back;
        const CutResult r = cut({file.get()}, {}, other, [&](const Row& row) {
            back.push_back(row);
            return true;
        });
        const auto got = texts(back, other);
        assert(std::includes(all.begin(), all.end(), got.begin(), got.end()));
        // Missing rows are reported, either by the file or when reading it.
        if (got.size() < all.size()) assert(!file->damaged_ranges().empty() || !r.errors.empty());
    }
    assert(unread < 600);
}

// A file of a newer writer: unknown columns and tables are skipped.
void unknown_columns_and_tables_are_skipped() {
    StringTable pool;
    const std::vector<Row> rows = random_rows(pool, 5);
    Header newer = Header::of(kNewestVersion, "g1.18f3a", "z", 0);
    for (StoredTable& t : newer.tables) {
        t.columns.insert(t.columns.begin() + 2,
                         {"colour", Encoding::name, 1});  // claims the index of the origin column
        t.columns.push_back({"weight", Encoding::number, 0});
        if (t.number == 1)
            t.columns.push_back(
                {"prompt_tokens", Encoding::hash, 9});  // of another type, so not the known column
    }
    StoredTable unknown_table;
    unknown_table.number = 9;
    unknown_table.columns = {{"at", Encoding::delta, 0}};
    newer.tables.push_back(unknown_table);
    std::string bytes = encode(newer), why;
    Batch batch(Table::decisions), queries(Table::requests);
    for (const Row& row : rows) {
        if (row.table == Table::decisions) batch.add(row);
        if (row.table == Table::requests) queries.add(row);
    }
    std::string block = encode(newer, batch, pool);
    bytes += block + encode(newer, queries, pool);
    auto file = open_bytes(bytes);
    StringTable other;
    assert(file && texts(rows_in(*file, other), other) == texts(rows, pool));
    // An unknown version is rejected with a message that names the supported versions.
    std::string future = bytes;
    future[8] = 9;
    assert(!TraceFile::open(std::make_unique<MemorySource>(future), "x", why));
    assert(why.find("version is 9") != std::string::npos);
}

std::vector<Row> merged(const std::vector<const TraceFile*>& files, StringTable& pool,
                        std::uint64_t* duplicates = nullptr, const std::vector<std::int64_t>& offsets = {}) {
    std::vector<Merger::Input> inputs;
    for (std::size_t n = 0; n < files.size(); ++n)
        inputs.push_back({files[n], n < offsets.size() ? offsets[n] : 0});
    Merger merger(inputs, pool);
    std::vector<Row> out;
    for (Row row; merger.next(row);) out.push_back(row);
    assert(merger.errors().empty());
    if (duplicates) *duplicates = merger.duplicates();
    return out;
}

bool is_sorted_by_time(const std::vector<Row>& rows) {
    return std::is_sorted(rows.begin(), rows.end(),
                          [](const Row& a, const Row& b) { return a.at() < b.at(); });
}

// The old version has requests only; merged files contain all rows by time, and those of the old file have no
// decisions.
void two_versions_are_merged() {
    StringTable pool, other;
    const std::vector<Row> a = random_rows(pool, 50, 3, "g1"), b = random_rows(pool, 50, 4, "g2");
    const auto old = open_bytes(file_of(a, pool, 64, 1, true, "g1.18f3a"));
    const auto now = open_bytes(file_of(b, pool, 64, 2, true, "g2.18f3a"));
    assert(old->header().version == 1 && old->rows(Table::requests) == 50 &&
           old->rows(Table::decisions) == 0);
    const std::vector<Row> all = merged({old.get(), now.get()}, other);
    assert(is_sorted_by_time(all) && all.size() == 50 + b.size());
    for (const Row& row : all)
        if (row.table == Table::requests && other.text(row[1]) == "g1.18f3a")
            assert(row[request_column::terms_generation] == 0 && row[request_column::duration] > 0);
}

// Rows out of order, equal times, a clock that steps back by an hour and one that runs behind.
void unordered_times_are_handled() {
    assert(rc::check("times", [] {
        StringTable pool, other;
        std::vector<Row> rows = random_rows(pool, 30);
        for (Row& row : rows) {
            const int what = *rc::gen::inRange(0, 10);
            if (what == 0) row[0] -= 3600'000'000;
            if (what == 1) row[0] = 1'764'600'000'000'000;
        }
        const auto file = open_bytes(file_of(rows, pool, *rc::gen::inRange<std::size_t>(1, 50)));
        const std::vector<Row> back = merged({file.get()}, other);
        RC_ASSERT(is_sorted_by_time(back));
        RC_ASSERT(texts(back, other) == texts(rows, pool));
        // Cutting by time gives the same rows as checking every row.
        RowFilter filter;
        filter.from = rows[*rc::gen::inRange<std::size_t>(0, rows.size())].at();
        filter.until = filter.from + 400000;
        std::vector<Row> found, expected;
        cut({file.get()}, filter, other, [&](const Row& row) {
            found.push_back(row);
            return true;
        });
        for (const Row& row : rows)
            if (row.at() >= filter.from && row.at() <= filter.until) expected.push_back(row);
        RC_ASSERT(texts(found, other) == texts(expected, pool));
    }));
}

void duplicates_across_files_are_merged() {
    StringTable pool, other;
    const std::vector<Row> rows = random_rows(pool, 60);
    const std::vector<Row> first(rows.begin(), rows.begin() + 200), second(rows.begin() + 100, rows.end());
    const auto a = open_bytes(file_of(first, pool, 32)), b = open_bytes(file_of(second, pool, 50));
    std::uint64_t duplicates = 0;
    const std::vector<Row> all = merged({a.get(), b.get(), a.get()}, other, &duplicates);
    assert(texts(all, other) == texts(rows, pool) && duplicates == 300);
    // Two equal rows in one file are separate rows.
    std::vector<Row> twice{rows[0], rows[0], rows[1]};
    const auto c = open_bytes(file_of(twice, pool, 10));
    assert(merged({c.get()}, other).size() == 3);
    // An offset shifts one file's rows relative to the other's.
    const std::vector<Row> shifted = merged({a.get(), b.get()}, other, &duplicates, {0, 5'000'000});
    assert(duplicates == 0 && is_sorted_by_time(shifted) && shifted.size() == first.size() + second.size());
}

// Merging 64 files keeps only a few blocks of each in memory, regardless of their length.
void a_merge_loads_few_blocks() {
    StringTable pool, other;
    std::vector<std::unique_ptr<TraceFile>> files;
    std::vector<Merger::Input> inputs;
    std::uint64_t rows = 0;
    for (std::uint32_t n = 0; n < 64; ++n) {
        std::vector<Row> all = random_rows(pool, 400, n + 1, "g" + std::to_string(n));
        // In the order in which a gateway writes them.
        std::stable_sort(all.begin(), all.end(), [](const Row& a, const Row& b) { return a.at() < b.at(); });
        rows += all.size();
        files.push_back(open_bytes(file_of(all, pool, 16)));
        inputs.push_back({files.back().get(), 0});
    }
    Merger merger(inputs, other);
    std::size_t most = 0;
    std::uint64_t got = 0;
    for (Row row; merger.next(row); ++got) most = std::max(most, merger.loaded_blocks());
    assert(got == rows && most <= 64 * 4);
}

void an_index_finds_what_a_scan_finds() {
    assert(rc::check("ranges", [] {
        RangeIndex index;
        for (int n = *rc::gen::inRange(0, 60); n > 0; --n) {
            const std::int64_t first = *rc::gen::inRange(-100, 100);
            index.add(first, first + *rc::gen::inRange(0, 30), static_cast<std::uint32_t>(n));
        }
        index.build();
        const std::int64_t from = *rc::gen::inRange(-120, 120), to = from + *rc::gen::inRange(0, 50);
        std::vector<std::uint32_t> found, scanned;
        index.find(from, to, [&](std::uint32_t b) { found.push_back(b); });
        index.scan(from, to, [&](std::uint32_t b) { scanned.push_back(b); });
        RC_ASSERT(found == scanned);
    }));
}

void a_sketch_keeps_its_error_and_merges_without_loss() {
    assert(rc::check("samples", [] {
        Sketch all, a, b;
        std::vector<double> samples;
        std::minstd_rand chance(static_cast<std::uint32_t>(*rc::gen::inRange(1, 1 << 30)));
        std::lognormal_distribution<double> draw(*rc::gen::inRange(-3, 9), 1 + *rc::gen::inRange(0, 3));
        for (int n = *rc::gen::inRange(1, 3000); n > 0; --n) {
            const double s = chance() % 50 == 0 ? 0 : draw(chance);
            samples.push_back(s);
            all.add(s);
            (n % 3 ? a : b).add(s);
        }
        a.merge(b);
        std::sort(samples.begin(), samples.end());
        for (const double rank : {0.0, 0.1, 0.5, 0.9, 0.99, 1.0}) {
            const double truth =
                samples[static_cast<std::size_t>(rank * static_cast<double>(samples.size() - 1))];
            RC_ASSERT(std::abs(all.quantile(rank) - truth) <= truth * (Sketch::kRelativeError + 1e-9) + 1e-9);
            RC_ASSERT(a.quantile(rank) == all.quantile(rank));
        }
        RC_ASSERT(a.count() == samples.size());
    }));
}

void json_lines_round_trip() {
    assert(rc::check("lines", [] {
        StringTable pool;
        JsonLines lines(pool);
        // JSON cannot hold bytes that are not UTF-8.
        Row row = arbitrary_row(pool);
        const std::int64_t binary = pool.code("\xff\x00 bytes"), plain = pool.code("plain");
        const auto columns = columns_of(row.table);
        for (std::size_t c = 0; c < columns.size(); ++c)
            if (is_name(columns[c].encoding) && row[c] == binary) row[c] = plain;
        for (std::int64_t& v : row.lists[0])
            if (v == binary) v = plain;
        std::string text, why;
        lines.append(row, text);
        Row back;
        RC_ASSERT(lines.read(text, back, why));
        RC_ASSERT(back == row);
    }));
    StringTable pool;
    JsonLines lines(pool);
    Row row;
    std::string why;
    for (const auto& [line, what] : {std::pair{"", "expected a JSON object"},
                                     {"[1]", "expected a JSON object"},
                                     {"{}", "table: expected"},
                                     {R"({"table":"queries","colour":1})", "no such column of queries"},
                                     {R"({"table":"queries","at":"x"})", "a whole number"},
                                     {R"({"table":"queries","at":1e300})", "a whole number"},
                                     {R"({"table":"queries","session":"zz"})", "hexadecimal"},
                                     {R"({"table":"decisions","seen":5})", "a list"},
                                     {R"({"table":"decisions","seen":[5]})", "a text"}}) {
        assert(!lines.read(line, row, why));
        assert(why.find(what) != std::string::npos);
    }
}

// No original value remains; equal values stay equal under one key and differ under another.
void anonymised_rows_preserve_only_equality() {
    StringTable pool;
    const std::vector<Row> rows = random_rows(pool, 200);
    Anonymiser one("a key of sixteen", {}, pool), same("a key of sixteen", {}, pool),
        other("another key of 16", {}, pool);
    std::map<std::int64_t, std::int64_t> sessions, back;
    const std::set<std::int64_t> before = [&] {
        std::set<std::int64_t> s;
        for (const Row& r : rows)
            if (r.table == Table::requests) s.insert(r[request_column::session]);
        return s;
    }();
    std::vector<Row> changed;
    for (const Row& row : rows) {
        Row a = row, b = row, c = row;
        one.anonymise(a);
        same.anonymise(b);
        other.anonymise(c);
        assert(a == b);
        changed.push_back(a);
        if (row.table != Table::requests || row[request_column::session] == 0) continue;
        assert(a[request_column::session] != c[request_column::session] &&
               !before.count(a[request_column::session]));
        const auto [it, fresh] =
            sessions.try_emplace(row[request_column::session], a[request_column::session]);
        assert(it->second == a[request_column::session]);
        const auto [other_way, also] =
            back.try_emplace(a[request_column::session], row[request_column::session]);
        assert(other_way->second == row[request_column::session] && fresh == also);
        assert(a[request_column::prompt_tokens] == row[request_column::prompt_tokens]);
    }
    const std::string bytes = file_of(changed, pool, 4096, kNewestVersion, true, "");
    const auto file = open_bytes(bytes);
    StringTable fresh;
    for (const std::string& line : texts(rows_in(*file, fresh), fresh))
        for (const char* name : {"bakery", "books", "g1", "10.0.", "long prompts", "points-help"})
            assert(line.find(name) == std::string::npos);
    Anonymiser coarse("a key of sixteen", {100000, 256}, pool);
    Row q = rows.back();
    coarse.anonymise(q);
    assert(q.at() % 100000 == 0 && q[request_column::prompt_tokens] % 256 == 0 &&
           q[request_column::prompt_tokens] >= rows.back()[request_column::prompt_tokens]);
}

void a_request_is_explained_from_its_own_blocks() {
    StringTable pool, other;
    const std::vector<Row> rows = random_rows(pool, 2000);
    const auto file = open_bytes(file_of(rows, pool, 256));
    RequestName name;
    assert(parse_request_name("g1.18f3a.1234", name) && name.origin == "g1.18f3a" && name.number == 1234);
    assert(!parse_request_name("g1.", name) && !parse_request_name("x", name) &&
           !parse_request_name("g1.2x", name));
    parse_request_name("g1.18f3a.1234", name);
    const RequestRows found = find_request({file.get()}, name, other);
    std::vector<Row> expected;
    for (const Row& r : rows)
        if (r.table != Table::events && r[2] == 1234) expected.push_back(r);
    assert(texts(found.rows, other) == texts(expected, pool));
    assert(found.blocks_read < 8 && found.rows.back().table == Table::requests);
    const std::string text = explain_request(found.rows, other);
    for (const char* part :
         {"query g1.18f3a.1234, came 2025-", "prompt tokens", "read at 10.0.",
          "that could be taken:", "tokens queued", "tokens of room", "first token from", "after"})
        assert(text.find(part) != std::string::npos);
    assert(find_request({file.get()}, {"g9.1", 5}, other).rows.empty());
}

void a_cut_by_route_includes_all_rows_of_a_request() {
    StringTable pool, other;
    const std::vector<Row> rows = random_rows(pool, 300);
    const auto file = open_bytes(file_of(rows, pool, 64));
    std::set<std::int64_t> of_web;
    for (const Row& r : rows)
        if (r.table == Table::requests && pool.text(r[request_column::route]) == "web") of_web.insert(r[2]);
    std::vector<Row> expected, found;
    for (const Row& r : rows)
        if (of_web.count(r[2])) expected.push_back(r);
    RowFilter filter;
    filter.route = "web";
    cut({file.get()}, filter, other, [&](const Row& row) {
        found.push_back(row);
        return true;
    });
    assert(!expected.empty() && texts(found, other) == texts(expected, pool));
    // By server: every request that was sent there, with all its rows.
    RowFilter at;
    at.server = "10.0.0.3:8000";
    std::size_t whole = 0, all = 0;
    cut({file.get()}, at, other, [&](const Row& row) {
        ++all;
        whole += row.table == Table::requests;
        return true;
    });
    assert(whole > 3 && all > 4 * whole);
}

void summaries_of_parts_add_up() {
    StringTable pool;
    const std::vector<Row> rows = random_rows(pool, 500);
    for (std::size_t by = 0; by < std::size(kGroupByNames); ++by) {
        Summary whole(static_cast<GroupBy>(by)), a(static_cast<GroupBy>(by)), b(static_cast<GroupBy>(by));
        for (std::size_t n = 0; n < rows.size(); ++n) {
            whole.add(rows[n], pool);
            (n < rows.size() / 3 ? a : b).add(rows[n], pool);
        }
        a.merge(b);
        assert(a.json() == whole.json() && a.csv() == whole.csv() && a.text() == whole.text());
        assert(difference(a, whole).find('\n') == difference(a, whole).size() - 1);  // heading only
    }
    Summary all(GroupBy::all);
    for (const Row& r : rows) all.add(r, pool);
    const GroupTotals& s = all.groups().at("all");
    std::uint64_t outcomes = 0;
    for (const std::uint64_t f : s.outcomes) outcomes += f;
    assert(s.requests == 500 && outcomes == 500 && s.prefills == s.outcomes[0] && s.wasted() == 0);
}

// ---- writing

struct RecorderFixture {
    FakeDisk disk;
    StorageTerms terms;
    Instant now{1'764'600'000'000'000};
    std::unique_ptr<Recorder> recorder;
    std::int64_t number = 0;

    void start() { recorder = std::make_unique<Recorder>(disk, terms, "t", "g1", "18f3a", "z", now); }
    // Adds rows and passes them to the writer thread as the loop would.
    void put(int rows) {
        Row row;
        row[request_column::origin] = recorder->origin();
        row[request_column::route] = recorder->code("web");
        for (int n = 0; n < rows; ++n) {
            row[request_column::at] = now.us;
            row[request_column::request] = ++number;
            row[request_column::session] =
                static_cast<std::int64_t>(static_cast<std::uint64_t>(number) * 0x9e3779b97f4a7c15ULL);
            recorder->add(row, now);
        }
        now = now + terms.flush_interval;
        recorder->tick(now);
    }
    template <class Done>
    void wait(Done done) {
        for (int n = 0; n < 20000 && !done(); ++n)
            std::this_thread::sleep_for(std::chrono::microseconds(500));
        assert(done());
    }
    // Reads the files on the disk: numbers of requests, and rows reported as dropped.
    std::pair<std::vector<std::int64_t>, std::uint64_t> read() {
        std::pair<std::vector<std::int64_t>, std::uint64_t> out;
        for (const auto& [path, bytes] : disk.files) {
            if (bytes->empty()) continue;
            StringTable pool;
            const auto file = open_bytes(*bytes, path);
            assert(file);
            for (const Row& row : rows_in(*file, pool)) {
                if (row.table == Table::requests) out.first.push_back(row[request_column::request]);
                if (row.table == Table::events)
                    out.second += static_cast<std::uint64_t>(row[event_column::number]);
            }
        }
        return out;
    }
};

void a_gateway_writes_and_rotates_within_its_budget() {
    RecorderFixture s;
    s.terms.max_file_bytes = 3000;
    s.terms.max_folder_bytes = 12000;
    s.disk.files["t/g2-1-000001.cft"] = std::make_shared<std::string>(50000, 'x');  // another gateway's
    s.start();
    for (int n = 0; n < 60; ++n) {
        s.put(50);
        s.wait([&] { return s.recorder->written() == static_cast<std::uint64_t>(s.number); });
    }
    assert(s.recorder->files() > 8);
    s.recorder.reset();
    std::uint64_t mine = 0;
    std::size_t open = 0;
    for (const auto& [path, bytes] : s.disk.files) {
        if (path.find("g2-") != std::string::npos) continue;
        mine += bytes->size();
        const auto file = open_bytes(*bytes);
        assert(file && file->header().origin == "g1.18f3a");
        open += !file->closed();
    }
    assert(mine <= 12000 && open == 0 && s.disk.files.count("t/g2-1-000001.cft"));
    s.disk.files.erase("t/g2-1-000001.cft");
    const auto [numbers, dropped] = s.read();
    // The newest requests are all present and consecutive.
    assert(dropped == 0 && numbers.back() == s.number && !numbers.empty());
    for (std::size_t n = 1; n < numbers.size(); ++n) assert(numbers[n] == numbers[n - 1] + 1);
}

// A full disk: serving goes on, it is reported once, and the lost rows are counted in the trace itself.
void a_full_disk_is_reported_once_and_recovers() {
    for (const bool can_truncate : {true, false}) {
        RecorderFixture s;
        s.disk.can_truncate = can_truncate;
        s.start();
        s.put(100);
        s.wait([&] { return s.recorder->written() == 100; });
        s.disk.set_capacity(s.disk.used_bytes() + 100);
        std::vector<std::string> news;
        for (int n = 0; n < 30; ++n) {
            s.put(100);
            s.wait([&] { return s.recorder->dropped() == static_cast<std::uint64_t>(n + 1) * 100; });
            for (std::string& line : s.recorder->take_messages()) news.push_back(std::move(line));
        }
        assert(news.size() == 1 && news[0].find("No space left") != std::string::npos);
        s.disk.set_capacity(UINT64_MAX);
        s.now = s.now + Duration{60'000'000};
        s.put(100);
        s.wait([&] { return s.recorder->written() >= 201; });
        const auto after = s.recorder->take_messages();
        assert(after.size() == 1 && after[0].find("written again; 3000 rows") != std::string::npos);
        s.recorder.reset();
        const auto [numbers, dropped] = s.read();
        assert(dropped == 3000 && numbers.size() == 200 && s.number == 3200);
    }
}

// A slow disk: the queue is bounded, and the loop never waits.
void the_queue_for_a_slow_disk_is_bounded() {
    RecorderFixture s;
    s.terms.max_queued_batches = 4;
    s.start();
    {
        const std::lock_guard stuck(s.disk.mutex);  // the writer thread blocks in its first write
        for (int n = 0; n < 50; ++n) s.put(10);
    }
    assert(s.recorder->dropped() >= 450 && s.recorder->dropped() <= 460);
    s.wait([&] { return s.recorder->written() + s.recorder->dropped() >= 500; });
    s.put(10);
    s.wait([&] { return s.recorder->written() + s.recorder->dropped() >= 511; });
    const std::uint64_t lost = s.recorder->dropped();
    s.recorder.reset();
    const auto [numbers, dropped] = s.read();
    assert(dropped == lost && numbers.size() + dropped == 510);
}

std::string temporary_folder() {
    std::string folder = (std::filesystem::temp_directory_path() / "copperfront-trace-XXXXXX").string();
    assert(mkdtemp(folder.data()) != nullptr);
    return folder;
}

// What a process wrote to a folder: numbers of its requests, file after file, and the number of files that
// were not closed.
struct FolderContents {
    std::vector<std::int64_t> numbers;
    std::size_t open = 0, files = 0;
    std::uint64_t damaged_bytes = 0;
};
FolderContents contents_of(const std::string& folder) {
    FolderContents out;
    for (const Disk::FileEntry& entry : RealDisk().list(folder)) {
        std::string why;
        const auto file = TraceFile::open(open_source(folder + "/" + entry.name, why), entry.name, why);
        ++out.files;
        if (!file) {  // killed before its header was complete
            ++out.open;
            continue;
        }
        out.open += !file->closed();
        for (const DamagedRange& t : file->damaged_ranges()) out.damaged_bytes += t.bytes;
        StringTable pool;
        for (const Row& row : rows_in(*file, pool))
            if (row.table == Table::requests) out.numbers.push_back(row[request_column::request]);
    }
    return out;
}

template <class Child>
int run_in_child(Child child) {
    const pid_t pid = ::fork();
    assert(pid >= 0);
    if (pid == 0) {
        child();
        ::_exit(0);
    }
    int status = 0;
    ::waitpid(pid, &status, 0);
    return status;
}

// A kill during file rotation, which happens nearly all the time in this test: whatever was written is read,
// in order and without a gap, and at most one file was not closed.
void a_kill_during_rotation_loses_only_unwritten_rows() {
    for (int round = 0; round < 12; ++round) {
        const std::string folder = temporary_folder();
        const int status = run_in_child([&] {
            RealDisk disk;
            StorageTerms terms;
            terms.max_file_bytes = 400;  // each batch starts a new file
            terms.max_folder_bytes = 1ULL << 40;
            terms.max_queued_batches = 1000;
            Instant now{1'764'600'000'000'000};
            Recorder recorder(disk, terms, folder, "g1", "1", "z", now);
            Row row;
            row[1] = recorder.origin();
            for (std::int64_t n = 1;; ++n) {
                row[0] = now.us;
                row[2] = n;
                recorder.add(row, now);
                now = now + Duration{1000};
                if (n % 20 == 0) recorder.tick(now = now + terms.flush_interval);
                // Depends on the progress of the writer thread, so that the kill hits any of its steps.
                if (recorder.written() > static_cast<std::uint64_t>(60 + 37 * round))
                    ::kill(::getpid(), SIGKILL);
            }
        });
        assert(WIFSIGNALED(status));
        const FolderContents contents = contents_of(folder);
        assert(contents.open <= 1 && contents.files > 2 && contents.numbers.size() >= 60);
        for (std::size_t n = 0; n < contents.numbers.size(); ++n)
            assert(contents.numbers[n] == static_cast<std::int64_t>(n) + 1);
        std::filesystem::remove_all(folder);
    }
}

// A full disk, simulated by a limit on the size of files, which gives real short writes and errors of the
// kernel.
void a_limit_on_file_sizes_is_handled() {
    const std::string folder = temporary_folder();
    const int status = run_in_child([&] {
        ::signal(SIGXFSZ, SIG_IGN);
        RealDisk disk;
        StorageTerms terms;
        terms.max_file_bytes = 1 << 20;  // larger than the limit, so that the limit is reached first
        Instant now{1'764'600'000'000'000};
        Recorder recorder(disk, terms, folder, "g1", "1", "z", now);
        const rlimit limit{6000, RLIM_INFINITY};
        ::setrlimit(RLIMIT_FSIZE, &limit);
        Row row;
        row[1] = recorder.origin();
        std::int64_t n = 0;
        const auto put = [&] {
            for (int k = 0; k < 200; ++k) {
                row[0] = now.us;
                row[2] = ++n;
                row[request_column::session] =
                    static_cast<std::int64_t>(static_cast<std::uint64_t>(n) * 0x9e3779b97f4a7c15ULL);
                recorder.add(row, now);
            }
            recorder.tick(now = now + terms.flush_interval);
            for (int w = 0;
                 w < 20000 && recorder.written() + recorder.dropped() < static_cast<std::uint64_t>(n); ++w)
                ::usleep(500);
        };
        while (recorder.dropped() == 0 && n < 100000) put();
        const rlimit more{1 << 20, RLIM_INFINITY};
        ::setrlimit(RLIMIT_FSIZE, &more);
        now = now + Duration{60'000'000};
        const std::uint64_t before = recorder.written();
        put();
        if (recorder.written() <= before || recorder.dropped() != 200) ::_exit(3);
    });
    assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    const FolderContents contents = contents_of(folder);
    assert(contents.open == 0 && contents.damaged_bytes == 0);
    std::size_t gaps = 0;
    for (std::size_t n = 1; n < contents.numbers.size(); ++n)
        gaps += contents.numbers[n] != contents.numbers[n - 1] + 1;
    assert(gaps == 1);
    std::filesystem::remove_all(folder);
}

// A reader of a file that is still being written sees intact blocks only, more each time.
void a_file_being_written_is_readable() {
    RecorderFixture s;
    s.start();
    std::size_t before = 0;
    for (int n = 0; n < 20; ++n) {
        s.put(30);
        s.wait([&] { return s.recorder->written() == static_cast<std::uint64_t>(s.number); });
        std::string bytes;
        {
            const std::lock_guard lock(s.disk.mutex);
            bytes = *s.disk.files.begin()->second;
        }
        StringTable pool;
        const auto file = open_bytes(bytes);
        const std::size_t rows = rows_in(*file, pool).size();
        assert(!file->closed() && file->damaged_ranges().empty() && rows == before + 30);
        before = rows;
    }
}

void retention_depends_on_size_and_age() {
    StorageTerms terms;
    terms.max_file_bytes = 100;
    terms.max_folder_bytes = 450;
    StoragePolicy k(terms);
    assert(!k.should_rotate(99, Duration{1}) && k.should_rotate(100, Duration{1}) &&
           k.should_rotate(1, terms.max_file_age));
    const std::vector<Disk::FileEntry> files{{"a", 100}, {"b", 100}, {"c", 100}, {"d", 100}, {"e", 10}};
    assert((k.files_to_delete(files, "e") == std::vector<std::string>{"a"}));
    assert((k.files_to_delete({{"a", 9000}}, "a").empty()));  // never the open file
    for (const char* name : {"g1-18f3a-000001.cft", "g1-0-1000000.cft"})
        assert(StoragePolicy::belongs_to(name, "g1"));
    for (const char* name :
         {"g1-b-18f3a-000001.cft", "g1-18f3a-000001.cft.old", "g1-18f3a-1.cft", "g1--000001.cft",
          "g11-18f3a-000001.cft", "g1-.cft", "g1-18f3a-00000x.cft", ".cft", "g1.cft"})
        assert(!StoragePolicy::belongs_to(name, "g1"));
    assert(StoragePolicy::belongs_to("g1-b-18f3a-000001.cft", "g1-b"));
    // A dead disk is retried less and less often and reported once.
    Instant now{0};
    assert(k.may_write(now) && k.record_failure(now) && !k.may_write(now));
    int tries = 0;
    for (int s = 0; s < 600; ++s) {
        now = now + Duration{1'000'000};
        if (!k.may_write(now)) continue;
        ++tries;
        assert(!k.record_failure(now));
    }
    assert(tries > 10 && tries < 40);
    assert(k.record_success() && !k.record_success() && k.may_write(now));
    // After a clock steps back by an hour, the disk is still retried, synced and given a new file.
    k.record_failure(now);
    k.record_sync(now);
    const Instant back = now - Duration{3600'000'000};
    assert(!k.may_write(now) && k.may_write(back) && !k.sync_due(now, true) && k.sync_due(back, true));
    assert(!k.sync_due(back, false) && k.should_rotate(1, back - now));
}

}  // namespace

int main() {
    written_rows_are_read_back();
    a_truncated_file_yields_its_intact_blocks();
    flipped_bits_never_yield_false_rows();
    unknown_columns_and_tables_are_skipped();
    two_versions_are_merged();
    unordered_times_are_handled();
    duplicates_across_files_are_merged();
    a_merge_loads_few_blocks();
    an_index_finds_what_a_scan_finds();
    a_sketch_keeps_its_error_and_merges_without_loss();
    json_lines_round_trip();
    anonymised_rows_preserve_only_equality();
    a_request_is_explained_from_its_own_blocks();
    a_cut_by_route_includes_all_rows_of_a_request();
    summaries_of_parts_add_up();
    retention_depends_on_size_and_age();
    a_gateway_writes_and_rotates_within_its_budget();
    a_full_disk_is_reported_once_and_recovers();
    the_queue_for_a_slow_disk_is_bounded();
    a_file_being_written_is_readable();
    a_kill_during_rotation_loses_only_unwritten_rows();
    a_limit_on_file_sizes_is_handled();
}
