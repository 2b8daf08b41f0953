// Limits a process to a share of one core by stopping and continuing it in turn, as on a machine that many
// processes share. Its owner destroys it before the process gets any other signal.
#pragma once

#include <string>

#include "net/loop.h"
#include "scenario/process.h"

namespace copperfront::soak {

class CpuShare {
  public:
    // `share`: of one core, more than 0 and at most 1.
    CpuShare(Loop& loop, scenario::ChildProcesses& processes, std::string process, double share);
    // Continues the process.
    ~CpuShare();
    CpuShare(const CpuShare&) = delete;
    CpuShare& operator=(const CpuShare&) = delete;

  private:
    void toggle();

    scenario::ChildProcesses& processes_;
    const std::string process_;
    const double share_;
    bool running_ = true;
    Timer toggle_timer_;
};

}  // namespace copperfront::soak
