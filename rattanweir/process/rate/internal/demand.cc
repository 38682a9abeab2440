#include "rattanweir/process/rate/internal/demand.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace rattanweir::internal {
namespace {

constexpr double kFastSeconds = 1;
constexpr double kSlowSeconds = 5;

double
Decay(std::chrono::nanoseconds aTime, double aSeconds)
{
  return std::exp(-std::chrono::duration<double>(aTime).count() / aSeconds);
}

} // namespace

void
Demand::Add(SteadyTime aNow, double aTokens)
{
  m_fast = m_fast * Decay(aNow - m_at, kFastSeconds) + aTokens / kFastSeconds;
  m_slow = m_slow * Decay(aNow - m_at, kSlowSeconds) + aTokens / kSlowSeconds;
  m_at = aNow;
}

double
Demand::Steady(SteadyTime aNow) const
{
  return m_slow * Decay(aNow - m_at, kSlowSeconds);
}

double
Demand::Rising(SteadyTime aNow) const
{
  return std::max(Steady(aNow), m_fast * Decay(aNow - m_at, kFastSeconds));
}

} // namespace rattanweir::internal
