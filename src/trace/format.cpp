#include "trace/format.h"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <unordered_map>

#include "trace/bytes.h"

namespace copperfront::trace {
namespace {

// Of a head and of what follows it.
std::uint64_t sum_of(std::string_view a, std::string_view b) {
    return XXH3_64bits_withSeed(b.data(), b.size(), XXH3_64bits(a.data(), a.size()));
}

std::string packed(const std::string& raw, int level) {
    std::string out(ZSTD_compressBound(raw.size()), '\0');
    const std::size_t n = ZSTD_compress(out.data(), out.size(), raw.data(), raw.size(), level);
    out.resize(ZSTD_isError(n) ? 0 : n);
    return out;
}

bool unpacked(std::string_view stored, std::uint32_t raw, std::string& out) {
    if (raw > kMostRaw) return false;
    out.resize(raw);
    return ZSTD_decompress(out.data(), out.size(), stored.data(), stored.size()) == raw;
}

// ---- one column

enum : std::uint8_t { kSame = 0, kPlain = 1, kDictionary = 2 };

void put_numbers(Bytes& to, const std::vector<std::int64_t>& values, bool delta) {
    const bool same = !values.empty() && std::all_of(values.begin(), values.end(),
                                                     [&](std::int64_t v) { return v == values.front(); });
    to.fixed<std::uint8_t>(same ? kSame : kPlain);
    if (same) return to.number(values.front());
    std::uint64_t before = 0;
    for (const std::int64_t v : values) {
        // Differences wrap: a clock that jumps by anything must come back as it was.
        to.number(static_cast<std::int64_t>(static_cast<std::uint64_t>(v) - before));
        if (delta) before = static_cast<std::uint64_t>(v);
    }
}

bool get_numbers(Cursor& from, std::size_t count, bool delta, std::vector<std::int64_t>& values) {
    const auto how = from.fixed<std::uint8_t>();
    if (how == kSame) {
        values.assign(count, from.number());
        return from.well();
    }
    if (how != kPlain || from.left() < count) return false;
    values.reserve(count);
    std::uint64_t before = 0;
    for (std::size_t n = 0; n < count; ++n) {
        const std::uint64_t v = before + static_cast<std::uint64_t>(from.number());
        values.push_back(static_cast<std::int64_t>(v));
        if (delta) before = v;
    }
    return from.well();
}

void put_codes(Bytes& to, const std::vector<std::uint64_t>& codes, std::size_t distinct) {
    if (distinct <= 1) return;
    for (const std::uint64_t c : codes) to.varint(c);
}

bool get_codes(Cursor& from, std::size_t count, const std::vector<std::int64_t>& meaning,
               std::vector<std::int64_t>& values) {
    if (count > 0 && meaning.empty()) return false;
    if (meaning.size() <= 1) {
        if (count > 0) values.assign(count, meaning.front());
        return true;
    }
    if (from.left() < count) return false;
    values.reserve(count);
    for (std::size_t n = 0; n < count; ++n) {
        const std::uint64_t code = from.varint();
        if (code >= meaning.size()) return false;
        values.push_back(meaning[static_cast<std::size_t>(code)]);
    }
    return from.well();
}

// Distinct values in the order in which they come: names and sessions of a block repeat, and its dictionary
// goes with it, so that a block can be read whatever became of the rest of its file.
struct Distinct {
    std::vector<std::int64_t> values;
    std::vector<std::uint64_t> codes;
    explicit Distinct(const std::vector<std::int64_t>& all) {
        std::unordered_map<std::int64_t, std::uint64_t> seen;
        codes.reserve(all.size());
        for (const std::int64_t v : all) {
            const auto [it, fresh] = seen.try_emplace(v, values.size());
            if (fresh) values.push_back(v);
            codes.push_back(it->second);
        }
    }
};

void put_names(Bytes& to, const std::vector<std::int64_t>& values, const Pool& pool) {
    const Distinct all(values);
    to.varint(all.values.size());
    for (const std::int64_t v : all.values) to.text(pool.text(v));
    put_codes(to, all.codes, all.values.size());
}

bool get_names(Cursor& from, std::size_t count, Pool& pool, std::vector<std::int64_t>& values) {
    const std::uint64_t distinct = from.varint();
    if (distinct > count || distinct > from.left()) return false;
    std::vector<std::int64_t> meaning;
    for (std::uint64_t n = 0; n < distinct && from.well(); ++n)
        meaning.push_back(pool.code(std::string(from.text())));
    return from.well() && get_codes(from, count, meaning, values);
}

void put_marks(Bytes& to, const std::vector<std::int64_t>& values) {
    const Distinct all(values);
    const bool few = all.values.size() * 2 <= values.size();
    to.fixed<std::uint8_t>(few ? kDictionary : kPlain);
    if (!few) {
        for (const std::int64_t v : values) to.fixed(static_cast<std::uint64_t>(v));
        return;
    }
    to.varint(all.values.size());
    for (const std::int64_t v : all.values) to.fixed(static_cast<std::uint64_t>(v));
    put_codes(to, all.codes, all.values.size());
}

bool get_marks(Cursor& from, std::size_t count, std::vector<std::int64_t>& values) {
    const auto how = from.fixed<std::uint8_t>();
    const std::uint64_t distinct = how == kPlain ? count : from.varint();
    if (how != kPlain && how != kDictionary) return false;
    if (distinct > count || distinct * 8 > from.left()) return false;
    std::vector<std::int64_t> meaning;
    meaning.reserve(static_cast<std::size_t>(distinct));
    for (std::uint64_t n = 0; n < distinct; ++n)
        meaning.push_back(static_cast<std::int64_t>(from.fixed<std::uint64_t>()));
    if (how == kPlain) {
        values = std::move(meaning);
        return from.well();
    }
    return get_codes(from, count, meaning, values);
}

void put_column(Bytes& to, const Batch& batch, std::size_t column, Store store, const Pool& pool) {
    const auto& values = batch.values(column);
    switch (store) {
        case Store::number:
        case Store::delta:
            return put_numbers(to, values, store == Store::delta);
        case Store::name:
            return put_names(to, values, pool);
        case Store::mark:
            return put_marks(to, values);
        case Store::numbers:
        case Store::names: {
            std::uint32_t before = 0;
            for (const std::uint32_t end : batch.ends(column)) {
                to.varint(end - before);
                before = end;
            }
            if (store == Store::numbers) return put_numbers(to, values, false);
            return put_names(to, values, pool);
        }
    }
}

bool get_column(Cursor& from, Batch& batch, std::size_t column, Store store, std::size_t rows, Pool& pool) {
    auto& values = batch.values(column);
    switch (store) {
        case Store::number:
        case Store::delta:
            return get_numbers(from, rows, store == Store::delta, values);
        case Store::name:
            return get_names(from, rows, pool, values);
        case Store::mark:
            return get_marks(from, rows, values);
        case Store::numbers:
        case Store::names: {
            std::uint64_t all = 0;
            for (std::size_t n = 0; n < rows; ++n) {
                all += from.varint();
                if (!from.well() || all > kMostRaw / 8) return false;
                batch.ends(column).push_back(static_cast<std::uint32_t>(all));
            }
            const auto count = static_cast<std::size_t>(all);
            if (store == Store::numbers) return get_numbers(from, count, false, values);
            return get_names(from, count, pool, values);
        }
    }
    return false;
}

}  // namespace

// ---- header

Header Header::of(std::uint32_t version, std::string origin, std::string zone, std::int64_t began) {
    Header h;
    h.version = version;
    h.origin = std::move(origin);
    h.zone = std::move(zone);
    h.began = began;
    for (const Table t : kTables) {
        StoredTable table;
        table.number = static_cast<std::uint8_t>(t);
        table.known = true;
        const auto columns = columns_of(t);
        for (std::size_t c = 0; c < columns.size(); ++c)
            if (columns[c].since <= version)
                table.columns.push_back({columns[c].name, columns[c].store, static_cast<int>(c)});
        if (!table.columns.empty()) h.tables.push_back(std::move(table));
    }
    return h;
}

const StoredTable* Header::table(std::uint8_t number) const {
    for (const StoredTable& t : tables)
        if (t.number == number) return &t;
    return nullptr;
}

std::string encode(const Header& header) {
    std::string body;
    Bytes to(body);
    to.text(header.origin);
    to.text(header.zone);
    to.number(header.began);
    to.varint(header.tables.size());
    for (const StoredTable& t : header.tables) {
        to.fixed(t.number);
        to.varint(t.columns.size());
        for (const StoredColumn& c : t.columns) {
            to.fixed(static_cast<std::uint8_t>(c.store));
            to.text(c.name);
        }
    }
    std::string out(kMagic);
    Bytes head(out);
    head.fixed(header.version);
    head.fixed(static_cast<std::uint32_t>(body.size()));
    const std::uint64_t sum = sum_of(out, body);
    out += body;
    head.fixed(sum);
    return out;
}

std::optional<Header> decode_header(std::string_view bytes, std::size_t& length, std::string& why) {
    if (bytes.substr(0, kMagic.size()) != kMagic.substr(0, std::min(bytes.size(), kMagic.size()))) {
        why = "this is no trace: it does not begin as one";
        return {};
    }
    Cursor head(bytes.substr(std::min(bytes.size(), kMagic.size())));
    Header h;
    h.version = head.fixed<std::uint32_t>();
    const auto size = head.fixed<std::uint32_t>();
    if (!head.well()) {
        why = "the file ends within its header";
        return {};
    }
    // The version first: a newer header may be of any shape.
    if (h.version < kOldest || h.version > kNewest) {
        why = "its version is " + std::to_string(h.version) + "; this program reads " +
              std::to_string(kOldest) + " to " + std::to_string(kNewest);
        return {};
    }
    if (size > kMostHeader) {
        why = "its header is damaged";
        return {};
    }
    const std::string_view body = head.take(size);
    const auto sum = head.fixed<std::uint64_t>();
    if (!head.well()) {
        why = "the file ends within its header";
        return {};
    }
    if (sum != sum_of(bytes.substr(0, kMagic.size() + 8), body)) {
        why = "its header is damaged: the sum is wrong";
        return {};
    }
    Cursor from(body);
    h.origin = from.text();
    h.zone = from.text();
    h.began = from.number();
    const std::uint64_t tables = from.varint();
    for (std::uint64_t t = 0; t < tables && from.well(); ++t) {
        StoredTable table;
        table.number = from.fixed<std::uint8_t>();
        std::span<const Column> ours;
        for (const Table known : kTables)
            if (table.number == static_cast<std::uint8_t>(known)) {
                ours = columns_of(known);
                table.known = true;
            }
        const std::uint64_t columns = from.varint();
        for (std::uint64_t c = 0; c < columns && from.well(); ++c) {
            StoredColumn column;
            column.store = static_cast<Store>(from.fixed<std::uint8_t>());
            column.name = from.text();
            for (std::size_t o = 0; o < ours.size(); ++o)
                if (column.name == ours[o].name && column.store == ours[o].store)
                    column.ours = static_cast<int>(o);
            table.columns.push_back(std::move(column));
        }
        h.tables.push_back(std::move(table));
    }
    if (!from.well() || !from.done()) {
        why = "its header holds something else than a schema";
        return {};
    }
    length = kMagic.size() + 8 + size + 8;
    return h;
}

// ---- blocks

std::string encode(const Header& header, const Batch& batch, const Pool& pool, int level) {
    const auto number = static_cast<std::uint8_t>(batch.table());
    const StoredTable* table = header.table(number);
    if (!table || batch.rows() == 0) return {};
    std::string raw;
    Bytes to(raw);
    std::string one;
    for (const StoredColumn& c : table->columns) {
        one.clear();
        Bytes column(one);
        put_column(column, batch, static_cast<std::size_t>(c.ours), c.store, pool);
        to.text(one);
    }
    const std::string body = packed(raw, level);
    const auto [first, last] = std::minmax_element(batch.values(0).begin(), batch.values(0).end());
    std::string out(kBlockMark);
    out.reserve(kBlockHead + body.size());
    Bytes head(out);
    head.fixed(number);
    head.fixed<std::uint8_t>(1);
    head.fixed(static_cast<std::uint16_t>(table->columns.size()));
    head.fixed(static_cast<std::uint32_t>(batch.rows()));
    head.fixed(*first);
    head.fixed(*last);
    head.fixed(static_cast<std::uint32_t>(body.size()));
    head.fixed(static_cast<std::uint32_t>(raw.size()));
    head.fixed(sum_of(out, body));
    return out + body;
}

std::optional<BlockHead> decode_head(std::string_view bytes) {
    if (bytes.size() < kBlockHead || bytes.substr(0, kBlockMark.size()) != kBlockMark) return {};
    Cursor from(bytes.substr(kBlockMark.size(), kBlockHead - kBlockMark.size()));
    BlockHead h;
    h.table = from.fixed<std::uint8_t>();
    h.packed = from.fixed<std::uint8_t>();
    h.columns = from.fixed<std::uint16_t>();
    h.rows = from.fixed<std::uint32_t>();
    h.first = from.fixed<std::int64_t>();
    h.last = from.fixed<std::int64_t>();
    h.stored = from.fixed<std::uint32_t>();
    h.raw = from.fixed<std::uint32_t>();
    h.sum = from.fixed<std::uint64_t>();
    if (h.rows == 0 || h.rows > kMostRows || h.raw > kMostRaw || h.stored > kMostRaw) return {};
    return h;
}

bool sum_is_right(std::string_view block) {
    const auto head = decode_head(block);
    return head && block.size() == head->size() &&
           head->sum == sum_of(block.substr(0, kBlockHead - 8), block.substr(kBlockHead));
}

bool decode(const Header& header, std::string_view bytes, Pool& pool, Batch& batch, std::string& why) {
    batch.clear();
    const auto bad = [&](const char* what) {
        batch.clear();
        why = what;
        return false;
    };
    const auto head = decode_head(bytes);
    if (!head || bytes.size() != head->size()) return bad("not a block");
    if (!sum_is_right(bytes)) return bad("the block is damaged: its sum is wrong");
    const StoredTable* table = header.table(head->table);
    if (!table || table->columns.size() != head->columns)
        return bad("the block is of no table of the schema");
    if (head->table != static_cast<std::uint8_t>(batch.table())) return bad("the block is of another table");
    std::string raw;
    if (head->packed != 1 || !unpacked(bytes.substr(kBlockHead), head->raw, raw))
        return bad("the block cannot be unpacked");
    Cursor from(raw);
    for (const StoredColumn& c : table->columns) {
        Cursor column(from.text());
        if (!from.well()) return bad("the block ends within a column");
        if (c.ours < 0) continue;
        if (!get_column(column, batch, static_cast<std::size_t>(c.ours), c.store, head->rows, pool) ||
            !column.done())
            return bad("a column does not hold what its schema says");
    }
    if (!from.done()) return bad("the block holds more than its columns");
    const auto columns = columns_of(batch.table());
    for (std::size_t c = 0; c < columns.size(); ++c) {
        if (is_list(columns[c].store))
            batch.ends(c).resize(head->rows, 0);
        else if (batch.values(c).size() != head->rows)
            batch.values(c).resize(head->rows, 0);
    }
    return true;
}

// ---- index

std::uint32_t Indexer::place(const std::string& name) {
    const std::uint32_t at = places_.index(name);
    if (at == index_.names.size()) index_.names.push_back(name);
    return at;
}

void Indexer::add(std::uint64_t offset, std::uint32_t size, const Batch& batch, const Pool& pool) {
    if (batch.rows() == 0) return;
    BlockInfo info;
    info.offset = offset;
    info.size = size;
    info.rows = static_cast<std::uint32_t>(batch.rows());
    info.table = batch.table();
    const auto [first, last] = std::minmax_element(batch.values(0).begin(), batch.values(0).end());
    info.first = *first;
    info.last = *last;
    const auto columns = columns_of(batch.table());
    for (std::size_t c = 0; c < columns.size(); ++c) {
        const std::string_view name = columns[c].name;
        if (name == "query") {
            const auto& origins = batch.values(1);
            for (std::size_t n = 0; n < batch.rows(); ++n) {
                const std::int64_t q = batch.values(c)[n];
                if (q == 0) continue;
                const std::uint32_t origin = place(pool.text(origins[n]));
                auto it = std::find_if(info.queries.begin(), info.queries.end(),
                                       [&](const QueryRange& r) { return r.origin == origin; });
                if (it == info.queries.end()) {
                    info.queries.push_back({origin, q, q});
                } else {
                    it->first = std::min(it->first, q);
                    it->last = std::max(it->last, q);
                }
            }
        }
        // Servers that were only looked at are not what one looks for under a server.
        if (name != "server" && name != "reader" && name != "writer") continue;
        std::vector<std::int64_t> codes = batch.values(c);
        std::sort(codes.begin(), codes.end());
        codes.erase(std::unique(codes.begin(), codes.end()), codes.end());
        for (const std::int64_t code : codes)
            if (code != 0) info.servers.push_back(place(pool.text(code)));
    }
    std::sort(info.servers.begin(), info.servers.end());
    info.servers.erase(std::unique(info.servers.begin(), info.servers.end()), info.servers.end());
    index_.blocks.push_back(std::move(info));
}

std::string encode_footer(const Index& index, std::uint64_t offset, int level) {
    std::string raw;
    Bytes to(raw);
    to.varint(index.names.size());
    for (const std::string& n : index.names) to.text(n);
    to.varint(index.blocks.size());
    for (const BlockInfo& b : index.blocks) {
        to.varint(b.offset);
        to.varint(b.size);
        to.fixed(static_cast<std::uint8_t>(b.table));
        to.varint(b.rows);
        to.number(b.first);
        to.number(b.last);
        to.varint(b.queries.size());
        for (const QueryRange& r : b.queries) {
            to.varint(r.origin);
            to.number(r.first);
            to.number(r.last);
        }
        to.varint(b.servers.size());
        for (const std::uint32_t s : b.servers) to.varint(s);
    }
    const std::string body = packed(raw, level);
    std::string out(kFooterMark);
    Bytes head(out);
    head.fixed(static_cast<std::uint32_t>(body.size()));
    head.fixed(static_cast<std::uint32_t>(raw.size()));
    head.fixed(sum_of(out, body));
    out += body;
    head.fixed(offset);
    out += kTrailerMark;
    return out;
}

bool decode_footer(std::string_view bytes, Index& index, std::string& why) {
    index = {};
    const auto bad = [&](const char* what) {
        index = {};
        why = what;
        return false;
    };
    if (bytes.size() < kFooterHead || bytes.substr(0, kFooterMark.size()) != kFooterMark)
        return bad("not a footer");
    Cursor head(bytes.substr(kFooterMark.size(), kFooterHead - kFooterMark.size()));
    const auto stored = head.fixed<std::uint32_t>(), raw_size = head.fixed<std::uint32_t>();
    const auto sum = head.fixed<std::uint64_t>();
    if (bytes.size() < kFooterHead + stored) return bad("the file ends within its footer");
    const std::string_view body = bytes.substr(kFooterHead, stored);
    std::string raw;
    if (sum != sum_of(bytes.substr(0, kFooterHead - 8), body) || !unpacked(body, raw_size, raw))
        return bad("the footer is damaged");
    Cursor from(raw);
    const std::uint64_t names = from.varint();
    for (std::uint64_t n = 0; n < names && from.well(); ++n) index.names.emplace_back(from.text());
    const std::uint64_t blocks = from.varint();
    for (std::uint64_t n = 0; n < blocks && from.well(); ++n) {
        BlockInfo b;
        b.offset = from.varint();
        b.size = static_cast<std::uint32_t>(from.varint());
        const auto table = from.fixed<std::uint8_t>();
        if (table < 1 || table > kTables.size()) return bad("the footer names a table that is not known");
        b.table = static_cast<Table>(table);
        b.rows = static_cast<std::uint32_t>(from.varint());
        b.first = from.number();
        b.last = from.number();
        const std::uint64_t queries = from.varint();
        for (std::uint64_t q = 0; q < queries && from.well(); ++q) {
            QueryRange r;
            r.origin = static_cast<std::uint32_t>(from.varint());
            r.first = from.number();
            r.last = from.number();
            if (r.origin >= index.names.size()) return bad("the footer is damaged");
            b.queries.push_back(r);
        }
        const std::uint64_t servers = from.varint();
        for (std::uint64_t s = 0; s < servers && from.well(); ++s) {
            b.servers.push_back(static_cast<std::uint32_t>(from.varint()));
            if (b.servers.back() >= index.names.size()) return bad("the footer is damaged");
        }
        index.blocks.push_back(std::move(b));
    }
    return from.well() && from.done() ? true : bad("the footer is damaged");
}

std::optional<std::uint64_t> decode_trailer(std::string_view bytes) {
    if (bytes.size() != kTrailer || bytes.substr(8) != kTrailerMark) return {};
    return Cursor(bytes).fixed<std::uint64_t>();
}

}  // namespace copperfront::trace
