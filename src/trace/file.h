// A trace file as a reader has it. One that was closed is read by its footer; one that was cut off, is
// damaged or is still being written is read block by block, and what could not be read is told. Nothing is
// ever read from bytes whose sum is wrong.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "trace/format.h"
#include "trace/range_index.h"

namespace copperfront::trace {

// Where bytes come from.
class Source {
  public:
    virtual ~Source() = default;
    virtual std::uint64_t size() const = 0;
    // Fewer where the source ends; an error of the device counts as its end, and `trouble` tells it.
    virtual std::string read(std::uint64_t offset, std::size_t count, std::string& trouble) const = 0;
};

class TextSource : public Source {
  public:
    explicit TextSource(std::string text) : text_(std::move(text)) {}
    std::uint64_t size() const override { return text_.size(); }
    std::string read(std::uint64_t offset, std::size_t count, std::string&) const override {
        return offset >= text_.size() ? std::string() : text_.substr(static_cast<std::size_t>(offset), count);
    }

  private:
    std::string text_;
};

// A file; "-": all of standard input, kept in a file without a name meanwhile. Null: `why`.
std::unique_ptr<Source> open_source(const std::string& path, std::string& why);

// A stretch of bytes that holds no whole block.
struct Torn {
    std::uint64_t offset = 0, bytes = 0;
    std::uint32_t rows = 0;  // that it held at most, by a head that may be damaged itself; 0: not known
    std::string what;
};

class TraceFile {
  public:
    // Null: it is no trace at all, or of a version that is not known; `why` tells which. Anything that
    // follows a whole header is a trace, if of no blocks.
    static std::unique_ptr<TraceFile> open(std::shared_ptr<const Source> source, std::string name,
                                           std::string& why);
    // Without a look at its footer: what `verify` and a damaged index need.
    static std::unique_ptr<TraceFile> scan(std::shared_ptr<const Source> source, std::string name,
                                           std::string& why);

    const std::string& name() const { return name_; }
    const Header& header() const { return header_; }
    const Index& index() const { return index_; }
    bool closed() const { return closed_; }  // it has a footer
    const std::vector<Torn>& torn() const { return torn_; }
    std::uint64_t size() const { return source_->size(); }
    std::uint64_t rows(Table table) const;
    // Where whole blocks end: a file that is mended is cut here.
    std::uint64_t end_of_blocks() const { return end_of_blocks_; }

    // False: the block has been damaged since the file was opened, or its footer lies; `why` tells. The batch
    // is empty then.
    bool read(const BlockInfo& block, Pool& pool, Batch& batch, std::string& why) const;
    // The bytes of a block, as they stand.
    std::string bytes(const BlockInfo& block, std::string& why) const;

    // Places in index().blocks.
    std::vector<std::uint32_t> blocks_between(std::int64_t first, std::int64_t last) const;
    std::vector<std::uint32_t> blocks_of_query(const std::string& origin, std::int64_t query) const;
    std::vector<std::uint32_t> blocks_of_server(const std::string& server) const;

  private:
    static std::unique_ptr<TraceFile> begin(std::shared_ptr<const Source> source, std::string name,
                                            std::string& why);
    bool read_footer();
    void find_blocks();
    void build();

    std::shared_ptr<const Source> source_;
    std::string name_;
    Header header_;
    std::size_t header_size_ = 0;
    Index index_;
    RangeIndex by_time_;
    std::vector<RangeIndex> by_query_;  // by place of the origin
    std::vector<std::vector<std::uint32_t>> by_server_;
    bool closed_ = false;
    std::vector<Torn> torn_;
    std::uint64_t end_of_blocks_ = 0;
};

}  // namespace copperfront::trace
