#include "rattanweir/process/logging/internal/record_limit.h"

#include <algorithm>
#include <utility>

namespace rattanweir {

RecordLimit::RecordLimit(const RecordLimitOptions& aOptions)
  : m_options(aOptions)
{
}

std::optional<AdmittedRecord>
RecordLimit::Admit(std::string_view aEvent, SteadyTime aNow)
{
  auto found = m_buckets.find(aEvent);
  if (found == m_buckets.end()) {
    found =
      m_buckets
        .emplace(aEvent,
                 Bucket{ .m_level = m_options.m_burst, .m_filledAt = aNow })
        .first;
  }
  Bucket& bucket = found->second;
  const std::chrono::duration<double> passed = aNow - bucket.m_filledAt;
  bucket.m_level = std::min(
    m_options.m_burst, bucket.m_level + passed.count() * m_options.m_perSecond);
  bucket.m_filledAt = aNow;
  if (bucket.m_level < 1) {
    ++bucket.m_leftOut;
    return std::nullopt;
  }
  bucket.m_level -= 1;
  return AdmittedRecord{ .m_leftOut = std::exchange(bucket.m_leftOut, 0) };
}

} // namespace rattanweir
