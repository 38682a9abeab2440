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

// Runs gossip in a large fleet and returns the minimum number of live peers
// that any instance knew at any time after the first rounds.
std::size_t
MinLivePeers(int aInstances, std::uint64_t aSeed)
{
  constexpr milliseconds kRound{ 500 };
  ManualClock clock;
  RandomEngine random{ aSeed };
  std::vector<FleetView> fleet;
  for (int number = 0; number < aInstances; ++number) {
    const std::string text = std::to_string(number);
    FleetMember self{ .m_id = InstanceId("i" + text),
                      .m_incarnation = Incarnation(1),
                      .m_sequence = 1,
                      .m_region = RegionId("r" + std::to_string(number % 3)),
                      .m_zone =
                        AvailabilityZoneId("z" + std::to_string(number % 6)),
                      .m_peerAddress = AddressOf(number),
                      .m_isReady = true };
    fleet.emplace_back(
      FleetViewOptions{ .m_clock = clock, .m_self = std::move(self) });
    fleet.back().SetSeeds({ AddressOf(0), AddressOf(1), AddressOf(2) });
  }
  const auto exchange = [&](int aFrom, int aTo) {
    FleetView& from = fleet[static_cast<std::size_t>(aFrom)];
    FleetView& to = fleet[static_cast<std::size_t>(aTo)];
    to.Merge(from.NextMessage(random), from.Self().m_id);
    from.Merge(to.NextMessage(random), to.Self().m_id);
  };
  auto minPeers = static_cast<std::size_t>(aInstances);
  for (int round = 0; round < 60; ++round) {
    for (int from = 0; from < aInstances; ++from) {
      for (const Endpoint& target :
           fleet[static_cast<std::size_t>(from)].ChooseTargets(
             random, round % 2 == 0)) {
        exchange(from, std::stoi(target.m_address.substr(7)));
      }
    }
    clock.Advance(kRound);
    if (round < 20) {
      continue;
    }
    for (const FleetView& view : fleet) {
      minPeers = std::min(minPeers, view.LivePeers().size());
    }
  }
  return minPeers;
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
    CHECK(MinLivePeers(kInstances, seed) == kInstances - 1);
  }
}

} // namespace
} // namespace rattanweir
