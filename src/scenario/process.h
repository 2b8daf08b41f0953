// Child processes that the runner starts and ends by their process ids. None outlives the runner.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/loop.h"

struct bufferevent;

namespace copperfront::scenario {

// The most memory that a process has ever had resident, in KB; 0 if it does not run.
std::int64_t peak_resident_kb(pid_t process);
// What it has resident now.
std::int64_t resident_kb(pid_t process);

// The running child processes by name.
class ChildProcesses {
  public:
    explicit ChildProcesses(Loop& loop);
    ~ChildProcesses();  // kills the processes that still run

    struct ProcessOptions {
        std::string name, program;
        std::vector<std::string> args;
        std::vector<std::string> environment;  // NAME=VALUE, added to this process's own
        std::string stderr_file;               // file that receives its standard error
        std::function<void(const std::string& line)>
            on_output_line;                       // called with each line of its standard output
        std::function<void(int status)> on_exit;  // called with the status of waitpid; may start it again
    };
    // Throws std::runtime_error if the process cannot be started.
    void start(ProcessOptions options);
    bool is_running(const std::string& name) const { return by_name_.count(name) != 0; }
    // Sends the signal; returns false if there is no such process.
    bool signal(const std::string& name, int number);
    // Returns the process id, or -1 if there is no such process.
    pid_t pid_of(const std::string& name) const;
    std::size_t count() const { return by_name_.size(); }

  private:
    struct Process;
    void reap();
    Loop& loop_;
    std::map<std::string, std::unique_ptr<Process>> by_name_;
};

}  // namespace copperfront::scenario
