// Decides which requests wait, in which order, and which are refused while the
// servers of a pool have too little capacity. Used by the users' platform
// (`request/gateway`) for pools whose servers state their pace; the estimates
// that it needs exist only for them.
//
//   const SchedulingKey key = SchedulingKeyOf(request, isOverShare);
//   const WaitDecision decision = DecideWait(request, backlog);
//
// The load that it handles: more work than the servers can do for some seconds,
// with callers of several priorities, one client account far above its usual
// load, and refused callers who come back.
//
// What is delayed or refused is what costs callers least:
//  - a request that cannot start before its deadline is refused at once; its
//    place helps nobody;
//  - a lower priority waits behind a higher one, but for a small share of the
//    dispatches (WaitQueue);
//  - within a priority, a request that can still meet its latency objective
//    goes before one that has missed it, whose response is worth less;
//  - among those in time, one of an account that has more than its share of the
//    waiting work goes behind the others; then the latest possible start
//    decides: objective less the time to the first byte, so that a long prompt,
//    which needs more time, isn't overtaken by short ones until it is late;
//  - among those that are late, one that has been refused before goes first;
//  - a request is refused as soon as the backlog ahead of it would take longer
//    than it may wait, with the time at which that backlog will be gone.
//
// Plain values in and out; no I/O.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/request/wait_queue/scheduling_key.h"

#include <chrono>
#include <optional>
#include <variant>

namespace rattanweir {

// A request that waits, or would have to.
struct ShortageRequest
{
  unsigned m_priority = 0;
  SteadyTime m_receivedAt;
  SteadyTime m_deadline;
  std::chrono::nanoseconds m_objective{};
  // Time that the caller has spent on earlier attempts.
  std::chrono::nanoseconds m_spentBefore{};
  // Expected time to first byte once the request is sent.
  std::chrono::nanoseconds m_startTime{};
  // Whether the request may wait beyond its objective. One that a peer has
  // forwarded may not: the peer can still send it elsewhere.
  bool m_mayWaitLate = true;

  bool IsRetry() const
  {
    return m_spentBefore > std::chrono::nanoseconds::zero();
  }

  // The latest start that meets the latency objective, which counts from the
  // caller's first attempt, and the latest one before the deadline.
  SteadyTime LatestStartInTime() const
  {
    return m_receivedAt - m_spentBefore + m_objective - m_startTime;
  }
  SteadyTime LatestStart() const { return m_deadline - m_startTime; }
};

// The requests ahead of one that waits.
struct BacklogAhead
{
  SteadyTime m_now;
  std::size_t m_requests = 0;
  // Requests that this instance has recently sent to the pool; nullopt if too
  // few to tell.
  std::optional<RequestRate> m_drainRate;
};

enum class ShedReason
{
  // It can't start before its deadline.
  DeadlineUnreachable,
  // The backlog ahead takes longer than the request may wait.
  BacklogTooLong,
  // It has waited as long as it may.
  WaitedTooLong,
};

struct KeepWaiting
{};

struct Shed
{
  ShedReason m_reason = ShedReason::WaitedTooLong;
  // When the backlog is expected to be gone.
  std::chrono::nanoseconds m_retryAfter{};
};

using WaitDecision = std::variant<KeepWaiting, Shed>;

// Returns how long the caller has tried before, from the time that it still
// waits and the route's timeout. Callers state what is left of their own
// deadline, so that small differences are no sign of an earlier attempt.
std::chrono::nanoseconds
TimeSpentBefore(std::chrono::nanoseconds aRouteTimeout,
                std::chrono::nanoseconds aCallerTimeout);

// Returns the position of the request in the queue. `aIsOverShare`: its client
// account has more than its share of the waiting work.
SchedulingKey
SchedulingKeyOf(const ShortageRequest& aRequest,
                bool aIsOverShare,
                SteadyTime aNow);

// Returns when the request has waited as long as it may.
SteadyTime
WaitLimit(const ShortageRequest& aRequest);

WaitDecision
DecideWait(const ShortageRequest& aRequest, const BacklogAhead& aBacklog);

// Returns the time after which a refused caller is to come back: the expected
// one, within what callers honour, spread by `aJitter` from 0 to 1 so that
// callers who are refused together don't return together.
std::chrono::nanoseconds
RetryAfterFor(std::chrono::nanoseconds aExpected,
              std::chrono::nanoseconds aUntilDeadline,
              double aJitter);

} // namespace rattanweir
