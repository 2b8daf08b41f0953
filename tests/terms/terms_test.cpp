// Errors in a terms file are reported with line, path and what was expected, all at once.
#include <rapidcheck.h>

#include <cassert>
#include <cstdio>
#include <string>

#include "terms/terms_file.h"

using namespace copperfront;

namespace {

const std::string kValidTerms = R"((copperfront
  (gateway (name "g") (zone "north"))
  (zone "north")
  (kind "reader" (role reader))
  (kind "writer" (role writer))
  (category "help" (latency-goal 1500ms) (hard-stop 6s))
  (rules (drain-grace 250ms) (start-capacity 0.3) (tip-multiple 2.5) (fall 3s)
    (warm-within 14s) (release-within 1s))))";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const std::size_t at = text.find(from);
    assert(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::vector<Diagnostic> diagnostics_of(const std::string& text, const Overrides& o = {}) {
    GatewayTerms terms;
    std::vector<Diagnostic> diagnostics;
    const bool ok = read_terms(text, o, terms, diagnostics);
    assert(ok == diagnostics.empty());
    return diagnostics;
}

// Expects an error on that line whose path and text contain these.
void expect_diagnostic(const std::string& text, int line, const std::string& path, const std::string& what) {
    const std::vector<Diagnostic> diagnostics = diagnostics_of(text);
    for (const Diagnostic& f : diagnostics)
        if (f.line == line && f.path.find(path) != std::string::npos &&
            f.message.find(what) != std::string::npos)
            return;
    std::fprintf(stderr, "expected line %d, %s: %s; found\n%s\n", line, path.c_str(), what.c_str(),
                 format_diagnostics("file", diagnostics).c_str());
    assert(false);
}

void a_valid_file_is_read() {
    GatewayTerms t;
    std::vector<Diagnostic> diagnostics;
    assert(read_terms(kValidTerms, {}, t, diagnostics));
    assert(t.core.categories.size() == 1 && t.core.categories[0].latency_goal == Duration{1500000});
    assert(t.deadlines[0] == Duration{6000000} && t.bounds.connect_timeout == Duration{250000});
    Overrides o;
    o.name = "other";
    assert(read_terms(kValidTerms, o, t, diagnostics) && t.name == "other");
    // Optional features are off unless they are stated.
    assert(!t.core.peers && t.peers.empty() && !t.core.probes && !t.core.reports_memory_share &&
           !t.core.reports_queued_tokens);
    // One file serves all gateways: a gateway is not its own peer.
    const std::string peers =
        replaced(kValidTerms, "(zone \"north\")\n",
                 "(zone \"north\")\n (allow (peers yes))\n"
                 "(peer \"g\" (at \"127.0.0.1:7501\")) (peer \"h\" (at \"127.0.0.1:7502\"))\n");
    Overrides own;
    own.peer_listen = "127.0.0.1:7501";
    GatewayTerms with_peers;
    assert(read_terms(peers, own, with_peers, diagnostics) && with_peers.core.peers);
    assert(with_peers.peers == std::vector<std::string>{"127.0.0.1:7502"});
}

void each_kind_of_error_is_reported() {
    expect_diagnostic(replaced(kValidTerms, "(hard-stop 6s)", "(hard-stop 6)"), 6,
                      "category help / hard-stop", "a time with its unit");
    expect_diagnostic(replaced(kValidTerms, "(hard-stop 6s)", "(hardstop 6s)"), 6, "category help / hardstop",
                      "did you mean hard-stop?");
    expect_diagnostic(replaced(kValidTerms, "(hard-stop 6s)", ""), 6, "category help / hard-stop",
                      "is missing");
    expect_diagnostic(replaced(kValidTerms, "(role writer)", "(role scribe)"), 5, "kind writer / role",
                      "reader, writer or mixed, found scribe");
    expect_diagnostic(replaced(kValidTerms, "(role writer)", "(role reader)"), 0, "kind", "no kind writes");
    expect_diagnostic(
        replaced(kValidTerms, "(zone \"north\")\n  (kind", "(zone \"north\") (zone \"north\")\n  (kind"), 3,
        "zone north", "stands twice");
    expect_diagnostic(replaced(kValidTerms, "(fall 3s)", "(fall 3s) (fall 4s)"), 7, "rules / fall",
                      "stands twice, first on line 7");
    expect_diagnostic(replaced(kValidTerms, "(start-capacity 0.3)", "(start-capacity 1.3)"), 7,
                      "rules / start-capacity", "0.001 to 1");
    expect_diagnostic(replaced(kValidTerms, "(zone \"north\"))\n", "(zone \"south\"))\n"), 2,
                      "gateway / zone", "no such zone");
    for (const char* attempts : {"-4", "1e300", "-1e300", "4.5"})
        expect_diagnostic(
            replaced(kValidTerms, "(rules",
                     std::string("(route \"default\" (most-launches ") + attempts + ")) (rules"),
            7, "route default / most-launches", "whole number, 2 to 64");
    expect_diagnostic(replaced(kValidTerms, "(rules", "(ruler"), 7, "ruler", "did you mean rules?");
    expect_diagnostic(replaced(kValidTerms, "(latency-goal 1500ms)", "(latency-goal 9s)"), 6, "latency-goal",
                      "longer than the hard stop");
    expect_diagnostic(replaced(kValidTerms, "(hard-stop 6s)", "(hard-stop 6s) (effect receipted)"), 6,
                      "window", "rule 2");
    expect_diagnostic(replaced(kValidTerms, "(hard-stop 6s)", "(hard-stop 6s) (window 5s)"), 6, "window",
                      "receipted categories only");
    expect_diagnostic(replaced(kValidTerms, "(zone \"north\")\n  (kind",
                               "(zone \"north\")\n  (bounds (connect-timeout 7s))\n  (kind"),
                      4, "connect-timeout", "rule 1");
    expect_diagnostic(replaced(kValidTerms, "(zone \"north\")\n  (kind",
                               "(zone \"north\")\n  (reports (memory yes))\n  (kind"),
                      4, "reports / how", "never made");
    for (const auto& [limits, key, what] :
         {std::tuple{"(connect 250ms)", "connect", "shorter than bounds / connect-timeout, 250ms"},
          {"(connect 100ms) (read 80ms)", "connect", "shorter than read, 80ms"},
          {"(connect 100ms) (first-token 100ms)", "connect", "shorter than first-token, 100ms"}})
        expect_diagnostic(
            replaced(kValidTerms, "(rules", std::string("(route \"default\" ") + limits + ") (rules"), 7, key,
            what);
    expect_diagnostic(replaced(kValidTerms, "(rules", "(fleet (parts learned)) (rules"), 7, "fleet / parts",
                      "expected even");
    const std::string peers = "(zone \"north\")\n  (allow (peers yes))\n  (kind";
    const std::string named =
        "(zone \"north\")\n  (allow (peers yes)) (peer \"h\" (at \"127.0.0.1:7501\"))\n  (kind";
    expect_diagnostic(replaced(kValidTerms, "(zone \"north\")\n  (kind", peers), 4, "allow / peers",
                      "no other gateway is named");
    expect_diagnostic(replaced(kValidTerms, "(zone \"north\")\n  (kind", named), 2, "gateway / peer-listen",
                      "to hear them on");
    expect_diagnostic(
        replaced(kValidTerms, "(zone \"north\")\n  (kind", replaced(named, "peers yes", "peers no")), 4,
        "allow / peers", "expected yes");
    expect_diagnostic(kValidTerms.substr(0, kValidTerms.size() - 1), 1, "", "never closed");
    expect_diagnostic(kValidTerms + ")", 8, "", "closing bracket too many");
    expect_diagnostic("(terms)", 1, "", "expected (copperfront ...)");
    expect_diagnostic("", 0, "", "no form");
}

void all_errors_are_reported_at_once() {
    const std::string text = replaced(replaced(kValidTerms, "(hard-stop 6s)", "(hard-stop soon)"),
                                      "(fall 3s)", "(fall never) (wat 1)");
    assert(diagnostics_of(text).size() == 3);
}

void any_bytes_are_rejected_or_read_without_a_crash() {
    assert(rc::check("bytes", [](const std::string& bytes) { diagnostics_of(bytes); }));
    // Nearly valid files reach further into the checks than random bytes.
    assert(rc::check("edits", [] {
        std::string text = kValidTerms;
        const auto edits = *rc::gen::inRange(1, 6);
        for (int n = 0; n < edits; ++n) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            if (*rc::gen::arbitrary<bool>())
                text.erase(at, *rc::gen::inRange<std::size_t>(1, 8));
            else
                text.insert(
                    at, *rc::gen::element<std::string>("(", ")", "\"", ";", "\\", "'", "#", " 9e99s ", "\n"));
        }
        diagnostics_of(text);
    }));
}

}  // namespace

int main() {
    a_valid_file_is_read();
    each_kind_of_error_is_reported();
    all_errors_are_reported_at_once();
    any_bytes_are_rejected_or_read_without_a_crash();
}
