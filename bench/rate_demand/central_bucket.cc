#include "bench/rate_demand/central_bucket.h"

#include <algorithm>

namespace rattanweir::bench {

CentralBucket::CentralBucket(const CentralBucketOptions& aOptions)
  : m_options(aOptions)
{
}

double
CentralBucket::Offer(double aTime, double aTokens)
{
  const double refill = (aTime - m_time) * m_options.m_rate;
  m_tokens = std::min(m_options.m_burst, m_tokens + refill);
  m_time = aTime;
  if (m_tokens - aTokens < -m_options.m_maxWaitSeconds * m_options.m_rate) {
    return 0;
  }
  m_tokens -= aTokens;
  return aTokens;
}

} // namespace rattanweir::bench
