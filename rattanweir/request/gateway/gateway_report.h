// Reports an instance's state, and the placement it would decide for a request,
// to operators. Used on the users' platform (settings with `fleet`).
//
//   Json::Value status = GatewayStatus(state, isStoreInTouch);
//   Json::Value explanation = ExplainRequest(state, { .m_host = "a.example",
//                                                     .m_path = "/read/1" });
//
// Both functions read the state without changing it.

#pragma once

#include "rattanweir/request/gateway/gateway_state.h"

#include <json/value.h>

#include <string>
#include <vector>

#include <string>

namespace rattanweir {

// Returns the fleet members, the configuration in force, and each backend
// server of this region with the reason, if any, why it gets no requests.
// `aIsStoreInTouch` tells whether the platform's store is reachable.
Json::Value
GatewayStatus(const GatewayState& aState, bool aIsStoreInTouch);

struct ExplainQuery
{
  std::string m_host;
  std::string m_path;
  // Empty for a route that needs no account.
  ClientAccountId m_clientAccount;
  // Length of the prompt; only used for a model engine.
  Tokens m_promptTokens;
  // The ids of the prompt's parts.
  std::vector<std::string> m_promptParts;
  std::string m_method = "GET";
  std::string m_body;
};

// Returns the route of such a request, the token level of its account, and for
// each pool of the route the estimates for servers and regions and the
// placement decision. `result` is a sentence, or the name of the result code if
// the request would be refused.
Json::Value
ExplainRequest(const GatewayState& aState, const ExplainQuery& aQuery);

} // namespace rattanweir
