#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/gateway/gateway_admission.h"
#include "testing/gateway_fixture/gateway_fixture.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GatewayTestRequest kRead{ .m_target = "/read/1" };
const GatewayTestRequest kStream{ .m_method = "POST", .m_target = "/stream/1" };
const HeaderFields kFromSouth = { { kHopFromField, "south-1" },
                                  { kHopAccountField, "anna" },
                                  { kHopPoolField, "plain" },
                                  { kHopTimeLeftField, "900" } };

ScriptedResponse
LeavingResponse(ScriptedResponse aResponse)
{
  aResponse.m_headers.push_back({ "leaving", "1" });
  return aResponse;
}

// Sends requests in steps for a while, and returns how many of them reached
// the endpoint.
std::size_t
SendFor(GatewayFixture& aFixture,
        const GatewayTestRequest& aRequest,
        const char* aEndpoint,
        milliseconds aDuration)
{
  constexpr milliseconds kStep{ 25 };
  const std::size_t before = aFixture.SentTo(aEndpoint);
  for (milliseconds passed{}; passed < aDuration; passed += kStep) {
    aFixture.Start(aRequest);
    aFixture.Advance(kStep);
  }
  return aFixture.SentTo(aEndpoint) - before;
}

// Lets the server send one response that says that it is draining, and would
// let it send successful ones after that.
void
ReceiveLeaving(GatewayFixture& aFixture,
               const GatewayTestRequest& aRequest,
               const char* aEndpoint,
               const ScriptedResponse& aResponse)
{
  aFixture.m_upstream.m_scripts[aEndpoint] = { LeavingResponse(aResponse) };
  for (int response = 0; response < 200; ++response) {
    aFixture.Script(aEndpoint, SealedStream(0, 2));
  }
  const std::size_t before = aFixture.SentTo(aEndpoint);
  while (aFixture.SentTo(aEndpoint) == before) {
    aFixture.Start(aRequest);
    aFixture.Advance(milliseconds(25));
  }
}

TEST_CASE("a server gets no request after a response that says that it leaves")
{
  struct Row
  {
    const char* m_name;
    const GatewayTestRequest& m_request;
    const char* m_endpoint;
    ScriptedResponse m_response;
  };
  const Row rows[] = {
    { "success", kRead, kServerOne, SealedResponse("x") },
    { "failure", kRead, kServerOne, SealedResponse("x", 500) },
    { "refusal", kRead, kServerOne, NotRunResponse() },
    { "response of another request",
      kRead,
      kServerOne,
      { .m_headers = { { "seal", "s" }, { "id", "late" } } } },
    { "response without a seal", kRead, kServerOne, {} },
    { "truncated response",
      kRead,
      kServerOne,
      { .m_headers = { { "seal", "s" } }, .m_isComplete = false } },
    { "stream", kStream, kEngineA, SealedStream(0, 3) },
    { "truncated stream", kStream, kEngineA, SealedStream(0, 1, false) },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    GatewayFixture fixture;
    fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
    fixture.ScriptAll(SealedStream(0, 2), 200);
    ReceiveLeaving(fixture, row.m_request, row.m_endpoint, row.m_response);
    CHECK(SendFor(fixture, row.m_request, row.m_endpoint, seconds(4)) == 0);
  }
}

TEST_CASE("the head of a stream that is still running says that its server "
          "leaves")
{
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  ScriptedResponse open = LeavingResponse(SealedStream(0, 1));
  open.m_holdsAfterPieces = true;
  fixture.Script(kEngineA, open);
  fixture.ScriptAll(SealedStream(0, 2), 200);
  while (fixture.SentTo(kEngineA) == 0) {
    fixture.Start(kStream);
  }
  CHECK(SendFor(fixture, kStream, kEngineA, seconds(1)) == 0);
}

TEST_CASE("a later response, an older copy of the entry or a removal does not "
          "make a server that leaves usable again")
{
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  fixture.ScriptAll(SealedResponse("x"), 500);
  ScriptedResponse held = SealedResponse("x");
  held.m_kind = ResponseKind::Holds;
  fixture.m_upstream.m_scripts[kServerOne] = { held };
  while (fixture.SentTo(kServerOne) == 0) {
    fixture.Start(kRead);
  }
  ReceiveLeaving(fixture, kRead, kServerOne, SealedResponse("x"));
  fixture.m_upstream.ReleaseHeld();
  const auto sentTo = [&] {
    return SendFor(fixture, kRead, kServerOne, milliseconds(500));
  };
  CHECK(sentTo() == 0);
  fixture.m_registry.Put(fixture.RecordOf("s1"), RecordOrigin::Restored);
  CHECK(sentTo() == 0);
  fixture.m_registry.Put(fixture.RecordOf("s1"));
  CHECK(sentTo() == 0);
  fixture.m_registry.Remove(BackendServerId("s1"), RemovalReason::Published);
  fixture.m_registry.Put(fixture.RecordOf("s1"));
  CHECK(sentTo() == 0);
  fixture.m_registry.Remove(BackendServerId("s1"), RemovalReason::Lapsed);
  fixture.Advance(seconds(3));
  fixture.m_registry.Tick();
  fixture.m_registry.Put(fixture.RecordOf("s1"));
  CHECK(sentTo() == 0);
  ServerRecord next = fixture.RecordOf("s1");
  next.m_startedAtMs = 2;
  fixture.m_registry.Put(next);
  CHECK(sentTo() > 0);
  fixture.m_registry.Put(fixture.RecordOf("s1"), RecordOrigin::Restored);
  fixture.Advance(seconds(5));
  fixture.m_registry.Tick();
  CHECK(sentTo() == 0);
}

