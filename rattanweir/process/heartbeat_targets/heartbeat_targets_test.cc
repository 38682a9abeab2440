#include "rattanweir/process/heartbeat_targets/heartbeat_targets.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

// Returns regions r0, r1, ..., each with the zones a and b.
std::vector<PeerView>
MakeFleet(int aRegions, int aInstancesPerZone)
{
  std::vector<PeerView> fleet;
  for (int region = 0; region < aRegions; ++region) {
    for (const std::string zone : { "a", "b" }) {
      for (int number = 0; number < aInstancesPerZone; ++number) {
        const std::string name = "r" + std::to_string(region);
        const std::string id = name + zone + std::to_string(number);
        fleet.push_back(
          { .m_record = { .m_id = InstanceId(id),
                          .m_region = RegionId(name),
                          .m_zone = AvailabilityZoneId(name + zone) } });
      }
    }
  }
  return fleet;
}

std::vector<InstanceId>
ChooseTargetsOf(std::size_t aIndex, std::vector<PeerView> aFleet)
{
  const InstanceRecord self = aFleet.at(aIndex).m_record;
  aFleet.erase(aFleet.begin() + static_cast<std::ptrdiff_t>(aIndex));
  return ChooseHeartbeatTargets(self, aFleet, HeartbeatFanOut{});
}

TEST_CASE("in a small fleet every peer is a target")
{
  REQUIRE(ChooseTargetsOf(0, MakeFleet(1, 4)).size() == 3 + 3);
}

TEST_CASE("the number of targets does not depend on the size of a zone")
{
  const HeartbeatFanOut fanOut;
  const std::size_t bound =
    fanOut.m_localZone + fanOut.m_otherZone + 10 * fanOut.m_otherRegion;
  REQUIRE(ChooseTargetsOf(0, MakeFleet(11, 17)).size() == bound);
  REQUIRE(ChooseTargetsOf(0, MakeFleet(11, 170)).size() == bound);
}

TEST_CASE("targets are spread over all peers")
{
  const std::vector<PeerView> fleet = MakeFleet(2, 40);
  std::map<InstanceId, int> chosen;
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    for (const InstanceId& id : ChooseTargetsOf(index, fleet)) {
      ++chosen[id];
    }
  }
  // Each instance selects 16 + 3 + 2 targets, so that is also the mean count.
  REQUIRE(chosen.size() == fleet.size());
  for (const auto& [id, count] : chosen) {
    CAPTURE(id.Value());
    REQUIRE(count < 3 * (16 + 3 + 2));
  }
}

TEST_CASE("removing a target from the list keeps the other targets")
{
  std::vector<PeerView> fleet = MakeFleet(3, 30);
  const std::vector<InstanceId> before = ChooseTargetsOf(0, fleet);
  fleet.erase(
    std::find_if(fleet.begin() + 1, fleet.end(), [&](const PeerView& aPeer) {
      return aPeer.m_record.m_id == before.front();
    }));
  const std::vector<InstanceId> after = ChooseTargetsOf(0, fleet);
  const std::set<InstanceId> remaining(after.begin(), after.end());
  for (std::size_t index = 1; index < before.size(); ++index) {
    REQUIRE(remaining.count(before[index]) == 1);
  }
}

TEST_CASE("the interval grows to bound the rate of exchanges")
{
  const HeartbeatFanOut fanOut;
  REQUIRE(HeartbeatInterval(1s, 4, fanOut) == 1s);
  REQUIRE(HeartbeatInterval(1s, 32, fanOut) == 4s);
}

} // namespace
} // namespace rattanweir
