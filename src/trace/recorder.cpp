#include "trace/recorder.h"

#include <chrono>
#include <cstdio>
#include <utility>

namespace copperfront::trace {

Recorder::Recorder(Disk& disk, const KeepingTerms& terms, std::string folder, std::string name,
                   std::string life, std::string zone, Instant now)
    : disk_(disk),
      folder_(std::move(folder)),
      name_(std::move(name)),
      life_(std::move(life)),
      zone_(std::move(zone)),
      origin_(pool_.code(name_ + "." + life_)),
      waits_since_(now),
      keeping_(terms) {
    for (const Table t : kTables) batches_.emplace_back(t);
    thread_ = std::thread([this] { write_on(); });
}

Recorder::~Recorder() {
    hand_over(waits_since_, true);
    {
        const std::lock_guard lock(mutex_);
        stop_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

void Recorder::add(const Row& row, Instant now) {
    Batch& batch = batches_[static_cast<std::size_t>(row.table) - 1];
    batch.add(row);
    if (batch.rows() >= kBlockRows) hand_over(now, false);
}

void Recorder::tick(Instant now) {
    // A clock that goes back must not keep rows from the disk for as long.
    if (now - waits_since_ >= keeping_.terms().hand_over || now < waits_since_) hand_over(now, false);
}

void Recorder::hand_over(Instant now, bool last) {
    waits_since_ = now;
    std::size_t rows = 0;
    for (const Batch& b : batches_) rows += b.rows();
    if (rows == 0 && lost_ == 0) return;
    const std::lock_guard lock(mutex_);
    if (!last && queue_.size() >= keeping_.terms().queue) {
        // Serving never waits for a disk.
        lost_ += rows;
        dropped_ += rows;
        for (Batch& b : batches_) b.clear();
        return;
    }
    Package package;
    package.at = now;
    package.dropped = lost_;
    lost_ = 0;
    for (Batch& b : batches_) {
        const Table table = b.table();
        package.batches.push_back(std::move(b));
        b = Batch(table);
    }
    for (; told_names_ < pool_.size(); ++told_names_)
        package.names.push_back(pool_.text(static_cast<std::int64_t>(told_names_)));
    queue_.push_back(std::move(package));
    wake_.notify_one();
}

std::vector<std::string> Recorder::news() {
    const std::lock_guard lock(mutex_);
    return std::exchange(news_, {});
}

// ---- on the writing thread

void Recorder::write_on() {
    std::unique_lock lock(mutex_);
    for (;;) {
        wake_.wait_for(lock, std::chrono::microseconds(keeping_.terms().sync.us),
                       [this] { return stop_ || !queue_.empty(); });
        if (queue_.empty() && stop_) break;
        if (queue_.empty()) {
            lock.unlock();
            std::string why;
            if (file_ && unsynced_) file_->sync(why);
            unsynced_ = false;
            lock.lock();
            continue;
        }
        // It leaves the queue only when it is written, so that the bound holds for what is in hand as well.
        Package package = std::move(queue_.front());
        lock.unlock();
        write(package);
        lock.lock();
        queue_.pop_front();
    }
    lock.unlock();
    close();
}

bool Recorder::open(Instant now, std::string& why) {
    char number[16];
    std::snprintf(number, sizeof number, "%06llu", static_cast<unsigned long long>(++number_));
    file_name_ = name_ + "-" + life_ + "-" + number + ".cft";
    auto out = disk_.create(folder_ + "/" + file_name_, why);
    if (!out) return false;
    file_ =
        std::make_unique<FileWriter>(std::move(out), Header::of(kNewest, name_ + "." + life_, zone_, now.us));
    if (!file_->start(why)) {
        file_.reset();
        std::string other;
        disk_.remove(folder_ + "/" + file_name_, other);
        return false;
    }
    file_began_ = now;
    ++files_;
    std::vector<Disk::Kept> mine;
    for (Disk::Kept& f : disk_.list(folder_))
        if (Keeping::is_of(f.name, name_)) mine.push_back(std::move(f));
    for (const std::string& old : keeping_.let_go(mine, file_name_)) {
        std::string other;
        disk_.remove(folder_ + "/" + old, other);
    }
    return true;
}

void Recorder::close() {
    if (!file_) return;
    std::string why;
    // A file without its footer is read all the same, so a disk that is full here costs nothing but time.
    file_->finish(why);
    file_->sync(why);
    file_.reset();
}

void Recorder::lose(const Package& package, const std::string& why, Instant now) {
    for (const Batch& b : package.batches) {
        lost_on_disk_ += b.rows();
        dropped_ += b.rows();
    }
    lost_on_disk_ += package.dropped;
    if (!keeping_.failed(now)) return;
    const std::lock_guard lock(mutex_);
    news_.push_back("the trace cannot be written, and its rows are dropped until it can: " + why);
}

void Recorder::write(Package& package) {
    for (const std::string& n : package.names) names_.code(n);
    const Instant now = package.at;
    std::string why;
    if (!keeping_.may_try(now)) return lose(package, why, now);
    if (file_ && (file_->spoilt() || keeping_.begin_new(file_->size(), now - file_began_))) close();
    if (!file_ && !open(now, why)) return lose(package, why, now);
    const std::uint64_t lost = package.dropped + lost_on_disk_;
    if (lost > 0) {
        Row row(Table::events);
        row[event_column::at] = now.us;
        row[event_column::origin] = origin_;
        row[event_column::what] = static_cast<std::int64_t>(Happening::dropped);
        row[event_column::number] = static_cast<std::int64_t>(lost);
        package.batches[static_cast<std::size_t>(Table::events) - 1].add(row);
    }
    std::uint64_t rows = 0;
    for (Batch& b : package.batches) {
        if (!file_->add(b, names_, why)) {
            lost_on_disk_ = lost;
            package.dropped = 0;
            // What this package has written before is there; only the rest is lost, and the row that told of
            // losses with it, which was no row of anybody's.
            written_ += rows;
            if (lost > 0) {
                dropped_ -= 1;
                lost_on_disk_ -= 1;
            }
            lose(package, why, now);
            if (file_->spoilt()) close();
            return;
        }
        rows += b.rows();
        b.clear();
    }
    lost_on_disk_ = 0;
    written_ += rows;
    bytes_ = file_->size();
    unsynced_ = true;
    if (keeping_.went_well()) {
        const std::lock_guard lock(mutex_);
        news_.push_back("the trace is written again; " + std::to_string(lost) + " rows were dropped");
    }
    if (keeping_.sync_due(now, unsynced_)) {
        file_->sync(why);
        keeping_.synced(now);
        unsynced_ = false;
    }
}

}  // namespace copperfront::trace
