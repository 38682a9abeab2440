#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/gateway_admission.h"
#include "testing/gateway_fixture/gateway_fixture.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GatewayTestRequest kRead{ .m_target = "/read/1" };
const GatewayTestRequest kWrite{ .m_method = "POST", .m_target = "/write/1" };
const GatewayTestRequest kSouthOnly{ .m_target = "/south/1" };
const HeaderFields kFromSouth = { { kHopFromField, "south-1" },
                                  { kHopAccountField, "anna" },
                                  { kHopPoolField, "plain" },
                                  { kHopTimeLeftField, "900" } };

TEST_CASE("a response is forwarded unmodified, and the caller's key is not "
          "sent upstream")
{
  GatewayFixture fixture;
  fixture.ScriptAll(SealedResponse("hello", 201));
  const Outcome& outcome = fixture.SendRequest(kRead);
  CHECK(outcome.m_code == ResultCode::Ok);
  REQUIRE(outcome.m_head);
  CHECK(outcome.m_head->m_status == 201);
  CHECK(outcome.m_body == "hello");
  CHECK(outcome.m_isComplete);
  CHECK(fixture.SentField(0, "key").empty());
  CHECK(fixture.SentField(0, "account") == "anna");
  CHECK(fixture.SentField(0, "left-ms") == "4000");
}

TEST_CASE("the caller's timeout limits the time left at the server")
{
  GatewayFixture fixture;
  fixture.ScriptAll(SealedResponse("x"));
  GatewayTestRequest query = kRead;
  query.m_headers = { { "patience-ms", "1500" } };
  fixture.SendRequest(query);
  CHECK(fixture.SentField(0, "left-ms") == "1500");
}

TEST_CASE(
  "requests without a route or a valid key are refused before any dispatch")
{
  GatewayFixture fixture;
  const auto codeOf = [&](const GatewayTestRequest& aQuery) {
    const Outcome& outcome = fixture.SendRequest(aQuery);
    CHECK(outcome.m_ran == Ran::No);
    return outcome.m_code;
  };
  CHECK(codeOf({ .m_target = "/nothing/1" }) == ResultCode::UnknownRoute);
  CHECK(codeOf({ .m_host = "b.example" }) == ResultCode::UnknownRoute);
  CHECK(codeOf({ .m_key = "" }) == ResultCode::KeyMissing);
  CHECK(codeOf({ .m_key = "key-x" }) == ResultCode::KeyNotGranted);
  CHECK(fixture.m_upstream.m_sent.empty());
}

// Guards against callers that come back at once, and against taking their
// account's rate, for a request that no region may serve.
TEST_CASE("a request whose route and account have no home region in common is "
          "refused before its rate tokens are taken")
{
  GatewayFixture fixture;
  FleetConfigData data = GatewayTestConfig(100, true);
  for (FleetAccount& account : data.m_accounts) {
    account.m_homeRegions = { RegionId("north") };
  }
  fixture.m_config.Offer(std::make_shared<FleetConfig>(std::move(data)));
  const double level = fixture.m_rates.BucketLevel(ClientAccountId("anna"));
  const Outcome& refused = fixture.SendRequest(kSouthOnly);
  CHECK(refused.m_code == ResultCode::ResidencyConflict);
  CHECK(refused.m_ran == Ran::No);
  CHECK(refused.m_retryAfter == seconds(10));
  CHECK(fixture.m_upstream.m_sent.empty());
  CHECK(fixture.m_rates.BucketLevel(ClientAccountId("anna")) == level);
  CHECK(fixture.m_metrics.Counter("rattanweir_residency_conflicts_total") == 1);
  // A common home region that is lost is a matter of capacity.
  fixture.ScriptAll(SealedResponse("x"));
  CHECK(fixture.SendRequest(kRead).m_code == ResultCode::Ok);
}

TEST_CASE("a key is refused once a configuration version withdraws it")
{
  GatewayFixture fixture;
  fixture.ScriptAll(SealedResponse("x"), 3);
  CHECK(fixture.SendRequest(kRead).m_code == ResultCode::Ok);
  fixture.Configure(false);
  CHECK(fixture.SendRequest(kRead).m_code == ResultCode::KeyNotGranted);
  CHECK(fixture.SendRequest({ .m_target = "/open/1", .m_key = "" }).m_code ==
        ResultCode::Ok);
}

