// Adds the decisions behind a breach from the traces that the gateways kept. The verdict rests on what peers
// recorded; this only adds what the gateway knew and why it acted as it did.
#pragma once

#include <string>

#include "audit/audit.h"

namespace copperfront::audit {

// Adds the explanation of its request to each breach that has one in the traces of this folder, for at most
// `max_per_rule` breaches of each rule. Errors in reading traces are added to the notes of the report.
void add_explanations(Report& report, const std::string& folder, std::size_t max_per_rule = 5);

}  // namespace copperfront::audit
