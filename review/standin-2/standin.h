// Stand-ins for the cases 6 to 10: sockets, processes, the record of a run, and JSON-RPC engines and a roster.
// One thread for each connection, blocking sockets, loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

using Json = nlohmann::json;

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

inline double now_ms() {
    using namespace std::chrono;
    static const auto start = steady_clock::now();
    return duration<double, std::milli>(steady_clock::now() - start).count();
}
inline void sleep_ms(double ms) { std::this_thread::sleep_for(std::chrono::microseconds(static_cast<long>(ms * 1000))); }

// ---- the record

class Record {
  public:
    explicit Record(const std::string& path) : file_(path) { now_ms(); }
    void note(const std::string& who, const std::string& what, Json more = Json::object()) {
        const std::lock_guard lock(mutex_);
        Json line = {{"ms", static_cast<long>(now_ms())}, {"who", who}, {"what", what}};
        line.update(more);
        file_ << line.dump(-1, ' ', false, Json::error_handler_t::replace) << std::endl;
    }

  private:
    std::mutex mutex_;
    std::ofstream file_;
};

// ---- the run: its processes end with it

struct Run {
    bool trouble = true;
    std::string root, folder, temp;
    std::unique_ptr<Record> record;
    std::vector<pid_t> children;
};
inline Run& run() {
    static Run the_run;
    return the_run;
}
inline void end_children() {
    for (const pid_t pid : run().children) {
        ::kill(pid, SIGCONT);
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    run().children.clear();
}
[[noreturn]] inline void finish(int code, const std::string& why) {
    run().record->note("verdict", why, {{"exit", code}});
    std::printf("%s: %s\n", code == kHeld ? "held" : code == kBroken ? "BROKEN" : "could not run", why.c_str());
    std::fflush(stdout);
    end_children();
    const std::string remove = "rm -rf '" + run().temp + "'";
    if (std::system(remove.c_str()) != 0) std::fprintf(stderr, "the temporary folder stays\n");
    std::_Exit(code);
}
// argv: the case's folder and the repository's root.
inline void start_run(int argc, char** argv) {
    if (argc < 3) std::_Exit(kCouldNotRun);
    ::signal(SIGPIPE, SIG_IGN);
    run().folder = argv[1];
    run().root = argv[2];
    const char* trouble = std::getenv("TROUBLE");
    run().trouble = !(trouble && std::string(trouble) == "0");
    const char* tmp = std::getenv("TMPDIR");
    std::string pattern = std::string(tmp ? tmp : "/tmp") + "/review-XXXXXX";
    if (!::mkdtemp(pattern.data())) std::_Exit(kCouldNotRun);
    run().temp = pattern;
    run().record = std::make_unique<Record>(run().folder + "/record.txt");
    run().record->note("run", "start", {{"trouble", run().trouble}});
    std::thread([] {
        sleep_ms(110000);
        finish(kCouldNotRun, "it took too long");
    }).detach();
}

struct Process {
    pid_t pid = 0;
    int out = -1;
    std::string line() const {  // the next line of its standard output; empty at the end
        std::string text;
        for (char c = 0; ::read(out, &c, 1) == 1;) {
            if (c == '\n') return text;
            text += c;
        }
        return text;
    }
};
// Started from the root; the first argument is the program's path there.
inline Process start(const std::vector<std::string>& args, const std::string& log,
                     const std::map<std::string, std::string>& environment = {}) {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) finish(kCouldNotRun, "no pipe");
    Process process;
    const std::string log_path = run().temp + "/" + log;
    process.pid = ::fork();
    if (process.pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, however that ends
        ::dup2(ends[1], 1);
        const int err = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        ::dup2(err, 2);
        if (::chdir(run().root.c_str()) != 0) std::_Exit(127);
        for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
        std::vector<char*> raw;
        for (const std::string& a : args) raw.push_back(const_cast<char*>(a.c_str()));
        raw.push_back(nullptr);
        ::execv(raw[0], raw.data());
        std::_Exit(127);
    }
    ::close(ends[1]);
    process.out = ends[0];
    run().children.push_back(process.pid);
    std::string command;
    for (const std::string& a : args) command += (command.empty() ? "" : " ") + a;
    run().record->note("run", "started", {{"command", command}, {"pid", process.pid}});
    return process;
}
// Returns the exit status, or -1 if the process still runs after this time.
inline int wait_exit(const Process& process, double ms) {
    for (const double until = now_ms() + ms; now_ms() < until; sleep_ms(5)) {
        int status = 0;
        if (::waitpid(process.pid, &status, WNOHANG) != process.pid) continue;
        std::erase(run().children, process.pid);
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return -1;
}

// ---- sockets

inline sockaddr_in loopback(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return at;
}
inline int listen_on(int port = 0, int backlog = 512) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = loopback(port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, backlog) != 0)
        finish(kCouldNotRun, "cannot listen");
    return fd;
}
inline int port_of(int fd) {
    sockaddr_in at{};
    socklen_t length = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length);
    return ntohs(at.sin_port);
}
inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }
inline int port_in(const std::string& address) { return std::atoi(address.substr(address.rfind(':') + 1).c_str()); }
inline int connect_to(int port, int receive_buffer = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const sockaddr_in at = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}
inline void reset(int fd) {
    const linger now{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(fd);
}
inline bool send_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}
// Reads lines. False: the peer has closed, or nothing came in this time.
class Lines {
  public:
    explicit Lines(int fd) : fd_(fd) {}
    bool next(std::string& line, double within_ms = 1e9) {
        const double until = now_ms() + within_ms;
        for (;;) {
            const std::size_t end = buffer_.find('\n', scanned_);
            if (end != std::string::npos) {
                line = buffer_.substr(0, end);
                buffer_.erase(0, end + 1);
                scanned_ = 0;
                return true;
            }
            scanned_ = buffer_.size();
            pollfd at{fd_, POLLIN, 0};
            const double left = until - now_ms();
            if (left <= 0 || ::poll(&at, 1, static_cast<int>(std::min(left, 1e6))) <= 0) return false;
            char bytes[65536];
            const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
            if (n <= 0) {
                closed_ = true;
                return false;
            }
            buffer_.append(bytes, static_cast<std::size_t>(n));
        }
    }
    bool closed() const { return closed_; }

