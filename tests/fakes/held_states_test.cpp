// Tests the model of the states that model servers hold, with both of its stores.
#include "fakes/held_states.h"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>

namespace copperfront::fake_server {
namespace {

using Effect = HeldStates::ReleaseEffect;

struct Folder {
    std::string path =
        std::filesystem::temp_directory_path().string() + "/held-states-" + std::to_string(getpid());
    Folder() { std::filesystem::create_directories(path); }
    ~Folder() { std::filesystem::remove_all(path); }
};

class HeldStatesIn : public testing::TestWithParam<const char*> {
  protected:
    MarkerStore& store() {
        return std::string(GetParam()) == "memory" ? static_cast<MarkerStore&>(memory_) : folder_store_;
    }
    Folder folder_;
    MemoryMarkerStore memory_;
    FolderMarkerStore folder_store_{folder_.path};
    HeldStates states_{store()};
    const std::string prefill_ = FolderMarkerStore::attempt_name(0);
    const std::string attempt_ = FolderMarkerStore::attempt_name(1),
                      other_ = FolderMarkerStore::attempt_name(2);
};

TEST_P(HeldStatesIn, ReleaseFreesAStateThatNoAttemptWaitsFor) {
    EXPECT_EQ(states_.release("q"), Effect::nothing_held);
    states_.prefill_ended("q", prefill_);
    EXPECT_EQ(states_.release("q"), Effect::released);
    EXPECT_FALSE(states_.is_held("q"));
}

TEST_P(HeldStatesIn, ReleaseKeepsAStateThatAnAttemptWaitsFor) {
    states_.prefill_ended("q", prefill_);
    EXPECT_TRUE(states_.hand_over_arrived("q", attempt_));
    EXPECT_TRUE(states_.hand_over_arrived("q", other_));
    EXPECT_EQ(states_.release("q"), Effect::kept);
    states_.attempt_ended("q", attempt_);
    EXPECT_EQ(states_.release("q"), Effect::kept);
    states_.attempt_ended("q", other_);
    EXPECT_EQ(states_.release("q"), Effect::released);
}

TEST_P(HeldStatesIn, OneHandOverTakesTheState) {
    EXPECT_FALSE(states_.hand_over_arrived("q", attempt_));
    states_.prefill_ended("q", prefill_);
    EXPECT_TRUE(states_.hand_over_arrived("q", attempt_));
    EXPECT_TRUE(states_.fetch("q", attempt_));
    EXPECT_FALSE(states_.fetch("q", other_));
    EXPECT_EQ(states_.release("q"), Effect::nothing_held);
}

TEST_P(HeldStatesIn, RequestsAreIndependent) {
    states_.prefill_ended("q", prefill_);
    states_.prefill_ended("r", prefill_);
    states_.hand_over_arrived("q", attempt_);
    EXPECT_EQ(states_.release("r"), Effect::released);
    EXPECT_TRUE(states_.is_held("q"));
}

INSTANTIATE_TEST_SUITE_P(Each, HeldStatesIn, testing::Values("memory", "folder"),
                         [](const auto& param) { return std::string(param.param); });

// An attempt at a process that has died.
std::string attempt_of_dead_process() {
    const pid_t child = fork();
    if (child == 0) _exit(0);
    waitpid(child, nullptr, 0);
    return std::to_string(child) + ".1";
}

// A wait of a process that has died does not hold up a release.
TEST(HeldStates, AttemptsOfADeadProcessDoNotWait) {
    const Folder folder;
    FolderMarkerStore store(folder.path);
    HeldStates states(store);
    states.prefill_ended("q", FolderMarkerStore::attempt_name(1));
    states.hand_over_arrived("q", attempt_of_dead_process());
    EXPECT_EQ(states.release("q"), Effect::released);
}

// The states of a process that has died are gone: a hand-over that arrives for one is rejected.
TEST(HeldStates, StatesOfADeadProcessAreGone) {
    const Folder folder;
    FolderMarkerStore store(folder.path);
    HeldStates states(store);
    states.prefill_ended("q", attempt_of_dead_process());
    EXPECT_FALSE(states.is_held("q"));
    EXPECT_FALSE(states.hand_over_arrived("q", FolderMarkerStore::attempt_name(1)));
}

// Two prefills of one request may each have left a state.
TEST(HeldStates, AllStatesOfARequestAreReleasedTogether) {
    MemoryMarkerStore store;
    HeldStates states(store);
    states.prefill_ended("q", "1");
    states.prefill_ended("q", "2");
    EXPECT_EQ(states.release("q"), Effect::released);
    EXPECT_FALSE(states.is_held("q"));
}

}  // namespace
}  // namespace copperfront::fake_server
