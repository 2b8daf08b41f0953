// The schema of a file of forms, as a table: the checks, the error messages and the reference pages that list
// every key are derived from it. A file is (HEAD (FORM "name" (KEY VALUE) ...) ...). Does no I/O.
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "core/units.h"
#include "sexpr/tree.h"

namespace copperfront {

enum class ValueType { string, strings, integer, number, duration, flag, choice };

struct FormSpec {
    const char* name;
    bool named;       // (FORM "name" ...); names are unique
    bool repeatable;  // may occur more than once
    bool required;    // at least once
    const char* description;
};

struct KeySpec {
    const char* form;
    const char* key;
    ValueType type;
    const char* default_value;  // as written in a file; null: the key is required; "": none
    double min, max;            // bounds of numbers, and of durations in milliseconds
    const char* choices;        // the values of a choice, separated by blanks; otherwise the unit
    const char* description;
};

struct Schema {
    const char* head;
    std::span<const FormSpec> forms;
    std::span<const KeySpec> keys;
};

struct Value {
    std::string text;                  // of types string and choice
    std::vector<std::string> strings;  // of type strings
    double number = 0;
    Duration duration;
    bool flag = false;
    bool given = false;       // stated in the file, not taken from the default
    std::string source_text;  // as written in the file
    int line = 0;
};

// One form as read; holds a value for each key of its form.
struct ParsedForm {
    std::string form, name;
    int line = 0;
    bool invalid = false;  // a value could not be read, so checks that depend on it are skipped
    std::map<std::string, Value> values;

    const Value& at(const char* key) const { return values.at(key); }
    const std::string& text(const char* key) const { return at(key).text; }
    double number(const char* key) const { return at(key).number; }
    std::size_t size(const char* key) const { return static_cast<std::size_t>(at(key).number); }
    Duration duration(const char* key) const { return at(key).duration; }
    bool flag(const char* key) const { return at(key).flag; }
    // Path of the form, as diagnostics show it.
    std::string path() const { return name.empty() ? form : form + " " + name; }
};

// Returns all forms in file order. An unnamed, non-repeatable form that is absent is added with its default
// values. Adds all errors to `diagnostics`, not only the first.
std::vector<ParsedForm> read_parsed_forms(const Form& file, const Schema& schema,
                                          std::vector<Diagnostic>& diagnostics);

// Returns the first form of that kind; throws std::out_of_range if there is none.
const ParsedForm& single_form(const std::vector<ParsedForm>& forms, const char* form);
std::vector<const ParsedForm*> forms_of_kind(const std::vector<ParsedForm>& forms, const char* form);

// Returns a reference page of all forms and keys, in Markdown.
std::string schema_reference(const Schema& schema);

}  // namespace copperfront