  private:
    int fd_;
    std::string buffer_;
    std::size_t scanned_ = 0;
    bool closed_ = false;
};
inline void accept_each(int listener, std::function<void(int)> serve) {
    std::thread([listener, serve] {
        for (;;) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) return;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([fd, serve] { serve(fd); }).detach();
        }
    }).detach();
}

// ---- JSON-RPC (docs/protocol.md): a roster and engines

inline std::string result_line(const Json& id, const Json& body) {
    return Json{{"jsonrpc", "2.0"}, {"id", id}, {"result", body}}.dump() + "\n";
}
inline std::string tokens_line(const Json& id, const std::string& text) {
    return Json{{"jsonrpc", "2.0"}, {"method", "notifications/tokens"}, {"params", {{"requestId", id}, {"text", text}}}}
               .dump() +
           "\n";
}

// A roster with a list that does not change.
inline int start_roster(const Json& servers) {
    const int listener = listen_on();
    accept_each(listener, [servers](int fd) {
        Lines lines(fd);
        for (std::string line; lines.next(line);) {
            const Json m = Json::parse(line, nullptr, false);
            if (!m.is_object() || !m.contains("id")) continue;
            const std::string method = m.value("method", "");
            if (method == "roster/watch")
                send_all(fd, result_line(m["id"], {{"version", 1}, {"how", "whole"}, {"servers", servers}}));
            else
                send_all(fd, result_line(m["id"], {{"protocolVersion", "2025-06-18"},
                                                   {"serverInfo", {{"name", "roster"}, {"version", "1"}}},
                                                   {"capabilities", Json::object()}}));
        }
        ::close(fd);
    });
    return port_of(listener);
}

// One engine. A reader keeps states under their names; all engines of a run share one store, so that a writer's
// engine/fetch needs no connection here.
struct Engine {
    std::string name, role;
    int listener = -1;
    double greet_after_ms = 0, read_ms = 10;
    // Called for a write in a thread of its own; sends the answer.
    std::function<void(Engine&, int fd, std::mutex& out, const Json& call)> write = nullptr;

