// A client of the platform's HTTP (PROTOCOL), and configurations of a node.
#pragma once

#include "standin.h"

struct HttpAnswer {
    std::string bytes;    // all that came
    int status = 0;       // 0: no status line came
    std::string body;     // without the chunked coding
    bool complete = false;
};

inline std::string completion_request(const std::string& id, const std::string& category, int time_left_ms,
                                      const std::string& content, int prompt_tokens) {
    const std::string body =
        Json{{"model", "chat"}, {"stream", true}, {"messages", {{{"role", "user"}, {"content", content}}}}}.dump();
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: " +
           category + "\r\nX-Account: acme\r\nX-Session-Key: s-" + id + "\r\nX-Time-Left-Ms: " +
           std::to_string(time_left_ms) + "\r\nX-Facts: prompt_len=" + std::to_string(prompt_tokens) +
           ",max_out=50\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

// Takes the answer apart as far as it has come.
inline void parse(HttpAnswer& answer) {
    const std::string& all = answer.bytes;
    const std::size_t end = all.find("\r\n\r\n");
    if (all.rfind("HTTP/1.1 ", 0) != 0 || end == std::string::npos) return;
    answer.status = std::atoi(all.c_str() + 9);
    std::string head = all.substr(0, end + 2);
    for (char& c : head) c = static_cast<char>(std::tolower(c));
    std::string_view rest = std::string_view(all).substr(end + 4);
    answer.body.clear();
    if (head.find("transfer-encoding: chunked") == std::string::npos) {
        const std::size_t at = head.find("content-length:");
        const auto length = at == std::string::npos ? 0U : std::strtoul(head.c_str() + at + 15, nullptr, 10);
        answer.body = rest.substr(0, length);
        answer.complete = answer.body.size() == length;
        return;
    }
    for (;;) {
        const std::size_t line = rest.find("\r\n");
        if (line == std::string_view::npos) return;
        const auto size = std::strtoul(std::string(rest.substr(0, line)).c_str(), nullptr, 16);
        if (size == 0) {
            answer.complete = rest.size() >= line + 4;
            return;
        }
        if (rest.size() < line + 2 + size + 2) return;
        answer.body += rest.substr(line + 2, size);
        rest.remove_prefix(line + 2 + size + 2);
    }
}

// Reads one answer; ends when it is whole, at a close, or after this time.
inline HttpAnswer read_answer(int fd, double within_ms) {
    HttpAnswer answer;
    const double until = now_ms() + within_ms;
    while (!answer.complete && now_ms() < until) {
        pollfd at{fd, POLLIN, 0};
        if (::poll(&at, 1, static_cast<int>(until - now_ms()) + 1) <= 0) break;
        char bytes[16384];
        const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0) break;
        answer.bytes.append(bytes, static_cast<std::size_t>(n));
        parse(answer);
    }
    return answer;
}

inline int free_port() {
    const int fd = listen_on();
    const int port = port_of(fd);
    ::close(fd);
    return port;
}

// The run line of the deploy file, and its configuration by the environment.
inline Process start_node(const std::string& configuration, int port) {
    const Process node = start({"build/copperfront", "node"}, "node.log", {{"ROUTER_CONFIG", configuration}});
    for (const double until = now_ms() + 10000; now_ms() < until; sleep_ms(20)) {
        const int fd = connect_to(port);
        if (fd < 0) continue;
        send_all(fd, "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n");
        const HttpAnswer answer = read_answer(fd, 1000);
        ::close(fd);
        if (answer.status == 200) return node;
    }
    finish(kCouldNotRun, "the node did not become ready");
}
inline std::string log_text(const std::string& name) {
    std::ifstream log(run().temp + "/" + name);
    return {std::istreambuf_iterator<char>(log), std::istreambuf_iterator<char>()};
}