TEST_CASE("an instance without a configuration refuses requests as not ready")
{
  GatewayFixture fixture;
  FleetConfigStore empty;
  GatewayState state{ .m_executor = fixture.m_context.get_executor(),
                      .m_clock = fixture.m_clock,
                      .m_random = fixture.m_random,
                      .m_protocol = fixture.m_protocol,
                      .m_config = empty,
                      .m_fleet = fixture.m_fleet,
                      .m_registry = fixture.m_registry,
                      .m_backends = fixture.m_backends,
                      .m_reach = fixture.m_reach,
                      .m_regions = fixture.m_regions,
                      .m_parts = fixture.m_parts,
                      .m_rates = fixture.m_rates,
                      .m_retries = fixture.m_retries,
                      .m_rateLimiter = fixture.m_rateLimiter,
                      .m_serverLimits = fixture.m_serverLimits,
                      .m_rooms = fixture.m_rooms,
                      .m_quarantine = fixture.m_quarantine,
                      .m_streamOrigins = fixture.m_streamOrigins,
                      .m_serviceEnd = fixture.m_serviceEnd,
                      .m_silence = fixture.m_silence,
                      .m_queues = fixture.m_queues,
                      .m_residencyConflicts = fixture.m_residencyConflicts,
                      .m_performance = fixture.m_performance,
                      .m_backlogs = fixture.m_backlogs,
                      .m_arrivals = fixture.m_arrivals,
                      .m_split = fixture.m_split,
                      .m_metrics = fixture.m_metrics,
                      .m_backendUpstream = fixture.m_upstream,
                      .m_peerUpstream = fixture.m_upstream };
  try {
    AdmitFromCaller(state, {});
    FAIL("the request was admitted");
  } catch (const RequestError& error) {
    CHECK(error.Code() == ResultCode::InstanceNotReady);
    CHECK(error.HasRun() == Ran::No);
  }
}

TEST_CASE("a refusal for an exceeded rate states when to retry")
{
  GatewayFixture fixture;
  fixture.ScriptAll(SealedResponse("x"), 200);
  const Outcome* last = nullptr;
  for (int request = 0; request < 150; ++request) {
    last = &fixture.SendRequest(kRead);
    if (last->m_code != ResultCode::Ok) {
      break;
    }
  }
  CHECK(last->m_code == ResultCode::RateExceeded);
  CHECK(last->m_ran == Ran::No);
  REQUIRE(last->m_retryAfter);
  CHECK(*last->m_retryAfter > milliseconds(0));
  CHECK(*last->m_retryAfter < seconds(2));
}

TEST_CASE("a server is not used again once another one has its address")
{
  GatewayFixture fixture;
  fixture.Script(kServerOne, { .m_status = 421 });
  fixture.Script(kServerTwo, { .m_status = 421 });
  fixture.Script(kSouthPeer, SealedResponse("done"));
  CHECK(fixture.SendRequest(kWrite).m_code == ResultCode::Ok);
  fixture.Script(kSouthPeer, SealedResponse("done"));
  CHECK(fixture.SendRequest(kWrite).m_code == ResultCode::Ok);
  CHECK(fixture.SentTo(kServerOne) + fixture.SentTo(kServerTwo) == 2);
  CHECK(fixture.SentField(0, "server").front() == 's');
}

TEST_CASE("draining and evacuated servers get no requests")
{
  GatewayFixture fixture;
  ServerRecord draining = fixture.RecordOf("s1");
  draining.m_isDraining = true;
  fixture.m_registry.Put(draining);
  fixture.ScriptAll(SealedResponse("x"), 4);
  fixture.SendRequest(kRead);
  fixture.SendRequest(kRead);
  CHECK(fixture.SentTo(kServerOne) == 0);
  CHECK(fixture.SentTo(kServerTwo) == 2);
  fixture.m_registry.SetEvacuatedZones(
    { AvailabilityZoneId("north-a") },
    [](const PoolId&) { return seconds(0); });
  fixture.Script(kSouthPeer, SealedResponse("x"));
  fixture.SendRequest(kRead);
  CHECK(fixture.SentTo(kSouthPeer) == 1);
}

TEST_CASE("an instance sends to cold servers once it knows its region")
{
  GatewayFixture fixture;
  ServerRecord cold = fixture.RecordOf("s1");
  cold.m_coldFor = seconds(60);
  fixture.m_registry.Put(cold);
  fixture.ScriptAll(SealedResponse("ok"), 20);
  const auto sendRequests = [&] {
    for (int request = 0; request < 10; ++request) {
      fixture.SendRequest({});
    }
  };
  sendRequests();
  CHECK(fixture.SentTo(kServerOne) == 0);
  CHECK(fixture.SentTo(kServerTwo) == 10);
  // The other region's instance is known, but sends no messages.
  fixture.Advance(seconds(10));
  sendRequests();
  CHECK(fixture.SentTo(kServerOne) == 1);
  CHECK(fixture.m_metrics.Exposition().find(
          "rattanweir_cold_server_requests_total 1\n") != std::string::npos);
}

