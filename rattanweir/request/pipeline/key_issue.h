// Issues idempotency keys.
//
//   std::string json = co_await IssueForCaller(serving, request, cancel);
//
// A key is issued where its request can be dispatched: in a permitted region
// that has backend servers of the route's pool. If that is not here, a peer
// there issues it and becomes its owner.

#pragma once

#include "rattanweir/request/pipeline/serving.h"

#include <string>

namespace rattanweir {

// The answer of POST /v1/idempotency-keys on the caller side.
Task<std::string>
IssueForCaller(ServingContext& aServing,
               InboundRequest aRequest,
               CancelSource& aCancel);

// The answer of POST /rattanweir/idempotency-keys on the peer side.
std::string
IssueForPeer(ServingContext& aServing, const InboundRequest& aRequest);

// The peer side's path.
inline constexpr const char* kPeerIdempotencyKeysPath =
  "/rattanweir/idempotency-keys";

} // namespace rattanweir
