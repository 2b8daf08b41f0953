#include "sexpr/schema.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <sstream>

namespace copperfront {
namespace {

std::vector<std::string> split(const char* words) {
    std::vector<std::string> out;
    std::istringstream in(words);
    for (std::string word; in >> word;) out.push_back(word);
    return out;
}

std::string joined(const std::vector<std::string>& words) {
    std::string out;
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (i > 0) out += i + 1 == words.size() ? " or " : ", ";
        out += words[i];
    }
    return out;
}

std::string figure(double x) {
    char buffer[32];
    const auto end = std::to_chars(buffer, buffer + sizeof buffer, x).ptr;
    return std::string(buffer, end);
}

bool read_number(std::string_view text, double& number) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() && std::isfinite(number);
}

struct Unit {
    const char* name;
    double ms;
};
constexpr Unit kUnits[] = {{"us", 0.001}, {"ms", 1}, {"s", 1000}, {"min", 60000}, {"h", 3600000}};

// A span as it is written: 250ms, 1.5s. The unit is never left out, or 250 would be a guess.
bool read_span(std::string_view text, double& ms) {
    std::size_t digits = 0;
    while (digits < text.size() &&
           (std::isdigit(static_cast<unsigned char>(text[digits])) || text[digits] == '.'))
        ++digits;
    for (const Unit& unit : kUnits)
        if (text.substr(digits) == unit.name && read_number(text.substr(0, digits), ms)) {
            ms *= unit.ms;
            return true;
        }
    return false;
}

std::string range(const Key& key) {
    if (key.type == Type::span) return figure(key.least) + "ms to " + figure(key.most) + "ms";
    return figure(key.least) + " to " + figure(key.most);
}

std::string expected(const Key& key) {
    switch (key.type) {
        case Type::text:
            return "text";
        case Type::texts:
            return "one or more texts";
        case Type::whole:
            return "a whole number, " + range(key);
        case Type::number:
            return "a number, " + range(key);
        case Type::span:
            return "a time with its unit (us, ms, s, min, h), " + range(key);
        case Type::flag:
            return "yes or no";
        case Type::choice:
            return joined(split(key.choices));
    }
    return "";
}

// Empty where the atoms fit the key.
std::string read_value(const Key& key, const std::vector<std::string>& atoms, Value& value) {
    const std::string& atom = atoms.front();
    const std::string found = ", found " + atom;
    if (key.type == Type::texts) {
        value.texts = atoms;
        return {};
    }
    if (atoms.size() != 1)
        return "expected one value, " + expected(key) + ", found " + std::to_string(atoms.size());
    switch (key.type) {
        case Type::text:
        case Type::texts:
            value.text = atom;
            return {};
        case Type::flag:
            value.flag = atom == "yes";
            return atom == "yes" || atom == "no" ? "" : "expected " + expected(key) + found;
        case Type::choice: {
            value.text = atom;
            const auto choices = split(key.choices);
            return std::find(choices.begin(), choices.end(), atom) != choices.end()
                       ? ""
                       : "expected " + expected(key) + found;
        }
        case Type::span:
            if (!read_span(atom, value.number) || value.number < key.least || value.number > key.most)
                return "expected " + expected(key) + found;
            value.span = {std::llround(value.number * 1000)};
            return {};
        case Type::whole:
        case Type::number:
            if (!read_number(atom, value.number) || value.number < key.least || value.number > key.most ||
                (key.type == Type::whole && value.number != std::floor(value.number))) {
                // All faults are told at once, so the rest is looked at with a figure that can be.
                value.number = value.number > key.most ? key.most : key.least;
                return "expected " + expected(key) + found;
            }
            return {};
    }
    return {};
}

const FormKind* find_form(const Schema& schema, const std::string& name) {
    for (const FormKind& kind : schema.forms)
        if (name == kind.name) return &kind;
    return nullptr;
}

const Key* find_key(const Schema& schema, const std::string& form, const std::string& name) {
    for (const Key& key : schema.keys)
        if (form == key.form && name == key.key) return &key;
    return nullptr;
}

std::string did_you_mean(const std::string& name, const std::vector<std::string>& known) {
    const std::string near = nearest(name, known);
    return near.empty() ? "; known are " + joined(known) : "; did you mean " + near + "?";
}

void fill_fallbacks(Sheet& sheet, const Schema& schema, std::vector<Fault>* faults) {
    for (const Key& key : schema.keys) {
        if (sheet.form != key.form || sheet.values.count(key.key)) continue;
        Value value;
        value.line = sheet.line;
        if (key.fallback == nullptr) {
            sheet.bad = true;
            if (faults)
                faults->push_back(
                    {sheet.line, sheet.path() + " / " + key.key, "is missing; expected " + expected(key)});
        } else if (*key.fallback != '\0') {
            read_value(key, {key.fallback}, value);
        }
        sheet.values.emplace(key.key, std::move(value));
    }
}

}  // namespace

