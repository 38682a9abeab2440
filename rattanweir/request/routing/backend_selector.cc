#include "rattanweir/request/routing/backend_selector.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace rattanweir {
namespace {

constexpr double kBytesPerToken = 4;
constexpr double kMinTotalWeight = 1e-6;

// Number of leading prompt blocks that determine the preferred server.
constexpr std::size_t kPreferredServerBlocks = 4;
// Fraction of a prefix that its preferred server is expected to have cached.
constexpr double kPreferredServerFraction = 0.8;

bool
AcceptsRequests(const BackendCandidate& aCandidate)
{
  return !aCandidate.m_isDraining && !aCandidate.m_state.m_isDraining &&
         !aCandidate.m_state.m_ejectedUntil;
}

// Returns the candidate that all instances prefer for this hash, or nullptr if
// none accepts requests.
BackendCandidate*
FindPreferredServer(std::span<BackendCandidate> aCandidates,
                    std::uint64_t aHash)
{
  BackendCandidate* preferred = nullptr;
  std::uint64_t highest = 0;
  for (BackendCandidate& candidate : aCandidates) {
    if (!AcceptsRequests(candidate)) {
      continue;
    }
    const std::string& id = candidate.m_id.Value();
    const std::uint64_t weight = XXH64(id.data(), id.size(), aHash);
    if (preferred == nullptr || weight > highest) {
      preferred = &candidate;
      highest = weight;
    }
  }
  return preferred;
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
  // For a prefix not seen before, only the first blocks count.
  const std::size_t known =
    std::max(aView.CountKnownBlocks(aPrefix),
             std::min(aPrefix.m_hashes.size(), kPreferredServerBlocks));
  if (known == 0) {
    return;
  }
  const std::uint64_t hash =
    aPrefix.m_hashes[std::min(known, kPreferredServerBlocks) - 1];
  BackendCandidate* preferred = FindPreferredServer(aCandidates, hash);
  if (preferred != nullptr) {
    const double bytes = static_cast<double>(known * kPrefixBlockBytes);
    preferred->m_savedLoad =
      std::max(preferred->m_savedLoad,
               kPreferredServerFraction * bytes / kBytesPerToken);
  }
}

BackendSelector::BackendSelector(const BackendSelectorOptions& aOptions)
  : m_options(aOptions)
{
}

BackendSelection
BackendSelector::Choose(std::span<const BackendCandidate> aCandidates)
{
  std::vector<std::size_t> usable = AvailableCandidates(aCandidates);
  if (usable.empty()) {
    return NoBackendAvailable{};
  }
  std::erase_if(usable, [&](std::size_t aIndex) {
    const BackendCandidate& candidate = aCandidates[aIndex];
    return candidate.m_state.m_inFlight >= candidate.m_maximumInFlight;
  });
  if (usable.empty()) {
    return AllBackendsFull{};
  }
  const PoolLoad pool = EstimatePoolLoad(aCandidates, usable);
  const auto isCheaper = [&](std::size_t aLeft, std::size_t aRight) {
    return CostOf(aCandidates[aLeft], pool) < CostOf(aCandidates[aRight], pool);
  };
  const std::size_t holder = *std::max_element(
    usable.begin(), usable.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return CacheSaving(aCandidates[aLeft], pool) <
             CacheSaving(aCandidates[aRight], pool);
    });
  std::size_t chosen = RemoveRandom(usable);
  if (!usable.empty()) {
    const std::size_t second = RemoveRandom(usable);
    chosen = isCheaper(second, chosen) ? second : chosen;
  }
  const bool isHolderBetter =
    CacheSaving(aCandidates[holder], pool) > 0 && isCheaper(holder, chosen);
  return ChosenBackend{ isHolderBetter ? holder : chosen };
}

double
BackendSelector::CostOf(const BackendState& aState, double aReportedMean) const
{
  return EstimateLoad(aState, aReportedMean) +
         m_options.m_unansweredWeight *
           static_cast<double>(aState.m_loadAwaitingResponse);
}

