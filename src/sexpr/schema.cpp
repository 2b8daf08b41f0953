#include "sexpr/schema.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <sstream>

namespace copperfront {
namespace {

std::vector<std::string> split_words(const char* words) {
    std::vector<std::string> out;
    std::istringstream in(words);
    for (std::string word; in >> word;) out.push_back(word);
    return out;
}

std::string join_alternatives(const std::vector<std::string>& words) {
    std::string out;
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (i > 0) out += i + 1 == words.size() ? " or " : ", ";
        out += words[i];
    }
    return out;
}

std::string format_number(double x) {
    char buffer[32];
    const auto end = std::to_chars(buffer, buffer + sizeof buffer, x).ptr;
    return std::string(buffer, end);
}

bool parse_number(std::string_view text, double& number) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() && std::isfinite(number);
}

struct Unit {
    const char* name;
    double ms;
};
constexpr Unit kUnits[] = {{"us", 0.001}, {"ms", 1}, {"s", 1000}, {"min", 60000}, {"h", 3600000}};

// Parses a duration such as 250ms or 1.5s. The unit is required, as a bare 250 would be ambiguous.
bool parse_duration(std::string_view text, double& ms) {
    std::size_t digits = 0;
    while (digits < text.size() &&
           (std::isdigit(static_cast<unsigned char>(text[digits])) || text[digits] == '.'))
        ++digits;
    for (const Unit& unit : kUnits)
        if (text.substr(digits) == unit.name && parse_number(text.substr(0, digits), ms)) {
            ms *= unit.ms;
            return true;
        }
    return false;
}

std::string range(const KeySpec& key) {
    if (key.type == ValueType::duration)
        return format_number(key.min) + "ms to " + format_number(key.max) + "ms";
    return format_number(key.min) + " to " + format_number(key.max);
}

std::string describe_expected(const KeySpec& key) {
    switch (key.type) {
        case ValueType::string:
            return "text";
        case ValueType::strings:
            return "one or more texts";
        case ValueType::integer:
            return "a whole number, " + range(key);
        case ValueType::number:
            return "a number, " + range(key);
        case ValueType::duration:
            return "a time with its unit (us, ms, s, min, h), " + range(key);
        case ValueType::flag:
            return "yes or no";
        case ValueType::choice:
            return join_alternatives(split_words(key.choices));
    }
    return "";
}

// Parses the atoms of a key. Returns an empty string on success, else the error.
std::string parse_value(const KeySpec& key, const std::vector<std::string>& atoms, Value& value) {
    const std::string& atom = atoms.front();
    const std::string found = ", found " + atom;
    if (key.type == ValueType::strings) {
        value.strings = atoms;
        return {};
    }
    if (atoms.size() != 1)
        return "expected one value, " + describe_expected(key) + ", found " + std::to_string(atoms.size());
    switch (key.type) {
        case ValueType::string:
        case ValueType::strings:
            value.text = atom;
            return {};
        case ValueType::flag:
            value.flag = atom == "yes";
            return atom == "yes" || atom == "no" ? "" : "expected " + describe_expected(key) + found;
        case ValueType::choice: {
            value.text = atom;
            const auto choices = split_words(key.choices);
            return std::find(choices.begin(), choices.end(), atom) != choices.end()
                       ? ""
                       : "expected " + describe_expected(key) + found;
        }
        case ValueType::duration:
            if (!parse_duration(atom, value.number) || value.number < key.min || value.number > key.max)
                return "expected " + describe_expected(key) + found;
            value.duration = {std::llround(value.number * 1000)};
            return {};
        case ValueType::integer:
        case ValueType::number:
            if (!parse_number(atom, value.number) || value.number < key.min || value.number > key.max ||
                (key.type == ValueType::integer && value.number != std::floor(value.number))) {
                // All errors of a file are reported at once, so the remaining checks go on with a valid
                // number.
                value.number = value.number > key.max ? key.max : key.min;
                return "expected " + describe_expected(key) + found;
            }
            return {};
    }
    return {};
}

const FormSpec* find_form_spec(const Schema& schema, const std::string& name) {
    for (const FormSpec& kind : schema.forms)
        if (name == kind.name) return &kind;
    return nullptr;
}

const KeySpec* find_key_spec(const Schema& schema, const std::string& form, const std::string& name) {
    for (const KeySpec& key : schema.keys)
        if (form == key.form && name == key.key) return &key;
    return nullptr;
}

std::string suggestion(const std::string& name, const std::vector<std::string>& known) {
    const std::string candidate = nearest(name, known);
    return candidate.empty() ? "; known are " + join_alternatives(known)
                             : "; did you mean " + candidate + "?";
}

void fill_defaults(ParsedForm& parsed_form, const Schema& schema, std::vector<Diagnostic>* diagnostics) {
    for (const KeySpec& key : schema.keys) {
        if (parsed_form.form != key.form || parsed_form.values.count(key.key)) continue;
        Value value;
        value.line = parsed_form.line;
        if (key.default_value == nullptr) {
            parsed_form.invalid = true;
            if (diagnostics)
                diagnostics->push_back({parsed_form.line, parsed_form.path() + " / " + key.key,
                                        "is missing; expected " + describe_expected(key)});
        } else if (*key.default_value != '\0') {
            parse_value(key, {key.default_value}, value);
        }
        parsed_form.values.emplace(key.key, std::move(value));
    }
}

}  // namespace

