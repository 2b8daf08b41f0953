// Judges a soak run against the platform's invariants, only from the records of clients and servers.
#pragma once

#include <string>
#include <vector>

#include "soak/records.h"

namespace copperfront::soak {

struct JudgeOptions {
    Microseconds release_within = 1000000;
    Microseconds repeat_window =
        2000000;  // time in which servers recognize a repeat of a deduplicated request
};

struct Finding {
    std::string rule, request, what;
};

struct Judgement {
    std::vector<Finding> findings;
    std::size_t requests = 0, completed = 0, rejected = 0, failed = 0, left = 0;
    Microseconds longest_held = 0;
    std::int64_t peak_resident_kb = 0;  // of the gateway that had most
    bool passed() const { return findings.empty(); }
    std::string text() const;
};

Judgement judge(const Records& records, const JudgeOptions& options);

}  // namespace copperfront::soak
