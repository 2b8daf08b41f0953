// Traces against what happens to files: cut off, flipped, half written, still written, of two versions, from
// clocks that step back, on disks that fill. What is read is always something that was written; what is not
// read is said.
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

// Files in memory on a disk with so much room.
struct FakeDisk : Disk {
    std::map<std::string, std::shared_ptr<std::string>> files;
    std::uint64_t room = UINT64_MAX, used = 0;
    bool truncates = true;
    std::mutex mutex;

    struct FakeOut : Out {
        FakeDisk& disk;
        std::shared_ptr<std::string> text;
        FakeOut(FakeDisk& d, std::shared_ptr<std::string> t) : disk(d), text(std::move(t)) {}
        bool append(std::string_view bytes, std::string& why) override {
            const std::lock_guard lock(disk.mutex);
            const std::uint64_t fits =
                std::min<std::uint64_t>(bytes.size(), disk.room - std::min(disk.room, disk.used));
            text->append(bytes.substr(0, static_cast<std::size_t>(fits)));
            disk.used += fits;
            why = "No space left on device";
            return fits == bytes.size();
        }
        bool truncate(std::uint64_t size, std::string&) override {
            const std::lock_guard lock(disk.mutex);
            if (!disk.truncates) return false;
            disk.used -= text->size() - size;
            text->resize(static_cast<std::size_t>(size));
            return true;
        }
        bool sync(std::string&) override { return true; }
    };
    std::unique_ptr<Out> create(const std::string& path, std::string& why) override {
        const std::lock_guard lock(mutex);
        if (files.count(path)) {
            why = "File exists";
            return nullptr;
        }
        files[path] = std::make_shared<std::string>();
        return std::make_unique<FakeOut>(*this, files[path]);
    }
    std::vector<Kept> list(const std::string& folder) override {
        const std::lock_guard lock(mutex);
        std::vector<Kept> out;
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
    std::uint64_t in_use() {
        const std::lock_guard lock(mutex);
        return used;
    }
    void give(std::uint64_t more) {
        const std::lock_guard lock(mutex);
        room = more;
    }
};

std::unique_ptr<TraceFile> opened(std::string bytes, const std::string& name = "x") {
    std::string why;
    auto file = TraceFile::open(std::make_unique<TextSource>(std::move(bytes)), name, why);
    if (!file) std::fprintf(stderr, "%s\n", why.c_str());
    return file;
}

std::vector<Row> rows_in(const TraceFile& file, Pool& pool) {
    std::vector<Row> out;
    const CutResult r = cut({&file}, {}, pool, [&](const Row& row) {
        out.push_back(row);
        return true;
    });
    assert(r.troubles.empty());
    return out;
}

// A file of these rows, so many to a block.
std::string file_of(const std::vector<Row>& rows, const Pool& pool, std::size_t block_rows,
                    std::uint32_t version = kNewest, bool close = true,
                    const std::string& origin = "g1.18f3a") {
    FakeDisk disk;
    std::string why;
    FileWriter writer(disk.create("f", why), Header::of(version, origin, "z", 0));
    assert(writer.start(why));
    std::vector<Batch> batches{Batch(Table::queries), Batch(Table::decisions), Batch(Table::events)};
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

std::vector<Row> some_rows(Pool& pool, int queries, std::uint32_t seed = 3,
                           const std::string& gateway = "g1") {
    RandomDay day(pool, seed, gateway);
    std::vector<Row> all, one;
    for (int n = 0; n < queries; ++n) {
        day.next(one);
        all.insert(all.end(), one.begin(), one.end());
    }
    return all;
}

// Rows of two pools are compared by their texts.
std::multiset<std::string> texts(const std::vector<Row>& rows, Pool& pool) {
    JsonLines lines(pool);
    std::multiset<std::string> out;
    for (const Row& row : rows) {
        std::string text;
        lines.append(row, text);
        out.insert(text);
    }
    return out;
}

Row any_row(Pool& pool) {
    Row row(*rc::gen::element(Table::queries, Table::decisions, Table::events));
    const auto columns = columns_of(row.table);
    const auto value = [&](Store store) -> std::int64_t {
        if (is_name(store))
            return pool.code(
                *rc::gen::element<std::string>("", "a", "a longer name", "\xff\x00 bytes", "\"\n"));
        if (*rc::gen::inRange(0, 4) == 0) return *rc::gen::element<std::int64_t>(INT64_MIN, INT64_MAX, -1, 0);
        return *rc::gen::arbitrary<std::int64_t>();
    };
    std::size_t list = 0;
    for (std::size_t c = 0; c < columns.size(); ++c) {
        if (!is_list(columns[c].store)) {
            row[c] = value(columns[c].store);
            continue;
        }
        for (int n = *rc::gen::inRange(0, 4); n > 0; --n) row.lists[list].push_back(value(columns[c].store));
        ++list;
    }
    return row;
}

void what_is_written_is_read() {
    assert(rc::check("rows", [] {
        Pool pool, other;
        std::vector<Row> rows;
        for (int n = *rc::gen::inRange(1, 40); n > 0; --n) rows.push_back(any_row(pool));
        const auto block = *rc::gen::inRange<std::size_t>(1, 20);
        auto file = opened(file_of(rows, pool, block, kNewest, *rc::gen::arbitrary<bool>()));
        RC_ASSERT(file != nullptr);
        RC_ASSERT(file->torn().empty());
        const std::vector<Row> back = rows_in(*file, other);
        RC_ASSERT(texts(back, other) == texts(rows, pool));
    }));
}

// Against a kill at any byte: every block that was whole is read, and nothing that was not written.
void a_file_cut_off_anywhere_gives_its_whole_blocks() {
    Pool pool;
    const std::vector<Row> rows = some_rows(pool, 12);
    const std::string whole = file_of(rows, pool, 16);
    const auto full = opened(whole);
    assert(full && full->closed());
    const auto all = texts(rows, pool);
    std::size_t headless = 0;
    for (std::size_t size = 0; size < whole.size(); ++size) {
        std::string why;
        const auto file = TraceFile::open(std::make_unique<TextSource>(whole.substr(0, size)), "x", why);
        if (!file) {
            assert(!why.empty());
            ++headless;
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
        Pool other;
        const std::vector<Row> back = rows_in(*file, other);
        assert(back.size() == expected);
        const auto got = texts(back, other);
        assert(std::includes(all.begin(), all.end(), got.begin(), got.end()));
        // What is over is told, with what it held at most where that can be known.
        std::uint64_t torn = 0;
        for (const Torn& t : file->torn()) torn += t.bytes;
        if (end > 0) assert(torn == size - end);
        const auto next =
            std::find_if(full->index().blocks.begin(), full->index().blocks.end(),
                         [&](const BlockInfo& b) { return b.offset <= size && size < b.offset + b.size; });
        if (next != full->index().blocks.end() && size >= next->offset + kBlockHead)
            assert(file->torn().size() == 1 && file->torn()[0].rows == next->rows);
    }
    assert(headless < 1500 && headless > 16);
}

// Against bits that flip on a disk: what is read was written; a block with a wrong sum is never read.
void flipped_bits_never_make_a_false_row() {
    Pool pool;
    const std::vector<Row> rows = some_rows(pool, 20);
    const std::string whole = file_of(rows, pool, 8);
    const auto all = texts(rows, pool);
    std::minstd_rand chance(11);
    std::size_t unread = 0;
    for (int n = 0; n < 1500; ++n) {
        std::string bad = whole;
        for (int flips = 1 + static_cast<int>(chance() % 3); flips > 0; --flips)
            bad[chance() % bad.size()] ^= static_cast<char>(1U << (chance() % 8));
        std::string why;
        const auto file = TraceFile::open(std::make_unique<TextSource>(bad), "x", why);
        if (!file) {
            ++unread;
            continue;
        }
        Pool other;
        std::vector<Row> back;
        const CutResult r = cut({file.get()}, {}, other, [&](const Row& row) {
            back.push_back(row);
            return true;
        });
        const auto got = texts(back, other);
        assert(std::includes(all.begin(), all.end(), got.begin(), got.end()));
        // Whatever is missing is told, by the file or by the reading of it.
        if (got.size() < all.size()) assert(!file->torn().empty() || !r.troubles.empty());
    }
    assert(unread < 600);
}

// Against a newer writer: columns and tables that are not known here are passed over.
void unknown_columns_and_tables_are_passed_over() {
    Pool pool;
    const std::vector<Row> rows = some_rows(pool, 5);
    Header newer = Header::of(kNewest, "g1.18f3a", "z", 0);
    for (StoredTable& t : newer.tables) {
        t.columns.insert(t.columns.begin() + 2,
                         {"colour", Store::name, 1});  // as if it were the origin again
        t.columns.push_back({"weight", Store::number, 0});
        if (t.number == 1)
            t.columns.push_back({"prompt_tokens", Store::mark, 9});  // of another kind: not ours
    }
    StoredTable stranger;
    stranger.number = 9;
    stranger.columns = {{"at", Store::delta, 0}};
    newer.tables.push_back(stranger);
    std::string bytes = encode(newer), why;
    Batch batch(Table::decisions), queries(Table::queries);
    for (const Row& row : rows) {
        if (row.table == Table::decisions) batch.add(row);
        if (row.table == Table::queries) queries.add(row);
    }
    std::string block = encode(newer, batch, pool);
    bytes += block + encode(newer, queries, pool);
    auto file = opened(bytes);
    Pool other;
    assert(file && texts(rows_in(*file, other), other) == texts(rows, pool));
    // A version that this program does not know is refused, and says which it knows.
    std::string future = bytes;
    future[8] = 9;
    assert(!TraceFile::open(std::make_unique<TextSource>(future), "x", why));
    assert(why.find("version is 9") != std::string::npos);
}

std::vector<Row> merged(const std::vector<const TraceFile*>& files, Pool& pool,
                        std::uint64_t* duplicates = nullptr, const std::vector<std::int64_t>& offsets = {}) {
    std::vector<Merger::Input> inputs;
    for (std::size_t n = 0; n < files.size(); ++n)
        inputs.push_back({files[n], n < offsets.size() ? offsets[n] : 0});
    Merger merger(inputs, pool);
    std::vector<Row> out;
    for (Row row; merger.next(row);) out.push_back(row);
    assert(merger.troubles().empty());
    if (duplicates) *duplicates = merger.duplicates();
    return out;
}

bool by_time(const std::vector<Row>& rows) {
    return std::is_sorted(rows.begin(), rows.end(),
                          [](const Row& a, const Row& b) { return a.at() < b.at(); });
}

// The old version knows of queries alone; both together are all rows by time, and the old one's have no
// decisions.
void two_versions_are_merged() {
    Pool pool, other;
    const std::vector<Row> a = some_rows(pool, 50, 3, "g1"), b = some_rows(pool, 50, 4, "g2");
    const auto old = opened(file_of(a, pool, 64, 1, true, "g1.18f3a"));
    const auto now = opened(file_of(b, pool, 64, 2, true, "g2.18f3a"));
    assert(old->header().version == 1 && old->rows(Table::queries) == 50 && old->rows(Table::decisions) == 0);
    const std::vector<Row> all = merged({old.get(), now.get()}, other);
    assert(by_time(all) && all.size() == 50 + b.size());
    for (const Row& row : all)
        if (row.table == Table::queries && other.text(row[1]) == "g1.18f3a")
            assert(row[query_column::generation] == 0 && row[query_column::took] > 0);
}

// Against clocks: rows out of order, equal times, a clock that steps back by an hour and one that runs
// behind.
void times_may_do_as_they_like() {
    assert(rc::check("times", [] {
        Pool pool, other;
        std::vector<Row> rows = some_rows(pool, 30);
        for (Row& row : rows) {
            const int what = *rc::gen::inRange(0, 10);
            if (what == 0) row[0] -= 3600'000'000;
            if (what == 1) row[0] = 1'764'600'000'000'000;
        }
        const auto file = opened(file_of(rows, pool, *rc::gen::inRange<std::size_t>(1, 50)));
        const std::vector<Row> back = merged({file.get()}, other);
        RC_ASSERT(by_time(back));
        RC_ASSERT(texts(back, other) == texts(rows, pool));
        // A cut by time is what a look at every row gives.
        Wanted wanted;
        wanted.from = rows[*rc::gen::inRange<std::size_t>(0, rows.size())].at();
        wanted.until = wanted.from + 400000;
        std::vector<Row> found, expected;
        cut({file.get()}, wanted, other, [&](const Row& row) {
            found.push_back(row);
            return true;
        });
        for (const Row& row : rows)
            if (row.at() >= wanted.from && row.at() <= wanted.until) expected.push_back(row);
        RC_ASSERT(texts(found, other) == texts(expected, pool));
    }));
}

void what_stands_in_several_files_is_written_once() {
    Pool pool, other;
    const std::vector<Row> rows = some_rows(pool, 60);
    const std::vector<Row> first(rows.begin(), rows.begin() + 200), second(rows.begin() + 100, rows.end());
    const auto a = opened(file_of(first, pool, 32)), b = opened(file_of(second, pool, 50));
    std::uint64_t duplicates = 0;
    const std::vector<Row> all = merged({a.get(), b.get(), a.get()}, other, &duplicates);
    assert(texts(all, other) == texts(rows, pool) && duplicates == 300);
    // Two alike in one file are two things.
    std::vector<Row> twice{rows[0], rows[0], rows[1]};
    const auto c = opened(file_of(twice, pool, 10));
    assert(merged({c.get()}, other).size() == 3);
    // An offset moves one file's rows against the other's.
    const std::vector<Row> moved = merged({a.get(), b.get()}, other, &duplicates, {0, 5'000'000});
    assert(duplicates == 0 && by_time(moved) && moved.size() == first.size() + second.size());
}

// Sixty-four files at once hold a few blocks each, whatever their length.
void a_merge_holds_few_blocks() {
    Pool pool, other;
    std::vector<std::unique_ptr<TraceFile>> files;
    std::vector<Merger::Input> inputs;
    std::uint64_t rows = 0;
    for (std::uint32_t n = 0; n < 64; ++n) {
        std::vector<Row> all = some_rows(pool, 400, n + 1, "g" + std::to_string(n));
        // As a gateway writes them.
        std::stable_sort(all.begin(), all.end(), [](const Row& a, const Row& b) { return a.at() < b.at(); });
        rows += all.size();
        files.push_back(opened(file_of(all, pool, 16)));
        inputs.push_back({files.back().get(), 0});
    }
    Merger merger(inputs, other);
    std::size_t most = 0;
    std::uint64_t got = 0;
    for (Row row; merger.next(row); ++got) most = std::max(most, merger.blocks_held());
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
        for (const double part : {0.0, 0.1, 0.5, 0.9, 0.99, 1.0}) {
            const double truth =
                samples[static_cast<std::size_t>(part * static_cast<double>(samples.size() - 1))];
            RC_ASSERT(std::abs(all.quantile(part) - truth) <= truth * (Sketch::kError + 1e-9) + 1e-9);
            RC_ASSERT(a.quantile(part) == all.quantile(part));
        }
        RC_ASSERT(a.count() == samples.size());
    }));
}

