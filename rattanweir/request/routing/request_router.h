// Routes a request to a backend server of the local region or to a peer of
// another region. Used by the product's own interface (`request/pipeline`); the
// users' platform uses `request/placement`.
//
//   RequestRouter router({ .m_backends = selector, .m_random = engine });
//   const RoutingDecision decision = router.Choose(input);
//
// The local region is preferred while one of its backend servers has capacity:
// the round trip to another region takes longer than the queueing time at a
// server that is not full. The peer is chosen by the power of two random
// choices, by the number of requests in flight that each advertises. No I/O.
// Not thread-safe.

#pragma once

#include "rattanweir/base/random/random.h"
#include "rattanweir/base/result/result_code.h"
#include "rattanweir/process/membership/membership.h"
#include "rattanweir/request/residency/residency.h"
#include "rattanweir/request/routing/backend_selector.h"

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace rattanweir {

// The input of a routing decision, as plain values.
struct RoutingInput
{
  // Regions in which the request may be served.
  PermittedRegions m_regions = PermittedRegions::All();
  RegionId m_localRegion;
  // Backend servers of the pool in the local region, without those that were
  // already tried.
  std::vector<BackendCandidate> m_candidates;
  // Usable instances of other regions that have backend servers of the pool.
  std::vector<PeerView> m_peers;
};

struct ServeLocally
{
  BackendServerId m_backendServer;
};

struct ForwardToPeer
{
  PeerView m_peer;
};

// Nothing can serve the request; the code and the detail state why.
struct NoDestination
{
  ResultCode m_code = ResultCode::NoBackendServer;
  std::string m_detail;
};

using RoutingDecision =
  std::variant<ServeLocally, ForwardToPeer, NoDestination>;

struct RequestRouterOptions
{
  BackendSelector& m_backends;
  RandomEngine& m_random;
};

class RequestRouter
{
public:
  explicit RequestRouter(const RequestRouterOptions& aOptions);

  // Returns the destination of a request, or why there is none.
  RoutingDecision Choose(const RoutingInput& aInput);

private:
  const PeerView& ChoosePeer(const std::vector<const PeerView*>& aPeers);

  RequestRouterOptions m_options;
};

} // namespace rattanweir
