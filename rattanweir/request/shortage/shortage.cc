#include "rattanweir/request/shortage/shortage.h"

#include <algorithm>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// A caller that states less than this fraction of the route's timeout has been
// here before.
constexpr double kRetryTimeoutFraction = 0.9;
// A request that has missed its objective may wait for this fraction of the
// time that it had; the rest is left for a further attempt.
constexpr double kLateWaitFraction = 0.5;
// Callers honour Retry-After up to this fraction of the time that they have
// left.
constexpr double kMaxRetryFraction = 1.0 / 3;
constexpr milliseconds kMinRetryAfter{ 100 };
// Returns are spread by this fraction of the expected time.
constexpr double kRetrySpread = 0.4;
// Retry delay if it is not known how fast the backlog drains.
constexpr milliseconds kUnknownDrainTime{ 500 };

} // namespace

nanoseconds
TimeSpentBefore(nanoseconds aRouteTimeout, nanoseconds aCallerTimeout)
{
  return aCallerTimeout < ScaleDuration(aRouteTimeout, kRetryTimeoutFraction)
           ? aRouteTimeout - aCallerTimeout
           : nanoseconds::zero();
}

SchedulingKey
SchedulingKeyOf(const ShortageRequest& aRequest,
                bool aIsOverShare,
                SteadyTime aNow)
{
  const bool isLate = aRequest.LatestStartInTime() < aNow;
  SchedulingTier tier = SchedulingTier::InTime;
  if (isLate) {
    tier =
      aRequest.IsRetry() ? SchedulingTier::LateRetry : SchedulingTier::Late;
  } else if (aIsOverShare) {
    tier = SchedulingTier::InTimeOverShare;
  }
  return { .m_priority = aRequest.m_priority,
           .m_tier = tier,
           .m_latestStart =
             isLate ? aRequest.LatestStart() : aRequest.LatestStartInTime(),
           .m_arrivedAt = aRequest.m_receivedAt };
}

SteadyTime
WaitLimit(const ShortageRequest& aRequest)
{
  if (!aRequest.m_mayWaitLate) {
    return std::min(aRequest.LatestStart(), aRequest.LatestStartInTime());
  }
  const SteadyTime half =
    aRequest.m_receivedAt +
    ScaleDuration(aRequest.m_deadline - aRequest.m_receivedAt,
                  kLateWaitFraction);
  return std::min(aRequest.LatestStart(),
                  std::max(half, aRequest.LatestStartInTime()));
}

WaitDecision
DecideWait(const ShortageRequest& aRequest, const BacklogAhead& aBacklog)
{
  if (aBacklog.m_now >= aRequest.LatestStart()) {
    return Shed{ .m_reason = ShedReason::DeadlineUnreachable };
  }
  nanoseconds expected{};
  if (aBacklog.m_requests > 0) {
    expected = aBacklog.m_drainRate
                 ? ScaleDuration(std::chrono::seconds(1),
                                 static_cast<double>(aBacklog.m_requests) /
                                   aBacklog.m_drainRate->Value())
                 : kUnknownDrainTime;
  }
  const SteadyTime limit = WaitLimit(aRequest);
  if (aBacklog.m_now >= limit) {
    return Shed{ .m_reason = ShedReason::WaitedTooLong,
                 .m_retryAfter = expected };
  }
  if (aBacklog.m_drainRate && aBacklog.m_now + expected > limit) {
    return Shed{ .m_reason = ShedReason::BacklogTooLong,
                 .m_retryAfter = expected };
  }
  return KeepWaiting{};
}

nanoseconds
RetryAfterFor(nanoseconds aExpected, nanoseconds aUntilDeadline, double aJitter)
{
  const nanoseconds spread =
    ScaleDuration(aExpected, 1 + kRetrySpread * (aJitter - 0.5));
  const nanoseconds longest = std::max(
    nanoseconds::zero(), ScaleDuration(aUntilDeadline, kMaxRetryFraction));
  return std::min(longest, std::max<nanoseconds>(kMinRetryAfter, spread));
}

} // namespace rattanweir
