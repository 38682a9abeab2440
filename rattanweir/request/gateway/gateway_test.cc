#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/entry_list.h"
#include "rattanweir/request/gateway/gateway_admission.h"
#include "testing/gateway_world/gateway_world.h"

#include <catch2/catch.hpp>

#include <set>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
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

TEST_CASE("callers are named instances of their region, else of all")
{
  GatewayWorld world;
  const auto entries = [&](const char* aRegion) {
    return EntriesFor(
             world.m_fleet, { .m_region = RegionId(aRegion) }, world.m_random)
      .size();
  };
  CHECK(entries("north") == 1);
  CHECK(entries("south") == 1);
  CHECK(entries("elsewhere") == 2);
  world.m_fleet.Self().m_isDraining = true;
  CHECK(entries("north") == 1);
  world.m_fleet.MarkUnreachable(InstanceId("south-1"));
  CHECK(entries("north") == 0);
}

TEST_CASE("callers are named instances of their zone if it has enough")
{
  ManualClock clock;
  RandomEngine random{ 3 };
  FleetView fleet(
    { .m_clock = clock, .m_self = { .m_id = InstanceId("self") } });
  const auto join = [&](int aNumber, const char* aZone) {
    const FleetMember row[] = { { .m_id = InstanceId(std::to_string(aNumber)),
                                  .m_incarnation = Incarnation(1),
                                  .m_sequence = 1,
                                  .m_region = RegionId("r"),
                                  .m_zone = AvailabilityZoneId(aZone),
                                  .m_callerAddress = { .m_address = "10.0.0.1",
                                                       .m_port = 1 },
                                  .m_isReady = true } };
    fleet.Merge(row, row[0].m_id);
  };
  const auto entries = [&] {
    return EntriesFor(
             fleet,
             { .m_region = RegionId("r"), .m_zone = AvailabilityZoneId("r-a") },
             random)
      .size();
  };
  join(1, "r-a");
  join(2, "r-a");
  join(3, "r-b");
  join(4, "r-b");
  CHECK(entries() == 4);
  join(5, "r-a");
  CHECK(entries() == 3);
}

TEST_CASE("a weak instance is named to fewer callers than a strong one")
{
  ManualClock clock;
  RandomEngine random{ 3 };
  FleetView fleet({ .m_clock = clock,
                    .m_self = { .m_id = InstanceId("strong"),
                                .m_region = RegionId("r"),
                                .m_callerAddress = ParseEndpoint("10.0.0.1:1"),
                                .m_isReady = true,
                                .m_capacity = 0.5 } });
  const FleetMember weak[] = { { .m_id = InstanceId("weak"),
                                 .m_incarnation = Incarnation(1),
                                 .m_sequence = 1,
                                 .m_region = RegionId("r"),
                                 .m_callerAddress = ParseEndpoint("10.0.0.2:1"),
                                 .m_isReady = true,
                                 .m_capacity = 0.125 } };
  fleet.Merge(weak, weak[0].m_id);
  int named = 0;
  constexpr int kAnswers = 1'000;
  for (int answer = 0; answer < kAnswers; ++answer) {
    const auto entries =
      EntriesFor(fleet, { .m_region = RegionId("r") }, random);
    CHECK(!entries.empty());
    named += entries.size() == 2 ? 1 : 0;
  }
  CHECK(named > kAnswers / 6);
  CHECK(named < kAnswers / 3);
}

} // namespace
} // namespace rattanweir
