// Decides whether a request is taken, before any of it is sent on.
//
//   const RequestPlan plan = AdmitFromCaller(serving, std::move(request));
//
// Every refusal here is thrown as RequestError with Ran::No.

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

// Looks at state, route, key, client account and residency, in this order.
RequestPlan
AdmitFromCaller(const ServingContext& aServing, InboundRequest aRequest);

// The same for a request that a peer forwards: hop, route, grant, client
// account and residency by this instance's own configuration. Only what can
// be served in this region is taken.
RequestPlan
AdmitFromPeer(const ServingContext& aServing, InboundRequest aRequest);

// The refusal as it has to be said to a request with these fields. Under an
// idempotency key that was issued, "not run" is for the key's owner to say: an
// earlier use of the key may have run.
RequestError
WithRanForIdempotencyKey(const RequestError& aError,
                         const HeaderFields& aHeaders);

// The peer that sent this request. Throws LoopRefused if the request was at
// this instance before or took more than one hop, and MalformedRequest if it
// names no sender.
InstanceId
CheckHop(const ServingContext& aServing, const HeaderFields& aHeaders);

// The grant of the key that a caller shows. Throws KeyMissing, KeyNotGranted
// or ClientAccountUnknown.
KeyGrant
RequireGrant(const Catalog& aCatalog,
             const std::optional<std::string>& aPresentedKey);

// The regions where a request may be served, by the route as admitted and as
// it is in force now; both must permit.
PermittedRegions
CurrentPermittedRegions(const Catalog& aCatalog,
                        const Route& aRoute,
                        const ClientAccountId& aAccount);

} // namespace rattanweir
