#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/gateway_admission.h"
#include "testing/gateway_world/gateway_world.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GatewayQuestion kRead{ .m_target = "/read/1" };
const GatewayQuestion kWrite{ .m_method = "POST", .m_target = "/write/1" };
const GatewayQuestion kSouthOnly{ .m_target = "/south/1" };
const HeaderFields kFromSouth = { { kHopFromField, "south-1" },
                                  { kHopAccountField, "anna" },
                                  { kHopPoolField, "plain" },
                                  { kHopTimeLeftField, "900" } };

TEST_CASE("an answer is passed on as it is, without the caller's key")
{
  GatewayWorld world;
  world.ScriptAll(Sealed("hello", 201));
  const Outcome& outcome = world.Ask(kRead);
  CHECK(outcome.m_code == ResultCode::Ok);
  REQUIRE(outcome.m_head);
  CHECK(outcome.m_head->m_status == 201);
  CHECK(outcome.m_body == "hello");
  CHECK(outcome.m_isWhole);
  CHECK(world.SentField(0, "key").empty());
  CHECK(world.SentField(0, "account") == "anna");
  CHECK(world.SentField(0, "left-ms") == "4000");
}

TEST_CASE("a request waits no longer than its caller and its route")
{
  GatewayWorld world;
  world.ScriptAll(Sealed("x"));
  GatewayQuestion question = kRead;
  question.m_headers = { { "patience-ms", "1500" } };
  world.Ask(question);
  CHECK(world.SentField(0, "left-ms") == "1500");
}

TEST_CASE("what is not permitted is refused before anything is sent")
{
  GatewayWorld world;
  const auto codeOf = [&](const GatewayQuestion& aQuestion) {
    const Outcome& outcome = world.Ask(aQuestion);
    CHECK(outcome.m_ran == Ran::No);
    return outcome.m_code;
  };
  CHECK(codeOf({ .m_target = "/nothing/1" }) == ResultCode::UnknownRoute);
  CHECK(codeOf({ .m_host = "b.example" }) == ResultCode::UnknownRoute);
  CHECK(codeOf({ .m_key = "" }) == ResultCode::KeyMissing);
  CHECK(codeOf({ .m_key = "key-x" }) == ResultCode::KeyNotGranted);
  CHECK(world.m_upstream.m_sent.empty());
}

TEST_CASE("a withdrawn key stops working with the version that drops it")
{
  GatewayWorld world;
  world.ScriptAll(Sealed("x"), 3);
  CHECK(world.Ask(kRead).m_code == ResultCode::Ok);
  world.Configure(false);
  CHECK(world.Ask(kRead).m_code == ResultCode::KeyNotGranted);
  CHECK(world.Ask({ .m_target = "/open/1", .m_key = "" }).m_code ==
        ResultCode::Ok);
}

TEST_CASE("an instance without a configuration refuses as not ready")
{
  GatewayWorld world;
  FleetConfigStore empty;
  GatewayState state{ .m_executor = world.m_context.get_executor(),
                      .m_clock = world.m_clock,
                      .m_random = world.m_random,
                      .m_protocol = world.m_protocol,
                      .m_config = empty,
                      .m_fleet = world.m_fleet,
                      .m_registry = world.m_registry,
                      .m_backends = world.m_backends,
                      .m_regions = world.m_regions,
                      .m_parts = world.m_parts,
                      .m_rates = world.m_rates,
                      .m_retries = world.m_retries,
                      .m_cold = world.m_cold,
                      .m_lines = world.m_lines,
                      .m_metrics = world.m_metrics,
                      .m_toBackends = world.m_upstream,
                      .m_toPeers = world.m_upstream };
  try {
    AdmitFromCaller(state, {});
    FAIL("it was admitted");
  } catch (const RequestError& error) {
    CHECK(error.Code() == ResultCode::InstanceNotReady);
    CHECK(error.HasRun() == Ran::No);
  }
}

TEST_CASE("an account over its rate is told when to come back")
{
  GatewayWorld world;
  world.ScriptAll(Sealed("x"), 200);
  const Outcome* last = nullptr;
  for (int request = 0; request < 150; ++request) {
    last = &world.Ask(kRead);
    if (last->m_code != ResultCode::Ok) {
      break;
    }
  }
  CHECK(last->m_code == ResultCode::RateExceeded);
  CHECK(last->m_ran == Ran::No);
  REQUIRE(last->m_comeBackAfter);
  CHECK(*last->m_comeBackAfter > milliseconds(0));
  CHECK(*last->m_comeBackAfter < seconds(2));
}

