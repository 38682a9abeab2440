#include "rattanweir/request/pipeline/routing_input.h"

#include "rattanweir/request/pipeline/admission.h"

#include <utility>

namespace rattanweir {
namespace {

BackendCandidate
MakeCandidate(const ServingContext& aServing, const BackendServer& aServer)
{
  return { .m_id = aServer.m_id,
           .m_maximumInFlight = aServer.m_maximumInFlight,
           .m_isDraining = aServer.m_isDraining,
           .m_state = aServing.m_backends.StateOf(aServer.m_id) };
}

} // namespace

RoutingInput
BuildRoutingInput(const ServingContext& aServing,
                  const RequestPlan& aPlan,
                  const TriedDestinations& aTried,
                  bool aResumesStream)
{
  const Catalog& catalog = aServing.m_catalog;
  const PoolId& pool = aPlan.m_route.m_pool;
  RoutingInput input{
    .m_regions =
      CurrentPermittedRegions(catalog, aPlan.m_route, aPlan.m_clientAccount),
    .m_localRegion = aServing.m_region,
  };
  for (const BackendServer* server :
       catalog.BackendServersOf(pool, aServing.m_region)) {
    const bool cannotResume = aResumesStream && !server->m_resumesStreams;
    if (cannotResume || aTried.m_backendServers.contains(server->m_id)) {
      continue;
    }
    input.m_candidates.push_back(MakeCandidate(aServing, *server));
  }
  SetSavedLoads(input.m_candidates, aServing.m_prefixes, aPlan.m_promptPrefix);
  // A forwarded request is not forwarded again.
  if (aPlan.m_forwardedBy) {
    return input;
  }
  const std::vector<RegionId> regions = catalog.RegionsOf(pool);
  for (PeerView& peer : aServing.m_membership.UsablePeersIn(regions)) {
    if (!aTried.m_peers.contains(peer.m_record.m_id)) {
      input.m_peers.push_back(std::move(peer));
    }
  }
  return input;
}

} // namespace rattanweir
