#include "rattanweir/request/placement/placement.h"

#include <algorithm>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Reported request counts older than this are ignored.
constexpr std::chrono::seconds kQueueReportLifetime{ 2 };
// Delay caused by a failed attempt: about the duration of another attempt,
// including its queueing time.
constexpr milliseconds kFailurePenalty{ 1'000 };
// Number of queued requests per slot at which a server counts as full. Servers
// queue a few more requests than they process and reject the rest.
constexpr double kMaxQueuedPerSlot = 3;
// Weight of this instance's requests whose responses have not started. The
// other instances have about as many each, but their requests are not visible
// here.
constexpr double kUnansweredWeight = 2;
// Queueing time at which an engine counts as full. A longer queue does not
// increase the throughput and makes every request in it miss its objective.
constexpr milliseconds kMaxEngineQueueTime{ 400 };
// For a profiled pool, the same as a fraction of the latency objective, if that
// is longer. The estimate there holds the usual delays, so that only additional
// ones count.
constexpr double kMaxEngineQueueFraction = 0.5;
// Fraction of the maximum queue wait during which the copy cost counts towards
// an engine's queueing time, so that an expensive copy makes the engine full.
constexpr double kCacheWaitFraction = 0.75;
// Minimum retry delay for refused requests.
constexpr milliseconds kMinRetryAfter{ 100 };
// Retry delay while no server can be reached: several probes of their links.
constexpr milliseconds kUnreachableRetryAfter{ 500 };

bool
HasRecentReport(const PlacementInput& aInput, const ServerCandidate& aServer)
{
  const auto& report = aServer.m_state.m_queue;
  return report && aInput.m_now - report->m_at <= kQueueReportLifetime;
}

// Returns the time until a server would start to process one more request,
// without the recent excess delay of its responses.
nanoseconds
ExpectedQueueTime(const PlacementInput& aInput, const ServerCandidate& aServer)
{
  const BackendState& state = aServer.m_state;
  const double waiting =
    std::max(0.0, EstimateOccupancy(aInput, aServer) + 1 - aServer.m_slots);
  const nanoseconds queue =
    ScaleDuration(aInput.m_meanServiceTime, waiting / aServer.m_slots);
  const Tokens unanswered(
    static_cast<std::int64_t>(state.m_loadAwaitingResponse));
  if (aServer.m_profile) {
    return ScaleDuration(queue, aServer.m_profile->m_slowdown) +
           ScaleDuration(aServer.m_profile->PrefillTime(unanswered),
                         kUnansweredWeight);
  }
  return queue + ScaleDuration(PrefillTime(unanswered), kUnansweredWeight);
}

// Returns the time until a server would start to process one more request.
nanoseconds
QueueTime(const PlacementInput& aInput, const ServerCandidate& aServer)
{
  return ExpectedQueueTime(aInput, aServer) + aServer.m_state.m_startDelay;
}

nanoseconds
MaxEngineQueueTime(const PlacementInput& aInput, const ServerCandidate& aServer)
{
  if (!aServer.m_profile) {
    return kMaxEngineQueueTime;
  }
  return std::max<nanoseconds>(
    kMaxEngineQueueTime,
    ScaleDuration(aInput.m_latencyObjective, kMaxEngineQueueFraction));
}

bool
IsFull(const PlacementInput& aInput, const ServerCandidate& aServer)
{
  const bool isEngine = aServer.m_uncached > Tokens(0);
  // A request first waits for an engine that has its prompt cached.
  const bool waitsForCachedEngine =
    aInput.m_waited < ScaleDuration(aInput.m_maxQueueWait, kCacheWaitFraction);
  const nanoseconds copyCost =
    waitsForCachedEngine ? aServer.m_copyCost : nanoseconds::zero();
  if (isEngine && QueueTime(aInput, aServer) + copyCost >
                    MaxEngineQueueTime(aInput, aServer)) {
    return true;
  }
  if (aServer.m_state.m_inFlight >= aServer.m_maxInFlight) {
    return true;
  }
  if (aServer.m_maxAtServer) {
    // This instance's share of the room holds without a report.
    return HasRecentReport(aInput, aServer) &&
           EstimateOccupancy(aInput, aServer) >= *aServer.m_maxAtServer;
  }
  return EstimateOccupancy(aInput, aServer) >=
         aServer.m_slots * (1 + kMaxQueuedPerSlot);
}

struct BestCandidate
{
  std::optional<std::size_t> m_index;
  nanoseconds m_estimate{};

  void Consider(std::size_t aIndex, nanoseconds aEstimate)
  {
    if (!m_index || aEstimate < m_estimate) {
      m_index = aIndex;
      m_estimate = aEstimate;
    }
  }
};

bool
AreAllLeftToPeers(const PlacementInput& aInput)
{
  return !aInput.m_servers.empty() &&
         std::ranges::all_of(aInput.m_servers,
                             [](const ServerCandidate& aServer) {
                               return aServer.m_isLeftToPeers;
                             });
}

// Considers either the servers that are left to peers, or the others.
BestCandidate
FindBestServer(const PlacementInput& aInput, bool aAreLeftToPeers)
{
  BestCandidate best;
  for (std::size_t index = 0; index < aInput.m_servers.size(); ++index) {
    const ServerCandidate& server = aInput.m_servers[index];
    if (server.m_isLeftToPeers != aAreLeftToPeers ||
        server.m_isRateLimitReached || server.m_state.m_ejectedUntil ||
        IsFull(aInput, server)) {
      continue;
    }
    best.Consider(index, EstimateTimeToFirstByte(aInput, server));
  }
  return best;
}

BestCandidate
FindBestRegion(const PlacementInput& aInput)
{
  BestCandidate best;
  // A request that has waited would have to queue again in the other region.
  // One that could not be sent to a server has not been in a queue.
  const bool hasWaited =
    aInput.m_waited > aInput.m_maxQueueWait && !AreAllLeftToPeers(aInput);
  for (std::size_t index = 0; index < aInput.m_regions.size(); ++index) {
    if (hasWaited && !aInput.m_regions[index].m_isLocal) {
      continue;
    }
    best.Consider(index,
                  EstimateTimeToFirstByte(aInput, aInput.m_regions[index]));
  }
  return best;
}

// Returns the time until a server takes the next request if rate limits are all
// that prevents it, or nullopt if another change may free a server earlier.
std::optional<nanoseconds>
RateLimitWait(const PlacementInput& aInput)
{
  std::optional<nanoseconds> wait;
  // Requests per nanosecond that this instance sends to the servers.
  double rate = 0;
  for (const ServerCandidate& server : aInput.m_servers) {
    if (!server.m_isRateLimitReached || aInput.m_isDiscovering) {
      return std::nullopt;
    }
    wait = std::min(wait.value_or(nanoseconds::max()), server.m_rateLimitedFor);
    if (server.m_rateInterval > nanoseconds::zero()) {
      rate += 1 / static_cast<double>(server.m_rateInterval.count());
    }
  }
  if (wait && rate > 0) {
    const double ahead = static_cast<double>(aInput.m_requestsAhead) / rate;
    *wait += nanoseconds(static_cast<std::int64_t>(ahead));
  }
  return wait;
}

} // namespace

