// Computes the parts of a `PlacementInput` that depend only on the request and
// the pool, and the delay that a region advertises to the others. Used by the
// users' platform (`request/gateway`).
//
//   input.m_regionMargin = RegionMargin(isEngine, objective);
//   input.m_transferCost = TransferCost(bodySize);
//   AssumeSharedPrefix(input.m_servers, chain.front(), promptTokens);
//
// Plain values in and out; no I/O.

#pragma once

#include "rattanweir/process/part_cache/part_cache.h"
#include "rattanweir/request/placement/placement.h"

namespace rattanweir {

// Returns the minimum advantage for sending a request with this latency
// objective to another region. The margin for a plain service grows with the
// objective: its queueing time is predicted accurately, and a local response
// that meets the objective gains nothing from being earlier.
std::chrono::nanoseconds
RegionMargin(bool aIsEngine, std::chrono::nanoseconds aObjective);

// Returns the cost of transferring a body of this size to another region,
// expressed as a response delay.
std::chrono::nanoseconds
TransferCost(ByteCount aBody);

// Returns the expected number of prompt tokens missing from an engine's cache
// in another region: the part unique to the prompt, and the shared prefix if
// that region has not served it recently.
Tokens
UncachedInOtherRegion(Tokens aPrompt);

// Returns the maximum time in the wait queue before the first dispatch that
// still allows the response to meet its latency objective.
std::chrono::nanoseconds
MaxQueueWait(std::chrono::nanoseconds aObjective,
             std::chrono::nanoseconds aUntilDeadline);

// Returns the engine that all instances prefer for a shared prefix, chosen by
// rendezvous hashing over the engines that accept requests, or nullptr if there
// is none.
ServerCandidate*
FindPreferredEngine(std::vector<ServerCandidate>& aEngines,
                    const ChainLink& aPrefix);

// Assumes that the preferred engine has the prompt's shared prefix cached.
void
AssumeSharedPrefix(std::vector<ServerCandidate>& aEngines,
                   const ChainLink& aPrefix,
                   Tokens aPrompt);

// Returns one instance's share of an engine's cache, if `aInstances` instances
// dispatch to the engine equally.
Tokens
CacheShare(Tokens aCache, std::size_t aInstances);

// Plans a copy of missing cached tokens for each engine, from the engine
// expected to have most of the prompt cached, if copying takes less time than
// the prefill.
void
PlanCacheCopies(std::vector<ServerCandidate>& aEngines,
                std::chrono::duration<double, std::nano> aTimePerToken);

// Plans a copy from the engine `aSource` of another region for each engine that
// is not known to have the prefix cached and has no copy planned from the local
// region. Tokens that `aSource` lacks are prefilled, so the estimates do not
// change.
void
PlanCacheCopiesFromRegion(const BackendServerId& aSource,
                          std::vector<ServerCandidate>& aEngines,
                          const ChainLink& aPrefix,
                          Tokens aPrompt);

// Uncached tokens of the typical request for which regions advertise their
// delay.
inline constexpr Tokens kTypicalUncachedTokens{ 300 };

// Returns the delay that a region advertises to the others: the estimated time
// until a response to a typical request starts. `aInput` describes that request
// and the servers of the region.
std::chrono::nanoseconds
DelayToAdvertise(const PlacementInput& aInput);

} // namespace rattanweir
