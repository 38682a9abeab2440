// Decides the placement of a request: a backend server of the local region, a
// peer of this or another region, the wait queue, or refusal. Used by the
// users' platform
// (`request/gateway`); the product's own interface uses `request/routing`.
//
//   const Placement placement = DecidePlacement(input);
//   std::visit(Dispatcher{}, placement);
//
// Candidates are compared by the estimated time until the response starts (time
// to first byte). The estimate for a server of the local region sums:
//  - the queueing time at the server: the request count it reported with its
//    latest response, adjusted by the requests that this instance has
//    dispatched and completed since;
//  - the load of this instance's requests at the server whose responses have
//    not started;
//  - the recent excess delay of its responses and its failure rate;
//  - for an engine, the prefill of the prompt tokens missing from its cache.
// For servers of a profiled pool (process/server_performance) the learned costs
// and the server's present speed take the place of the default prefill rate.
// The estimate for another region adds the round trip and the cost of
// transferring the body. Because the delay advertised by a region's instances
// may be outdated, the estimate uses the larger of the advertised delay and the
// delay that this instance has observed for its own requests. Another region is
// chosen only if its estimate is better by a margin.
//
// A server that is left to peers, since this instance can't connect to it or
// has no share of the room there, is not used while a peer of the region that
// can use it, or another region, can serve the request. A request that a peer
// has forwarded is refused instead, so that the peer can try another instance.
//
// An engine with a long queue counts as full. A request first waits in the
// queue for an engine that has its prompt cached; later, the prompt may be
// copied to another engine.
//
// The expected load: one region at its peak while others are idle, servers that
// are lost, slow or failing, and requests that share long prompt prefixes. A
// request that could only start after its deadline is refused immediately.
// Plain values in and out; no I/O.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/result/result_code.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/process/backend_view/backend_view.h"
#include "rattanweir/process/server_performance/server_performance.h"

#include <chrono>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace rattanweir {

// A backend server of the local region that accepts requests.
struct ServerCandidate
{
  // Identifies one run of the server process.
  BackendServerId m_incarnation;
  BackendState m_state;
  // Number of requests that the server processes concurrently.
  unsigned m_slots = 1;
  // Prompt tokens missing from its cache; 0 for a plain server.
  Tokens m_uncached;
  // Server from which cached tokens are copied before the prefill, if any.
  std::optional<BackendServerId> m_copyFrom;
  // Duration of the copy plus a penalty for the cache entries that it evicts.
  std::chrono::nanoseconds m_copyCost{};
  // Maximum number of requests of this instance in flight to the server.
  unsigned m_maxInFlight = 0;
  // Whether the server takes only a limited rate of requests, since it is cold
  // or has named a limit, or none at all, since it has asked for a pause, and
  // this instance may not send one now.
  bool m_isRateLimitReached = false;
  // The time until this instance, or another one that may send to the server,
  // sends the next request.
  std::chrono::nanoseconds m_rateLimitedFor{};
  // The least time between two requests of this instance to a server that has
  // named a limit; 0 if it sends none, or if there is no such limit.
  std::chrono::nanoseconds m_rateInterval{};
  // The most requests that may be at the server, of all instances, if it fails
  // when it has to refuse too many.
  std::optional<unsigned> m_maxAtServer;
  // The server's learned speed; nullopt if its pool is not profiled.
  std::optional<ServerProfile> m_profile;
  // Whether the server is left to peers: this instance can't open connections
  // to it, or has no place there.
  bool m_isLeftToPeers = false;
};

// Round trip between two regions plus the processing time of the hop.
inline constexpr std::chrono::milliseconds kCrossRegionLatency{ 125 };
// The same between two instances of a region.
inline constexpr std::chrono::milliseconds kLocalHopLatency{ 6 };

