#include "rattanweir/base/asio/asio.h"

#include "testing/gateway_fixture/gateway_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace rattanweir {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

const GatewayTestRequest kRead{ .m_target = "/read/1" };
constexpr milliseconds kStep{ 25 };
// What the users' platform requires of all instances together in any kWindow:
// kMaxPerRate times what the limit allows plus kMaxExtra.
constexpr seconds kWindow{ 4 };
constexpr double kMaxPerRate = 1.5;
constexpr double kMaxExtra = 5;

ScriptedResponse
LimitedResponse(const char* aLimit)
{
  ScriptedResponse response = SealedResponse("x");
  response.m_headers.push_back({ "limit", aLimit });
  return response;
}

// Sends a request in each step, and returns how many reached the endpoint in
// each.
std::vector<std::size_t>
SendForSeconds(GatewayFixture& aFixture,
               const char* aEndpoint,
               milliseconds aDuration)
{
  std::vector<std::size_t> arrivals;
  std::size_t before = aFixture.SentTo(aEndpoint);
  for (milliseconds passed{}; passed < aDuration; passed += kStep) {
    aFixture.Start(kRead);
    aFixture.Advance(kStep);
    const std::size_t now = aFixture.SentTo(aEndpoint);
    arrivals.push_back(now - std::exchange(before, now));
  }
  return arrivals;
}

double
MaxInWindow(const std::vector<std::size_t>& aArrivals)
{
  const auto steps = static_cast<std::ptrdiff_t>(kWindow / kStep);
  std::size_t maximum = 0;
  for (auto first = aArrivals.begin(); first != aArrivals.end(); ++first) {
    const auto last = std::min(aArrivals.end() - first, steps);
    maximum =
      std::max(maximum, std::accumulate(first, first + last, std::size_t{ 0 }));
  }
  return static_cast<double>(maximum);
}

TEST_CASE("a backend server gets no more requests than the limit that it names "
          "permits, and most of these")
{
  struct Case
  {
    const char* m_limit;
    double m_rate;
  };
  for (const Case& row : { Case{ "2.5", 2.5 }, Case{ "1", 1 } }) {
    INFO("limit " << row.m_limit);
    GatewayFixture fixture;
    fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
    for (int request = 0; request < 2'000; ++request) {
      fixture.Script(kServerOne, LimitedResponse(row.m_limit));
      fixture.Script(kServerTwo, SealedResponse("x"));
    }
    // The instance's view of the fleet settles.
    fixture.Advance(seconds(11));
    SendForSeconds(fixture, kServerOne, seconds(1));
    const auto arrivals = SendForSeconds(fixture, kServerOne, seconds(20));
    CHECK(MaxInWindow(arrivals) <=
          kMaxPerRate * row.m_rate * duration<double>(kWindow).count() +
            kMaxExtra);
    const auto total =
      std::accumulate(arrivals.begin(), arrivals.end(), std::size_t{ 0 });
    CHECK(static_cast<double>(total) >= 0.7 * row.m_rate * 20);
  }
}

TEST_CASE("a server that refused a connection gets only what a cold one takes")
{
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  for (int request = 0; request < 2'000; ++request) {
    fixture.ScriptAll(SealedResponse("x"));
  }
  fixture.Advance(seconds(11));
  fixture.m_upstream.m_scripts[kServerOne].push_front(
    { .m_kind = ResponseKind::RefusesConnection });
  while (!fixture.m_registry.Find(BackendServerId("s1@1"))->m_hasRefused) {
    fixture.Start(kRead);
    fixture.Advance(kStep);
  }
  // The other server takes nothing, and the ejection ends.
  fixture.m_registry.Remove(BackendServerId("s2"), RemovalReason::Published);
  fixture.Advance(milliseconds(1'100));
  const auto arrivals = SendForSeconds(fixture, kServerOne, seconds(1));
  const auto total =
    std::accumulate(arrivals.begin(), arrivals.end(), std::size_t{ 0 });
  // The rate of a cold server is 10 a second.
  CHECK(total > 0);
  CHECK(total <= 10);
}

TEST_CASE("what limited servers cannot take is refused at once, with the time "
          "until they take another request")
{
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  for (int request = 0; request < 200; ++request) {
    fixture.ScriptAll(LimitedResponse("0.5"));
  }
  fixture.Advance(seconds(11));
  SendForSeconds(fixture, kServerOne, milliseconds(500));
  const Outcome& refused = fixture.SendRequest(kRead);
  CHECK(refused.m_code == ResultCode::TooManyRequests);
  CHECK(refused.m_ran == Ran::No);
  REQUIRE(refused.m_retryAfter);
  CHECK(*refused.m_retryAfter > milliseconds(500));
  CHECK(*refused.m_retryAfter <= milliseconds(2'500));
  fixture.Advance(std::chrono::ceil<milliseconds>(*refused.m_retryAfter) +
                  kStep);
  CHECK(fixture.SendRequest(kRead).m_code == ResultCode::Ok);
}

} // namespace
} // namespace rattanweir
