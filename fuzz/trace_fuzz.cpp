// Reads arbitrary bytes as a trace file and as a block of one: they are rejected with a reason, or read; the
// rows that are read can be written, and read back the same. Checksums are corrected first, since otherwise
// the bytes that they cover would never be parsed.
#include <xxhash.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

#include "trace/cut.h"
#include "trace/json_lines.h"
#include "trace/order.h"
#include "trace/story.h"
#include "trace/summary.h"
#include "trace/writer.h"

using namespace copperfront;
using namespace copperfront::trace;

namespace {

void require(bool condition, int line = __builtin_LINE()) {
    if (!condition) std::fprintf(stderr, "line %d\n", line);
    if (!condition) std::abort();
}

// Corrects the checksum of everything that looks like a header, a block or a footer.
void set_checksums(std::string& bytes) {
    const auto put = [&](std::size_t at, std::size_t head, std::size_t from, std::size_t size) {
        if (from + size > bytes.size()) return;
        const std::uint64_t sum =
            XXH3_64bits_withSeed(bytes.data() + from, size, XXH3_64bits(bytes.data() + at, head));
        const std::size_t place = from == at + head + 8 ? at + head : from + size;
        if (place + 8 <= bytes.size()) std::memcpy(bytes.data() + place, &sum, 8);
    };
    const auto u32 = [&](std::size_t at) {
        std::uint32_t v = 0;
        if (at + 4 <= bytes.size()) std::memcpy(&v, bytes.data() + at, 4);
        return static_cast<std::size_t>(v);
    };
    if (bytes.size() >= 16 && u32(12) < bytes.size()) put(0, 16, 16, u32(12));
    for (std::size_t at = 0; at + kBlockHeaderSize <= bytes.size(); ++at) {
        const std::string_view magic = std::string_view(bytes).substr(at, 8);
        if (magic == kBlockMagic && u32(at + 32) < bytes.size())
            put(at, kBlockHeaderSize - 8, at + kBlockHeaderSize, u32(at + 32));
        if (magic == kFooterMagic && u32(at + 8) < bytes.size())
            put(at, kFooterHeaderSize - 8, at + kFooterHeaderSize, u32(at + 8));
    }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    std::string bytes(reinterpret_cast<const char*>(data), size), why;
    if (size > 0 && bytes.back() % 2 == 0) set_checksums(bytes);
    const auto file = TraceFile::open(std::make_unique<MemorySource>(bytes), "x", why);
    if (!file) {
        require(!why.empty());
        return 0;
    }
    StringTable pool;
    JsonLines lines(pool);
    Summary summary(GroupBy::minute);
    std::uint64_t rows_read = 0;
    const CutResult result = cut({file.get()}, {}, pool, [&](const Row& row) {
        ++rows_read;
        std::string text;
        lines.append(row, text);
        require(!describe(row, pool).empty());
        summary.add(row, pool);
        Row read_back;
        // Strings that are not valid UTF-8 come back with replacement characters; everything else is
        // unchanged.
        require(lines.read(text, read_back, why) && read_back.table == row.table &&
                read_back.at() == row.at());
        return rows_read < 2000;
    });
    for (const std::string& error : result.errors) require(!error.empty());
    require(!summary.json().empty());
    const RequestRows found = find_request({file.get()}, {"", 1}, pool);
    explain_request(found.rows, pool);
    Merger merger({{file.get(), 0}, {file.get(), 0}}, pool);
    std::int64_t before = INT64_MIN;
    std::uint64_t merged = 0;
    for (Row row; merged < 2000 && merger.next(row); ++merged) {
        require(row.at() >= before);
        before = row.at();
    }
    return 0;
}
