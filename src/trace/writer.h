// Writes one trace file block by block and closes it with its index.
#pragma once

#include <memory>

#include "trace/disk.h"
#include "trace/format.h"

namespace copperfront::trace {

class FileWriter {
  public:
    FileWriter(std::unique_ptr<OutputFile> out, Header header, int level = 3);
    // All of these return false on failure, with the reason in `why`. The file then holds what it held
    // before, provided that the disk allowed a partial write to be truncated; if it did not, `corrupt` is
    // true and further writes are refused.
    bool start(std::string& why);
    bool add(const Batch& batch, const StringTable& pool, std::string& why);
    // Appends an encoded block of another file with the same schema. `batch` holds its decoded rows.
    bool add_block(std::string_view bytes, const Batch& batch, const StringTable& pool, std::string& why);
    bool finish(std::string& why);
    bool sync(std::string& why) { return out_->sync(why); }
    std::uint64_t size() const { return size_; }
    std::uint64_t rows() const { return rows_; }
    bool corrupt() const { return corrupt_; }
    const Header& header() const { return header_; }

  private:
    bool append(std::string_view bytes, std::string& why);

    std::unique_ptr<OutputFile> out_;
    Header header_;
    int level_;
    Indexer indexer_;
    std::uint64_t size_ = 0, rows_ = 0;
    bool corrupt_ = false;
};

// Collects single rows into blocks of a file.
class RowSink {
  public:
    explicit RowSink(FileWriter& file, const StringTable& pool);
    bool put(const Row& row, std::string& why);
    bool flush(std::string& why);

  private:
    FileWriter& file_;
    const StringTable& pool_;
    std::vector<Batch> batches_;
};

// Rows per block: larger blocks compress better; smaller ones are faster to search and lose less when one is
// damaged.
constexpr std::size_t kBlockRows = 4096;

}  // namespace copperfront::trace
