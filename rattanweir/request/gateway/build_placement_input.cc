#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/build_placement_input.h"

#include "rattanweir/request/gateway/server_candidates.h"
#include "rattanweir/request/gateway/server_links.h"
#include "rattanweir/request/placement/placement_input.h"

#include <algorithm>
#include <map>

namespace rattanweir {
namespace {

bool
IsForEngine(const AdmittedRequest& aRequest)
{
  const Pool* pool = aRequest.m_config->FindPool(aRequest.m_pool);
  return pool != nullptr && pool->m_engine.has_value();
}

// Returns the regions that have servers for the request and an instance that
// reaches them and was not tried yet. The local region is one only if this
// instance can't connect to some of the servers.
std::vector<RegionCandidate>
RegionCandidates(const PlacementQuery& aQuery)
{
  const GatewayState& state = aQuery.m_state;
  const AdmittedRequest& request = aQuery.m_request;
  std::map<RegionId, RegionCandidate> candidates;
  const RegionId& localRegion = state.m_fleet.Self().m_region;
  std::set<RegionId> regions =
    state.m_registry.RegionsOf(request.m_pool, aQuery.m_softwareVersion);
  if (!HasUnreachableServer(state, request.m_pool)) {
    regions.erase(localRegion);
  }
  for (const FleetMember* peer : state.m_fleet.ServingMembers()) {
    const RegionId& region = peer->m_region;
    if (!regions.contains(region) || !request.IsPermittedIn(region) ||
        peer->m_id == state.m_fleet.Self().m_id ||
        !peer->Reaches(request.m_pool) ||
        aQuery.m_triedPeers.contains(peer->m_id)) {
      continue;
    }
    const bool isLocal = region == localRegion;
    const auto report = peer->m_pools.find(request.m_pool);
    const std::chrono::nanoseconds delay = report == peer->m_pools.end()
                                             ? std::chrono::nanoseconds::zero()
                                             : report->second.m_startDelay;
    const auto [entry, isNew] = candidates.try_emplace(
      region,
      RegionCandidate{
        .m_region = region,
        .m_isLocal = isLocal,
        .m_startDelay = delay,
        .m_state = state.m_regions.StateOf(RegionKey(region, request.m_pool)),
        .m_uncached = isLocal
                        ? Tokens(0)
                        : UncachedInOtherRegion(EnginePromptTokens(request)) });
    entry->second.m_startDelay = std::min(entry->second.m_startDelay, delay);
  }
  std::vector<RegionCandidate> list;
  list.reserve(candidates.size());
  for (auto& [region, candidate] : candidates) {
    list.push_back(std::move(candidate));
  }
  return list;
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
  }
  return input;
}

} // namespace rattanweir
