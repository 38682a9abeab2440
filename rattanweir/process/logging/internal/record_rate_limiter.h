// Bounds how many records of each event are written.
//
//   RecordRateLimiter limit({ .m_perSecond = 200, .m_burst = 400 });
//   if (const auto admitted = limit.Admit("request_done", now)) {
//     // admitted->m_suppressed records of this event were left out before it.
//   }
//
// For one thread, or under a lock.

#pragma once

#include "rattanweir/base/clock/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace rattanweir {

struct RecordRateLimiterOptions
{
  // Of one event: a record for each request that a small instance serves at
  // its peak.
  double m_perSecond = 200;
  double m_burst = 400;
};

struct AdmittedRecord
{
  // Records of the event that were left out since the last admitted one.
  std::uint64_t m_suppressed = 0;
};

class RecordRateLimiter
{
public:
  explicit RecordRateLimiter(const RecordRateLimiterOptions& aOptions);

  // Nothing if the record is to be left out.
  std::optional<AdmittedRecord> Admit(std::string_view aEvent, SteadyTime aNow);

private:
  struct Bucket
  {
    double m_tokens = 0;
    SteadyTime m_refilledAt;
    std::uint64_t m_suppressed = 0;
  };

  RecordRateLimiterOptions m_options;
  std::map<std::string, Bucket, std::less<>> m_buckets;
};

} // namespace rattanweir
