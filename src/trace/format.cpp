#include "trace/format.h"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <unordered_map>

#include "trace/bytes.h"

namespace copperfront::trace {
namespace {

// Checksum of a header and of the bytes that follow it.
std::uint64_t checksum_of(std::string_view a, std::string_view b) {
    return XXH3_64bits_withSeed(b.data(), b.size(), XXH3_64bits(a.data(), a.size()));
}

std::string compress(const std::string& raw, int level) {
    std::string out(ZSTD_compressBound(raw.size()), '\0');
    const std::size_t n = ZSTD_compress(out.data(), out.size(), raw.data(), raw.size(), level);
    out.resize(ZSTD_isError(n) ? 0 : n);
    return out;
}

bool decompress(std::string_view stored, std::uint32_t raw, std::string& out) {
    if (raw > kMaxUncompressedBytes) return false;
    out.resize(raw);
    return ZSTD_decompress(out.data(), out.size(), stored.data(), stored.size()) == raw;
}

// ---- one column

enum : std::uint8_t { kConstant = 0, kPlain = 1, kDictionary = 2 };

void put_numbers(ByteWriter& to, const std::vector<std::int64_t>& values, bool delta) {
    const bool constant = !values.empty() && std::all_of(values.begin(), values.end(),
                                                         [&](std::int64_t v) { return v == values.front(); });
    to.fixed<std::uint8_t>(constant ? kConstant : kPlain);
    if (constant) return to.number(values.front());
    std::uint64_t previous = 0;
    for (const std::int64_t v : values) {
        // Differences wrap around, so that a clock that jumps by any amount is stored without loss.
        to.number(static_cast<std::int64_t>(static_cast<std::uint64_t>(v) - previous));
        if (delta) previous = static_cast<std::uint64_t>(v);
    }
}

bool get_numbers(ByteReader& from, std::size_t count, bool delta, std::vector<std::int64_t>& values) {
    const auto layout = from.fixed<std::uint8_t>();
    if (layout == kConstant) {
        values.assign(count, from.number());
        return from.ok();
    }
    if (layout != kPlain || from.remaining() < count) return false;
    values.reserve(count);
    std::uint64_t previous = 0;
    for (std::size_t n = 0; n < count; ++n) {
        const std::uint64_t v = previous + static_cast<std::uint64_t>(from.number());
        values.push_back(static_cast<std::int64_t>(v));
        if (delta) previous = v;
    }
    return from.ok();
}

void put_codes(ByteWriter& to, const std::vector<std::uint64_t>& codes, std::size_t distinct) {
    if (distinct <= 1) return;
    for (const std::uint64_t c : codes) to.varint(c);
}

bool get_codes(ByteReader& from, std::size_t count, const std::vector<std::int64_t>& dictionary,
               std::vector<std::int64_t>& values) {
    if (count > 0 && dictionary.empty()) return false;
    if (dictionary.size() <= 1) {
        if (count > 0) values.assign(count, dictionary.front());
        return true;
    }
    if (from.remaining() < count) return false;
    values.reserve(count);
    for (std::size_t n = 0; n < count; ++n) {
        const std::uint64_t code = from.varint();
        if (code >= dictionary.size()) return false;
        values.push_back(dictionary[static_cast<std::size_t>(code)]);
    }
    return from.ok();
}

// Distinct values in order of first appearance. Names and sessions repeat within a block, and each
// block carries its own dictionary, so that it can be read even if the rest of the file is lost.
struct DistinctValues {
    std::vector<std::int64_t> values;
    std::vector<std::uint64_t> codes;
    explicit DistinctValues(const std::vector<std::int64_t>& all) {
        std::unordered_map<std::int64_t, std::uint64_t> seen;
        codes.reserve(all.size());
        for (const std::int64_t v : all) {
            const auto [it, fresh] = seen.try_emplace(v, values.size());
            if (fresh) values.push_back(v);
            codes.push_back(it->second);
        }
    }
};

void put_names(ByteWriter& to, const std::vector<std::int64_t>& values, const StringTable& pool) {
    const DistinctValues all(values);
    to.varint(all.values.size());
    for (const std::int64_t v : all.values) to.text(pool.text(v));
    put_codes(to, all.codes, all.values.size());
}

bool get_names(ByteReader& from, std::size_t count, StringTable& pool, std::vector<std::int64_t>& values) {
    const std::uint64_t distinct = from.varint();
    if (distinct > count || distinct > from.remaining()) return false;
    std::vector<std::int64_t> dictionary;
    for (std::uint64_t n = 0; n < distinct && from.ok(); ++n)
        dictionary.push_back(pool.code(std::string(from.text())));
    return from.ok() && get_codes(from, count, dictionary, values);
}

void put_hashes(ByteWriter& to, const std::vector<std::int64_t>& values) {
    const DistinctValues all(values);
    const bool use_dictionary = all.values.size() * 2 <= values.size();
    to.fixed<std::uint8_t>(use_dictionary ? kDictionary : kPlain);
    if (!use_dictionary) {
        for (const std::int64_t v : values) to.fixed(static_cast<std::uint64_t>(v));
        return;
    }
    to.varint(all.values.size());
    for (const std::int64_t v : all.values) to.fixed(static_cast<std::uint64_t>(v));
    put_codes(to, all.codes, all.values.size());
}

bool get_hashes(ByteReader& from, std::size_t count, std::vector<std::int64_t>& values) {
    const auto layout = from.fixed<std::uint8_t>();
    const std::uint64_t distinct = layout == kPlain ? count : from.varint();
    if (layout != kPlain && layout != kDictionary) return false;
    if (distinct > count || distinct * 8 > from.remaining()) return false;
    std::vector<std::int64_t> dictionary;
    dictionary.reserve(static_cast<std::size_t>(distinct));
    for (std::uint64_t n = 0; n < distinct; ++n)
        dictionary.push_back(static_cast<std::int64_t>(from.fixed<std::uint64_t>()));
    if (layout == kPlain) {
        values = std::move(dictionary);
        return from.ok();
    }
    return get_codes(from, count, dictionary, values);
}

void put_column(ByteWriter& to, const Batch& batch, std::size_t column, Encoding encoding,
                const StringTable& pool) {
    const auto& values = batch.values(column);
    switch (encoding) {
        case Encoding::number:
        case Encoding::delta:
            return put_numbers(to, values, encoding == Encoding::delta);
        case Encoding::name:
            return put_names(to, values, pool);
        case Encoding::hash:
            return put_hashes(to, values);
        case Encoding::numbers:
        case Encoding::names: {
            std::uint32_t previous = 0;
            for (const std::uint32_t end : batch.list_ends(column)) {
                to.varint(end - previous);
                previous = end;
            }
            if (encoding == Encoding::numbers) return put_numbers(to, values, false);
            return put_names(to, values, pool);
        }
    }
}

bool get_column(ByteReader& from, Batch& batch, std::size_t column, Encoding encoding, std::size_t rows,
                StringTable& pool) {
    auto& values = batch.values(column);
    switch (encoding) {
        case Encoding::number:
        case Encoding::delta:
            return get_numbers(from, rows, encoding == Encoding::delta, values);
        case Encoding::name:
            return get_names(from, rows, pool, values);
        case Encoding::hash:
            return get_hashes(from, rows, values);
        case Encoding::numbers:
        case Encoding::names: {
            std::uint64_t all = 0;
            for (std::size_t n = 0; n < rows; ++n) {
                all += from.varint();
                if (!from.ok() || all > kMaxUncompressedBytes / 8) return false;
                batch.list_ends(column).push_back(static_cast<std::uint32_t>(all));
            }
            const auto count = static_cast<std::size_t>(all);
            if (encoding == Encoding::numbers) return get_numbers(from, count, false, values);
            return get_names(from, count, pool, values);
        }
    }
    return false;
}

}  // namespace

// ---- header

Header Header::of(std::uint32_t version, std::string origin, std::string zone, std::int64_t created_at) {
    Header h;
    h.version = version;
    h.origin = std::move(origin);
    h.zone = std::move(zone);
    h.created_at = created_at;
    for (const Table t : kTables) {
        StoredTable table;
        table.number = static_cast<std::uint8_t>(t);
        table.known = true;
        const auto columns = columns_of(t);
        for (std::size_t c = 0; c < columns.size(); ++c)
            if (columns[c].since_version <= version)
                table.columns.push_back({columns[c].name, columns[c].encoding, static_cast<int>(c)});
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
    ByteWriter to(body);
    to.text(header.origin);
    to.text(header.zone);
    to.number(header.created_at);
    to.varint(header.tables.size());
    for (const StoredTable& t : header.tables) {
        to.fixed(t.number);
        to.varint(t.columns.size());
        for (const StoredColumn& c : t.columns) {
            to.fixed(static_cast<std::uint8_t>(c.encoding));
            to.text(c.name);
        }
    }
    std::string out(kMagic);
    ByteWriter head(out);
    head.fixed(header.version);
    head.fixed(static_cast<std::uint32_t>(body.size()));
    const std::uint64_t checksum = checksum_of(out, body);
    out += body;
    head.fixed(checksum);
    return out;
}

std::optional<Header> decode_header(std::string_view bytes, std::size_t& length, std::string& why) {
    if (bytes.substr(0, kMagic.size()) != kMagic.substr(0, std::min(bytes.size(), kMagic.size()))) {
        why = "not a trace file: wrong magic number";
        return {};
    }
    ByteReader head(bytes.substr(std::min(bytes.size(), kMagic.size())));
    Header h;
    h.version = head.fixed<std::uint32_t>();
    const auto size = head.fixed<std::uint32_t>();
    if (!head.ok()) {
        why = "the file ends within its header";
        return {};
    }
    // The version is checked first: a newer header may have any layout.
    if (h.version < kOldestVersion || h.version > kNewestVersion) {
        why = "its version is " + std::to_string(h.version) + "; this program reads " +
              std::to_string(kOldestVersion) + " to " + std::to_string(kNewestVersion);
        return {};
    }
    if (size > kMaxHeaderBytes) {
        why = "its header is damaged";
        return {};
    }
    const std::string_view body = head.take(size);
    const auto checksum = head.fixed<std::uint64_t>();
    if (!head.ok()) {
        why = "the file ends within its header";
        return {};
    }
    if (checksum != checksum_of(bytes.substr(0, kMagic.size() + 8), body)) {
        why = "its header is damaged: wrong checksum";
        return {};
    }
    ByteReader from(body);
    h.origin = from.text();
    h.zone = from.text();
    h.created_at = from.number();
    const std::uint64_t tables = from.varint();
    for (std::uint64_t t = 0; t < tables && from.ok(); ++t) {
        StoredTable table;
        table.number = from.fixed<std::uint8_t>();
        std::span<const Column> known_columns;
        for (const Table known : kTables)
            if (table.number == static_cast<std::uint8_t>(known)) {
                known_columns = columns_of(known);
                table.known = true;
            }
        const std::uint64_t columns = from.varint();
        for (std::uint64_t c = 0; c < columns && from.ok(); ++c) {
            StoredColumn column;
            column.encoding = static_cast<Encoding>(from.fixed<std::uint8_t>());
            column.name = from.text();
            for (std::size_t o = 0; o < known_columns.size(); ++o)
                if (column.name == known_columns[o].name && column.encoding == known_columns[o].encoding)
                    column.known_column = static_cast<int>(o);
            table.columns.push_back(std::move(column));
        }
        h.tables.push_back(std::move(table));
    }
    if (!from.ok() || !from.done()) {
        why = "its header does not hold a valid schema";
        return {};
    }
    length = kMagic.size() + 8 + size + 8;
    return h;
}

// ---- blocks

std::string encode(const Header& header, const Batch& batch, const StringTable& pool, int level) {
    const auto number = static_cast<std::uint8_t>(batch.table());
    const StoredTable* table = header.table(number);
    if (!table || batch.rows() == 0) return {};
    std::string raw;
    ByteWriter to(raw);
    std::string one;
    for (const StoredColumn& c : table->columns) {
        one.clear();
        ByteWriter column(one);
        put_column(column, batch, static_cast<std::size_t>(c.known_column), c.encoding, pool);
        to.text(one);
    }
    const std::string body = compress(raw, level);
    const auto [first, last] = std::minmax_element(batch.values(0).begin(), batch.values(0).end());
    std::string out(kBlockMagic);
    out.reserve(kBlockHeaderSize + body.size());
    ByteWriter head(out);
    head.fixed(number);
    head.fixed<std::uint8_t>(1);
    head.fixed(static_cast<std::uint16_t>(table->columns.size()));
    head.fixed(static_cast<std::uint32_t>(batch.rows()));
    head.fixed(*first);
    head.fixed(*last);
    head.fixed(static_cast<std::uint32_t>(body.size()));
    head.fixed(static_cast<std::uint32_t>(raw.size()));
    head.fixed(checksum_of(out, body));
    return out + body;
}

std::optional<BlockHeader> decode_block_header(std::string_view bytes) {
    if (bytes.size() < kBlockHeaderSize || bytes.substr(0, kBlockMagic.size()) != kBlockMagic) return {};
    ByteReader from(bytes.substr(kBlockMagic.size(), kBlockHeaderSize - kBlockMagic.size()));
    BlockHeader h;
    h.table = from.fixed<std::uint8_t>();
    h.compression = from.fixed<std::uint8_t>();
    h.columns = from.fixed<std::uint16_t>();
    h.rows = from.fixed<std::uint32_t>();
    h.first = from.fixed<std::int64_t>();
    h.last = from.fixed<std::int64_t>();
    h.stored = from.fixed<std::uint32_t>();
    h.raw = from.fixed<std::uint32_t>();
    h.checksum = from.fixed<std::uint64_t>();
    if (h.rows == 0 || h.rows > kMaxBlockRows || h.raw > kMaxUncompressedBytes ||
        h.stored > kMaxUncompressedBytes)
        return {};
    return h;
}

bool checksum_matches(std::string_view block) {
    const auto head = decode_block_header(block);
    return head && block.size() == head->size() &&
           head->checksum ==
               checksum_of(block.substr(0, kBlockHeaderSize - 8), block.substr(kBlockHeaderSize));
}

bool decode(const Header& header, std::string_view bytes, StringTable& pool, Batch& batch, std::string& why) {
    batch.clear();
    const auto fail = [&](const char* what) {
        batch.clear();
        why = what;
        return false;
    };
    const auto head = decode_block_header(bytes);
    if (!head || bytes.size() != head->size()) return fail("not a block");
    if (!checksum_matches(bytes)) return fail("the block is damaged: wrong checksum");
    const StoredTable* table = header.table(head->table);
    if (!table || table->columns.size() != head->columns)
        return fail("the block matches no table of the schema");
    if (head->table != static_cast<std::uint8_t>(batch.table()))
        return fail("the block belongs to another table");
    std::string raw;
    if (head->compression != 1 || !decompress(bytes.substr(kBlockHeaderSize), head->raw, raw))
        return fail("the block cannot be decompressed");
    ByteReader from(raw);
    for (const StoredColumn& c : table->columns) {
        ByteReader column(from.text());
        if (!from.ok()) return fail("the block ends within a column");
        if (c.known_column < 0) continue;
        if (!get_column(column, batch, static_cast<std::size_t>(c.known_column), c.encoding, head->rows,
                        pool) ||
            !column.done())
            return fail("a column does not match the schema");
    }
    if (!from.done()) return fail("the block has bytes after its last column");
    const auto columns = columns_of(batch.table());
    for (std::size_t c = 0; c < columns.size(); ++c) {
        if (is_list(columns[c].encoding))
            batch.list_ends(c).resize(head->rows, 0);
        else if (batch.values(c).size() != head->rows)
            batch.values(c).resize(head->rows, 0);
    }
    return true;
}

// ---- index

std::uint32_t Indexer::name_index(const std::string& name) {
    const std::uint32_t at = name_indices_.intern(name);
    if (at == index_.names.size()) index_.names.push_back(name);
    return at;
}

void Indexer::add(std::uint64_t offset, std::uint32_t size, const Batch& batch, const StringTable& pool) {
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
                const std::uint32_t origin = name_index(pool.text(origins[n]));
                auto it = std::find_if(info.requests.begin(), info.requests.end(),
                                       [&](const RequestRange& r) { return r.origin == origin; });
                if (it == info.requests.end()) {
                    info.requests.push_back({origin, q, q});
                } else {
                    it->first = std::min(it->first, q);
                    it->last = std::max(it->last, q);
                }
            }
        }
        // Servers that were only compared are not indexed: a search by server is for requests that were sent
        // there.
        if (name != "server" && name != "reader" && name != "writer") continue;
        std::vector<std::int64_t> codes = batch.values(c);
        std::sort(codes.begin(), codes.end());
        codes.erase(std::unique(codes.begin(), codes.end()), codes.end());
        for (const std::int64_t code : codes)
            if (code != 0) info.servers.push_back(name_index(pool.text(code)));
    }
    std::sort(info.servers.begin(), info.servers.end());
    info.servers.erase(std::unique(info.servers.begin(), info.servers.end()), info.servers.end());
    index_.blocks.push_back(std::move(info));
}

