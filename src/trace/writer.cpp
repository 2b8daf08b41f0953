#include "trace/writer.h"

namespace copperfront::trace {

FileWriter::FileWriter(std::unique_ptr<OutputFile> out, Header header, int level)
    : out_(std::move(out)), header_(std::move(header)), level_(level) {}

bool FileWriter::append(std::string_view bytes, std::string& why) {
    if (corrupt_) {
        why = "the file is corrupt: a partial write could not be truncated";
        return false;
    }
    if (out_->append(bytes, why)) {
        size_ += bytes.size();
        return true;
    }
    // A reader would skip a partial block, but the offsets in the index would be wrong for everything after
    // it.
    std::string ignored;
    corrupt_ = !out_->truncate(size_, ignored);
    return false;
}

bool FileWriter::start(std::string& why) { return append(encode(header_), why); }

bool FileWriter::add(const Batch& batch, const StringTable& pool, std::string& why) {
    const std::string block = encode(header_, batch, pool, level_);
    return block.empty() || add_block(block, batch, pool, why);
}

bool FileWriter::add_block(std::string_view bytes, const Batch& batch, const StringTable& pool,
                           std::string& why) {
    const std::uint64_t offset = size_;
    if (!append(bytes, why)) return false;
    indexer_.add(offset, static_cast<std::uint32_t>(bytes.size()), batch, pool);
    rows_ += batch.rows();
    return true;
}

bool FileWriter::finish(std::string& why) {
    return append(encode_footer(indexer_.index(), size_, level_), why);
}

RowSink::RowSink(FileWriter& file, const StringTable& pool) : file_(file), pool_(pool) {
    for (const Table t : kTables) batches_.emplace_back(t);
}

bool RowSink::put(const Row& row, std::string& why) {
    Batch& batch = batches_[static_cast<std::size_t>(row.table) - 1];
    batch.add(row);
    if (batch.rows() < kBlockRows) return true;
    const bool ok = file_.add(batch, pool_, why);
    batch.clear();
    return ok;
}

bool RowSink::flush(std::string& why) {
    bool ok = true;
    for (Batch& batch : batches_) {
        ok = ok && file_.add(batch, pool_, why);
        batch.clear();
    }
    return ok;
}

}  // namespace copperfront::trace
