// The bytes of a trace file, exactly as docs/trace-format.md tells them: a header with the schema, blocks of
// one table each, a footer with the index. Takes any bytes and never throws; a block is decoded only if its
// checksum is right, so that nothing false is ever read. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trace/rows.h"

namespace copperfront::trace {

constexpr std::string_view kMagic{
    "\x89"
    "CFT\r\n\x1a\n",
    8};
constexpr std::string_view kBlockMark{
    "\xc7"
    "CFTBLK\n",
    8};
constexpr std::string_view kFooterMark{
    "\xc7"
    "CFTEND\n",
    8};
constexpr std::string_view kTrailerMark{
    "\xc7"
    "CFTFIN\n",
    8};
constexpr std::size_t kBlockHead = 48, kFooterHead = 24, kTrailer = 16;
// Bounds on what a file may make a reader hold; no writer here comes near them.
constexpr std::uint32_t kMostRaw = 64U << 20, kMostRows = 1U << 20;
constexpr std::size_t kMostHeader = 1U << 20;

struct StoredColumn {
    std::string name;
    Store store = Store::number;
    int ours = -1;  // which of this program's columns it is; -1: not known here, and passed over
};
struct StoredTable {
    std::uint8_t number = 0;
    std::vector<StoredColumn> columns;
    bool known = false;
};
struct Header {
    std::uint32_t version = kNewest;
    std::string origin, zone;  // of the gateway that writes it; empty: of several
    std::int64_t began = 0;    // us since 1970
    std::vector<StoredTable> tables;

    // With the schema of that version.
    static Header of(std::uint32_t version, std::string origin, std::string zone, std::int64_t began);
    const StoredTable* table(std::uint8_t number) const;
};

std::string encode(const Header& header);
// The header at the start of a file, and how long it is. Null: `why` tells what is wrong; `more` is set where
// the bytes end too early.
std::optional<Header> decode_header(std::string_view bytes, std::size_t& length, std::string& why);

struct BlockHead {
    std::uint8_t table = 0, packed = 0;
    std::uint16_t columns = 0;
    std::uint32_t rows = 0, stored = 0, raw = 0;
    std::int64_t first = 0, last = 0;  // the least and the greatest time
    std::uint64_t sum = 0;
    std::size_t size() const { return kBlockHead + stored; }
};

// Of no rows: an empty text.
std::string encode(const Header& header, const Batch& batch, const Pool& pool, int level = 3);
// Null: these bytes do not begin a block, whatever its sum says.
std::optional<BlockHead> decode_head(std::string_view bytes);
// `bytes` are the whole block. False: `why` tells what is wrong, and the batch holds nothing of it. Columns
// that the file does not have are 0; those that this program does not know are passed over.
bool decode(const Header& header, std::string_view bytes, Pool& pool, Batch& batch, std::string& why);
bool sum_is_right(std::string_view block);

// What the index tells of a block: enough to pass it over.
struct QueryRange {
    std::uint32_t origin = 0;  // place in Index::names
    std::int64_t first = 0, last = 0;
};
struct BlockInfo {
    std::uint64_t offset = 0;
    std::uint32_t size = 0, rows = 0;
    Table table = Table::queries;
    std::int64_t first = 0, last = 0;
    std::vector<QueryRange> queries;
    std::vector<std::uint32_t> servers;  // places in Index::names, in order
};
struct Index {
    std::vector<std::string> names;
    std::vector<BlockInfo> blocks;
};

// Builds an index block by block, while they are written or found anew.
class Indexer {
  public:
    void add(std::uint64_t offset, std::uint32_t size, const Batch& batch, const Pool& pool);
    const Index& index() const { return index_; }

  private:
    std::uint32_t place(const std::string& name);
    Index index_;
    Names places_;
};

// Footer and trailer, for a footer that begins at `offset`.
std::string encode_footer(const Index& index, std::uint64_t offset, int level = 3);
bool decode_footer(std::string_view bytes, Index& index, std::string& why);
// Where the footer begins; null: these last kTrailer bytes are no trailer.
std::optional<std::uint64_t> decode_trailer(std::string_view bytes);

}  // namespace copperfront::trace
