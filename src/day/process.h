// Processes that the runner starts, of its own program, and ends by their ids. None outlives the runner.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/loop.h"

struct bufferevent;

namespace copperfront::day {

class Processes {
  public:
    explicit Processes(Loop& loop);
    ~Processes();  // kills what is left

    struct Start {
        std::string name, program;
        std::vector<std::string> args;
        std::vector<std::string> environment;               // NAME=VALUE, beside this process's own
        std::string errors;                                 // file that takes its standard error
        std::function<void(const std::string& line)> said;  // each line of its standard output
        std::function<void(int status)> ended;              // as of waitpid; the process may be started again
    };
    // Throws std::runtime_error where it cannot be started.
    void start(Start what);
    bool runs(const std::string& name) const { return by_name_.count(name) != 0; }
    // False: there is no such process.
    bool signal(const std::string& name, int which);
    // Its process id; -1: there is no such process.
    pid_t id_of(const std::string& name) const;
    std::size_t count() const { return by_name_.size(); }

  private:
    struct Process;
    void reap();
    Loop& loop_;
    std::map<std::string, std::unique_ptr<Process>> by_name_;
};

}  // namespace copperfront::day
