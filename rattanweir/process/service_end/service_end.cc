#include "rattanweir/process/service_end/service_end.h"

#include <algorithm>
#include <set>

namespace rattanweir {
namespace {

using std::chrono::nanoseconds;

// With fewer responses, the durations of a class count as uncertain.
constexpr std::size_t kMinRuns = 8;
// A duration is usual if 95 in 100 responses take no longer.
constexpr std::size_t kUsualPercent = 95;
constexpr std::size_t kPercent = 100;
// A response fits safely if the time that is left is this many times the
// longest one known.
constexpr int kSafetyFactor = 2;
constexpr int kUncertainSafetyFactor = 4;
// Durations up to this part of the timeout don't come close to it.
constexpr int kTimeoutFraction = 2;

bool
IsCertain(const RunSummary& aRuns)
{
  return aRuns.m_count >= kMinRuns;
}

bool
FitsSafely(const RunSummary& aRuns, nanoseconds aTimeLeft)
{
  const int factor = IsCertain(aRuns) ? kSafetyFactor : kUncertainSafetyFactor;
  return aRuns.m_count > 0 && factor * aRuns.m_longest <= aTimeLeft;
}

} // namespace

void
RunSummary::Merge(const RunSummary& aOther)
{
  m_longestUnfinished =
    std::max(m_longestUnfinished, aOther.m_longestUnfinished);
  if (aOther.m_count == 0) {
    return;
  }
  if (aOther.m_count > m_count) {
    m_count = aOther.m_count;
    m_usual = aOther.m_usual;
  }
  m_longest = std::max(m_longest, aOther.m_longest);
}

void
ServiceEnd::RunDurations::Add(nanoseconds aDuration)
{
  m_runs[m_next] = aDuration;
  m_next = (m_next + 1) % kMaxRuns;
  m_count = std::min(m_count + 1, kMaxRuns);
  if (++m_runsSinceUnfinished > kMaxRuns) {
    m_longestUnfinished = nanoseconds::zero();
  }
}

void
ServiceEnd::RunDurations::AddUnfinished(nanoseconds aDuration)
{
  m_longestUnfinished = std::max(m_longestUnfinished, aDuration);
  m_runsSinceUnfinished = 0;
}

RunSummary
ServiceEnd::RunDurations::Summary() const
{
  if (m_count == 0) {
    return { .m_longestUnfinished = m_longestUnfinished };
  }
  std::array<nanoseconds, kMaxRuns> runs = m_runs;
  const std::size_t index = (m_count - 1) * kUsualPercent / kPercent;
  std::nth_element(runs.begin(), runs.begin() + index, runs.begin() + m_count);
  return { .m_count = m_count,
           .m_usual = runs[index],
           .m_longest =
             *std::max_element(runs.begin() + index, runs.begin() + m_count),
           .m_longestUnfinished = m_longestUnfinished };
}

bool
ServiceEnd::MayBeTruncated(const RunSummary& aRuns,
                           const FleetRoute& aRoute) const
{
  const auto before = m_timeouts.find(aRoute.m_id);
  return before != m_timeouts.end() && aRoute.m_timeout > before->second &&
         kTimeoutFraction * aRuns.m_longest > before->second;
}

void
ServiceEnd::Configure(const std::vector<FleetRoute>& aRoutes)
{
  std::set<RunClass> known;
  for (const FleetRoute& route : aRoutes) {
    for (const PoolWeight& pool : route.m_pools) {
      const RunClass runClass{ .m_route = route.m_id, .m_pool = pool.m_pool };
      if (!MayBeTruncated(RunsOf(runClass), route)) {
        known.insert(runClass);
      }
    }
  }
  const auto isUnknown = [&](const auto& aEntry) {
    return !known.contains(aEntry.first);
  };
  std::erase_if(m_durations, isUnknown);
  std::erase_if(m_peerRuns, isUnknown);
  m_timeouts.clear();
  for (const FleetRoute& route : aRoutes) {
    m_timeouts[route.m_id] = route.m_timeout;
  }
}

void
ServiceEnd::RecordRun(const RunClass& aClass, nanoseconds aDuration)
{
  m_durations[aClass].Add(aDuration);
}

void
ServiceEnd::RecordUnfinishedRun(const RunClass& aClass, nanoseconds aDuration)
{
  m_durations[aClass].AddUnfinished(aDuration);
}

void
ServiceEnd::Announce(SteadyTime aEnd)
{
  m_announcedAt = m_options.m_clock.SteadyNow();
  m_end = aEnd;
}

RunSummaries
ServiceEnd::LocalRuns() const
{
  RunSummaries runs;
  for (const auto& [runClass, durations] : m_durations) {
    runs.emplace(runClass, durations.Summary());
  }
  return runs;
}

void
ServiceEnd::AddPeerRuns(const RunSummaries& aRuns)
{
  for (const auto& [runClass, runs] : aRuns) {
    m_peerRuns[runClass].Merge(runs);
  }
}

RunSummary
ServiceEnd::RunsOf(const RunClass& aClass) const
{
  RunSummary runs;
  if (const auto own = m_durations.find(aClass); own != m_durations.end()) {
    runs.Merge(own->second.Summary());
  }
  if (const auto peers = m_peerRuns.find(aClass); peers != m_peerRuns.end()) {
    runs.Merge(peers->second);
  }
  return runs;
}

RunSummary
ServiceEnd::RunsOfPool(const PoolId& aPool) const
{
  RunSummary runs;
  for (const auto& [runClass, durations] : m_durations) {
    if (runClass.m_pool == aPool) {
      runs.Merge(durations.Summary());
    }
  }
  for (const auto& [runClass, peerRuns] : m_peerRuns) {
    if (runClass.m_pool == aPool) {
      runs.Merge(peerRuns);
    }
  }
  // Other routes tell less, however many their responses are.
  runs.m_count = std::min(runs.m_count, kMinRuns - 1);
  return runs;
}

ServiceEndDecision
ServiceEnd::Decide(const ServiceEndQuery& aQuery) const
{
  ServiceEndDecision decision;
  if (!m_announcedAt) {
    return decision;
  }
  const FleetRoute& route = aQuery.m_route;
  const SteadyTime now = m_options.m_clock.SteadyNow();
  const nanoseconds left = m_end - now;
  decision.m_timeLeft = left;
  decision.m_runs = RunsOf({ .m_route = route.m_id, .m_pool = aQuery.m_pool });
  if (decision.m_runs.m_count == 0) {
    decision.m_runs = RunsOfPool(aQuery.m_pool);
  }
  if (aQuery.m_deadline <= m_end) {
    return decision;
  }
  const RunSummary& runs = decision.m_runs;
  const SteadyTime noticeEnd = *m_announcedAt + m_options.m_noticeTime;
  const bool isNoticeTime = now < noticeEnd;
  const bool hasBegunInTime = aQuery.m_begunAt < noticeEnd;
  if (isNoticeTime && route.IsRetryable()) {
    decision.m_maySend = !IsCertain(runs) || runs.m_usual <= left;
  } else if (isNoticeTime) {
    decision.m_maySend = FitsSafely(runs, left);
  } else {
    const bool mayBegin =
      hasBegunInTime ||
      (route.m_kind == RequestKind::Idempotent && IsCertain(runs));
    const nanoseconds longest =
      std::max(runs.m_longest, runs.m_longestUnfinished);
    decision.m_maySend = mayBegin && FitsSafely(runs, left) &&
                         longest + m_options.m_maxSilence <= left;
  }
  return decision;
}

} // namespace rattanweir
