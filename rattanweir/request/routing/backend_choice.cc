#include "rattanweir/request/routing/backend_choice.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace rattanweir {
namespace {

constexpr double kBytesPerToken = 4;
constexpr double kMinFreshness = 1e-6;

// The server preferred for a beginning depends on this many blocks of it.
constexpr std::size_t kHomeBlocks = 4;
// Part of a beginning that its preferred server is expected to hold.
constexpr double kHomeShare = 0.8;

bool
AcceptsRequests(const BackendCandidate& aCandidate)
{
  return !aCandidate.m_isDraining && !aCandidate.m_state.m_isDraining &&
         !aCandidate.m_state.m_ejectedUntil;
}

// The candidate that all instances prefer for this hash, if one takes work.
BackendCandidate*
FindHome(std::span<BackendCandidate> aCandidates, std::uint64_t aHash)
{
  BackendCandidate* home = nullptr;
  std::uint64_t highest = 0;
  for (BackendCandidate& candidate : aCandidates) {
    if (!AcceptsRequests(candidate)) {
      continue;
    }
    const std::string& id = candidate.m_id.Value();
    const std::uint64_t weight = XXH64(id.data(), id.size(), aHash);
    if (home == nullptr || weight > highest) {
      home = &candidate;
      highest = weight;
    }
  }
  return home;
}

} // namespace

void
SetSavedLoads(std::span<BackendCandidate> aCandidates,
              const PrefixView& aView,
              const PromptPrefix& aPrefix)
{
  const std::vector<PrefixHolder> holders = aView.FindHolders(aPrefix);
  for (BackendCandidate& candidate : aCandidates) {
    candidate.m_savedLoad = 0;
    for (const PrefixHolder& holder : holders) {
      if (holder.m_id == candidate.m_id) {
        candidate.m_savedLoad = holder.m_bytes / kBytesPerToken;
      }
    }
  }
  // Without evidence the first blocks only.
  const std::size_t known =
    std::max(aView.CountKnownBlocks(aPrefix),
             std::min(aPrefix.m_hashes.size(), kHomeBlocks));
  if (known == 0) {
    return;
  }
  const std::uint64_t hash = aPrefix.m_hashes[std::min(known, kHomeBlocks) - 1];
  BackendCandidate* home = FindHome(aCandidates, hash);
  if (home != nullptr) {
    const double bytes = static_cast<double>(known * kPrefixBlockBytes);
    home->m_savedLoad =
      std::max(home->m_savedLoad, kHomeShare * bytes / kBytesPerToken);
  }
}

BackendSelector::BackendSelector(const BackendChoiceOptions& aOptions)
  : m_options(aOptions)
{
}

BackendChoiceResult
BackendSelector::Choose(std::span<const BackendCandidate> aCandidates)
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
  const PoolLoad pool = LoadOfPool(aCandidates, usable);
  const auto isCheaper = [&](std::size_t aLeft, std::size_t aRight) {
    return CostOf(aCandidates[aLeft], pool) < CostOf(aCandidates[aRight], pool);
  };
  const std::size_t holder = *std::max_element(
    usable.begin(), usable.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return SavingOf(aCandidates[aLeft], pool) <
             SavingOf(aCandidates[aRight], pool);
    });
  std::size_t chosen = DrawOne(usable);
  if (!usable.empty()) {
    const std::size_t second = DrawOne(usable);
    chosen = isCheaper(second, chosen) ? second : chosen;
  }
  const bool isHolderBetter =
    SavingOf(aCandidates[holder], pool) > 0 && isCheaper(holder, chosen);
  return ChosenBackend{ isHolderBetter ? holder : chosen };
}

double
BackendSelector::CostOf(const BackendState& aState, double aReportedMean) const
{
  return LoadOf(aState, aReportedMean) +
         m_options.m_unansweredWeight *
           static_cast<double>(aState.m_loadUnanswered);
}

double
BackendSelector::CostOf(const BackendCandidate& aCandidate,
                        const PoolLoad& aPool) const
{
  // What is saved would have waited for the answer to begin.
  return CostOf(aCandidate.m_state, aPool.m_reportedMean) -
         m_options.m_unansweredWeight * SavingOf(aCandidate, aPool);
}

double
BackendSelector::SavingOf(const BackendCandidate& aCandidate,
                          const PoolLoad& aPool) const
{
  const double most =
    m_options.m_maxLoadForCache * aPool.m_mean + aCandidate.m_savedLoad;
  const double load = LoadOf(aCandidate.m_state, aPool.m_reportedMean);
  return load > most ? 0 : aCandidate.m_savedLoad;
}

double
BackendSelector::LoadOf(const BackendState& aState, double aReportedMean) const
{
  // What this instance has there itself is known without a report.
  const auto own = static_cast<double>(aState.m_loadInFlight);
  if (!aState.m_load) {
    return std::max(aReportedMean, own);
  }
  const double freshness = FreshnessOf(*aState.m_load);
  const double known = static_cast<double>(aState.m_load->m_load) +
                       static_cast<double>(aState.m_dispatchedSince);
  return std::max(freshness * known + (1 - freshness) * aReportedMean, own);
}

double
BackendSelector::FreshnessOf(const ReportedLoad& aLoad) const
{
  const auto age = m_options.m_clock.SteadyNow() - aLoad.m_at;
  return std::exp2(-std::chrono::duration<double>(age) /
                   std::chrono::duration<double>(m_options.m_loadHalfLife));
}

BackendSelector::PoolLoad
BackendSelector::LoadOfPool(std::span<const BackendCandidate> aCandidates,
                            const std::vector<std::size_t>& aUsable) const
{
  // Above zero, so that the oldest reports leave a mean of zero.
  double freshness = kMinFreshness;
  double reported = 0;
  for (const std::size_t index : aUsable) {
    const auto& load = aCandidates[index].m_state.m_load;
    if (load) {
      freshness += FreshnessOf(*load);
      reported += FreshnessOf(*load) * static_cast<double>(load->m_load);
    }
  }
  PoolLoad pool{ .m_reportedMean = reported / freshness };
  for (const std::size_t index : aUsable) {
    pool.m_mean += LoadOf(aCandidates[index].m_state, pool.m_reportedMean) /
                   static_cast<double>(aUsable.size());
  }
  return pool;
}

std::size_t
BackendSelector::DrawOne(std::vector<std::size_t>& aIndices)
{
  std::swap(aIndices[UniformIndex(m_options.m_random, aIndices.size())],
            aIndices.back());
  const std::size_t drawn = aIndices.back();
  aIndices.pop_back();
  return drawn;
}

std::vector<std::size_t>
BackendSelector::TakingWork(std::span<const BackendCandidate> aCandidates) const
{
  std::vector<std::size_t> staying;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const BackendCandidate& candidate = aCandidates[index];
    if (!candidate.m_isDraining && !candidate.m_state.m_isDraining) {
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