// A region in which a peer may serve the request. The local region is one if
// this instance leaves some of its servers to peers.
struct RegionCandidate
{
  RegionId m_region;
  bool m_isLocal = false;
  // Time until a server of the region would start to respond, as advertised by
  // the region's instances.
  std::chrono::nanoseconds m_startDelay{};
  // Observations from this instance's own requests to that region.
  BackendState m_state;
  // Expected number of prompt tokens missing from the cache of an engine in the
  // region.
  Tokens m_uncached;
  // What this instance has learned of its own requests there, beyond the
  // advertised delay; nullopt if the pool is not profiled.
  std::optional<ServerProfile> m_profile;
};

struct PlacementInput
{
  SteadyTime m_now;
  std::vector<ServerCandidate> m_servers;
  std::vector<RegionCandidate> m_regions;
  // Average time for which a request occupies a slot.
  std::chrono::nanoseconds m_meanServiceTime{};
  // Number of instances that dispatch to the servers of the local region.
  std::size_t m_instancesInRegion = 1;
  // Time that the request has spent in the local wait queue, and its limit.
  std::chrono::nanoseconds m_waited{};
  std::chrono::nanoseconds m_maxQueueWait{};
  // Requests that would be sent before this one, for one that has just arrived.
  std::size_t m_requestsAhead = 0;
  // The route's latency objective; bounds the queueing time at engines of
  // profiled pools.
  std::chrono::nanoseconds m_latencyObjective{};
  // Time left until the deadline of the request.
  std::chrono::nanoseconds m_untilDeadline{};
  // Whether this instance has just started and may still discover servers and
  // peers.
  bool m_isDiscovering = false;
  // Whether this instance has lost its links to the local region's servers.
  bool m_hasLostLinks = false;
  // A peer has forwarded the request, and no other instance follows.
  bool m_isForwarded = false;
  // Minimum advantage in the estimate for choosing another region.
  std::chrono::nanoseconds m_regionMargin{ std::chrono::milliseconds(20) };
  // The region to which the request is sent because this one has more demand
  // than capacity (request/region_split), as an index into m_regions.
  std::optional<std::size_t> m_spillover;
  // Cost of sending the request body to another region, in addition to the
  // round trip, expressed as a response delay.
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

// Some server accepts requests, but none has capacity now.
struct KeepQueued
{};

enum class RefusalReason
{
  NoServer,
  // This instance leaves all servers to peers.
  ServersUnreachable,
  // No server can start to respond before the deadline.
  DeadlineTooShort,
  // All servers take only a limited rate of requests, and none takes another
  // one while the request may wait.
  RateLimitsReached,
};

// No server can serve the request in time.
struct Refuse
{
  RefusalReason m_reason = RefusalReason::NoServer;
  // Delay after which the caller should retry.
  std::chrono::nanoseconds m_retryAfter{};
};

using Placement = std::variant<SendToServer, SendToRegion, KeepQueued, Refuse>;

// Default prefill rate of an engine: that of a large model on a current
// accelerator.
inline constexpr double kPromptTokensPerMillisecond = 60;

// Returns the time that the hop to the region and back takes.
std::chrono::nanoseconds
HopLatency(bool aIsLocal);

// Returns the result of a request that is refused for this reason.
ResultCode
ResultCodeOf(RefusalReason aReason);

// Returns the best placement for a request.
Placement
DecidePlacement(const PlacementInput& aInput);

// Returns the time in which an engine prefills this many prompt tokens.
std::chrono::nanoseconds
PrefillTime(Tokens aTokens);

// Returns the estimated time until the server would start to respond, without
// the recent excess delay of its responses.
std::chrono::nanoseconds
EstimateWithoutExcessDelay(const PlacementInput& aInput,
                           const ServerCandidate& aServer);

// Returns the estimated time until the server would start to respond.
std::chrono::nanoseconds
EstimateTimeToFirstByte(const PlacementInput& aInput,
                        const ServerCandidate& aServer);

// Returns the estimated time until a response from the region would start.
std::chrono::nanoseconds
EstimateTimeToFirstByte(const PlacementInput& aInput,
                        const RegionCandidate& aRegion);

// Returns the estimated number of requests at a server, from all instances.
double
EstimateOccupancy(const PlacementInput& aInput, const ServerCandidate& aServer);

} // namespace rattanweir
