// Chooses where a request is served: by a backend server of this region, or
// by a peer of another region.
//
//   RequestRouter choice({ .m_backends = backendChoice, .m_random = engine });
//   const Place place = choice.Choose(question);
//
// This region goes first as long as one of its backend servers can take the
// request: the round trip to another region costs more than the wait for a
// server that is not full. A peer is drawn by two random choices over the
// requests that it said it has in flight. No I/O; for one thread.

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

// What the choice is made from; all of it plain values.
struct RoutingInput
{
  PermittedRegions m_regions = PermittedRegions::All();
  RegionId m_localRegion;
  // The pool's backend servers of the own region that were not tried yet.
  std::vector<BackendCandidate> m_candidates;
  // Usable instances of other regions that have servers of the pool.
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

  RoutingDecision Choose(const RoutingInput& aInput);

private:
  const PeerView& ChoosePeer(const std::vector<const PeerView*>& aPeers);

  RequestRouterOptions m_options;
};

} // namespace rattanweir
