// S-expressions with the lines they stand on, read with sfsexp, which keeps no lines itself. Terms files and
// day scripts are both read through here. Free of I/O but for read_file.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace copperfront {

struct Form {
    int line = 0;
    bool is_list = false;
    std::string atom;         // where it is no list
    std::vector<Form> items;  // where it is

    // The first atom of a list: what kind of form it is. Empty: none.
    const std::string& head() const;
};

// One thing wrong with a file.
struct Fault {
    int line = 0;      // 0: the file as a whole
    std::string path;  // of forms, outermost first, such as "category chat / latency-goal"
    std::string what;  // and what was expected
};

// One list is expected, `wanted` its head. Faults are added; an empty form is returned where there are any.
Form parse_forms(std::string_view text, std::string_view wanted, std::vector<Fault>& faults);

// Reads at most `most` bytes. False with a fault where it cannot.
bool read_file(const std::string& path, std::size_t most, std::string& text, std::vector<Fault>& faults);

// One line a fault: FILE:LINE: PATH: WHAT.
std::string text_of(const std::string& file, const std::vector<Fault>& faults);

// The name of `known` that is nearest to `name` by single-letter edits; empty where none is near.
std::string nearest(std::string_view name, const std::vector<std::string>& known);

}  // namespace copperfront
