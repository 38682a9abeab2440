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
Record(int aNumber, std::uint64_t aIncarnation = 1, std::uint64_t aSequence = 1)
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
  return Record(aNumber).m_id;
}

// The view of one instance, with a clock and a way to receive records.
struct View
{
  explicit View(int aNumber = 0)
    : m_fleet({ .m_clock = m_clock, .m_self = Record(aNumber) })
  {
  }

  void Receive(FleetMember aRecord, const InstanceId& aSender)
  {
    const FleetMember records[] = { std::move(aRecord) };
    m_fleet.Merge(records, aSender);
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

TEST_CASE(
  "a member is live while its sequence advances, whoever sends its record")
{
  View view;
  view.Receive(Record(1), IdOf(1));
  view.m_clock.Advance(seconds(2));
  view.Receive(Record(1, 1, 2), IdOf(3));
  view.m_clock.Advance(seconds(2));
  CHECK(view.m_fleet.IsLive(IdOf(1)));
  // A repeated record does not extend the liveness.
  view.Receive(Record(1, 1, 2), IdOf(3));
  view.m_clock.Advance(seconds(6));
  CHECK_FALSE(view.m_fleet.IsLive(IdOf(1)));
}

TEST_CASE("records of an earlier process do not replace those of a later one")
{
  View view;
  view.Receive(Record(1, 5, 100), IdOf(1));
  view.Receive(Record(1, 6, 1), IdOf(1));
  view.Receive(Record(1, 5, 200), IdOf(3));
  CHECK(view.m_fleet.Find(IdOf(1))->m_incarnation == Incarnation(6));
  // A lower incarnation: the member's clock was set back before its restart.
  // The view accepts it only from the member itself.
  view.Receive(Record(1, 4, 1), IdOf(3));
  CHECK(view.m_fleet.Find(IdOf(1))->m_incarnation == Incarnation(6));
  view.Receive(Record(1, 4, 1), IdOf(1));
  CHECK(view.m_fleet.Find(IdOf(1))->m_incarnation == Incarnation(4));
  view.Receive(Record(1, 6, 300), IdOf(3));
  CHECK(view.m_fleet.Find(IdOf(1))->m_incarnation == Incarnation(4));
}

TEST_CASE("an instance without known members contacts its seeds but not itself")
{
  View view(0);
  view.m_fleet.SetSeeds({ AddressOf(0), AddressOf(1), AddressOf(2) });
  const auto targets = view.m_fleet.ChooseTargets(view.m_random, false);
  CHECK(targets == std::vector<Endpoint>{ AddressOf(1), AddressOf(2) });
}

TEST_CASE(
  "stale members are contacted again, so that a partitioned fleet reconnects")
{
  View view;
  view.Receive(Record(1), IdOf(1));
  view.Receive(Record(2), IdOf(2));
  view.m_clock.Advance(seconds(10));
  view.Receive(Record(2, 1, 2), IdOf(2));
  bool wasContacted = false;
  for (int round = 0; round < 20; ++round) {
    wasContacted |=
      Contains(view.m_fleet.ChooseTargets(view.m_random, true), 1);
  }
  CHECK(wasContacted);
}

TEST_CASE(
  "an instance that knows only stale members contacts its seeds in each "
  "round")
{
  View view;
  view.m_fleet.SetSeeds({ AddressOf(2) });
  view.Receive(Record(4), IdOf(4));
  view.m_clock.Advance(seconds(60));
  for (int round = 0; round < 20; ++round) {
    CHECK(Contains(view.m_fleet.ChooseTargets(view.m_random, false), 2));
  }
}

TEST_CASE("a member whose record is overdue is contacted before it is silent")
{
  constexpr int kMembers = 30;
  View view;
  const auto receiveAll = [&](std::uint64_t aSequence, int aExcept) {
    for (int number = 1; number <= kMembers; ++number) {
      if (number != aExcept) {
        view.Receive(Record(number, 1, aSequence), IdOf(number));
      }
    }
  };
  receiveAll(1, 0);
  view.m_clock.Advance(seconds(4));
  receiveAll(2, 2);
  REQUIRE(view.m_fleet.IsLive(IdOf(2)));
  for (int round = 0; round < 20; ++round) {
    CHECK(Contains(view.m_fleet.ChooseTargets(view.m_random, false), 2));
  }
}

TEST_CASE("an unreachable member is not live until it sends a record itself")
{
  View view;
  view.Receive(Record(1), IdOf(1));
  view.m_fleet.MarkUnreachable(IdOf(1));
  view.Receive(Record(1, 1, 2), IdOf(3));
  CHECK_FALSE(view.m_fleet.IsLive(IdOf(1)));
  view.Receive(Record(1, 1, 3), IdOf(1));
  CHECK(view.m_fleet.IsLive(IdOf(1)));
}

TEST_CASE("an unreachable member is live again when it sends a record that "
          "arrived through another member first")
{
  View view;
  view.Receive(Record(1), IdOf(1));
  view.m_fleet.MarkUnreachable(IdOf(1));
  view.Receive(Record(1, 1, 2), IdOf(3));
  CHECK_FALSE(view.m_fleet.IsLive(IdOf(1)));
  view.Receive(Record(1, 1, 1), IdOf(1));
  CHECK_FALSE(view.m_fleet.IsLive(IdOf(1)));
  view.Receive(Record(1, 1, 2), IdOf(1));
  CHECK(view.m_fleet.IsLive(IdOf(1)));
}

TEST_CASE("the fleet size counts all members that may run, at least the seeds")
{
  View view;
  view.m_fleet.SetSeeds({ AddressOf(0), AddressOf(1), AddressOf(2) });
  CHECK_FALSE(view.m_fleet.FleetSize().has_value());
  view.m_clock.Advance(seconds(10));
  CHECK(view.m_fleet.FleetSize() == 3);
  for (int number = 1; number <= 5; ++number) {
    view.Receive(Record(number), IdOf(number));
  }
  CHECK(view.m_fleet.FleetSize() == 6);
  FleetMember draining = Record(5, 1, 2);
  draining.m_isDraining = true;
  view.Receive(draining, IdOf(5));
  CHECK(view.m_fleet.FleetSize() == 6);
  view.m_clock.Advance(seconds(8));
  CHECK(view.m_fleet.LivePeers().empty());
  CHECK(view.m_fleet.FleetSize() == 5);
}

TEST_CASE(
  "an abridged record keeps the constant fields and adds no unknown member")
{
  View view;
  FleetMember abridged = Record(1, 1, 2);
  abridged.m_region = RegionId();
  abridged.m_peerAddress = {};
  view.Receive(abridged, IdOf(1));
  CHECK(view.m_fleet.Find(IdOf(1)) == nullptr);
  view.Receive(Record(1), IdOf(1));
  view.Receive(abridged, IdOf(1));
  CHECK(view.m_fleet.Find(IdOf(1))->m_sequence == 2);
  CHECK(view.m_fleet.Find(IdOf(1))->m_peerAddress == AddressOf(1));
  CHECK(view.m_fleet.Find(IdOf(1))->m_region == RegionId("south"));
}

TEST_CASE("a few members read the store for their region, or any if none does")
{
  View view(90);
  const auto receive = [&](int aNumber, std::uint64_t aSequence, bool aReads) {
    FleetMember record = Record(aNumber, 1, aSequence);
    record.m_readsStore = aReads;
    view.Receive(record, record.m_id);
  };
  CHECK(view.m_fleet.ShouldReadStore());
  for (int number = 10; number <= 14; number += 2) {
    receive(number, 1, true);
  }
  CHECK(view.m_fleet.ShouldReadStore());
  receive(16, 1, false);
  CHECK_FALSE(view.m_fleet.ShouldReadStore());
  for (int number = 10; number <= 14; number += 2) {
    receive(number, 2, false);
  }
  CHECK(view.m_fleet.ShouldReadStore());
}

// A message of a peer that names the given members of region north.
std::vector<FleetMember>
MessageNaming(std::initializer_list<int> aNumbers, std::uint64_t aSequence = 1)
{
  std::vector<FleetMember> records;
  for (const int number : aNumbers) {
    records.push_back(Record(number, 1, aSequence));
  }
  return records;
}

TEST_CASE("a view settles when messages name no unknown member of the region")
{
  View view;
  view.m_fleet.SetSeeds({ AddressOf(0), AddressOf(2) });
  view.m_clock.Advance(seconds(2));
  CHECK_FALSE(view.m_fleet.HasSettled());
  view.m_fleet.Merge(MessageNaming({ 2, 4 }), IdOf(2));
  view.m_clock.Advance(milliseconds(900));
  view.m_fleet.Merge(MessageNaming({ 2, 6 }), IdOf(2));
  for (int message = 0; message < 3; ++message) {
    view.m_clock.Advance(milliseconds(300));
    CHECK_FALSE(view.m_fleet.HasSettled());
    view.m_fleet.Merge(MessageNaming({ 2, 4 }), IdOf(2));
  }
  view.m_clock.Advance(milliseconds(100));
  CHECK(view.m_fleet.HasSettled());
  view.m_fleet.Merge(MessageNaming({ 2, 8 }), IdOf(2));
  CHECK(view.m_fleet.HasSettled());
}

TEST_CASE("an abridged record of an unknown member keeps a view from settling")
{
  View view;
  view.m_fleet.SetSeeds({ AddressOf(2) });
  for (int message = 0; message < 8; ++message) {
    FleetMember unknown = Record(4);
    unknown.m_region = RegionId();
    const FleetMember records[] = { unknown, unknown };
    view.m_fleet.Merge(records, IdOf(2));
    view.m_clock.Advance(milliseconds(300));
    CHECK_FALSE(view.m_fleet.HasSettled());
  }
}

TEST_CASE("a peer sends the complete record of a member when asked for it")
{
  constexpr std::uint64_t kSequence = 100;
  constexpr int kMembers = 30;
  FleetMember abridged = Record(2, 1, kSequence);
  abridged.m_region = RegionId();
  View peer(1);
  for (int number = 2; number <= kMembers; ++number) {
    peer.Receive(Record(number, 1, kSequence), IdOf(number));
  }
  for (int round = 0; round < 20; ++round) {
    View view;
    view.Receive(abridged, IdOf(3));
    REQUIRE(view.m_fleet.Find(IdOf(2)) == nullptr);
    peer.m_fleet.Merge(view.m_fleet.NextMessage(view.m_random), IdOf(0));
    view.m_fleet.Merge(peer.m_fleet.NextMessage(peer.m_random), IdOf(1));
    CHECK(view.m_fleet.Find(IdOf(2)) != nullptr);
  }
}

TEST_CASE("messages ask for a complete record until it arrives")
{
  constexpr std::uint64_t kSequence = 100;
  View view;
  const auto requested = [&] {
    return view.m_fleet.NextMessage(view.m_random).front().m_membersToIntroduce;
  };
  view.Receive(Record(2, 1, kSequence), IdOf(2));
  FleetMember later = Record(2, 2, kSequence);
  later.m_region = RegionId();
  view.Receive(later, IdOf(3));
  CHECK(requested() == std::vector{ IdOf(2) });
  CHECK(requested() == std::vector{ IdOf(2) });
  view.Receive(Record(2, 2, kSequence + 1), IdOf(3));
  CHECK(requested().empty());

  later.m_id = IdOf(4);
  view.Receive(later, IdOf(3));
  view.m_clock.Advance(seconds(4));
  view.Receive(Record(2, 2, kSequence + 2), IdOf(3));
  CHECK(requested().empty());
}

TEST_CASE("a view without messages settles after the isolation timeout")
{
  View view;
  view.m_fleet.SetSeeds({ AddressOf(2) });
  view.m_clock.Advance(milliseconds(9'900));
  CHECK_FALSE(view.m_fleet.HasSettled());
  view.m_clock.Advance(milliseconds(100));
  CHECK(view.m_fleet.HasSettled());
}

TEST_CASE("an instance without other seeds settles after the settling time")
{
  View view;
  view.m_fleet.SetSeeds({ AddressOf(0) });
  CHECK_FALSE(view.m_fleet.HasSettled());
  view.m_clock.Advance(seconds(1));
  CHECK(view.m_fleet.HasSettled());
}

TEST_CASE("the smaller part of a divided region uses its part of the limits")
{
  View view;
  view.m_fleet.Merge(MessageNaming({ 2, 4, 6, 8 }), IdOf(2));
  CHECK(view.m_fleet.ShareOfRegion().m_peers.size() == 4);
  view.m_clock.Advance(seconds(10));
  view.m_fleet.Merge(MessageNaming({ 2, 4 }, 2), IdOf(2));
  CHECK(view.m_fleet.ShareOfRegion().m_peers.size() == 2);
  CHECK(view.m_fleet.ShareOfRegion().m_fraction == 1);
  view.m_clock.Advance(seconds(10));
  view.m_fleet.Merge(MessageNaming({ 2 }, 3), IdOf(2));
  CHECK(view.m_fleet.ShareOfRegion().m_peers.size() == 1);
  CHECK(view.m_fleet.ShareOfRegion().m_fraction == Approx(0.4));
}

TEST_CASE(
  "members that were not seen for the partition time count as gone while "
  "another member is live")
{
  View view;
  view.m_fleet.Merge(MessageNaming({ 2, 4, 6, 8 }), IdOf(2));
  view.m_clock.Advance(seconds(30));
  view.m_fleet.Merge(MessageNaming({ 2 }, 2), IdOf(2));
  CHECK(view.m_fleet.ShareOfRegion().m_fraction == Approx(0.4));
  CHECK(view.m_fleet.ShareOfRegion(seconds(10)).m_fraction == 1);
  view.m_clock.Advance(seconds(30));
  CHECK(view.m_fleet.ShareOfRegion(seconds(10)).m_fraction == Approx(0.2));
}

} // namespace
} // namespace rattanweir
