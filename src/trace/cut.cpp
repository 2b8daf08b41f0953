#include "trace/cut.h"

#include <algorithm>
#include <unordered_set>

namespace copperfront::trace {
namespace {

struct QueryId {
    std::int64_t origin, number;
    bool operator==(const QueryId&) const = default;
};
struct QueryIdHash {
    std::size_t operator()(const QueryId& q) const {
        return static_cast<std::size_t>(static_cast<std::uint64_t>(q.number) * 0x9e3779b97f4a7c15ULL ^
                                        static_cast<std::uint64_t>(q.origin));
    }
};

}  // namespace

CutResult cut(const std::vector<const TraceFile*>& files, const Wanted& wanted, Pool& pool,
              const std::function<bool(const Row&)>& put,
              const std::function<void(std::uint64_t, std::uint64_t)>& progress) {
    CutResult result;
    const bool stories = wanted.by_query() || !wanted.server.empty();
    std::uint64_t done = 0, all = 0;
    std::vector<std::vector<std::uint32_t>> blocks;
    for (const TraceFile* file : files) {
        blocks.push_back(file->blocks_between(wanted.from, wanted.until));
        // In the order of the file, which is that of writing.
        std::sort(blocks.back().begin(), blocks.back().end());
        result.blocks += file->index().blocks.size();
        for (const std::uint32_t b : blocks.back()) all += file->index().blocks[b].size * (stories ? 2U : 1U);
    }
    const auto each = [&](const auto& skip, const auto& take) {
        for (std::size_t f = 0; f < files.size(); ++f)
            for (const std::uint32_t b : blocks[f]) {
                const BlockInfo& info = files[f]->index().blocks[b];
                done += info.size;
                if (progress) progress(done, all);
                if (skip(*files[f], b)) continue;
                Batch batch(info.table);
                std::string why;
                ++result.blocks_read;
                if (!files[f]->read(info, pool, batch, why)) {
                    result.troubles.push_back(files[f]->name() + ": " + std::to_string(info.rows) +
                                              " rows at byte " + std::to_string(info.offset) +
                                              " cannot be read: " + why);
                    continue;
                }
                for (std::size_t n = 0; n < batch.rows(); ++n)
                    if (batch.at(n) >= wanted.from && batch.at(n) <= wanted.until && !take(batch, n))
                        return false;
            }
        return true;
    };

    std::unordered_set<QueryId, QueryIdHash> fit;
    if (stories) {
        std::vector<std::unordered_set<std::uint32_t>> with_server(files.size());
        if (!wanted.server.empty())
            for (std::size_t f = 0; f < files.size(); ++f)
                for (const std::uint32_t b : files[f]->blocks_of_server(wanted.server))
                    with_server[f].insert(b);
        std::size_t f = 0;
        const TraceFile* now = files.empty() ? nullptr : files[0];
        each(
            [&](const TraceFile& file, std::uint32_t b) {
                while (now != &file) now = files[++f];
                const Table table = file.index().blocks[b].table;
                if (table == Table::events) return true;
                return wanted.by_query() ? table != Table::queries
                                         : !wanted.server.empty() && !with_server[f].count(b);
            },
            [&](const Batch& batch, std::size_t n) {
                if (wanted.fits(batch.row(n), pool)) fit.insert({batch.value(n, 1), batch.value(n, 2)});
                return true;
            });
    }
    result.well = each([](const TraceFile&, std::uint32_t) { return false; },
                       [&](const Batch& batch, std::size_t n) {
                           Row row = batch.row(n);
                           if (stories && row.table != Table::events) {
                               if (!fit.count({row[1], row[2]})) return true;
                           } else if (!wanted.fits(row, pool)) {
                               return true;
                           }
                           ++result.rows;
                           result.queries += row.table == Table::queries;
                           return put(row);
                       });
    return result;
}

}  // namespace copperfront::trace
