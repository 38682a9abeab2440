#include "rattanweir/process/backend_view/backend_view.h"

#include <algorithm>
#include <cmath>

namespace rattanweir {

BackendView::BackendView(const BackendViewOptions& aOptions)
  : m_options(aOptions)
{
}

void
BackendView::AddDispatch(const BackendServerId& aId, std::uint64_t aLoad)
{
  BackendState& state = m_entries[aId].m_state;
  ++state.m_inFlight;
  state.m_loadInFlight += aLoad;
  state.m_loadAwaitingResponse += aLoad;
  state.m_loadSinceReport += aLoad;
  ++state.m_dispatchesSinceQueueReport;
}

void
BackendView::StartResponse(const BackendServerId& aId, std::uint64_t aLoad)
{
  m_entries[aId].m_state.m_loadAwaitingResponse -= aLoad;
}

void
BackendView::EndDispatch(const BackendServerId& aId,
                         const EndedDispatch& aDispatch)
{
  Entry& entry = m_entries[aId];
  --entry.m_state.m_inFlight;
  ++entry.m_state.m_endsSinceQueueReport;
  entry.m_state.m_loadInFlight -= aDispatch.m_load;
  if (!aDispatch.m_hasResponseStarted) {
    entry.m_state.m_loadAwaitingResponse -= aDispatch.m_load;
  }
  switch (aDispatch.m_outcome) {
    case AttemptOutcome::Succeeded:
      entry.m_consecutiveFailures = 0;
      entry.m_state.m_ejectedUntil.reset();
      RecordOutcome(entry, 0);
      break;
    case AttemptOutcome::Failed:
      AddFailure(entry);
      RecordOutcome(entry, 1);
      break;
    case AttemptOutcome::Unreachable:
      entry.m_consecutiveFailures =
        std::max(entry.m_consecutiveFailures, m_options.m_failuresToEject - 1);
      AddFailure(entry);
      RecordOutcome(entry, 1);
      break;
    case AttemptOutcome::Neutral:
      break;
  }
}

void
BackendView::ReportLoad(const BackendServerId& aId, std::uint64_t aLoad)
{
  BackendState& state = m_entries[aId].m_state;
  state.m_load =
    ReportedLoad{ .m_load = aLoad, .m_at = m_options.m_clock.SteadyNow() };
  state.m_loadSinceReport = 0;
}

void
BackendView::ReportQueue(const BackendServerId& aId,
                         unsigned aRunning,
                         unsigned aWaiting,
                         unsigned aSlots)
{
  BackendState& state = m_entries[aId].m_state;
  state.m_queue = ReportedQueue{ .m_running = aRunning,
                                 .m_waiting = aWaiting,
                                 .m_slots = aSlots,
                                 .m_at = m_options.m_clock.SteadyNow() };
  state.m_dispatchesSinceQueueReport = 0;
  state.m_endsSinceQueueReport = 0;
}

void
BackendView::ObserveStartDelay(const BackendServerId& aId,
                               std::chrono::nanoseconds aDelay)
{
  Entry& entry = m_entries[aId];
  const double oldWeight =
    (1 - m_options.m_newestSampleWeight) * DecayFactor(entry.m_startDelayAt);
  const double delay =
    oldWeight * static_cast<double>(entry.m_state.m_startDelay.count()) +
    m_options.m_newestSampleWeight * static_cast<double>(aDelay.count());
  entry.m_state.m_startDelay =
    std::chrono::nanoseconds(static_cast<std::int64_t>(delay));
  entry.m_startDelayAt = m_options.m_clock.SteadyNow();
}

void
BackendView::RecordOutcome(Entry& aEntry, double aFailure) const
{
  const double oldWeight =
    (1 - m_options.m_newestSampleWeight) * DecayFactor(aEntry.m_failureRateAt);
  aEntry.m_state.m_failureRate = oldWeight * aEntry.m_state.m_failureRate +
                                 m_options.m_newestSampleWeight * aFailure;
  aEntry.m_failureRateAt = m_options.m_clock.SteadyNow();
}

double
BackendView::DecayFactor(SteadyTime aObservedAt) const
{
  const std::chrono::duration<double> age =
    m_options.m_clock.SteadyNow() - aObservedAt;
  const std::chrono::duration<double> halfLife =
    m_options.m_observationHalfLife;
  return std::exp2(-age / halfLife);
}

void
BackendView::Pause(const BackendServerId& aId,
                   std::chrono::nanoseconds aDuration)
{
  BackendState& state = m_entries[aId].m_state;
  const SteadyTime until = m_options.m_clock.SteadyNow() + aDuration;
  state.m_pausedUntil = std::max(state.m_pausedUntil.value_or(until), until);
  state.m_isReturning = true;
}

void
BackendView::RecordNoPause(const BackendServerId& aId, SteadyTime aSentAt)
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end()) {
    return;
  }
  BackendState& state = found->second.m_state;
  if (state.m_isReturning && aSentAt >= *state.m_pausedUntil) {
    state.m_isReturning = false;
  }
}

