#include "trace/order.h"

#include <algorithm>
#include <numeric>

namespace copperfront::trace {

bool RowFilter::matches(const Row& row, const StringTable& pool) const {
    if (row.at() < from || row.at() > until) return false;
    if (!origin.empty()) {
        const std::string& o = pool.text(row[1]);
        // A gateway's name alone matches all of its lives.
        if (o != origin && o.substr(0, o.rfind('.')) != origin) return false;
    }
    if (!server.empty()) {
        using namespace request_column;
        const bool involves_server =
            row.table == Table::requests
                ? pool.text(row[prefill_server]) == server || pool.text(row[decode_server]) == server
            : row.table == Table::decisions ? pool.text(row[decision_column::server]) == server
                                            : pool.text(row[event_column::server]) == server;
        if (!involves_server) return false;
    }
    if (!selects_by_request()) return true;
    if (row.table != Table::requests) return false;
    return (route.empty() || pool.text(row[request_column::route]) == route) &&
           (group.empty() || pool.text(row[request_column::group]) == group);
}

TimeOrderedReader::TimeOrderedReader(const TraceFile& file, StringTable& pool, std::int64_t offset,
                                     std::int64_t from, std::int64_t until)
    : file_(file), pool_(pool), offset_(offset), from_(from), until_(until) {
    const auto shifted = [&](std::int64_t t) {
        return t == INT64_MIN || t == INT64_MAX ? t : wrapping_subtract(t, offset);
    };
    blocks_ = file.blocks_between(shifted(from), shifted(until));
}

// Every block that begins by this time must be loaded; otherwise one of its rows would be returned too late.
void TimeOrderedReader::load_until(std::int64_t at) {
    while (next_block_ < blocks_.size()) {
        const BlockInfo& info = file_.index().blocks[blocks_[next_block_]];
        if (!next_rows_.empty() && wrapping_add(info.first, offset_) > at) return;
        std::uint32_t slot = 0;
        if (free_slots_.empty()) {
            slot = static_cast<std::uint32_t>(slots_.size());
            slots_.push_back(nullptr);
        } else {
            slot = free_slots_.back();
            free_slots_.pop_back();
        }
        auto loaded =
            std::make_unique<LoadedBlock>(LoadedBlock{Batch(info.table), {}, 0, blocks_[next_block_]});
        ++next_block_;
        std::string why;
        if (!file_.read(info, pool_, loaded->batch, why)) {
            errors_.push_back(file_.name() + ": " + std::to_string(info.rows) + " rows at byte " +
                              std::to_string(info.offset) + " cannot be read: " + why);
            free_slots_.push_back(slot);
            continue;
        }
        loaded->order.resize(loaded->batch.rows());
        std::iota(loaded->order.begin(), loaded->order.end(), 0U);
        // Rows of a block are nearly sorted; a clock that stepped back breaks the order.
        std::stable_sort(loaded->order.begin(), loaded->order.end(), [&](std::uint32_t a, std::uint32_t b) {
            return loaded->batch.at(a) < loaded->batch.at(b);
        });
        next_rows_.emplace(wrapping_add(loaded->batch.at(loaded->order.front()), offset_), slot);
        slots_[slot] = std::move(loaded);
        if (next_rows_.size() == 1) at = next_rows_.top().first;
    }
}

bool TimeOrderedReader::next(Row& row) {
    for (;;) {
        load_until(next_rows_.empty() ? INT64_MIN : next_rows_.top().first);
        if (next_rows_.empty()) return false;
        const auto [at, slot] = next_rows_.top();
        next_rows_.pop();
        LoadedBlock& loaded = *slots_[slot];
        const std::uint32_t n = loaded.order[loaded.next_row++];
        const bool in_range = at >= from_ && at <= until_;
        if (in_range) {
            row = loaded.batch.row(n);
            row[0] = at;
        }
        if (loaded.next_row < loaded.order.size()) {
            next_rows_.emplace(wrapping_add(loaded.batch.at(loaded.order[loaded.next_row]), offset_), slot);
        } else {
            slots_[slot].reset();
            free_slots_.push_back(slot);
        }
        if (in_range) return true;
    }
}

Merger::Merger(const std::vector<Input>& inputs, StringTable& pool, std::int64_t from, std::int64_t until) {
    for (const Input& input : inputs) {
        readers_.push_back(std::make_unique<TimeOrderedReader>(*input.file, pool, input.offset, from, until));
        InputRow input_row;
        input_row.has_row = readers_.back()->next(input_row.row);
        input_rows_.push_back(std::move(input_row));
    }
}

bool Merger::next(Row& row) {
    for (;;) {
        std::size_t best = input_rows_.size();
        for (std::size_t n = 0; n < input_rows_.size(); ++n)
            if (input_rows_[n].has_row &&
                (best == input_rows_.size() || input_rows_[n].row.at() < input_rows_[best].row.at()))
                best = n;
        if (best == input_rows_.size()) return false;
        row = std::move(input_rows_[best].row);
        input_rows_[best].has_row = readers_[best]->next(input_rows_[best].row);
        if (input_rows_.size() == 1) return true;
        if (!same_time_rows_.empty() && same_time_rows_.front().row.at() != row.at()) same_time_rows_.clear();
        // An equal row from another file is a duplicate: the files overlap, or one was passed twice. Two
        // equal rows in one file are two separate rows.
        auto same = std::find_if(same_time_rows_.begin(), same_time_rows_.end(),
                                 [&](const EqualRows& s) { return s.row == row; });
        if (same == same_time_rows_.end()) {
            same_time_rows_.push_back({row, 0, std::vector<std::uint32_t>(input_rows_.size())});
            same = std::prev(same_time_rows_.end());
        }
        if (++same->seen_in_file[best] > same->returned) {
            ++same->returned;
            return true;
        }
        ++duplicates_;
    }
}

std::vector<std::string> Merger::errors() const {
    std::vector<std::string> out;
    for (const auto& o : readers_) out.insert(out.end(), o->errors().begin(), o->errors().end());
    return out;
}

std::size_t Merger::loaded_blocks() const {
    std::size_t n = 0;
    for (const auto& o : readers_) n += o->loaded_blocks();
    return n;
}

}  // namespace copperfront::trace
