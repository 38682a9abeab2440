// Gathers what this instance knows of the servers that a request may go to.
//
//   question.m_servers = ServerChoicesOf(state, query);
//   const auto delay = EstimateLocalStartDelay(state, config, pool);

#pragma once

#include "rattanweir/request/gateway/gateway_state.h"
#include "rattanweir/request/placement/placement.h"

#include <optional>
#include <set>
#include <vector>

namespace rattanweir {

struct ServerQuery
{
  const FleetConfig& m_config;
  PoolId m_pool;
  const PartChain& m_chain;
  Tokens m_promptTokens;
  // Servers that were tried before.
  const std::set<BackendServerId>& m_tried;
  // Those in which the request's data may be; nothing: any.
  const std::optional<std::set<RegionId>>& m_permittedRegions;
};

// The servers of this region that take work and were not tried.
std::vector<ServerChoice>
ServerChoicesOf(const GatewayState& aState, const ServerQuery& aQuery);

// The live instances of this region, this one included.
std::size_t
InstancesInRegion(const GatewayState& aState);

// Who shares what a cold server takes.
ColdQuery
ColdQueryFor(const GatewayState& aState,
             const FleetConfig& aConfig,
             const KnownServer& aServer);

// When a typical request that came to this region now would begin to be
// answered; nothing if no server of the pool takes work here.
std::optional<std::chrono::nanoseconds>
EstimateLocalStartDelay(const GatewayState& aState,
                        const FleetConfig& aConfig,
                        const PoolId& aPool);

} // namespace rattanweir
