// What model servers hold for requests, by the platform's documentation: the state that a prefill leaves, and
// the hand-overs that wait for it. Every fake model server uses this one model. It uses no clock; the store
// decides where markers are kept, so that fake servers in one process and in several processes follow the
// same rules.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace copperfront::fake_server {

// Markers that fake servers leave for a request. Markers of dead processes may be left out.
class MarkerStore {
  public:
    virtual ~MarkerStore() = default;
    virtual void add(const std::string& request, const std::string& marker) = 0;
    // False: there was none.
    virtual bool remove(const std::string& request, const std::string& marker) = 0;
    virtual std::set<std::string> markers(const std::string& request) const = 0;
};

// Keeps markers in one process.
class MemoryMarkerStore final : public MarkerStore {
  public:
    void add(const std::string& request, const std::string& marker) override;
    bool remove(const std::string& request, const std::string& marker) override;
    std::set<std::string> markers(const std::string& request) const override;
    std::vector<std::string> requests() const;

  private:
    std::map<std::string, std::set<std::string>> markers_;
};

// Keeps markers as files in a folder that several processes share. Attempts have to be named by
// `attempt_name`, so that those of a dead process can be recognized.
class FolderMarkerStore final : public MarkerStore {
  public:
    explicit FolderMarkerStore(std::string folder) : folder_(std::move(folder)) {}
    // The name of an attempt at this process.
    static std::string attempt_name(std::uint64_t call);
    void add(const std::string& request, const std::string& marker) override;
    bool remove(const std::string& request, const std::string& marker) override;
    std::set<std::string> markers(const std::string& request) const override;

  private:
    std::string folder_of(const std::string& request) const;
    std::string folder_;
};

class HeldStates {
  public:
    explicit HeldStates(MarkerStore& store) : store_(store) {}

    // A prefill server has processed the prompt. `attempt`: the prefill.
    void prefill_ended(const std::string& request, const std::string& attempt);
    bool is_held(const std::string& request) const;
    // A hand-over has arrived and waits for the state. False: there is none, and the hand-over has not run.
    bool hand_over_arrived(const std::string& request, const std::string& attempt);
    // The hand-over takes the state. False: the state is gone by now.
    bool fetch(const std::string& request, const std::string& attempt);
    // Answered, rejected, or its connection has ended.
    void attempt_ended(const std::string& request, const std::string& attempt);

    enum class ReleaseEffect {
        nothing_held,
        released,
        kept,  // an attempt waits for the state
    };
    ReleaseEffect release(const std::string& request);

  private:
    bool has_marker(const std::string& request, const std::string& kind) const;
    // False: nothing was held.
    bool drop_states(const std::string& request);

    MarkerStore& store_;
};

}  // namespace copperfront::fake_server
