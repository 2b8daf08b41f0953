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

constexpr std::size_t kStretch = 4U << 20;  // looked through at a time for the next block

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
    std::string read(std::uint64_t offset, std::size_t count, std::string& trouble) const override {
        std::string out(count, '\0');
        std::size_t got = 0;
        while (got < count) {
            const ssize_t n = ::pread(fd_, out.data() + got, count - got, static_cast<off_t>(offset + got));
            if (n < 0 && errno == EINTR) continue;
            if (n < 0) trouble = std::strerror(errno);
            if (n <= 0) break;
            got += static_cast<std::size_t>(n);
        }
        out.resize(got);
        return out;
    }

  private:
    int fd_;
};

int spool(int from, std::string& why) {
    std::FILE* kept = std::tmpfile();
    if (!kept) {
        why = std::string("cannot keep standard input: ") + std::strerror(errno);
        return -1;
    }
    const int fd = ::dup(::fileno(kept));
    std::fclose(kept);
    char piece[1 << 16];
    for (ssize_t n = 0; (n = ::read(from, piece, sizeof piece)) != 0;) {
        if (n < 0 && errno == EINTR) continue;
        if (n < 0 || ::write(fd, piece, static_cast<std::size_t>(n)) != n) {
            why = std::string("cannot keep standard input: ") + std::strerror(errno);
            ::close(fd);
            return -1;
        }
    }
    return fd;
}

}  // namespace

std::unique_ptr<Source> open_source(const std::string& path, std::string& why) {
    const int fd = path == "-" ? spool(0, why) : ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd >= 0) {
        struct stat s {};
        if (::fstat(fd, &s) == 0 && S_ISREG(s.st_mode)) return std::make_unique<FileSource>(fd);
        ::close(fd);
        why = "is no regular file";
        return nullptr;
    }
    if (why.empty()) why = std::strerror(errno);
    return nullptr;
}

std::unique_ptr<TraceFile> TraceFile::begin(std::shared_ptr<const Source> source, std::string name,
                                            std::string& why) {
    std::unique_ptr<TraceFile> file(new TraceFile);
    file->source_ = std::move(source);
    file->name_ = std::move(name);
    std::string trouble;
    const std::string bytes = file->source_->read(0, kMostHeader + 64, trouble);
    auto header = decode_header(bytes, file->header_size_, why);
    if (!header) {
        if (!trouble.empty()) why = trouble;
        return nullptr;
    }
    file->header_ = std::move(*header);
    file->end_of_blocks_ = file->header_size_;
    return file;
}

std::unique_ptr<TraceFile> TraceFile::open(std::shared_ptr<const Source> source, std::string name,
                                           std::string& why) {
    auto file = begin(std::move(source), std::move(name), why);
    if (!file) return nullptr;
    if (!file->read_footer()) file->find_blocks();
    file->build();
    return file;
}

std::unique_ptr<TraceFile> TraceFile::scan(std::shared_ptr<const Source> source, std::string name,
                                           std::string& why) {
    auto file = begin(std::move(source), std::move(name), why);
    if (!file) return nullptr;
    file->find_blocks();
    file->build();
    return file;
}

bool TraceFile::read_footer() {
    std::string trouble, why;
    const std::uint64_t size = source_->size();
    if (size < header_size_ + kFooterHead + kTrailer) return false;
    const auto at = decode_trailer(source_->read(size - kTrailer, kTrailer, trouble));
    if (!at || *at < header_size_ || *at > size - kTrailer || size - *at > kMostRaw) return false;
    const std::string bytes = source_->read(*at, static_cast<std::size_t>(size - kTrailer - *at), trouble);
    if (!decode_footer(bytes, index_, why)) return false;
    // A footer that tells of more than lies before it is not this file's.
    for (const BlockInfo& b : index_.blocks)
        if (b.offset < header_size_ || b.offset > *at || b.size > *at - b.offset || b.size < kBlockHead) {
            index_ = {};
            return false;
        }
    closed_ = true;
    end_of_blocks_ = *at;
    return true;
}

