// Limits the rate of log records of each event by a token bucket per event.
//
//   RecordRateLimiter limiter({ .m_perSecond = 200, .m_burst = 400 });
//   if (const auto admitted = limiter.Admit("request_done", now)) {
//     // admitted->m_suppressed records of this event were suppressed before
//     it.
//   }
//
// Not thread-safe.

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
  // Records of one event per second; sufficient for one record per request at
  // the peak load of a small instance.
  double m_perSecond = 200;
  double m_burst = 400;
};

struct AdmittedRecord
{
  // Records of the event that were suppressed since the last admitted one.
  std::uint64_t m_suppressed = 0;
};

class RecordRateLimiter
{
public:
  explicit RecordRateLimiter(const RecordRateLimiterOptions& aOptions);

  // Returns nullopt if the record must be suppressed.
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
