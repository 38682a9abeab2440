#include "rattanweir/request/cost/cost.h"

#include <algorithm>
#include <variant>

namespace rattanweir {
namespace {

constexpr std::uint64_t kBytesPerToken = 4;
// Far above every burst, and low enough that a sum cannot overflow.
constexpr std::int64_t kMaxTokens = std::int64_t{ 1 } << 50;

struct TokensOfCost
{
  const RequestBody& m_body;

  Tokens operator()(const FixedCost& aCost) const { return aCost.m_tokens; }
  Tokens operator()(const ModelCost& aCost) const
  {
    const std::int64_t generated =
      m_body.m_maxTokens.value_or(aCost.m_defaultMaxTokens.Value());
    return EstimatePromptTokens(m_body) +
           Tokens(std::min(generated, kMaxTokens));
  }
};

} // namespace

Tokens
EstimatePromptTokens(const RequestBody& aBody)
{
  const std::uint64_t tokens =
    (aBody.m_promptBytes + kBytesPerToken - 1) / kBytesPerToken;
  return Tokens(static_cast<std::int64_t>(tokens));
}

Tokens
TokensToReserve(const RouteCost& aCost, const RequestBody& aBody)
{
  return std::visit(TokensOfCost{ aBody }, aCost);
}

} // namespace rattanweir
