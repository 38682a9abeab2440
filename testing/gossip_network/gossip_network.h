// In-process network between the gossip tasks of a test's instances: delivers
// each call to the instance at its address, without sockets.
//
//   GossipNetwork network;
//   network.m_gossips.emplace(address, &gossip);
//   network.m_isPartitioned = true;   // every call fails from now on

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/connection/gossip/gossip.h"
#include "rattanweir/request/exchange/exchange.h"

#include <map>
#include <memory>
#include <set>

namespace rattanweir::testing {

class GossipNetwork final : public Upstream
{
public:
  Task<std::unique_ptr<UpstreamExchange>> Send(Endpoint aEndpoint,
                                               OutboundRequest aRequest,
                                               CancelSource& aCancel) override;

  std::map<Endpoint, Gossip*> m_gossips;
  bool m_isPartitioned = false;
  // Instances that understand only JSON, like an earlier release.
  std::set<Endpoint> m_jsonOnly;
};

} // namespace rattanweir::testing