TEST_CASE("a request that waits is not sent to a server that leaves meanwhile")
{
  constexpr std::size_t kServerCapacity = 16;
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  ScriptedResponse held = SealedResponse("x");
  held.m_kind = ResponseKind::Holds;
  for (std::size_t request = 0; request < kServerCapacity; ++request) {
    fixture.Script(kServerOne, LeavingResponse(held));
    fixture.Script(kServerTwo, held);
  }
  while (fixture.m_upstream.m_sent.size() < 2 * kServerCapacity) {
    fixture.Start(kRead);
  }
  const Outcome& waiting = fixture.Start(kRead);
  REQUIRE_FALSE(waiting.m_isDone);
  fixture.Script(kServerTwo, SealedResponse("other"));
  fixture.m_upstream.ReleaseHeld();
  fixture.Advance(milliseconds(100));
  CHECK(fixture.SentTo(kServerOne) == kServerCapacity);
  CHECK(waiting.m_body == "other");
}

TEST_CASE("a server that leaves gets no request that a peer forwards")
{
  GatewayFixture fixture;
  fixture.Script(kServerOne, LeavingResponse(SealedResponse("x")));
  fixture.ScriptAll(SealedResponse("x"), 50);
  while (fixture.SentTo(kServerOne) == 0) {
    fixture.SendPeerRequest(kRead, kFromSouth);
  }
  for (int request = 0; request < 20; ++request) {
    fixture.SendPeerRequest(kRead, kFromSouth);
  }
  CHECK(fixture.SentTo(kServerOne) == 1);
}

TEST_CASE("what a peer says of its leaving servers is known and told to others")
{
  GatewayFixture fixture;
  ScriptedResponse forwarded = SealedResponse("x");
  forwarded.m_headers.push_back({ kHopDrainingField, "t1@1" });
  fixture.Script(kSouthPeer, forwarded);
  fixture.Script(kSouthPeer, SealedResponse("y"));
  const GatewayTestRequest southOnly{ .m_target = "/south/1" };
  const Outcome& first = fixture.SendRequest(southOnly);
  CHECK(FindHeader(first.m_head->m_headers, kHopDrainingField) == nullptr);
  CHECK(fixture.m_registry.IsReportedDraining(BackendServerId("t1@1")));
  ServerRecord other = fixture.RecordOf("t1");
  other.m_id = BackendServerId("t3");
  fixture.m_registry.Put(other);
  fixture.SendRequest(southOnly);
  CHECK(fixture.SentField(1, kHopDrainingField) == "t1@1");
}

TEST_CASE("a peer that forwards a request says which servers leave")
{
  GatewayFixture fixture;
  fixture.ScriptAll(SealedResponse("x"), 50);
  HeaderFields hop = kFromSouth;
  hop.push_back({ kHopDrainingField, "s1@1" });
  fixture.SendPeerRequest(kRead, hop);
  for (int request = 0; request < 20; ++request) {
    fixture.SendRequest(kRead);
  }
  CHECK(fixture.SentTo(kServerOne) == 0);
  CHECK(fixture.m_registry.DrainingToAdvertise() ==
        std::set<BackendServerId>{ BackendServerId("s1@1") });
}

TEST_CASE("without another server, what a leaving one would get is refused at "
          "once as not run")
{
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  fixture.m_registry.Remove(BackendServerId("s2"), RemovalReason::Published);
  ReceiveLeaving(fixture, kRead, kServerOne, SealedResponse("x"));
  const Outcome& refused = fixture.SendRequest(kRead);
  CHECK(refused.m_code == ResultCode::NoBackendServer);
  CHECK(refused.m_ran == Ran::No);
  REQUIRE(refused.m_retryAfter);
  CHECK(*refused.m_retryAfter <= seconds(1));
}

} // namespace
} // namespace rattanweir
