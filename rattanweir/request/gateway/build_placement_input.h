// Collects what this instance currently knows about the possible destinations
// of one request. Used on the users' platform (settings with `fleet`).
//
//   const Placement placement = DecidePlacement(BuildPlacementInput(query));
//
// Reads the state without changing it.

#pragma once

#include "rattanweir/request/gateway/admitted_request.h"
#include "rattanweir/request/gateway/gateway_state.h"
#include "rattanweir/request/placement/placement.h"

#include <set>

namespace rattanweir {

struct PlacementQuery
{
  const GatewayState& m_state;
  const AdmittedRequest& m_request;
  // Destinations of earlier attempts, which are excluded.
  const std::set<BackendServerId>& m_triedServers;
  const std::set<InstanceId>& m_triedPeers;
  // The software version that the server must have; nullopt if any may serve.
  const std::optional<std::string>& m_softwareVersion;
  // The region to which the split of this region's surplus sends the request.
  std::optional<RegionId> m_spillover{};
};

// Returns the input of DecidePlacement for one request: the backend servers of
// this region and, unless a peer forwarded the request, the other regions.
PlacementInput
BuildPlacementInput(const PlacementQuery& aQuery);

// Returns the number of prompt tokens that a model engine has to process; 0 for
// a plain service.
Tokens
EnginePromptTokens(const AdmittedRequest& aRequest);

// Returns the key under which GatewayState::m_regions tracks a region's servers
// of one pool.
BackendServerId
RegionKey(const RegionId& aRegion, const PoolId& aPool);

} // namespace rattanweir
