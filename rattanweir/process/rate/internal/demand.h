// How many tokens a second are asked for here, as two decaying averages.
//
//   Demand demand(now);
//   demand.Add(now, 500);
//   double tokensPerSecond = demand.Steady(now);
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

  // Over about five seconds.
  double Steady(SteadyTime aNow) const;

  // Follows a rise within about a second, a fall as Steady does.
  double Rising(SteadyTime aNow) const;

private:
  SteadyTime m_at;
  double m_fast = 0;
  double m_slow = 0;
};

} // namespace rattanweir::internal
