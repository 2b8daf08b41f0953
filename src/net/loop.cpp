#include "net/loop.h"

#include <event2/event.h>
#include <signal.h>
#include <time.h>

#include <algorithm>
#include <new>
#include <utility>

namespace copperfront {
namespace {

std::int64_t read_clock(clockid_t which) {
    timespec at{};
    clock_gettime(which, &at);
    return std::int64_t{at.tv_sec} * 1000000 + at.tv_nsec / 1000;
}

}  // namespace

std::int64_t monotonic_clock_us() { return read_clock(CLOCK_MONOTONIC); }

struct Loop::Signal {
    Loop* loop = nullptr;
    std::function<void()> callback;
    event* handle = nullptr;
    ~Signal() {
        if (handle) event_free(handle);
    }
};

Loop::Loop() : wall_at_start_(read_clock(CLOCK_REALTIME)), monotonic_at_start_(monotonic_clock_us()) {
    // Discards the library's own log lines: writing them would block if nobody reads standard error.
    event_set_log_callback([](int, const char*) {});
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    base_ = event_base_new_with_config(config);
    event_config_free(config);
    if (!base_) throw std::bad_alloc();
    posted_event_ = event_new(base_, -1, 0, run_posted, this);
    signal(SIGPIPE, SIG_IGN);
}

Loop::~Loop() {
    posted_.clear();
    deferred_deletes_.clear();
    adopted_.clear();
    signals_.clear();
    event_free(posted_event_);
    event_base_free(base_);
}

Instant Loop::now() const {
    const std::int64_t monotonic = event_depth_ > 0 ? event_started_at_ : monotonic_clock_us();
    return {wall_at_start_ + (monotonic - monotonic_at_start_)};
}

Loop::Event::Event(Loop& loop, const char* name) : loop_(loop) {
    if (loop.event_depth_++ > 0) return;
    loop.event_started_at_ = monotonic_clock_us();
    loop.event_cpu_started_at_ = read_clock(CLOCK_THREAD_CPUTIME_ID);
    loop.event_name_ = name;
}

Loop::Event::~Event() {
    if (loop_.event_depth_ == 1) loop_.run_after_event();
    if (--loop_.event_depth_ > 0) return;
    const Duration took{monotonic_clock_us() - loop_.event_started_at_};
    LongestEvents& longest = loop_.longest_events_;
    if (took > longest.took) {
        longest.took = took;
        longest.longest = loop_.event_name_;
    }
    // No event uses more CPU time than wall time, so reading the CPU clock, a system call, is skipped here.
    if (took <= longest.cpu) return;
    const Duration cpu{read_clock(CLOCK_THREAD_CPUTIME_ID) - loop_.event_cpu_started_at_};
    if (cpu > longest.cpu) {
        longest.cpu = cpu;
        longest.busiest = loop_.event_name_;
    }
}

// The list may grow during the calls.
void Loop::run_after_event() {
    for (std::size_t n = 0; n < after_event_.size(); ++n) {
        if (after_event_[n] != nullptr) after_event_[n]->on_event_end();
    }
    after_event_.clear();
}

void Loop::remove_after_event(const AfterEvent& handler) {
    std::replace_if(
        after_event_.begin(), after_event_.end(),
        [&handler](const AfterEvent* registered) { return registered == &handler; }, nullptr);
}

Loop::LongestEvents Loop::take_longest_events() { return std::exchange(longest_events_, {}); }

void Loop::run() { event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY); }

void Loop::stop() { event_base_loopbreak(base_); }

void Loop::post(std::function<void()> callback) {
    posted_.push_back(std::move(callback));
    event_active(posted_event_, 0, 0);
}

void Loop::delete_later(std::unique_ptr<DeferredDelete> object) {
    deferred_deletes_.push_back(std::move(object));
    event_active(posted_event_, 0, 0);
}

void Loop::adopt(std::unique_ptr<DeferredDelete> object) { adopted_.push_back(std::move(object)); }

void Loop::delete_later(DeferredDelete* adopted) {
    for (auto it = adopted_.begin(); it != adopted_.end(); ++it) {
        if (it->get() != adopted) continue;
        delete_later(std::move(*it));
        adopted_.erase(it);
        return;
    }
}

bool Loop::delete_oldest_adopted() {
    const auto oldest = std::find_if(adopted_.begin(), adopted_.end(),
                                     [](const auto& object) { return !object->has_unsent_data(); });
    if (oldest == adopted_.end()) return false;
    delete_later(oldest->get());
    return true;
}

void Loop::run_posted(int, short, void* self) {
    Loop& loop = *static_cast<Loop*>(self);
    // Callbacks posted meanwhile wait for the next turn, so that sockets are not starved.
    for (std::size_t n = loop.posted_.size(); n > 0; --n) {
        const auto callback = std::move(loop.posted_.front());
        loop.posted_.pop_front();
        const Event event(loop, "posted");
        callback();
    }
    if (!loop.posted_.empty()) event_active(loop.posted_event_, 0, 0);
    const auto deleted = std::move(loop.deferred_deletes_);
    loop.deferred_deletes_.clear();
}

void Loop::on_signal(int signal, std::function<void()> callback) {
    auto entry = std::make_unique<Signal>();
    entry->loop = this;
    entry->callback = std::move(callback);
    entry->handle = evsignal_new(
        base_, signal,
        [](int, short, void* self) {
            Signal& signal_entry = *static_cast<Signal*>(self);
            const Event event(*signal_entry.loop, "signal");
            signal_entry.callback();
        },
        entry.get());
    event_add(entry->handle, nullptr);
    signals_.push_back(std::move(entry));
}

Timer::Timer(Loop& loop, std::function<void()> callback)
    : loop_(loop), callback_(std::move(callback)), event_(event_new(loop.base(), -1, 0, on_timeout, this)) {}

Timer::~Timer() { event_free(event_); }

void Timer::set(Duration from_now) {
    const std::int64_t us = std::max<std::int64_t>(0, from_now.us);
    const timeval wait{us / 1000000, us % 1000000};
    event_add(event_, &wait);
}

void Timer::cancel() { event_del(event_); }

bool Timer::is_set() const { return event_pending(event_, EV_TIMEOUT, nullptr) != 0; }

void Timer::on_timeout(int, short, void* self) {
    Timer& timer = *static_cast<Timer*>(self);
    const Loop::Event event(timer.loop_, "timer");
    timer.callback_();
}

}  // namespace copperfront
