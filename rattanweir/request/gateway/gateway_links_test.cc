#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/gateway_admission.h"
#include "rattanweir/request/gateway/server_links.h"
#include "testing/gateway_fixture/gateway_fixture.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

constexpr const char* kNorthPeer = "10.1.0.9:10";
constexpr const char* kOtherNorthPeer = "10.1.0.9:11";
const PoolId kPlain("plain");

void
AddPeer(GatewayFixture& aFixture,
        const char* aId,
        const char* aRegion,
        const char* aAddress)
{
  FleetMember peer{ .m_id = InstanceId(aId),
                    .m_incarnation = Incarnation(1),
                    .m_sequence = 1,
                    .m_region = RegionId(aRegion),
                    .m_peerAddress = ParseEndpoint(aAddress),
                    .m_isReady = true };
  peer.m_pools[kPlain] = {};
  aFixture.m_fleet.Merge(std::span(&peer, 1), peer.m_id);
}

void
LoseLinks(GatewayFixture& aFixture)
{
  aFixture.m_reach.TakeDueProbes(ServersToReach(aFixture.m_state));
  for (const Endpoint& server : ServersToReach(aFixture.m_state)) {
    RecordConnection(aFixture.m_state, server, false);
  }
  REQUIRE(aFixture.m_reach.HasLostLinks());
}

ScriptedResponse
PeerRefusal(const char* aCode)
{
  return { .m_status = 503,
           .m_headers = { { kHopResultField, aCode },
                          { kHopRanField, "no" } } };
}

TEST_CASE("an instance without links sends requests through a peer of its "
          "region")
{
  GatewayFixture fixture;
  AddPeer(fixture, "north-2", "north", kNorthPeer);
  LoseLinks(fixture);
  fixture.Script(kNorthPeer, SealedResponse("n"));
  const Outcome& outcome = fixture.SendRequest({ .m_target = "/write/1" });
  CHECK(outcome.m_code == ResultCode::Ok);
  CHECK(fixture.SentTo(kNorthPeer) == 1);
  CHECK(fixture.m_upstream.m_sent.size() == 1);
  CHECK(fixture.SentField(0, kHopFromField) == "north-1");
  CHECK(fixture.SentField(0, kHopPoolField) == "plain");
}

TEST_CASE("a peer that reaches no server either is not asked again until it "
          "says otherwise")
{
  GatewayFixture fixture;
  AddPeer(fixture, "north-2", "north", kNorthPeer);
  LoseLinks(fixture);
  fixture.Script(kNorthPeer, PeerRefusal("306"));
  fixture.Script(kSouthPeer, SealedResponse("s"));
  CHECK(fixture.SendRequest({ .m_target = "/write/1" }).m_code ==
        ResultCode::Ok);
  CHECK(fixture.SentTo(kNorthPeer) == 1);
  CHECK(fixture.m_fleet.IsLive(InstanceId("north-2")));

  fixture.Script(kSouthPeer, SealedResponse("s"));
  fixture.SendRequest({ .m_target = "/write/1" });
  CHECK(fixture.SentTo(kNorthPeer) == 1);

  AddPeer(fixture, "north-3", "north", kOtherNorthPeer);
  fixture.Script(kOtherNorthPeer, SealedResponse("n"));
  fixture.SendRequest({ .m_target = "/write/1" });
  CHECK(fixture.SentTo(kOtherNorthPeer) == 1);
}

TEST_CASE("a peer that reports a failed connection to its server is not taken "
          "for unreachable")
{
  GatewayFixture fixture;
  fixture.Script(kSouthPeer, PeerRefusal("400"));
  fixture.SendRequest({ .m_target = "/south/1" });
  CHECK(fixture.SentTo(kSouthPeer) == 1);
  CHECK(fixture.m_fleet.IsLive(InstanceId("south-1")));
}

TEST_CASE("a forwarded request is refused by an instance without links, with "
          "the reason")
{
  GatewayFixture fixture;
  AddPeer(fixture, "north-2", "north", kNorthPeer);
  LoseLinks(fixture);
  const Outcome& outcome =
    fixture.SendPeerRequest({ .m_target = "/write/1" },
                            { { kHopFromField, "south-1" },
                              { kHopAccountField, "anna" },
                              { kHopPoolField, "plain" },
                              { kHopTimeLeftField, "3000" } });
  CHECK(outcome.m_code == ResultCode::ServersUnreachable);
  CHECK(outcome.m_ran == Ran::No);
  CHECK(fixture.m_upstream.m_sent.empty());
}

TEST_CASE("what was written and may run once is not sent again through a peer")
{
  GatewayFixture fixture;
  AddPeer(fixture, "north-2", "north", kNorthPeer);
  fixture.ScriptAll({ .m_kind = ResponseKind::Resets });
  const Outcome& outcome = fixture.SendRequest({ .m_target = "/write/1" });
  CHECK(outcome.m_ran == Ran::Maybe);
  CHECK(fixture.SentTo(kNorthPeer) == 0);
}

TEST_CASE("connections that are never made do not use up a request's attempts")
{
  GatewayFixture fixture;
  AddPeer(fixture, "north-2", "north", kNorthPeer);
  AddPeer(fixture, "north-3", "north", kOtherNorthPeer);
  LoseLinks(fixture);
  for (const char* peer : { kNorthPeer, kOtherNorthPeer }) {
    fixture.Script(peer, { .m_kind = ResponseKind::ConnectFails });
  }
  fixture.Script(kSouthPeer, NotRunResponse());
  fixture.SendRequest({ .m_target = "/write/1" });
  CHECK(fixture.SentTo(kSouthPeer) == 1);
}

TEST_CASE("links that are back end the ejections and refusals of before")
{
  GatewayFixture fixture;
  fixture.ScriptAll({ .m_kind = ResponseKind::RefusesConnection }, 4);
  fixture.SendRequest({ .m_target = "/write/1" });
  LoseLinks(fixture);
  RecordConnection(fixture.m_state, ParseEndpoint(kServerOne), true);
  const RegisteredServer* server =
    fixture.m_registry.Find(BackendServerId("s2@1"));
  REQUIRE(server != nullptr);
  CHECK(server->m_coldUntil <= fixture.m_clock.SteadyNow());
  CHECK_FALSE(fixture.m_backends.StateOf(server->m_incarnation).m_ejectedUntil);
}

} // namespace
} // namespace rattanweir
