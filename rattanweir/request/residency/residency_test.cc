#include "rattanweir/request/residency/residency.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

TEST_CASE("a residency rule permits only the regions that it names")
{
  const ClientAccount noHome{ .m_id = ClientAccountId("a") };
  const ClientAccount withHome{ .m_id = ClientAccountId("b"),
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
    { HomeRegionOfClientAccount{}, &noHome, false, false, true },
    { HomeRegionOfClientAccount{}, &withHome, true, false, false },
    { ListedRegions{ { RegionId("west") } }, &withHome, false, true, false },
    { ListedRegions{}, &withHome, false, false, true },
  };
  for (const Row& row : rows) {
    const auto regions = PermittedRegionsOf(row.m_residency, row.m_account);
    REQUIRE(regions.Permits(RegionId("east")) == row.m_isEastPermitted);
    REQUIRE(regions.Permits(RegionId("west")) == row.m_isWestPermitted);
    REQUIRE(regions.IsEmpty() == row.m_isEmpty);
  }
}

TEST_CASE("the intersection permits only what both sides permit")
{
  const RegionId east("east");
  const RegionId west("west");
  const auto all = PermittedRegions::All();
  const auto onlyEast = PermittedRegions::Only({ east });
  const auto either = PermittedRegions::Only({ east, west });
  REQUIRE(all.Intersect(all).PermitsAll());
  REQUIRE(all.Intersect(onlyEast).Permits(east));
  REQUIRE_FALSE(onlyEast.Intersect(all).Permits(west));
  REQUIRE_FALSE(either.Intersect(onlyEast).Permits(west));
  REQUIRE(onlyEast.Intersect(PermittedRegions::Only({ west })).IsEmpty());
}

} // namespace
} // namespace rattanweir
