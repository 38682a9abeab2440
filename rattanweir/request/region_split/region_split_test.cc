#include "rattanweir/request/region_split/region_split.h"

#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/base/random/random.h"

#include <catch2/catch.hpp>

#include <array>
#include <cmath>
#include <limits>
#include <random>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;

const PoolId kPool("p");
const RegionId kNorth("north");
const RegionId kSouth("south");
const RegionId kEast("east");

std::vector<RegionLoad>
Loads(double aNorth, double aSouth, double aEast)
{
  return { { kNorth, RequestRate(aNorth), RequestRate(100) },
           { kSouth, RequestRate(aSouth), RequestRate(100) },
           { kEast, RequestRate(aEast), RequestRate(100) } };
}

void
Settle(ManualClock& aClock,
       RegionSplit& aSplit,
       const std::vector<RegionLoad>& aLoads)
{
  for (int update = 0; update < 10; ++update) {
    aClock.Advance(milliseconds(200));
    aSplit.Update(kPool, aLoads, kNorth);
  }
}

double
FractionTo(const RegionSplit& aSplit,
           const RegionId& aRegion,
           const std::optional<std::set<RegionId>>& aPermitted = std::nullopt)
{
  constexpr int kDraws = 1'000;
  int chosen = 0;
  for (int draw = 0; draw < kDraws; ++draw) {
    chosen +=
      aSplit.Choose(kPool, (draw + 0.5) / kDraws, aPermitted) == aRegion;
  }
  return double(chosen) / kDraws;
}

TEST_CASE("requests are sent by fractions, and those with home regions by the "
          "same fraction to the permitted ones")
{
  ManualClock clock;
  RegionSplit split({ .m_clock = clock });
  CHECK_FALSE(split.Choose(kPool, 0, std::nullopt));
  // A surplus of 115 of 200, spare capacity of 65 and 65.
  Settle(clock, split, Loads(200, 20, 20));
  CHECK(FractionTo(split, kSouth) == Approx(0.2875).margin(0.01));
  CHECK(FractionTo(split, kEast) == Approx(0.2875).margin(0.01));
  const std::set<RegionId> homes = { kNorth, kSouth };
  CHECK(FractionTo(split, kSouth, homes) == Approx(0.575).margin(0.01));
  CHECK(FractionTo(split, kEast, homes) == 0);
  CHECK(FractionTo(split, kSouth, std::set{ kNorth }) == 0);
}

// Guards against swings, and against a split that goes on after the peak.
TEST_CASE("fractions rise by bounded steps, and end with the surplus")
{
  ManualClock clock;
  RegionSplit split({ .m_clock = clock });
  CHECK(split.Update(kPool, Loads(200, 20, 20), kNorth) == SplitChange::Begins);
  CHECK(FractionTo(split, kSouth) <= 0.16);
  CHECK_FALSE(split.IsUpdateDue(kPool));
  clock.Advance(milliseconds(200));
  CHECK(split.IsUpdateDue(kPool));
  Settle(clock, split, Loads(200, 20, 20));
  CHECK(split.Update(kPool, Loads(50, 20, 20), kNorth) == SplitChange::Ends);
  CHECK(FractionTo(split, kSouth) == 0);
}

// Guards against sending on into a region that refuses.
TEST_CASE("a refusal lowers what is sent to a region for a second")
{
  ManualClock clock;
  RegionSplit split({ .m_clock = clock });
  Settle(clock, split, Loads(200, 20, 20));
  for (int refusal = 0; refusal < 5; ++refusal) {
    split.RecordRefusal(kPool, kSouth);
  }
  clock.Advance(milliseconds(200));
  split.Update(kPool, Loads(200, 20, 20), kNorth);
  clock.Advance(milliseconds(200));
  split.Update(kPool, Loads(200, 20, 20), kNorth);
  CHECK(FractionTo(split, kSouth) < 0.1);
  CHECK(FractionTo(split, kEast) > 0.28);
  clock.Advance(std::chrono::seconds(1));
  Settle(clock, split, Loads(200, 20, 20));
  CHECK(FractionTo(split, kSouth) == Approx(0.2875).margin(0.01));
}

