// A library to preload into a gateway under test (never linked into the program): makes system calls fail,
// return short counts or be interrupted as Linux documents, and steps the wall clock, by a schedule that its
// seed determines.
//
//   FAULT_SHIM_SEED   number; the same seed draws the same faults for the same sequence of calls
//   FAULT_SHIM_RATE   share of the calls that meet a fault outside bursts; 0.004 by default. Over 0, each
//                     call also fails once early in the life of the process, so that each is tested
//   FAULT_SHIM_LOG    file that gets a line per fault: call, descriptor, fault, number of the draw, seed
//   FAULT_SHIM_SABOTAGE  makes the gateway break a rule, to check that this is detected: "releases"
//                     drops its releases, "answers" its error answers to clients
//   FAULT_SHIM_CLOCK  microseconds by which the wall clock is wrong from the start; 0 by default
//   FAULT_SHIM_CLOCK_STEP  microseconds by which it is stepped forward and back in service, each 1.5 s
//
// Connections of clients meet only transient faults (interruptions, short counts, lack of memory); those to
// servers and discovery may break as well. A broken connection is really shut down, so that both ends agree.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace {

constexpr int kMaxDescriptors = 65536;
constexpr double kBurstRate = 0.4;
constexpr std::uint64_t kSlicesPerBurst =
    40;  // one in this many slices of time has a burst of one kind of call
constexpr std::uint64_t kSliceNanoseconds = 150000000;
constexpr std::uint64_t kSlicesOfClockStep = 10;
constexpr std::uint64_t kNanosecondsPerSecond = 1000000000;
constexpr long kMicrosecondsPerSecond = 1000000;
// The first fault of each call comes after this many of its calls, and at the latest within this many more.
constexpr std::uint64_t kMinCallsBeforeFirstFault = 8;
constexpr std::uint64_t kFirstFaultCallRange = 16;

// Calls of one kind have their bursts together.
enum class Kind : std::uint64_t { accept, socket, connect, read, write, wait, option };

struct Call {
    const char* name;
    Kind kind;
    std::uint64_t number;  // distinguishes calls in draws
    std::atomic<std::uint64_t> count{0};
    std::atomic<bool> has_failed{false};
};
Call accept_call{"accept4", Kind::accept, 1};
Call socket_call{"socket", Kind::socket, 2};
Call connect_call{"connect", Kind::connect, 3};
Call readv_call{"readv", Kind::read, 4};
Call writev_call{"writev", Kind::write, 5};
Call recv_call{"recv", Kind::read, 6};
Call poll_call{"poll", Kind::wait, 7};
Call epoll_wait_call{"epoll_wait", Kind::wait, 8};
Call setsockopt_call{"setsockopt", Kind::option, 9};
Call getsockname_call{"getsockname", Kind::option, 10};
Call epoll_ctl_call{"epoll_ctl", Kind::option, 11};

