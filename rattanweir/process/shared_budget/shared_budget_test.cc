#include "rattanweir/process/shared_budget/shared_budget.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PoolId kPool("p");

TEST_CASE("retries are limited by the number of requests in a sliding window")
{
  ManualClock clock;
  FleetRetryBudget retries(
    { .m_clock = clock,
      .m_limits = { .m_ratio = 0.2, .m_extra = 80, .m_window = seconds(10) },
      .m_usedFraction = 1 });
  retries.SetFleetSize(8);
  const auto consumeAll = [&] {
    int consumed = 0;
    while (retries.TryConsumeRetry(kPool)) {
      ++consumed;
    }
    return consumed;
  };
  CHECK(consumeAll() == 10);
  for (int request = 0; request < 100; ++request) {
    retries.AddRequest(kPool);
  }
  CHECK(consumeAll() == 20);
  clock.Advance(seconds(11));
  CHECK(consumeAll() == 10);
}

// What the instances use of the rate of a cold server.
constexpr double kUsedFraction = 0.8;

// Returns the maximum number of requests that all instances together send
// within any second.
std::size_t
MaxInOneSecond(double aPerSecond, int aInstances)
{
  ManualClock clock;
  std::vector<InstanceId> ids;
  std::vector<ServerRateLimiter> limiters;
  for (int number = 0; number < aInstances; ++number) {
    ids.emplace_back("i" + std::to_string(number));
    limiters.emplace_back(ServerRateLimiterOptions{ .m_clock = clock });
  }
  std::deque<SteadyTime> sent;
  std::size_t maxSent = 0;
  for (int step = 0; step < 3'000; ++step) {
    for (std::size_t index = 0; index < ids.size(); ++index) {
      const ServerRateQuery query{ .m_server = BackendServerId("s"),
                                   .m_rate =
                                     RequestRate(kUsedFraction * aPerSecond),
                                   .m_self = ids[index],
                                   .m_instances = ids };
      if (limiters[index].PermitFor(query).m_isGranted) {
        limiters[index].RecordRequest(query);
        sent.push_back(clock.SteadyNow());
      }
    }
    while (!sent.empty() && clock.SteadyNow() - sent.front() >= seconds(1)) {
      sent.pop_front();
    }
    maxSent = std::max(maxSent, sent.size());
    clock.Advance(milliseconds(1));
  }
  return maxSent;
}

TEST_CASE("all instances together stay within the rate of a cold server")
{
  // The users' platform requires at most 1.5 times the rate plus 3 requests in
  // any second.
  for (const int instances : { 1, 3, 11, 32 }) {
    for (const double rate : { 0.5, 2.0, 9.8, 40.0 }) {
      INFO("instances " << instances << ", rate " << rate);
      const auto maxSent = MaxInOneSecond(rate, instances);
      CHECK(static_cast<double>(maxSent) <= 1.5 * rate + 3);
      CHECK(maxSent >= 1);
    }
  }
}

TEST_CASE("an instance that does not know the others sends no request")
{
  ManualClock clock;
  const ServerRateLimiter limiter({ .m_clock = clock });
  const InstanceId self("a");
  CHECK_FALSE(limiter
                .PermitFor({ .m_server = BackendServerId("s"),
                             .m_rate = RequestRate(40),
                             .m_self = self,
                             .m_instances = { self },
                             .m_areInstancesKnown = false })
                .m_isGranted);
}

TEST_CASE("only one of two instances may send to a slow cold server")
{
  ManualClock clock;
  const std::vector<InstanceId> ids = { InstanceId("a"), InstanceId("b") };
  int permitted = 0;
  for (const InstanceId& self : ids) {
    const ServerRateLimiter limiter({ .m_clock = clock });
    permitted += limiter
                     .PermitFor({ .m_server = BackendServerId("s"),
                                  .m_rate = RequestRate(1),
                                  .m_self = self,
                                  .m_instances = ids })
                     .m_isGranted
                   ? 1
                   : 0;
  }
  CHECK(permitted == 1);
}

TEST_CASE("unused time is made up for up to the maximum burst")
{
  ManualClock clock;
  ServerRateLimiter limiter({ .m_clock = clock });
  const InstanceId self("a");
  const ServerRateQuery query{ .m_server = BackendServerId("s"),
                               .m_rate = RequestRate(10),
                               .m_maxBurst = milliseconds(500),
                               .m_self = self,
                               .m_instances = { self } };
  const auto sendAll = [&] {
    int sent = 0;
    while (limiter.PermitFor(query).m_isGranted) {
      limiter.RecordRequest(query);
      ++sent;
    }
    return sent;
  };
  CHECK(sendAll() == 1);
  CHECK(limiter.PermitFor(query).m_wait == milliseconds(100));
  clock.Advance(seconds(60));
  CHECK(sendAll() == 6);
}

TEST_CASE("a limit of almost nothing permits a request now and then")
{
  ManualClock clock;
  ServerRateLimiter limiter({ .m_clock = clock });
  const InstanceId self("a");
  const ServerRateQuery query{ .m_server = BackendServerId("s"),
                               .m_rate = RequestRate(0),
                               .m_self = self,
                               .m_instances = { self } };
  CHECK(limiter.PermitFor(query).m_isGranted);
  limiter.RecordRequest(query);
  clock.Advance(seconds(19));
  CHECK_FALSE(limiter.PermitFor(query).m_isGranted);
  clock.Advance(seconds(1));
  CHECK(limiter.PermitFor(query).m_isGranted);
}

} // namespace
} // namespace rattanweir
