// The position of a request in a wait queue (request/wait_queue).

#pragma once

#include "rattanweir/base/clock/clock.h"

#include <compare>
#include <optional>

namespace rattanweir {

// The order within a priority of requests that are scheduled by their latest
// start.
enum class SchedulingTier
{
  InTime,
  // Of a client account that has more than its share of the waiting work.
  InTimeOverShare,
  // Past the latency objective, of a caller that was refused before.
  LateRetry,
  Late,
};

// Requests are ordered by priority, then by tier. Those with a latest start are
// ordered by it, and precede those without one, which are ordered last in,
// first out.
struct SchedulingKey
{
  // 0 is the highest priority.
  unsigned m_priority = 0;
  SchedulingTier m_tier = SchedulingTier::InTime;
  std::optional<SteadyTime> m_latestStart{};
  SteadyTime m_arrivedAt;

  friend bool operator==(const SchedulingKey&, const SchedulingKey&) = default;
  // The smaller key is served first.
  friend std::strong_ordering operator<=>(const SchedulingKey& aLeft,
                                          const SchedulingKey& aRight)
  {
    if (const auto order = aLeft.m_priority <=> aRight.m_priority; order != 0) {
      return order;
    }
    if (const auto order = aLeft.m_tier <=> aRight.m_tier; order != 0) {
      return order;
    }
    const bool isLeftTimed = aLeft.m_latestStart.has_value();
    if (isLeftTimed != aRight.m_latestStart.has_value()) {
      return isLeftTimed ? std::strong_ordering::less
                         : std::strong_ordering::greater;
    }
    if (isLeftTimed && aLeft.m_latestStart != aRight.m_latestStart) {
      return *aLeft.m_latestStart <=> *aRight.m_latestStart;
    }
    return aRight.m_arrivedAt <=> aLeft.m_arrivedAt;
  }
};

} // namespace rattanweir