std::vector<ParsedForm> read_parsed_forms(const Form& file, const Schema& schema,
                                          std::vector<Diagnostic>& diagnostics) {
    std::vector<ParsedForm> forms;
    std::vector<std::string> form_names;
    for (const FormSpec& kind : schema.forms) form_names.emplace_back(kind.name);
    std::map<std::string, int> first_lines;  // first line of each non-repeatable form and of each name

    for (std::size_t i = 1; i < file.items.size(); ++i) {
        const Form& form = file.items[i];
        if (form.head().empty()) {
            diagnostics.push_back({form.line, "",
                                   "expected a form (" + join_alternatives(form_names) + "), found " +
                                       (form.is_list ? "()" : form.atom)});
            continue;
        }
        const FormSpec* kind = find_form_spec(schema, form.head());
        if (!kind) {
            diagnostics.push_back(
                {form.line, form.head(), "unknown form" + suggestion(form.head(), form_names)});
            continue;
        }
        ParsedForm parsed_form;
        parsed_form.form = kind->name;
        parsed_form.line = form.line;
        std::size_t at = 1;
        if (kind->named) {
            if (form.items.size() < 2 || form.items[1].is_list || form.items[1].atom.empty()) {
                diagnostics.push_back({form.line, parsed_form.form,
                                       "expected a name first, as in (" + parsed_form.form + " \"a\" ...)"});
            } else {
                parsed_form.name = form.items[1].atom;
                at = 2;
            }
        }
        const std::string suffix = kind->named        ? " " + parsed_form.name
                                   : kind->repeatable ? " " + std::to_string(i)
                                                      : "";
        const auto [first, inserted] =
            first_lines.emplace(parsed_form.form + (kind->repeatable ? suffix : ""), form.line);
        if (!inserted)
            diagnostics.push_back({form.line, parsed_form.path(),
                                   "stands twice, first on line " + std::to_string(first->second)});
        std::vector<std::string> key_names;
        for (const KeySpec& key : schema.keys)
            if (parsed_form.form == key.form) key_names.emplace_back(key.key);
        for (; at < form.items.size(); ++at) {
            const Form& item = form.items[at];
            const std::string name = item.head();
            if (name.empty()) {
                diagnostics.push_back({item.line, parsed_form.path(),
                                       "expected (KEY VALUE), found " +
                                           (item.is_list ? std::string("a list without a key") : item.atom)});
                continue;
            }
            const std::string path = parsed_form.path() + " / " + name;
            const KeySpec* key = find_key_spec(schema, parsed_form.form, name);
            if (!key) {
                diagnostics.push_back({item.line, path, "unknown key" + suggestion(name, key_names)});
                continue;
            }
            if (const auto earlier = parsed_form.values.find(name); earlier != parsed_form.values.end()) {
                diagnostics.push_back(
                    {item.line, path, "stands twice, first on line " + std::to_string(earlier->second.line)});
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
                value.source_text += (v > 1 ? " " : "") + item.items[v].atom;
            }
            std::string problem;
            if (nested || atoms.empty())
                problem =
                    "expected " + describe_expected(*key) + (nested ? ", found a form" : ", found nothing");
            else
                problem = parse_value(*key, atoms, value);
            parsed_form.invalid |= !problem.empty();
            if (!problem.empty()) diagnostics.push_back({item.line, path, problem});
            parsed_form.values.emplace(name, std::move(value));
        }
        fill_defaults(parsed_form, schema, &diagnostics);
        forms.push_back(std::move(parsed_form));
    }
    for (const FormSpec& kind : schema.forms) {
        const bool present =
            std::any_of(forms.begin(), forms.end(), [&](const ParsedForm& s) { return s.form == kind.name; });
        if (present) continue;
        if (kind.required) diagnostics.push_back({file.line, kind.name, "this form is missing"});
        if (kind.repeatable || kind.named) continue;
        ParsedForm parsed_form;
        parsed_form.form = kind.name;
        parsed_form.line = file.line;
        fill_defaults(parsed_form, schema, kind.required ? nullptr : &diagnostics);
        forms.push_back(std::move(parsed_form));
    }
    return forms;
}

const ParsedForm& single_form(const std::vector<ParsedForm>& forms, const char* form) {
    return *forms_of_kind(forms, form).at(0);
}

std::vector<const ParsedForm*> forms_of_kind(const std::vector<ParsedForm>& forms, const char* form) {
    std::vector<const ParsedForm*> out;
    for (const ParsedForm& parsed_form : forms)
        if (parsed_form.form == form) out.push_back(&parsed_form);
    return out;
}

std::string schema_reference(const Schema& schema) {
    std::string out;
    for (const FormSpec& kind : schema.forms) {
        out += "## `(" + std::string(kind.name) + (kind.named ? " \"name\"" : "") + " ...)`\n\n" +
               kind.description;
        out += std::string(kind.required ? " Needed" : " May be left out") +
               (kind.repeatable ? "; may stand more than once.\n" : ".\n");
        bool has_header = false;
        for (const KeySpec& key : schema.keys) {
            if (std::strcmp(key.form, kind.name) != 0) continue;
            if (!has_header) out += "\n| key | value | default | meaning |\n| --- | --- | --- | --- |\n";
            has_header = true;
            std::string value = describe_expected(key);
            if ((key.type == ValueType::integer || key.type == ValueType::number) && *key.choices)
                value += std::string(" (") + key.choices + ")";
            out += "| `" + std::string(key.key) + "` | " + value + " | " +
                   (key.default_value == nullptr ? "must be given"
                    : *key.default_value         ? "`" + std::string(key.default_value) + "`"
                                                 : "none") +
                   " | " + key.description + " |\n";
        }
        out += "\n";
    }
    return out;
}

}  // namespace copperfront
