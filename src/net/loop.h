// Single-threaded event loop: time, timers, signals, and work deferred until the current callback has
// returned.
#pragma once

#include <concepts>
#include <deque>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/units.h"

struct event;
struct event_base;

namespace copperfront {

// Base of objects that a running callback may still use: their deletion is deferred.
struct DeferredDelete {
    virtual ~DeferredDelete() = default;
    // Returns whether deleting the object now would lose data that a peer still waits for.
    virtual bool has_unsent_data() const { return false; }
};

class Loop : public Clock {
  public:
    Loop();
    ~Loop() override;
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    // Microseconds since 1970: the wall clock read once at start, advanced by the monotonic clock. It never
    // goes back, and is close enough to other machines' clocks to be compared with the start time of a
    // server. It is read once per event; outside of events, at each call.
    Instant now() const override;

    // Scope of one callback of the loop. Every callback from the system creates one.
    class Event {
      public:
        // `name` identifies the kind of callback in logs; the string is not copied.
        Event(Loop& loop, const char* name);
        ~Event();
        Event(const Event&) = delete;
        Event& operator=(const Event&) = delete;

      private:
        Loop& loop_;
    };
    // Called once at the end of the current event, before the loop waits again, and counted as part of the
    // event.
    class AfterEvent {
      public:
        virtual void on_event_end() = 0;

      protected:
        ~AfterEvent() = default;
    };
    bool in_event() const { return event_depth_ > 0; }
    void after_event(AfterEvent& handler) { after_event_.push_back(&handler); }
    void remove_after_event(const AfterEvent& handler);

    // Of all events since the last call: the one that took longest, during which the system may have paused
    // the process, and the one that used the most CPU time, which is work of the process itself.
    struct LongestEvents {
        Duration took;
        const char* longest = "";
        Duration cpu;
        const char* busiest = "";
    };
    LongestEvents take_longest_events();
    // Gives the current event a more specific name.
    void name_event(const char* name) { event_name_ = name; }

    void run();
    void stop();

    // Runs callbacks in order after the current callback, before the loop waits again.
    void post(std::function<void()> callback);
    // Deletes the object after the current callback.
    void delete_later(std::unique_ptr<DeferredDelete> object);
    // The same for objects not derived from DeferredDelete, such as an owner that is called by its own
    // stream.
    template <class Object>
    requires(!std::derived_from<Object, DeferredDelete>) void delete_later(std::unique_ptr<Object> object) {
        struct Holder : DeferredDelete {
            std::unique_ptr<Object> object;
        };
        auto holder = std::make_unique<Holder>();
        holder->object = std::move(object);
        delete_later(std::unique_ptr<DeferredDelete>(std::move(holder)));
    }
    // Takes over an object that has no other owner any more. It is kept until delete_later is called with its
    // address or the loop ends.
    void adopt(std::unique_ptr<DeferredDelete> object);
    void delete_later(DeferredDelete* adopted);
    std::size_t adopted() const { return adopted_.size(); }
    // Deletes the oldest adopted object without unsent data, to make room. Returns false if there is none.
    bool delete_oldest_adopted();
    void on_signal(int signal, std::function<void()> callback);

    event_base* base() const { return base_; }

  private:
    static void run_posted(int, short, void* self);
    void run_after_event();

    event_base* base_;
    event* posted_event_;
    std::deque<std::function<void()>> posted_;
    std::vector<std::unique_ptr<DeferredDelete>> deferred_deletes_, adopted_;
    struct Signal;
    std::vector<std::unique_ptr<Signal>> signals_;
    std::int64_t wall_at_start_, monotonic_at_start_;
    int event_depth_ = 0;
    std::vector<AfterEvent*> after_event_;  // null: removed
    const char* event_name_ = "";
    std::int64_t event_started_at_ = 0;      // monotonic clock
    std::int64_t event_cpu_started_at_ = 0;  // CPU clock of this thread
    LongestEvents longest_events_;
};

// A one-shot timer that can be set again and cancelled. Not set initially and after it has fired.
class Timer {
  public:
    Timer(Loop& loop, std::function<void()> callback);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    void set(Duration from_now);
    void cancel();
    bool is_set() const;

  private:
    static void on_timeout(int, short, void* self);
    Loop& loop_;
    std::function<void()> callback_;
    event* event_;
};

// CLOCK_MONOTONIC in microseconds: the same for all processes of one machine, so that their records can be
// joined.
std::int64_t monotonic_clock_us();

}  // namespace copperfront
