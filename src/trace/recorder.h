// Records the trace of a gateway. Rows are accepted on the loop's thread without blocking, and encoded and
// written on a writer thread. Rows that the disk cannot keep up with are dropped, counted, and reported in
// the trace itself.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "trace/keeping.h"
#include "trace/writer.h"

namespace copperfront::trace {

class Recorder {
  public:
    // Files are named `folder`/`name`-`life`-NNNNNN.cft; `origin` is name.life. The disk must outlive the
    // recorder.
    Recorder(Disk& disk, const StorageTerms& terms, std::string folder, std::string name, std::string life,
             std::string zone, Instant now);
    // Writes the queued rows and closes the file.
    ~Recorder();
    Recorder(const Recorder&) = delete;
    Recorder& operator=(const Recorder&) = delete;

    // To be called on one thread only, which is the loop's.
    std::int64_t code(const std::string& text) { return pool_.code(text); }
    std::int64_t origin() const { return origin_; }
    void add(const Row& row, Instant now);
    // Passes rows that have waited long enough to the writer thread; to be called every `flush_interval`.
    void tick(Instant now);
    // Returns messages for the log: the disk has begun to fail, or has recovered.
    std::vector<std::string> take_messages();

    std::uint64_t dropped() const { return dropped_.load(); }
    std::uint64_t written() const { return written_.load(); }
    std::uint64_t bytes() const { return bytes_.load(); }
    // Number of files of this run; for tests.
    std::uint64_t files() const { return files_.load(); }

  private:
    struct PendingRows {
        std::vector<Batch> batches;
        std::vector<std::string> names;  // names added since the previous item
        std::uint64_t dropped = 0;       // rows that were dropped before this item
        Instant at;
    };
    void enqueue(Instant now, bool last);
    void run_writer();
    void write(PendingRows& pending);
    bool open(Instant now, std::string& why);
    void close();
    void record_loss(const PendingRows& pending, const std::string& why, Instant now);

    Disk& disk_;
    const std::string folder_, name_, life_, zone_;
    // Used by the loop's thread.
    StringTable pool_;
    std::size_t queued_names_ = 1;
    std::int64_t origin_;
    std::vector<Batch> batches_;
    Instant pending_since_;
    std::uint64_t unreported_drops_ = 0;
    // Shared by both threads.
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<PendingRows> queue_;
    std::vector<std::string> messages_;
    bool stopping_ = false;
    std::atomic<std::uint64_t> dropped_{0}, written_{0}, bytes_{0}, files_{0};
    // Used by the writer thread.
    StoragePolicy policy_;
    StringTable writer_names_;
    std::unique_ptr<FileWriter> file_;
    std::string file_name_;
    Instant file_opened_at_;
    std::uint64_t unreported_disk_losses_ = 0, file_number_ = 0;
    bool unsynced_ = false;
    std::thread thread_;
};

}  // namespace copperfront::trace
