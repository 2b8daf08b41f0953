// Logging to standard error when it is a pipe, a full device or closed.
#include "logging/log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "logging/standard_streams.h"

namespace copperfront {
namespace {

constexpr std::chrono::seconds kTimeout{5};

// Replaces standard error by a pipe that is read on request, for the lifetime of the object.
class PipedStandardError {
  public:
    PipedStandardError() : original_(dup(STDERR_FILENO)) {
        int ends[2];
        if (pipe(ends) != 0) std::abort();
        reader_ = ends[0];
        fcntl(reader_, F_SETFL, O_NONBLOCK);
        dup2(ends[1], STDERR_FILENO);
        close(ends[1]);
    }
    ~PipedStandardError() {
        dup2(original_, STDERR_FILENO);
        close(original_);
        close_reader();
    }
    PipedStandardError(const PipedStandardError&) = delete;
    PipedStandardError& operator=(const PipedStandardError&) = delete;

    // Returns all bytes in the pipe.
    std::string read_all() {
        std::string text;
        char part[65536];
        for (ssize_t got; (got = read(reader_, part, sizeof part)) > 0;) {
            text.append(part, static_cast<std::size_t>(got));
        }
        return text;
    }
    void close_reader() {
        if (reader_ >= 0) close(reader_);
        reader_ = -1;
    }

  private:
    int original_, reader_ = -1;
};

Log log_to_standard_error() { return Log("info", "json", "", 1 << 20, 1); }

// Returns whether the lines are written or dropped without blocking. A blocked writer is released by reading.
bool writes_without_blocking(PipedStandardError& pipe, Log& log, int lines, std::size_t bytes) {
    auto writing = std::async(std::launch::async, [&] {
        for (int n = 0; n < lines; ++n) log.log(Severity::info, "test", std::string(bytes, 'x'));
    });
    bool blocked = false;
    while (writing.wait_for(blocked ? std::chrono::milliseconds(10) : kTimeout) !=
           std::future_status::ready) {
        blocked = true;
        pipe.read_all();
    }
    return !blocked;
}

std::vector<nlohmann::json> complete_lines(const std::string& text) {
    std::vector<nlohmann::json> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
        if (!json.is_discarded()) lines.push_back(std::move(json));
    }
    return lines;
}

// Guards against a gateway that blocks once the reader of its log has stopped.
TEST(LogToAPipe, DoesNotBlockWithoutAReaderAndReportsDroppedLines) {
    for (const std::size_t bytes : {100u, 3000u, 9000u}) {
        constexpr int kLines = 2000;
        PipedStandardError pipe;
        Log log = log_to_standard_error();
        ASSERT_TRUE(writes_without_blocking(pipe, log, kLines, bytes));
        const std::size_t written = complete_lines(pipe.read_all()).size();
        EXPECT_GT(written, 0u);
        log.log(Severity::info, "test", "it is read again");
        const std::vector<nlohmann::json> lines = complete_lines(pipe.read_all());
        ASSERT_EQ(lines.size(), 2u);
        EXPECT_EQ(lines[0]["what"], "log lines could not be written");
        EXPECT_EQ(lines[0]["lines"], kLines - static_cast<std::int64_t>(written));
        EXPECT_EQ(lines[1]["what"], "it is read again");
    }
}

// Guards against an error of the log that ends the process or its requests.
TEST(LogToAPipe, DropsLinesAfterTheReaderHasClosed) {
    signal(SIGPIPE, SIG_IGN);
    PipedStandardError pipe;
    Log log = log_to_standard_error();
    pipe.close_reader();
    EXPECT_TRUE(writes_without_blocking(pipe, log, 10, 100));
}

// The same for a full file system.
TEST(LogToAFullDevice, DropsLines) {
    PipedStandardError pipe;
    const int full = open("/dev/full", O_WRONLY);
    ASSERT_GE(full, 0);
    dup2(full, STDERR_FILENO);
    close(full);
    Log log = log_to_standard_error();
    EXPECT_TRUE(writes_without_blocking(pipe, log, 10, 100));
}

// Guards against log lines written into a connection that has the descriptor of standard error.
TEST(StandardStreams, ClosedAtStartAreOpenedBeforeAnythingElse) {
    const pid_t child = fork();
    if (child == 0) {
        for (const int stream : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) close(stream);
        open_missing_standard_streams();
        const int next = open("/dev/null", O_RDONLY);
        _exit(next > STDERR_FILENO ? 0 : 1);
    }
    int status = 0;
    ASSERT_EQ(waitpid(child, &status, 0), child);
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 0);
}

}  // namespace
}  // namespace copperfront
