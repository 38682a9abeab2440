// Serve what callers and peers send.
//
//   GatewayEntryHandler entry(state);
//   GatewayPeerHandler peer(state, control);
//   HttpServer callers({ .m_handler = entry, ... });
//
// A request of a caller is admitted, placed and answered. One that a peer
// passed on is only ever sent to a backend server of this region, so that no
// request can loop.

#pragma once

#include "rattanweir/request/gateway/gateway_state.h"

#include <functional>
#include <string>

namespace rattanweir {

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

class GatewayPeerHandler final : public RequestHandler
{
public:
  // `aControl` answers one control call.
  GatewayPeerHandler(GatewayState& aState,
                     std::function<std::string(std::string)> aControl);

  Task<void> Handle(InboundRequest aInbound,
                    ResponseSink& aSink,
                    CancelSource& aCancel) override;

private:
  GatewayState& m_state;
  std::function<std::string(std::string)> m_control;
};

// The refusal of a forwarded request, for the peer that passed it on.
Refusal
FormatRefusalForPeer(const RequestError& aError);

} // namespace rattanweir
