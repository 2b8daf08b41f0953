#include "trace/json_lines.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace copperfront::trace {
namespace {

using Json = nlohmann::json;

void append_hash(std::int64_t v, std::string& out) {
    char text[16];
    const auto end = std::to_chars(text, text + sizeof text, static_cast<std::uint64_t>(v), 16);
    out += '"';
    out.append(text, end.ptr);
    out += '"';
}

bool read_hash(const Json& v, std::int64_t& out) {
    if (!v.is_string()) return false;
    const auto& text = v.get_ref<const std::string&>();
    std::uint64_t hash = 0;
    const auto end = std::from_chars(text.data(), text.data() + text.size(), hash, 16);
    out = static_cast<std::int64_t>(hash);
    return !text.empty() && end.ec == std::errc() && end.ptr == text.data() + text.size();
}

bool read_number(const Json& v, std::int64_t& out) {
    if (!v.is_number_integer()) return false;
    if (v.is_number_unsigned() && v.get<std::uint64_t>() > INT64_MAX) return false;
    out = v.get<std::int64_t>();
    return true;
}

}  // namespace

const std::string& JsonLines::quoted(std::int64_t code) {
    const auto n = static_cast<std::size_t>(code);
    if (quoted_.size() <= n) quoted_.resize(std::max(n + 1, pool_.size()));
    if (quoted_[n].empty())
        quoted_[n] = Json(pool_.text(code)).dump(-1, ' ', false, Json::error_handler_t::replace);
    return quoted_[n];
}

void JsonLines::append(const Row& row, std::string& out) {
    out += "{\"table\":\"";
    out += name_of(row.table);
    out += '"';
    const auto columns = columns_of(row.table);
    std::size_t list = 0;
    for (std::size_t c = 0; c < columns.size(); ++c) {
        const Column& column = columns[c];
        const bool is_list_column = is_list(column.encoding);
        const std::vector<std::int64_t>* values = is_list_column ? &row.lists[list++] : nullptr;
        if (is_list_column ? values->empty() : row[c] == 0) continue;
        out += ",\"";
        out += column.name;
        out += "\":";
        if (is_list_column) {
            out += '[';
            for (std::size_t n = 0; n < values->size(); ++n) {
                if (n > 0) out += ',';
                out += is_name(column.encoding) ? quoted((*values)[n]) : std::to_string((*values)[n]);
            }
            out += ']';
        } else if (column.encoding == Encoding::hash) {
            append_hash(row[c], out);
        } else {
            out += is_name(column.encoding) ? quoted(row[c]) : std::to_string(row[c]);
        }
    }
    out += '}';
}

bool JsonLines::read(std::string_view line, Row& row, std::string& why) {
    const Json all = Json::parse(line, nullptr, false);
    if (all.is_discarded() || !all.is_object()) {
        why = "expected a JSON object";
        return false;
    }
    const auto table = all.find("table");
    row = Row();
    bool known = false;
    for (const Table t : kTables)
        if (table != all.end() && table->is_string() && table->get_ref<const std::string&>() == name_of(t)) {
            row.table = t;
            known = true;
        }
    if (!known) {
        why = "table: expected \"queries\", \"decisions\" or \"events\"";
        return false;
    }
    const auto columns = columns_of(row.table);
    for (const auto& [key, value] : all.items()) {
        if (key == "table") continue;
        std::size_t c = 0;
        while (c < columns.size() && key != columns[c].name) ++c;
        if (c == columns.size()) {
            why = key + ": no such column of " + name_of(row.table);
            return false;
        }
        const Encoding encoding = columns[c].encoding;
        const char* expected = nullptr;
        const auto read_value = [&](const Json& v, std::int64_t& to) {
            if (is_name(encoding)) {
                if (!v.is_string()) return expected = "a text", false;
                to = pool_.code(v.get_ref<const std::string&>());
                return true;
            }
            if (encoding == Encoding::hash)
                return read_hash(v, to) || (expected = "a mark in hexadecimal, as a text", false);
            return read_number(v, to) || (expected = "a whole number of 64 bits", false);
        };
        if (!is_list(encoding)) {
            read_value(value, row[c]);
        } else if (!value.is_array()) {
            expected = "a list";
        } else {
            auto& list = row.lists[Batch::list_index(row.table, c)];
            for (const Json& v : value) {
                list.push_back(0);
                if (!read_value(v, list.back())) break;
            }
        }
        if (expected) {
            why = key + ": expected " + expected;
            return false;
        }
    }
    return true;
}

}  // namespace copperfront::trace
