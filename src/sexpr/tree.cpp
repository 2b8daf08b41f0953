#include "sexpr/tree.h"

#include <sexp.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <memory>

namespace copperfront {
namespace {

constexpr int kMaxDepth = 24;

// Lines on which atoms and lists begin, in parse order. sfsexp reports neither these nor the line of an
// unmatched bracket.
struct AtomLines {
    std::vector<int> lines;
    bool ok = true;
};

AtomLines find_lines(std::string_view text, std::vector<Diagnostic>& diagnostics) {
    AtomLines positions;
    std::vector<int> open;
    int line = 1;
    bool closed = false;
    const auto fail = [&](int at_line, std::string what) {
        if (positions.ok) diagnostics.push_back({at_line, "", std::move(what)});
        positions.ok = false;
    };
    for (std::size_t i = 0; i < text.size() && positions.ok; ++i) {
        const char c = text[i];
        if (c == '\n') {
            ++line;
        } else if (c == ';') {
            while (i + 1 < text.size() && text[i + 1] != '\n') ++i;
        } else if (c == '(') {
            if (closed) fail(line, "a second form; everything belongs inside the first");
            positions.lines.push_back(line);
            open.push_back(line);
            if (open.size() > static_cast<std::size_t>(kMaxDepth))
                fail(line, "more than " + std::to_string(kMaxDepth) + " forms inside each other");
        } else if (c == ')') {
            if (open.empty()) {
                fail(line, "a closing bracket too many");
            } else {
                open.pop_back();
                closed = open.empty();
            }
        } else if (c == '"') {
            const int start_line = line;
            if (open.empty()) fail(line, "text outside of all brackets");
            positions.lines.push_back(line);
            for (++i; i < text.size() && text[i] != '"'; ++i) {
                if (text[i] == '\\') ++i;
                if (i < text.size() && text[i] == '\n') ++line;
            }
            if (i >= text.size()) fail(start_line, "a quotation mark is never closed");
        } else if (c == '\'' || c == '#') {
            fail(line, std::string("the character ") + c + " has no meaning here; put text in \"...\"");
        } else if (c != ' ' && c != '\t' && c != '\r') {
            if (static_cast<unsigned char>(c) < 0x20) fail(line, "a control character");
            if (open.empty()) fail(line, "text outside of all brackets");
            positions.lines.push_back(line);
            while (i + 1 < text.size() && !std::strchr("() \t\r\n\";", text[i + 1])) ++i;
        }
    }
    if (positions.ok && !open.empty()) fail(open.back(), "this bracket is never closed");
    if (positions.ok && positions.lines.empty()) fail(0, "the file holds no form");
    return positions;
}

bool convert(const sexp_t* from, const AtomLines& positions, std::size_t& at, Form& to) {
    if (at >= positions.lines.size()) return false;
    to.line = positions.lines[at++];
    to.is_list = from->ty == SEXP_LIST;
    if (!to.is_list) {
        to.atom = from->val ? std::string(from->val) : std::string();
        return true;
    }
    for (const sexp_t* item = from->list; item; item = item->next) {
        to.items.emplace_back();
        if (!convert(item, positions, at, to.items.back())) return false;
    }
    return true;
}

}  // namespace

const std::string& Form::head() const {
    static const std::string none;
    return is_list && !items.empty() && !items.front().is_list ? items.front().atom : none;
}

Form parse_forms(std::string_view text, std::string_view expected_head,
                 std::vector<Diagnostic>& diagnostics) {
    if (const std::size_t nul = text.find('\0'); nul != std::string_view::npos) {
        diagnostics.push_back({0, "", "not a text file: it holds a zero byte"});
        return {};
    }
    const AtomLines positions = find_lines(text, diagnostics);
    if (!positions.ok) return {};
    std::string buffer(text);
    const std::unique_ptr<sexp_t, void (*)(sexp_t*)> raw(parse_sexp(buffer.data(), buffer.size()),
                                                         [](sexp_t* tree) { destroy_sexp(tree); });
    Form form;
    std::size_t at = 0;
    if (!raw || !convert(raw.get(), positions, at, form) || at != positions.lines.size()) {
        diagnostics.push_back({0, "", "cannot be read as an S-expression"});
        return {};
    }
    if (form.head() != expected_head) {
        diagnostics.push_back({form.line, "",
                               "expected (" + std::string(expected_head) + " ...), found (" +
                                   (form.head().empty() ? "" : form.head()) + " ...)"});
        return {};
    }
    return form;
}

bool read_file(const std::string& path, std::size_t max_bytes, std::string& text,
               std::vector<Diagnostic>& diagnostics) {
    const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::fopen(path.c_str(), "rb"), std::fclose);
    if (!file) {
        diagnostics.push_back({0, "", std::string("cannot be opened: ") + std::strerror(errno)});
        return false;
    }
    text.resize(max_bytes + 1);
    const std::size_t got = std::fread(text.data(), 1, text.size(), file.get());
    if (std::ferror(file.get())) {
        diagnostics.push_back({0, "", std::string("cannot be read: ") + std::strerror(errno)});
        return false;
    }
    if (got > max_bytes) {
        diagnostics.push_back({0, "", "larger than " + std::to_string(max_bytes) + " bytes"});
        return false;
    }
    text.resize(got);
    return true;
}

std::string format_diagnostics(const std::string& file, const std::vector<Diagnostic>& diagnostics) {
    std::string out;
    for (const Diagnostic& f : diagnostics) {
        if (!out.empty()) out += '\n';
        out += file + ":";
        if (f.line > 0) out += std::to_string(f.line) + ":";
        out += " ";
        if (!f.path.empty()) out += f.path + ": ";
        out += f.message;
    }
    return out;
}

std::string nearest(std::string_view name, const std::vector<std::string>& known) {
    std::string best;
    std::size_t best_distance = std::max<std::size_t>(2, name.size() / 3) + 1;
    for (const std::string& candidate : known) {
        std::vector<std::size_t> row(candidate.size() + 1);
        for (std::size_t j = 0; j < row.size(); ++j) row[j] = j;
        for (std::size_t i = 1; i <= name.size(); ++i) {
            std::size_t corner = row[0];
            row[0] = i;
            for (std::size_t j = 1; j < row.size(); ++j) {
                const std::size_t above = row[j];
                row[j] = std::min({above + 1, row[j - 1] + 1, corner + (name[i - 1] != candidate[j - 1])});
                corner = above;
            }
        }
        if (row.back() >= best_distance) continue;
        best_distance = row.back();
        best = candidate;
    }
    return best;
}

}  // namespace copperfront
