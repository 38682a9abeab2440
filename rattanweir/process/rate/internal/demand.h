// How many tokens a second are asked for here: a decaying average over about
// five seconds.
//
//   Demand demand(now);
//   demand.Add(now, 500);
//   double expected = demand.TokensPerSecond(now);
//
// For one thread.

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
  // At `m_at`; it decays from there.
  double m_tokensPerSecond = 0;
  SteadyTime m_at;
};

} // namespace rattanweir::internal
