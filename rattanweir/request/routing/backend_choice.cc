#include "rattanweir/request/routing/backend_choice.h"

#include <algorithm>
#include <cmath>

namespace rattanweir {
namespace {

constexpr double kBytesPerToken = 4;

} // namespace

void
SetSavedLoads(std::span<BackendCandidate> aCandidates,
              std::span<const PrefixHolder> aHolders)
{
  for (BackendCandidate& candidate : aCandidates) {
    candidate.m_savedLoad = 0;
    for (const PrefixHolder& holder : aHolders) {
      if (holder.m_id == candidate.m_id) {
        candidate.m_savedLoad = holder.m_bytes / kBytesPerToken;
      }
    }
  }
}

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
  const double meanLoad = MeanLoad(aCandidates, usable);
  const auto isCheaper = [&](std::size_t aLeft, std::size_t aRight) {
    return CostOf(aCandidates[aLeft], meanLoad) <
           CostOf(aCandidates[aRight], meanLoad);
  };
  const std::size_t holder = *std::max_element(
    usable.begin(), usable.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return SavingOf(aCandidates[aLeft], meanLoad) <
             SavingOf(aCandidates[aRight], meanLoad);
    });
  std::size_t chosen = DrawOne(usable);
  if (!usable.empty()) {
    const std::size_t second = DrawOne(usable);
    chosen = isCheaper(second, chosen) ? second : chosen;
  }
  const bool isHolderBetter =
    SavingOf(aCandidates[holder], meanLoad) > 0 && isCheaper(holder, chosen);
  return ChosenBackend{ isHolderBetter ? holder : chosen };
}

double
BackendChoice::CostOf(const BackendState& aState) const
{
  return LoadOf(aState) + m_options.m_unansweredWeight *
                            static_cast<double>(aState.m_loadUnanswered);
}

double
BackendChoice::CostOf(const BackendCandidate& aCandidate,
                      double aMeanLoad) const
{
  // What is saved would have waited for the answer to begin.
  return CostOf(aCandidate.m_state) -
         m_options.m_unansweredWeight * SavingOf(aCandidate, aMeanLoad);
}

double
BackendChoice::SavingOf(const BackendCandidate& aCandidate,
                        double aMeanLoad) const
{
  const double most =
    m_options.m_mostLoadForCache * aMeanLoad + aCandidate.m_savedLoad;
  return LoadOf(aCandidate.m_state) > most ? 0 : aCandidate.m_savedLoad;
}

double
BackendChoice::LoadOf(const BackendState& aState) const
{
  const auto own = static_cast<double>(aState.m_loadInFlight);
  if (!aState.m_load) {
    return own;
  }
  const auto age = m_options.m_clock.SteadyNow() - aState.m_load->m_at;
  const double halvings =
    std::chrono::duration<double>(age) /
    std::chrono::duration<double>(m_options.m_loadHalfLife);
  const double reported =
    static_cast<double>(aState.m_load->m_load) * std::exp2(-halvings);
  // What this instance has there itself is known without a report.
  return std::max(reported + static_cast<double>(aState.m_dispatchedSince),
                  own);
}

double
BackendChoice::MeanLoad(std::span<const BackendCandidate> aCandidates,
                        const std::vector<std::size_t>& aUsable) const
{
  double load = 0;
  for (const std::size_t index : aUsable) {
    load += LoadOf(aCandidates[index].m_state);
  }
  return load / static_cast<double>(aUsable.size());
}

std::size_t
BackendChoice::DrawOne(std::vector<std::size_t>& aIndices)
{
  std::swap(aIndices[UniformIndex(m_options.m_random, aIndices.size())],
            aIndices.back());
  const std::size_t drawn = aIndices.back();
  aIndices.pop_back();
  return drawn;
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
