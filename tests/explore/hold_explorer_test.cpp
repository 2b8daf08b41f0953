// Orders of events around what servers hold, explored: all of them to a bounded depth, and seeded random
// walks far beyond it. The desk, rules, guard, ledger and releases are the real ones; servers follow the one
// model of the fakes.
//
// A finding prints its choices. They are told again by
//     EXPLORE_CHOICES="once 1 0,5,2" build/dev/src/node/explore_holds_test
//     --gtest_filter=HoldExplorer.ToldAgain
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <sstream>
#include <stdexcept>
#include <unordered_set>

#include "hold_world.h"

namespace copperfront::explore {
namespace {

using Choices = std::vector<std::size_t>;

constexpr std::size_t kShortestWalk = 5, kLongestWalk = 65;
// In a walk time passes as often as anything else happens; these choices do it.
constexpr std::size_t kTimeSteps = 4;

struct Kind {
    const char* name;
    Effect effect;
};
constexpr Kind kKinds[] = {
    {"repeatable", Effect::pure}, {"by_key", Effect::receipted}, {"once", Effect::effectful}};

// From the environment, so that a run by hand can go further.
std::size_t bound(const char* name, std::size_t usual) {
    const char* const told = std::getenv(name);
    return told != nullptr ? static_cast<std::size_t>(std::atoll(told)) : usual;
}

std::string text_of(const Kind& kind, std::size_t requests, const Choices& choices) {
    std::ostringstream text;
    text << kind.name << ' ' << requests << ' ';
    for (std::size_t n = 0; n < choices.size(); ++n) text << (n > 0 ? "," : "") << choices[n];
    return text.str();
}

std::string report_of(const Kind& kind, std::size_t requests, const Choices& choices,
                      const HoldWorld& world) {
    return world.finding() + "\nEXPLORE_CHOICES=\"" + text_of(kind, requests, choices) + "\"\n" +
           world.trace();
}

HoldWorld::Shape shape_of(const Kind& kind, std::size_t requests) {
    HoldWorld::Shape shape;
    shape.effect = kind.effect;
    shape.requests = requests;
    return shape;
}

class HoldExplorer : public testing::TestWithParam<Kind> {};

void take(HoldWorld& world, const Choices& choices) {
    for (const std::size_t choice : choices) {
        world.step([choice](std::size_t) { return choice; });
    }
}

// In how many ways it goes on after these choices.
std::size_t ways_on(const Kind& kind, const Choices& choices) {
    HoldWorld world(shape_of(kind, 1));
    take(world, choices);
    std::size_t ways = 0;
    world.step([&ways](std::size_t count) {
        ways = count;
        return std::size_t{0};
    });
    return ways;
}

void add_longer(const Kind& kind, const Choices& choices, std::vector<Choices>& longer) {
    const std::size_t ways = ways_on(kind, choices);
    for (std::size_t choice = 0; choice < ways; ++choice) {
        longer.push_back(choices);
        longer.back().push_back(choice);
    }
}

// Every order of the first events, one depth after the other, so that the first finding is the shortest.
TEST_P(HoldExplorer, EveryOrderToABoundedDepth) {
    const Kind kind = GetParam();
    const std::size_t depth = bound("EXPLORE_DEPTH", 6);
    std::unordered_set<std::size_t> seen;
    std::vector<Choices> level{{}};
    std::size_t visited = 0;
    for (std::size_t at = 0; at <= depth; ++at) {
        std::vector<Choices> longer;
        for (const Choices& choices : level) {
            HoldWorld world(shape_of(kind, 1));
            take(world, choices);
            ++visited;
            if (world.finding().empty() && !seen.insert(world.hash()).second) continue;
            world.heal_and_end();
            ASSERT_EQ(world.finding(), "") << report_of(kind, 1, choices, world);
            if (at < depth) add_longer(kind, choices, longer);
        }
        level = std::move(longer);
    }
    RecordProperty("visited", static_cast<int>(visited));
    std::printf("%s: depth %zu, %zu orders visited, %zu states\n", kind.name, depth, visited, seen.size());
}

TEST_P(HoldExplorer, RandomWalks) {
    const Kind kind = GetParam();
    const std::size_t walks = bound("EXPLORE_WALKS", 20000);
    const std::size_t first = bound("EXPLORE_SEED", 1);
    for (std::size_t seed = first; seed < first + walks; ++seed) {
        std::minstd_rand chance(static_cast<std::uint32_t>(seed * 2654435761U));
        const auto below = [&chance](std::size_t count) {
            return std::uniform_int_distribution<std::size_t>(0, count - 1)(chance);
        };
        const std::size_t requests = 1 + below(2);
        HoldWorld world(shape_of(kind, requests));
        Choices choices;
        for (std::size_t n = kShortestWalk + below(kLongestWalk - kShortestWalk);
             n > 0 && world.finding().empty(); --n) {
            world.step([&](std::size_t count) {
                const std::size_t choice = below(2) == 0 ? below(kTimeSteps) : below(count);
                choices.push_back(choice);
                return choice;
            });
        }
        if (world.finding().empty()) world.heal_and_end();
        ASSERT_EQ(world.finding(), "")
            << "seed " << seed << ": " << report_of(kind, requests, choices, world);
    }
}

INSTANTIATE_TEST_SUITE_P(Each, HoldExplorer, testing::ValuesIn(kKinds),
                         [](const auto& param) { return std::string(param.param.name); });

TEST(HoldExplorer, ToldAgain) {
    const char* const told = std::getenv("EXPLORE_CHOICES");
    if (told == nullptr) return;
    std::istringstream words(told);
    std::string name, list;
    std::size_t requests = 1;
    words >> name >> requests >> list;
    for (const Kind& kind : kKinds) {
        if (name != kind.name) continue;
        HoldWorld world(shape_of(kind, requests));
        std::istringstream numbers(list);
        std::string number;
        while (std::getline(numbers, number, ',')) {
            world.step([&](std::size_t count) {
                const auto choice = static_cast<std::size_t>(std::atoll(number.c_str()));
                if (choice >= count) {
                    throw std::out_of_range("no such choice: it was found on another program");
                }
                return choice;
            });
        }
        if (world.finding().empty()) world.heal_and_end();
        std::printf("%s\n%s\n", world.trace().c_str(), world.finding().c_str());
    }
}

}  // namespace
}  // namespace copperfront::explore
