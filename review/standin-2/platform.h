// Model servers and discovery of the platform (PROTOCOL), as far as the cases need them.
#pragma once

#include <condition_variable>

#include "http_client.h"

struct HttpRequest {
    std::string method, target, body;
    std::map<std::string, std::string> fields;  // names in lower case
    std::string field(const std::string& name) const {
        const auto it = fields.find(name);
        return it == fields.end() ? "" : it->second;
    }
};

// Reads one request with a Content-Length or none; false at the end of the connection.
inline bool read_request(int fd, std::string& buffer, HttpRequest& request) {
    const auto more = [&] {
        char bytes[65536];
        const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
        if (n > 0) buffer.append(bytes, static_cast<std::size_t>(n));
        return n > 0;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) return false;
    }
    request = {};
    std::size_t at = buffer.find("\r\n");
    const std::string first = buffer.substr(0, at);
    request.method = first.substr(0, first.find(' '));
    request.target = first.substr(first.find(' ') + 1, first.rfind(' ') - first.find(' ') - 1);
    while (at < end) {
        const std::size_t next = buffer.find("\r\n", at + 2);
        const std::string line = buffer.substr(at + 2, next - at - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            for (char& c : name) c = static_cast<char>(std::tolower(c));
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            request.fields[name] = value == std::string::npos ? "" : line.substr(value);
        }
        at = next;
    }
    const auto length = std::strtoul(request.field("content-length").c_str(), nullptr, 10);
    while (buffer.size() < end + 4 + length) {
        if (!more()) return false;
    }
    request.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

inline std::string chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}
inline const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline std::string event(const std::string& content) {
    return "data: " + Json{{"choices", {{{"index", 0}, {"delta", {{"content", content}}}, {"finish_reason", nullptr}}}}}.dump() +
           "\n\n";
}
inline std::string whole_stream() { return kStreamHead + chunk(event("oqvh")) + chunk(event("...")) + chunk("data: [DONE]\n\n") + "0\r\n\r\n"; }

struct ModelServer {
    std::string name;
    bool reads = true;
    bool silent = false;  // a machine that has vanished: new connections never come up
    double works_ms = 10;
    int listener = -1;
    // If set, it answers in place of the usual work; false: the connection ends.
    std::function<bool(ModelServer&, int fd, const HttpRequest&)> answer = nullptr;

    std::string address() const { return address_of(port_of(listener)); }
    Json listing() const {
        return {{"name", name},  {"address", address()}, {"zone", "a"},   {"type", reads ? "m1" : "m2"},
                {"group", 0},    {"status", "up"},       {"weight", 1.0}, {"since_ms", 0}};
    }
    void start() {
        if (silent) {
            // Nobody accepts, and the queue of connections is full.
            listener = listen_on(0, 0);
            for (int n = 0; n < 3; ++n) {
                const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
                const sockaddr_in at = loopback(port_of(listener));
                (void)!::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at);
            }
            return;
        }
        listener = listen_on();
        accept_each(listener, [this](int fd) {
            std::string buffer;
            HttpRequest request;
            while (read_request(fd, buffer, request)) {
                if (answer ? !answer(*this, fd, request) : !work(fd, request)) break;
            }
            ::close(fd);
        });
    }
    bool work(int fd, const HttpRequest& request) const {
        if (request.method == "DELETE") return send_all(fd, "HTTP/1.1 204 No Content\r\n\r\n");
        run().record->note(name, "received", {{"id", request.field("x-correlation-id")}, {"bytes", request.body.size()}});
        sleep_ms(works_ms);
        if (reads)
            return send_all(fd, "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: 19\r\n\r\n"
                                "{\"cached_tokens\":0}");
        return send_all(fd, whole_stream());
    }
};

// Discovery with a list that changes by set_status.
class Registry {
  public:
    void add(const ModelServer& server) { entries_.push_back(server.listing()); }
    Json snapshot() {
        const std::lock_guard lock(mutex_);
        return {{"index", index_}, {"snapshot", true}, {"endpoints", entries_}};
    }
    void set_status(const std::string& name, const std::string& status) {
        const std::lock_guard lock(mutex_);
        ++index_;
        for (Json& entry : entries_) {
            if (entry["name"] != name) continue;
            entry["status"] = status;
            changed_[name] = index_;
        }
        condition_.notify_all();
    }
    void start() {
        listener_ = listen_on();
        accept_each(listener_, [this](int fd) {
            std::string buffer;
            HttpRequest request;
            while (read_request(fd, buffer, request)) {
                Json list = snapshot();
                const std::size_t after = request.target.find("after="), wait = request.target.find("wait_ms=");
                if (after != std::string::npos) {
                    const int seen = std::atoi(request.target.c_str() + after + 6);
                    const int ms = wait == std::string::npos ? 0 : std::atoi(request.target.c_str() + wait + 8);
                    std::unique_lock lock(mutex_);
                    condition_.wait_for(lock, std::chrono::milliseconds(ms), [&] { return index_ > seen; });
                    list = {{"index", index_}, {"snapshot", false}, {"endpoints", Json::array()}};
                    for (const Json& entry : entries_) {
                        const auto it = changed_.find(entry["name"]);
                        if (it != changed_.end() && it->second > seen) list["endpoints"].push_back(entry);
                    }
                }
                const std::string body = list.dump();
                if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                      std::to_string(body.size()) + "\r\n\r\n" + body))
                    break;
            }
            ::close(fd);
        });
    }
    std::string address() const { return address_of(port_of(listener_)); }

  private:
    std::mutex mutex_;
    std::condition_variable condition_;
    int listener_ = -1, index_ = 1;
    Json entries_ = Json::array();
    std::map<std::string, int> changed_;
};

// The settings of a small deployment, after the example of the wire page.
inline Json node_configuration(Registry& registry, int port, int memory_mb, int sockets, const Json& profiles) {
    return {{"name", "n1"},
            {"listen", address_of(port)},
            {"discovery", registry.address()},
            {"seed", "8c1f30d27a5be964"},
            {"limits", {{"cores", 1.0}, {"memory_mb", memory_mb}, {"sockets", sockets}}},
            {"known", registry.snapshot()},
            {"settings",
             {{"azs", {"a"}},
              {"zone", "a"},
              {"balancers", 1},
              {"models", {"m1", "m2"}},
              {"quantum-ms", 4},
              {"family", "twostage"},
              {"family-info",
               {{"role-by-kind", {"read", "write"}},
                {"tokens-by-kind", {197820, 123629}},
                {"release-ms", 1000},
                {"aim-us-per-1000-prompt-tokens", {40000}},
                {"token-aim-ms", {60}}}},
              {"limits",
               {{"cancel", true}, {"max-attempts", 6}, {"retry-after", true}, {"max-retry-after-ms", 1000},
                {"conn-idle-ms", 15000}, {"connect-timeout-ms", 250}, {"most-held", 30243}}},
              {"profiles", profiles},
              {"realms", {{{"name", "acme"}, {"fraction", 1.0}, {"quota-per-s", 500}}}},
              {"safety",
               {{"fall-ms", 3000}, {"tip-multiple", 2.5}, {"start-capacity", 0.3}, {"warm-within-ms", 14000},
                {"drain-grace-ms", 250}, {"answer-slack-ms", 16}}}}}};
}
inline std::string write_configuration(const Json& configuration) {
    const std::string path = run().temp + "/config.json";
    std::ofstream(path + ".new") << configuration.dump();
    if (std::rename((path + ".new").c_str(), path.c_str()) != 0) finish(kCouldNotRun, "no configuration");
    return path;
}
