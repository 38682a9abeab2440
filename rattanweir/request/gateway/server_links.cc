#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/server_links.h"

#include "rattanweir/process/logging/log.h"
#include "rattanweir/request/gateway/server_candidates.h"

#include <algorithm>

namespace rattanweir {
namespace {

void
LogReach(const GatewayState& aState,
         const char* aEvent,
         const Endpoint& aServer)
{
  Log(LogLevel::Warning,
      aEvent,
      { { "address", aServer.ToString() },
        { "servers", std::to_string(ServersToReach(aState).size()) },
        { "unreachable", std::to_string(aState.m_reach.CountUnreachable()) } });
}

// The failures before say nothing about the servers whose path is back.
void
ForgetFailures(GatewayState& aState, const std::optional<Endpoint>& aServer)
{
  const RegionId& region = aState.m_fleet.Self().m_region;
  for (const RegisteredServer* server : aState.m_registry.ServersIn(region)) {
    const Endpoint& endpoint = server->m_record.m_endpoint;
    if (endpoint == aServer.value_or(endpoint)) {
      aState.m_backends.RecordRestoredPath(server->m_incarnation);
    }
  }
}

bool
IsUnreachable(const GatewayState& aState, const RegisteredServer& aServer)
{
  return !aState.m_reach.IsReachable(aServer.m_record.m_endpoint);
}

} // namespace

void
RecordConnection(GatewayState& aState, const Endpoint& aServer, bool aIsOpen)
{
  ServerReach& reach = aState.m_reach;
  const bool hadLostLinks = reach.HasLostLinks();
  if (!aIsOpen) {
    const bool wasReachable = reach.IsReachable(aServer);
    if (reach.RecordFailure(aServer)) {
      LogReach(aState, "links_lost", aServer);
      aState.m_registry.ForgiveRefusals(aState.m_fleet.Self().m_region);
    } else if (wasReachable) {
      LogReach(aState, "server_unreachable", aServer);
    }
    return;
  }
  if (reach.RecordContact(aServer)) {
    LogReach(
      aState, hadLostLinks ? "links_regained" : "server_reached", aServer);
    ForgetFailures(aState,
                   hadLostLinks ? std::nullopt : std::optional(aServer));
    aState.m_queues.WakeAll();
  }
}

std::set<PoolId>
UnreachablePools(const GatewayState& aState)
{
  std::set<PoolId> unreachable;
  if (!aState.m_reach.HasLostLinks() &&
      aState.m_reach.CountUnreachable() == 0) {
    return unreachable;
  }
  std::set<PoolId> reached;
  for (const RegisteredServer* server :
       aState.m_registry.ServersIn(aState.m_fleet.Self().m_region)) {
    std::set<PoolId>& pools =
      IsUnreachable(aState, *server) ? unreachable : reached;
    pools.insert(server->m_record.m_pool);
  }
  std::erase_if(unreachable,
                [&](const PoolId& aPool) { return reached.contains(aPool); });
  return unreachable;
}

void
MergeRoomsOfPeers(GatewayState& aState)
{
  const std::size_t instances = InstancesInRegion(aState);
  for (const FleetMember* peer :
       aState.m_fleet.LivePeersIn(aState.m_fleet.Self().m_region)) {
    for (const auto& [pool, refusals] : peer->m_maxRefusals) {
      aState.m_rooms.MergeStatement(pool, refusals);
    }
    for (const auto& [id, room] : peer->m_refusedRooms) {
      if (const RegisteredServer* server = aState.m_registry.Find(id)) {
        aState.m_rooms.MergeRefusal(
          peer->m_id,
          { .m_server = id,
            .m_pool = server->m_record.m_pool,
            .m_slots = std::max(1U, server->m_record.m_slots),
            .m_instances = instances },
          room);
      }
    }
  }
}

void
MergeRefusalsOfPeers(GatewayState& aState)
{
  const FleetConfigPtr config = aState.m_config.InForce();
  if (!config) {
    return;
  }
  const auto coldTimeOf = [&](const PoolId& aPool) {
    const Pool* pool = config->FindPool(aPool);
    return pool == nullptr ? std::chrono::nanoseconds::zero()
                           : std::chrono::nanoseconds(pool->m_coldDuration);
  };
  for (const FleetMember* peer :
       aState.m_fleet.LivePeersIn(aState.m_fleet.Self().m_region)) {
    for (const BackendServerId& server : aState.m_registry.RecordRefusalsOfPeer(
           peer->m_id, peer->m_refusingServers, coldTimeOf)) {
      aState.m_metrics.Count("rattanweir_server_refusals_from_peers_total");
      Log(LogLevel::Info,
          "server_refusal_from_peer",
          { { "server", server.Value() }, { "peer", peer->m_id.Value() } });
    }
  }
}

std::vector<Endpoint>
ServersToReach(const GatewayState& aState)
{
  std::vector<Endpoint> servers;
  for (const RegisteredServer* server :
       aState.m_registry.ServersIn(aState.m_fleet.Self().m_region)) {
    servers.push_back(server->m_record.m_endpoint);
  }
  return servers;
}

} // namespace rattanweir
