// The time, behind an interface that a test can drive by hand.
//
//   const Clock& clock = SystemClock();
//   const SteadyTime deadline = clock.SteadyNow() + 2s;
//
// Decisions take a `const Clock&` and never ask the system themselves. The
// steady clock counts the time that the machine was suspended as well, so a
// process that was paused or a machine that slept sees the gap. Calls are safe
// from any thread.

#pragma once

#include <chrono>

namespace rattanweir {

// A point on the steady clock of this process.
using SteadyTime =
  std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

// A point on the wall clock, comparable between instances only within the
// clocks' error.
using WallTime =
  std::chrono::time_point<std::chrono::system_clock, std::chrono::nanoseconds>;

// Tells the time.
class Clock
{
public:
  virtual ~Clock() = default;

  // Never goes back; has no meaning outside this process.
  virtual SteadyTime SteadyNow() const = 0;

  // Nanoseconds since 1970-01-01 UTC.
  virtual WallTime WallNow() const = 0;
};

// The clock of the operating system, alive as long as the process.
const Clock&
SystemClock();

} // namespace rattanweir
