// Encodes and decodes the trace file format as specified in docs/trace-format.md: a header with the schema,
// blocks of one table each, and a footer with the index. Accepts any bytes and never throws; a block is
// decoded only if its checksum is right, so that no false data is ever read. Free of I/O and clocks.
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
constexpr std::string_view kBlockMagic{
    "\xc7"
    "CFTBLK\n",
    8};
constexpr std::string_view kFooterMagic{
    "\xc7"
    "CFTEND\n",
    8};
constexpr std::string_view kTrailerMagic{
    "\xc7"
    "CFTFIN\n",
    8};
constexpr std::size_t kBlockHeaderSize = 48, kFooterHeaderSize = 24, kTrailerSize = 16;
// Bounds on the memory that a file may make a reader allocate; files written by this program stay far below
// them.
constexpr std::uint32_t kMaxUncompressedBytes = 64U << 20, kMaxBlockRows = 1U << 20;
constexpr std::size_t kMaxHeaderBytes = 1U << 20;

struct StoredColumn {
    std::string name;
    Encoding encoding = Encoding::number;
    int known_column = -1;  // index of the column in this program's table; -1: unknown here and skipped
};
struct StoredTable {
    std::uint8_t number = 0;
    std::vector<StoredColumn> columns;
    bool known = false;
};
struct Header {
    std::uint32_t version = kNewestVersion;
    std::string origin, zone;     // of the gateway that writes the file; empty: of several
    std::int64_t created_at = 0;  // us since 1970
    std::vector<StoredTable> tables;

    // Returns a header with the schema of that version.
    static Header of(std::uint32_t version, std::string origin, std::string zone, std::int64_t created_at);
    const StoredTable* table(std::uint8_t number) const;
};

std::string encode(const Header& header);
// Decodes the header at the start of a file and sets `length` to its size. Returns nothing on failure, with
// the reason in `why`.
std::optional<Header> decode_header(std::string_view bytes, std::size_t& length, std::string& why);

struct BlockHeader {
    std::uint8_t table = 0, compression = 0;
    std::uint16_t columns = 0;
    std::uint32_t rows = 0, stored = 0, raw = 0;
    std::int64_t first = 0, last = 0;  // minimum and maximum time of the rows
    std::uint64_t checksum = 0;
    std::size_t size() const { return kBlockHeaderSize + stored; }
};

// Returns an empty string for a batch without rows.
std::string encode(const Header& header, const Batch& batch, const StringTable& pool, int level = 3);
// Returns nothing if these bytes do not begin with a block header; the checksum is not verified.
std::optional<BlockHeader> decode_block_header(std::string_view bytes);
// `bytes` is one complete block. On failure returns false with the reason in `why` and an empty batch.
// Columns that the file lacks are set to 0; columns unknown to this program are skipped.
bool decode(const Header& header, std::string_view bytes, StringTable& pool, Batch& batch, std::string& why);
bool checksum_matches(std::string_view block);

// Index entry of a block: enough to decide whether it can be skipped.
struct RequestRange {
    std::uint32_t origin = 0;  // index into Index::names
    std::int64_t first = 0, last = 0;
};
struct BlockInfo {
    std::uint64_t offset = 0;
    std::uint32_t size = 0, rows = 0;
    Table table = Table::requests;
    std::int64_t first = 0, last = 0;
    std::vector<RequestRange> requests;
    std::vector<std::uint32_t> servers;  // sorted indices into Index::names
};
struct Index {
    std::vector<std::string> names;
    std::vector<BlockInfo> blocks;
};

// Builds an index block by block, while blocks are written or found by a scan.
class Indexer {
  public:
    void add(std::uint64_t offset, std::uint32_t size, const Batch& batch, const StringTable& pool);
    const Index& index() const { return index_; }

  private:
    std::uint32_t name_index(const std::string& name);
    Index index_;
    NameTable name_indices_;
};

// Encodes the footer and the trailer, for a footer that begins at `offset`.
std::string encode_footer(const Index& index, std::uint64_t offset, int level = 3);
bool decode_footer(std::string_view bytes, Index& index, std::string& why);
// Returns the offset of the footer; nothing if these last kTrailerSize bytes are no trailer.
std::optional<std::uint64_t> decode_trailer(std::string_view bytes);

}  // namespace copperfront::trace
