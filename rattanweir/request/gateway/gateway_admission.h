// Admits or refuses a request before any part of it is sent on. Used on the
// users' platform (settings with `fleet`).
//
//   AdmittedRequest request = AdmitFromCaller(state, std::move(inbound));
//
// Every refusal is thrown as RequestError with Ran::No.

#pragma once

#include "rattanweir/request/gateway/admitted_request.h"
#include "rattanweir/request/gateway/gateway_state.h"

namespace rattanweir {

// Header fields between instances. A caller's fields with this prefix are
// dropped.
inline constexpr const char* kHopFieldPrefix = "x-hop-";
inline constexpr const char* kHopFromField = "x-hop-from";
inline constexpr const char* kHopAccountField = "x-hop-account";
inline constexpr const char* kHopPoolField = "x-hop-pool";
inline constexpr const char* kHopTimeLeftField = "x-hop-time-left-ms";
inline constexpr const char* kHopResultField = "x-hop-result";
inline constexpr const char* kHopRanField = "x-hop-ran";
inline constexpr const char* kHopRetryAfterField = "x-hop-come-back-ms";
// The incarnation of a server that has reported itself draining. In a request,
// one field for each such server that the peer might choose.
inline constexpr const char* kHopDrainingField = "x-hop-draining";

// Set in a request that is sent although it is in quarantine.
inline constexpr const char* kHopTrialField = "x-hop-trial";

// The software version of the server that sends the response, in a response;
// in a request, the version that began the stream.
inline constexpr const char* kHopVersionField = "x-hop-software-version";

// Checks the route, the key, the remaining time, the prompt and the account's
// rate, in this order. Throws RequestError.
AdmittedRequest
AdmitFromCaller(GatewayState& aState, InboundRequest aInbound);

// Admits a request that a peer has admitted and forwarded. The route and the
// permitted regions come from this instance's configuration, the account, the
// pool and the remaining time from the peer's header fields. The request is
// only sent to backend servers of this region. Throws RequestError.
AdmittedRequest
AdmitFromPeer(GatewayState& aState, InboundRequest aInbound);

// Returns the key of all streams that this request began, under any id.
StreamKey
ContentKeyOf(const AdmittedRequest& aRequest);

// Finds the version that began the stream which the request resumes, and sets
// it and the pool. Does nothing for other requests. Throws RequestError with
// StreamNotResumable if the version is not known.
Task<void>
ResolveStreamOrigin(GatewayState& aState, AdmittedRequest& aRequest);

// Returns what ServiceEnd needs to know of the request.
ServiceEndQuery
ServiceEndQueryFor(const AdmittedRequest& aRequest);

// Throws RequestError with InstanceDraining if this instance is stopping and
// the response is not expected before it ends.
void
CheckServiceEnd(const GatewayState& aState,
                const AdmittedRequest& aRequest,
                Ran aRan = Ran::No);

// Returns the error with which a request of this quarantined group fails.
RequestError
QuarantineError(const QuarantinedGroup& aGroup, Ran aRan);

// Returns the suspects for all parts but the last, each once.
Suspects
SharedPartsOf(const std::vector<PromptPart>& aParts);

// Sets the account, the priority and the cost, and restricts the regions to the
// home regions of both route and account. Without an account, the route's
// priority and home regions apply.
void
ApplyAccount(AdmittedRequest& aRequest, const FleetAccount* aAccount);

} // namespace rattanweir
