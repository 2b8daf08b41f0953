// One thread's event loop: time, timers, signals and what is to be done once the present callback is over.
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

// Whatever may be in use by a callback that is still running is buried, not deleted.
struct Buried {
    virtual ~Buried() = default;
    // Whether something would be lost that others still wait for, were it gone now.
    virtual bool is_owed() const { return false; }
};

class Loop : public Clock {
  public:
    Loop();
    ~Loop() override;
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    // Microseconds since 1970, read once at start and carried on by the steady clock, so that it never goes
    // back and is near enough to other machines' clocks to compare the start of a server with. Within an
    // event it is read once; outside of one, at each call.
    Instant now() const override;

    // One callback of the loop, from its begin to its end. Whatever the system calls back holds one.
    class Event {
      public:
        // `what`: names the kind of callback in logs; it stays where it is.
        Event(Loop& loop, const char* what);
        ~Event();
        Event(const Event&) = delete;
        Event& operator=(const Event&) = delete;

      private:
        Loop& loop_;
    };
    // Called once at the end of the present event, before the loop waits again, and within the event's time.
    class AfterEvent {
      public:
        virtual void event_over() = 0;

      protected:
        ~AfterEvent() = default;
    };
    bool in_event() const { return event_depth_ > 0; }
    void after_event(AfterEvent& who) { after_event_.push_back(&who); }
    void forget(const AfterEvent& who);

    // Of all events since the last call: the one that took longest, in which the system may have held the
    // process up, and the one that used most CPU time, which is work of the process itself.
    struct LongestEvents {
        Span took;
        const char* longest = "";
        Span cpu;
        const char* busiest = "";
    };
    LongestEvents take_longest_events();
    // The present event is named more closely.
    void name_event(const char* what) { event_name_ = what; }

    void run();
    void stop();

    // Done in order after the present callback, before the loop waits again.
    void post(std::function<void()> what);
    // Deleted after the present callback.
    void bury(std::unique_ptr<Buried> what);
    // The same for what is no Buried itself, such as an owner that its own stream calls.
    template <class What>
    requires(!std::derived_from<What, Buried>) void bury(std::unique_ptr<What> what) {
        struct Grave : Buried {
            std::unique_ptr<What> held;
        };
        auto grave = std::make_unique<Grave>();
        grave->held = std::move(what);
        bury(std::unique_ptr<Buried>(std::move(grave)));
    }
    // Kept until it is buried by its address, or until the loop ends: for what has no other owner any more.
    void adopt(std::unique_ptr<Buried> what);
    void bury(Buried* adopted);
    std::size_t adopted() const { return adopted_.size(); }
    // The one that has been kept for longest and owes nothing goes now, to make room. False: there is none.
    bool bury_oldest_adopted();
    void on_signal(int signal, std::function<void()> what);

    event_base* base() const { return base_; }

  private:
    static void run_posted(int, short, void* self);
    void run_after_event();

    event_base* base_;
    event* posted_event_;
    std::deque<std::function<void()>> posted_;
    std::vector<std::unique_ptr<Buried>> graves_, adopted_;
    struct Signal;
    std::vector<std::unique_ptr<Signal>> signals_;
    std::int64_t wall_at_start_, steady_at_start_;
    int event_depth_ = 0;
    std::vector<AfterEvent*> after_event_;  // null: forgotten
    const char* event_name_ = "";
    std::int64_t event_began_ = 0;      // on the steady clock
    std::int64_t event_cpu_began_ = 0;  // of this thread
    LongestEvents longest_events_;
};

// A timer that can be set again and called off; off at first and once it has rung.
class Timer {
  public:
    Timer(Loop& loop, std::function<void()> what);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    void set(Span from_now);
    void off();
    bool is_set() const;

  private:
    static void ring(int, short, void* self);
    Loop& loop_;
    std::function<void()> what_;
    event* event_;
};

// CLOCK_MONOTONIC in microseconds: the same for all processes of one machine, for records to be joined by.
std::int64_t machine_clock_us();

}  // namespace copperfront
