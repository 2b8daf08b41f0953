// Any bytes as a line of JSON-RPC, from a caller or from an engine: refused with a reason, or read into
// figures that are finite and within what the wire allows. The quick way to read a token must agree with the
// full one.
#include <cmath>
#include <cstdlib>
#include <string>

#include "rpc/message.h"
#include "rpc/wire.h"

using namespace copperfront;

namespace {

void want(bool well) {
    if (!well) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string line(reinterpret_cast<const char*>(data), size);
    auto parsed = rpc::parse(line);
    const auto quick = rpc::plain_tokens(line);
    if (const auto* bad = std::get_if<rpc::BadMessage>(&parsed)) {
        want(!bad->text.empty());
        return 0;
    }
    const auto& m = std::get<rpc::Message>(parsed);
    if (quick) {
        want(m.sort == rpc::Sort::notice && m.method == rpc::kTokens);
        want(m.body.at("requestId") == quick->id && m.body.at("text") == quick->text);
    }
    for (const bool reading : {false, true}) {
        const Outcome o = rpc::read_outcome(m, reading);
        want(std::isfinite(o.kept_tokens));
    }
    const LoadReport report = rpc::read_report(m.body);
    want(std::isfinite(report.memory_share) && std::isfinite(report.unread_thousands));
    // What is read of a message, written again, reads the same: nothing is lost on its way to an engine.
    if (const auto ask = rpc::read_ask(m.body); std::holds_alternative<rpc::Ask>(ask)) {
        const auto& first = std::get<rpc::Ask>(ask);
        const auto again = rpc::parse(rpc::ask_line(rpc::Id{std::int64_t{1}}, first));
        const auto* carried = std::get_if<rpc::Message>(&again);
        want(carried != nullptr);
        const auto second = rpc::read_ask(carried->body);
        want(std::holds_alternative<rpc::Ask>(second));
        want(std::get<rpc::Ask>(second).category == first.category);
        want(std::get<rpc::Ask>(second).budget == first.budget);
        want(std::get<rpc::Ask>(second).attributes == first.attributes);
    }
    if (const auto order = rpc::read_order(m.body); std::holds_alternative<rpc::Order>(order)) {
        const auto& first = std::get<rpc::Order>(order);
        const auto again = rpc::parse(rpc::order_line(rpc::Id{std::int64_t{1}}, rpc::kWrite, first));
        const auto* carried = std::get_if<rpc::Message>(&again);
        want(carried != nullptr);
        const auto second = rpc::read_order(carried->body);
        want(std::holds_alternative<rpc::Order>(second));
        want(std::get<rpc::Order>(second).query == first.query &&
             std::get<rpc::Order>(second).state == first.state);
    }
    if (const auto news = rpc::read_news(m.body); std::holds_alternative<rpc::RosterNews>(news)) {
        const auto second = rpc::read_news(rpc::news_json(std::get<rpc::RosterNews>(news)));
        want(std::holds_alternative<rpc::RosterNews>(second));
        want(std::get<rpc::RosterNews>(second).entries.size() ==
             std::get<rpc::RosterNews>(news).entries.size());
    }
    rpc::read_hello(m.body);
    return 0;
}
