#include "trace/file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>

namespace copperfront::trace {
namespace {

constexpr std::size_t kScanChunkBytes = 4U << 20;  // bytes searched at a time for the next block

class FileSource : public Source {
  public:
    explicit FileSource(int fd) : fd_(fd) {}
    ~FileSource() override { ::close(fd_); }
    FileSource(const FileSource&) = delete;
    FileSource& operator=(const FileSource&) = delete;
    std::uint64_t size() const override {
        struct stat s {};
        return ::fstat(fd_, &s) == 0 ? static_cast<std::uint64_t>(s.st_size) : 0;
    }
    std::string read(std::uint64_t offset, std::size_t count, std::string& io_error) const override {
        std::string out(count, '\0');
        std::size_t got = 0;
        while (got < count) {
            const ssize_t n = ::pread(fd_, out.data() + got, count - got, static_cast<off_t>(offset + got));
            if (n < 0 && errno == EINTR) continue;
            if (n < 0) io_error = std::strerror(errno);
            if (n <= 0) break;
            got += static_cast<std::size_t>(n);
        }
        out.resize(got);
        return out;
    }

  private:
    int fd_;
};

int spool_to_temporary_file(int from, std::string& why) {
    std::FILE* spool_file = std::tmpfile();
    if (!spool_file) {
        why = std::string("cannot spool standard input: ") + std::strerror(errno);
        return -1;
    }
    const int fd = ::dup(::fileno(spool_file));
    std::fclose(spool_file);
    char buffer[1 << 16];
    for (ssize_t n = 0; (n = ::read(from, buffer, sizeof buffer)) != 0;) {
        if (n < 0 && errno == EINTR) continue;
        if (n < 0 || ::write(fd, buffer, static_cast<std::size_t>(n)) != n) {
            why = std::string("cannot spool standard input: ") + std::strerror(errno);
            ::close(fd);
            return -1;
        }
    }
    return fd;
}

}  // namespace

std::unique_ptr<Source> open_source(const std::string& path, std::string& why) {
    const int fd = path == "-" ? spool_to_temporary_file(0, why) : ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd >= 0) {
        struct stat s {};
        if (::fstat(fd, &s) == 0 && S_ISREG(s.st_mode)) return std::make_unique<FileSource>(fd);
        ::close(fd);
        why = "is not a regular file";
        return nullptr;
    }
    if (why.empty()) why = std::strerror(errno);
    return nullptr;
}

std::unique_ptr<TraceFile> TraceFile::read_header(std::shared_ptr<const Source> source, std::string name,
                                                  std::string& why) {
    std::unique_ptr<TraceFile> file(new TraceFile);
    file->source_ = std::move(source);
    file->name_ = std::move(name);
    std::string io_error;
    const std::string bytes = file->source_->read(0, kMaxHeaderBytes + 64, io_error);
    auto header = decode_header(bytes, file->header_size_, why);
    if (!header) {
        if (!io_error.empty()) why = io_error;
        return nullptr;
    }
    file->header_ = std::move(*header);
    file->end_of_blocks_ = file->header_size_;
    return file;
}

std::unique_ptr<TraceFile> TraceFile::open(std::shared_ptr<const Source> source, std::string name,
                                           std::string& why) {
    auto file = read_header(std::move(source), std::move(name), why);
    if (!file) return nullptr;
    if (!file->read_footer()) file->scan_blocks();
    file->build_lookups();
    return file;
}

std::unique_ptr<TraceFile> TraceFile::scan(std::shared_ptr<const Source> source, std::string name,
                                           std::string& why) {
    auto file = read_header(std::move(source), std::move(name), why);
    if (!file) return nullptr;
    file->scan_blocks();
    file->build_lookups();
    return file;
}

bool TraceFile::read_footer() {
    std::string io_error, why;
    const std::uint64_t size = source_->size();
    if (size < header_size_ + kFooterHeaderSize + kTrailerSize) return false;
    const auto at = decode_trailer(source_->read(size - kTrailerSize, kTrailerSize, io_error));
    if (!at || *at < header_size_ || *at > size - kTrailerSize || size - *at > kMaxUncompressedBytes)
        return false;
    const std::string bytes =
        source_->read(*at, static_cast<std::size_t>(size - kTrailerSize - *at), io_error);
    if (!decode_footer(bytes, index_, why)) return false;
    // A footer that describes bytes beyond its own start does not belong to this file.
    for (const BlockInfo& b : index_.blocks)
        if (b.offset < header_size_ || b.offset > *at || b.size > *at - b.offset ||
            b.size < kBlockHeaderSize) {
            index_ = {};
            return false;
        }
    closed_ = true;
    end_of_blocks_ = *at;
    return true;
}

