#include "rattanweir/process/heartbeat_targets/heartbeat_targets.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

// Regions r0.., each with zones a and b and the given instances per zone.
std::vector<PeerView>
Fleet(int aRegions, int aInstancesPerZone)
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
TargetsOf(std::size_t aIndex, std::vector<PeerView> aFleet)
{
  const InstanceRecord self = aFleet.at(aIndex).m_record;
  aFleet.erase(aFleet.begin() + static_cast<std::ptrdiff_t>(aIndex));
  return ChooseHeartbeatTargets(self, aFleet, HeartbeatFanOut{});
}

TEST_CASE("a small fleet exchanges with everyone")
{
  REQUIRE(TargetsOf(0, Fleet(1, 4)).size() == 3 + 3);
}

TEST_CASE("the number of targets does not grow with the instances of a zone")
{
  const HeartbeatFanOut fanOut;
  const std::size_t bound =
    fanOut.m_ownZone + fanOut.m_otherZone + 10 * fanOut.m_otherRegion;
  REQUIRE(TargetsOf(0, Fleet(11, 17)).size() == bound);
  REQUIRE(TargetsOf(0, Fleet(11, 170)).size() == bound);
}

TEST_CASE("instances choose differently, so that no peer is chosen by most")
{
  const std::vector<PeerView> fleet = Fleet(2, 40);
  std::map<InstanceId, int> chosen;
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    for (const InstanceId& id : TargetsOf(index, fleet)) {
      ++chosen[id];
    }
  }
  // Each chooses 16 + 3 + 2.
  REQUIRE(chosen.size() == fleet.size());
  for (const auto& [id, count] : chosen) {
    CAPTURE(id.Value());
    REQUIRE(count < 3 * (16 + 3 + 2));
  }
}

TEST_CASE("an instance that leaves the list changes no other choice")
{
  std::vector<PeerView> fleet = Fleet(3, 30);
  const std::vector<InstanceId> before = TargetsOf(0, fleet);
  fleet.erase(
    std::find_if(fleet.begin() + 1, fleet.end(), [&](const PeerView& aPeer) {
      return aPeer.m_record.m_id == before.front();
    }));
  const std::vector<InstanceId> after = TargetsOf(0, fleet);
  const std::set<InstanceId> kept(after.begin(), after.end());
  for (std::size_t index = 1; index < before.size(); ++index) {
    REQUIRE(kept.count(before[index]) == 1);
  }
}

TEST_CASE("the interval stretches so that the exchanges stay bounded")
{
  const HeartbeatFanOut fanOut;
  REQUIRE(HeartbeatInterval(1s, 4, fanOut) == 1s);
  REQUIRE(HeartbeatInterval(1s, 32, fanOut) == 4s);
}

} // namespace
} // namespace rattanweir