std::vector<Sheet> read_sheets(const Form& file, const Schema& schema, std::vector<Fault>& faults) {
    std::vector<Sheet> sheets;
    std::vector<std::string> form_names;
    for (const FormKind& kind : schema.forms) form_names.emplace_back(kind.name);
    std::map<std::string, int> seen;  // forms that may stand once, and names, by their first line

    for (std::size_t i = 1; i < file.items.size(); ++i) {
        const Form& form = file.items[i];
        if (form.head().empty()) {
            faults.push_back(
                {form.line, "",
                 "expected a form (" + joined(form_names) + "), found " + (form.is_list ? "()" : form.atom)});
            continue;
        }
        const FormKind* kind = find_form(schema, form.head());
        if (!kind) {
            faults.push_back(
                {form.line, form.head(), "unknown form" + did_you_mean(form.head(), form_names)});
            continue;
        }
        Sheet sheet;
        sheet.form = kind->name;
        sheet.line = form.line;
        std::size_t at = 1;
        if (kind->named) {
            if (form.items.size() < 2 || form.items[1].is_list || form.items[1].atom.empty()) {
                faults.push_back(
                    {form.line, sheet.form, "expected a name first, as in (" + sheet.form + " \"a\" ...)"});
            } else {
                sheet.name = form.items[1].atom;
                at = 2;
            }
        }
        const std::string once = kind->named ? " " + sheet.name : kind->many ? " " + std::to_string(i) : "";
        const auto [first, fresh] = seen.emplace(sheet.form + (kind->many ? once : ""), form.line);
        if (!fresh)
            faults.push_back(
                {form.line, sheet.path(), "stands twice, first on line " + std::to_string(first->second)});
        std::vector<std::string> key_names;
        for (const Key& key : schema.keys)
            if (sheet.form == key.form) key_names.emplace_back(key.key);
        for (; at < form.items.size(); ++at) {
            const Form& item = form.items[at];
            const std::string name = item.head();
            if (name.empty()) {
                faults.push_back({item.line, sheet.path(),
                                  "expected (KEY VALUE), found " +
                                      (item.is_list ? std::string("a list without a key") : item.atom)});
                continue;
            }
            const std::string path = sheet.path() + " / " + name;
            const Key* key = find_key(schema, sheet.form, name);
            if (!key) {
                faults.push_back({item.line, path, "unknown key" + did_you_mean(name, key_names)});
                continue;
            }
            if (const auto old = sheet.values.find(name); old != sheet.values.end()) {
                faults.push_back(
                    {item.line, path, "stands twice, first on line " + std::to_string(old->second.line)});
                continue;
            }
            Value value;
            value.line = item.line;
            value.given = true;
            std::vector<std::string> atoms;
            bool nested = false;
            for (std::size_t v = 1; v < item.items.size(); ++v) {
                nested |= item.items[v].is_list;
                atoms.push_back(item.items[v].atom);
                value.written += (v > 1 ? " " : "") + item.items[v].atom;
            }
            std::string trouble;
            if (nested || atoms.empty())
                trouble = "expected " + expected(*key) + (nested ? ", found a form" : ", found nothing");
            else
                trouble = read_value(*key, atoms, value);
            sheet.bad |= !trouble.empty();
            if (!trouble.empty()) faults.push_back({item.line, path, trouble});
            sheet.values.emplace(name, std::move(value));
        }
        fill_fallbacks(sheet, schema, &faults);
        sheets.push_back(std::move(sheet));
    }
    for (const FormKind& kind : schema.forms) {
        const bool there =
            std::any_of(sheets.begin(), sheets.end(), [&](const Sheet& s) { return s.form == kind.name; });
        if (there) continue;
        if (kind.needed) faults.push_back({file.line, kind.name, "this form is missing"});
        if (kind.many || kind.named) continue;
        Sheet sheet;
        sheet.form = kind.name;
        sheet.line = file.line;
        fill_fallbacks(sheet, schema, kind.needed ? nullptr : &faults);
        sheets.push_back(std::move(sheet));
    }
    return sheets;
}

const Sheet& only(const std::vector<Sheet>& sheets, const char* form) { return *all(sheets, form).at(0); }

std::vector<const Sheet*> all(const std::vector<Sheet>& sheets, const char* form) {
    std::vector<const Sheet*> out;
    for (const Sheet& sheet : sheets)
        if (sheet.form == form) out.push_back(&sheet);
    return out;
}

std::string describe(const Schema& schema) {
    std::string out;
    for (const FormKind& kind : schema.forms) {
        out +=
            "## `(" + std::string(kind.name) + (kind.named ? " \"name\"" : "") + " ...)`\n\n" + kind.meaning;
        out += std::string(kind.needed ? " Needed" : " May be left out") +
               (kind.many ? "; may stand more than once.\n" : ".\n");
        bool head = false;
        for (const Key& key : schema.keys) {
            if (std::strcmp(key.form, kind.name) != 0) continue;
            if (!head) out += "\n| key | value | default | meaning |\n| --- | --- | --- | --- |\n";
            head = true;
            std::string value = expected(key);
            if ((key.type == Type::whole || key.type == Type::number) && *key.choices)
                value += std::string(" (") + key.choices + ")";
            out += "| `" + std::string(key.key) + "` | " + value + " | " +
                   (key.fallback == nullptr ? "must be given"
                    : *key.fallback         ? "`" + std::string(key.fallback) + "`"
                                            : "none") +
                   " | " + key.meaning + " |\n";
        }
        out += "\n";
    }
    return out;
}

}  // namespace copperfront
