#include "rattanweir/base/ids/ids.h"

#include <catch2/catch.hpp>

#include <type_traits>
#include <unordered_set>

namespace rattanweir {
namespace {

TEST_CASE("ids of different kinds do not convert into each other")
{
  STATIC_REQUIRE_FALSE(std::is_convertible_v<RouteId, ClientAccountId>);
  STATIC_REQUIRE_FALSE(std::is_convertible_v<std::string, RouteId>);
  STATIC_REQUIRE_FALSE(std::is_convertible_v<SectionVersion, Incarnation>);
}

TEST_CASE("ids compare and hash by their value")
{
  REQUIRE(RouteId("a") < RouteId("b"));
  REQUIRE(SectionVersion(2) > SectionVersion(1));
  const std::unordered_set<RouteId> set{ RouteId("a"), RouteId("a") };
  REQUIRE(set.size() == 1);
}

} // namespace
} // namespace rattanweir
