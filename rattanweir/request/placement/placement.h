// Decides where a request goes: to a backend server of this region, to another
// region, back in line for a while, or nowhere.
//
//   const Placement placement = DecidePlacement(question);
//   std::visit(Act{}, placement);
//
// Each choice is rated by the time until the request's answer would begin
// there, as far as it is known here. A server's own count of its requests, from
// its newest answer, is brought up to date by what this instance sent and saw
// end since. The own requests that wait for their answers there, what recent
// answers were late by, and the part of them that failed, are added. An
// engine pays for the prompt tokens that its cache lacks. Another region pays
// for the round trip and for the bytes between regions, and for what this
// instance saw of its own requests there, since what the instances there told
// is old by a moment. It is used only if it is better by a margin. An engine
// with much work before it counts as full; at first a request rather waits for
// an engine that has its prompt than to have it copied to another one.
//
// The load that it answers: one region at its peak while others are quiet,
// servers that are lost, slow or failing, and requests that share long prompt
// parts. A request that could only begin after its deadline is refused at once.
// Plain values in and out; no I/O.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/process/backend_view/backend_view.h"

#include <chrono>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace rattanweir {

// A backend server of this region that takes work.
struct ServerCandidate
{
  BackendServerId m_incarnation;
  BackendState m_state;
  // Requests that it processes at once.
  unsigned m_slots = 1;
  // Prompt tokens that it would have to read; 0 at a plain server.
  Tokens m_uncached;
  // Another server from which it copies cached tokens first, and what that
  // costs: the copy's time, and what the copy displaces.
  std::optional<BackendServerId> m_copyFrom;
  std::chrono::nanoseconds m_copyCost{};
  // Connections that this instance may have open to it.
  unsigned m_maxInFlight = 0;
  // It is cold, and this instance's part of what it takes is used up.
  bool m_isColdLimitReached = false;
};

// Another region in which the request may be served.
struct RegionCandidate
{
  RegionId m_region;
  // When a request sent to a server there would begin to be answered, as the
  // instances there told.
  std::chrono::nanoseconds m_startDelay{};
  // What this instance saw of its own requests there.
  BackendState m_state;
  // Prompt tokens that an engine there would probably have to read.
  Tokens m_uncached;
};

struct PlacementInput
{
  SteadyTime m_now;
  std::vector<ServerCandidate> m_servers;
  std::vector<RegionCandidate> m_regions;
  // How long one request holds a slot, on average.
  std::chrono::nanoseconds m_meanServiceTime{};
  // Instances that send to the servers of this region.
  std::size_t m_instancesInRegion = 1;
  // How long the request has waited in line here, and how long it may.
  std::chrono::nanoseconds m_waited{};
  std::chrono::nanoseconds m_maxQueueWait{};
  // Left until nobody waits for the answer.
  std::chrono::nanoseconds m_untilDeadline{};
  // This instance has just started: servers and peers that it does not know yet
  // may be told any moment.
  bool m_isDiscovering = false;
  // By how much another region has to be better.
  std::chrono::nanoseconds m_regionMargin{ std::chrono::milliseconds(20) };
  // What sending the request to another region costs beside the round trip.
  std::chrono::nanoseconds m_transferCost{};
};

struct SendToServer
{
  // Index into m_servers.
  std::size_t m_index = 0;
  std::chrono::nanoseconds m_estimate{};
};

struct SendToRegion
{
  // Index into m_regions.
  std::size_t m_index = 0;
  std::chrono::nanoseconds m_estimate{};
};

// Some server takes work, but not now.
struct KeepQueued
{};

// There is no server, or none that could begin in time.
struct Refuse
{
  bool m_hasServers = false;
  // When it is worth asking again.
  std::chrono::nanoseconds m_retryAfter{};
};

using Placement = std::variant<SendToServer, SendToRegion, KeepQueued, Refuse>;

// One region to another and back, with a margin for the hop.
inline constexpr std::chrono::milliseconds kCrossRegionLatency{ 125 };

// Rate at which an engine reads prompts, where nothing better is known: a
// large model on a current accelerator.
inline constexpr double kPromptTokensPerMillisecond = 60;

Placement
DecidePlacement(const PlacementInput& aInput);

// How long an engine reads that many prompt tokens.
std::chrono::nanoseconds
PrefillTime(Tokens aTokens);

// The time until an answer would begin at this server.
std::chrono::nanoseconds
EstimateTimeToFirstByte(const PlacementInput& aInput,
                        const ServerCandidate& aServer);

// The same in another region.
std::chrono::nanoseconds
EstimateTimeToFirstByte(const PlacementInput& aInput,
                        const RegionCandidate& aRegion);

// The requests that a server probably has, from all instances.
double
EstimateOccupancy(const PlacementInput& aInput, const ServerCandidate& aServer);

} // namespace rattanweir
