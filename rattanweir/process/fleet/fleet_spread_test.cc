#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/process/fleet/fleet_view.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;

Endpoint
AddressOf(int aNumber)
{
  return { .m_address = "10.0.0." + std::to_string(aNumber), .m_port = 9 };
}

// What gossip in a fleet achieves and costs after the first rounds.
struct Spread
{
  // The minimum number of live peers that any instance knew at any time.
  std::size_t m_minLivePeers = 0;
  // Records in messages between regions, in a second for each instance.
  double m_recordsBetweenRegions = 0;
};

FleetMember
MemberOf(int aNumber)
{
  return { .m_id = InstanceId("i" + std::to_string(aNumber)),
           .m_incarnation = Incarnation(1),
           .m_sequence = 1,
           .m_region = RegionId("r" + std::to_string(aNumber % 3)),
           .m_zone = AvailabilityZoneId("z" + std::to_string(aNumber % 6)),
           .m_peerAddress = AddressOf(aNumber),
           .m_isReady = true };
}

// Returns the number of records in messages between regions.
std::size_t
Exchange(FleetView& aFrom, FleetView& aTo, RandomEngine& aRandom)
{
  const InstanceId& fromId = aFrom.Self().m_id;
  const InstanceId& toId = aTo.Self().m_id;
  const auto request = aFrom.NextMessage(aRandom, aFrom.Find(toId));
  aTo.Merge(request, fromId);
  const auto response = aTo.NextMessage(aRandom, aTo.Find(fromId));
  aFrom.Merge(response, toId);
  return aFrom.Self().m_region == aTo.Self().m_region
           ? 0
           : request.size() + response.size();
}

Spread
RunGossip(int aInstances,
          std::uint64_t aSeed,
          const std::vector<Endpoint>& aSeeds = { AddressOf(0),
                                                  AddressOf(1),
                                                  AddressOf(2) })
{
  constexpr milliseconds kRound{ 500 };
  constexpr int kFirstRounds = 20;
  constexpr int kRounds = 60;
  ManualClock clock;
  RandomEngine random{ aSeed };
  std::vector<FleetView> fleet;
  for (int number = 0; number < aInstances; ++number) {
    fleet.emplace_back(
      FleetViewOptions{ .m_clock = clock, .m_self = MemberOf(number) });
    fleet.back().SetSeeds(aSeeds);
  }
  Spread spread{ .m_minLivePeers = static_cast<std::size_t>(aInstances) };
  std::size_t records = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (FleetView& from : fleet) {
      for (const Endpoint& target :
           from.ChooseTargets(random, round % 2 == 0)) {
        const auto to =
          static_cast<std::size_t>(std::stoi(target.m_address.substr(7)));
        const std::size_t sent = Exchange(from, fleet[to], random);
        records += round < kFirstRounds ? 0 : sent;
      }
    }
    clock.Advance(kRound);
    if (round < kFirstRounds) {
      continue;
    }
    for (const FleetView& view : fleet) {
      spread.m_minLivePeers =
        std::min(spread.m_minLivePeers, view.LivePeers().size());
    }
  }
  const std::chrono::duration<double> time =
    (kRounds - kFirstRounds) * std::chrono::duration<double>(kRound);
  spread.m_recordsBetweenRegions =
    static_cast<double>(records) / aInstances / time.count();
  return spread;
}

// RATTANWEIR_FLEET_SEEDS sets the number of random seeds that are run.
TEST_CASE("records spread over a large fleet within the liveness timeout")
{
  constexpr int kInstances = 86;
  constexpr std::uint64_t kDefaultSeeds = 1;
  const char* text = std::getenv("RATTANWEIR_FLEET_SEEDS");
  const std::uint64_t seeds =
    text == nullptr ? kDefaultSeeds : std::stoull(text);
  for (std::uint64_t seed = 7; seed < 7 + seeds; ++seed) {
    INFO("seed " << seed);
    CHECK(RunGossip(kInstances, seed).m_minLivePeers == kInstances - 1);
  }
}

TEST_CASE(
  "members of a region discover each other through seeds of another one")
{
  for (const int instances : { 8, 90 }) {
    INFO(instances << " instances");
    const Spread spread =
      RunGossip(instances, 7, { AddressOf(0), AddressOf(3), AddressOf(6) });
    CHECK(spread.m_minLivePeers == static_cast<std::size_t>(instances - 1));
  }
}

TEST_CASE("a machine's share of the records between regions does not grow with "
          "the fleet")
{
  constexpr double kAllowedGrowth = 1.25;
  const double small = RunGossip(30, 7).m_recordsBetweenRegions;
  for (const int instances : { 90, 195 }) {
    INFO(instances << " instances");
    const Spread spread = RunGossip(instances, 7);
    CHECK(spread.m_minLivePeers == static_cast<std::size_t>(instances - 1));
    CHECK(spread.m_recordsBetweenRegions <= kAllowedGrowth * small);
  }
}

} // namespace
} // namespace rattanweir
