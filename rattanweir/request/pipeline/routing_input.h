// Gathers what the choice of a place for one request is made from.
//
//   const RoutingInput question = BuildRoutingInput(serving, plan, tried,
//   false); const Place place = choice.Choose(question);

#pragma once

#include "rattanweir/request/pipeline/request_plan.h"
#include "rattanweir/request/pipeline/serving.h"
#include "rattanweir/request/routing/request_router.h"

#include <set>

namespace rattanweir {

// The places that were tried without success.
struct TriedPlaces
{
  std::set<BackendServerId> m_backendServers;
  std::set<InstanceId> m_peers;
};

// What the choice of a place is made from. With `aResumesStream` only backend
// servers that resume streams count.
RoutingInput
BuildRoutingInput(const Serving& aServing,
                  const RequestPlan& aPlan,
                  const TriedPlaces& aTried,
                  bool aResumesStream);

} // namespace rattanweir