template <class Function>
Function* next_function(const char* name) {
    return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

std::uint64_t mix_bits(std::uint64_t x) {
    x += 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

struct Settings {
    std::uint64_t seed = 0;
    double rate = 0.004;
    int log = -1;
    std::int64_t wall_clock_error_us = 0, wall_clock_step_us = 0;
    const char* sabotage = "";
    Settings() {
        if (const char* text = getenv("FAULT_SHIM_SABOTAGE")) sabotage = text;
        if (const char* text = getenv("FAULT_SHIM_SEED")) seed = strtoull(text, nullptr, 10);
        if (const char* text = getenv("FAULT_SHIM_RATE")) rate = strtod(text, nullptr);
        if (const char* text = getenv("FAULT_SHIM_CLOCK")) wall_clock_error_us = strtoll(text, nullptr, 10);
        if (const char* text = getenv("FAULT_SHIM_CLOCK_STEP"))
            wall_clock_step_us = strtoll(text, nullptr, 10);
        if (const char* text = getenv("FAULT_SHIM_LOG"))
            log = open(text, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    }
};
const Settings& settings() {
    static const Settings loaded;
    return loaded;
}

std::atomic<std::uint64_t> draws{0};
std::atomic<bool> accepted[kMaxDescriptors];
std::atomic<std::uint32_t> epoll_events[kMaxDescriptors];  // events registered with epoll, by descriptor

std::uint64_t slice_now() {
    static const auto clock = next_function<int(clockid_t, timespec*)>("clock_gettime");
    timespec at{};
    clock(CLOCK_MONOTONIC, &at);
    return (static_cast<std::uint64_t>(at.tv_sec) * kNanosecondsPerSecond +
            static_cast<std::uint64_t>(at.tv_nsec)) /
           kSliceNanoseconds;
}

// Whether the call has reached the count at which it fails for sure, and has not failed yet.
bool is_first_fault_due(Call& call) {
    const std::uint64_t count = ++call.count;
    if (settings().rate <= 0 || call.has_failed.load()) return false;
    return count >
           kMinCallsBeforeFirstFault + mix_bits(settings().seed * 16 + call.number) % kFirstFaultCallRange;
}

// A fresh random number if this call is to fail, otherwise 0.
std::uint64_t draw_fault(Call& call) {
    const std::uint64_t draw = ++draws;
    const std::uint64_t random = mix_bits(settings().seed * 1000003 + draw);
    if (is_first_fault_due(call)) return mix_bits(random) | 1;
    const std::uint64_t slice =
        mix_bits(settings().seed ^ mix_bits(slice_now() * 16 + static_cast<std::uint64_t>(call.kind)));
    const double rate = settings().rate > 0 && slice % kSlicesPerBurst == 0 ? kBurstRate : settings().rate;
    const double drawn = static_cast<double>(random >> 11) / 9007199254740992.0;
    return drawn < rate ? mix_bits(random) | 1 : 0;
}

void log_fault(Call& call, int fd, const char* what) {
    call.has_failed = true;
    if (settings().log < 0) return;
    char line[160];
    const int length = snprintf(line, sizeof line, "%s %d %s %llu %llu\n", call.name, fd, what,
                                static_cast<unsigned long long>(draws.load()),
                                static_cast<unsigned long long>(settings().seed));
    static const auto write_line = next_function<ssize_t(int, const void*, size_t)>("write");
    if (length > 0) (void)!write_line(settings().log, line, static_cast<size_t>(length));
}

bool is_network(int fd) {
    if (fd <= STDERR_FILENO || fd >= kMaxDescriptors) return false;
    static const auto name_of = next_function<int(int, sockaddr*, socklen_t*)>("getsockname");
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    const int saved = errno;
    const bool network = name_of(fd, reinterpret_cast<sockaddr*>(&address), &length) == 0 &&
                         (address.ss_family == AF_INET || address.ss_family == AF_INET6);
    errno = saved;
    return network;
}

struct Errno {
    int number;
    const char* name;
};

int fail(Call& call, int fd, const Errno& chosen) {
    log_fault(call, fd, chosen.name);
    errno = chosen.number;
    return -1;
}

// For faults that break a connection for good: it breaks for the peer as well.
int break_connection(Call& call, int fd, const Errno& chosen) {
    shutdown(fd, SHUT_RDWR);
    return fail(call, fd, chosen);
}

constexpr Errno kAcceptFaults[] = {{ECONNABORTED, "ECONNABORTED"}, {EMFILE, "EMFILE"}, {ENFILE, "ENFILE"},
                                   {ENOBUFS, "ENOBUFS"},           {ENOMEM, "ENOMEM"}, {EINTR, "EINTR"}};
constexpr Errno kSocketFaults[] = {
    {EMFILE, "EMFILE"}, {ENFILE, "ENFILE"}, {ENOBUFS, "ENOBUFS"}, {ENOMEM, "ENOMEM"}};
constexpr Errno kConnectFaults[] = {{ECONNREFUSED, "ECONNREFUSED"},
                                    {ENETUNREACH, "ENETUNREACH"},
                                    {EADDRNOTAVAIL, "EADDRNOTAVAIL"},
                                    {EHOSTUNREACH, "EHOSTUNREACH"},
                                    {ETIMEDOUT, "ETIMEDOUT"}};
constexpr Errno kTransientFaults[] = {
    {EINTR, "EINTR"}, {EAGAIN, "EAGAIN"}, {ENOMEM, "ENOMEM"}, {ENOBUFS, "ENOBUFS"}};
constexpr Errno kConnectionFaults[] = {
    {ECONNRESET, "ECONNRESET"}, {ETIMEDOUT, "ETIMEDOUT"}, {EHOSTUNREACH, "EHOSTUNREACH"}, {EPIPE, "EPIPE"}};
constexpr Errno kPeekFaults[] = {{EINTR, "EINTR"}, {ENOMEM, "ENOMEM"}};
constexpr Errno kWatchFaults[] = {{ENOMEM, "ENOMEM"}, {ENOSPC, "ENOSPC"}};
constexpr Errno kOptionFaults[] = {{ENOBUFS, "ENOBUFS"}, {ENOMEM, "ENOMEM"}};

template <std::size_t N>
const Errno& one_of(const Errno (&faults)[N], std::uint64_t random) {
    return faults[random / 8 % N];
}

bool begins_with(const iovec& piece, const char* text) {
    const std::size_t length = strlen(text);
    return piece.iov_len >= length && memcmp(piece.iov_base, text, length) == 0;
}

// Whether these bytes are to be dropped as if they had been sent.
bool is_dropped(int fd, const iovec* pieces) {
    if (settings().sabotage[0] == 0 || !is_network(fd)) return false;
    if (strcmp(settings().sabotage, "releases") == 0) return begins_with(pieces[0], "DELETE ");
    return accepted[fd].load() && begins_with(pieces[0], "HTTP/1.1 50");
}

// What happens to a call that transfers bytes.
enum class Transfer { usual, failed, short_count };
Transfer transfer_fault(Call& call, int fd, std::uint64_t& random) {
    random = draw_fault(call);
    if (random == 0 || !is_network(fd)) return Transfer::usual;
    const std::uint64_t sort = random / 1024 % 8;
    if (sort < 4) {
        log_fault(call, fd, "short");
        return Transfer::short_count;
    }
    if (sort < 7 || accepted[fd].load()) {
        fail(call, fd, one_of(kTransientFaults, random));
    } else {
        break_connection(call, fd, one_of(kConnectionFaults, random));
    }
    return Transfer::failed;
}

std::size_t shortened(std::size_t size, std::uint64_t random) {
    return size <= 1 ? size : 1 + random / 65536 % std::min<std::size_t>(size - 1, 64);
}

}  // namespace

// NOLINTBEGIN(readability-identifier-naming): the names are the C library's.
extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
    static const auto next = next_function<int(int, sockaddr*, socklen_t*, int)>("accept4");
    if (const std::uint64_t random = draw_fault(accept_call))
        return fail(accept_call, fd, one_of(kAcceptFaults, random));
    const int descriptor = next(fd, address, length, flags);
    if (descriptor >= 0 && descriptor < kMaxDescriptors) accepted[descriptor] = true;
    return descriptor;
}

int socket(int domain, int type, int protocol) {
    static const auto next = next_function<int(int, int, int)>("socket");
    if (domain == AF_INET)
        if (const std::uint64_t random = draw_fault(socket_call))
            return fail(socket_call, -1, one_of(kSocketFaults, random));
    const int descriptor = next(domain, type, protocol);
    if (descriptor >= 0 && descriptor < kMaxDescriptors) accepted[descriptor] = false;
    return descriptor;
}

int connect(int fd, const sockaddr* address, socklen_t length) {
    static const auto next = next_function<int(int, const sockaddr*, socklen_t)>("connect");
    const std::uint64_t random = draw_fault(connect_call);
    if (random == 0) return next(fd, address, length);
    if (random / 8 % 4 != 0) return fail(connect_call, fd, one_of(kConnectFaults, random));
    // An interrupted connect continues by itself.
    next(fd, address, length);
    return fail(connect_call, fd, {EINTR, "EINTR"});
}

ssize_t readv(int fd, const iovec* pieces, int count) {
    static const auto next = next_function<ssize_t(int, const iovec*, int)>("readv");
    std::uint64_t random = 0;
    switch (transfer_fault(readv_call, fd, random)) {
        case Transfer::failed:
            return -1;
        case Transfer::short_count: {
            iovec first = pieces[0];
            first.iov_len = shortened(first.iov_len, random);
            return next(fd, &first, 1);
        }
        case Transfer::usual:
            break;
    }
    return next(fd, pieces, count);
}

ssize_t writev(int fd, const iovec* pieces, int count) {
    static const auto next = next_function<ssize_t(int, const iovec*, int)>("writev");
    if (is_dropped(fd, pieces)) {
        ssize_t all = 0;
        for (int n = 0; n < count; ++n) all += static_cast<ssize_t>(pieces[n].iov_len);
        return all;
    }
    std::uint64_t random = 0;
    switch (transfer_fault(writev_call, fd, random)) {
        case Transfer::failed:
            return -1;
        case Transfer::short_count: {
            iovec first = pieces[0];
            first.iov_len = shortened(first.iov_len, random);
            return next(fd, &first, 1);
        }
        case Transfer::usual:
            break;
    }
    return next(fd, pieces, count);
}

ssize_t recv(int fd, void* buffer, size_t size, int flags) {
    static const auto next = next_function<ssize_t(int, void*, size_t, int)>("recv");
    if (const std::uint64_t random = draw_fault(recv_call); random != 0 && is_network(fd))
        return fail(recv_call, fd, one_of(kPeekFaults, random));
    return next(fd, buffer, size, flags);
}

int poll(pollfd* fds, nfds_t count, int timeout) {
    static const auto next = next_function<int(pollfd*, nfds_t, int)>("poll");
    if (const std::uint64_t random = draw_fault(poll_call))
        return fail(poll_call, -1, one_of(kPeekFaults, random));
    return next(fds, count, timeout);
}

int epoll_wait(int fd, epoll_event* events, int max_events, int timeout) {
    static const auto next = next_function<int(int, epoll_event*, int, int)>("epoll_wait");
    if (draw_fault(epoll_wait_call) != 0) return fail(epoll_wait_call, fd, {EINTR, "EINTR"});
    return next(fd, events, max_events, timeout);
}

int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) {
    static const auto next = next_function<int(int, int, int, epoll_event*)>("epoll_ctl");
    if (fd < 0 || fd >= kMaxDescriptors) return next(epoll, operation, fd, event);
    const std::uint32_t before = operation == EPOLL_CTL_MOD ? epoll_events[fd].load() : 0;
    const std::uint32_t wanted = operation == EPOLL_CTL_DEL ? 0 : event->events;
    // A change that only removes events needs no resources of the system.
    const std::uint64_t random = (wanted & ~before) != 0 ? draw_fault(epoll_ctl_call) : 0;
    if (random != 0 && is_network(fd)) return fail(epoll_ctl_call, fd, one_of(kWatchFaults, random));
    const int result = next(epoll, operation, fd, event);
    if (result == 0) epoll_events[fd] = wanted;
    return result;
}

