#include "rattanweir/request/placement/placement.h"

#include <algorithm>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// A server's count of its requests is trusted for this long.
constexpr std::chrono::seconds kQueueReportLife{ 2 };
// What a failed attempt costs its caller: about a second attempt and its wait.
constexpr milliseconds kFailureCost{ 1'000 };
// Requests that wait at a server, in multiples of its slots, before it is
// taken for full. Servers queue a few requests more than they process and turn
// the others away.
constexpr double kQueuePerSlot = 3;
// The own requests that wait for their answers stand for those of the other
// instances as well, which are as many each but are not seen.
constexpr double kUnansweredWeight = 2;
// An engine with this much before it is taken for full: a longer queue there
// serves no more, and makes all that is in it late.
constexpr milliseconds kLongestEngineQueue{ 400 };
// Of the time that a request may wait: for this part it goes to no engine for
// which more would have to be copied than a full queue costs.
constexpr double kHoldOutShare = 0.75;
// The least time to come back after.
constexpr milliseconds kMinRetryAfter{ 100 };

// Until a server would turn to one more request.
nanoseconds
QueueTime(const PlacementInput& aInput, const ServerCandidate& aServer)
{
  const BackendState& state = aServer.m_state;
  const double waiting =
    std::max(0.0, EstimateOccupancy(aInput, aServer) + 1 - aServer.m_slots);
  const nanoseconds queue =
    ScaleDuration(aInput.m_meanServiceTime, waiting / aServer.m_slots);
  const nanoseconds unanswered =
    PrefillTime(Tokens(static_cast<std::int64_t>(state.m_loadUnanswered)));
  return queue + ScaleDuration(unanswered, kUnansweredWeight) +
         state.m_startDelay;
}

bool
IsFull(const PlacementInput& aInput, const ServerCandidate& aServer)
{
  const bool isEngine = aServer.m_uncached > Tokens(0);
  // At first a request holds out for an engine that has its prompt.
  const bool holdsOut =
    aInput.m_waited < ScaleDuration(aInput.m_maxQueueWait, kHoldOutShare);
  const nanoseconds copyCost =
    holdsOut ? aServer.m_copyCost : nanoseconds::zero();
  if (isEngine && QueueTime(aInput, aServer) + copyCost > kLongestEngineQueue) {
    return true;
  }
  return aServer.m_state.m_inFlight >= aServer.m_maxInFlight ||
         EstimateOccupancy(aInput, aServer) >=
           aServer.m_slots * (1 + kQueuePerSlot);
}

struct Best
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

Best
BestServer(const PlacementInput& aInput)
{
  Best best;
  for (std::size_t index = 0; index < aInput.m_servers.size(); ++index) {
    const ServerCandidate& server = aInput.m_servers[index];
    if (server.m_isColdLimitReached || server.m_state.m_ejectedUntil ||
        IsFull(aInput, server)) {
      continue;
    }
    best.Consider(index, EstimateTimeToFirstByte(aInput, server));
  }
  return best;
}

Best
BestRegion(const PlacementInput& aInput)
{
  Best best;
  if (aInput.m_waited > aInput.m_maxQueueWait) {
    // There it would begin to wait again.
    return best;
  }
  for (std::size_t index = 0; index < aInput.m_regions.size(); ++index) {
    best.Consider(index,
                  EstimateTimeToFirstByte(aInput, aInput.m_regions[index]));
  }
  return best;
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
  const double own = state.m_inFlight;
  if (!state.m_queue || aInput.m_now - state.m_queue->m_at > kQueueReportLife) {
    return own * static_cast<double>(aInput.m_instancesInRegion);
  }
  const double reported =
    double(state.m_queue->m_running) + state.m_queue->m_waiting;
  const double since =
    double(state.m_dispatchesSinceQueue) - double(state.m_endsSinceQueue);
  return std::max(own, reported + since);
}

nanoseconds
EstimateTimeToFirstByte(const PlacementInput& aInput,
                        const ServerCandidate& aServer)
{
  return QueueTime(aInput, aServer) + PrefillTime(aServer.m_uncached) +
         aServer.m_copyCost +
         ScaleDuration(kFailureCost, aServer.m_state.m_failureShare);
}

nanoseconds
EstimateTimeToFirstByte(const PlacementInput& aInput,
                        const RegionCandidate& aRegion)
{
  const BackendState& state = aRegion.m_state;
  return std::max(aRegion.m_startDelay, state.m_startDelay) +
         PrefillTime(aRegion.m_uncached) + kCrossRegionLatency +
         aInput.m_transferCost +
         ScaleDuration(kFailureCost, state.m_failureShare);
}

Placement
DecidePlacement(const PlacementInput& aInput)
{
  const Best server = BestServer(aInput);
  const Best region = BestRegion(aInput);
  const bool hasServers =
    !aInput.m_servers.empty() || !aInput.m_regions.empty();
  if (!server.m_index && !region.m_index) {
    if (hasServers || aInput.m_isDiscovering) {
      return KeepQueued{};
    }
    return Refuse{ .m_retryAfter = kMinRetryAfter };
  }
  const bool isElsewhereBetter =
    region.m_index &&
    (!server.m_index ||
     region.m_estimate + aInput.m_regionMargin < server.m_estimate);
  const Best& best = isElsewhereBetter ? region : server;
  if (best.m_estimate >= aInput.m_untilDeadline) {
    return Refuse{ .m_hasServers = true,
                   .m_retryAfter =
                     std::max<nanoseconds>(kMinRetryAfter, best.m_estimate) };
  }
  if (isElsewhereBetter) {
    return SendToRegion{ .m_index = *best.m_index,
                         .m_estimate = best.m_estimate };
  }
  return SendToServer{ .m_index = *best.m_index,
                       .m_estimate = best.m_estimate };
}

} // namespace rattanweir
