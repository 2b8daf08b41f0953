// The route of a request follows the documented precedence, and the index agrees with the linear scan.
#include <rapidcheck.h>

#include <algorithm>
#include <cassert>

#include "routes/route_table.h"

using namespace copperfront;

namespace {

void the_most_specific_route_is_taken() {
    std::vector<RouteMatch> routes(6);
    routes[1].category = 1;
    routes[2].client_group = 2;
    routes[3].category = 1;
    routes[3].client_group = 2;
    routes[4].category = 1;
    routes[4].min_prompt_tokens = 1000;
    routes[5].attributes = {7};
    const RouteTable table(routes);
    RouteRequest request;
    assert(table.find(request) == 0);
    request.category = 1;
    assert(table.find(request) == 1);
    request.attributes = {7};
    assert(table.find(request) == 1);  // category takes precedence over attribute
    request.client_group = 2;
    assert(table.find(request) == 3);
    request.client_group = kAny;
    request.prompt_tokens = 1000;
    assert(table.find(request) == 4);
    request.prompt_tokens = 999;
    assert((table.all_matches(request) == std::vector<std::uint32_t>{1, 5, 0}));
    request.category = kAny;
    request.attributes = {};
    assert(RouteTable(std::vector<RouteMatch>(routes.begin() + 1, routes.end())).find(request) == kAny);
}

void index_and_scan_agree_on_the_order() {
    const auto any_match = [] {
        RouteMatch match;
        const auto any = [](int limit) {
            const int n = *rc::gen::inRange(0, limit);
            return n == 0 ? kAny : static_cast<std::uint32_t>(n);
        };
        match.category = any(4);
        match.client_group = any(4);
        match.listener = any(3);
        for (std::uint32_t attribute = 1; attribute < 5; ++attribute)
            if (*rc::gen::inRange(0, 4) == 0) match.attributes.push_back(attribute);
        if (*rc::gen::arbitrary<bool>()) match.min_prompt_tokens = *rc::gen::inRange(0, 50);
        if (*rc::gen::arbitrary<bool>())
            match.prompt_limit_tokens = match.min_prompt_tokens + *rc::gen::inRange(1, 50);
        return match;
    };
    assert(rc::check("index and scan agree", [&] {
        std::vector<RouteMatch> routes;
        const int count = *rc::gen::inRange(0, 60);
        for (int n = 0; n < count; ++n) routes.push_back(any_match());
        const RouteTable table(routes);
        for (int n = 0; n < 20; ++n) {
            RouteRequest request;
            request.category = static_cast<std::uint32_t>(*rc::gen::inRange(1, 5));
            request.client_group =
                *rc::gen::arbitrary<bool>() ? kAny : static_cast<std::uint32_t>(*rc::gen::inRange(1, 5));
            request.listener = static_cast<std::uint32_t>(*rc::gen::inRange(1, 3));
            for (std::uint32_t attribute = 1; attribute < 5; ++attribute)
                if (*rc::gen::arbitrary<bool>()) request.attributes.push_back(attribute);
            request.prompt_tokens = *rc::gen::inRange(0, 100);
            const std::uint32_t found = table.find(request);
            RC_ASSERT(found == table.scan(request));
            const auto all = table.all_matches(request);
            RC_ASSERT(found == (all.empty() ? kAny : all.front()));
            // No matching route takes precedence over the one found.
            for (const std::uint32_t other : all) {
                if (other == found) continue;
                const bool other_precedes = other < found ? takes_precedence(routes[other], routes[found])
                                                          : !takes_precedence(routes[found], routes[other]);
                RC_ASSERT(!other_precedes);
            }
        }
    }));
}

}  // namespace

int main() {
    the_most_specific_route_is_taken();
    index_and_scan_agree_on_the_order();
}
