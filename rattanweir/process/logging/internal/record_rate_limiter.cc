#include "rattanweir/process/logging/internal/record_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace rattanweir {

RecordRateLimiter::RecordRateLimiter(const RecordRateLimiterOptions& aOptions)
  : m_options(aOptions)
{
}

std::optional<AdmittedRecord>
RecordRateLimiter::Admit(std::string_view aEvent, SteadyTime aNow)
{
  auto found = m_buckets.find(aEvent);
  if (found == m_buckets.end()) {
    found =
      m_buckets
        .emplace(aEvent,
                 Bucket{ .m_tokens = m_options.m_burst, .m_refilledAt = aNow })
        .first;
  }
  Bucket& bucket = found->second;
  const std::chrono::duration<double> passed = aNow - bucket.m_refilledAt;
  bucket.m_tokens =
    std::min(m_options.m_burst,
             bucket.m_tokens + passed.count() * m_options.m_perSecond);
  bucket.m_refilledAt = aNow;
  if (bucket.m_tokens < 1) {
    ++bucket.m_suppressed;
    return std::nullopt;
  }
  bucket.m_tokens -= 1;
  return AdmittedRecord{ .m_suppressed =
                           std::exchange(bucket.m_suppressed, 0) };
}

} // namespace rattanweir
