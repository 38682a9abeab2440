// Puts together what this instance knows at this moment about the places where
// one request may go.
//
//   const Placement placement = DecidePlacement(BuildPlacementInput(query));
//
// Reads the state, changes nothing.

#pragma once

#include "rattanweir/request/gateway/admitted_request.h"
#include "rattanweir/request/gateway/gateway_state.h"
#include "rattanweir/request/placement/placement.h"

#include <set>

namespace rattanweir {

struct PlaceQuery
{
  const GatewayState& m_state;
  const AdmittedRequest& m_request;
  // Where the request was sent before.
  const std::set<BackendServerId>& m_triedServers;
  const std::set<InstanceId>& m_triedPeers;
};

PlacementInput
BuildPlacementInput(const PlaceQuery& aQuery);

// Those that an engine has to read; 0 for a plain service.
Tokens
PromptTokens(const AdmittedRequest& aRequest);

// How a region's servers of one pool are named in the view of regions.
BackendServerId
RegionKey(const RegionId& aRegion, const PoolId& aPool);

} // namespace rattanweir
