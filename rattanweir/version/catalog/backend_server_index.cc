#include "rattanweir/version/catalog/internal/backend_server_index.h"

#include <algorithm>

namespace rattanweir::internal {
namespace {

bool
HasActiveServer(const std::vector<const BackendServer*>& aServers)
{
  return std::any_of(aServers.begin(), aServers.end(), [](const auto* aServer) {
    return !aServer->m_isDraining;
  });
}

} // namespace

BackendServerIndex::BackendServerIndex(BackendServersSection aSection)
  : m_section(std::move(aSection))
{
  for (const BackendServer& server : m_section.m_backendServers) {
    m_byPool[server.m_pool][server.m_region].push_back(&server);
  }
}

std::vector<const BackendServer*>
BackendServerIndex::ServersOf(const PoolId& aPool,
                              const RegionId& aRegion) const
{
  const auto pool = m_byPool.find(aPool);
  if (pool == m_byPool.end()) {
    return {};
  }
  const auto servers = pool->second.find(aRegion);
  return servers == pool->second.end() ? std::vector<const BackendServer*>()
                                       : servers->second;
}

std::set<BackendServerId>
BackendServerIndex::Ids() const
{
  std::set<BackendServerId> ids;
  for (const BackendServer& server : m_section.m_backendServers) {
    ids.insert(server.m_id);
  }
  return ids;
}

std::vector<RegionId>
BackendServerIndex::RegionsOf(const PoolId& aPool) const
{
  std::vector<RegionId> regions;
  const auto pool = m_byPool.find(aPool);
  if (pool == m_byPool.end()) {
    return regions;
  }
  for (const auto& [region, servers] : pool->second) {
    if (HasActiveServer(servers)) {
      regions.push_back(region);
    }
  }
  return regions;
}

} // namespace rattanweir::internal
