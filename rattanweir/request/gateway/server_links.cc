#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/server_links.h"

#include "rattanweir/process/logging/log.h"

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
    } else if (wasReachable) {
      LogReach(aState, "server_unreachable", aServer);
    }
    return;
  }
  if (reach.RecordContact(aServer)) {
    LogReach(
      aState, hadLostLinks ? "links_regained" : "server_reached", aServer);
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
