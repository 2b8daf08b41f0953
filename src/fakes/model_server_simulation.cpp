#include "fakes/model_server_simulation.h"

#include <algorithm>
#include <cmath>

namespace copperfront::fake_server {
namespace {

constexpr double kCachedTokenCost = 0.1;  // share of its cost that a cached token still costs
constexpr double kOverloadSlackJobs = 4;  // tolerance for random bursts, in jobs of mean size

Duration ms(double x) { return {static_cast<std::int64_t>(x * 1000)}; }
double seconds(Duration s) { return static_cast<double>(s.us) / 1e6; }

}  // namespace

ModelServerSimulation::ModelServerSimulation(const ModelServerProfile& shape, Host& host, Instant started_at)
    : shape_(shape), host_(host), started_at_(started_at) {}

double ModelServerSimulation::speed() const {
    const Duration age = host_.now() - started_at_;
    if (shape_.warm_up_time.us <= 0 || age >= shape_.warm_up_time) return 1;
    return shape_.cold_speed_share + (1 - shape_.cold_speed_share) * (age / shape_.warm_up_time);
}

// All work that reaches a cold server counts, rejected work included.
bool ModelServerSimulation::crashes_under(double work) {
    if (shape_.overload_multiple <= 0 || shape_.warm_up_time.us <= 0 ||
        host_.now() - started_at_ >= shape_.warm_up_time)
        return false;
    const Instant now = host_.now();
    recent_work_.emplace_back(now, work);
    recent_work_total_ += work;
    while (!recent_work_.empty() && now - recent_work_.front().first > shape_.overload_window) {
        recent_work_total_ -= recent_work_.front().second;
        recent_work_.pop_front();
    }
    // The work that it could do in this window at its present speed: a little more than it really could.
    const double budget =
        shape_.overload_multiple * shape_.capacity() * speed() * seconds(shape_.overload_window);
    const double mean = recent_work_total_ / static_cast<double>(recent_work_.size());
    if (recent_work_total_ <= budget + kOverloadSlackJobs * mean) return false;
    has_crashed_ = true;
    host_.crashed();
    return true;
}

double ModelServerSimulation::cached_prefix_tokens(const Job& job) const {
    double cached = 0;
    if (const auto it = prefix_positions_.find("s/" + job.session);
        !job.session.empty() && it != prefix_positions_.end())
        cached = it->second->second;
    if (const auto it = prefix_positions_.find("b/" + job.shared_prefix);
        !job.shared_prefix.empty() && it != prefix_positions_.end())
        cached = std::max(cached, std::min(it->second->second, job.shared_prefix_tokens));
    return std::min(cached, job.prompt_tokens);
}

void ModelServerSimulation::cache_prefix(const std::string& name, double tokens) {
    if (const auto it = prefix_positions_.find(name); it != prefix_positions_.end()) {
        cached_prefix_tokens_ -= it->second->second;
        cached_prefixes_.erase(it->second);
        prefix_positions_.erase(it);
    }
    cached_prefixes_.emplace_front(name, tokens);
    prefix_positions_[name] = cached_prefixes_.begin();
    cached_prefix_tokens_ += tokens;
    while (cached_prefix_tokens_ > shape_.cache_capacity_tokens && !cached_prefixes_.empty()) {
        cached_prefix_tokens_ -= cached_prefixes_.back().second;
        prefix_positions_.erase(cached_prefixes_.back().first);
        cached_prefixes_.pop_back();
    }
}

void ModelServerSimulation::cache_prefixes(const Job& job) {
    if (!job.session.empty()) cache_prefix("s/" + job.session, job.prompt_tokens);
    if (!job.shared_prefix.empty()) cache_prefix("b/" + job.shared_prefix, job.shared_prefix_tokens);
}

void ModelServerSimulation::clear_prefix_cache() {
    cached_prefixes_.clear();
    prefix_positions_.clear();
    cached_prefix_tokens_ = 0;
}

void ModelServerSimulation::prefill_arrived(JobId id, const Job& job) {
    if (!admit(id, job, job.prompt_tokens)) return;
    start_prefills();
    schedule_wakeup();
}

void ModelServerSimulation::decode_arrived(JobId id, const Job& job) {
    if (!admit(id, job, job.answer_tokens)) return;
    start_decodes();
    schedule_wakeup();
}

bool ModelServerSimulation::admit(JobId id, const Job& job, double work) {
    if (has_crashed_ || crashes_under(work)) return false;
    if (jobs_.size() >= shape_.slots + shape_.queue_capacity) {
        host_.job_rejected(id, "queue full");
        return false;
    }
    ActiveJob& active = jobs_[id];
    active.job = job;
    active.arrived_at = host_.now();
    queue_.push_back(id);
    return true;
}

void ModelServerSimulation::start_prefills() {
    const Instant now = host_.now();
    while (prefilling_job_ == 0 && !queue_.empty()) {
        const JobId id = queue_.front();
        ActiveJob& active = jobs_.at(id);
        if (active.job.limit.us > 0 && now - active.arrived_at >= active.job.limit) {
            drop(id);
            host_.job_expired(id);
            continue;
        }
        // States that wait to be fetched occupy memory: no further prefill starts until some are gone.
        if (memory_held_ + active.job.prompt_tokens > shape_.memory_tokens && memory_held_ > 0) return;
        queue_.pop_front();
        active.stage = Stage::prefilling;
        active.cached = cached_prefix_tokens(active.job);
        memory_held_ += active.job.prompt_tokens;
        const double tokens = active.job.prompt_tokens - active.cached * (1 - kCachedTokenCost);
        prefilling_job_ = id;
        prefill_done_at_ =
            now + ms(shape_.step_ms + tokens / shape_.prefill_tokens_per_s * 1000 * slowdown_ / speed());
    }
}

void ModelServerSimulation::start_decodes() {
    const Instant now = host_.now();
    while (!queue_.empty() && streams_.size() + fetching_count_ < shape_.slots) {
        const JobId id = queue_.front();
        ActiveJob& active = jobs_.at(id);
        if (active.job.limit.us > 0 && now - active.arrived_at >= active.job.limit) {
            drop(id);
            host_.job_expired(id);
            continue;
        }
        const double need = active.job.prompt_tokens + active.job.answer_tokens;
        if (memory_held_ + need > shape_.memory_tokens && memory_held_ > 0) return;
        queue_.pop_front();
        memory_held_ += need;
        active.stage = Stage::fetching;
        ++fetching_count_;
        if (!active.job.state.empty()) {
            host_.fetch(id);
        } else {
            // The server prefills the prompt itself, which takes time before the stream joins the steps.
            active.ready_at =
                now + ms(active.job.prompt_tokens / shape_.prefill_tokens_per_s * 1000 * slowdown_ / speed());
            state_fetched(id);
        }
    }
}

void ModelServerSimulation::state_fetched(JobId id) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second.stage != Stage::fetching) return;
    --fetching_count_;
    it->second.stage = Stage::decoding;
    streams_.push_back(id);
    if (!stepping_) {
        stepping_ = true;
        next_step_ = host_.now() + ms(step_ms());
    }
    schedule_wakeup();
}

