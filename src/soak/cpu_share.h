// Gives a process a part of a core by stopping and continuing it in turn, as a machine that many processes
// share does. The caller ends it before the process is signalled otherwise.
#pragma once

#include <string>

#include "day/process.h"
#include "net/loop.h"

namespace copperfront::soak {

class CpuShare {
  public:
    // `share`: of one core, more than 0 and at most 1.
    CpuShare(Loop& loop, day::Processes& processes, std::string process, double share);
    // The process runs on.
    ~CpuShare();
    CpuShare(const CpuShare&) = delete;
    CpuShare& operator=(const CpuShare&) = delete;

  private:
    void turn();

    day::Processes& processes_;
    const std::string process_;
    const double share_;
    bool running_ = true;
    Timer next_;
};

}  // namespace copperfront::soak
