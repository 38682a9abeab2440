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
  state.m_loadUnanswered += aLoad;
  state.m_dispatchedSince += aLoad;
  ++state.m_dispatchesSinceQueue;
}

void
BackendView::StartResponse(const BackendServerId& aId, std::uint64_t aLoad)
{
  m_entries[aId].m_state.m_loadUnanswered -= aLoad;
}

void
BackendView::EndDispatch(const BackendServerId& aId,
                         const EndedDispatch& aDispatch)
{
  Entry& entry = m_entries[aId];
  --entry.m_state.m_inFlight;
  ++entry.m_state.m_endsSinceQueue;
  entry.m_state.m_loadInFlight -= aDispatch.m_load;
  if (!aDispatch.m_hasBegun) {
    entry.m_state.m_loadUnanswered -= aDispatch.m_load;
  }
  switch (aDispatch.m_outcome) {
    case AttemptOutcome::Answered:
      entry.m_failures = 0;
      entry.m_state.m_ejectedUntil.reset();
      NoteOutcome(entry, 0);
      break;
    case AttemptOutcome::Failed:
      AddFailure(entry);
      NoteOutcome(entry, 1);
      break;
    case AttemptOutcome::Unreachable:
      entry.m_failures =
        std::max(entry.m_failures, m_options.m_failuresToEject - 1);
      AddFailure(entry);
      NoteOutcome(entry, 1);
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
  state.m_dispatchedSince = 0;
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
  state.m_dispatchesSinceQueue = 0;
  state.m_endsSinceQueue = 0;
}

void
BackendView::ObserveStartDelay(const BackendServerId& aId,
                               std::chrono::nanoseconds aDelay)
{
  Entry& entry = m_entries[aId];
  const double kept =
    (1 - m_options.m_newestWeight) * Remainder(entry.m_startDelayAt);
  const double delay =
    kept * static_cast<double>(entry.m_state.m_startDelay.count()) +
    m_options.m_newestWeight * static_cast<double>(aDelay.count());
  entry.m_state.m_startDelay =
    std::chrono::nanoseconds(static_cast<std::int64_t>(delay));
  entry.m_startDelayAt = m_options.m_clock.SteadyNow();
}

void
BackendView::NoteOutcome(Entry& aEntry, double aFailure) const
{
  const double kept =
    (1 - m_options.m_newestWeight) * Remainder(aEntry.m_failureShareAt);
  aEntry.m_state.m_failureShare =
    kept * aEntry.m_state.m_failureShare + m_options.m_newestWeight * aFailure;
  aEntry.m_failureShareAt = m_options.m_clock.SteadyNow();
}

double
BackendView::Remainder(SteadyTime aObservedAt) const
{
  const std::chrono::duration<double> age =
    m_options.m_clock.SteadyNow() - aObservedAt;
  const std::chrono::duration<double> halfLife =
    m_options.m_observationHalfLife;
  return std::exp2(-age / halfLife);
}

void
BackendView::MarkDraining(const BackendServerId& aId)
{
  m_entries[aId].m_drainingByOwnSignal = m_options.m_clock.SteadyNow();
}

void
BackendView::MarkDrainingByPeer(const BackendServerId& aId)
{
  m_entries[aId].m_drainingByPeer = m_options.m_clock.SteadyNow();
}

BackendState
BackendView::StateOf(const BackendServerId& aId) const
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end()) {
    return {};
  }
  BackendState state = found->second.m_state;
  state.m_failureShare *= Remainder(found->second.m_failureShareAt);
  state.m_startDelay = std::chrono::nanoseconds(
    static_cast<std::int64_t>(static_cast<double>(state.m_startDelay.count()) *
                              Remainder(found->second.m_startDelayAt)));
  state.m_isDraining = IsHeld(found->second.m_drainingByOwnSignal) ||
                       IsHeld(found->second.m_drainingByPeer);
  if (state.m_ejectedUntil &&
      *state.m_ejectedUntil <= m_options.m_clock.SteadyNow()) {
    state.m_ejectedUntil.reset();
  }
  return state;
}

std::vector<BackendServerId>
BackendView::DrainingByOwnSignal() const
{
  std::vector<BackendServerId> draining;
  for (const auto& [id, entry] : m_entries) {
    if (IsHeld(entry.m_drainingByOwnSignal)) {
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
BackendView::IsHeld(const std::optional<SteadyTime>& aHeardAt) const
{
  return aHeardAt && m_options.m_clock.SteadyNow() <
                       *aHeardAt + m_options.m_drainingSignalLifetime;
}

void
BackendView::AddFailure(Entry& aEntry) const
{
  ++aEntry.m_failures;
  if (aEntry.m_failures < m_options.m_failuresToEject) {
    return;
  }
  // The last failure ejects, and each one after it doubles the back-off.
  const std::uint32_t doublings =
    std::min(aEntry.m_failures - m_options.m_failuresToEject, 16U);
  const auto ejection = std::min(m_options.m_firstEjection * (1U << doublings),
                                 m_options.m_longestEjection);
  aEntry.m_state.m_ejectedUntil = m_options.m_clock.SteadyNow() + ejection;
}

} // namespace rattanweir
