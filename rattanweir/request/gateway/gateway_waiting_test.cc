#include "rattanweir/base/asio/asio.h"

#include "testing/gateway_fixture/gateway_fixture.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GatewayTestRequest kTalk{ .m_method = "POST", .m_target = "/talk/1" };
const GatewayTestRequest kRead{ .m_target = "/read/1" };

TEST_CASE("a prompt's beginning is copied once its engine is far behind")
{
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  fixture.ScriptAll({ .m_kind = ResponseKind::Holds }, 16);
  GatewayTestRequest query = kTalk;
  query.m_headers = { { "guide", "trips" } };
  fixture.Start(query);
  fixture.Start(query);
  const std::string home = fixture.SentField(0, "server");
  CHECK(fixture.SentField(1, "server") == home);
  // Answers there begin late; a request holds out for it, then goes elsewhere.
  fixture.m_backends.ObserveStartDelay(BackendServerId(home + "@1"),
                                       seconds(3));
  fixture.Start(query);
  CHECK(fixture.m_upstream.m_sent.size() == 2);
  fixture.Advance(milliseconds(260));
  REQUIRE(fixture.m_upstream.m_sent.size() == 3);
  CHECK(fixture.SentField(2, "server") != home);
  CHECK(fixture.SentField(2, "copy-from") ==
        (home == "e1" ? kEngineA : kEngineB));
}

TEST_CASE("a beginning that is not known here is asked for in another region")
{
  GatewayFixture fixture;
  fixture.ScriptAll(SealedStream(0, 2), 4);
  GatewayTestRequest query = kTalk;
  query.m_headers = { { "guide", "trips" } };
  fixture.Ask(query);
  CHECK(fixture.SentField(0, "copy-from") == kSouthEngine);
  // Now this instance knows where it is.
  fixture.Ask(query);
  CHECK(fixture.SentField(1, "server") == fixture.SentField(0, "server"));
  CHECK(fixture.SentField(1, "copy-from").empty());
}

TEST_CASE("requests wait while servers are full, and are refused in time")
{
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  fixture.ScriptAll({ .m_kind = ResponseKind::Holds }, 64);
  // Two servers take 4 at once each and queue 12.
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

TEST_CASE("after its start an instance holds requests until it knows servers")
{
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  fixture.m_registry.KeepOnly({}, Removal::Published);
  fixture.m_state.m_isDiscovering = true;
  Outcome& waiting = fixture.Start(kRead);
  CHECK_FALSE(waiting.m_isDone);
  fixture.m_registry.Put(fixture.RecordOf("s1"));
  fixture.Script(kServerOne, Sealed("x"));
  fixture.Advance(milliseconds(50));
  CHECK(waiting.m_code == ResultCode::Ok);
  // Not for longer than its answer could still be on time.
  fixture.m_registry.KeepOnly({}, Removal::Published);
  Outcome& refused = fixture.Start(kRead);
  fixture.Advance(milliseconds(350));
  CHECK(refused.m_isDone);
  CHECK(refused.m_ran == Ran::No);
}

TEST_CASE("a waiting request is sent as soon as a server has room")
{
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  ScriptedResponse held = Sealed("x");
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
