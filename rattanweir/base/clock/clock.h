// Clock interface, so that tests can control the time.
//
//   const Clock& clock = SystemClock();
//   const SteadyTime deadline = clock.SteadyNow() + 2s;
//
// Code that depends on the time takes a `const Clock&` and does not read the
// system clock itself. The steady clock includes the time that the machine was
// suspended, so the gap is visible after a process pause or a machine suspend.
// Thread-safe.

#pragma once

#include <chrono>

namespace rattanweir {

// A time point of the steady clock of this process.
using SteadyTime =
  std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

// A time point of the wall clock. Comparable between instances only within the
// error of their clocks.
using WallTime =
  std::chrono::time_point<std::chrono::system_clock, std::chrono::nanoseconds>;

class Clock
{
public:
  virtual ~Clock() = default;

  // Never goes backwards. Has no meaning outside this process.
  virtual SteadyTime SteadyNow() const = 0;

  // Nanoseconds since 1970-01-01 UTC.
  virtual WallTime WallNow() const = 0;
};

// Returns the clock of the operating system, which is never destroyed before
// the process exits.
const Clock&
SystemClock();

} // namespace rattanweir
