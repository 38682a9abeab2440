#include "rattanweir/base/asio/asio.h"

#include "testing/gateway_world/gateway_world.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GatewayQuestion kTalk{ .m_method = "POST", .m_target = "/talk/1" };
const GatewayQuestion kRead{ .m_target = "/read/1" };

TEST_CASE("a prompt's beginning is copied once its engine is far behind")
{
  GatewayWorld world;
  world.m_fleet.MarkUnreachable(InstanceId("south-1"));
  world.ScriptAll({ .m_kind = AnswerKind::Holds }, 16);
  GatewayQuestion question = kTalk;
  question.m_headers = { { "guide", "trips" } };
  world.Start(question);
  world.Start(question);
  const std::string home = world.SentField(0, "server");
  CHECK(world.SentField(1, "server") == home);
  // Answers there begin late; a request holds out for it, then goes elsewhere.
  world.m_backends.ObserveStartDelay(BackendServerId(home + "@1"), seconds(3));
  world.Start(question);
  CHECK(world.m_upstream.m_sent.size() == 2);
  world.Advance(milliseconds(260));
  REQUIRE(world.m_upstream.m_sent.size() == 3);
  CHECK(world.SentField(2, "server") != home);
  CHECK(world.SentField(2, "copy-from") ==
        (home == "e1" ? kEngineA : kEngineB));
}

TEST_CASE("a beginning that is not known here is asked for in another region")
{
  GatewayWorld world;
  world.ScriptAll(SealedStream(0, 2), 4);
  GatewayQuestion question = kTalk;
  question.m_headers = { { "guide", "trips" } };
  world.Ask(question);
  CHECK(world.SentField(0, "copy-from") == kSouthEngine);
  // Now this instance knows where it is.
  world.Ask(question);
  CHECK(world.SentField(1, "server") == world.SentField(0, "server"));
  CHECK(world.SentField(1, "copy-from").empty());
}

TEST_CASE("requests wait while servers are full, and are refused in time")
{
  GatewayWorld world;
  world.m_fleet.MarkUnreachable(InstanceId("south-1"));
  world.ScriptAll({ .m_kind = AnswerKind::Holds }, 64);
  // Two servers take 4 at once each and queue 12.
  for (int request = 0; request < 32; ++request) {
    world.Start(kRead);
  }
  Outcome& waiting = world.Start(kRead);
  CHECK_FALSE(waiting.m_isDone);
  CHECK(world.m_upstream.m_sent.size() == 32);
  world.Advance(milliseconds(350));
  REQUIRE(waiting.m_isDone);
  CHECK(waiting.m_code == ResultCode::TooManyRequests);
  CHECK(waiting.m_ran == Ran::No);
  CHECK(waiting.m_comeBackAfter);
}

TEST_CASE("after its start an instance holds requests until it knows servers")
{
  GatewayWorld world;
  world.m_fleet.MarkUnreachable(InstanceId("south-1"));
  world.m_registry.KeepOnly({}, Removal::Published);
  world.m_state.m_learnsMore = true;
  Outcome& waiting = world.Start(kRead);
  CHECK_FALSE(waiting.m_isDone);
  world.m_registry.Put(world.RecordOf("s1"));
  world.Script(kServerOne, Sealed("x"));
  world.Advance(milliseconds(50));
  CHECK(waiting.m_code == ResultCode::Ok);
  // Not for longer than its answer could still be on time.
  world.m_registry.KeepOnly({}, Removal::Published);
  Outcome& refused = world.Start(kRead);
  world.Advance(milliseconds(350));
  CHECK(refused.m_isDone);
  CHECK(refused.m_ran == Ran::No);
}

TEST_CASE("a waiting request is sent as soon as a server has room")
{
  GatewayWorld world;
  world.m_fleet.MarkUnreachable(InstanceId("south-1"));
  ScriptedAnswer held = Sealed("x");
  held.m_kind = AnswerKind::Holds;
  world.ScriptAll(held, 64);
  for (int request = 0; request < 32; ++request) {
    world.Start(kRead);
  }
  Outcome& waiting = world.Start(kRead);
  world.m_upstream.ReleaseHeld();
  world.Advance(milliseconds(50));
  CHECK(world.m_upstream.m_sent.size() == 33);
  world.m_upstream.ReleaseHeld();
  world.Advance(milliseconds(50));
  CHECK(waiting.m_code == ResultCode::Ok);
}

} // namespace
} // namespace rattanweir
