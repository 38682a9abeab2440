#include "rattanweir/process/config_lag/config_lag.h"

namespace rattanweir {

bool
ConfigLagDetector::ShouldReadAgain(SectionVersion aInForce,
                                   SectionVersion aNewestOfPeers)
{
  if (aNewestOfPeers <= aInForce) {
    m_behindSince.reset();
    return false;
  }
  const SteadyTime now = m_options.m_clock.SteadyNow();
  if (!m_behindSince) {
    m_behindSince = now;
  }
  if (now - *m_behindSince < m_options.m_tolerance) {
    return false;
  }
  m_behindSince = now;
  return true;
}

} // namespace rattanweir
