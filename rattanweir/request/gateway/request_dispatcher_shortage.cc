// The parts of RequestDispatcher that act on a lack of capacity: what leaves
// the region, who waits and who is refused.

#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/request_dispatcher.h"

#include "rattanweir/process/logging/log.h"
#include "rattanweir/request/gateway/region_loads.h"

#include <algorithm>

namespace rattanweir {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

void
RequestDispatcher::DrawSpillover()
{
  const PoolId& pool = m_request.m_pool;
  if (!m_state.m_performance.IsProfiled(pool) ||
      !m_request.IsPermittedIn(m_state.m_fleet.Self().m_region)) {
    return;
  }
  m_state.m_arrivals.Record(pool);
  UpdateSplit(m_state, pool);
  m_spillover = m_state.m_split.Choose(
    pool,
    std::uniform_real_distribution<double>(0, 1)(m_state.m_random),
    m_request.m_permittedRegions);
  if (m_spillover) {
    m_state.m_metrics.Count("rattanweir_spillover_total");
  }
}

ShortageRequest
RequestDispatcher::ShortageRequestFor(const PlacementInput& aInput) const
{
  const nanoseconds callerTimeout =
    m_request.m_deadline - m_request.m_receivedAt;
  ShortageRequest shortage{
    .m_priority = m_request.m_priority,
    .m_receivedAt = m_request.m_receivedAt,
    .m_deadline = m_request.m_deadline,
    .m_objective = m_request.m_route.m_latencyObjective,
    .m_spentBefore =
      TimeSpentBefore(m_request.m_route.m_timeout, callerTimeout),
    .m_mayWaitLate = !m_request.m_forwardedBy.has_value(),
  };
  std::optional<nanoseconds> shortest;
  for (const ServerCandidate& server : aInput.m_servers) {
    if (!server.m_profile) {
      continue;
    }
    const nanoseconds work = server.m_profile->WorkTime(server.m_uncached);
    shortest = std::min(shortest.value_or(work), work);
  }
  shortage.m_startTime = shortest.value_or(nanoseconds::zero());
  return shortage;
}

Task<void>
RequestDispatcher::WaitInShortage()
{
  WaitQueue& queue = m_state.m_queues.QueueOf(m_request.m_pool);
  Backlog& backlog = m_state.m_backlogs.Of(m_request.m_pool);
  const PlacementInput input = BuildPlacementInput(Query());
  const Placement placement = DecidePlacement(input);
  if (const auto* refusal = std::get_if<Refuse>(&placement)) {
    ThrowRefusal(*refusal);
  }
  const SteadyTime waitStart = m_state.m_clock.SteadyNow();
  const ShortageRequest shortage = ShortageRequestFor(input);
  const ClientAccountId& account = m_request.m_clientAccount;
  const bool isOverShare = backlog.IsOverShare(account, m_request.m_cost);
  const SchedulingKey key = SchedulingKeyOf(shortage, isOverShare, waitStart);
  if (!queue.HasWaiterAheadOf(key) &&
      !std::holds_alternative<KeepQueued>(placement)) {
    co_return;
  }
  ThrowIfShed(shortage, queue.CountAheadOf(key));
  if (isOverShare) {
    m_state.m_metrics.Count("rattanweir_shortage_over_share_total");
  }
  const Backlog::Entry entry(backlog, account, m_request.m_cost);
  WaitQueue::Waiter waiter(queue, key);
  LogBacklog(backlog, queue);
  const auto canProceed = [this] {
    return !std::holds_alternative<KeepQueued>(
      DecidePlacement(BuildPlacementInput(Query())));
  };
  while (!waiter.IsFirst() || !canProceed()) {
    co_await waiter.Wait(kQueueRecheckInterval, m_cancel);
    const SteadyTime now = m_state.m_clock.SteadyNow();
    m_report.m_queueWait = now - waitStart;
    ThrowIfEnded();
    waiter.Move(SchedulingKeyOf(shortage, isOverShare, now));
    ThrowIfShed(shortage, waiter.CountAhead());
  }
  waiter.RecordDispatch();
}

void
RequestDispatcher::ThrowIfShed(const ShortageRequest& aShortage,
                               std::size_t aAhead)
{
  struct ReasonText
  {
    const char* m_counter;
    const char* m_detail;
  };
  const auto textOf = [](ShedReason aReason) -> ReasonText {
    switch (aReason) {
      case ShedReason::DeadlineUnreachable:
        return { "rattanweir_shortage_shed_deadline_total",
                 "the response cannot start before the deadline" };
      case ShedReason::BacklogTooLong:
        return { "rattanweir_shortage_shed_backlog_total",
                 "the requests ahead take longer than this one may wait" };
      case ShedReason::WaitedTooLong:
        break;
    }
    return { "rattanweir_shortage_shed_waited_total",
             "all backend servers are at capacity" };
  };
  const WaitDecision decision = DecideWait(
    aShortage,
    { .m_now = m_state.m_clock.SteadyNow(),
      .m_requests = aAhead,
      .m_drainRate = m_state.m_backlogs.Of(m_request.m_pool).DrainRate() });
  const auto* shed = std::get_if<Shed>(&decision);
  if (shed == nullptr) {
    return;
  }
  if (m_lastFailure) {
    throw WithRan(*m_lastFailure);
  }
  const ReasonText text = textOf(shed->m_reason);
  m_state.m_metrics.Count(text.m_counter);
  throw RequestError(ResultCode::TooManyRequests,
                     text.m_detail,
                     Ran::No,
                     RetryAfterOf(shed->m_retryAfter));
}

void
RequestDispatcher::LogBacklog(Backlog& aBacklog, const WaitQueue& aQueue) const
{
  m_state.m_metrics.Count("rattanweir_shortage_waits_total");
  if (!aBacklog.IsLogDue()) {
    return;
  }
  const auto rate = aBacklog.DrainRate();
  Log(LogLevel::Info,
      "shortage",
      { { "pool", m_request.m_pool.Value() },
        { "waiting", std::to_string(aQueue.Size()) },
        { "highest_priority", std::to_string(aQueue.SizeUpToPriority(0)) },
        { "per_second", rate ? std::to_string(rate->Value()) : "none" } });
}

milliseconds
RequestDispatcher::RetryAfterOf(nanoseconds aExpected) const
{
  return std::chrono::ceil<milliseconds>(RetryAfterFor(
    aExpected,
    TimeLeft(),
    std::uniform_real_distribution<double>(0, 1)(m_state.m_random)));
}

} // namespace rattanweir
