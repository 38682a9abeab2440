#include "rattanweir/request/cost/cost.h"

#include <catch2/catch.hpp>

#include <limits>

namespace rattanweir {
namespace {

TEST_CASE("a request reserves its prompt and the maximum of generated tokens")
{
  RequestBody body;
  body.m_promptBytes = 9;
  REQUIRE(TokensToReserve(FixedCost{ Tokens(20) }, body) == Tokens(20));
  REQUIRE(TokensToReserve(ModelCost{ Tokens(100) }, body) == Tokens(103));
  body.m_maxTokens = 5;
  REQUIRE(TokensToReserve(ModelCost{ Tokens(100) }, body) == Tokens(8));
  body.m_maxTokens = std::numeric_limits<std::int64_t>::max();
  REQUIRE(TokensToReserve(ModelCost{ Tokens(100) }, body) >
          Tokens(std::int64_t{ 1 } << 49));
}

} // namespace
} // namespace rattanweir
