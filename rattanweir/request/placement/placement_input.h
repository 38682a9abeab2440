// The parts of a placement question that follow from the request and the pool
// alone, and what a region tells the others of itself.
//
//   question.m_regionMargin = RegionMargin(isEngine, objective);
//   question.m_transferCost = TransferCost(bodySize);
//   AssumeSharedPrefix(question.m_servers, chain.front(), promptTokens);
//
// Plain values in and out; no I/O.

#pragma once

#include "rattanweir/process/part_cache/part_cache.h"
#include "rattanweir/request/placement/placement.h"

namespace rattanweir {

// By how much another region has to be better for a request of this latency
// objective. A plain service's waits are foreseen well, and an answer that is
// on time here is no better for coming sooner from there.
std::chrono::nanoseconds
RegionMargin(bool aIsEngine, std::chrono::nanoseconds aObjective);

// What a body of this size costs to carry to another region.
std::chrono::nanoseconds
TransferCost(ByteCount aBody);

// Part of a prompt that an engine of another region probably has to read: its
// own part, and the shared one where that region was not asked for it lately.
Tokens
UncachedInOtherRegion(Tokens aPrompt);

// How long a request may wait in line before its first dispatch, so that its
// answer can still be on time.
std::chrono::nanoseconds
MaxQueueWait(std::chrono::nanoseconds aObjective,
             std::chrono::nanoseconds aUntilDeadline);

// The one engine that all instances prefer for a shared beginning, found by
// rendezvous hash over those that take work; nothing if there is none.
ServerCandidate*
PreferredEngineOf(std::vector<ServerCandidate>& aEngines,
                  const ChainLink& aBeginning);

// Counts a prompt's shared beginning as held by its preferred engine.
void
AssumeSharedPrefix(std::vector<ServerCandidate>& aEngines,
                   const ChainLink& aBeginning,
                   Tokens aPrompt);

// The part of an engine's cache that holds what one of so many instances sent
// there.
Tokens
CacheShare(Tokens aCache, std::size_t aInstances);

// Lets each engine copy what it lacks of the prompt from the one that probably
// holds the most of it, where that takes less time than to read it.
void
PlanCacheCopies(std::vector<ServerCandidate>& aEngines,
                std::chrono::duration<double, std::nano> aTimePerToken);

// Lets the engines that are not known to hold the beginning ask an engine of
// another region for it, where they have none of this region to ask. What that
// one lacks is read as before, so the estimates stay.
void
PlanCacheCopiesFromRegion(const BackendServerId& aElsewhere,
                          std::vector<ServerCandidate>& aEngines,
                          const ChainLink& aBeginning,
                          Tokens aPrompt);

// A typical request, by which regions tell each other their delay.
inline constexpr Tokens kTypicalUncachedTokens{ 300 };

// What a region whose servers are these tells the others: when a typical
// request would begin to be answered there. `aInput` is such a request's.
std::chrono::nanoseconds
DelayToAdvertise(const PlacementInput& aInput);

} // namespace rattanweir
