#include "rattanweir/request/placement/placement_input.h"

#include <xxhash.h>

#include <algorithm>

namespace rattanweir {
namespace {

// A request waits for a server for this part of its latency objective.
constexpr double kWaitShare = 0.6;
// Of the region's body bytes that cross to another one: 30 bytes cost about as
// much as a microsecond of an answer's delay.
constexpr double kTransferBytesPerMicrosecond = 30;
// By this part of its objective another region has to be better for a request
// to a plain service, and by this time for one to an engine.
constexpr double kPlainRegionMargin = 0.2;
constexpr std::chrono::milliseconds kEngineRegionMargin{ 20 };
// Part of a prompt that is taken for uncached in another region.
constexpr double kUncachedElsewhere = 0.5;
// Part of a shared beginning that its preferred engine is expected to hold
// already.
constexpr double kPreferredShare = 0.8;
// A copied prompt takes cache away from others that are wanted again; this
// multiple of its reading time stands for that.
constexpr double kDisplacementWeight = 2;
// What a region with servers that take nothing now tells the others.
constexpr std::chrono::seconds kNoRoomDelay{ 2 };

} // namespace

std::chrono::nanoseconds
RegionMargin(bool aIsEngine, std::chrono::nanoseconds aObjective)
{
  return aIsEngine ? kEngineRegionMargin
                   : ScaleDuration(aObjective, kPlainRegionMargin);
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
    kUncachedElsewhere * static_cast<double>(aPrompt.Value())));
}

std::chrono::nanoseconds
MaxQueueWait(std::chrono::nanoseconds aObjective,
             std::chrono::nanoseconds aUntilDeadline)
{
  return std::min(ScaleDuration(aObjective, kWaitShare), aUntilDeadline);
}

ServerCandidate*
PreferredEngineOf(std::vector<ServerCandidate>& aEngines,
                  const ChainLink& aBeginning)
{
  ServerCandidate* preferred = nullptr;
  std::uint64_t highest = 0;
  for (ServerCandidate& choice : aEngines) {
    if (choice.m_isColdLimitReached || choice.m_state.m_ejectedUntil) {
      continue;
    }
    const std::string& id = choice.m_incarnation.Value();
    const std::uint64_t weight = XXH64(id.data(), id.size(), aBeginning.m_hash);
    if (preferred == nullptr || weight > highest) {
      preferred = &choice;
      highest = weight;
    }
  }
  return preferred;
}

void
AssumeSharedPrefix(std::vector<ServerCandidate>& aEngines,
                   const ChainLink& aBeginning,
                   Tokens aPrompt)
{
  ServerCandidate* preferred = PreferredEngineOf(aEngines, aBeginning);
  if (preferred == nullptr) {
    return;
  }
  const auto expected = static_cast<std::int64_t>(
    kPreferredShare * static_cast<double>(aBeginning.m_tokens.Value()));
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
  for (const ServerCandidate& choice : aEngines) {
    if (choice.m_state.m_ejectedUntil || choice.m_state.m_isDraining) {
      continue;
    }
    if (source == nullptr || choice.m_uncached < source->m_uncached) {
      source = &choice;
    }
  }
  if (source == nullptr) {
    return;
  }
  const BackendServerId id = source->m_incarnation;
  const Tokens uncached = source->m_uncached;
  for (ServerCandidate& choice : aEngines) {
    const Tokens copied = choice.m_uncached - uncached;
    const auto copyTime = std::chrono::duration_cast<std::chrono::nanoseconds>(
      aTimePerToken * static_cast<double>(copied.Value()));
    if (copied <= Tokens(0) || copyTime >= PrefillTime(copied)) {
      continue;
    }
    choice.m_copyFrom = id;
    choice.m_copyCost =
      copyTime + ScaleDuration(PrefillTime(copied), kDisplacementWeight);
    choice.m_uncached = uncached;
  }
}

void
PlanCacheCopiesFromRegion(const BackendServerId& aElsewhere,
                          std::vector<ServerCandidate>& aEngines,
                          const ChainLink& aBeginning,
                          Tokens aPrompt)
{
  for (ServerCandidate& choice : aEngines) {
    const bool isKnownToHold =
      choice.m_uncached <= aPrompt - aBeginning.m_tokens;
    if (!choice.m_copyFrom && !isKnownToHold) {
      choice.m_copyFrom = aElsewhere;
    }
  }
}

std::chrono::nanoseconds
DelayToAdvertise(const PlacementInput& aInput)
{
  const Placement placement = DecidePlacement(aInput);
  const auto* server = std::get_if<SendToServer>(&placement);
  return server == nullptr ? std::chrono::nanoseconds(kNoRoomDelay)
                           : server->m_estimate;
}

} // namespace rattanweir
