// Computes the tokens that a request reserves from its client account's rate.
//
//   const Tokens cost = TokensToReserve(route.m_cost, body);
//
// A request reserves the maximum that it can use: its prompt and the maximum
// number of generated tokens. Unused tokens are released when the response
// ends.

#pragma once

#include "rattanweir/base/units/units.h"
#include "rattanweir/request/body/request_body.h"
#include "rattanweir/version/section/section.h"

namespace rattanweir {

// Returns the estimated number of prompt tokens, at four bytes per token.
Tokens
EstimatePromptTokens(const RequestBody& aBody);

// Returns the maximum number of tokens that the request can use on a route with
// this cost.
Tokens
TokensToReserve(const RouteCost& aCost, const RequestBody& aBody);

} // namespace rattanweir
