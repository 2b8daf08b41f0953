// Reads trace files. A closed file is read by the index in its footer; one that is truncated, damaged or
// still being written is scanned block by block, and the ranges that could not be read are reported.
// Bytes whose checksum is wrong are never interpreted.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "trace/format.h"
#include "trace/range_index.h"

namespace copperfront::trace {

// A random-access source of bytes.
class Source {
  public:
    virtual ~Source() = default;
    virtual std::uint64_t size() const = 0;
    // Returns fewer bytes at the end of the source. An I/O error counts as its end and is reported in
    // `io_error`.
    virtual std::string read(std::uint64_t offset, std::size_t count, std::string& io_error) const = 0;
};

class MemorySource : public Source {
  public:
    explicit MemorySource(std::string text) : text_(std::move(text)) {}
    std::uint64_t size() const override { return text_.size(); }
    std::string read(std::uint64_t offset, std::size_t count, std::string&) const override {
        return offset >= text_.size() ? std::string() : text_.substr(static_cast<std::size_t>(offset), count);
    }

  private:
    std::string text_;
};

// Opens a file; "-" spools all of standard input to an unnamed temporary file. Returns null on failure, with
// the reason in `why`.
std::unique_ptr<Source> open_source(const std::string& path, std::string& why);

// A range of bytes that holds no intact block.
struct DamagedRange {
    std::uint64_t offset = 0, bytes = 0;
    std::uint32_t rows = 0;  // upper bound, from a block header that may be damaged itself; 0: unknown
    std::string reason;
};

class TraceFile {
  public:
    // Returns null if the source is not a trace or is of an unknown version, with the reason in `why`.
    // Anything that follows an intact header counts as a trace, possibly without blocks.
    static std::unique_ptr<TraceFile> open(std::shared_ptr<const Source> source, std::string name,
                                           std::string& why);
    // Ignores the footer and scans for blocks; used by `verify` and for a damaged index.
    static std::unique_ptr<TraceFile> scan(std::shared_ptr<const Source> source, std::string name,
                                           std::string& why);

    const std::string& name() const { return name_; }
    const Header& header() const { return header_; }
    const Index& index() const { return index_; }
    bool closed() const { return closed_; }  // it has a footer
    const std::vector<DamagedRange>& damaged_ranges() const { return damaged_ranges_; }
    std::uint64_t size() const { return source_->size(); }
    std::uint64_t rows(Table table) const;
    // Offset at which intact blocks end; a file that is repaired is cut off here.
    std::uint64_t end_of_blocks() const { return end_of_blocks_; }

    // Returns false, with the reason in `why` and an empty batch, if the block was damaged after the file was
    // opened or the footer describes it wrongly.
    bool read(const BlockInfo& block, StringTable& pool, Batch& batch, std::string& why) const;
    // Returns the stored bytes of a block.
    std::string bytes(const BlockInfo& block, std::string& why) const;

    // Indices into index().blocks.
    std::vector<std::uint32_t> blocks_between(std::int64_t first, std::int64_t last) const;
    std::vector<std::uint32_t> blocks_of_request(const std::string& origin, std::int64_t request) const;
    std::vector<std::uint32_t> blocks_of_server(const std::string& server) const;

  private:
    static std::unique_ptr<TraceFile> read_header(std::shared_ptr<const Source> source, std::string name,
                                                  std::string& why);
    bool read_footer();
    void scan_blocks();
    void build_lookups();

    std::shared_ptr<const Source> source_;
    std::string name_;
    Header header_;
    std::size_t header_size_ = 0;
    Index index_;
    RangeIndex by_time_;
    std::vector<RangeIndex> by_request_;  // by index of the origin
    std::vector<std::vector<std::uint32_t>> by_server_;
    bool closed_ = false;
    std::vector<DamagedRange> damaged_ranges_;
    std::uint64_t end_of_blocks_ = 0;
};

}  // namespace copperfront::trace
