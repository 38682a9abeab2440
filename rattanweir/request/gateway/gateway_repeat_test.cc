#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/gateway_admission.h"
#include "testing/gateway_world/gateway_world.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::seconds;

const GatewayQuestion kRead{ .m_target = "/read/1" };
const GatewayQuestion kWrite{ .m_method = "POST", .m_target = "/write/1" };
const GatewayQuestion kStream{ .m_method = "POST", .m_target = "/stream/1" };
const GatewayQuestion kTalk{ .m_method = "POST", .m_target = "/talk/1" };
const GatewayQuestion kSouthOnly{ .m_target = "/south/1" };
const HeaderFields kFromSouth = { { kHopFromField, "south-1" },
                                  { kHopAccountField, "anna" },
                                  { kHopPoolField, "plain" },
                                  { kHopTimeLeftField, "900" } };

TEST_CASE("what a server did not run goes to another one, writes too")
{
  GatewayWorld world;
  world.Script(kServerOne, NotRun());
  world.Script(kServerTwo, NotRun(429));
  world.Script(kSouthPeer, Sealed("done"));
  const Outcome& outcome = world.Ask(kWrite);
  CHECK(outcome.m_code == ResultCode::Ok);
  CHECK(outcome.m_body == "done");
  CHECK(world.m_upstream.m_sent.size() == 3);
}

TEST_CASE("a request that nobody ran is refused as not run")
{
  GatewayWorld world;
  world.ScriptAll(NotRun(), 4);
  world.Script(kSouthPeer,
               { .m_status = 503,
                 .m_headers = { { kHopResultField, "202" },
                                { kHopRanField, "no" },
                                { kHopComeBackField, "250" } } });
  const Outcome& outcome = world.Ask(kWrite);
  CHECK(outcome.m_code != ResultCode::Ok);
  CHECK(outcome.m_ran == Ran::No);
}

TEST_CASE("a write that may have run is never sent again")
{
  struct Row
  {
    const char* m_name;
    ScriptedAnswer m_answer;
    ResultCode m_code;
  };
  const Row rows[] = {
    { "reset", { .m_kind = AnswerKind::Resets }, ResultCode::BackendReset },
    { "broken off",
      { .m_headers = { { "seal", "s" } }, .m_isWhole = false },
      ResultCode::AnswerIncomplete },
    { "not a server's", { .m_pieces = { "x" } }, ResultCode::AnswerMismatch },
    { "deadline",
      { .m_kind = AnswerKind::DeadlinePasses },
      ResultCode::DeadlineExceeded },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    GatewayWorld world;
    world.ScriptAll(row.m_answer);
    const Outcome& outcome = world.Ask(kWrite);
    CHECK(outcome.m_code == row.m_code);
    CHECK(outcome.m_ran == Ran::Maybe);
    CHECK_FALSE(outcome.m_isWhole);
    CHECK(world.m_upstream.m_sent.size() == 1);
  }
}

TEST_CASE("a write is sent on a connection of its own, a read need not be")
{
  GatewayWorld world;
  world.ScriptAll(Sealed("x"), 2);
  world.Ask(kWrite);
  world.Ask(kRead);
  CHECK(world.m_upstream.m_sent[0].m_request.m_needsFreshConnection);
  CHECK_FALSE(world.m_upstream.m_sent[1].m_request.m_needsFreshConnection);
}

TEST_CASE("a read is repeated at another server, as often as its route says")
{
  GatewayWorld world;
  world.ScriptAll({ .m_kind = AnswerKind::Resets });
  world.Script(kSouthPeer, Sealed("late"));
  const Outcome& outcome = world.Ask(kRead);
  CHECK(outcome.m_code == ResultCode::BackendReset);
  CHECK(world.m_upstream.m_sent.size() == 2);
  CHECK(world.SentTo(kServerOne) == 1);
  CHECK(world.SentTo(kServerTwo) == 1);
}

TEST_CASE("a server's own failure is repeated for a read, then passed on")
{
  GatewayWorld world;
  world.ScriptAll(Sealed("broken", 500));
  const Outcome& outcome = world.Ask(kRead);
  CHECK(world.m_upstream.m_sent.size() == 2);
  REQUIRE(outcome.m_head);
  CHECK(outcome.m_head->m_status == 500);
  CHECK(outcome.m_body == "broken");
  GatewayWorld other;
  other.ScriptAll(Sealed("broken", 500));
  const Outcome& write = other.Ask(kWrite);
  CHECK(other.m_upstream.m_sent.size() == 1);
  CHECK(write.m_head->m_status == 500);
}

