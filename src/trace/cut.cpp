#include "trace/cut.h"

#include <algorithm>
#include <unordered_set>

namespace copperfront::trace {
namespace {

struct RequestId {
    std::int64_t origin, number;
    bool operator==(const RequestId&) const = default;
};
struct RequestIdHash {
    std::size_t operator()(const RequestId& q) const {
        return static_cast<std::size_t>(static_cast<std::uint64_t>(q.number) * 0x9e3779b97f4a7c15ULL ^
                                        static_cast<std::uint64_t>(q.origin));
    }
};

}  // namespace

CutResult cut(const std::vector<const TraceFile*>& files, const RowFilter& filter, StringTable& pool,
              const std::function<bool(const Row&)>& put,
              const std::function<void(std::uint64_t, std::uint64_t)>& progress) {
    CutResult result;
    const bool by_whole_request = filter.selects_by_request() || !filter.server.empty();
    std::uint64_t done = 0, total = 0;
    std::vector<std::vector<std::uint32_t>> blocks;
    for (const TraceFile* file : files) {
        blocks.push_back(file->blocks_between(filter.from, filter.until));
        // In file order, which is the order of writing.
        std::sort(blocks.back().begin(), blocks.back().end());
        result.blocks += file->index().blocks.size();
        for (const std::uint32_t b : blocks.back())
            total += file->index().blocks[b].size * (by_whole_request ? 2U : 1U);
    }
    const auto for_each_row = [&](const auto& skip, const auto& take) {
        for (std::size_t f = 0; f < files.size(); ++f)
            for (const std::uint32_t b : blocks[f]) {
                const BlockInfo& info = files[f]->index().blocks[b];
                done += info.size;
                if (progress) progress(done, total);
                if (skip(*files[f], b)) continue;
                Batch batch(info.table);
                std::string why;
                ++result.blocks_read;
                if (!files[f]->read(info, pool, batch, why)) {
                    result.errors.push_back(files[f]->name() + ": " + std::to_string(info.rows) +
                                            " rows at byte " + std::to_string(info.offset) +
                                            " cannot be read: " + why);
                    continue;
                }
                for (std::size_t n = 0; n < batch.rows(); ++n)
                    if (batch.at(n) >= filter.from && batch.at(n) <= filter.until && !take(batch, n))
                        return false;
            }
        return true;
    };

    std::unordered_set<RequestId, RequestIdHash> matching;
    if (by_whole_request) {
        std::vector<std::unordered_set<std::uint32_t>> server_blocks(files.size());
        if (!filter.server.empty())
            for (std::size_t f = 0; f < files.size(); ++f)
                for (const std::uint32_t b : files[f]->blocks_of_server(filter.server))
                    server_blocks[f].insert(b);
        std::size_t f = 0;
        const TraceFile* current = files.empty() ? nullptr : files[0];
        for_each_row(
            [&](const TraceFile& file, std::uint32_t b) {
                while (current != &file) current = files[++f];
                const Table table = file.index().blocks[b].table;
                if (table == Table::events) return true;
                return filter.selects_by_request() ? table != Table::requests
                                                   : !filter.server.empty() && !server_blocks[f].count(b);
            },
            [&](const Batch& batch, std::size_t n) {
                if (filter.matches(batch.row(n), pool))
                    matching.insert({batch.value(n, 1), batch.value(n, 2)});
                return true;
            });
    }
    result.complete = for_each_row([](const TraceFile&, std::uint32_t) { return false; },
                                   [&](const Batch& batch, std::size_t n) {
                                       Row row = batch.row(n);
                                       if (by_whole_request && row.table != Table::events) {
                                           if (!matching.count({row[1], row[2]})) return true;
                                       } else if (!filter.matches(row, pool)) {
                                           return true;
                                       }
                                       ++result.rows;
                                       result.requests += row.table == Table::requests;
                                       return put(row);
                                   });
    return result;
}

}  // namespace copperfront::trace
