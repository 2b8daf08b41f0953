// A fake model server on real sockets: the simulation behind the protocol of docs/protocol.md, with faults on
// command and a record of everything that crossed its sockets. Faults are injected here and in the clients,
// never in the gateway.
#pragma once

#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include "fakes/model_server_simulation.h"
#include "net/line_connection.h"
#include "recording/recorder.h"
#include "rpc/wire.h"

namespace copperfront::fake_server {

enum class LoadReportMode { none, inline_, on_probe };

struct FakeModelServerOptions {
    std::string name, zone, cell, listen = "127.0.0.1:0", record;
    std::uint32_t seed = 1;
    LoadReportMode reports = LoadReportMode::none;
    double transfer_tokens_per_s = 300000;  // tokens of a state that are transferred per second
    bool cold = false;                      // starts cold; otherwise it counts as started long ago
};

class FakeModelServer : private ModelServerSimulation::Host {
  public:
    FakeModelServer(Loop& loop, const ModelServerProfile& shape, const FakeModelServerOptions& identity);
    ~FakeModelServer() override;
    Address address() const { return listener_.address(); }
    std::int64_t started_at_ms() const { return started_at_ms_; }
    // Writes the end mark and stops the loop.
    void stop();

  private:
    class Peer;
    class Fetcher;
    struct ActiveCall {
        std::uint64_t peer = 0;
        rpc::Id id;
        rpc::AttemptRequest order;
        bool is_prefill = false;
    };

    Instant now() const override { return loop_.now(); }
    void wake_at(Instant at) override { wake_timer_.set(at - loop_.now()); }
    void prefill_done(JobId job, double cached) override;
    void fetch(JobId job) override;
    void token(JobId job, std::uint64_t number) override;
    void decode_done(JobId job, double tokens, double cached) override;
    void job_rejected(JobId job, const char* why) override;
    void state_missing(JobId job) override;
    void job_expired(JobId job) override;
    void crashed() override;

    void handle_call(Peer& peer, const rpc::Message& m);
    void handle_notice(Peer& peer, const rpc::Message& m);
    void start_job(Peer& peer, const rpc::Message& m, bool is_prefill);
    void remove_peer(Peer& peer);
    bool apply_fault(const rpc::Json& params, std::string& error_text);
    void set_partitioned_zone(const std::string& zone);
    void free_abandoned_states();
    LoadReport load_report_for_answer() const {
        return identity_.reports == LoadReportMode::inline_ ? simulation_.report() : LoadReport{};
    }
    // Sends the answer of a job and forgets the job; a fault may drop the answer.
    void send_answer(JobId job, const std::string& line, const char* how,
                     rpc::Json more = rpc::Json::object());
    rpc::Json job_fields(JobId job) const;
    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    Loop& loop_;
    const ModelServerProfile shape_;
    const FakeModelServerOptions identity_;
    Recorder record_;
    const std::int64_t started_at_ms_;
    ModelServerSimulation simulation_;
    Listener listener_;
    Timer wake_timer_, abandoned_timer_, ageing_timer_;
    std::minstd_rand random_;
    std::uint64_t next_peer_ = 1;
    JobId next_job_ = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<Peer>> peers_;
    std::unordered_map<JobId, ActiveCall> active_calls_;
    std::map<std::string, std::unique_ptr<Fetcher>> fetchers_;
    struct HeldState {
        std::string owner, request;  // owner: name and life of the gateway
        Instant last_seen;
    };
    std::map<std::string, HeldState> held_states_;

    // Active faults.
    double error_share_ = 0, lost_answer_share_ = 0, slowdown_ = 1, ageing_factor_ = 1;
    bool lost_answers_reset_ = false, hung_ = false;
    Duration hello_delay_, ageing_duration_;
    Instant ageing_since_;
    std::string partitioned_zone_;  // the zone that is cut off from all others
};

}  // namespace copperfront::fake_server
