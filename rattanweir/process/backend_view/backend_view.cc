#include "rattanweir/process/backend_view/backend_view.h"

#include <algorithm>

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
}

void
BackendView::BeginAnswer(const BackendServerId& aId, std::uint64_t aLoad)
{
  m_entries[aId].m_state.m_loadUnanswered -= aLoad;
}

void
BackendView::EndDispatch(const BackendServerId& aId,
                         const EndedDispatch& aDispatch)
{
  Entry& entry = m_entries[aId];
  --entry.m_state.m_inFlight;
  entry.m_state.m_loadInFlight -= aDispatch.m_load;
  if (!aDispatch.m_hasBegun) {
    entry.m_state.m_loadUnanswered -= aDispatch.m_load;
  }
  switch (aDispatch.m_verdict) {
    case AttemptVerdict::Answered:
      entry.m_failures = 0;
      entry.m_state.m_ejectedUntil.reset();
      break;
    case AttemptVerdict::Failed:
      AddFailure(entry);
      break;
    case AttemptVerdict::Neutral:
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
BackendView::MarkLeaving(const BackendServerId& aId)
{
  m_entries[aId].m_leavingByOwnSignal = m_options.m_clock.SteadyNow();
}

void
BackendView::MarkLeavingByPeer(const BackendServerId& aId)
{
  m_entries[aId].m_leavingByPeer = m_options.m_clock.SteadyNow();
}

BackendState
BackendView::StateOf(const BackendServerId& aId) const
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end()) {
    return {};
  }
  BackendState state = found->second.m_state;
  state.m_isLeaving = IsHeld(found->second.m_leavingByOwnSignal) ||
                      IsHeld(found->second.m_leavingByPeer);
  if (state.m_ejectedUntil &&
      *state.m_ejectedUntil <= m_options.m_clock.SteadyNow()) {
    state.m_ejectedUntil.reset();
  }
  return state;
}

std::vector<BackendServerId>
BackendView::LeavingByOwnSignal() const
{
  std::vector<BackendServerId> leaving;
  for (const auto& [id, entry] : m_entries) {
    if (IsHeld(entry.m_leavingByOwnSignal)) {
      leaving.push_back(id);
    }
  }
  return leaving;
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
  return aHeardAt &&
         m_options.m_clock.SteadyNow() < *aHeardAt + m_options.m_leavingHold;
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