double
BackendSelector::CostOf(const BackendCandidate& aCandidate,
                        const PoolLoad& aPool) const
{
  // The saved load would have delayed the start of the response, so it has the
  // weight of load whose response has not started.
  return CostOf(aCandidate.m_state, aPool.m_reportedMean) -
         m_options.m_unansweredWeight * CacheSaving(aCandidate, aPool);
}

double
BackendSelector::CacheSaving(const BackendCandidate& aCandidate,
                             const PoolLoad& aPool) const
{
  const double maxLoad =
    m_options.m_maxLoadForCache * aPool.m_mean + aCandidate.m_savedLoad;
  const double load = EstimateLoad(aCandidate.m_state, aPool.m_reportedMean);
  return load > maxLoad ? 0 : aCandidate.m_savedLoad;
}

double
BackendSelector::EstimateLoad(const BackendState& aState,
                              double aReportedMean) const
{
  // The load of this instance's own requests is known without a report.
  const auto localLoad = static_cast<double>(aState.m_loadInFlight);
  if (!aState.m_load) {
    return std::max(aReportedMean, localLoad);
  }
  const double weight = ReportWeight(*aState.m_load);
  const double known = static_cast<double>(aState.m_load->m_load) +
                       static_cast<double>(aState.m_loadSinceReport);
  return std::max(weight * known + (1 - weight) * aReportedMean, localLoad);
}

double
BackendSelector::ReportWeight(const ReportedLoad& aLoad) const
{
  const auto age = m_options.m_clock.SteadyNow() - aLoad.m_at;
  return std::exp2(-std::chrono::duration<double>(age) /
                   std::chrono::duration<double>(m_options.m_loadHalfLife));
}

BackendSelector::PoolLoad
BackendSelector::EstimatePoolLoad(std::span<const BackendCandidate> aCandidates,
                                  const std::vector<std::size_t>& aUsable) const
{
  // Above zero, so that the mean is zero if all reports are very old.
  double weight = kMinTotalWeight;
  double reported = 0;
  for (const std::size_t index : aUsable) {
    const auto& load = aCandidates[index].m_state.m_load;
    if (load) {
      weight += ReportWeight(*load);
      reported += ReportWeight(*load) * static_cast<double>(load->m_load);
    }
  }
  PoolLoad pool{ .m_reportedMean = reported / weight };
  for (const std::size_t index : aUsable) {
    pool.m_mean +=
      EstimateLoad(aCandidates[index].m_state, pool.m_reportedMean) /
      static_cast<double>(aUsable.size());
  }
  return pool;
}

std::size_t
BackendSelector::RemoveRandom(std::vector<std::size_t>& aIndices)
{
  std::swap(aIndices[UniformIndex(m_options.m_random, aIndices.size())],
            aIndices.back());
  const std::size_t drawn = aIndices.back();
  aIndices.pop_back();
  return drawn;
}

std::vector<std::size_t>
BackendSelector::AvailableCandidates(
  std::span<const BackendCandidate> aCandidates) const
{
  std::vector<std::size_t> available;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const BackendCandidate& candidate = aCandidates[index];
    if (!candidate.m_isDraining && !candidate.m_state.m_isDraining) {
      available.push_back(index);
    }
  }
  // Sorts ejected candidates last, by the end of their ejection, and removes
  // them, but keeps at least half of the pool.
  const auto ejectedUntil = [&](std::size_t aIndex) {
    return aCandidates[aIndex].m_state.m_ejectedUntil.value_or(
      SteadyTime::min());
  };
  std::stable_sort(available.begin(),
                   available.end(),
                   [&](std::size_t aLeft, std::size_t aRight) {
                     return ejectedUntil(aLeft) < ejectedUntil(aRight);
                   });
  const auto healthy = static_cast<std::size_t>(
    std::count_if(available.begin(), available.end(), [&](std::size_t aIndex) {
      return !aCandidates[aIndex].m_state.m_ejectedUntil.has_value();
    }));
  available.resize(std::max(healthy, (available.size() + 1) / 2));
  return available;
}

} // namespace rattanweir
