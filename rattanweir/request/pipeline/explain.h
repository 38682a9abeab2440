// Explains how a request of the product's own interface would be decided at
// present, without sending anything.
//
//   const Explanation explanation =
//     Explain(serving, { .m_route = RouteId("chat"),
//                        .m_clientAccount = account });
//   for (const std::string& reason : explanation.m_reasons) ...

#pragma once

#include "rattanweir/request/pipeline/serving.h"

#include <optional>
#include <string>
#include <vector>

namespace rattanweir {

// Identifies the route by its id, or by the path and model of a request.
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
  // The destination, or the name of the refusal's result code.
  std::string m_result;
  // The checks and candidates, in the order of evaluation.
  std::vector<std::string> m_reasons;
};

// Evaluates admission and routing without changing any state.
Explanation
Explain(const ServingContext& aServing, const ExplainQuery& aQuery);

} // namespace rattanweir
