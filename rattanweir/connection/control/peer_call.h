// One call to the control side of a peer.
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

// The call's result. Throws RpcError if the peer refused the call, and
// RequestError if it could not be reached or did not answer in time.
// `aUpstream` must outlive the task.
Task<Json::Value>
CallPeer(Upstream& aUpstream, PeerCall aCall);

} // namespace rattanweir
