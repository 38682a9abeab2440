#include "rattanweir/base/asio/asio.h"

#include "testing/gateway_fixture/gateway_fixture.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GatewayTestRequest kRead{ .m_target = "/read/1" };
const PoolId kPlainPool("plain");

// Returns a response of a server that states its pace.
ScriptedResponse
PacedResponse()
{
  ScriptedResponse response = SealedResponse("x");
  response.m_headers.push_back({ "pace", "1.0" });
  return response;
}

// Makes both servers of the region state their pace, and holds their next
// responses.
void
FillServers(GatewayFixture& aFixture)
{
  aFixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  aFixture.ScriptAll(PacedResponse());
  aFixture.SendRequest(kRead);
  REQUIRE(aFixture.m_performance.IsProfiled(kPlainPool));
  aFixture.ScriptAll({ .m_kind = ResponseKind::Holds }, 64);
  // Each of the two servers processes 4 requests concurrently and queues 12.
  for (int request = 0; request < 40; ++request) {
    aFixture.Start(kRead);
  }
}

// Guards against a request that holds its place although nothing drains.
TEST_CASE("in a shortage a request waits while it can be served, and is then "
          "refused with a time to come back")
{
  GatewayFixture fixture;
  FillServers(fixture);
  Outcome& waiting = fixture.Start(kRead);
  CHECK_FALSE(waiting.m_isDone);
  CHECK(fixture.m_metrics.Counter("rattanweir_shortage_waits_total") > 0);
  fixture.Advance(seconds(3));
  REQUIRE(waiting.m_isDone);
  CHECK(waiting.m_code == ResultCode::TooManyRequests);
  CHECK(waiting.m_ran == Ran::No);
  REQUIRE(waiting.m_retryAfter);
  CHECK(*waiting.m_retryAfter <= milliseconds(1'400));
  CHECK(fixture.m_metrics.Counter("rattanweir_shortage_shed_backlog_total") +
          fixture.m_metrics.Counter("rattanweir_shortage_shed_waited_total") >
        0);
}

// Guards against new decisions at pools whose servers state no pace.
TEST_CASE("a pool without a stated pace is served as before")
{
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  fixture.ScriptAll({ .m_kind = ResponseKind::Holds }, 64);
  for (int request = 0; request < 40; ++request) {
    fixture.Start(kRead);
  }
  fixture.Advance(milliseconds(400));
  CHECK(fixture.m_metrics.Counter("rattanweir_shortage_waits_total") == 0);
  CHECK_FALSE(fixture.m_arrivals.RateOf(kPlainPool));
  CHECK(fixture.m_split.LoadsOf(kPlainPool).empty());
}

// Guards against a log record for each damaged report.
TEST_CASE("a load report that cannot be used is counted, and changes nothing")
{
  GatewayFixture fixture;
  ScriptedResponse response = SealedResponse("x");
  response.m_headers.push_back({ "bad-load", "1" });
  fixture.ScriptAll(response, 2);
  fixture.SendRequest(kRead);
  fixture.SendRequest(kRead);
  CHECK(fixture.m_metrics.Counter("rattanweir_server_loads_invalid_total") ==
        2);
  CHECK_FALSE(fixture.m_performance.IsProfiled(kPlainPool));
}

// Guards against a surplus that stays although another region has advertised
// spare capacity, and against forwards after its figures are gone.
TEST_CASE(
  "a region's surplus goes to the region that advertises spare capacity")
{
  GatewayFixture fixture;
  const auto advertise = [&](std::uint64_t aSequence, bool aHasDemand) {
    FleetMember south = *fixture.m_fleet.Find(InstanceId("south-1"));
    south.m_sequence = aSequence;
    south.m_pools[kPlainPool] = {};
    if (aHasDemand) {
      south.m_pools[kPlainPool].m_demand =
        PoolDemand{ .m_arrivals = RequestRate(1),
                    .m_capacity = RequestRate(1'000) };
    }
    const FleetMember rows[] = { south };
    fixture.m_fleet.Merge(rows, south.m_id);
  };
  fixture.ScriptAll(PacedResponse(), 500);
  for (int response = 0; response < 500; ++response) {
    fixture.Script(kSouthPeer, SealedResponse("south"));
  }
  // 40 requests a second, of which the servers of this region can process few.
  const auto sendFor =
    [&](int aRequests, std::uint64_t aSequence, bool aTells) {
      for (int request = 0; request < aRequests; ++request) {
        advertise(aSequence + std::uint64_t(request), aTells);
        fixture.m_performance.RecordPace(
          kPlainPool, BackendServerId("s1@1"), Pace(1));
        fixture.m_performance.RecordSlotTime(kPlainPool, seconds(1));
        fixture.SendRequest(kRead);
        fixture.Advance(milliseconds(25));
      }
    };
  sendFor(100, 10, true);
  CHECK(fixture.m_metrics.Counter("rattanweir_spillover_total") > 10);
  CHECK(fixture.SentTo(kSouthPeer) > 10);
  sendFor(20, 1'000, false);
  const auto before = fixture.m_metrics.Counter("rattanweir_spillover_total");
  sendFor(40, 2'000, false);
  CHECK(fixture.m_metrics.Counter("rattanweir_spillover_total") == before);
}

} // namespace
} // namespace rattanweir
