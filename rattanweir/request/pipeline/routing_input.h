// Collects the input of the routing decision for one request of the product's
// own interface.
//
//   const RoutingInput input =
//     BuildRoutingInput(serving, plan, tried, false);
//   const RoutingDecision decision = router.Choose(input);

#pragma once

#include "rattanweir/request/pipeline/request_plan.h"
#include "rattanweir/request/pipeline/serving.h"
#include "rattanweir/request/routing/request_router.h"

#include <set>

namespace rattanweir {

// Destinations at which an attempt of the request has failed.
struct TriedDestinations
{
  std::set<BackendServerId> m_backendServers;
  std::set<InstanceId> m_peers;
};

// Returns the candidate backend servers and peers, without those in `aTried`.
// With `aResumesStream`, includes only backend servers that can resume streams.
// A request that a peer forwarded gets no peers.
RoutingInput
BuildRoutingInput(const ServingContext& aServing,
                  const RequestPlan& aPlan,
                  const TriedDestinations& aTried,
                  bool aResumesStream);

} // namespace rattanweir
