#include "rattanweir/request/placement/placement_input.h"

#include <xxhash.h>

#include <algorithm>

namespace rattanweir {
namespace {

// Fraction of its latency objective for which a request may wait for a server.
constexpr double kQueueWaitFraction = 0.6;
// Body bytes sent to another region that weigh as much as one microsecond of
// response delay.
constexpr double kTransferBytesPerMicrosecond = 30;
// Minimum advantage of another region: for a request to a plain service as a
// fraction of its latency objective, for a request to an engine as a duration.
constexpr double kPlainRegionMarginFraction = 0.2;
constexpr std::chrono::milliseconds kEngineRegionMargin{ 20 };
// Fraction of a prompt that is assumed to be uncached in another region.
constexpr double kUncachedFractionInOtherRegion = 0.5;
// Fraction of a shared prefix that its preferred engine is assumed to have
// cached.
constexpr double kPreferredEngineFraction = 0.8;
// Penalty for the reusable cache entries that a copied prompt evicts, as a
// multiple of its prefill time.
constexpr double kEvictionWeight = 2;
// Delay advertised by a region whose servers accept no requests now.
constexpr std::chrono::seconds kNoCapacityDelay{ 2 };

} // namespace

std::chrono::nanoseconds
RegionMargin(bool aIsEngine, std::chrono::nanoseconds aObjective)
{
  return aIsEngine ? kEngineRegionMargin
                   : ScaleDuration(aObjective, kPlainRegionMarginFraction);
}

std::chrono::nanoseconds
TransferCost(ByteCount aBody)
{
  return ScaleDuration(std::chrono::microseconds(1),
                       static_cast<double>(aBody.Value()) /
                         kTransferBytesPerMicrosecond);
}

Tokens
UncachedInOtherRegion(Tokens aPrompt)
{
  return Tokens(static_cast<std::int64_t>(
    kUncachedFractionInOtherRegion * static_cast<double>(aPrompt.Value())));
}

std::chrono::nanoseconds
MaxQueueWait(std::chrono::nanoseconds aObjective,
             std::chrono::nanoseconds aUntilDeadline)
{
  return std::min(ScaleDuration(aObjective, kQueueWaitFraction),
                  aUntilDeadline);
}

ServerCandidate*
FindPreferredEngine(std::vector<ServerCandidate>& aEngines,
                    const ChainLink& aPrefix)
{
  ServerCandidate* preferred = nullptr;
  std::uint64_t highest = 0;
  for (ServerCandidate& candidate : aEngines) {
    if (candidate.m_isRateLimitReached || candidate.m_state.m_ejectedUntil) {
      continue;
    }
    const std::string& id = candidate.m_incarnation.Value();
    const std::uint64_t weight = XXH64(id.data(), id.size(), aPrefix.m_hash);
    if (preferred == nullptr || weight > highest) {
      preferred = &candidate;
      highest = weight;
    }
  }
  return preferred;
}

void
AssumeSharedPrefix(std::vector<ServerCandidate>& aEngines,
                   const ChainLink& aPrefix,
                   Tokens aPrompt)
{
  ServerCandidate* preferred = FindPreferredEngine(aEngines, aPrefix);
  if (preferred == nullptr) {
    return;
  }
  const auto expected = static_cast<std::int64_t>(
    kPreferredEngineFraction * static_cast<double>(aPrefix.m_tokens.Value()));
  preferred->m_uncached =
    std::min(preferred->m_uncached, aPrompt - Tokens(expected));
}

Tokens
CacheShare(Tokens aCache, std::size_t aInstances)
{
  return Tokens(aCache.Value() / static_cast<std::int64_t>(aInstances));
}

void
PlanCacheCopies(std::vector<ServerCandidate>& aEngines,
                std::chrono::duration<double, std::nano> aTimePerToken)
{
  const ServerCandidate* source = nullptr;
  for (const ServerCandidate& candidate : aEngines) {
    if (candidate.m_state.m_ejectedUntil || candidate.m_state.m_isDraining) {
      continue;
    }
    if (source == nullptr || candidate.m_uncached < source->m_uncached) {
      source = &candidate;
    }
  }
  if (source == nullptr) {
    return;
  }
  const BackendServerId id = source->m_incarnation;
  const Tokens uncached = source->m_uncached;
  for (ServerCandidate& candidate : aEngines) {
    const Tokens copied = candidate.m_uncached - uncached;
    const auto copyTime = std::chrono::duration_cast<std::chrono::nanoseconds>(
      aTimePerToken * static_cast<double>(copied.Value()));
    if (copied <= Tokens(0) || copyTime >= PrefillTime(copied)) {
      continue;
    }
    candidate.m_copyFrom = id;
    candidate.m_copyCost =
      copyTime + ScaleDuration(PrefillTime(copied), kEvictionWeight);
    candidate.m_uncached = uncached;
  }
}

void
PlanCacheCopiesFromRegion(const BackendServerId& aSource,
                          std::vector<ServerCandidate>& aEngines,
                          const ChainLink& aPrefix,
                          Tokens aPrompt)
{
  for (ServerCandidate& candidate : aEngines) {
    const bool isKnownToHold =
      candidate.m_uncached <= aPrompt - aPrefix.m_tokens;
    if (!candidate.m_copyFrom && !isKnownToHold) {
      candidate.m_copyFrom = aSource;
    }
  }
}

std::chrono::nanoseconds
DelayToAdvertise(const PlacementInput& aInput)
{
  const Placement placement = DecidePlacement(aInput);
  const auto* server = std::get_if<SendToServer>(&placement);
  return server == nullptr ? std::chrono::nanoseconds(kNoCapacityDelay)
                           : server->m_estimate;
}

} // namespace rattanweir
