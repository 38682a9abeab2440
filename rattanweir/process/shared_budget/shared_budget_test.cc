#include "rattanweir/process/shared_budget/shared_budget.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PoolId kPool("p");

TEST_CASE("retries are bounded by the requests of a sliding window")
{
  ManualClock clock;
  RetryAllowance retries(
    { .m_clock = clock,
      .m_limits = { .m_ratio = 0.2, .m_extra = 80, .m_window = seconds(10) },
      .m_used = 1 });
  retries.SetFleetSize(8);
  const auto takeAll = [&] {
    int taken = 0;
    while (retries.TakeRetry(kPool)) {
      ++taken;
    }
    return taken;
  };
  CHECK(takeAll() == 10);
  for (int request = 0; request < 100; ++request) {
    retries.AddRequest(kPool);
  }
  CHECK(takeAll() == 20);
  clock.Advance(seconds(11));
  CHECK(takeAll() == 10);
}

// The most requests that all instances send in any second.
std::size_t
MaxInOneSecond(double aPerSecond, int aInstances)
{
  ManualClock clock;
  std::vector<InstanceId> ids;
  std::vector<ColdAllowance> allowances;
  for (int number = 0; number < aInstances; ++number) {
    ids.emplace_back("i" + std::to_string(number));
    allowances.emplace_back(ColdAllowanceOptions{ .m_clock = clock });
  }
  std::deque<SteadyTime> sent;
  std::size_t most = 0;
  for (int step = 0; step < 3'000; ++step) {
    for (std::size_t index = 0; index < ids.size(); ++index) {
      const ColdQuery query{ .m_server = BackendServerId("s"),
                             .m_requestsPerSecond = aPerSecond,
                             .m_self = ids[index],
                             .m_instances = ids };
      if (allowances[index].Permits(query)) {
        allowances[index].Take(query);
        sent.push_back(clock.SteadyNow());
      }
    }
    while (!sent.empty() && clock.SteadyNow() - sent.front() >= seconds(1)) {
      sent.pop_front();
    }
    most = std::max(most, sent.size());
    clock.Advance(milliseconds(1));
  }
  return most;
}

TEST_CASE("a cold server gets what it takes from all instances together")
{
  // The users' bound: 1.5 times the rate and 3 more in any second.
  for (const int instances : { 1, 3, 11, 32 }) {
    for (const double rate : { 0.5, 2.0, 9.8, 40.0 }) {
      INFO("instances " << instances << ", rate " << rate);
      const auto most = MaxInOneSecond(rate, instances);
      CHECK(static_cast<double>(most) <= 1.5 * rate + 3);
      CHECK(most >= 1);
    }
  }
}

TEST_CASE("an instance that may not send to a cold server says so")
{
  ManualClock clock;
  const std::vector<InstanceId> ids = { InstanceId("a"), InstanceId("b") };
  int permitted = 0;
  for (const InstanceId& self : ids) {
    const ColdAllowance allowance({ .m_clock = clock });
    permitted += allowance.Permits({ .m_server = BackendServerId("s"),
                                     .m_requestsPerSecond = 1,
                                     .m_self = self,
                                     .m_instances = ids })
                   ? 1
                   : 0;
  }
  CHECK(permitted == 1);
}

} // namespace
} // namespace rattanweir