void json_lines_come_back() {
    assert(rc::check("lines", [] {
        Pool pool;
        JsonLines lines(pool);
        // JSON has no bytes that are not UTF-8.
        Row row = any_row(pool);
        const std::int64_t bytes = pool.code("\xff\x00 bytes"), plain = pool.code("plain");
        const auto columns = columns_of(row.table);
        for (std::size_t c = 0; c < columns.size(); ++c)
            if (is_name(columns[c].store) && row[c] == bytes) row[c] = plain;
        for (std::int64_t& v : row.lists[0])
            if (v == bytes) v = plain;
        std::string text, why;
        lines.append(row, text);
        Row back;
        RC_ASSERT(lines.read(text, back, why));
        RC_ASSERT(back == row);
    }));
    Pool pool;
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

// Nothing of a caller is left; what was equal is equal, under one key, and under another it is something
// else.
void anonymised_rows_tell_nothing_but_equality() {
    Pool pool;
    const std::vector<Row> rows = some_rows(pool, 200);
    Anonymiser one("a key of sixteen", {}, pool), same("a key of sixteen", {}, pool),
        other("another key of 16", {}, pool);
    std::map<std::int64_t, std::int64_t> sessions, back;
    const std::set<std::int64_t> before = [&] {
        std::set<std::int64_t> s;
        for (const Row& r : rows)
            if (r.table == Table::queries) s.insert(r[query_column::session]);
        return s;
    }();
    std::vector<Row> changed;
    for (const Row& row : rows) {
        Row a = row, b = row, c = row;
        one.change(a);
        same.change(b);
        other.change(c);
        assert(a == b);
        changed.push_back(a);
        if (row.table != Table::queries || row[query_column::session] == 0) continue;
        assert(a[query_column::session] != c[query_column::session] &&
               !before.count(a[query_column::session]));
        const auto [it, fresh] = sessions.try_emplace(row[query_column::session], a[query_column::session]);
        assert(it->second == a[query_column::session]);
        const auto [other_way, also] = back.try_emplace(a[query_column::session], row[query_column::session]);
        assert(other_way->second == row[query_column::session] && fresh == also);
        assert(a[query_column::prompt_tokens] == row[query_column::prompt_tokens]);
    }
    const std::string bytes = file_of(changed, pool, 4096, kNewest, true, "");
    const auto file = opened(bytes);
    Pool fresh;
    for (const std::string& line : texts(rows_in(*file, fresh), fresh))
        for (const char* name : {"bakery", "books", "g1", "10.0.", "long prompts", "points-help"})
            assert(line.find(name) == std::string::npos);
    Anonymiser coarse("a key of sixteen", {100000, 256}, pool);
    Row q = rows.back();
    coarse.change(q);
    assert(q.at() % 100000 == 0 && q[query_column::prompt_tokens] % 256 == 0 &&
           q[query_column::prompt_tokens] >= rows.back()[query_column::prompt_tokens]);
}

void a_query_is_explained_from_its_own_blocks() {
    Pool pool, other;
    const std::vector<Row> rows = some_rows(pool, 2000);
    const auto file = opened(file_of(rows, pool, 256));
    QueryName name;
    assert(read_query_name("g1.18f3a.1234", name) && name.origin == "g1.18f3a" && name.number == 1234);
    assert(!read_query_name("g1.", name) && !read_query_name("x", name) && !read_query_name("g1.2x", name));
    read_query_name("g1.18f3a.1234", name);
    const Found found = rows_of({file.get()}, name, other);
    std::vector<Row> expected;
    for (const Row& r : rows)
        if (r.table != Table::events && r[2] == 1234) expected.push_back(r);
    assert(texts(found.rows, other) == texts(expected, pool));
    assert(found.blocks_read < 8 && found.rows.back().table == Table::queries);
    const std::string text = story(found.rows, other);
    for (const char* part :
         {"query g1.18f3a.1234, came 2025-", "prompt tokens", "read at 10.0.",
          "that could be taken:", "tokens queued", "tokens of room", "first token from", "after"})
        assert(text.find(part) != std::string::npos);
    assert(rows_of({file.get()}, {"g9.1", 5}, other).rows.empty());
}

void a_cut_by_route_brings_whole_stories() {
    Pool pool, other;
    const std::vector<Row> rows = some_rows(pool, 300);
    const auto file = opened(file_of(rows, pool, 64));
    std::set<std::int64_t> of_web;
    for (const Row& r : rows)
        if (r.table == Table::queries && pool.text(r[query_column::route]) == "web") of_web.insert(r[2]);
    std::vector<Row> expected, found;
    for (const Row& r : rows)
        if (of_web.count(r[2])) expected.push_back(r);
    Wanted wanted;
    wanted.route = "web";
    cut({file.get()}, wanted, other, [&](const Row& row) {
        found.push_back(row);
        return true;
    });
    assert(!expected.empty() && texts(found, other) == texts(expected, pool));
    // By server: every query that was there, whole.
    Wanted at;
    at.server = "10.0.0.3:8000";
    std::size_t whole = 0, all = 0;
    cut({file.get()}, at, other, [&](const Row& row) {
        ++all;
        whole += row.table == Table::queries;
        return true;
    });
    assert(whole > 3 && all > 4 * whole);
}

void summaries_of_parts_add_up() {
    Pool pool;
    const std::vector<Row> rows = some_rows(pool, 500);
    for (std::size_t by = 0; by < std::size(kByWords); ++by) {
        Summary whole(static_cast<By>(by)), a(static_cast<By>(by)), b(static_cast<By>(by));
        for (std::size_t n = 0; n < rows.size(); ++n) {
            whole.add(rows[n], pool);
            (n < rows.size() / 3 ? a : b).add(rows[n], pool);
        }
        a.merge(b);
        assert(a.json() == whole.json() && a.csv() == whole.csv() && a.text() == whole.text());
        assert(difference(a, whole).find('\n') == difference(a, whole).size() - 1);  // its heading alone
    }
    Summary all(By::all);
    for (const Row& r : rows) all.add(r, pool);
    const Sums& s = all.groups().at("all");
    std::uint64_t fates = 0;
    for (const std::uint64_t f : s.fates) fates += f;
    assert(s.queries == 500 && fates == 500 && s.reads == s.fates[0] && s.wasted() == 0);
}

// ---- writing

struct Story {
    FakeDisk disk;
    KeepingTerms terms;
    Instant now{1'764'600'000'000'000};
    std::unique_ptr<Recorder> recorder;
    std::int64_t number = 0;

    void start() { recorder = std::make_unique<Recorder>(disk, terms, "t", "g1", "18f3a", "z", now); }
    // Rows, handed over as the loop would.
    void put(int rows) {
        Row row;
        row[query_column::origin] = recorder->origin();
        row[query_column::route] = recorder->code("web");
        for (int n = 0; n < rows; ++n) {
            row[query_column::at] = now.us;
            row[query_column::query] = ++number;
            row[query_column::session] =
                static_cast<std::int64_t>(static_cast<std::uint64_t>(number) * 0x9e3779b97f4a7c15ULL);
            recorder->add(row, now);
        }
        now = now + terms.hand_over;
        recorder->tick(now);
    }
    template <class Done>
    void wait(Done done) {
        for (int n = 0; n < 20000 && !done(); ++n)
            std::this_thread::sleep_for(std::chrono::microseconds(500));
        assert(done());
    }
    // All that is on the disk: numbers of queries, and rows said to be dropped.
    std::pair<std::vector<std::int64_t>, std::uint64_t> read() {
        std::pair<std::vector<std::int64_t>, std::uint64_t> out;
        for (const auto& [path, bytes] : disk.files) {
            if (bytes->empty()) continue;
            Pool pool;
            const auto file = opened(*bytes, path);
            assert(file);
            for (const Row& row : rows_in(*file, pool)) {
                if (row.table == Table::queries) out.first.push_back(row[query_column::query]);
                if (row.table == Table::events)
                    out.second += static_cast<std::uint64_t>(row[event_column::number]);
            }
        }
        return out;
    }
};

void a_gateway_writes_and_rotates_within_its_budget() {
    Story s;
    s.terms.file_bytes = 3000;
    s.terms.folder_bytes = 12000;
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
        const auto file = opened(*bytes);
        assert(file && file->header().origin == "g1.18f3a");
        open += !file->closed();
    }
    assert(mine <= 12000 && open == 0 && s.disk.files.count("t/g2-1-000001.cft"));
    s.disk.files.erase("t/g2-1-000001.cft");
    const auto [numbers, dropped] = s.read();
    // The newest are all there, one after another.
    assert(dropped == 0 && numbers.back() == s.number && !numbers.empty());
    for (std::size_t n = 1; n < numbers.size(); ++n) assert(numbers[n] == numbers[n - 1] + 1);
}

// Against a disk that fills: serving goes on, it is told once, and what went lost is counted in the trace
// itself.
void a_full_disk_is_told_once_and_recovers() {
    for (const bool truncates : {true, false}) {
        Story s;
        s.disk.truncates = truncates;
        s.start();
        s.put(100);
        s.wait([&] { return s.recorder->written() == 100; });
        s.disk.give(s.disk.in_use() + 100);
        std::vector<std::string> news;
        for (int n = 0; n < 30; ++n) {
            s.put(100);
            s.wait([&] { return s.recorder->dropped() == static_cast<std::uint64_t>(n + 1) * 100; });
            for (std::string& line : s.recorder->news()) news.push_back(std::move(line));
        }
        assert(news.size() == 1 && news[0].find("No space left") != std::string::npos);
        s.disk.give(UINT64_MAX);
        s.now = s.now + Span{60'000'000};
        s.put(100);
        s.wait([&] { return s.recorder->written() >= 201; });
        const auto after = s.recorder->news();
        assert(after.size() == 1 && after[0].find("written again; 3000 rows") != std::string::npos);
        s.recorder.reset();
        const auto [numbers, dropped] = s.read();
        assert(dropped == 3000 && numbers.size() == 200 && s.number == 3200);
    }
}

// Against a disk that does not keep up: what waits is bounded, and the loop never does.
void a_slow_disk_makes_no_queue_without_end() {
    Story s;
    s.terms.queue = 4;
    s.start();
    {
        const std::lock_guard stuck(s.disk.mutex);  // the thread hangs in its first write
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

// What a process wrote into a folder: numbers of its queries, file after file, and how many were never
// closed.
struct Left {
    std::vector<std::int64_t> numbers;
    std::size_t open = 0, files = 0;
    std::uint64_t torn = 0;
};
Left left_in(const std::string& folder) {
    Left out;
    for (const Disk::Kept& kept : RealDisk().list(folder)) {
        std::string why;
        const auto file = TraceFile::open(open_source(folder + "/" + kept.name, why), kept.name, why);
        ++out.files;
        if (!file) {  // killed before its header was whole
            ++out.open;
            continue;
        }
        out.open += !file->closed();
        for (const Torn& t : file->torn()) out.torn += t.bytes;
        Pool pool;
        for (const Row& row : rows_in(*file, pool))
            if (row.table == Table::queries) out.numbers.push_back(row[query_column::query]);
    }
    return out;
}

template <class Child>
int in_a_child(Child child) {
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

// Against a kill while files are changed over, which here is nearly all the time: whatever was written is
// read, in order and without a gap, and one file at most was not closed.
void a_kill_in_the_middle_of_rotation_loses_only_what_was_not_written() {
    for (int round = 0; round < 12; ++round) {
        const std::string folder = temporary_folder();
        const int status = in_a_child([&] {
            RealDisk disk;
            KeepingTerms terms;
            terms.file_bytes = 400;  // each package begins a new file
            terms.folder_bytes = 1ULL << 40;
            terms.queue = 1000;
            Instant now{1'764'600'000'000'000};
            Recorder recorder(disk, terms, folder, "g1", "1", "z", now);
            Row row;
            row[1] = recorder.origin();
            for (std::int64_t n = 1;; ++n) {
                row[0] = now.us;
                row[2] = n;
                recorder.add(row, now);
                now = now + Span{1000};
                if (n % 20 == 0) recorder.tick(now = now + terms.hand_over);
                // Its own clock for the kill, so that it falls anywhere in what the thread does.
                if (recorder.written() > static_cast<std::uint64_t>(60 + 37 * round))
                    ::kill(::getpid(), SIGKILL);
            }
        });
        assert(WIFSIGNALED(status));
        const Left left = left_in(folder);
        assert(left.open <= 1 && left.files > 2 && left.numbers.size() >= 60);
        for (std::size_t n = 0; n < left.numbers.size(); ++n)
            assert(left.numbers[n] == static_cast<std::int64_t>(n) + 1);
        std::filesystem::remove_all(folder);
    }
}

// The same disk that is full, by a limit on this process's files: the kernel's own short writes and errors.
void a_limit_on_file_sizes_is_survived() {
    const std::string folder = temporary_folder();
    const int status = in_a_child([&] {
        ::signal(SIGXFSZ, SIG_IGN);
        RealDisk disk;
        KeepingTerms terms;
        terms.file_bytes = 1 << 20;  // more than may be written, so that the limit is met first
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
                row[query_column::session] =
                    static_cast<std::int64_t>(static_cast<std::uint64_t>(n) * 0x9e3779b97f4a7c15ULL);
                recorder.add(row, now);
            }
            recorder.tick(now = now + terms.hand_over);
            for (int w = 0;
                 w < 20000 && recorder.written() + recorder.dropped() < static_cast<std::uint64_t>(n); ++w)
                ::usleep(500);
        };
        while (recorder.dropped() == 0 && n < 100000) put();
        const rlimit more{1 << 20, RLIM_INFINITY};
        ::setrlimit(RLIMIT_FSIZE, &more);
        now = now + Span{60'000'000};
        const std::uint64_t before = recorder.written();
        put();
        if (recorder.written() <= before || recorder.dropped() != 200) ::_exit(3);
    });
    assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    const Left left = left_in(folder);
    assert(left.open == 0 && left.torn == 0);
    std::size_t gaps = 0;
    for (std::size_t n = 1; n < left.numbers.size(); ++n) gaps += left.numbers[n] != left.numbers[n - 1] + 1;
    assert(gaps == 1);
    std::filesystem::remove_all(folder);
}

// A reader of a file that is still written sees whole blocks, more each time, and never a half one.
void a_file_still_written_is_read_as_far_as_it_goes() {
    Story s;
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
        Pool pool;
        const auto file = opened(bytes);
        const std::size_t rows = rows_in(*file, pool).size();
        assert(!file->closed() && file->torn().empty() && rows == before + 30);
        before = rows;
    }
}

void what_is_kept_is_decided_by_size_and_age() {
    KeepingTerms terms;
    terms.file_bytes = 100;
    terms.folder_bytes = 450;
    Keeping k(terms);
    assert(!k.begin_new(99, Span{1}) && k.begin_new(100, Span{1}) && k.begin_new(1, terms.file_age));
    const std::vector<Disk::Kept> files{{"a", 100}, {"b", 100}, {"c", 100}, {"d", 100}, {"e", 10}};
    assert((k.let_go(files, "e") == std::vector<std::string>{"a"}));
    assert((k.let_go({{"a", 9000}}, "a").empty()));  // never the one that is open
    for (const char* name : {"g1-18f3a-000001.cft", "g1-0-1000000.cft"}) assert(Keeping::is_of(name, "g1"));
    for (const char* name :
         {"g1-b-18f3a-000001.cft", "g1-18f3a-000001.cft.old", "g1-18f3a-1.cft", "g1--000001.cft",
          "g11-18f3a-000001.cft", "g1-.cft", "g1-18f3a-00000x.cft", ".cft", "g1.cft"})
        assert(!Keeping::is_of(name, "g1"));
    assert(Keeping::is_of("g1-b-18f3a-000001.cft", "g1-b"));
    // A dead disk is tried less and less often, and told once.
    Instant now{0};
    assert(k.may_try(now) && k.failed(now) && !k.may_try(now));
    int tries = 0;
    for (int s = 0; s < 600; ++s) {
        now = now + Span{1'000'000};
        if (!k.may_try(now)) continue;
        ++tries;
        assert(!k.failed(now));
    }
    assert(tries > 10 && tries < 40);
    assert(k.went_well() && !k.went_well() && k.may_try(now));
    // Against a clock that steps back by an hour: the disk is tried, synced and given a new file all the
    // same.
    k.failed(now);
    k.synced(now);
    const Instant back = now - Span{3600'000'000};
    assert(!k.may_try(now) && k.may_try(back) && !k.sync_due(now, true) && k.sync_due(back, true));
    assert(!k.sync_due(back, false) && k.begin_new(1, back - now));
}

}  // namespace

int main() {
    what_is_written_is_read();
    a_file_cut_off_anywhere_gives_its_whole_blocks();
    flipped_bits_never_make_a_false_row();
    unknown_columns_and_tables_are_passed_over();
    two_versions_are_merged();
    times_may_do_as_they_like();
    what_stands_in_several_files_is_written_once();
    a_merge_holds_few_blocks();
    an_index_finds_what_a_scan_finds();
    a_sketch_keeps_its_error_and_merges_without_loss();
    json_lines_come_back();
    anonymised_rows_tell_nothing_but_equality();
    a_query_is_explained_from_its_own_blocks();
    a_cut_by_route_brings_whole_stories();
    summaries_of_parts_add_up();
    what_is_kept_is_decided_by_size_and_age();
    a_gateway_writes_and_rotates_within_its_budget();
    a_full_disk_is_told_once_and_recovers();
    a_slow_disk_makes_no_queue_without_end();
    a_file_still_written_is_read_as_far_as_it_goes();
    a_kill_in_the_middle_of_rotation_loses_only_what_was_not_written();
    a_limit_on_file_sizes_is_survived();
}
