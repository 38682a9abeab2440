// What an operator asks one instance: what it believes now, and what it would
// do with a request.
//
//   Json::Value status = GatewayStatus(state, isStoreInTouch);
//   Json::Value answer = ExplainRequest(state, { .m_host = "a.example",
//                                                .m_path = "/read/1" });
//
// Both only read the state.

#pragma once

#include "rattanweir/request/gateway/gateway_state.h"

#include <json/value.h>

#include <string>

namespace rattanweir {

// Members with their age, the configuration in force, and each backend server
// of this region with the reasons for which it gets no work.
Json::Value
GatewayStatus(const GatewayState& aState, bool aIsStoreInTouch);

struct ExplainQuery
{
  std::string m_host;
  std::string m_path;
  // Empty for a route that is open to all.
  ClientAccountId m_clientAccount;
  // Of the prompt, for an engine.
  Tokens m_promptTokens;
};

// The route of such a request, its account's level, and for each of its pools
// the servers and regions with what was estimated, and the decision. `result`
// is a sentence, or the name of the refusal.
Json::Value
ExplainRequest(const GatewayState& aState, const ExplainQuery& aQuery);

} // namespace rattanweir
