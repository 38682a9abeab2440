#include "rattanweir/process/rate/internal/demand.h"

#include <chrono>
#include <cmath>

namespace rattanweir::internal {
namespace {

constexpr double kAverageSeconds = 5;

} // namespace

void
Demand::Add(SteadyTime aNow, double aTokens)
{
  m_tokensPerSecond = TokensPerSecond(aNow) + aTokens / kAverageSeconds;
  m_at = aNow;
}

double
Demand::TokensPerSecond(SteadyTime aNow) const
{
  const std::chrono::duration<double> age = aNow - m_at;
  return m_tokensPerSecond * std::exp(-age.count() / kAverageSeconds);
}

} // namespace rattanweir::internal
