#include "rattanweir/request/routing/request_router.h"

#include <utility>

namespace rattanweir {
namespace {

std::uint32_t
InFlightCount(const PeerView& aPeer)
{
  return aPeer.m_heartbeat ? aPeer.m_heartbeat->m_requestsInFlight : 0;
}

NoDestination
ExplainNoDestination(const RoutingInput& aInput, const BackendSelection& aLocal)
{
  if (std::holds_alternative<AllBackendsFull>(aLocal)) {
    return {
      ResultCode::TooManyRequests,
      "every backend server of the pool has its maximum requests in flight"
    };
  }
  if (!aInput.m_regions.PermitsAll()) {
    return { ResultCode::ResidencyUnavailable,
             "no reachable permitted region has a backend server of the pool" };
  }
  return { ResultCode::NoBackendServer,
           "no reachable region has a backend server of the pool" };
}

} // namespace

RequestRouter::RequestRouter(const RequestRouterOptions& aOptions)
  : m_options(aOptions)
{
}

RoutingDecision
RequestRouter::Choose(const RoutingInput& aInput)
{
  BackendSelection local = NoBackendAvailable{};
  if (aInput.m_regions.Permits(aInput.m_localRegion)) {
    local = m_options.m_backends.Choose(aInput.m_candidates);
  }
  if (const auto* chosen = std::get_if<ChosenBackend>(&local)) {
    return ServeLocally{ aInput.m_candidates[chosen->m_index].m_id };
  }
  std::vector<const PeerView*> peers;
  for (const PeerView& peer : aInput.m_peers) {
    const RegionId& region = peer.m_record.m_region;
    if (region == aInput.m_localRegion || !aInput.m_regions.Permits(region)) {
      continue;
    }
    peers.push_back(&peer);
  }
  if (peers.empty()) {
    return ExplainNoDestination(aInput, local);
  }
  return ForwardToPeer{ ChoosePeer(peers) };
}

const PeerView&
RequestRouter::ChoosePeer(const std::vector<const PeerView*>& aPeers)
{
  const PeerView* first =
    aPeers[UniformIndex(m_options.m_random, aPeers.size())];
  const PeerView* second =
    aPeers[UniformIndex(m_options.m_random, aPeers.size())];
  return InFlightCount(*second) < InFlightCount(*first) ? *second : *first;
}

} // namespace rattanweir
