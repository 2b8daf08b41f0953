// Simulates a model server: a prefill server processes prompts in order of arrival and holds their states; a
// decode server produces answers in steps that all running streams share. Slots, queue and memory are
// bounded, a process that has just started is slow, and one that is overloaded while cold crashes. Free of
// I/O and clocks.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/router.h"

namespace copperfront::fake_server {

struct ModelServerProfile {
    Role role = Role::prefill;
    std::size_t slots = 8, queue_capacity = 40;
    double memory_tokens = 200000;
    double cache_capacity_tokens = 150000;  // of cached prefixes; the oldest are evicted first
    double prefill_tokens_per_s = 20000;    // prompt tokens
    double step_ms = 12;                    // a decode step with one stream
    double step_ms_per_stream = 0.2;
    double cold_speed_share = 0.3;  // share of its full speed at the start, which rises linearly to 1
    Duration warm_up_time;          // 0: warm from the start
    double overload_multiple = 0;   // crashes past this multiple of what it can do; 0: never
    Duration overload_window;

    // Work per second when warm: prompt tokens prefilled, or answer tokens decoded.
    double capacity() const {
        return role == Role::prefill ? prefill_tokens_per_s
                                     : 1000.0 * static_cast<double>(slots) /
                                           (step_ms + step_ms_per_stream * static_cast<double>(slots));
    }
};

using JobId = std::uint64_t;

struct Job {
    std::string session, shared_prefix, state;
    double prompt_tokens = 0, shared_prefix_tokens = 0, answer_tokens = 0;
    Duration limit;  // 0: none
};

class ModelServerSimulation {
  public:
    class Host {
      public:
        virtual ~Host() = default;
        virtual Instant now() const = 0;
        virtual void wake_at(Instant at) = 0;
        virtual void prefill_done(JobId job, double cached) = 0;
        virtual void fetch(JobId job) = 0;  // state_fetched() or state_fetch_failed() follows
        virtual void token(JobId job, std::uint64_t number) = 0;
        virtual void decode_done(JobId job, double tokens, double cached) = 0;
        virtual void job_rejected(JobId job, const char* why) = 0;
        virtual void state_missing(JobId job) = 0;
        virtual void job_expired(JobId job) = 0;
        virtual void crashed() = 0;
    };

    ModelServerSimulation(const ModelServerProfile& shape, Host& host, Instant started_at);

    void prefill_arrived(JobId id, const Job& job);
    // Decodes from a state that is to be fetched, or from the prompt where there is no state.
    void decode_arrived(JobId id, const Job& job);
    void state_fetched(JobId id);
    void state_fetch_failed(JobId id);
    void cancelled(JobId id);
    // A held state. False: there is none.
    bool holds_state(const std::string& state) const { return states_.count(state) != 0; }
    bool free_state(const std::string& state);
    void run_due_work();

    // Faults.
    void set_slowdown(double factor) { slowdown_ = factor; }
    void clear_prefix_cache();

    LoadReport report() const;
    double state_tokens(const std::string& state) const;
    double speed() const;  // present share of its full speed
    std::size_t job_count() const { return jobs_.size(); }

  private:
    enum class Stage { waiting, prefilling, fetching, decoding };
    struct ActiveJob {
        Job job;
        Stage stage = Stage::waiting;
        double cached = 0;
        std::uint64_t decoded_tokens = 0;
        Instant arrived_at, ready_at;
    };
    bool admit(JobId id, const Job& job, double work);
    bool crashes_under(double work);
    double cached_prefix_tokens(const Job& job) const;
    void cache_prefixes(const Job& job);
    void cache_prefix(const std::string& name, double tokens);
    void start_prefills();
    void start_decodes();
    void step();
    double step_ms() const;
    void schedule_wakeup();
    void drop(JobId id);

    const ModelServerProfile shape_;
    Host& host_;
    const Instant started_at_;
    double slowdown_ = 1;
    std::map<JobId, ActiveJob> jobs_;
    std::deque<JobId> queue_;
    JobId prefilling_job_ = 0;  // job whose prompt is being prefilled; 0: none
    Instant prefill_done_at_;
    std::vector<JobId> streams_;
    std::size_t fetching_count_ = 0;
    Instant next_step_;
    bool stepping_ = false, has_crashed_ = false;
    double memory_held_ = 0;
    std::unordered_map<std::string, double> states_;
    std::list<std::pair<std::string, double>> cached_prefixes_;  // most recently used first
    std::unordered_map<std::string, std::list<std::pair<std::string, double>>::iterator> prefix_positions_;
    double cached_prefix_tokens_ = 0;
    std::deque<std::pair<Instant, double>> recent_work_;
    double recent_work_total_ = 0;
};

}  // namespace copperfront::fake_server
