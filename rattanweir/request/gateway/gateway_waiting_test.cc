#include "rattanweir/base/asio/asio.h"

#include "testing/gateway_fixture/gateway_fixture.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GatewayTestRequest kTalkRequest{ .m_method = "POST",
                                       .m_target = "/talk/1" };
const GatewayTestRequest kRead{ .m_target = "/read/1" };

TEST_CASE("a prompt prefix is copied to another engine once its engine is slow")
{
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  fixture.ScriptAll({ .m_kind = ResponseKind::Holds }, 16);
  GatewayTestRequest query = kTalkRequest;
  query.m_headers = { { "guide", "trips" } };
  fixture.Start(query);
  fixture.Start(query);
  const std::string prefixEngine = fixture.SentField(0, "server");
  CHECK(fixture.SentField(1, "server") == prefixEngine);
  // Responses of that engine start 3 s late. The next request first waits for
  // the engine, then is sent to the other one.
  fixture.m_backends.ObserveStartDelay(BackendServerId(prefixEngine + "@1"),
                                       seconds(3));
  fixture.Start(query);
  CHECK(fixture.m_upstream.m_sent.size() == 2);
  fixture.Advance(milliseconds(260));
  REQUIRE(fixture.m_upstream.m_sent.size() == 3);
  CHECK(fixture.SentField(2, "server") != prefixEngine);
  CHECK(fixture.SentField(2, "copy-from") ==
        (prefixEngine == "e1" ? kEngineA : kEngineB));
}

TEST_CASE(
  "a prompt prefix that is unknown locally is copied from another region")
{
  GatewayFixture fixture;
  fixture.ScriptAll(SealedStream(0, 2), 4);
  GatewayTestRequest query = kTalkRequest;
  query.m_headers = { { "guide", "trips" } };
  fixture.SendRequest(query);
  CHECK(fixture.SentField(0, "copy-from") == kSouthEngine);
  // This instance now knows which local engine has the prefix.
  fixture.SendRequest(query);
  CHECK(fixture.SentField(1, "server") == fixture.SentField(0, "server"));
  CHECK(fixture.SentField(1, "copy-from").empty());
}

TEST_CASE("requests wait while servers are at capacity, and are then refused")
{
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  fixture.ScriptAll({ .m_kind = ResponseKind::Holds }, 64);
  // Each of the two servers processes 4 requests concurrently and queues 12.
  for (int request = 0; request < 32; ++request) {
    fixture.Start(kRead);
  }
  Outcome& waiting = fixture.Start(kRead);
  CHECK_FALSE(waiting.m_isDone);
  CHECK(fixture.m_upstream.m_sent.size() == 32);
  fixture.Advance(milliseconds(350));
  REQUIRE(waiting.m_isDone);
  CHECK(waiting.m_code == ResultCode::TooManyRequests);
  CHECK(waiting.m_ran == Ran::No);
  CHECK(waiting.m_retryAfter);
}

TEST_CASE("a starting instance queues requests until it knows a server")
{
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  fixture.m_registry.KeepOnly({}, RemovalReason::Published);
  fixture.m_state.m_isDiscovering = true;
  Outcome& waiting = fixture.Start(kRead);
  CHECK_FALSE(waiting.m_isDone);
  fixture.m_registry.Put(fixture.RecordOf("s1"));
  fixture.Script(kServerOne, SealedResponse("x"));
  fixture.Advance(milliseconds(50));
  CHECK(waiting.m_code == ResultCode::Ok);
  // A request waits only as long as its response could still meet the latency
  // objective.
  fixture.m_registry.KeepOnly({}, RemovalReason::Published);
  Outcome& refused = fixture.Start(kRead);
  fixture.Advance(milliseconds(350));
  CHECK(refused.m_isDone);
  CHECK(refused.m_ran == Ran::No);
}

TEST_CASE("a waiting request is sent as soon as a server has a free slot")
{
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  ScriptedResponse held = SealedResponse("x");
  held.m_kind = ResponseKind::Holds;
  fixture.ScriptAll(held, 64);
  for (int request = 0; request < 32; ++request) {
    fixture.Start(kRead);
  }
  Outcome& waiting = fixture.Start(kRead);
  fixture.m_upstream.ReleaseHeld();
  fixture.Advance(milliseconds(50));
  CHECK(fixture.m_upstream.m_sent.size() == 33);
  fixture.m_upstream.ReleaseHeld();
  fixture.Advance(milliseconds(50));
  CHECK(waiting.m_code == ResultCode::Ok);
}

} // namespace
} // namespace rattanweir
