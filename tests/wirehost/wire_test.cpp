// Runs the built adapter on a short exchange of messages, and checks that it rejects invalid input.
#include <sys/wait.h>

#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

namespace {

std::string program;

struct RunResult {
    std::string out, err;
    int code;
};

std::string read_file(const std::string& path) {
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

RunResult run(const std::string& input) {
    std::ofstream("wire_test.in") << input;
    const std::string command = "'" + program + "' < wire_test.in > wire_test.out 2> wire_test.err";
    const int status = std::system(command.c_str());
    assert(WIFEXITED(status));
    return {read_file("wire_test.out"), read_file("wire_test.err"), WEXITSTATUS(status)};
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

std::string provision(int who) {
    return R"({"kind":"Provision","who":)" + std::to_string(who) +
           R"(,"random-seed":5,"env":{"models":["p","d"],"azs":["east"],"zone":"east","balancers":1,"new-thing":[1],)"
           R"("profiles":[{"name":"ask","target-ms":1000,"deadline-ms":4000,"effect":"repeatable","stream":true}],)"
           R"("family-info":{"role-by-kind":["read","write"],"tokens-by-kind":[100000,90000],"release-ms":1000},)"
           R"("limits":{"max-attempts":4,"cancel":true},"quantum-ms":4}})"
           "\n";
}

const std::string kList =
    R"({"kind":"DirectoryUpdate","who":1,"how":"stale_copy","serial":1,"members-list":[)"
    R"({"family-type":"p","server":"h1:1","region-part":"east","size":1,"condition":"Ready","unit-group":0},)"
    R"({"family-type":"d","server":"h2:1","region-part":"east","size":1,"condition":"Ready","unit-group":0}]})"
    "\n";

// Returns a batch of events at one time.
std::string batch(double ms, const std::string& events) {
    return R"({"kind":"Round","time-ms":)" + std::to_string(ms) + "}\n" + events +
           "{\"kind\":\"EofBatch\"}\n";
}

const std::string kInbound =
    R"({"kind":"Inbound","who":1,"call":4503599627370495,"priority":"ask","client-group":0,"time-budget-ms":3000.5,)"
    R"("prompt-tokens":500,"max-tokens":100})"
    "\n";

void check_exchange() {
    const std::string read =
        R"({"kind":"Result","who":1,"call":4503599627370495,"server":"h1:1","attempt":0,)"
        R"("took-ms":9.5,"how":"read","info":0,"extra":1})"
        "\n";
    const std::string flowing =
        R"({"kind":"Flowing","who":1,"call":4503599627370495,"attempt":1,"server":"h2:1","took-ms":3})"
        "\n";
    const std::string ok = R"({"kind":"Result","who":1,"call":4503599627370495,"server":"h2:1","attempt":1,)"
                           R"("took-ms":90,"final":true,"how":"ok"})"
                           "\n";
    const std::string gone = R"({"kind":"Gone","who":1,"call":4503599627370495})"
                             "\n";
    const std::string teardown = R"({"kind":"Teardown","who":1})"
                                 "\n";
    const RunResult result =
        run(batch(10, provision(1) + kList) + batch(20, kInbound) + batch(30, read) + batch(40, flowing) +
            batch(50, ok + gone) + batch(60, teardown + provision(1) + kList + kInbound));
    assert(result.code == 0 && result.err.empty());
    std::size_t replies = 0;
    for (std::size_t at = 0; (at = result.out.find("\"Eor\"", at)) != std::string::npos; ++at) ++replies;
    assert(replies == 6);
    const std::size_t first = result.out.find("\"h1:1\""), second = result.out.find("\"h2:1\"");
    assert(first != std::string::npos && second != std::string::npos && first < second);
    assert(contains(result.out, "4503599627370495") && contains(result.out, "3000.5"));
    assert(result.out.find("\"h1:1\"", second) !=
           std::string::npos);  // an instance that is provisioned again may reuse the id
    assert(!contains(result.out, "Decline") && !contains(result.out, "Lose"));
}

void check_rejected(const std::string& input, const std::string& line, const std::string& message) {
    const RunResult result = run(input);
    assert(result.code != 0 && contains(result.err, "line " + line) && contains(result.err, message));
    assert(!contains(result.out, "SubmitTo"));
}

}  // namespace

int main(int argc, char** argv) {
    assert(argc == 2);
    program = argv[1];
    check_exchange();
    const std::string round_start = "{\"kind\":\"Round\",\"time-ms\":1}\n";
    check_rejected("{nonsense\n", "1", "not JSON");
    check_rejected(round_start + "{\"kind\":\"Dance\",\"who\":1}\n", "2", "not provisioned");
    check_rejected(round_start + provision(1) + "{\"kind\":\"Dance\",\"who\":1}\n", "3",
                   "unknown message: Dance");
    check_rejected(round_start + kList, "2", "not provisioned");
    check_rejected(round_start + provision(1) + "{\"kind\":\"Gone\",\"who\":1}\n", "3",
                   "a field is missing: call");
    check_rejected(round_start + provision(1) + "{\"kind\":\"Gone\",\"who\":1,\"call\":\"x\"}\n", "3",
                   "not a whole number");
    check_rejected(round_start + provision(1) + kList + kInbound, "4", "ends inside a batch");
    check_rejected("{\"kind\":\"EofBatch\"}\n", "1", "no Round");
}
