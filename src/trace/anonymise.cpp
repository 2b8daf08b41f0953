#include "trace/anonymise.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <stdexcept>

namespace copperfront::trace {

Anonymiser::Anonymiser(std::string key, const Coarsening& coarsening, StringTable& pool)
    : key_(std::move(key)), coarsening_(coarsening), pool_(pool) {
    if (key_.empty()) throw std::invalid_argument("the key must not be empty");
}

std::uint64_t Anonymiser::keyed_hash(const char* kind, const std::string& value) const {
    // The kind is hashed first; otherwise a session and a group of the same name would share a hash.
    const std::string text = std::string(kind) + '\0' + value;
    unsigned char out[EVP_MAX_MD_SIZE];
    unsigned length = 0;
    if (!HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
              reinterpret_cast<const unsigned char*>(text.data()), text.size(), out, &length) ||
        length < 8)
        throw std::runtime_error("HMAC-SHA256 cannot be computed");
    std::uint64_t v = 0;
    for (int n = 0; n < 8; ++n) v |= static_cast<std::uint64_t>(out[n]) << (8 * n);
    return v;
}

std::int64_t Anonymiser::anonymised_hash(const char* kind, std::int64_t value) {
    if (value == 0) return 0;
    const std::uint64_t v = keyed_hash(kind, std::to_string(static_cast<std::uint64_t>(value)));
    return static_cast<std::int64_t>(v == 0 ? 1 : v);
}

std::int64_t Anonymiser::anonymised_name(const char* kind, std::int64_t code) {
    if (code == 0) return 0;
    const std::string id = std::string(kind) + '\0' + pool_.text(code);
    if (const auto it = names_.find(id); it != names_.end()) return it->second;
    constexpr char kDigits[] = "0123456789abcdef";
    std::string text = std::string(kind) + "-";
    std::uint64_t v = keyed_hash(kind, pool_.text(code));
    for (int n = 0; n < 12; ++n, v >>= 4) text.push_back(kDigits[v & 15]);
    return names_[id] = pool_.code(text);
}

void Anonymiser::anonymise(Row& row) {
    const auto round_up_tokens = [&](std::size_t column) {
        // Rounds up to a multiple; values near the maximum of the type stay as they are.
        if (coarsening_.tokens <= 0 || row[column] <= 0 || row[column] > INT64_MAX - coarsening_.tokens)
            return;
        row[column] = (row[column] + coarsening_.tokens - 1) / coarsening_.tokens * coarsening_.tokens;
    };
    const auto truncate_times = [&](std::initializer_list<std::size_t> columns) {
        if (coarsening_.time_us <= 0) return;
        for (const std::size_t c : columns) {
            const std::int64_t rest = row[c] % coarsening_.time_us;
            row[c] = wrapping_subtract(row[c], rest < 0 ? rest + coarsening_.time_us : rest);
        }
    };
    row[1] = anonymised_name("gateway", row[1]);
    if (row.table == Table::requests) {
        using namespace request_column;
        row[session] = anonymised_hash("session", row[session]);
        row[shared_prefix] = anonymised_hash("beginning", row[shared_prefix]);
        row[group] = anonymised_name("group", row[group]);
        row[route] = anonymised_name("route", row[route]);
        row[category] = anonymised_name("category", row[category]);
        row[prefill_server] = anonymised_name("server", row[prefill_server]);
        row[decode_server] = anonymised_name("server", row[decode_server]);
        for (const std::size_t c : {prompt_tokens, max_output_tokens, answer_tokens, prefill_tokens})
            round_up_tokens(c);
        truncate_times({at, duration, time_budget, latency_goal});
        if (row[first_token] >= 0) truncate_times({first_token});
        if (row[queue_time] >= 0) truncate_times({queue_time});
    } else if (row.table == Table::decisions) {
        using namespace decision_column;
        row[server] = anonymised_name("server", row[server]);
        for (std::int64_t& s : row.lists[0]) s = anonymised_name("server", s);
        truncate_times({at, duration, time_limit});
        if (coarsening_.tokens > 0)
            for (std::int64_t& l : row.lists[1]) l -= l % coarsening_.tokens;
    } else {
        using namespace event_column;
        row[server] = anonymised_name("server", row[server]);
        row[text] = 0;  // free text may contain any name
        truncate_times({at});
    }
}

}  // namespace copperfront::trace
