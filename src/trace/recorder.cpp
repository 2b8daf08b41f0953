#include "trace/recorder.h"

#include <chrono>
#include <cstdio>
#include <utility>

namespace copperfront::trace {

Recorder::Recorder(Disk& disk, const StorageTerms& terms, std::string folder, std::string name,
                   std::string life, std::string zone, Instant now)
    : disk_(disk),
      folder_(std::move(folder)),
      name_(std::move(name)),
      life_(std::move(life)),
      zone_(std::move(zone)),
      origin_(pool_.code(name_ + "." + life_)),
      pending_since_(now),
      policy_(terms) {
    for (const Table t : kTables) batches_.emplace_back(t);
    thread_ = std::thread([this] { run_writer(); });
}

Recorder::~Recorder() {
    enqueue(pending_since_, true);
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

void Recorder::add(const Row& row, Instant now) {
    Batch& batch = batches_[static_cast<std::size_t>(row.table) - 1];
    batch.add(row);
    if (batch.rows() >= kBlockRows) enqueue(now, false);
}

void Recorder::tick(Instant now) {
    // A clock that steps back must not delay rows by as much.
    if (now - pending_since_ >= policy_.terms().flush_interval || now < pending_since_) enqueue(now, false);
}

void Recorder::enqueue(Instant now, bool last) {
    pending_since_ = now;
    std::size_t rows = 0;
    for (const Batch& b : batches_) rows += b.rows();
    if (rows == 0 && unreported_drops_ == 0) return;
    const std::lock_guard lock(mutex_);
    if (!last && queue_.size() >= policy_.terms().max_queued_batches) {
        // Serving never waits for a disk.
        unreported_drops_ += rows;
        dropped_ += rows;
        for (Batch& b : batches_) b.clear();
        return;
    }
    PendingRows pending;
    pending.at = now;
    pending.dropped = unreported_drops_;
    unreported_drops_ = 0;
    for (Batch& b : batches_) {
        const Table table = b.table();
        pending.batches.push_back(std::move(b));
        b = Batch(table);
    }
    for (; queued_names_ < pool_.size(); ++queued_names_)
        pending.names.push_back(pool_.text(static_cast<std::int64_t>(queued_names_)));
    queue_.push_back(std::move(pending));
    wake_.notify_one();
}

std::vector<std::string> Recorder::take_messages() {
    const std::lock_guard lock(mutex_);
    return std::exchange(messages_, {});
}

// ---- on the writing thread

void Recorder::run_writer() {
    std::unique_lock lock(mutex_);
    for (;;) {
        wake_.wait_for(lock, std::chrono::microseconds(policy_.terms().sync_interval.us),
                       [this] { return stopping_ || !queue_.empty(); });
        if (queue_.empty() && stopping_) break;
        if (queue_.empty()) {
            lock.unlock();
            std::string why;
            if (file_ && unsynced_) file_->sync(why);
            unsynced_ = false;
            lock.lock();
            continue;
        }
        // An item leaves the queue only after it is written, so that the bound includes the item in progress.
        PendingRows pending = std::move(queue_.front());
        lock.unlock();
        write(pending);
        lock.lock();
        queue_.pop_front();
    }
    lock.unlock();
    close();
}

bool Recorder::open(Instant now, std::string& why) {
    char number[16];
    std::snprintf(number, sizeof number, "%06llu", static_cast<unsigned long long>(++file_number_));
    file_name_ = name_ + "-" + life_ + "-" + number + ".cft";
    auto out = disk_.create(folder_ + "/" + file_name_, why);
    if (!out) return false;
    file_ = std::make_unique<FileWriter>(std::move(out),
                                         Header::of(kNewestVersion, name_ + "." + life_, zone_, now.us));
    if (!file_->start(why)) {
        file_.reset();
        std::string ignored;
        disk_.remove(folder_ + "/" + file_name_, ignored);
        return false;
    }
    file_opened_at_ = now;
    ++files_;
    std::vector<Disk::FileEntry> own_files;
    for (Disk::FileEntry& f : disk_.list(folder_))
        if (StoragePolicy::belongs_to(f.name, name_)) own_files.push_back(std::move(f));
    for (const std::string& old : policy_.files_to_delete(own_files, file_name_)) {
        std::string ignored;
        disk_.remove(folder_ + "/" + old, ignored);
    }
    return true;
}

void Recorder::close() {
    if (!file_) return;
    std::string why;
    // A file without its footer can still be read, so a full disk costs only reading time here.
    file_->finish(why);
    file_->sync(why);
    file_.reset();
}

void Recorder::record_loss(const PendingRows& pending, const std::string& why, Instant now) {
    for (const Batch& b : pending.batches) {
        unreported_disk_losses_ += b.rows();
        dropped_ += b.rows();
    }
    unreported_disk_losses_ += pending.dropped;
    if (!policy_.record_failure(now)) return;
    const std::lock_guard lock(mutex_);
    messages_.push_back("the trace cannot be written, and its rows are dropped until it can: " + why);
}

void Recorder::write(PendingRows& pending) {
    for (const std::string& n : pending.names) writer_names_.code(n);
    const Instant now = pending.at;
    std::string why;
    if (!policy_.may_write(now)) return record_loss(pending, why, now);
    if (file_ && (file_->corrupt() || policy_.should_rotate(file_->size(), now - file_opened_at_))) close();
    if (!file_ && !open(now, why)) return record_loss(pending, why, now);
    const std::uint64_t lost = pending.dropped + unreported_disk_losses_;
    if (lost > 0) {
        Row row(Table::events);
        row[event_column::at] = now.us;
        row[event_column::origin] = origin_;
        row[event_column::kind] = static_cast<std::int64_t>(EventKind::rows_dropped);
        row[event_column::number] = static_cast<std::int64_t>(lost);
        pending.batches[static_cast<std::size_t>(Table::events) - 1].add(row);
    }
    std::uint64_t rows = 0;
    for (Batch& b : pending.batches) {
        if (!file_->add(b, writer_names_, why)) {
            unreported_disk_losses_ = lost;
            pending.dropped = 0;
            // What was written of this item before stays; only the rest is lost, together with the row that
            // reports the losses, which was not passed to add().
            written_ += rows;
            if (lost > 0) {
                dropped_ -= 1;
                unreported_disk_losses_ -= 1;
            }
            record_loss(pending, why, now);
            if (file_->corrupt()) close();
            return;
        }
        rows += b.rows();
        b.clear();
    }
    unreported_disk_losses_ = 0;
    written_ += rows;
    bytes_ = file_->size();
    unsynced_ = true;
    if (policy_.record_success()) {
        const std::lock_guard lock(mutex_);
        messages_.push_back("the trace is written again; " + std::to_string(lost) + " rows were dropped");
    }
    if (policy_.sync_due(now, unsynced_)) {
        file_->sync(why);
        policy_.record_sync(now);
        unsynced_ = false;
    }
}

}  // namespace copperfront::trace
