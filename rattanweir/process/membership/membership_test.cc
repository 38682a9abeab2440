#include "rattanweir/process/membership/membership.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

#include <functional>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

const RegionId kRegion("ostland");

InstanceRecord
Record(const std::string& aId)
{
  return { .m_id = InstanceId(aId), .m_region = kRegion };
}

Heartbeat
Beat(const std::string& aId, std::uint64_t aSequence)
{
  return { .m_from = InstanceId(aId),
           .m_incarnation = Incarnation(1),
           .m_sequence = aSequence,
           .m_isReady = true };
}

struct Fixture
{
  Fixture()
  {
    m_membership.ApplyList({ Record("self"), Record("peer") });
    m_membership.ApplyHeartbeat(Beat("peer", 5));
  }

  bool HasUsablePeer() const
  {
    return !m_membership.UsablePeersIn(kRegion).empty();
  }

  ManualClock m_clock;
  Membership m_membership{ { .m_clock = m_clock,
                             .m_self = InstanceId("self") } };
};

TEST_CASE("a listed peer with a fresh heartbeat is usable, itself is not")
{
  const Fixture fixture;
  REQUIRE(fixture.HasUsablePeer());
  REQUIRE(fixture.m_membership.Peers().size() == 1);
  REQUIRE(fixture.m_membership.Self()->m_id == InstanceId("self"));
}

TEST_CASE("each sign of leaving or loss ends the use of a peer")
{
  struct Case
  {
    const char* m_name;
    std::function<void(Fixture&)> m_event;
  };
  const Case cases[] = {
    { "listed as leaving",
      [](Fixture& aFixture) {
        InstanceRecord record = Record("peer");
        record.m_isDraining = true;
        aFixture.m_membership.ApplyList({ Record("self"), record });
      } },
    { "not listed any more",
      [](Fixture& aFixture) {
        aFixture.m_membership.ApplyList({ Record("self") });
      } },
    { "draining",
      [](Fixture& aFixture) {
        Heartbeat beat = Beat("peer", 6);
        beat.m_isDraining = true;
        aFixture.m_membership.ApplyHeartbeat(beat);
      } },
    { "not ready",
      [](Fixture& aFixture) {
        Heartbeat beat = Beat("peer", 6);
        beat.m_isReady = false;
        aFixture.m_membership.ApplyHeartbeat(beat);
      } },
    { "silent", [](Fixture& aFixture) { aFixture.m_clock.Advance(5s); } },
    { "connection failed",
      [](Fixture& aFixture) {
        aFixture.m_membership.MarkUnreachable(InstanceId("peer"));
      } },
  };
  for (const Case& example : cases) {
    CAPTURE(example.m_name);
    Fixture fixture;
    REQUIRE(fixture.HasUsablePeer());
    example.m_event(fixture);
    REQUIRE_FALSE(fixture.HasUsablePeer());
  }
}

TEST_CASE("a heartbeat never adds an instance that the list has not")
{
  Fixture fixture;
  REQUIRE_FALSE(fixture.m_membership.ApplyHeartbeat(Beat("stranger", 1)));
  REQUIRE_FALSE(fixture.m_membership.ApplyHeartbeat(Beat("self", 1)));
  REQUIRE_FALSE(fixture.m_membership.Find(InstanceId("stranger")));
}

TEST_CASE("an older heartbeat of the same incarnation is not taken")
{
  Fixture fixture;
  REQUIRE_FALSE(fixture.m_membership.ApplyHeartbeat(Beat("peer", 5)));
  REQUIRE_FALSE(fixture.m_membership.ApplyHeartbeat(Beat("peer", 4)));
  Heartbeat replacement = Beat("peer", 1);
  replacement.m_incarnation = Incarnation(2);
  REQUIRE(fixture.m_membership.ApplyHeartbeat(replacement));
}

TEST_CASE("an unreachable peer is used again after its next heartbeat")
{
  Fixture fixture;
  fixture.m_membership.MarkUnreachable(InstanceId("peer"));
  REQUIRE(fixture.m_membership.ApplyHeartbeat(Beat("peer", 6)));
  REQUIRE(fixture.HasUsablePeer());
}

} // namespace
} // namespace rattanweir
