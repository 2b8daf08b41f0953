#include "soak/cpu_share.h"

#include <signal.h>

#include <utility>

namespace copperfront::soak {
namespace {

constexpr Duration kPeriod{20000};  // one stop and one continuation

}  // namespace

CpuShare::CpuShare(Loop& loop, scenario::ChildProcesses& processes, std::string process, double share)
    : processes_(processes),
      process_(std::move(process)),
      share_(share),
      toggle_timer_(loop, [this] { toggle(); }) {
    toggle();
}

CpuShare::~CpuShare() { processes_.signal(process_, SIGCONT); }

void CpuShare::toggle() {
    if (share_ >= 1) return;
    running_ = !running_;
    processes_.signal(process_, running_ ? SIGCONT : SIGSTOP);
    toggle_timer_.set(kPeriod * (running_ ? share_ : 1 - share_));
}

}  // namespace copperfront::soak
