// S-expressions with line numbers, parsed with sfsexp, which does not record line numbers itself. Terms files
// and scenario scripts are parsed with it. Does no I/O except in read_file.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace copperfront {

struct Form {
    int line = 0;
    bool is_list = false;
    std::string atom;         // if it is not a list
    std::vector<Form> items;  // if it is a list

    // The first atom of a list, which is the kind of the form. Empty if there is none.
    const std::string& head() const;
};

// One error in a file.
struct Diagnostic {
    int line = 0;         // 0: concerns the whole file
    std::string path;     // path of forms, outermost first, such as "category chat / latency-goal"
    std::string message;  // the error, and what was expected
};

// Parses a text that holds one list with the head `expected_head`. On errors adds diagnostics and returns an
// empty form.
Form parse_forms(std::string_view text, std::string_view expected_head, std::vector<Diagnostic>& diagnostics);

// Reads a file of at most `max_bytes` bytes. Returns false and adds a diagnostic on failure.
bool read_file(const std::string& path, std::size_t max_bytes, std::string& text,
               std::vector<Diagnostic>& diagnostics);

// One line for each diagnostic: FILE:LINE: PATH: WHAT.
std::string format_diagnostics(const std::string& file, const std::vector<Diagnostic>& diagnostics);

// Returns the name in `known` with the smallest edit distance (Levenshtein) to `name`; empty if none is
// close.
std::string nearest(std::string_view name, const std::vector<std::string>& known);

}  // namespace copperfront
