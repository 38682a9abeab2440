// A request that was admitted: all that serving it needs, as a value.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/request/gateway/wire_protocol.h"
#include "rattanweir/version/fleet_config/fleet_config.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace rattanweir {

struct AdmittedRequest
{
  RequestInfo m_info;
  std::string m_method;
  std::string m_target;
  std::shared_ptr<const std::string> m_body;
  SteadyTime m_receivedAt;
  // When the caller or the route stops waiting.
  SteadyTime m_deadline;
  // Of the version that handles it to its end.
  FleetConfigPtr m_config;
  FleetRoute m_route;
  PoolId m_pool;
  ClientAccountId m_clientAccount;
  unsigned m_priority = 0;
  // Counted against the account's rate.
  Tokens m_cost;
  PartChain m_chain;
  // Empty: any region.
  std::optional<std::set<RegionId>> m_permittedRegions;
  // The instance that passed it on; that one counts rate and attempts.
  std::optional<InstanceId> m_forwardedBy;

  bool IsPermittedIn(const RegionId& aRegion) const
  {
    return !m_permittedRegions || m_permittedRegions->contains(aRegion);
  }
};

} // namespace rattanweir
