#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/build_placement_input.h"

#include "rattanweir/request/gateway/server_candidates.h"
#include "rattanweir/request/placement/placement_input.h"

#include <algorithm>

namespace rattanweir {
namespace {

bool
IsForEngine(const AdmittedRequest& aRequest)
{
  const Pool* pool = aRequest.m_config->FindPool(aRequest.m_pool);
  return pool != nullptr && pool->m_engine.has_value();
}

std::chrono::nanoseconds
AdvertisedDelay(const FleetMember& aPeer, const PoolId& aPool)
{
  const auto report = aPeer.m_pools.find(aPool);
  return report == aPeer.m_pools.end() ? std::chrono::nanoseconds::zero()
                                       : report->second.m_startDelay;
}

// Returns whether this region has a server for the request.
bool
MayBeServedLocally(const PlacementQuery& aQuery)
{
  const GatewayState& state = aQuery.m_state;
  const RegionId& localRegion = state.m_fleet.Self().m_region;
  return aQuery.m_request.IsPermittedIn(localRegion) &&
         std::ranges::any_of(
           state.m_registry.ServersOf(aQuery.m_request.m_pool, localRegion),
           [](const RegisteredServer* aServer) {
             return aServer->AcceptsRequests();
           });
}

// Returns the regions that have servers for the request and an instance that
// can send to them and was not tried yet. The local region is one only if this
// instance leaves some of the servers to peers.
std::vector<RegionCandidate>
RegionCandidates(const PlacementQuery& aQuery)
{
  const GatewayState& state = aQuery.m_state;
  const AdmittedRequest& request = aQuery.m_request;
  const RegionId& localRegion = state.m_fleet.Self().m_region;
  const bool mayStay = MayBeServedLocally(aQuery);
  std::vector<RegionCandidate> candidates;
  for (const RegionId& region :
       state.m_registry.RegionsOf(request.m_pool, aQuery.m_softwareVersion)) {
    const bool isLocal = region == localRegion;
    if (!request.IsPermittedIn(region) ||
        (isLocal && !LeavesServersToPeers(state, request.m_pool))) {
      continue;
    }
    if (!isLocal && mayStay &&
        state.m_split.IsKnownFull(request.m_pool, region)) {
      continue;
    }
    std::optional<std::chrono::nanoseconds> delay;
    for (const FleetMember* peer :
         PeersFor(state, request.m_pool, region, aQuery.m_triedPeers)) {
      const auto advertised = AdvertisedDelay(*peer, request.m_pool);
      delay = std::min(delay.value_or(advertised), advertised);
    }
    if (!delay) {
      continue;
    }
    const Tokens prompt = EnginePromptTokens(request);
    candidates.push_back(
      { .m_region = region,
        .m_isLocal = isLocal,
        .m_startDelay = *delay,
        .m_state = state.m_regions.StateOf(RegionKey(region, request.m_pool)),
        .m_uncached = isLocal ? Tokens(0) : UncachedInOtherRegion(prompt),
        .m_profile = state.m_performance.ProfileOfRegion(
          request.m_pool, RegionKey(region, request.m_pool)) });
  }
  return candidates;
}

// Applies the split of the region's surplus. Where its figures are known, they
// decide what leaves the region, and the estimate only for a clear advantage:
// all instances see the same estimates, and would choose the same region.
void
ApplySplit(const PlacementQuery& aQuery, PlacementInput& aInput)
{
  constexpr double kMarginFraction = 0.3;
  const AdmittedRequest& request = aQuery.m_request;
  if (!aQuery.m_state.m_split.LoadsOf(request.m_pool).empty()) {
    aInput.m_regionMargin = std::max(
      aInput.m_regionMargin,
      ScaleDuration(request.m_route.m_latencyObjective, kMarginFraction));
  }
  if (!aQuery.m_spillover) {
    return;
  }
  const auto region = std::ranges::find(
    aInput.m_regions, *aQuery.m_spillover, &RegionCandidate::m_region);
  if (region != aInput.m_regions.end()) {
    aInput.m_spillover =
      static_cast<std::size_t>(region - aInput.m_regions.begin());
  }
}

} // namespace

Tokens
EnginePromptTokens(const AdmittedRequest& aRequest)
{
  return IsForEngine(aRequest)
           ? aRequest.m_info.m_promptTokens.value_or(Tokens(0))
           : Tokens(0);
}

BackendServerId
RegionKey(const RegionId& aRegion, const PoolId& aPool)
{
  return BackendServerId(aRegion.Value() + "/" + aPool.Value());
}

PlacementInput
BuildPlacementInput(const PlacementQuery& aQuery)
{
  const GatewayState& state = aQuery.m_state;
  const AdmittedRequest& request = aQuery.m_request;
  const SteadyTime now = state.m_clock.SteadyNow();
  const FleetMember& self = state.m_fleet.Self();
  PlacementInput input{
    .m_now = now,
    .m_meanServiceTime = state.m_queues.SlotTimeOf(request.m_pool),
    .m_instancesInRegion = InstancesInRegion(state),
    .m_waited = now - request.m_receivedAt,
    .m_maxQueueWait = MaxQueueWait(request.m_route.m_latencyObjective,
                                   request.m_deadline - request.m_receivedAt),
    .m_latencyObjective = request.m_route.m_latencyObjective,
    .m_untilDeadline = request.m_deadline - now,
    .m_isDiscovering = state.m_isDiscovering,
    .m_hasLostLinks = state.m_reach.HasLostLinks(),
    .m_isForwarded = request.m_forwardedBy.has_value(),
    .m_regionMargin =
      RegionMargin(IsForEngine(request), request.m_route.m_latencyObjective),
    .m_transferCost = TransferCost(ByteCount(request.m_body->size())),
  };
  if (request.IsPermittedIn(self.m_region)) {
    input.m_servers =
      ServerCandidatesOf(state,
                         { .m_config = *request.m_config,
                           .m_pool = request.m_pool,
                           .m_partChain = request.m_partChain,
                           .m_promptTokens = EnginePromptTokens(request),
                           .m_triedServers = aQuery.m_triedServers,
                           .m_softwareVersion = aQuery.m_softwareVersion,
                           .m_permittedRegions = request.m_permittedRegions });
  }
  if (!request.m_forwardedBy) {
    input.m_regions = RegionCandidates(aQuery);
    ApplySplit(aQuery, input);
  }
  return input;
}

} // namespace rattanweir
