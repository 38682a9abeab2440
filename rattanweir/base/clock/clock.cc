#include "rattanweir/base/clock/clock.h"

#include <ctime>

namespace rattanweir {
namespace {

class OperatingSystemClock final : public Clock
{
public:
  SteadyTime SteadyNow() const override
  {
    // Unlike std::chrono::steady_clock, CLOCK_BOOTTIME advances while the
    // machine is suspended.
    std::timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return SteadyTime(std::chrono::seconds(now.tv_sec) +
                      std::chrono::nanoseconds(now.tv_nsec));
  }

  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace

const Clock&
SystemClock()
{
  static const OperatingSystemClock clock;
  return clock;
}

} // namespace rattanweir
