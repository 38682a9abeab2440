#include "rattanweir/version/fleet_config/fleet_config.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace rattanweir {
namespace {

std::string
LowerCase(std::string_view aText)
{
  std::string lower(aText);
  for (char& letter : lower) {
    letter =
      static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return lower;
}

// Returns the lower-case host name of a caller's Host header, without its port.
std::string
HostName(std::string_view aHost)
{
  return LowerCase(aHost.substr(0, aHost.rfind(':')));
}

void
CheckRoute(const FleetRoute& aRoute)
{
  const auto fail = [&](const char* aWhat) {
    throw FleetConfigError("route " + aRoute.m_id.Value() + ": " + aWhat);
  };
  if (aRoute.m_pathPrefix.empty() || aRoute.m_pathPrefix.front() != '/' ||
      aRoute.m_pathPrefix.back() != '/') {
    fail("path prefix must start and end with '/'");
  }
  if (aRoute.m_timeout <= std::chrono::nanoseconds::zero()) {
    fail("timeout must be positive");
  }
  if (aRoute.m_pools.empty()) {
    fail("must have at least one pool");
  }
}

} // namespace

FleetConfig::FleetConfig(FleetConfigData aData)
  : m_data(std::move(aData))
{
  for (const Pool& pool : m_data.m_pools) {
    m_pools.emplace(pool.m_id, &pool);
  }
  for (const FleetAccount& account : m_data.m_accounts) {
    m_accounts.emplace(account.m_id, &account);
  }
  for (const FleetRoute& route : m_data.m_routes) {
    CheckRoute(route);
    for (const PoolWeight& share : route.m_pools) {
      if (!m_pools.contains(share.m_pool)) {
        throw FleetConfigError("route " + route.m_id.Value() +
                               ": unknown pool " + share.m_pool.Value());
      }
    }
    m_routesByHost[LowerCase(route.m_host)].emplace(route.m_pathPrefix, &route);
  }
}

const FleetRoute*
FleetConfig::FindRoute(std::string_view aHost, std::string_view aTarget) const
{
  const auto host = m_routesByHost.find(HostName(aHost));
  if (host == m_routesByHost.end()) {
    return nullptr;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    const std::string prefix(path.substr(0, slash + 1));
    const auto route = host->second.find(prefix);
    if (route != host->second.end()) {
      return route->second;
    }
  }
  return nullptr;
}

const Pool*
FleetConfig::FindPool(const PoolId& aId) const
{
  const auto found = m_pools.find(aId);
  return found == m_pools.end() ? nullptr : found->second;
}

const FleetAccount*
FleetConfig::FindAccount(const ClientAccountId& aId) const
{
  const auto found = m_accounts.find(aId);
  return found == m_accounts.end() ? nullptr : found->second;
}

const FleetAccount*
FleetConfig::FindAccountOfKey(const std::string& aKey) const
{
  const auto found = m_data.m_keys.find(aKey);
  return found == m_data.m_keys.end() ? nullptr : FindAccount(found->second);
}

bool
FleetConfigStore::Offer(FleetConfigPtr aConfig)
{
  if (m_inForce && aConfig->Version() <= m_inForce->Version()) {
    return false;
  }
  m_inForce = std::move(aConfig);
  for (const auto& function : m_onAccepted) {
    function(*m_inForce);
  }
  return true;
}

void
FleetConfigStore::OnAccepted(std::function<void(const FleetConfig&)> aFunction)
{
  m_onAccepted.push_back(std::move(aFunction));
}

} // namespace rattanweir