    std::string address() const { return address_of(port_of(listener)); }
    Json listing() const {
        return {{"server", address()}, {"name", name}, {"kind", role}, {"zone", "north"}, {"cell", "1"}, {"bornMs", 0},
                {"standing", "ready"}};
    }
    void start() {
        accept_each(listener, [this](int fd) { serve(fd); });
    }
    void serve(int fd) {
        static std::mutex states_mutex;
        static std::set<std::string> states;
        const auto out = std::make_shared<std::mutex>();
        Lines lines(fd);
        for (std::string line; lines.next(line);) {
            const Json m = Json::parse(line, nullptr, false);
            if (!m.is_object()) continue;
            const std::string method = m.value("method", "");
            const Json params = m.value("params", Json::object());
            Json more = {{"method", method}};
            for (const char* key : {"query", "mark", "state", "requestId", "category"})
                if (params.contains(key)) more[key] = params[key];
            if (m.contains("id")) more["id"] = m["id"];
            if (!method.empty() && method != "ping") run().record->note(name, "received", more);
            const auto answer = [&](const Json& body) {
                const std::lock_guard lock(*out);
                send_all(fd, result_line(m["id"], body));
            };
            if (method == "initialize") {
                sleep_ms(greet_after_ms);
                answer({{"protocolVersion", "2025-06-18"},
                        {"serverInfo", {{"name", name}, {"version", "1"}}},
                        {"capabilities", Json::object()}});
            } else if (method == "engine/read") {
                sleep_ms(read_ms);
                {
                    const std::lock_guard lock(states_mutex);
                    states.insert(params.value("state", ""));
                }
                answer({{"kept", 0}});
            } else if (method == "engine/write") {
                const std::string state = params.value("state", "");
                bool there = state.empty();
                {
                    const std::lock_guard lock(states_mutex);
                    there |= states.erase(state) > 0;
                }
                if (!there) {
                    const std::lock_guard lock(*out);
                    send_all(fd, Json{{"jsonrpc", "2.0"},
                                      {"id", m["id"]},
                                      {"error", {{"code", -32020}, {"message", "full"}, {"data", {{"noState", true}}}}}}
                                         .dump() +
                                     "\n");
                    continue;
                }
                std::thread([this, fd, out, m] { write(*this, fd, *out, m); }).detach();
            } else if (method == "notifications/engine/release") {
                const std::lock_guard lock(states_mutex);
                states.erase(params.value("state", ""));
            } else if (m.contains("id") && !method.empty()) {
                answer(Json::object());
            }
        }
        run().record->note(name, "connection closed");
        ::shutdown(fd, SHUT_RDWR);
    }
};

// The terms of a small deployment. `categories` and `allow` are forms.
inline std::string write_terms(const std::string& kinds, const std::string& categories, const std::string& allow) {
    const std::string path = run().temp + "/points.terms";
    std::ofstream(path) << "(copperfront\n  (gateway (name \"g1\") (zone \"north\") (listen \"127.0.0.1:0\"))\n"
                           "  (fleet (gateways 1) (quantum 10ms))\n  (zone \"north\")\n"
                        << kinds << categories
                        << "  (rules (answer-slack 150ms) (drain-grace 250ms) (start-capacity 0.3) (tip-multiple 2.5)\n"
                           "    (fall 3s) (warm-within 14s) (release-within 1s) (most-launches 6))\n"
                        << allow << ")\n";
    return path;
}
// Returns the gateway, with the port for callers.
inline Process start_gateway(const std::string& terms, int roster, int& port, const std::vector<std::string>& more = {}) {
    std::vector<std::string> command = {"build/copperfront", "gateway", terms, "--roster", address_of(roster)};
    command.insert(command.end(), more.begin(), more.end());
    const Process gateway = start(command, "gateway.log");
    const std::string ready = gateway.line();
    if (ready.rfind("ready ", 0) != 0) {
        std::ifstream log(run().temp + "/gateway.log");
        std::string text((std::istreambuf_iterator<char>(log)), std::istreambuf_iterator<char>());
        finish(kCouldNotRun, "the gateway did not become ready: " + text.substr(0, 400));
    }
    port = port_in(ready);
    return gateway;
}
inline Json generate(const Json& id, const std::string& category, const std::string& mark, int max_tokens = 50) {
    Json params = {{"category", category},
                   {"prompt", Json::array({{{"type", "text"}, {"text", "how many points?"}, {"tokens", 100}}})},
                   {"maxTokens", max_tokens},
                   {"budgetMs", 6000}};
    if (!mark.empty()) params["mark"] = mark;
    return {{"jsonrpc", "2.0"}, {"id", id}, {"method", "generate"}, {"params", params}};
}
// The list has come once the gateway tells of it.
inline void await_list(int port, std::size_t servers) {
    const int fd = connect_to(port);
    Lines lines(fd);
    for (int n = 0; n < 100; ++n) {
        send_all(fd, Json{{"jsonrpc", "2.0"}, {"id", n}, {"method", "gateway/status"}}.dump() + "\n");
        std::string line;
        if (!lines.next(line, 2000)) break;
        const Json m = Json::parse(line, nullptr, false);
        if (m.is_object() && m.contains("result") && m["result"].value("servers", 0U) == servers) {
            ::close(fd);
            return;
        }
        sleep_ms(20);
    }
    finish(kCouldNotRun, "the gateway has no list of servers");
}
