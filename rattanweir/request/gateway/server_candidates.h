// Collects what this instance knows about the backend servers that a request
// may be sent to. Used on the users' platform (settings with `fleet`).
//
//   input.m_servers = ServerCandidatesOf(state, query);
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
  const PartChain& m_partChain;
  Tokens m_promptTokens;
  // Servers of earlier attempts, which are excluded.
  const std::set<BackendServerId>& m_triedServers;
  // The software version that the server must have; nullopt if any may serve.
  const std::optional<std::string>& m_softwareVersion;
  // Regions that may hold the request's data; nullopt if any may.
  const std::optional<std::set<RegionId>>& m_permittedRegions;
};

// Returns the servers of this region that accept requests and were not tried.
std::vector<ServerCandidate>
ServerCandidatesOf(const GatewayState& aState, const ServerQuery& aQuery);

// Returns the peers of a region, this one or another, that can send to servers
// of the pool, as far as is known: they serve, reach servers and have a share
// of the room there. Those of earlier attempts are excluded.
std::vector<const FleetMember*>
PeersFor(const GatewayState& aState,
         const PoolId& aPool,
         const RegionId& aRegion,
         const std::set<InstanceId>& aTriedPeers);

// Returns whether this instance leaves a server of the pool in this region to
// peers.
bool
LeavesServersToPeers(const GatewayState& aState, const PoolId& aPool);

// Returns the number of live instances of this region, including this one.
std::size_t
InstancesInRegion(const GatewayState& aState);

// What determines the rate of requests to a server.
struct ServerRateInput
{
  const FleetView& m_fleet;
  const Pool& m_pool;
  const RegisteredServer& m_server;
  // The limit that the server has named, if any.
  std::optional<RequestRate> m_namedLimit;
  SteadyTime m_now;

  // The pool limits the rate to servers that are cold.
  bool HasColdLimit() const
  {
    return m_pool.m_coldRequestsPerSecond > 0 && m_server.m_coldUntil > m_now;
  }
};

ServerRateInput
ServerRateInputOf(const GatewayState& aState,
                  const Pool& aPool,
                  const RegisteredServer& aServer);

// Returns the query for ServerRateLimiter: the server, the rate that it takes
// while it is cold or has named a limit, and the instances of this region that
// share the rate. Returns nullopt if the rate is not limited.
std::optional<ServerRateQuery>
ServerRateQueryFor(const ServerRateInput& aInput);

// Estimates the time to first byte of a typical request that is sent to this
// region now. Returns nullopt if no server of the pool accepts requests here.
std::optional<std::chrono::nanoseconds>
EstimateLocalStartDelay(const GatewayState& aState,
                        const FleetConfig& aConfig,
                        const PoolId& aPool);

} // namespace rattanweir