TEST_CASE("a response to another request never reaches the caller")
{
  GatewayFixture fixture;
  ScriptedResponse mismatched = SealedResponse("not yours");
  mismatched.m_headers.push_back({ "id", "other" });
  fixture.ScriptAll(mismatched);
  const Outcome& outcome = fixture.SendRequest(kRead);
  CHECK(outcome.m_code == ResultCode::AnswerMismatch);
  CHECK(outcome.m_body.empty());
}

TEST_CASE("a request with home regions is served only there")
{
  GatewayFixture fixture;
  fixture.Script(kSouthPeer, SealedResponse("south"));
  CHECK(fixture.SendRequest(kSouthOnly).m_body == "south");
  CHECK(fixture.SentField(0, kHopFromField) == "north-1");
  CHECK(fixture.SentField(0, kHopAccountField) == "anna");
  CHECK(fixture.SentField(0, "key").empty());
  // Without an instance in the home region, the request is refused and not sent
  // to a local server.
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  const Outcome& refused = fixture.SendRequest(kSouthOnly);
  CHECK(refused.m_code == ResultCode::NoBackendServer);
  CHECK(fixture.m_upstream.m_sent.size() == 1);
}

TEST_CASE("a forwarded request is served locally and not forwarded again")
{
  GatewayFixture fixture;
  fixture.ScriptAll(SealedResponse("north"));
  CHECK(fixture.SendPeerRequest(kRead, kFromSouth).m_body == "north");
  CHECK(fixture.SentField(0, "left-ms") == "900");
  CHECK(fixture.SentField(0, kHopFromField).empty());
  fixture.m_upstream.m_scripts.clear();
  fixture.ScriptAll({ .m_kind = ResponseKind::ConnectFails }, 4);
  const Outcome& failed = fixture.SendPeerRequest(kRead, kFromSouth);
  CHECK(failed.m_ran == Ran::No);
  CHECK(fixture.SentTo(kSouthPeer) == 0);
}

// Guards against a caller's request that was taken for a control message:
// the fleet followed a configuration from the caller's address.
TEST_CASE("a forwarded request is no control message, whatever its path")
{
  GatewayFixture fixture;
  const GatewayTestRequest request{ .m_method = "POST",
                                    .m_target = kControlPath };
  const Outcome& control = fixture.SendPeerRequest(request, {});
  CHECK(control.m_code == ResultCode::Ok);
  const Outcome& forwarded = fixture.SendPeerRequest(request, kFromSouth);
  CHECK(forwarded.m_code != ResultCode::Ok);
  CHECK(forwarded.m_ran == Ran::No);
  // Nor does a caller reach the peer's handler by naming the field itself.
  GatewayTestRequest disguised{ .m_target = "/read/1" };
  disguised.m_headers = { { kHopFromField, "south-1" } };
  fixture.ScriptAll(SealedResponse("north"));
  CHECK(fixture.SendRequest(disguised).m_body == "north");
  CHECK(fixture.SentField(0, kHopFromField).empty());
}

TEST_CASE("a forwarded request is refused in a region that is not permitted")
{
  GatewayFixture fixture;
  const Outcome& outcome = fixture.SendPeerRequest(kSouthOnly, kFromSouth);
  CHECK(outcome.m_code == ResultCode::ResidencyRefused);
  CHECK(outcome.m_ran == Ran::No);
  CHECK(fixture.m_upstream.m_sent.empty());
}

TEST_CASE("hop fields sent by a caller are dropped")
{
  GatewayFixture fixture;
  fixture.ScriptAll(SealedResponse("x"));
  GatewayTestRequest query = kRead;
  query.m_headers = kFromSouth;
  fixture.SendRequest(query);
  CHECK(fixture.SentField(0, kHopAccountField).empty());
}

TEST_CASE("a request is cancelled at the server when its caller disconnects")
{
  GatewayFixture fixture;
  fixture.ScriptAll({ .m_kind = ResponseKind::Holds });
  Outcome& outcome = fixture.Start(kRead);
  CHECK_FALSE(outcome.m_isDone);
  CHECK(fixture.m_state.m_inFlight == 1);
  outcome.m_cancel.Cancel(ResultCode::CallerGone);
  fixture.Advance(milliseconds(25));
  CHECK(outcome.m_isDone);
  CHECK(outcome.m_code == ResultCode::CallerGone);
  CHECK(fixture.m_upstream.m_sent.size() == 1);
}

} // namespace
} // namespace rattanweir
