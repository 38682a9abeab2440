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

// A control message in any encoding.
struct ControlMessage
{
  Endpoint m_endpoint;
  std::string m_mediaType;
  std::string m_body;
  SteadyTime m_deadline;
};

// Sends the message to the control path of a peer and returns the body of the
// response. Throws RpcError if the peer does not respond with HTTP status 200,
// and RequestError if it is unreachable or does not respond before the
// deadline. `aUpstream` must outlive the task.
Task<std::string>
SendControlMessage(Upstream& aUpstream, ControlMessage aMessage);

// Returns the result of the call. Throws RpcError if the peer rejects the call
// or its response is invalid, and RequestError if the peer is unreachable or
// does not respond before the deadline.
// `aUpstream` must outlive the task.
Task<Json::Value>
CallPeer(Upstream& aUpstream, PeerCall aCall);

} // namespace rattanweir
