#include "rattanweir/request/region_split/split_surplus.h"

#include <catch2/catch.hpp>

#include <map>

namespace rattanweir {
namespace {

const RegionId kNorth("north");
const RegionId kSouth("south");
const RegionId kEast("east");

RegionLoad
Load(const RegionId& aRegion, double aDemand, double aCapacity)
{
  return { .m_region = aRegion,
           .m_demand = RequestRate(aDemand),
           .m_capacity = RequestRate(aCapacity) };
}

TEST_CASE("a region without a surplus, or whose figures are unknown, sends "
          "nothing")
{
  const std::vector<RegionLoad> calm = { Load(kNorth, 80, 100),
                                         Load(kSouth, 10, 100) };
  CHECK(SplitSurplus(calm, kNorth).empty());
  CHECK(SplitSurplus(calm, kEast).empty());
  const std::vector<RegionLoad> full = { Load(kNorth, 200, 100),
                                         Load(kSouth, 200, 100) };
  CHECK(SplitSurplus(full, kNorth).empty());
}

TEST_CASE("the surplus is split in proportion to the spare capacity")
{
  // 200 of 285, spare 75 and 150.
  const std::vector<RegionLoad> loads = { Load(kNorth, 285, 100),
                                          Load(kSouth, 10, 100),
                                          Load(kEast, 20, 200) };
  const auto shares = SplitSurplus(loads, kNorth);
  REQUIRE(shares.size() == 2);
  CHECK(shares[0].m_region == kSouth);
  CHECK(shares[0].m_fraction == Approx(200.0 / 285 / 3));
  CHECK(shares[1].m_fraction == Approx(200.0 / 285 * 2 / 3));
}

// Guards against several regions that fill the same spare capacity.
TEST_CASE("what all regions send never exceeds the spare capacity")
{
  const std::vector<RegionLoad> loads = { Load(kNorth, 300, 100),
                                          Load(kSouth, 250, 100),
                                          Load(kEast, 20, 100) };
  std::map<RegionId, double> received;
  for (const RegionLoad& sender : loads) {
    for (const SpilloverShare& share : SplitSurplus(loads, sender.m_region)) {
      received[share.m_region] += share.m_fraction * sender.m_demand.Value();
    }
  }
  REQUIRE(received.size() == 1);
  CHECK(received.at(kEast) == Approx(65));
}

} // namespace
} // namespace rattanweir