void
BackendView::RecordRestoredPath(const BackendServerId& aId)
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.m_consecutiveFailures = 0;
  entry.m_state.m_ejectedUntil.reset();
  entry.m_state.m_failureRate = 0;
}

void
BackendView::MarkDraining(const BackendServerId& aId)
{
  m_entries[aId].m_drainingSignalAt = m_options.m_clock.SteadyNow();
}

void
BackendView::MarkDrainingByPeer(const BackendServerId& aId)
{
  m_entries[aId].m_drainingByPeerAt = m_options.m_clock.SteadyNow();
}

BackendState
BackendView::StateOf(const BackendServerId& aId) const
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end()) {
    return {};
  }
  BackendState state = found->second.m_state;
  state.m_failureRate *= DecayFactor(found->second.m_failureRateAt);
  state.m_startDelay = std::chrono::nanoseconds(
    static_cast<std::int64_t>(static_cast<double>(state.m_startDelay.count()) *
                              DecayFactor(found->second.m_startDelayAt)));
  state.m_isDraining = IsSignalCurrent(found->second.m_drainingSignalAt) ||
                       IsSignalCurrent(found->second.m_drainingByPeerAt);
  if (state.m_ejectedUntil &&
      *state.m_ejectedUntil <= m_options.m_clock.SteadyNow()) {
    state.m_ejectedUntil.reset();
  }
  if (state.m_pausedUntil &&
      *state.m_pausedUntil <= m_options.m_clock.SteadyNow()) {
    state.m_pausedUntil.reset();
  }
  return state;
}

std::vector<BackendServerId>
BackendView::DrainingByOwnSignal() const
{
  std::vector<BackendServerId> draining;
  for (const auto& [id, entry] : m_entries) {
    if (IsSignalCurrent(entry.m_drainingSignalAt)) {
      draining.push_back(id);
    }
  }
  return draining;
}

void
BackendView::KeepOnly(const std::set<BackendServerId>& aListed)
{
  std::erase_if(m_entries, [&](const auto& aEntry) {
    return !aListed.contains(aEntry.first) &&
           aEntry.second.m_state.m_inFlight == 0;
  });
}

bool
BackendView::IsSignalCurrent(const std::optional<SteadyTime>& aReceivedAt) const
{
  return aReceivedAt && m_options.m_clock.SteadyNow() <
                          *aReceivedAt + m_options.m_drainingSignalLifetime;
}

void
BackendView::AddFailure(Entry& aEntry) const
{
  ++aEntry.m_consecutiveFailures;
  if (aEntry.m_consecutiveFailures < m_options.m_failuresToEject) {
    return;
  }
  // The failure that reaches the threshold ejects the server; each further one
  // doubles the back-off.
  const std::uint32_t doublings =
    std::min(aEntry.m_consecutiveFailures - m_options.m_failuresToEject, 16U);
  const auto ejection =
    std::min(m_options.m_minEjectionTime * (1U << doublings),
             m_options.m_maxEjectionTime);
  aEntry.m_state.m_ejectedUntil = m_options.m_clock.SteadyNow() + ejection;
}

} // namespace rattanweir