// Rebuilds the index block by block; after bytes that are not a block, the scan continues at the next magic
// number.
void TraceFile::scan_blocks() {
    index_ = {};
    damaged_ranges_.clear();
    closed_ = false;
    Indexer indexer;
    const std::uint64_t size = source_->size();
    std::uint64_t at = header_size_;
    std::string io_error;
    const auto add_damaged = [&](std::uint64_t from, std::uint64_t to, std::uint32_t rows,
                                 const char* reason) {
        if (!damaged_ranges_.empty() &&
            damaged_ranges_.back().offset + damaged_ranges_.back().bytes == from) {
            damaged_ranges_.back().bytes += to - from;
            damaged_ranges_.back().rows += rows;
            return;
        }
        damaged_ranges_.push_back({from, to - from, rows, reason});
    };
    while (at < size) {
        const std::string head_bytes = source_->read(at, kBlockHeaderSize, io_error);
        // Only a footer that reaches exactly to the end of the file counts; otherwise a file full of footer
        // magic numbers would be read once for each of them.
        if (std::string_view(head_bytes).substr(0, kFooterMagic.size()) == kFooterMagic &&
            decode_trailer(source_->read(size - std::min<std::uint64_t>(size, kTrailerSize), kTrailerSize,
                                         io_error)) == at) {
            Index footer;
            std::string why;
            const std::string rest = source_->read(
                at, static_cast<std::size_t>(std::min<std::uint64_t>(size - at, kMaxUncompressedBytes)),
                io_error);
            if (rest.size() >= kTrailerSize &&
                decode_footer(std::string_view(rest).substr(0, rest.size() - kTrailerSize), footer, why) &&
                decode_trailer(std::string_view(rest).substr(rest.size() - kTrailerSize)) == at) {
                closed_ = true;
                break;
            }
        }
        const auto head = decode_block_header(head_bytes);
        std::uint32_t rows = 0;
        const char* reason = "bytes that are not a block";
        if (head) {
            const std::string block = source_->read(at, head->size(), io_error);
            const StoredTable* table = header_.table(head->table);
            if (block.size() == head->size() && checksum_matches(block)) {
                if (table && table->known) {
                    Batch batch(static_cast<Table>(head->table));
                    StringTable pool;
                    std::string why;
                    if (decode(header_, block, pool, batch, why))
                        indexer.add(at, static_cast<std::uint32_t>(head->size()), batch, pool);
                    else
                        add_damaged(at, at + head->size(), head->rows,
                                    "a block with a correct checksum but invalid columns");
                }
                // An intact block of an unknown table is skipped and does not count as damaged.
                at += head->size();
                end_of_blocks_ = at;
                continue;
            }
            rows = head->rows;
            reason = block.size() < head->size() ? "a block that is cut off" : "a block whose sum is wrong";
        }
        // Continues at the next magic number; the bytes in between are lost and reported as damaged.
        std::uint64_t next = size;
        for (std::uint64_t from = at + 1; from < size && next == size;) {
            const std::string chunk = source_->read(from, kScanChunkBytes, io_error);
            if (chunk.size() < kBlockMagic.size()) break;
            for (const std::string_view magic : {kBlockMagic, kFooterMagic}) {
                const std::size_t found = chunk.find(magic);
                if (found != std::string::npos) next = std::min(next, from + found);
            }
            from += chunk.size() - (kBlockMagic.size() - 1);
            if (chunk.size() < kScanChunkBytes) break;
        }
        add_damaged(at, next, rows, reason);
        at = next;
    }
    index_ = indexer.index();
}

void TraceFile::build_lookups() {
    by_request_.resize(index_.names.size());
    by_server_.resize(index_.names.size());
    for (std::uint32_t n = 0; n < index_.blocks.size(); ++n) {
        const BlockInfo& b = index_.blocks[n];
        by_time_.add(b.first, b.last, n);
        for (const RequestRange& r : b.requests) by_request_[r.origin].add(r.first, r.last, n);
        for (const std::uint32_t s : b.servers) by_server_[s].push_back(n);
    }
    by_time_.build();
    for (RangeIndex& i : by_request_) i.build();
}

std::uint64_t TraceFile::rows(Table table) const {
    std::uint64_t n = 0;
    for (const BlockInfo& b : index_.blocks)
        if (b.table == table) n += b.rows;
    return n;
}

std::string TraceFile::bytes(const BlockInfo& block, std::string& why) const {
    std::string io_error;
    std::string out = source_->read(block.offset, block.size, io_error);
    if (out.size() != block.size) why = io_error.empty() ? "the file has become shorter" : io_error;
    return out;
}

bool TraceFile::read(const BlockInfo& block, StringTable& pool, Batch& batch, std::string& why) const {
    batch.clear();
    const std::string all = bytes(block, why);
    if (all.size() != block.size || !decode(header_, all, pool, batch, why)) return false;
    // Guards against the index of another file or a forged one: ordering and cuts by time rely on it.
    const auto [first, last] = std::minmax_element(batch.values(0).begin(), batch.values(0).end());
    if (batch.rows() == block.rows && *first == block.first && *last == block.last) return true;
    why = "the index does not match the block";
    batch.clear();
    return false;
}

std::vector<std::uint32_t> TraceFile::blocks_between(std::int64_t first, std::int64_t last) const {
    std::vector<std::uint32_t> out;
    by_time_.find(first, last, [&](std::uint32_t n) { out.push_back(n); });
    return out;
}

std::vector<std::uint32_t> TraceFile::blocks_of_request(const std::string& origin,
                                                        std::int64_t request) const {
    std::vector<std::uint32_t> out;
    for (std::size_t n = 0; n < index_.names.size(); ++n)
        if (origin.empty() || index_.names[n] == origin)
            by_request_[n].find(request, request, [&](std::uint32_t b) { out.push_back(b); });
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

std::vector<std::uint32_t> TraceFile::blocks_of_server(const std::string& server) const {
    for (std::size_t n = 0; n < index_.names.size(); ++n)
        if (index_.names[n] == server) return by_server_[n];
    return {};
}

}  // namespace copperfront::trace
