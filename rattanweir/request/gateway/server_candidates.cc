#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/server_candidates.h"

#include "rattanweir/request/placement/placement_input.h"

#include <algorithm>
#include <limits>
#include <span>
#include <utility>

namespace rattanweir {
namespace {

// An engine processes a shorter prefix faster than it copies the prefix from
// another region.
constexpr Tokens kMinRemoteCopyTokens{ 2'000 };

// Returns an engine of another region that probably has the prompt's prefix
// cached. If that engine is unavailable or does not have the prefix, the local
// engine processes the prefix itself.
std::optional<BackendServerId>
RemotePrefixHolder(const GatewayState& aState, const ServerQuery& aQuery)
{
  const ChainLink& sharedPrefix = aQuery.m_partChain.front();
  if (sharedPrefix.m_tokens < kMinRemoteCopyTokens) {
    return std::nullopt;
  }
  std::vector<BackendServerId> holders;
  // The engine of the region with the most engines, which evicts the least.
  std::optional<BackendServerId> largest;
  std::size_t mostEngines = 0;
  for (const RegionId& region : aState.m_registry.RegionsOf(aQuery.m_pool)) {
    const auto& permitted = aQuery.m_permittedRegions;
    if (region == aState.m_fleet.Self().m_region ||
        (permitted && !permitted->contains(region))) {
      continue;
    }
    std::vector<ServerCandidate> engines;
    for (const RegisteredServer* server :
         aState.m_registry.ServersOf(aQuery.m_pool, region)) {
      if (server->AcceptsRequests()) {
        engines.push_back({ .m_incarnation = server->m_incarnation });
      }
    }
    if (const ServerCandidate* preferred =
          FindPreferredEngine(engines, sharedPrefix)) {
      holders.push_back(preferred->m_incarnation);
      if (engines.size() > mostEngines) {
        mostEngines = engines.size();
        largest = preferred->m_incarnation;
      }
    }
  }
  if (aState.m_performance.IsProfiled(aQuery.m_pool)) {
    return largest;
  }
  if (holders.empty()) {
    return std::nullopt;
  }
  return holders[sharedPrefix.m_hash % holders.size()];
}

// Fractions of a server's rate that the instances use. Less than 1, since they
// may disagree on which of them send to the server.
constexpr double kUsedColdFraction = 0.8;
constexpr double kUsedLimitFraction = 0.9;
// How long instances that are not seen any more may still send to a server that
// has named a limit. Cold servers tolerate no more than their rate, so that
// they keep to the default.
constexpr std::chrono::seconds kPartitionTime{ 10 };
// What a part of a region may use beyond its fraction of a rate: some of the
// members that it does not see are gone and use nothing.
constexpr double kPartAllowance = 1.5;
// How much unused time of a named limit is made up for. A cold server tolerates
// no bursts.
constexpr std::chrono::milliseconds kMaxBurst{ 500 };

// Excludes a server that asked this instance for a pause. After the pause, one
// request shows whether the server takes requests again.
void
ApplyPause(SteadyTime aNow, ServerCandidate& aCandidate)
{
  if (const auto until = aCandidate.m_state.m_pausedUntil) {
    aCandidate.m_isRateLimitReached = true;
    aCandidate.m_rateLimitedFor =
      std::max(aCandidate.m_rateLimitedFor, *until - aNow);
  }
  if (aCandidate.m_state.m_isReturning) {
    aCandidate.m_maxInFlight = 1;
  }
}

// Excludes a server that takes only a limited rate of requests while this
// instance may not send one.
void
ApplyRate(const GatewayState& aState,
          const Pool& aPool,
          const RegisteredServer& aServer,
          ServerCandidate& aCandidate)
{
  const ServerRateInput rate = ServerRateInputOf(aState, aPool, aServer);
  const auto query = ServerRateQueryFor(rate);
  if (!query) {
    return;
  }
  const ServerRatePermit permit = aState.m_rateLimiter.PermitFor(*query);
  aCandidate.m_isRateLimitReached = !permit.m_isGranted;
  if (rate.m_namedLimit) {
    aCandidate.m_rateLimitedFor = permit.m_wait;
    aCandidate.m_rateInterval = permit.m_interval;
  } else {
    aCandidate.m_rateLimitedFor =
      std::min(permit.m_wait, aServer.m_coldUntil - rate.m_now);
  }
}

// Limits the candidate to this instance's share of the room at a server that
// fails if it refuses too many requests.
void
ApplyRoom(const std::optional<RoomShare>& aShare, ServerCandidate& aCandidate)
{
  if (!aShare) {
    return;
  }
  aCandidate.m_maxAtServer = aShare->m_room;
  aCandidate.m_maxInFlight =
    std::min(aCandidate.m_maxInFlight, aShare->m_maxInFlight);
  aCandidate.m_isLeftToPeers |= aShare->m_maxInFlight == 0;
  if (aShare->m_pause > std::chrono::nanoseconds::zero()) {
    aCandidate.m_isRateLimitReached = true;
    aCandidate.m_rateLimitedFor =
      std::max(aCandidate.m_rateLimitedFor, aShare->m_pause);
  }
}

// Returns the instances of a region, which send to its servers.
std::vector<InstanceId>
InstanceIdsIn(const GatewayState& aState, const RegionId& aRegion)
{
  std::vector<InstanceId> ids;
  for (const FleetMember* peer : aState.m_fleet.LivePeersIn(aRegion)) {
    ids.push_back(peer->m_id);
  }
  if (aRegion == aState.m_fleet.Self().m_region) {
    ids.push_back(aState.m_fleet.Self().m_id);
  }
  return ids;
}

RoomQuery
RoomQueryOf(const GatewayState& aState,
            const RegisteredServer& aServer,
            std::span<const InstanceId> aInstances)
{
  return { .m_server = aServer.m_incarnation,
           .m_pool = aServer.m_record.m_pool,
           .m_slots = std::max(1U, aServer.m_record.m_slots),
           .m_self = aState.m_fleet.Self().m_id,
           .m_instances = aInstances };
}

// Returns the instances of a region that have places at servers of the pool;
// nullopt if all have.
std::optional<std::set<InstanceId>>
InstancesWithRoom(const GatewayState& aState,
                  const PoolId& aPool,
                  const RegionId& aRegion)
{
  if (!aState.m_rooms.IsLimited(aPool)) {
    return std::nullopt;
  }
  const std::vector<InstanceId> instances = InstanceIdsIn(aState, aRegion);
  std::set<InstanceId> holders;
  for (const RegisteredServer* server :
       aState.m_registry.ServersOf(aPool, aRegion)) {
    if (!server->AcceptsRequests()) {
      continue;
    }
    for (InstanceId& holder :
         aState.m_rooms.HoldersOf(RoomQueryOf(aState, *server, instances))) {
      holders.insert(std::move(holder));
    }
  }
  return holders;
}

} // namespace

std::size_t
InstancesInRegion(const GatewayState& aState)
{
  return aState.m_fleet.LivePeersIn(aState.m_fleet.Self().m_region).size() + 1;
}

std::vector<const FleetMember*>
PeersFor(const GatewayState& aState,
         const PoolId& aPool,
         const RegionId& aRegion,
         const std::set<InstanceId>& aTriedPeers)
{
  const auto withRoom = InstancesWithRoom(aState, aPool, aRegion);
  std::vector<const FleetMember*> peers;
  for (const FleetMember* peer : aState.m_fleet.ServingMembers()) {
    if (peer->m_region != aRegion || !peer->Reaches(aPool) ||
        peer->m_id == aState.m_fleet.Self().m_id ||
        aTriedPeers.contains(peer->m_id) ||
        (withRoom && !withRoom->contains(peer->m_id))) {
      continue;
    }
    peers.push_back(peer);
  }
  return peers;
}

bool
LeavesServersToPeers(const GatewayState& aState, const PoolId& aPool)
{
  const RegionId& region = aState.m_fleet.Self().m_region;
  const bool isRoomLimited = aState.m_rooms.IsLimited(aPool);
  const std::vector<InstanceId> instances =
    isRoomLimited ? InstanceIdsIn(aState, region) : std::vector<InstanceId>();
  return std::ranges::any_of(
    aState.m_registry.ServersOf(aPool, region),
    [&](const RegisteredServer* aServer) {
      if (!aServer->AcceptsRequests()) {
        return false;
      }
      if (!aState.m_reach.IsReachable(aServer->m_record.m_endpoint)) {
        return true;
      }
      const auto share =
        aState.m_rooms.ShareOf(RoomQueryOf(aState, *aServer, instances));
      return share && share->m_maxInFlight == 0;
    });
}

std::vector<ServerCandidate>
ServerCandidatesOf(const GatewayState& aState, const ServerQuery& aQuery)
{
  const Pool* pool = aQuery.m_config.FindPool(aQuery.m_pool);
  if (pool == nullptr) {
    return {};
  }
  // Divides by one more than the number of instances, to leave a share of the
  // connections to instances that join.
  const unsigned connections =
    pool->m_maximumConnections /
    static_cast<unsigned>(InstancesInRegion(aState) + 1);
  const bool isRoomLimited = aState.m_rooms.IsLimited(aQuery.m_pool);
  const std::vector<InstanceId> senders =
    isRoomLimited ? InstanceIdsIn(aState, aState.m_fleet.Self().m_region)
                  : std::vector<InstanceId>();
  std::vector<ServerCandidate> candidates;
  for (const RegisteredServer* server : aState.m_registry.ServersOf(
         aQuery.m_pool, aState.m_fleet.Self().m_region)) {
    if (!server->AcceptsRequests() ||
        aQuery.m_triedServers.contains(server->m_incarnation) ||
        !server->HasVersion(aQuery.m_softwareVersion)) {
      continue;
    }
    ServerCandidate candidate{
      .m_incarnation = server->m_incarnation,
      .m_state = aState.m_backends.StateOf(server->m_incarnation),
      .m_slots = std::max(1U, server->m_record.m_slots),
      .m_maxInFlight = std::max(1U, connections),
      .m_profile =
        aState.m_performance.ProfileOf(aQuery.m_pool, server->m_incarnation),
      .m_isLeftToPeers =
        !aState.m_reach.IsReachable(server->m_record.m_endpoint),
    };
    if (pool->m_engine) {
      candidate.m_uncached = std::max(
        Tokens(0),
        aQuery.m_promptTokens - aState.m_parts.EstimateCachedTokens(
                                  server->m_incarnation, aQuery.m_partChain));
    }
    ApplyRate(aState, *pool, *server, candidate);
    ApplyPause(aState.m_clock.SteadyNow(), candidate);
    if (isRoomLimited) {
      ApplyRoom(aState.m_rooms.ShareOf(RoomQueryOf(aState, *server, senders)),
                candidate);
    }
    candidates.push_back(std::move(candidate));
  }
  if (pool->m_engine && !aQuery.m_partChain.empty()) {
    AssumeSharedPrefix(
      candidates, aQuery.m_partChain.front(), aQuery.m_promptTokens);
    if (pool->m_engine->m_cacheCopyTimePerToken) {
      PlanCacheCopies(candidates, *pool->m_engine->m_cacheCopyTimePerToken);
      if (const auto holder = RemotePrefixHolder(aState, aQuery)) {
        PlanCacheCopiesFromRegion(*holder,
                                  candidates,
                                  aQuery.m_partChain.front(),
                                  aQuery.m_promptTokens);
      }
    }
  }
  return candidates;
}

ServerRateInput
ServerRateInputOf(const GatewayState& aState,
                  const Pool& aPool,
                  const RegisteredServer& aServer)
{
  return { .m_fleet = aState.m_fleet,
           .m_pool = aPool,
           .m_server = aServer,
           .m_namedLimit = aState.m_serverLimits.RateOf(aServer.m_incarnation),
           .m_now = aState.m_clock.SteadyNow() };
}

std::optional<ServerRateQuery>
ServerRateQueryFor(const ServerRateInput& aInput)
{
  const bool hasColdLimit = aInput.HasColdLimit();
  if (!hasColdLimit && !aInput.m_namedLimit) {
    return std::nullopt;
  }
  double rate = std::numeric_limits<double>::infinity();
  if (hasColdLimit) {
    rate = kUsedColdFraction * aInput.m_pool.m_coldRequestsPerSecond;
  }
  if (aInput.m_namedLimit) {
    rate = std::min(rate, kUsedLimitFraction * aInput.m_namedLimit->Value());
  }
  const RegionShare share = hasColdLimit
                              ? aInput.m_fleet.ShareOfRegion()
                              : aInput.m_fleet.ShareOfRegion(kPartitionTime);
  const InstanceId& self = aInput.m_fleet.Self().m_id;
  ServerRateQuery query{
    // A new incarnation may run before its entry is known.
    .m_server = aInput.m_server.m_record.m_id,
    .m_rate =
      RequestRate(rate * std::min(1.0, kPartAllowance * share.m_fraction)),
    .m_maxBurst = hasColdLimit ? std::chrono::nanoseconds::zero() : kMaxBurst,
    .m_self = self,
    .m_instances = { self },
    .m_areInstancesKnown = aInput.m_fleet.HasSettled(),
  };
  for (const FleetMember* peer : share.m_peers) {
    query.m_instances.push_back(peer->m_id);
  }
  return query;
}

std::optional<std::chrono::nanoseconds>
EstimateLocalStartDelay(const GatewayState& aState,
                        const FleetConfig& aConfig,
                        const PoolId& aPool)
{
  const std::set<BackendServerId> triedServers;
  const PartChain chain;
  const std::optional<std::set<RegionId>> anyRegion;
  const std::optional<std::string> anyVersion;
  PlacementInput input{
    .m_now = aState.m_clock.SteadyNow(),
    .m_servers = ServerCandidatesOf(aState,
                                    { .m_config = aConfig,
                                      .m_pool = aPool,
                                      .m_partChain = chain,
                                      .m_promptTokens = kTypicalUncachedTokens,
                                      .m_triedServers = triedServers,
                                      .m_softwareVersion = anyVersion,
                                      .m_permittedRegions = anyRegion }),
    .m_meanServiceTime = aState.m_queues.SlotTimeOf(aPool),
    .m_instancesInRegion = InstancesInRegion(aState),
    .m_untilDeadline = std::chrono::hours(1),
  };
  if (input.m_servers.empty()) {
    return std::nullopt;
  }
  return DelayToAdvertise(input);
}

} // namespace rattanweir
