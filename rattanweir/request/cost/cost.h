// The tokens that a request reserves of its client account's rate.
//
//   const Tokens cost = TokensToReserve(route.m_cost, body);
//
// A request reserves the most that it can use: its prompt and all that may be
// generated. What was not used is given back when the answer ends.

#pragma once

#include "rattanweir/base/units/units.h"
#include "rattanweir/request/body/request_body.h"
#include "rattanweir/version/section/section.h"

namespace rattanweir {

// The prompt's tokens by estimate, four bytes to a token.
Tokens
EstimatePromptTokens(const RequestBody& aBody);

// The most that the request can use on a route with this cost.
Tokens
TokensToReserve(const RouteCost& aCost, const RequestBody& aBody);

} // namespace rattanweir
