#include "rattanweir/base/asio/asio.h"

#include "testing/gateway_fixture/gateway_fixture.h"

#include <catch2/catch.hpp>

#include <string>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GatewayTestRequest kRead{ .m_target = "/read/1" };
const BackendServerId kFirst("s1@1");

ScriptedResponse
PauseResponse(milliseconds aPause, ScriptedResponse aResponse)
{
  aResponse.m_headers.push_back({ "pause-ms", std::to_string(aPause.count()) });
  return aResponse;
}

struct Fixture : GatewayFixture
{
  explicit Fixture(bool aHasSecondServer = true)
  {
    m_fleet.MarkUnreachable(InstanceId("south-1"));
    if (!aHasSecondServer) {
      m_registry.Remove(BackendServerId("s2"), RemovalReason::Published);
    }
    ScriptAll(SealedResponse("x"), 2'000);
  }

  // Lets the first server turn one request away.
  void TurnAway(milliseconds aPause,
                const ScriptedResponse& aResponse = NotRunResponse())
  {
    m_upstream.m_scripts[kServerOne].push_front(
      PauseResponse(aPause, aResponse));
    const std::size_t before = SentTo(kServerOne);
    while (SentTo(kServerOne) == before) {
      Start(kRead);
      Advance(milliseconds(25));
    }
  }

  // Returns how many requests reach the first server.
  std::size_t SendFor(milliseconds aDuration)
  {
    const std::size_t before = SentTo(kServerOne);
    for (milliseconds passed{}; passed < aDuration;
         passed += milliseconds(25)) {
      Start(kRead);
      Start(kRead);
      Advance(milliseconds(25));
    }
    return SentTo(kServerOne) - before;
  }
};

TEST_CASE("a server that asks for a pause gets no request until its end")
{
  for (const ScriptedResponse& response :
       { NotRunResponse(), SealedResponse("busy", 503) }) {
    Fixture fixture;
    fixture.TurnAway(seconds(3), response);
    CHECK(fixture.SendFor(milliseconds(2'900)) == 0);
    CHECK(fixture.SendFor(seconds(2)) > 0);
  }
}

TEST_CASE("a later success or a shorter pause does not end a pause")
{
  Fixture fixture;
  ScriptedResponse held = SealedResponse("x");
  held.m_kind = ResponseKind::Holds;
  ScriptedResponse heldPause =
    PauseResponse(milliseconds(100), NotRunResponse());
  heldPause.m_kind = ResponseKind::Holds;
  fixture.m_upstream.m_scripts[kServerOne].push_front(held);
  fixture.m_upstream.m_scripts[kServerOne].push_front(heldPause);
  while (fixture.SentTo(kServerOne) < 2) {
    fixture.Start(kRead);
  }
  fixture.TurnAway(seconds(3));
  fixture.m_upstream.ReleaseHeld();
  CHECK(fixture.SendFor(milliseconds(2'800)) == 0);
}

TEST_CASE("after a pause one request at a time asks whether the server takes "
          "requests again")
{
  Fixture fixture(false);
  fixture.TurnAway(seconds(1));
  fixture.Advance(milliseconds(2'100));
  ScriptedResponse held = SealedResponse("x");
  held.m_kind = ResponseKind::Holds;
  fixture.m_upstream.m_scripts[kServerOne].push_front(held);
  const std::size_t before = fixture.SentTo(kServerOne);
  for (int request = 0; request < 10; ++request) {
    fixture.Start(kRead);
  }
  CHECK(fixture.SentTo(kServerOne) - before == 1);
  fixture.m_upstream.ReleaseHeld();
  fixture.Advance(milliseconds(100));
  CHECK(fixture.SentTo(kServerOne) - before == 10);
}

TEST_CASE("a pause says nothing about the health of a server")
{
  Fixture fixture(false);
  for (int turn = 0; turn < 5; ++turn) {
    fixture.TurnAway(milliseconds(100), SealedResponse("busy", 503));
    fixture.Advance(milliseconds(250));
  }
  const BackendState state = fixture.m_backends.StateOf(kFirst);
  CHECK_FALSE(state.m_ejectedUntil);
  CHECK(state.m_failureRate == 0);
}

TEST_CASE("a very long pause ends within about a minute")
{
  Fixture fixture;
  fixture.TurnAway(std::chrono::hours(24));
  CHECK(fixture.m_backends.StateOf(kFirst).m_pausedUntil);
  fixture.Advance(seconds(62));
  CHECK(fixture.SendFor(seconds(1)) > 0);
}

TEST_CASE("the next incarnation of a server is not paused")
{
  Fixture fixture(false);
  fixture.TurnAway(seconds(30));
  ServerRecord next = fixture.RecordOf("s1");
  next.m_startedAtMs = 2;
  fixture.m_registry.Put(next);
  CHECK(fixture.SendRequest(kRead).m_code == ResultCode::Ok);
}

TEST_CASE("if all servers are paused, a request is refused at once with the "
          "time until the first takes requests again")
{
  Fixture fixture;
  for (const char* endpoint : { kServerOne, kServerTwo }) {
    fixture.m_upstream.m_scripts[endpoint].push_front(
      PauseResponse(seconds(3), NotRunResponse()));
  }
  for (int request = 0; request < 2; ++request) {
    const Outcome& refused = fixture.SendRequest(kRead);
    CHECK(refused.m_code != ResultCode::Ok);
    CHECK(refused.m_ran == Ran::No);
    REQUIRE(refused.m_retryAfter);
    CHECK(*refused.m_retryAfter >= milliseconds(2'900));
    CHECK(*refused.m_retryAfter <= seconds(4));
  }
  CHECK(fixture.m_upstream.m_sent.size() == 2);
  fixture.Advance(seconds(4));
  CHECK(fixture.SendRequest(kRead).m_code == ResultCode::Ok);
}

} // namespace
} // namespace rattanweir
