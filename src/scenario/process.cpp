#include "scenario/process.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fcntl.h>
#include <linux/close_range.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <stdexcept>

namespace copperfront::scenario {

struct ChildProcesses::Process {
    ProcessOptions options;
    pid_t pid = -1;
    bufferevent* out = nullptr;
    ~Process() {
        if (out) bufferevent_free(out);
    }
    void read_output() {
        evbuffer* in = bufferevent_get_input(out);
        while (char* line = evbuffer_readln(in, nullptr, EVBUFFER_EOL_LF)) {
            const std::string text(line);
            free(line);
            if (options.on_output_line) options.on_output_line(text);
        }
    }
};

namespace {

// A field of the process's status, in KB.
std::int64_t status_field(pid_t process, const std::string& field) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    std::int64_t kilobytes = 0;
    while (status >> word) {
        if (word == field) return status >> kilobytes ? kilobytes : 0;
    }
    return 0;
}

}  // namespace

std::int64_t peak_resident_kb(pid_t process) { return status_field(process, "VmHWM:"); }
std::int64_t resident_kb(pid_t process) { return status_field(process, "VmRSS:"); }

ChildProcesses::ChildProcesses(Loop& loop) : loop_(loop) {
    loop_.on_signal(SIGCHLD, [this] { reap(); });
}

ChildProcesses::~ChildProcesses() {
    for (const auto& [name, process] : by_name_) {
        ::kill(process->pid, SIGKILL);
        ::waitpid(process->pid, nullptr, 0);
    }
}

void ChildProcesses::start(ProcessOptions options) {
    int pipe[2];
    if (::pipe2(pipe, O_CLOEXEC) != 0) throw std::runtime_error(std::string("pipe: ") + std::strerror(errno));
    std::vector<char*> argv;
    argv.push_back(const_cast<char*>(options.program.c_str()));
    for (const std::string& arg : options.args) argv.push_back(const_cast<char*>(arg.c_str()));
    argv.push_back(nullptr);
    std::vector<char*> environment;
    for (char** variable = environ; *variable != nullptr; ++variable) environment.push_back(*variable);
    for (const std::string& more : options.environment)
        environment.push_back(const_cast<char*>(more.c_str()));
    environment.push_back(nullptr);
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid < 0) {
        ::close(pipe[0]);
        ::close(pipe[1]);
        throw std::runtime_error(std::string("fork: ") + std::strerror(errno));
    }
    if (pid == 0) {
        // Only async-signal-safe calls are allowed between fork and exec.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) ::_exit(127);
        sigset_t none;
        sigemptyset(&none);
        ::sigprocmask(SIG_SETMASK, &none, nullptr);
        ::dup2(pipe[1], 1);
        if (!options.stderr_file.empty()) {
            const int fd = ::open(options.stderr_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            if (fd >= 0) ::dup2(fd, 2);
        }
        // A socket that a child inherits would stay open when this process closes it.
        ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
        ::execve(options.program.c_str(), argv.data(), environment.data());
        ::_exit(127);
    }
    ::close(pipe[1]);
    auto process = std::make_unique<Process>();
    process->pid = pid;
    process->options = std::move(options);
    ::fcntl(pipe[0], F_SETFL, O_NONBLOCK);
    process->out = bufferevent_socket_new(loop_.base(), pipe[0], BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        process->out, [](bufferevent*, void* self) { static_cast<Process*>(self)->read_output(); }, nullptr,
        [](bufferevent* b, short, void*) { bufferevent_disable(b, EV_READ); }, process.get());
    bufferevent_enable(process->out, EV_READ);
    const std::string name = process->options.name;
    by_name_[name] = std::move(process);
}

bool ChildProcesses::signal(const std::string& name, int number) {
    const auto it = by_name_.find(name);
    return it != by_name_.end() && ::kill(it->second->pid, number) == 0;
}

pid_t ChildProcesses::pid_of(const std::string& name) const {
    const auto it = by_name_.find(name);
    return it != by_name_.end() ? it->second->pid : -1;
}

void ChildProcesses::reap() {
    for (auto it = by_name_.begin(); it != by_name_.end();) {
        int status = 0;
        if (::waitpid(it->second->pid, &status, WNOHANG) != it->second->pid) {
            ++it;
            continue;
        }
        const std::shared_ptr<Process> ended(it->second.release());
        it = by_name_.erase(it);
        // Deferred: the callback may start the process again, which changes the map.
        loop_.post([ended, status] {
            if (ended->options.on_exit) ended->options.on_exit(status);
        });
    }
}

}  // namespace copperfront::scenario
