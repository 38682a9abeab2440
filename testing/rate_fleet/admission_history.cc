#include "testing/rate_fleet/admission_history.h"

#include <algorithm>

namespace rattanweir {
namespace {

// Tolerance in tokens for floating-point rounding.
constexpr double kTolerance = 0.01;

} // namespace

void
AdmissionHistory::AdvanceTo(double aTime)
{
  m_excess -= m_rate * (aTime - m_time);
  m_time = aTime;
  if (!m_phases.empty()) {
    Phase& last = m_phases.back();
    last.m_lowestExcess = std::min(last.m_lowestExcess, m_excess);
  }
}

void
AdmissionHistory::SetLimits(double aTime, double aRate, double aBurst)
{
  AdvanceTo(aTime);
  m_rate = aRate;
  m_phases.push_back({ .m_lowestExcess = m_excess });
  for (Phase& phase : m_phases) {
    phase.m_burst = std::max(phase.m_burst, aBurst);
  }
}

void
AdmissionHistory::Add(double aTime, double aTokens)
{
  AdvanceTo(aTime);
  m_excess += aTokens;
  for (const Phase& phase : m_phases) {
    m_maxOverAdmission = std::max(
      m_maxOverAdmission, m_excess - phase.m_lowestExcess - phase.m_burst);
  }
}

double
AdmissionHistory::OverAdmission() const
{
  return m_maxOverAdmission > kTolerance ? m_maxOverAdmission : 0;
}

} // namespace rattanweir
