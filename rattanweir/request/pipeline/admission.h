// Admits or refuses requests of the product's own interface, before any part of
// a request is sent on.
//
//   const RequestPlan plan = AdmitFromCaller(serving, std::move(request));
//
// Functions refuse by throwing RequestError with Ran::No.

#pragma once

#include "rattanweir/request/pipeline/request_plan.h"
#include "rattanweir/request/pipeline/serving.h"
#include "rattanweir/request/residency/residency.h"

namespace rattanweir {

// Header fields between instances.
inline constexpr const char* kHopField = "rattanweir-hop";
inline constexpr const char* kRouteField = "rattanweir-route";
inline constexpr const char* kClientAccountField = "rattanweir-client-account";
inline constexpr const char* kKeyField = "rattanweir-key";
inline constexpr const char* kDeadlineField = "rattanweir-deadline-ms";
inline constexpr const char* kIdempotencyKeyField = "idempotency-key";

// Admits a caller's request. Checks the instance's state, the route, the key,
// the client account and residency, in this order.
RequestPlan
AdmitFromCaller(const ServingContext& aServing, InboundRequest aRequest);

// Admits a request that a peer forwarded. Checks the hop, the route, the grant,
// the client account and residency by this instance's own configuration.
// Refuses requests that may not be served in the local region.
RequestPlan
AdmitFromPeer(const ServingContext& aServing, InboundRequest aRequest);

// Returns the refusal to send to a request with these headers. If the request
// carries a well-formed idempotency key, raises Ran::No to Ran::Maybe: only the
// key's owner knows whether an earlier use of the key has run. Refusals that
// every earlier use would have met (malformed, unknown route) stay unchanged.
RequestError
WithRanForIdempotencyKey(const RequestError& aError,
                         const HeaderFields& aHeaders);

// Returns the peer that sent this request. Throws LoopRefused if this instance
// sent the request itself or the request took more than one hop, and
// MalformedRequest if the request names no sender.
InstanceId
CheckHop(const ServingContext& aServing, const HeaderFields& aHeaders);

// Returns the grant of the key that a caller presents. Throws KeyMissing,
// KeyNotGranted or ClientAccountUnknown.
KeyGrant
RequireGrant(const Catalog& aCatalog,
             const std::optional<std::string>& aPresentedKey);

// Returns the regions in which a request may be served: those permitted both by
// the route at admission and by the route in the current configuration.
PermittedRegions
CurrentPermittedRegions(const Catalog& aCatalog,
                        const Route& aRoute,
                        const ClientAccountId& aAccount);

} // namespace rattanweir