std::string encode_footer(const Index& index, std::uint64_t offset, int level) {
    std::string raw;
    ByteWriter to(raw);
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
        to.varint(b.requests.size());
        for (const RequestRange& r : b.requests) {
            to.varint(r.origin);
            to.number(r.first);
            to.number(r.last);
        }
        to.varint(b.servers.size());
        for (const std::uint32_t s : b.servers) to.varint(s);
    }
    const std::string body = compress(raw, level);
    std::string out(kFooterMagic);
    ByteWriter head(out);
    head.fixed(static_cast<std::uint32_t>(body.size()));
    head.fixed(static_cast<std::uint32_t>(raw.size()));
    head.fixed(checksum_of(out, body));
    out += body;
    head.fixed(offset);
    out += kTrailerMagic;
    return out;
}

bool decode_footer(std::string_view bytes, Index& index, std::string& why) {
    index = {};
    const auto fail = [&](const char* what) {
        index = {};
        why = what;
        return false;
    };
    if (bytes.size() < kFooterHeaderSize || bytes.substr(0, kFooterMagic.size()) != kFooterMagic)
        return fail("not a footer");
    ByteReader head(bytes.substr(kFooterMagic.size(), kFooterHeaderSize - kFooterMagic.size()));
    const auto stored = head.fixed<std::uint32_t>(), raw_size = head.fixed<std::uint32_t>();
    const auto checksum = head.fixed<std::uint64_t>();
    if (bytes.size() < kFooterHeaderSize + stored) return fail("the file ends within its footer");
    const std::string_view body = bytes.substr(kFooterHeaderSize, stored);
    std::string raw;
    if (checksum != checksum_of(bytes.substr(0, kFooterHeaderSize - 8), body) ||
        !decompress(body, raw_size, raw))
        return fail("the footer is damaged");
    ByteReader from(raw);
    const std::uint64_t names = from.varint();
    for (std::uint64_t n = 0; n < names && from.ok(); ++n) index.names.emplace_back(from.text());
    const std::uint64_t blocks = from.varint();
    for (std::uint64_t n = 0; n < blocks && from.ok(); ++n) {
        BlockInfo b;
        b.offset = from.varint();
        b.size = static_cast<std::uint32_t>(from.varint());
        const auto table = from.fixed<std::uint8_t>();
        if (table < 1 || table > kTables.size()) return fail("the footer names an unknown table");
        b.table = static_cast<Table>(table);
        b.rows = static_cast<std::uint32_t>(from.varint());
        b.first = from.number();
        b.last = from.number();
        const std::uint64_t requests = from.varint();
        for (std::uint64_t q = 0; q < requests && from.ok(); ++q) {
            RequestRange r;
            r.origin = static_cast<std::uint32_t>(from.varint());
            r.first = from.number();
            r.last = from.number();
            if (r.origin >= index.names.size()) return fail("the footer is damaged");
            b.requests.push_back(r);
        }
        const std::uint64_t servers = from.varint();
        for (std::uint64_t s = 0; s < servers && from.ok(); ++s) {
            b.servers.push_back(static_cast<std::uint32_t>(from.varint()));
            if (b.servers.back() >= index.names.size()) return fail("the footer is damaged");
        }
        index.blocks.push_back(std::move(b));
    }
    return from.ok() && from.done() ? true : fail("the footer is damaged");
}

std::optional<std::uint64_t> decode_trailer(std::string_view bytes) {
    if (bytes.size() != kTrailerSize || bytes.substr(8) != kTrailerMagic) return {};
    return ByteReader(bytes).fixed<std::uint64_t>();
}

}  // namespace copperfront::trace