int setsockopt(int fd, int level, int name, const void* value, socklen_t length) {
    static const auto next = next_function<int(int, int, int, const void*, socklen_t)>("setsockopt");
    if (const std::uint64_t random = draw_fault(setsockopt_call); random != 0 && is_network(fd))
        return fail(setsockopt_call, fd, one_of(kOptionFaults, random));
    return next(fd, level, name, value, length);
}

int getsockname(int fd, sockaddr* address, socklen_t* length) {
    static const auto next = next_function<int(int, sockaddr*, socklen_t*)>("getsockname");
    if (const std::uint64_t random = draw_fault(getsockname_call); random != 0 && is_network(fd))
        return fail(getsockname_call, fd, one_of(kOptionFaults, random));
    return next(fd, address, length);
}

int clock_gettime(clockid_t which, timespec* at) {
    static const auto next = next_function<int(clockid_t, timespec*)>("clock_gettime");
    const int result = next(which, at);
    if (which != CLOCK_REALTIME || result != 0) return result;
    const bool stepped = slice_now() / kSlicesOfClockStep % 2 == 1;
    const std::int64_t off =
        settings().wall_clock_error_us + (stepped ? settings().wall_clock_step_us : std::int64_t{0});
    at->tv_sec += off / kMicrosecondsPerSecond;
    at->tv_nsec += off % kMicrosecondsPerSecond * 1000;
    if (at->tv_nsec < 0) {
        --at->tv_sec;
        at->tv_nsec += static_cast<long>(kNanosecondsPerSecond);
    }
    if (at->tv_nsec >= static_cast<long>(kNanosecondsPerSecond)) {
        ++at->tv_sec;
        at->tv_nsec -= static_cast<long>(kNanosecondsPerSecond);
    }
    return result;
}

}  // extern "C"
// NOLINTEND(readability-identifier-naming)
