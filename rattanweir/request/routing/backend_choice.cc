#include "rattanweir/request/routing/backend_choice.h"

#include <algorithm>
#include <cmath>

namespace rattanweir {

BackendChoice::BackendChoice(const BackendChoiceOptions& aOptions)
  : m_options(aOptions)
{
}

BackendChoiceResult
BackendChoice::Choose(std::span<const BackendCandidate> aCandidates)
{
  std::vector<std::size_t> usable = TakingWork(aCandidates);
  if (usable.empty()) {
    return NoBackendTakesWork{};
  }
  std::erase_if(usable, [&](std::size_t aIndex) {
    const BackendCandidate& candidate = aCandidates[aIndex];
    return candidate.m_state.m_inFlight >= candidate.m_maximumInFlight;
  });
  if (usable.empty()) {
    return AllBackendsFull{};
  }
  const std::size_t first = UniformIndex(m_options.m_random, usable.size());
  std::swap(usable[first], usable.back());
  if (usable.size() == 1) {
    return ChosenBackend{ usable.back() };
  }
  const std::size_t second =
    UniformIndex(m_options.m_random, usable.size() - 1);
  const bool isSecondCheaper = CostOf(aCandidates[usable[second]].m_state) <
                               CostOf(aCandidates[usable.back()].m_state);
  return ChosenBackend{ isSecondCheaper ? usable[second] : usable.back() };
}

double
BackendChoice::CostOf(const BackendState& aState) const
{
  const auto own = static_cast<double>(aState.m_loadInFlight);
  const double unanswered =
    m_options.m_unansweredWeight * static_cast<double>(aState.m_loadUnanswered);
  if (!aState.m_load) {
    return own + unanswered;
  }
  const auto age = m_options.m_clock.SteadyNow() - aState.m_load->m_at;
  const double halvings =
    std::chrono::duration<double>(age) /
    std::chrono::duration<double>(m_options.m_loadHalfLife);
  const double reported =
    static_cast<double>(aState.m_load->m_load) * std::exp2(-halvings);
  // What this instance has there itself is known without a report.
  return std::max(reported + static_cast<double>(aState.m_dispatchedSince),
                  own) +
         unanswered;
}

std::vector<std::size_t>
BackendChoice::TakingWork(std::span<const BackendCandidate> aCandidates) const
{
  std::vector<std::size_t> staying;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const BackendCandidate& candidate = aCandidates[index];
    if (!candidate.m_isLeaving && !candidate.m_state.m_isLeaving) {
      staying.push_back(index);
    }
  }
  // The ejected ones come last, those back soonest first among them, and are
  // cut off; at least half of the pool stays.
  const auto ejectedUntil = [&](std::size_t aIndex) {
    return aCandidates[aIndex].m_state.m_ejectedUntil.value_or(
      SteadyTime::min());
  };
  std::stable_sort(
    staying.begin(), staying.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return ejectedUntil(aLeft) < ejectedUntil(aRight);
    });
  const auto healthy = static_cast<std::size_t>(
    std::count_if(staying.begin(), staying.end(), [&](std::size_t aIndex) {
      return !aCandidates[aIndex].m_state.m_ejectedUntil.has_value();
    }));
  staying.resize(std::max(healthy, (staying.size() + 1) / 2));
  return staying;
}

} // namespace rattanweir