TEST_CASE("another server at the address ends the use of the former one")
{
  GatewayWorld world;
  world.Script(kServerOne, { .m_status = 421 });
  world.Script(kServerTwo, { .m_status = 421 });
  world.Script(kSouthPeer, Sealed("done"));
  CHECK(world.Ask(kWrite).m_code == ResultCode::Ok);
  world.Script(kSouthPeer, Sealed("done"));
  CHECK(world.Ask(kWrite).m_code == ResultCode::Ok);
  CHECK(world.SentTo(kServerOne) + world.SentTo(kServerTwo) == 2);
  CHECK(world.SentField(0, "server").front() == 's');
}

TEST_CASE("servers that leave or are evacuated get no requests")
{
  GatewayWorld world;
  ServerRecord leaving = world.RecordOf("s1");
  leaving.m_isLeaving = true;
  world.m_registry.Put(leaving);
  world.ScriptAll(Sealed("x"), 4);
  world.Ask(kRead);
  world.Ask(kRead);
  CHECK(world.SentTo(kServerOne) == 0);
  CHECK(world.SentTo(kServerTwo) == 2);
  world.m_registry.SetEvacuatedZones({ AvailabilityZoneId("north-a") },
                                     [](const PoolId&) { return seconds(0); });
  world.Script(kSouthPeer, Sealed("x"));
  world.Ask(kRead);
  CHECK(world.SentTo(kSouthPeer) == 1);
}

TEST_CASE("an answer to another request never reaches the caller")
{
  GatewayWorld world;
  ScriptedAnswer crossed = Sealed("not yours");
  crossed.m_headers.push_back({ "id", "other" });
  world.ScriptAll(crossed);
  const Outcome& outcome = world.Ask(kRead);
  CHECK(outcome.m_code == ResultCode::AnswerMismatch);
  CHECK(outcome.m_body.empty());
}

TEST_CASE("a request with homes is served there alone")
{
  GatewayWorld world;
  world.Script(kSouthPeer, Sealed("south"));
  CHECK(world.Ask(kSouthOnly).m_body == "south");
  CHECK(world.SentField(0, kHopFromField) == "north-1");
  CHECK(world.SentField(0, kHopAccountField) == "anna");
  CHECK(world.SentField(0, "key").empty());
  // Without an instance there it is refused, and nothing is sent here.
  world.m_fleet.MarkUnreachable(InstanceId("south-1"));
  const Outcome& refused = world.Ask(kSouthOnly);
  CHECK(refused.m_code == ResultCode::NoBackendServer);
  CHECK(world.m_upstream.m_sent.size() == 1);
}

TEST_CASE("a peer's request is served here and goes no further")
{
  GatewayWorld world;
  world.ScriptAll(Sealed("north"));
  CHECK(world.AskAsPeer(kRead, kFromSouth).m_body == "north");
  CHECK(world.SentField(0, "left-ms") == "900");
  CHECK(world.SentField(0, kHopFromField).empty());
  world.m_upstream.m_scripts.clear();
  world.ScriptAll({ .m_kind = AnswerKind::ConnectFails }, 4);
  const Outcome& failed = world.AskAsPeer(kRead, kFromSouth);
  CHECK(failed.m_ran == Ran::No);
  CHECK(world.SentTo(kSouthPeer) == 0);
}

TEST_CASE("a peer's request is refused where its data must not be")
{
  GatewayWorld world;
  const Outcome& outcome = world.AskAsPeer(kSouthOnly, kFromSouth);
  CHECK(outcome.m_code == ResultCode::ResidencyRefused);
  CHECK(outcome.m_ran == Ran::No);
  CHECK(world.m_upstream.m_sent.empty());
}

TEST_CASE("a caller's hop fields are not taken for a peer's")
{
  GatewayWorld world;
  world.ScriptAll(Sealed("x"));
  GatewayQuestion question = kRead;
  question.m_headers = kFromSouth;
  world.Ask(question);
  CHECK(world.SentField(0, kHopAccountField).empty());
}

TEST_CASE("when its caller leaves, the request is ended at the server")
{
  GatewayWorld world;
  world.ScriptAll({ .m_kind = AnswerKind::Holds });
  Outcome& outcome = world.Start(kRead);
  CHECK_FALSE(outcome.m_isDone);
  CHECK(world.m_state.m_inFlight == 1);
  outcome.m_cancel.Cancel(ResultCode::CallerGone);
  world.Advance(milliseconds(25));
  CHECK(outcome.m_isDone);
  CHECK(outcome.m_code == ResultCode::CallerGone);
  CHECK(world.m_upstream.m_sent.size() == 1);
}

} // namespace
} // namespace rattanweir
