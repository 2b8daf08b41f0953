// What model servers hold for requests, by the platform's pages: the state that a prefill leaves, and the
// hand-overs that wait for it. Every fake model server plays its part through this one model. It is free of
// clocks; where the marks lie is up to the store, so that fakes in one process and fakes in several follow
// the same rules.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace copperfront::standin {

// Marks that fakes leave for a request. Marks of processes that have died may be left out.
class MarkStore {
  public:
    virtual ~MarkStore() = default;
    virtual void add(const std::string& request, const std::string& mark) = 0;
    // False: there was none.
    virtual bool remove(const std::string& request, const std::string& mark) = 0;
    virtual std::set<std::string> marks(const std::string& request) const = 0;
};

// In one process.
class MemoryMarkStore final : public MarkStore {
  public:
    void add(const std::string& request, const std::string& mark) override;
    bool remove(const std::string& request, const std::string& mark) override;
    std::set<std::string> marks(const std::string& request) const override;
    std::vector<std::string> requests() const;

  private:
    std::map<std::string, std::set<std::string>> marks_;
};

// Files in a folder that several processes share. Attempts have to be named by `attempt_name`, so that those
// of a process that has died can be told.
class FolderMarkStore final : public MarkStore {
  public:
    explicit FolderMarkStore(std::string folder) : folder_(std::move(folder)) {}
    // Of an attempt at this process.
    static std::string attempt_name(std::uint64_t call);
    void add(const std::string& request, const std::string& mark) override;
    bool remove(const std::string& request, const std::string& mark) override;
    std::set<std::string> marks(const std::string& request) const override;

  private:
    std::string folder_of(const std::string& request) const;
    std::string folder_;
};

class HeldStates {
  public:
    explicit HeldStates(MarkStore& store) : store_(store) {}

    // A prefill server has read the prompt. `attempt`: the prefill.
    void prefill_ended(const std::string& request, const std::string& attempt);
    bool is_held(const std::string& request) const;
    // A hand-over has arrived and waits for the state. False: there is none, and it has not run.
    bool hand_over_arrived(const std::string& request, const std::string& attempt);
    // It takes the state. False: the state has gone meanwhile.
    bool fetch(const std::string& request, const std::string& attempt);
    // Answered, turned away, or its connection has ended.
    void attempt_over(const std::string& request, const std::string& attempt);

    enum class ReleaseEffect {
        nothing_held,
        let_go,
        kept,  // an attempt waits for it
    };
    ReleaseEffect release(const std::string& request);

  private:
    bool has_mark(const std::string& request, const std::string& kind) const;
    // False: nothing was held.
    bool drop_states(const std::string& request);

    MarkStore& store_;
};

}  // namespace copperfront::standin
