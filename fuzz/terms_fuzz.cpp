// Reads arbitrary bytes as a terms file: it is rejected with a fault, or accepted and then used. Accepted
// terms must give a route table that agrees with a linear scan, limits that an Admission can enforce, and a
// text of the effective terms.
#include <algorithm>
#include <cstdlib>
#include <random>
#include <string>

#include "limits/admission.h"
#include "terms/terms_file.h"

using namespace copperfront;

namespace {

void require(bool condition) {
    if (!condition) std::abort();
}

void use_terms(const GatewayTerms& terms, std::uint32_t seed) {
    require(!terms.name.empty() && !terms.routes.empty() && !terms.core.kinds.empty() &&
            !terms.core.categories.empty());
    require(!effective_text(terms).empty());
    std::minstd_rand chance(seed | 1);
    std::vector<RouteLimits> limits;
    for (const RouteTerms& r : terms.routes) limits.push_back(r.limits);
    Admission admission(terms.core.gateways, Instant{1});
    admission.change(limits, terms.core.gateways, Instant{1});
    Instant now{1};
    for (int n = 0; n < 50; ++n) {
        RouteRequest request;
        request.category = static_cast<std::uint32_t>(chance() % terms.core.categories.size());
        if (terms.client_groups.size() > 0 && n % 2)
            request.client_group = static_cast<std::uint32_t>(chance() % terms.client_groups.size());
        request.listener = static_cast<std::uint32_t>(chance() % terms.listeners.size());
        for (std::uint32_t a = 0; a < std::min<std::size_t>(4, terms.attributes.size()); ++a)
            if (chance() % 2) request.attributes.push_back(a);
        request.prompt_tokens = static_cast<double>(chance() % 20000);
        const std::uint32_t route = terms.table.find(request);
        require(route == terms.table.scan(request) && route < terms.routes.size());
        now = now + Duration{static_cast<std::int64_t>(chance() % 100000)};
        if (admission.request_arrived(route, request.prompt_tokens, n % 3 == 0, now).why !=
            RejectReason::none)
            continue;
        require(!limits[route].closed);
        admission.stream_began(route, Duration{1000}, now);
        admission.request_ended(route, request.prompt_tokens, true, now);
        require(admission.counts(route).in_flight == 0);
    }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    GatewayTerms terms;
    std::vector<Diagnostic> diagnostics;
    const std::string text(reinterpret_cast<const char*>(data), size);
    if (read_terms(text, {}, terms, diagnostics))
        use_terms(terms, static_cast<std::uint32_t>(size));
    else
        require(!diagnostics.empty());
    for (const Diagnostic& f : diagnostics) require(f.line >= 0 && !f.message.empty());
    return 0;
}
