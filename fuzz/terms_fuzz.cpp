// Any bytes as a terms file: refused with a fault, or accepted and then played. What is accepted must build a
// route table that agrees with a plain scan, limits that an admission can hold, and a text of what is in
// effect.
#include <algorithm>
#include <cstdlib>
#include <random>
#include <string>

#include "limits/admission.h"
#include "terms/terms_file.h"

using namespace copperfront;

namespace {

void want(bool well) {
    if (!well) std::abort();
}

void play(const GatewayTerms& terms, std::uint32_t seed) {
    want(!terms.name.empty() && !terms.routes.empty() && !terms.core.kinds.empty() &&
         !terms.core.categories.empty());
    want(!effective_text(terms).empty());
    std::minstd_rand chance(seed | 1);
    std::vector<RouteLimits> limits;
    for (const RouteTerms& r : terms.routes) limits.push_back(r.limits);
    Admission admission(terms.core.gateways, Instant{1});
    admission.change(limits, terms.core.gateways, Instant{1});
    Instant now{1};
    for (int n = 0; n < 50; ++n) {
        RouteQuery query;
        query.category = static_cast<std::uint32_t>(chance() % terms.core.categories.size());
        if (terms.client_groups.size() > 0 && n % 2)
            query.client_group = static_cast<std::uint32_t>(chance() % terms.client_groups.size());
        query.listener = static_cast<std::uint32_t>(chance() % terms.listeners.size());
        for (std::uint32_t a = 0; a < std::min<std::size_t>(4, terms.attributes.size()); ++a)
            if (chance() % 2) query.attributes.push_back(a);
        query.prompt_tokens = static_cast<double>(chance() % 20000);
        const std::uint32_t taken = terms.table.find(query);
        want(taken == terms.table.scan(query) && taken < terms.routes.size());
        now = now + Span{static_cast<std::int64_t>(chance() % 100000)};
        if (admission.query_came(taken, query.prompt_tokens, n % 3 == 0, now).why != Refusal::none) continue;
        want(!limits[taken].closed);
        admission.began(taken, Span{1000}, now);
        admission.query_over(taken, query.prompt_tokens, true, now);
        want(admission.counts(taken).in_hand == 0);
    }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    GatewayTerms terms;
    std::vector<Fault> faults;
    const std::string text(reinterpret_cast<const char*>(data), size);
    if (read_terms(text, {}, terms, faults))
        play(terms, static_cast<std::uint32_t>(size));
    else
        want(!faults.empty());
    for (const Fault& f : faults) want(f.line >= 0 && !f.what.empty());
    return 0;
}