TEST_CASE("a server that cannot be reached costs no attempt")
{
  GatewayWorld world;
  world.Script(kServerOne, { .m_kind = AnswerKind::ConnectFails });
  world.Script(kServerTwo, { .m_kind = AnswerKind::ConnectFails });
  world.Script(kSouthPeer, Sealed("done"));
  const Outcome& outcome = world.Ask(kWrite);
  CHECK(outcome.m_code == ResultCode::Ok);
  CHECK(world.m_backends.StateOf(BackendServerId("s1@1")).m_ejectedUntil);
}

TEST_CASE("repeats stay within the budget that the fleet shares")
{
  GatewayWorld world;
  world.m_retries.SetFleetSize(20);
  world.ScriptAll({ .m_kind = AnswerKind::Resets }, 40);
  std::size_t asked = 0;
  for (int request = 0; request < 10; ++request) {
    Outcome& outcome = world.Start(kRead);
    ++asked;
    // Ejected servers come back meanwhile.
    world.Advance(seconds(1));
    CHECK(outcome.m_isDone);
  }
  const std::size_t repeats = world.m_upstream.m_sent.size() - asked;
  // Half of the requests, and one twentieth of the twenty extra ones.
  CHECK(repeats <= asked / 2 + 1);
}

TEST_CASE("a request earns retries at its entry instance alone")
{
  GatewayWorld world;
  world.ScriptAll(Sealed("x"), 20);
  const double before = world.m_retries.Available(PoolId("plain"));
  for (int request = 0; request < 10; ++request) {
    world.AskAsPeer(kRead, kFromSouth);
  }
  CHECK(world.m_retries.Available(PoolId("plain")) == before);
  world.Ask(kRead);
  CHECK(world.m_retries.Available(PoolId("plain")) > before);
}

TEST_CASE("a broken stream goes on at another engine after the last event")
{
  GatewayWorld world;
  world.Script(kEngineA, SealedStream(1, 3, false));
  world.Script(kEngineB, SealedStream(1, 3, false));
  const Outcome* outcome = &world.Start(kStream);
  // Whichever engine was first broke off after event 3; the other repeats the
  // events here, which must not reach the caller.
  CHECK(outcome->m_code == ResultCode::AnswerMismatch);
  CHECK(world.SentField(1, "resume-after") == "3");
  CHECK(outcome->m_body ==
        StreamEventText(1) + StreamEventText(2) + StreamEventText(3));
  CHECK_FALSE(outcome->m_isWhole);

  GatewayWorld resumed;
  resumed.m_registry.Remove(BackendServerId("e2"), Removal::Published);
  resumed.Script(kEngineA, SealedStream(1, 2, false));
  resumed.Script(kSouthPeer, SealedStream(3, 2));
  outcome = &resumed.Ask(kStream);
  CHECK(outcome->m_isWhole);
  CHECK(outcome->m_body == StreamEventText(1) + StreamEventText(2) +
                             StreamEventText(3) + StreamEventText(4));
}

TEST_CASE("a stream that cannot be resumed breaks off and runs once")
{
  GatewayWorld world;
  world.ScriptAll(SealedStream(1, 2, false));
  const Outcome& outcome = world.Ask(kTalk);
  CHECK(outcome.m_code == ResultCode::AnswerIncomplete);
  CHECK_FALSE(outcome.m_isWhole);
  CHECK(world.m_upstream.m_sent.size() == 1);
}

TEST_CASE("a stream that ends within an event is not whole")
{
  GatewayWorld world;
  ScriptedAnswer torn = SealedStream(1, 1);
  torn.m_pieces.emplace_back("id: 2\nda");
  world.ScriptAll(torn);
  const Outcome& outcome = world.Ask(kTalk);
  CHECK_FALSE(outcome.m_isWhole);
  CHECK(outcome.m_body == StreamEventText(1));
}

TEST_CASE("a peer that may have run a write ends it")
{
  GatewayWorld world;
  world.Script(
    kSouthPeer,
    { .m_status = 502,
      .m_headers = { { kHopResultField, "402" }, { kHopRanField, "maybe" } } });
  const Outcome& outcome = world.Ask(kSouthOnly);
  CHECK(outcome.m_code == ResultCode::BackendReset);
  CHECK(outcome.m_ran == Ran::Maybe);
}

} // namespace
} // namespace rattanweir
