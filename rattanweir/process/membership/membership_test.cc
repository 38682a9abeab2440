#include "rattanweir/process/membership/membership.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

#include <functional>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

const RegionId kRegion("ostland");

InstanceRecord
RecordOf(const std::string& aId)
{
  return { .m_id = InstanceId(aId), .m_region = kRegion };
}

Heartbeat
HeartbeatOf(const std::string& aId, std::uint64_t aSequence)
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
    m_membership.ApplyList({ RecordOf("self"), RecordOf("peer") });
    m_membership.ApplyHeartbeat(HeartbeatOf("peer", 5));
  }

  bool HasUsablePeer() const
  {
    return !m_membership.UsablePeersIn(kRegion).empty();
  }

  ManualClock m_clock;
  Membership m_membership{ { .m_clock = m_clock,
                             .m_self = InstanceId("self") } };
};

TEST_CASE(
  "a listed peer with a recent heartbeat is usable, this instance is not")
{
  const Fixture fixture;
  REQUIRE(fixture.HasUsablePeer());
  REQUIRE(fixture.m_membership.Peers().size() == 1);
  REQUIRE(fixture.m_membership.Self()->m_id == InstanceId("self"));
}

TEST_CASE(
  "a draining, unlisted, unready, stale or unreachable peer is not usable")
{
  struct Case
  {
    const char* m_name;
    std::function<void(Fixture&)> m_event;
  };
  const Case cases[] = {
    { "listed as draining",
      [](Fixture& aFixture) {
        InstanceRecord record = RecordOf("peer");
        record.m_isDraining = true;
        aFixture.m_membership.ApplyList({ RecordOf("self"), record });
      } },
    { "not listed any more",
      [](Fixture& aFixture) {
        aFixture.m_membership.ApplyList({ RecordOf("self") });
      } },
    { "heartbeat reports draining",
      [](Fixture& aFixture) {
        Heartbeat heartbeat = HeartbeatOf("peer", 6);
        heartbeat.m_isDraining = true;
        aFixture.m_membership.ApplyHeartbeat(heartbeat);
      } },
    { "heartbeat reports not ready",
      [](Fixture& aFixture) {
        Heartbeat heartbeat = HeartbeatOf("peer", 6);
        heartbeat.m_isReady = false;
        aFixture.m_membership.ApplyHeartbeat(heartbeat);
      } },
    { "stale", [](Fixture& aFixture) { aFixture.m_clock.Advance(5s); } },
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

TEST_CASE("a heartbeat never adds an instance that is not listed")
{
  Fixture fixture;
  REQUIRE_FALSE(
    fixture.m_membership.ApplyHeartbeat(HeartbeatOf("stranger", 1)));
  REQUIRE_FALSE(fixture.m_membership.ApplyHeartbeat(HeartbeatOf("self", 1)));
  REQUIRE_FALSE(fixture.m_membership.Find(InstanceId("stranger")));
}

TEST_CASE("an older heartbeat of the same incarnation is ignored")
{
  Fixture fixture;
  REQUIRE_FALSE(fixture.m_membership.ApplyHeartbeat(HeartbeatOf("peer", 5)));
  REQUIRE_FALSE(fixture.m_membership.ApplyHeartbeat(HeartbeatOf("peer", 4)));
  Heartbeat replacement = HeartbeatOf("peer", 1);
  replacement.m_incarnation = Incarnation(2);
  REQUIRE(fixture.m_membership.ApplyHeartbeat(replacement));
}

TEST_CASE("an unreachable peer is usable again after its next heartbeat")
{
  Fixture fixture;
  fixture.m_membership.MarkUnreachable(InstanceId("peer"));
  REQUIRE(fixture.m_membership.ApplyHeartbeat(HeartbeatOf("peer", 6)));
  REQUIRE(fixture.HasUsablePeer());
}

} // namespace
} // namespace rattanweir
