// Issues idempotency keys on the product's own interface.
//
//   std::string json = co_await IssueForCaller(serving, request, cancel);
//
// A key is issued in a region where its request can be dispatched: a permitted
// region that has backend servers of the route's pool. If the local region is
// not such a region, a peer in one issues the key and becomes its owner.

#pragma once

#include "rattanweir/request/pipeline/serving.h"

#include <string>

namespace rattanweir {

// Returns the JSON response to POST /v1/idempotency-keys from a caller. Throws
// RequestError if the request is refused or no instance can issue the key.
Task<std::string>
IssueForCaller(ServingContext& aServing,
               InboundRequest aRequest,
               CancelSource& aCancel);

// Returns the JSON response to POST /rattanweir/idempotency-keys from a peer.
// Throws RequestError if the request is refused.
std::string
IssueForPeer(ServingContext& aServing, const InboundRequest& aRequest);

// Path at which peers issue keys.
inline constexpr const char* kPeerIdempotencyKeysPath =
  "/rattanweir/idempotency-keys";

} // namespace rattanweir
