#include "rattanweir/process/server_performance/latency_model.h"

#include <algorithm>
#include <cmath>

namespace rattanweir {
namespace {

// Prompts of at least this part of the reference count as long.
constexpr int kLongFraction = 3;

std::chrono::nanoseconds
ToDuration(double aNanoseconds)
{
  return std::chrono::nanoseconds(static_cast<std::int64_t>(aNanoseconds));
}

} // namespace

LatencyModel::LatencyModel(const LatencyModelOptions& aOptions)
  : m_options(aOptions)
  , m_fixedCost(static_cast<double>(aOptions.m_initialFixedCost.count()))
  , m_costPerToken(aOptions.m_initialCostPerToken.count())
{
}

std::chrono::nanoseconds
LatencyModel::Estimate(Tokens aTokens) const
{
  return ToDuration(m_fixedCost +
                    m_costPerToken * static_cast<double>(aTokens.Value()));
}

void
LatencyModel::Observe(const LatencyObservation& aObservation)
{
  const auto error = static_cast<double>(
    (aObservation.m_observed - aObservation.m_estimate).count());
  if (m_observations < m_options.m_startingObservations) {
    // The least of the first delays is the one that holds no queueing.
    m_fixedCost = m_observations == 0
                    ? m_fixedCost + error
                    : std::min(m_fixedCost, m_fixedCost + error);
    m_fixedCost = ClampFixedCost(m_fixedCost);
    ++m_observations;
    return;
  }
  const auto reference = static_cast<double>(
    std::max(aObservation.m_estimate, m_options.m_minReference).count());
  const double relative = std::min(1.0, std::abs(error) / reference);
  const bool isLong = aObservation.m_tokens.Value() * kLongFraction >=
                      m_options.m_referenceTokens.Value();
  double& meanError = m_meanErrors[isLong ? 1 : 0];
  meanError = meanError == 0
                ? relative
                : meanError + m_options.m_errorWeight * (relative - meanError);
  const double step =
    std::copysign(m_options.m_step * meanError * reference, error);
  // A normalized gradient step: short prompts hardly move the cost per token,
  // since their errors would be amplified in the estimates of long ones.
  const auto referenceTokens =
    static_cast<double>(m_options.m_referenceTokens.Value());
  const double size =
    static_cast<double>(std::max(Tokens(0), aObservation.m_tokens).Value()) /
    referenceTokens;
  const double norm = 1 + size * size;
  m_fixedCost = ClampFixedCost(m_fixedCost + step / norm);
  m_costPerToken =
    std::clamp(m_costPerToken + step * size / norm / referenceTokens,
               0.0,
               m_options.m_maxCostPerToken.count());
}

double
LatencyModel::ClampFixedCost(double aCost) const
{
  return std::clamp(aCost,
                    static_cast<double>(m_options.m_minFixedCost.count()),
                    static_cast<double>(m_options.m_maxFixedCost.count()));
}

std::chrono::nanoseconds
LatencyModel::FixedCost() const
{
  return ToDuration(m_fixedCost);
}

std::chrono::duration<double, std::nano>
LatencyModel::CostPerToken() const
{
  return std::chrono::duration<double, std::nano>(m_costPerToken);
}

} // namespace rattanweir
