#include "rattanweir/process/service_end/service_end.h"

#include <algorithm>

namespace rattanweir {
namespace {

using std::chrono::nanoseconds;

// With fewer responses, the durations of a route count as unknown.
constexpr std::size_t kMinRuns = 8;
// A duration is usual if 95 in 100 responses take no longer.
constexpr std::size_t kUsualPercent = 95;
constexpr std::size_t kPercent = 100;
// A request that can't be repeated is sent only if the time that is left is
// this many times the longest response.
constexpr int kSafetyFactor = 2;

} // namespace

void
ServiceEnd::RunDurations::Add(nanoseconds aDuration)
{
  m_runs[m_next] = aDuration;
  m_next = (m_next + 1) % kMaxRuns;
  m_count = std::min(m_count + 1, kMaxRuns);
}

std::optional<nanoseconds>
ServiceEnd::RunDurations::Usual() const
{
  if (m_count < kMinRuns) {
    return std::nullopt;
  }
  std::array<nanoseconds, kMaxRuns> runs = m_runs;
  const std::size_t index = (m_count - 1) * kUsualPercent / kPercent;
  std::nth_element(runs.begin(), runs.begin() + index, runs.begin() + m_count);
  return runs[index];
}

std::optional<nanoseconds>
ServiceEnd::RunDurations::Longest() const
{
  if (m_count < kMinRuns) {
    return std::nullopt;
  }
  return *std::max_element(m_runs.begin(), m_runs.begin() + m_count);
}

void
ServiceEnd::RecordRun(const RouteId& aRoute, nanoseconds aDuration)
{
  m_durations[aRoute].Add(aDuration);
}

void
ServiceEnd::KeepOnly(const std::set<RouteId>& aRoutes)
{
  std::erase_if(m_durations, [&](const auto& aEntry) {
    return !aRoutes.contains(aEntry.first);
  });
}

void
ServiceEnd::Announce(SteadyTime aEnd)
{
  m_announcedAt = m_options.m_clock.SteadyNow();
  m_end = aEnd;
}

bool
ServiceEnd::MayDispatch(const ServiceEndQuery& aQuery) const
{
  if (!m_announcedAt || aQuery.m_deadline <= m_end) {
    return true;
  }
  const SteadyTime now = m_options.m_clock.SteadyNow();
  const nanoseconds left = m_end - now;
  const bool isEarly = now - *m_announcedAt < m_options.m_noticeTime;
  const auto known = m_durations.find(aQuery.m_route.m_id);
  const RunDurations durations =
    known == m_durations.end() ? RunDurations() : known->second;
  if (!aQuery.m_route.IsRetryable()) {
    const std::optional<nanoseconds> longest = durations.Longest();
    return isEarly && longest && kSafetyFactor * *longest <= left;
  }
  const std::optional<nanoseconds> usual = durations.Usual();
  if (isEarly) {
    return !usual || *usual <= left;
  }
  return aQuery.m_route.m_kind == RequestKind::Idempotent && usual &&
         *usual <= left;
}

} // namespace rattanweir
