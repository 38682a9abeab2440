// Sends one JSON-RPC call to the control path of a peer. Used by the product's
// own interface and by gossip of the users' platform.
//
//   PeerCall call{ .m_endpoint = peer.m_peerAddress, .m_method = ... };
//   const Json::Value result = co_await CallPeer(upstream, std::move(call));

#pragma once

#include "rattanweir/request/exchange/exchange.h"

#include <json/value.h>

#include <string>

namespace rattanweir {

struct PeerCall
{
  Endpoint m_endpoint;
  std::string m_method;
  Json::Value m_parameters;
  SteadyTime m_deadline;
};

// Returns the result of the call. Throws RpcError if the peer rejects the call
// or its response is invalid, and RequestError if the peer is unreachable or
// does not respond before the deadline.
// `aUpstream` must outlive the task.
Task<Json::Value>
CallPeer(Upstream& aUpstream, PeerCall aCall);

} // namespace rattanweir
