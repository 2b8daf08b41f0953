// Parses arbitrary bytes as a JSON-RPC line from a client or a server: it is rejected with a reason, or its
// numbers are finite and within the limits of the protocol. The fast parser for tokens must agree with the
// full one.
#include <cmath>
#include <cstdlib>
#include <string>

#include "rpc/message.h"
#include "rpc/wire.h"

using namespace copperfront;

namespace {

void require(bool condition) {
    if (!condition) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string line(reinterpret_cast<const char*>(data), size);
    auto parsed = rpc::parse(line);
    const auto fast_result = rpc::plain_tokens(line);
    if (const auto* bad = std::get_if<rpc::InvalidMessage>(&parsed)) {
        require(!bad->text.empty());
        return 0;
    }
    const auto& m = std::get<rpc::Message>(parsed);
    if (fast_result) {
        require(m.kind == rpc::MessageKind::notification && m.method == rpc::kTokens);
        require(m.body.at("requestId") == fast_result->id && m.body.at("text") == fast_result->text);
    }
    for (const bool is_prefill : {false, true}) {
        const AttemptOutcome o = rpc::read_outcome(m, is_prefill);
        require(std::isfinite(o.cached_tokens));
    }
    const LoadReport report = rpc::read_load_report(m.body);
    require(std::isfinite(report.memory_share) && std::isfinite(report.queued_kilotokens));
    // A message that is parsed, written and parsed again is the same: nothing is lost on its way to a server.
    if (const auto request = rpc::read_generate_request(m.body);
        std::holds_alternative<rpc::GenerateRequest>(request)) {
        const auto& first = std::get<rpc::GenerateRequest>(request);
        const auto reparsed = rpc::parse(rpc::generate_request_line(rpc::Id{std::int64_t{1}}, first));
        const auto* reparsed_message = std::get_if<rpc::Message>(&reparsed);
        require(reparsed_message != nullptr);
        const auto second = rpc::read_generate_request(reparsed_message->body);
        require(std::holds_alternative<rpc::GenerateRequest>(second));
        require(std::get<rpc::GenerateRequest>(second).category == first.category);
        require(std::get<rpc::GenerateRequest>(second).time_budget == first.time_budget);
        require(std::get<rpc::GenerateRequest>(second).attributes == first.attributes);
    }
    if (const auto attempt_request = rpc::read_attempt_request(m.body);
        std::holds_alternative<rpc::AttemptRequest>(attempt_request)) {
        const auto& first = std::get<rpc::AttemptRequest>(attempt_request);
        const auto reparsed =
            rpc::parse(rpc::attempt_request_line(rpc::Id{std::int64_t{1}}, rpc::kDecode, first));
        const auto* reparsed_message = std::get_if<rpc::Message>(&reparsed);
        require(reparsed_message != nullptr);
        const auto second = rpc::read_attempt_request(reparsed_message->body);
        require(std::holds_alternative<rpc::AttemptRequest>(second));
        require(std::get<rpc::AttemptRequest>(second).query == first.query &&
                std::get<rpc::AttemptRequest>(second).state == first.state);
    }
    if (const auto update = rpc::read_roster_update(m.body);
        std::holds_alternative<rpc::RosterUpdate>(update)) {
        const auto second =
            rpc::read_roster_update(rpc::roster_update_json(std::get<rpc::RosterUpdate>(update)));
        require(std::holds_alternative<rpc::RosterUpdate>(second));
        require(std::get<rpc::RosterUpdate>(second).entries.size() ==
                std::get<rpc::RosterUpdate>(update).entries.size());
    }
    rpc::read_hello(m.body);
    return 0;
}