nanoseconds
PrefillTime(Tokens aTokens)
{
  return ScaleDuration(milliseconds(1),
                       static_cast<double>(aTokens.Value()) /
                         kPromptTokensPerMillisecond);
}

double
EstimateOccupancy(const PlacementInput& aInput, const ServerCandidate& aServer)
{
  const BackendState& state = aServer.m_state;
  const double localCount = state.m_inFlight;
  if (!HasRecentReport(aInput, aServer)) {
    return localCount * static_cast<double>(aInput.m_instancesInRegion);
  }
  const double reported =
    double(state.m_queue->m_running) + state.m_queue->m_waiting;
  const double adjustment = double(state.m_dispatchesSinceQueueReport) -
                            double(state.m_endsSinceQueueReport);
  return std::max(localCount, reported + adjustment);
}

nanoseconds
EstimateWithoutExcessDelay(const PlacementInput& aInput,
                           const ServerCandidate& aServer)
{
  const nanoseconds work = aServer.m_profile
                             ? aServer.m_profile->WorkTime(aServer.m_uncached)
                             : PrefillTime(aServer.m_uncached);
  return ExpectedQueueTime(aInput, aServer) + work + aServer.m_copyCost +
         ScaleDuration(kFailurePenalty, aServer.m_state.m_failureRate);
}

