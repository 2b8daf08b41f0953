// Case "failback": six in ten model servers are replaced within 7 s, under load.
//   cold FOLDER TROUBLE      writes FOLDER/g1.json, g2.json and FOLDER/record.txt; exit code 0, 1 or 2
#include "rig.h"

using namespace rig;

namespace {

constexpr int kPrefill = 5, kDecode = 5, kGateways = 2;
constexpr double kSlots = 100, kStreamS = 6;             // a warm decode server: answers at once, and each one's length
constexpr double kCapacity = kSlots / kStreamS;          // answers a second
constexpr double kLoad = 0.8;                            // of what all decode servers can do: within the range of a big day
constexpr double kTipMultiple = 2.5, kStartCapacity = 0.3, kFallMs = 3000, kWarmWithinMs = 14000;
constexpr double kWarmUpS = 30, kWatchS = 22;
constexpr int kEvents = 30;

struct ModelServer {
    std::string name;
    bool prefill = false;
    double since = -1;  // on this process's clock; -1: long ago
    Server server;
    std::mutex mutex;
    std::deque<double> arrivals;  // within the last window
    std::uint64_t taken = 0;
    double most_share = 0;

    // The share of its capacity that it can do; it climbs evenly, faster than the settings promise at least.
    double capacity(double at) const {
        if (since < 0) return 1;
        return std::min(1.0, kStartCapacity + (1 - kStartCapacity) * (at - since) / kWarmWithinMs);
    }
};

Discovery discovery;
std::mutex states_mutex;
std::set<std::string> states;
std::vector<std::unique_ptr<ModelServer>> servers;
std::atomic<int> fallen{0}, broken{0}, whole{0}, rejected{0}, failed{0}, unanswered{0};
std::atomic<bool> over{false};

// Whether a cold server falls over with this arrival: more than N + 2 root N + 2 requests (N under 30: N + 3 root N
// + 3) in the time that the settings name, N being what they allow it then.
void count_arrival(ModelServer& s, const std::string& id) {
    std::lock_guard<std::mutex> lock(s.mutex);
    const double now = now_ms();
    ++s.taken;
    if (s.since < 0) return;
    record.line("arrived %s %s", s.name.c_str(), id.c_str());
    s.arrivals.push_back(now);
    while (now - s.arrivals.front() > kFallMs) s.arrivals.pop_front();
    if (now - s.since > kWarmWithinMs) return;
    const double from = std::max(s.since, now - kFallMs);
    // A window that begins before the start is taken as a whole one from the start on, which allows more.
    const double mean = (s.capacity(from) + s.capacity(from + kFallMs)) / 2;
    const double n = kTipMultiple * mean * kCapacity * kFallMs / 1000;
    const double most = n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
    const double count = static_cast<double>(s.arrivals.size());
    s.most_share = std::max(s.most_share, count / most);
    if (count <= most) return;
    double told = 0;
    for (std::size_t g = 0; g < kGateways; ++g) {
        const double at = discovery.told_at(g, s.name, "up");
        if (at == 0) return;  // not told to all yet: nothing is judged
        told = std::max(told, at);
    }
    std::size_t after_told = 0;
    for (const double at : s.arrivals) after_told += at > told;
    if (static_cast<double>(after_told) * 3 <= count * 2) return;
    record.line("FALLS OVER %s: %.0f requests within %.0f ms, %.1f allowed (N %.1f), %.0f ms after its start, told "
                "%.0f ms after it; %zu of them after that",
                s.name.c_str(), count, kFallMs, most, n, now - s.since, told - s.since, after_told);
    ++fallen;
    std::thread([&s] { s.server.die(); }).detach();
}

void serve(ModelServer& s, int fd) {
    Reader reader(fd);
    Request request;
    while (read_request(reader, request)) {
        if (request.method == "DELETE") {
            std::lock_guard<std::mutex> lock(states_mutex);
            states.erase(request.target.substr(request.target.rfind('/') + 1));
            if (!send_all(fd, "HTTP/1.1 204 No Content\r\n\r\n")) return;
            continue;
        }
        if (s.prefill || s.since < 0) record.line("arrived %s %s", s.name.c_str(), request.id.c_str());
        if (!s.prefill) count_arrival(s, request.id);
        if (s.prefill) {
            sleep_ms(40);
            {
                std::lock_guard<std::mutex> lock(states_mutex);
                states.insert(request.id);
            }
            if (!send_all(fd, response(202, "Content-Type: application/json\r\n", R"({"cached_tokens":0})"))) return;
            continue;
        }
        {
            std::lock_guard<std::mutex> lock(states_mutex);
            if (states.erase(request.id) == 0) {
                if (!send_all(fd, response(410, "X-Unprocessed: 1\r\n", ""))) return;
                continue;
            }
        }
        sleep_ms(20);
        std::string bytes = kStreamHead;
        for (int n = 0; n < kEvents; ++n) {
            bytes += chunk(event(request.id, n + 1 == kEvents));
            if (!send_all(fd, bytes)) return;
            bytes.clear();
            // A cold server is slower in the measure of what it can do.
            sleep_ms(kStreamS * 1000 / kEvents / s.capacity(now_ms()));
        }
        if (!send_all(fd, stream_end())) return;
    }
}

void start(const std::string& name, bool prefill, bool cold) {
    servers.push_back(std::make_unique<ModelServer>());
    ModelServer& s = *servers.back();
    s.name = name;
    s.prefill = prefill;
    s.since = cold ? now_ms() : -1;
    s.server.start([&s](int fd) { serve(s, fd); });
    Entry entry;
    entry.name = name;
    entry.address = "127.0.0.1:" + std::to_string(s.server.port);
    entry.type = prefill ? "prefill" : "decode";
    entry.status = "up";
    entry.since_ms = cold ? wall_ms() : 0;
    discovery.set(entry);
}

void drain(const std::string& name) {
    Entry entry = discovery.get(name);
    entry.status = "draining";
    discovery.set(entry);
}

void one_client(std::uint16_t port, int n) {
    Call call;
    call.id = "q" + std::to_string(n);
    const int fd = dial(port);
    if (fd < 0) {
        ++unanswered;
        return;
    }
    Reader reader(fd);
    record.line("client %s: sends", call.id.c_str());
    send_all(fd, call.text());
    const Answer answer = read_answer(reader, 30000);
    close(fd);
    if (over) return;
    record.line("client %s: got %d%s", call.id.c_str(), answer.status,
                answer.status == 0 ? ", no answer" : answer.whole ? "" : ", its stream broke");
    if (answer.status == 200 && answer.whole) ++whole;
    else if (answer.status == 200) ++broken;
    else if (answer.status == 503 || answer.status == 429) ++rejected;
    else if (answer.status != 0) ++failed;
    else ++unanswered;
}

std::string terms(int gateway, std::uint16_t listen, std::uint16_t agent) {
    return R"({"name":"g)" + std::to_string(gateway) + R"(","listen":"127.0.0.1:)" + std::to_string(listen) +
           R"(","discovery":"127.0.0.1:)" + std::to_string(agent) + R"(","seed":")" + std::to_string(wall_ms()) +
           std::to_string(gateway) + R"(","limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},"known":)" + discovery.whole() +
           R"(,"settings":{"azs":["a"],"zone":"a","balancers":2,"models":["prefill","decode"],"quantum-ms":4,
 "family-info":{"role-by-kind":["read","write"],"tokens-by-kind":[200000,120000],"release-ms":1000,
  "aim-us-per-1000-prompt-tokens":[40000],"token-aim-ms":[60]},
 "limits":{"cancel":true,"second-copies":true,"max-attempts":6,"retry-after":true,"max-retry-after-ms":1000,
  "conn-idle-ms":15000,"connect-timeout-ms":250,"most-held":10000},
 "profiles":[{"name":"help","target-ms":1500,"deadline-ms":6000,"effect":"repeatable","stream":true}],
 "realms":[{"name":"acme","quota-per-s":200}],
 "safety":{"answer-slack-ms":16,"drain-grace-ms":250,"fall-ms":3000,"tip-multiple":2.5,"start-capacity":0.3,
  "warm-within-ms":14000}}})";
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 3) return 2;
    const std::string folder = argv[1];
    const bool trouble = std::string(argv[2]) != "0";
    record.open(folder + "/record.txt");
    for (int n = 0; n < kPrefill; ++n) start("p" + std::to_string(n), true, false);
    for (int n = 0; n < kDecode; ++n) start("d" + std::to_string(n), false, false);
    std::vector<std::uint16_t> ports;
    for (int g = 0; g < kGateways; ++g) {
        ports.push_back(free_port());
        write_file(folder + "/g" + std::to_string(g + 1) + ".json", terms(g + 1, ports.back(), discovery.add_agent()));
    }
    for (const std::uint16_t port : ports)
        if (!wait_ready(port, 15000)) return 2;
    record.line("gateways are ready");

    const double begin = now_ms(), end = begin + (kWarmUpS + kWatchS) * 1000;
    std::thread change([&] {
        sleep_ms(begin + kWarmUpS * 1000 - now_ms());
        if (!trouble) return;
        // Six of ten within 6.5 s; each new one is there when its old one begins to drain.
        struct Swap {
            double at_ms;
            const char *old_one, *new_one;
        };
        const Swap swaps[] = {{0, "p0", "p5"},   {500, "p1", "p6"},  {1000, "d0", "d5"},
                              {1500, "d1", "d6"}, {2000, "d2", "d7"}, {6500, "d3", "d8"}};
        const double changes_from = now_ms();
        for (const Swap& swap : swaps) {
            sleep_ms(changes_from + swap.at_ms - now_ms());
            start(swap.new_one, swap.new_one[0] == 'p', true);
            drain(swap.old_one);
        }
    });
    const double gap = 1000 / (kLoad * kDecode * kCapacity);
    double next = begin;
    for (int n = 0; now_ms() < end; ++n) {
        std::thread(one_client, ports[static_cast<std::size_t>(n % kGateways)], n).detach();
        next += gap;
        sleep_ms(next - now_ms());
    }
    change.join();
    over = true;
    for (const auto& s : servers) {
        if (s->prefill) continue;
        record.line("%s: %llu requests; most in a window: %.2f of what is allowed", s->name.c_str(),
                    static_cast<unsigned long long>(s->taken), s->most_share);
    }
    record.line("%d answered, %d rejected, %d failed, %d streams broken, %d without an answer", whole.load(),
                rejected.load(), failed.load(), broken.load(), unanswered.load());
    record.line("verdict: %d model servers were pushed over", fallen.load());
    std::printf("%d model servers were pushed over, %d streams broke\n", fallen.load(), broken.load());
    std::fflush(stdout);
    // TROUBLE=0: also the quiet day has to be one on which nothing is lost.
    const bool bad = fallen > 0 || (!trouble && (broken > 0 || unanswered > 0));
    _exit(bad ? 1 : 0);
}
