// A gateway's trace: rows are taken on the loop's thread without ever waiting, and packed and written on one
// of their own. What the disk does not keep up with is dropped, counted, and told in the trace itself.
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
    // Files are `folder`/`name`-`life`-NNNNNN.cft; `origin` is name.life. The disk must outlive the recorder.
    Recorder(Disk& disk, const KeepingTerms& terms, std::string folder, std::string name, std::string life,
             std::string zone, Instant now);
    // Writes what waits, and closes the file.
    ~Recorder();
    Recorder(const Recorder&) = delete;
    Recorder& operator=(const Recorder&) = delete;

    // All of these on one thread, which is the loop's.
    std::int64_t code(const std::string& text) { return pool_.code(text); }
    std::int64_t origin() const { return origin_; }
    void add(const Row& row, Instant now);
    // Hands over what has waited long enough; wanted every `hand_over`.
    void tick(Instant now);
    // To be logged: the disk has begun to fail, or does well again.
    std::vector<std::string> news();

    std::uint64_t dropped() const { return dropped_.load(); }
    std::uint64_t written() const { return written_.load(); }
    std::uint64_t bytes() const { return bytes_.load(); }
    // Files of this run, for tests.
    std::uint64_t files() const { return files_.load(); }

  private:
    struct Package {
        std::vector<Batch> batches;
        std::vector<std::string> names;  // that are new since the package before
        std::uint64_t dropped = 0;       // rows that went lost before it
        Instant at;
    };
    void hand_over(Instant now, bool last);
    void write_on();
    void write(Package& package);
    bool open(Instant now, std::string& why);
    void close();
    void lose(const Package& package, const std::string& why, Instant now);

    Disk& disk_;
    const std::string folder_, name_, life_, zone_;
    // The loop's.
    Pool pool_;
    std::size_t told_names_ = 1;
    std::int64_t origin_;
    std::vector<Batch> batches_;
    Instant waits_since_;
    std::uint64_t lost_ = 0;
    // Between the two.
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<Package> queue_;
    std::vector<std::string> news_;
    bool stop_ = false;
    std::atomic<std::uint64_t> dropped_{0}, written_{0}, bytes_{0}, files_{0};
    // The thread's.
    Keeping keeping_;
    Pool names_;
    std::unique_ptr<FileWriter> file_;
    std::string file_name_;
    Instant file_began_;
    std::uint64_t lost_on_disk_ = 0, number_ = 0;
    bool unsynced_ = false;
    std::thread thread_;
};

}  // namespace copperfront::trace
