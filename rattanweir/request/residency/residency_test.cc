#include "rattanweir/request/residency/residency.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

TEST_CASE("residency permits what it names and nothing by default")
{
  const ClientAccount homeless{ .m_id = ClientAccountId("a") };
  const ClientAccount atHome{ .m_id = ClientAccountId("b"),
                              .m_homeRegion = RegionId("east") };
  struct Row
  {
    Residency m_residency;
    const ClientAccount* m_account;
    bool m_isEastPermitted;
    bool m_isWestPermitted;
    bool m_isEmpty;
  };
  const Row rows[] = {
    { AnyRegion{}, nullptr, true, true, false },
    { HomeRegionOfClientAccount{}, nullptr, false, false, true },
    { HomeRegionOfClientAccount{}, &homeless, false, false, true },
    { HomeRegionOfClientAccount{}, &atHome, true, false, false },
    { ListedRegions{ { RegionId("west") } }, &atHome, false, true, false },
    { ListedRegions{}, &atHome, false, false, true },
  };
  for (const Row& row : rows) {
    const auto regions = PermittedRegionsOf(row.m_residency, row.m_account);
    REQUIRE(regions.Permits(RegionId("east")) == row.m_isEastPermitted);
    REQUIRE(regions.Permits(RegionId("west")) == row.m_isWestPermitted);
    REQUIRE(regions.IsEmpty() == row.m_isEmpty);
  }
}

} // namespace
} // namespace rattanweir
