// Decides whether a request is taken, before any of it is sent on.
//
//   AdmittedRequest request = AdmitFromCaller(state, std::move(inbound));
//
// Every refusal here is thrown as RequestError with Ran::No.

#pragma once

#include "rattanweir/request/gateway/admitted_request.h"
#include "rattanweir/request/gateway/gateway_state.h"

namespace rattanweir {

// Fields between instances. Callers' fields with this beginning are dropped.
inline constexpr const char* kHopFieldPrefix = "x-hop-";
inline constexpr const char* kHopFromField = "x-hop-from";
inline constexpr const char* kHopAccountField = "x-hop-account";
inline constexpr const char* kHopPoolField = "x-hop-pool";
inline constexpr const char* kHopTimeLeftField = "x-hop-time-left-ms";
inline constexpr const char* kHopResultField = "x-hop-result";
inline constexpr const char* kHopRanField = "x-hop-ran";
inline constexpr const char* kHopRetryAfterField = "x-hop-come-back-ms";

// Looks at route, key, time left and rate, in this order.
AdmittedRequest
AdmitFromCaller(GatewayState& aState, InboundRequest aInbound);

// A request that a peer passed on: route and regions by this instance's own
// configuration, account and time left as the peer says. It was admitted there
// and is only sent to servers of this region.
AdmittedRequest
AdmitFromPeer(GatewayState& aState, InboundRequest aInbound);

// Takes over an account's priority, homes and cost; the route's own without an
// account.
void
TakeAccount(AdmittedRequest& aRequest, const FleetAccount* aAccount);

} // namespace rattanweir