nanoseconds
EstimateTimeToFirstByte(const PlacementInput& aInput,
                        const ServerCandidate& aServer)
{
  return EstimateWithoutExcessDelay(aInput, aServer) +
         aServer.m_state.m_startDelay;
}

nanoseconds
EstimateTimeToFirstByte(const PlacementInput& aInput,
                        const RegionCandidate& aRegion)
{
  const BackendState& state = aRegion.m_state;
  const nanoseconds transferCost =
    aRegion.m_isLocal ? nanoseconds::zero() : aInput.m_transferCost;
  const nanoseconds work = aRegion.m_profile
                             ? aRegion.m_profile->WorkTime(aRegion.m_uncached)
                             : PrefillTime(aRegion.m_uncached);
  const nanoseconds hop = HopLatency(aRegion.m_isLocal);
  const nanoseconds estimate =
    std::max(aRegion.m_startDelay, state.m_startDelay) + work + hop +
    transferCost + ScaleDuration(kFailurePenalty, state.m_failureRate);
  return std::max(hop, estimate);
}

nanoseconds
HopLatency(bool aIsLocal)
{
  return aIsLocal ? kLocalHopLatency : kCrossRegionLatency;
}

ResultCode
ResultCodeOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::DeadlineTooShort:
      return ResultCode::DeadlineTooShort;
    case RefusalReason::RateLimitsReached:
      return ResultCode::TooManyRequests;
    case RefusalReason::ServersUnreachable:
      return ResultCode::ServersUnreachable;
    case RefusalReason::NoServer:
      break;
  }
  return ResultCode::NoBackendServer;
}

Placement
DecidePlacement(const PlacementInput& aInput)
{
  if (aInput.m_spillover) {
    const RegionCandidate& region = aInput.m_regions[*aInput.m_spillover];
    const nanoseconds estimate = EstimateTimeToFirstByte(aInput, region);
    if (estimate < aInput.m_untilDeadline) {
      return SendToRegion{ .m_index = *aInput.m_spillover,
                           .m_estimate = estimate };
    }
  }
  BestCandidate server = FindBestServer(aInput, false);
  const BestCandidate region = FindBestRegion(aInput);
  if (!server.m_index && !region.m_index && AreAllLeftToPeers(aInput)) {
    if (aInput.m_isForwarded || aInput.m_hasLostLinks) {
      return Refuse{ .m_reason = RefusalReason::ServersUnreachable,
                     .m_retryAfter = kUnreachableRetryAfter };
    }
    server = FindBestServer(aInput, true);
  }
  const bool hasServers =
    !aInput.m_servers.empty() || !aInput.m_regions.empty();
  if (!server.m_index && !region.m_index) {
    if (const auto wait = RateLimitWait(aInput);
        wait && aInput.m_waited + *wait > aInput.m_maxQueueWait) {
      return Refuse{ .m_reason = RefusalReason::RateLimitsReached,
                     .m_retryAfter =
                       std::max<nanoseconds>(kMinRetryAfter, *wait) };
    }
    if (hasServers || aInput.m_isDiscovering) {
      return KeepQueued{};
    }
    return Refuse{ .m_retryAfter = kMinRetryAfter };
  }
  const bool isRegionBetter =
    region.m_index &&
    (!server.m_index ||
     region.m_estimate + aInput.m_regionMargin < server.m_estimate);
  const BestCandidate& best = isRegionBetter ? region : server;
  if (best.m_estimate >= aInput.m_untilDeadline) {
    return Refuse{ .m_reason = RefusalReason::DeadlineTooShort,
                   .m_retryAfter =
                     std::max<nanoseconds>(kMinRetryAfter, best.m_estimate) };
  }
  if (isRegionBetter) {
    return SendToRegion{ .m_index = *best.m_index,
                         .m_estimate = best.m_estimate };
  }
  return SendToServer{ .m_index = *best.m_index,
                       .m_estimate = best.m_estimate };
}

} // namespace rattanweir
