#include "testing/rate_fleet/admission_history.h"

#include <algorithm>

namespace rattanweir {
namespace {

// Sums of floating point numbers are off by less.
constexpr double kTolerance = 0.01;

} // namespace

void
AdmissionHistory::SetLimits(double aTime, double aRate, double aBurst)
{
  Add(aTime, 0);
  m_rate = aRate;
  m_largestBurst = std::max(m_largestBurst, aBurst);
}

void
AdmissionHistory::Add(double aTime, double aTokens)
{
  m_excess -= m_rate * (aTime - m_time);
  m_time = aTime;
  m_lowestExcess = std::min(m_lowestExcess, m_excess);
  m_excess += aTokens;
  m_worst = std::max(m_worst, m_excess - m_lowestExcess);
}

double
AdmissionHistory::OverAdmission() const
{
  const double over = m_worst - m_largestBurst;
  return over > kTolerance ? over : 0;
}

} // namespace rattanweir
