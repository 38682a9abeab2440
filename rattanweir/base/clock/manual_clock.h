// A clock that advances only when Advance is called, for tests and emulators.
//
//   ManualClock clock;
//   clock.Advance(250ms);
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"

namespace rattanweir {

class ManualClock final : public Clock
{
public:
  SteadyTime SteadyNow() const override { return m_steady; }
  WallTime WallNow() const override { return m_wall; }

  // Advances both the steady and the wall clock.
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
