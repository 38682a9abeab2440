// Handle requests of callers and peers. Used on the users' platform (settings
// with `fleet`); request/pipeline holds the handlers of the product's own
// interface.
//
//   GatewayEntryHandler entry(state);
//   GatewayPeerHandler peer(state, control);
//   HttpServer callers({ .m_handler = entry, ... });
//
// A caller's request is admitted, placed and served. A request that a peer
// forwarded is only ever sent to a backend server of this region, so forwarding
// cannot loop.

#pragma once

#include "rattanweir/request/gateway/gateway_state.h"

#include <functional>
#include <string>

namespace rattanweir {

// Handles requests of callers.
class GatewayEntryHandler final : public RequestHandler
{
public:
  explicit GatewayEntryHandler(GatewayState& aState);

  Task<void> Handle(InboundRequest aInbound,
                    ResponseSink& aSink,
                    CancelSource& aCancel) override;

private:
  GatewayState& m_state;
};

// Handles forwarded requests and control calls of peers.
class GatewayPeerHandler final : public RequestHandler
{
public:
  // `aControl` maps the body of a control call to the body of its response.
  GatewayPeerHandler(GatewayState& aState,
                     std::function<std::string(std::string)> aControl);

  Task<void> Handle(InboundRequest aInbound,
                    ResponseSink& aSink,
                    CancelSource& aCancel) override;

private:
  GatewayState& m_state;
  std::function<std::string(std::string)> m_control;
};

// Returns the response that refuses a forwarded request, in the format that the
// forwarding peer parses.
Refusal
FormatRefusalForPeer(const RequestError& aError);

} // namespace rattanweir
