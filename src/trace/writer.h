// Writes one trace file, block by block, and closes it with its index.
#pragma once

#include <memory>

#include "trace/disk.h"
#include "trace/format.h"

namespace copperfront::trace {

class FileWriter {
  public:
    FileWriter(std::unique_ptr<Out> out, Header header, int level = 3);
    // All false with `why` told. After that the file holds what it held before, as far as the disk let what
    // was half written be taken away; where it did not, `spoilt` is true and nothing more is taken.
    bool start(std::string& why);
    bool add(const Batch& batch, const Pool& pool, std::string& why);
    // A block as it stands in another file with the same schema; `info` with its place there.
    bool add_block(std::string_view bytes, const Batch& batch, const Pool& pool, std::string& why);
    bool finish(std::string& why);
    bool sync(std::string& why) { return out_->sync(why); }
    std::uint64_t size() const { return size_; }
    std::uint64_t rows() const { return rows_; }
    bool spoilt() const { return spoilt_; }
    const Header& header() const { return header_; }

  private:
    bool append(std::string_view bytes, std::string& why);

    std::unique_ptr<Out> out_;
    Header header_;
    int level_;
    Indexer indexer_;
    std::uint64_t size_ = 0, rows_ = 0;
    bool spoilt_ = false;
};

// Rows one by one into blocks of a file.
class RowSink {
  public:
    explicit RowSink(FileWriter& to, const Pool& pool);
    bool put(const Row& row, std::string& why);
    bool flush(std::string& why);

  private:
    FileWriter& to_;
    const Pool& pool_;
    std::vector<Batch> batches_;
};

// Rows of a block: more pack better, fewer are read quicker when one is looked for and lost less when it is
// torn.
constexpr std::size_t kBlockRows = 4096;

}  // namespace copperfront::trace
