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
    if (const auto* bad = std::get_if<rpc::BadMessage>(&parsed)) {
        require(!bad->text.empty());
        return 0;
    }
    const auto& m = std::get<rpc::Message>(parsed);
    if (fast_result) {
        require(m.sort == rpc::Sort::notice && m.method == rpc::kTokens);
        require(m.body.at("requestId") == fast_result->id && m.body.at("text") == fast_result->text);
    }
    for (const bool is_prefill : {false, true}) {
        const Outcome o = rpc::read_outcome(m, is_prefill);
        require(std::isfinite(o.kept_tokens));
    }
    const LoadReport report = rpc::read_report(m.body);
    require(std::isfinite(report.memory_share) && std::isfinite(report.unread_thousands));
    // A message that is parsed, written and parsed again is the same: nothing is lost on its way to a server.
    if (const auto ask = rpc::read_ask(m.body); std::holds_alternative<rpc::Ask>(ask)) {
        const auto& first = std::get<rpc::Ask>(ask);
        const auto reparsed = rpc::parse(rpc::ask_line(rpc::Id{std::int64_t{1}}, first));
        const auto* reparsed_message = std::get_if<rpc::Message>(&reparsed);
        require(reparsed_message != nullptr);
        const auto second = rpc::read_ask(reparsed_message->body);
        require(std::holds_alternative<rpc::Ask>(second));
        require(std::get<rpc::Ask>(second).category == first.category);
        require(std::get<rpc::Ask>(second).budget == first.budget);
        require(std::get<rpc::Ask>(second).attributes == first.attributes);
    }
    if (const auto order = rpc::read_order(m.body); std::holds_alternative<rpc::Order>(order)) {
        const auto& first = std::get<rpc::Order>(order);
        const auto reparsed = rpc::parse(rpc::order_line(rpc::Id{std::int64_t{1}}, rpc::kWrite, first));
        const auto* reparsed_message = std::get_if<rpc::Message>(&reparsed);
        require(reparsed_message != nullptr);
        const auto second = rpc::read_order(reparsed_message->body);
        require(std::holds_alternative<rpc::Order>(second));
        require(std::get<rpc::Order>(second).query == first.query &&
                std::get<rpc::Order>(second).state == first.state);
    }
    if (const auto news = rpc::read_news(m.body); std::holds_alternative<rpc::RosterNews>(news)) {
        const auto second = rpc::read_news(rpc::news_json(std::get<rpc::RosterNews>(news)));
        require(std::holds_alternative<rpc::RosterNews>(second));
        require(std::get<rpc::RosterNews>(second).entries.size() ==
                std::get<rpc::RosterNews>(news).entries.size());
    }
    rpc::read_hello(m.body);
    return 0;
}
