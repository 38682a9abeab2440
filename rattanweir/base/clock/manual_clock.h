// A clock that only moves when it is told to, for tests and emulators.
//
//   ManualClock clock;
//   clock.Advance(250ms);
//
// Not safe for use from several threads at once.

#pragma once

#include "rattanweir/base/clock/clock.h"

namespace rattanweir {

class ManualClock final : public Clock
{
public:
  SteadyTime SteadyNow() const override { return m_steady; }
  WallTime WallNow() const override { return m_wall; }

  // Moves both clocks forward.
  void Advance(std::chrono::nanoseconds aDuration)
  {
    m_steady += aDuration;
    m_wall += aDuration;
  }

private:
  SteadyTime m_steady{ std::chrono::hours(1) };
  WallTime m_wall{ std::chrono::hours(24 * 365 * 56) };
};

} // namespace rattanweir
