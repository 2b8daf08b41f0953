// The log where standard error is a pipe.
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

constexpr std::chrono::seconds kPatience{5};

// Standard error is a pipe that is read on command, until this ends.
class PipedStandardError {
  public:
    PipedStandardError() : before_(dup(STDERR_FILENO)) {
        int ends[2];
        if (pipe(ends) != 0) std::abort();
        reader_ = ends[0];
        fcntl(reader_, F_SETFL, O_NONBLOCK);
        dup2(ends[1], STDERR_FILENO);
        close(ends[1]);
    }
    ~PipedStandardError() {
        dup2(before_, STDERR_FILENO);
        close(before_);
        close_reader();
    }
    PipedStandardError(const PipedStandardError&) = delete;
    PipedStandardError& operator=(const PipedStandardError&) = delete;

    // All that lies in the pipe.
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
    int before_, reader_ = -1;
};

Log log_to_standard_error() { return Log("info", "json", "", 1 << 20, 1); }

// Whether the lines are written, or left out, without a wait. A writer that waits is let go by reading.
bool writes_without_waiting(PipedStandardError& pipe, Log& log, int lines, std::size_t bytes) {
    auto writing = std::async(std::launch::async, [&] {
        for (int n = 0; n < lines; ++n) log.say(Weight::info, "test", std::string(bytes, 'x'));
    });
    bool waited = false;
    while (writing.wait_for(waited ? std::chrono::milliseconds(10) : kPatience) !=
           std::future_status::ready) {
        waited = true;
        pipe.read_all();
    }
    return !waited;
}

std::vector<nlohmann::json> whole_lines(const std::string& text) {
    std::vector<nlohmann::json> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        nlohmann::json read = nlohmann::json::parse(line, nullptr, false);
        if (!read.is_discarded()) lines.push_back(std::move(read));
    }
    return lines;
}

// Against a gateway that stands still once whoever reads its log has stopped.
TEST(LogToAPipe, ThatNobodyReadsHoldsUpNobodyAndTellsHowManyLinesAreMissing) {
    for (const std::size_t bytes : {100u, 3000u, 9000u}) {
        constexpr int kLines = 2000;
        PipedStandardError pipe;
        Log log = log_to_standard_error();
        ASSERT_TRUE(writes_without_waiting(pipe, log, kLines, bytes));
        const std::size_t written = whole_lines(pipe.read_all()).size();
        EXPECT_GT(written, 0u);
        log.say(Weight::info, "test", "it is read again");
        const std::vector<nlohmann::json> lines = whole_lines(pipe.read_all());
        ASSERT_EQ(lines.size(), 2u);
        EXPECT_EQ(lines[0]["what"], "log lines could not be written");
        EXPECT_EQ(lines[0]["lines"], kLines - static_cast<std::int64_t>(written));
        EXPECT_EQ(lines[1]["what"], "it is read again");
    }
}

// Against an error of the log that ends the process, or its requests.
TEST(LogToAPipe, WhoseReaderHasGoneIsLeftOut) {
    signal(SIGPIPE, SIG_IGN);
    PipedStandardError pipe;
    Log log = log_to_standard_error();
    pipe.close_reader();
    EXPECT_TRUE(writes_without_waiting(pipe, log, 10, 100));
}

// The same for a folder without room.
TEST(LogToAFullDevice, IsLeftOut) {
    PipedStandardError pipe;
    const int full = open("/dev/full", O_WRONLY);
    ASSERT_GE(full, 0);
    dup2(full, STDERR_FILENO);
    close(full);
    Log log = log_to_standard_error();
    EXPECT_TRUE(writes_without_waiting(pipe, log, 10, 100));
}

// Against log lines that are written into whatever connection has the number of standard error.
TEST(StandardStreams, ThatAreClosedAtTheStartAreOpenedBeforeAnythingElse) {
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
