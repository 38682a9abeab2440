// Token demand at this instance in tokens per second: an exponentially decaying
// average with a time constant of 5 s.
//
//   Demand demand(now);
//   demand.Add(now, 500);
//   double expected = demand.TokensPerSecond(now);
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"

namespace rattanweir::internal {

class Demand
{
public:
  explicit Demand(SteadyTime aNow)
    : m_at(aNow)
  {
  }

  void Add(SteadyTime aNow, double aTokens);
  double TokensPerSecond(SteadyTime aNow) const;

private:
  // The average at `m_at`; decays from then on.
  double m_tokensPerSecond = 0;
  SteadyTime m_at;
};

} // namespace rattanweir::internal