void ModelServerSimulation::state_fetch_failed(JobId id) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second.stage != Stage::fetching) return;
    drop(id);
    host_.state_missing(id);
    start_decodes();
    schedule_wakeup();
}

double ModelServerSimulation::step_ms() const {
    return (shape_.step_ms + shape_.step_ms_per_stream * static_cast<double>(streams_.size())) * slowdown_ /
           speed();
}

// Produces one token for each stream. A stream ends with its last token.
void ModelServerSimulation::step() {
    const std::vector<JobId> running = streams_;
    for (const JobId id : running) {
        const auto it = jobs_.find(id);
        if (it == jobs_.end() || it->second.ready_at > host_.now()) continue;
        ActiveJob& active = it->second;
        host_.token(id, active.decoded_tokens++);
        if (static_cast<double>(active.decoded_tokens) < active.job.answer_tokens) continue;
        const double tokens = static_cast<double>(active.decoded_tokens), cached = active.cached;
        drop(id);
        host_.decode_done(id, tokens, cached);
    }
    start_decodes();
    stepping_ = !streams_.empty();
    if (stepping_) next_step_ = host_.now() + ms(step_ms());
}

void ModelServerSimulation::drop(JobId id) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) return;
    const ActiveJob& active = it->second;
    if (active.stage == Stage::waiting) std::erase(queue_, id);
    if (active.stage == Stage::prefilling) memory_held_ -= active.job.prompt_tokens;
    if (active.stage == Stage::fetching || active.stage == Stage::decoding)
        memory_held_ -= active.job.prompt_tokens + active.job.answer_tokens;
    if (active.stage == Stage::fetching) --fetching_count_;
    std::erase(streams_, id);
    if (prefilling_job_ == id) prefilling_job_ = 0;
    jobs_.erase(it);
}

void ModelServerSimulation::cancelled(JobId id) {
    drop(id);
    if (shape_.role == Role::prefill)
        start_prefills();
    else
        start_decodes();
    schedule_wakeup();
}

bool ModelServerSimulation::free_state(const std::string& state) {
    const auto it = states_.find(state);
    if (it == states_.end()) return false;
    memory_held_ -= it->second;
    states_.erase(it);
    start_prefills();
    schedule_wakeup();
    return true;
}

double ModelServerSimulation::state_tokens(const std::string& state) const {
    const auto it = states_.find(state);
    return it == states_.end() ? 0 : it->second;
}

void ModelServerSimulation::run_due_work() {
    const Instant now = host_.now();
    if (prefilling_job_ != 0 && now >= prefill_done_at_) {
        const JobId id = prefilling_job_;
        const ActiveJob active = jobs_.at(id);
        prefilling_job_ = 0;
        jobs_.erase(id);
        cache_prefixes(active.job);
        // The state now occupies the memory that the prefill used.
        states_[active.job.state] = active.job.prompt_tokens;
        host_.prefill_done(id, active.cached);
        start_prefills();
    }
    if (stepping_ && now >= next_step_) step();
    schedule_wakeup();
}

void ModelServerSimulation::schedule_wakeup() {
    if (prefilling_job_ != 0 && (!stepping_ || prefill_done_at_ < next_step_))
        host_.wake_at(prefill_done_at_);
    else if (stepping_)
        host_.wake_at(next_step_);
}

LoadReport ModelServerSimulation::report() const {
    double queued_tokens = 0;
    if (shape_.role == Role::prefill)
        for (const auto& [id, active] : jobs_) queued_tokens += active.job.prompt_tokens;
    return {std::min(1.0, memory_held_ / shape_.memory_tokens), queued_tokens / 1000};
}

}  // namespace copperfront::fake_server
