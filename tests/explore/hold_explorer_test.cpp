// Explores the orders of events around held states: all orders to a bounded depth, and seeded random walks
// far beyond it. Dispatcher, router, send guard, hold ledger and releases are the real ones; servers follow
// the model of the fake servers.
//
// A failure prints its choices. To replay them:
//     EXPLORE_CHOICES="once 1 0,5,2" build/dev/src/node/explore_holds_test
//     --gtest_filter=HoldExplorer.Replay
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <sstream>
#include <stdexcept>
#include <unordered_set>

#include "hold_simulation.h"

namespace copperfront::explore {
namespace {

using Choices = std::vector<std::size_t>;

constexpr std::size_t kMinWalkLength = 5, kMaxWalkLength = 65;
// Number of the first choices, which let time pass. In a walk, half of the steps are drawn from these alone.
constexpr std::size_t kTimeChoices = 4;

struct RequestKind {
    const char* name;
    Effect effect;
};
constexpr RequestKind kRequestKinds[] = {
    {"repeatable", Effect::pure}, {"by_key", Effect::receipted}, {"once", Effect::effectful}};

// Reads a limit from the environment, so that a manual run can go further.
std::size_t limit_from_environment(const char* name, std::size_t default_value) {
    const char* const value = std::getenv(name);
    return value != nullptr ? static_cast<std::size_t>(std::atoll(value)) : default_value;
}

std::string text_of(const RequestKind& kind, std::size_t requests, const Choices& choices) {
    std::ostringstream text;
    text << kind.name << ' ' << requests << ' ';
    for (std::size_t n = 0; n < choices.size(); ++n) text << (n > 0 ? "," : "") << choices[n];
    return text.str();
}

std::string report_of(const RequestKind& kind, std::size_t requests, const Choices& choices,
                      const HoldSimulation& world) {
    return world.finding() + "\nEXPLORE_CHOICES=\"" + text_of(kind, requests, choices) + "\"\n" +
           world.trace();
}

HoldSimulation::Options options_for(const RequestKind& kind, std::size_t requests) {
    HoldSimulation::Options options;
    options.effect = kind.effect;
    options.requests = requests;
    return options;
}

class HoldExplorer : public testing::TestWithParam<RequestKind> {};

void apply(HoldSimulation& world, const Choices& choices) {
    for (const std::size_t choice : choices) {
        world.step([choice](std::size_t) { return choice; });
    }
}

// Returns the number of events that are possible after these choices.
std::size_t count_choices(const RequestKind& kind, const Choices& choices) {
    HoldSimulation world(options_for(kind, 1));
    apply(world, choices);
    std::size_t choice_count = 0;
    world.step([&choice_count](std::size_t count) {
        choice_count = count;
        return std::size_t{0};
    });
    return choice_count;
}

void append_extensions(const RequestKind& kind, const Choices& choices, std::vector<Choices>& extended) {
    const std::size_t choice_count = count_choices(kind, choices);
    for (std::size_t choice = 0; choice < choice_count; ++choice) {
        extended.push_back(choices);
        extended.back().push_back(choice);
    }
}

// Visits every order of the first events, breadth-first, so that the first failure is a shortest one.
TEST_P(HoldExplorer, EveryOrderToABoundedDepth) {
    const RequestKind kind = GetParam();
    const std::size_t depth = limit_from_environment("EXPLORE_DEPTH", 6);
    std::unordered_set<std::size_t> visited_states;
    std::vector<Choices> level{{}};
    std::size_t visited = 0;
    for (std::size_t current_depth = 0; current_depth <= depth; ++current_depth) {
        std::vector<Choices> extended;
        for (const Choices& choices : level) {
            HoldSimulation world(options_for(kind, 1));
            apply(world, choices);
            ++visited;
            if (world.finding().empty() && !visited_states.insert(world.hash()).second) continue;
            world.recover_and_finish();
            ASSERT_EQ(world.finding(), "") << report_of(kind, 1, choices, world);
            if (current_depth < depth) append_extensions(kind, choices, extended);
        }
        level = std::move(extended);
    }
    RecordProperty("visited", static_cast<int>(visited));
    std::printf("%s: depth %zu, %zu orders visited, %zu states\n", kind.name, depth, visited,
                visited_states.size());
}

TEST_P(HoldExplorer, RandomWalks) {
    const RequestKind kind = GetParam();
    const std::size_t walks = limit_from_environment("EXPLORE_WALKS", 20000);
    const std::size_t first = limit_from_environment("EXPLORE_SEED", 1);
    for (std::size_t seed = first; seed < first + walks; ++seed) {
        std::minstd_rand chance(static_cast<std::uint32_t>(seed * 2654435761U));
        const auto below = [&chance](std::size_t count) {
            return std::uniform_int_distribution<std::size_t>(0, count - 1)(chance);
        };
        const std::size_t requests = 1 + below(2);
        HoldSimulation world(options_for(kind, requests));
        Choices choices;
        for (std::size_t n = kMinWalkLength + below(kMaxWalkLength - kMinWalkLength);
             n > 0 && world.finding().empty(); --n) {
            world.step([&](std::size_t count) {
                const std::size_t choice = below(2) == 0 ? below(kTimeChoices) : below(count);
                choices.push_back(choice);
                return choice;
            });
        }
        if (world.finding().empty()) world.recover_and_finish();
        ASSERT_EQ(world.finding(), "")
            << "seed " << seed << ": " << report_of(kind, requests, choices, world);
    }
}

INSTANTIATE_TEST_SUITE_P(Each, HoldExplorer, testing::ValuesIn(kRequestKinds),
                         [](const auto& param) { return std::string(param.param.name); });

TEST(HoldExplorer, Replay) {
    const char* const value = std::getenv("EXPLORE_CHOICES");
    if (value == nullptr) return;
    std::istringstream words(value);
    std::string name, list;
    std::size_t requests = 1;
    words >> name >> requests >> list;
    for (const RequestKind& kind : kRequestKinds) {
        if (name != kind.name) continue;
        HoldSimulation world(options_for(kind, requests));
        std::istringstream numbers(list);
        std::string number;
        while (std::getline(numbers, number, ',')) {
            world.step([&](std::size_t count) {
                const auto choice = static_cast<std::size_t>(std::atoll(number.c_str()));
                if (choice >= count) {
                    throw std::out_of_range("choice out of range: it was recorded with another build");
                }
                return choice;
            });
        }
        if (world.finding().empty()) world.recover_and_finish();
        std::printf("%s\n%s\n", world.trace().c_str(), world.finding().c_str());
    }
}

}  // namespace
}  // namespace copperfront::explore