// The index anew: block after block, and over what is none to the next mark.
void TraceFile::find_blocks() {
    index_ = {};
    torn_.clear();
    closed_ = false;
    Indexer indexer;
    const std::uint64_t size = source_->size();
    std::uint64_t at = header_size_;
    std::string trouble;
    const auto tear = [&](std::uint64_t from, std::uint64_t to, std::uint32_t rows, const char* what) {
        if (!torn_.empty() && torn_.back().offset + torn_.back().bytes == from) {
            torn_.back().bytes += to - from;
            torn_.back().rows += rows;
            return;
        }
        torn_.push_back({from, to - from, rows, what});
    };
    while (at < size) {
        const std::string head_bytes = source_->read(at, kBlockHead, trouble);
        // Only one that reaches just to the end, or a file full of its mark would be read once for each.
        if (std::string_view(head_bytes).substr(0, kFooterMark.size()) == kFooterMark &&
            decode_trailer(
                source_->read(size - std::min<std::uint64_t>(size, kTrailer), kTrailer, trouble)) == at) {
            Index footer;
            std::string why;
            const std::string rest = source_->read(
                at, static_cast<std::size_t>(std::min<std::uint64_t>(size - at, kMostRaw)), trouble);
            if (rest.size() >= kTrailer &&
                decode_footer(std::string_view(rest).substr(0, rest.size() - kTrailer), footer, why) &&
                decode_trailer(std::string_view(rest).substr(rest.size() - kTrailer)) == at) {
                closed_ = true;
                break;
            }
        }
        const auto head = decode_head(head_bytes);
        std::uint32_t rows = 0;
        const char* what = "bytes that are no block";
        if (head) {
            const std::string block = source_->read(at, head->size(), trouble);
            const StoredTable* table = header_.table(head->table);
            if (block.size() == head->size() && sum_is_right(block)) {
                if (table && table->known) {
                    Batch batch(static_cast<Table>(head->table));
                    Pool pool;
                    std::string why;
                    if (decode(header_, block, pool, batch, why))
                        indexer.add(at, static_cast<std::uint32_t>(head->size()), batch, pool);
                    else
                        tear(at, at + head->size(), head->rows,
                             "a block whose sum is right, but not its columns");
                }
                // A whole block of a table that is not known here is passed over, not torn.
                at += head->size();
                end_of_blocks_ = at;
                continue;
            }
            rows = head->rows;
            what = block.size() < head->size() ? "a block that is cut off" : "a block whose sum is wrong";
        }
        // On to the next mark; what lies between is lost, and said to be.
        std::uint64_t next = size;
        for (std::uint64_t from = at + 1; from < size && next == size;) {
            const std::string stretch = source_->read(from, kStretch, trouble);
            if (stretch.size() < kBlockMark.size()) break;
            for (const std::string_view mark : {kBlockMark, kFooterMark}) {
                const std::size_t found = stretch.find(mark);
                if (found != std::string::npos) next = std::min(next, from + found);
            }
            from += stretch.size() - (kBlockMark.size() - 1);
            if (stretch.size() < kStretch) break;
        }
        tear(at, next, rows, what);
        at = next;
    }
    index_ = indexer.index();
}

void TraceFile::build() {
    by_query_.resize(index_.names.size());
    by_server_.resize(index_.names.size());
    for (std::uint32_t n = 0; n < index_.blocks.size(); ++n) {
        const BlockInfo& b = index_.blocks[n];
        by_time_.add(b.first, b.last, n);
        for (const QueryRange& r : b.queries) by_query_[r.origin].add(r.first, r.last, n);
        for (const std::uint32_t s : b.servers) by_server_[s].push_back(n);
    }
    by_time_.build();
    for (RangeIndex& i : by_query_) i.build();
}

std::uint64_t TraceFile::rows(Table table) const {
    std::uint64_t n = 0;
    for (const BlockInfo& b : index_.blocks)
        if (b.table == table) n += b.rows;
    return n;
}

std::string TraceFile::bytes(const BlockInfo& block, std::string& why) const {
    std::string trouble;
    std::string out = source_->read(block.offset, block.size, trouble);
    if (out.size() != block.size) why = trouble.empty() ? "the file has become shorter" : trouble;
    return out;
}

bool TraceFile::read(const BlockInfo& block, Pool& pool, Batch& batch, std::string& why) const {
    batch.clear();
    const std::string all = bytes(block, why);
    if (all.size() != block.size || !decode(header_, all, pool, batch, why)) return false;
    // Against an index of another file, or one that was made up: order and cuts by time rest on it.
    const auto [first, last] = std::minmax_element(batch.values(0).begin(), batch.values(0).end());
    if (batch.rows() == block.rows && *first == block.first && *last == block.last) return true;
    why = "the index tells something else of it than it holds";
    batch.clear();
    return false;
}

std::vector<std::uint32_t> TraceFile::blocks_between(std::int64_t first, std::int64_t last) const {
    std::vector<std::uint32_t> out;
    by_time_.find(first, last, [&](std::uint32_t n) { out.push_back(n); });
    return out;
}

std::vector<std::uint32_t> TraceFile::blocks_of_query(const std::string& origin, std::int64_t query) const {
    std::vector<std::uint32_t> out;
    for (std::size_t n = 0; n < index_.names.size(); ++n)
        if (origin.empty() || index_.names[n] == origin)
            by_query_[n].find(query, query, [&](std::uint32_t b) { out.push_back(b); });
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
