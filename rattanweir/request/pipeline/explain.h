// Says how a request would be decided now, and why, without sending anything.
//
//   const Explanation why = Explain(serving, { .m_route = RouteId("chat"),
//                                              .m_clientAccount = account });
//   for (const std::string& reason : why.m_reasons) ...

#pragma once

#include "rattanweir/request/pipeline/serving.h"

#include <optional>
#include <string>
#include <vector>

namespace rattanweir {

// Names the route by its id, or by what a request would bring.
struct ExplainQuery
{
  std::optional<RouteId> m_route;
  std::string m_path;
  std::optional<ModelId> m_model;
  // Empty for a caller without a key.
  ClientAccountId m_clientAccount;
};

struct Explanation
{
  // Where it would be served, or the name of the refusal.
  std::string m_result;
  // In the order in which they are looked at.
  std::vector<std::string> m_reasons;
};

Explanation
Explain(const ServingContext& aServing, const ExplainQuery& aQuery);

} // namespace rattanweir
