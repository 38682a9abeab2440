#include "rattanweir/process/fleet/fleet_view.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Endpoint
AddressOf(int aNumber)
{
  return { .m_address = "10.0.0." + std::to_string(aNumber), .m_port = 9 };
}

FleetMember
Row(int aNumber, std::uint64_t aIncarnation = 1, std::uint64_t aSequence = 1)
{
  return { .m_id = InstanceId("i" + std::to_string(aNumber)),
           .m_incarnation = Incarnation(aIncarnation),
           .m_sequence = aSequence,
           .m_region = RegionId(aNumber % 2 == 0 ? "north" : "south"),
           .m_peerAddress = AddressOf(aNumber),
           .m_isReady = true };
}

InstanceId
IdOf(int aNumber)
{
  return Row(aNumber).m_id;
}

// One instance's view, and hearsay for it.
struct View
{
  explicit View(int aNumber = 0)
    : m_fleet({ .m_clock = m_clock, .m_self = Row(aNumber) })
  {
  }

  void Hear(FleetMember aRow, const InstanceId& aSender)
  {
    const FleetMember rows[] = { std::move(aRow) };
    m_fleet.Merge(rows, aSender);
  }

  ManualClock m_clock;
  RandomEngine m_random{ 1 };
  FleetView m_fleet;
};

bool
Contains(const std::vector<Endpoint>& aAddresses, int aNumber)
{
  return std::count(aAddresses.begin(), aAddresses.end(), AddressOf(aNumber)) >
         0;
}

TEST_CASE("a member is used while its sequence advances, whoever tells")
{
  View view;
  view.Hear(Row(1), IdOf(1));
  view.m_clock.Advance(seconds(2));
  view.Hear(Row(1, 1, 2), IdOf(3));
  view.m_clock.Advance(seconds(2));
  CHECK(view.m_fleet.IsLive(IdOf(1)));
  // The same row again says nothing new.
  view.Hear(Row(1, 1, 2), IdOf(3));
  view.m_clock.Advance(seconds(6));
  CHECK_FALSE(view.m_fleet.IsLive(IdOf(1)));
}

TEST_CASE("rows of an earlier process do not come back")
{
  View view;
  view.Hear(Row(1, 5, 100), IdOf(1));
  view.Hear(Row(1, 6, 1), IdOf(1));
  view.Hear(Row(1, 5, 200), IdOf(3));
  CHECK(view.m_fleet.Find(IdOf(1))->m_incarnation == Incarnation(6));
  // Its clock went back before it started again.
  view.Hear(Row(1, 4, 1), IdOf(3));
  CHECK(view.m_fleet.Find(IdOf(1))->m_incarnation == Incarnation(6));
  view.Hear(Row(1, 4, 1), IdOf(1));
  CHECK(view.m_fleet.Find(IdOf(1))->m_incarnation == Incarnation(4));
  view.Hear(Row(1, 6, 300), IdOf(3));
  CHECK(view.m_fleet.Find(IdOf(1))->m_incarnation == Incarnation(4));
}

TEST_CASE("an instance that knows nobody asks its seeds but not itself")
{
  View view(0);
  view.m_fleet.SetSeeds({ AddressOf(0), AddressOf(1), AddressOf(2) });
  const auto targets = view.m_fleet.ChooseTargets(view.m_random, false);
  CHECK(targets == std::vector<Endpoint>{ AddressOf(1), AddressOf(2) });
}

TEST_CASE("silent members are asked again, so that a cut fleet rejoins")
{
  View view;
  view.Hear(Row(1), IdOf(1));
  view.Hear(Row(2), IdOf(2));
  view.m_clock.Advance(seconds(10));
  view.Hear(Row(2, 1, 2), IdOf(2));
  bool wasAsked = false;
  for (int round = 0; round < 20; ++round) {
    wasAsked |= Contains(view.m_fleet.ChooseTargets(view.m_random, true), 1);
  }
  CHECK(wasAsked);
}

TEST_CASE("an unreachable member is not used until it speaks itself")
{
  View view;
  view.Hear(Row(1), IdOf(1));
  view.m_fleet.MarkUnreachable(IdOf(1));
  view.Hear(Row(1, 1, 2), IdOf(3));
  CHECK_FALSE(view.m_fleet.IsLive(IdOf(1)));
  view.Hear(Row(1, 1, 3), IdOf(1));
  CHECK(view.m_fleet.IsLive(IdOf(1)));
}

TEST_CASE("budgets are divided by all that may run, at least by the seeds")
{
  View view;
  view.m_fleet.SetSeeds({ AddressOf(0), AddressOf(1), AddressOf(2) });
  CHECK(view.m_fleet.FleetSize() == 3);
  for (int number = 1; number <= 5; ++number) {
    view.Hear(Row(number), IdOf(number));
  }
  CHECK(view.m_fleet.FleetSize() == 6);
  FleetMember draining = Row(5, 1, 2);
  draining.m_isDraining = true;
  view.Hear(draining, IdOf(5));
  CHECK(view.m_fleet.FleetSize() == 6);
  view.m_clock.Advance(seconds(8));
  CHECK(view.m_fleet.LivePeers().empty());
  CHECK(view.m_fleet.FleetSize() == 5);
}

TEST_CASE("a brief row keeps what does not change, and names nobody unknown")
{
  View view;
  FleetMember brief = Row(1, 1, 2);
  brief.m_region = RegionId();
  brief.m_peerAddress = {};
  view.Hear(brief, IdOf(1));
  CHECK(view.m_fleet.Find(IdOf(1)) == nullptr);
  view.Hear(Row(1), IdOf(1));
  view.Hear(brief, IdOf(1));
  CHECK(view.m_fleet.Find(IdOf(1))->m_sequence == 2);
  CHECK(view.m_fleet.Find(IdOf(1))->m_peerAddress == AddressOf(1));
  CHECK(view.m_fleet.Find(IdOf(1))->m_region == RegionId("south"));
}

TEST_CASE("a few members read the store for their region, others if none does")
{
  View view(90);
  const auto hear = [&](int aNumber, std::uint64_t aSequence, bool aReads) {
    FleetMember row = Row(aNumber, 1, aSequence);
    row.m_readsStore = aReads;
    view.Hear(row, row.m_id);
  };
  CHECK(view.m_fleet.HasToReadStore());
  for (int number = 10; number <= 14; number += 2) {
    hear(number, 1, true);
  }
  CHECK(view.m_fleet.HasToReadStore());
  hear(16, 1, false);
  CHECK_FALSE(view.m_fleet.HasToReadStore());
  for (int number = 10; number <= 14; number += 2) {
    hear(number, 2, false);
  }
  CHECK(view.m_fleet.HasToReadStore());
}

} // namespace
} // namespace rattanweir