TEST_CASE("figures that cannot be used are left out")
{
  ManualClock clock;
  RegionSplit split({ .m_clock = clock });
  for (const double wrong : { -1.0,
                              std::numeric_limits<double>::quiet_NaN(),
                              std::numeric_limits<double>::infinity() }) {
    std::vector<RegionLoad> loads = Loads(200, 20, 20);
    loads[1].m_capacity = RequestRate(wrong);
    Settle(clock, split, loads);
    CHECK(FractionTo(split, kSouth) == 0);
    CHECK(FractionTo(split, kEast) > 0);
    CHECK_FALSE(split.IsKnownFull(kPool, kSouth));
  }
  Settle(clock, split, Loads(200, 90, 20));
  CHECK(split.IsKnownFull(kPool, kSouth));
  CHECK_FALSE(split.IsKnownFull(kPool, kEast));
}

// The demand of a region that peaks for 12 s in turn, for 36 s: 2.8 times its
// mean, 0.17 times else.
double
DemandAt(std::size_t aRegion, double aSecond)
{
  constexpr std::array<double, 3> kMeans = { 60, 50, 45 };
  const bool isAtPeak = std::fmod(aSecond, 36) >= 12.0 * double(aRegion) &&
                        std::fmod(aSecond, 36) < 12.0 * double(aRegion + 1);
  return kMeans[aRegion] * (isAtPeak ? 2.8 : 0.17);
}

// Guards against instances that all send to the same region on the same old
// report: the servers there refuse what exceeds their capacity.
TEST_CASE("with figures 0 to 1 s old, regions at their peak send others less "
          "than 5 in 100 beyond their capacity")
{
  constexpr std::array<double, 3> kCapacities = { 150, 110, 75 };
  const std::array<RegionId, 3> regions = { kNorth, kSouth, kEast };
  constexpr int kInstances = 12;
  constexpr double kStep = 0.1;
  ManualClock clock;
  RandomEngine random(7);
  std::vector<std::vector<RegionSplit>> splits(3);
  std::vector<std::vector<double>> ages(3);
  for (std::size_t region = 0; region < 3; ++region) {
    for (int instance = 0; instance < kInstances; ++instance) {
      splits[region].emplace_back(RegionSplitOptions{ .m_clock = clock });
      ages[region].push_back(
        std::uniform_real_distribution<double>(0, 1)(random));
    }
  }
  double sent = 0;
  double beyond = 0;
  for (double now = 0; now < 72; now += kStep) {
    clock.Advance(milliseconds(100));
    std::array<double, 3> received{};
    for (std::size_t own = 0; own < 3; ++own) {
      for (int instance = 0; instance < kInstances; ++instance) {
        RegionSplit& split = splits[own][std::size_t(instance)];
        if (split.IsUpdateDue(kPool)) {
          const double seen =
            std::max(0.0, now - ages[own][std::size_t(instance)]);
          std::vector<RegionLoad> loads;
          for (std::size_t region = 0; region < 3; ++region) {
            loads.push_back({ regions[region],
                              RequestRate(DemandAt(region, seen)),
                              RequestRate(kCapacities[region]) });
          }
          split.Update(kPool, loads, regions[own]);
        }
        for (std::size_t region = 0; region < 3; ++region) {
          received[region] += region == own
                                ? 0
                                : FractionTo(split, regions[region]) *
                                    DemandAt(own, now) / kInstances;
        }
      }
    }
    for (std::size_t region = 0; region < 3; ++region) {
      const double free =
        std::max(0.0, kCapacities[region] - DemandAt(region, now));
      sent += received[region];
      beyond += std::max(0.0, received[region] - free);
    }
  }
  CHECK(sent > 0);
  CHECK(beyond <= 0.05 * sent);
}

} // namespace
} // namespace rattanweir
