#include "rattanweir/base/asio/asio.h"

#include "testing/gateway_fleet/gateway_fleet.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What the users' platform requires: while servers say that they are brittle,
// they fail at most kMaxFailed times plus a fraction of their number. They let
// fewer requests wait from kContactTime after they first said so.
constexpr double kMaxFailed = 2;
constexpr double kMaxFailedFraction = 0.1;
constexpr seconds kContactTime{ 5 };
constexpr seconds kBrittleTime{ 15 };
// Least throughput beside the same load on servers that let no more wait, but
// don't fail of refusals.
constexpr double kMinThroughput = 0.6;

struct Row
{
  std::size_t m_instances = 0;
  // Interval between two requests to an instance, so that the load is about 0.7
  // and 1.3 times what the servers process.
  milliseconds m_interval{};
  ViewFaults m_faults;
  unsigned m_maxWaiting = 0;
};

std::set<std::size_t>
AllInstances(const GatewayFleet& aFleet)
{
  std::set<std::size_t> instances;
  for (std::size_t index = 0; index < aFleet.Size(); ++index) {
    instances.insert(index);
  }
  return instances;
}

struct Result
{
  double m_served = 0;
  std::size_t m_failedServers = 0;
  std::size_t m_servers = 0;
};

Result
Play(const Row& aRow, std::optional<double> aMaxRefusals)
{
  GatewayFleet fleet(
    { .m_fleet = { .m_instances = aRow.m_instances, .m_faults = aRow.m_faults },
      .m_serversPerRegion = 2,
      .m_requestInterval = aRow.m_interval,
      .m_serviceTime = milliseconds(200) });
  fleet.Start();
  fleet.RunFor(seconds(2));
  const SteadyTime from = fleet.Now();
  fleet.MakeServersBrittle(
    { .m_maxRefusals = aMaxRefusals, .m_maxWaiting = aRow.m_maxWaiting },
    kContactTime);
  fleet.RunFor(kBrittleTime);
  CHECK(fleet.CountRepeatedRuns() == 0);
  return { .m_served = fleet.ServedFraction(
             { .m_from = from, .m_instances = AllInstances(fleet) }),
           .m_failedServers = fleet.CountFailedServers(),
           .m_servers = fleet.ServerCount() };
}

TEST_CASE("servers that fail of refusals are not made to refuse too much")
{
  const Row rows[] = {
    { 8, milliseconds(64), kAccurateViews, 2 },
    { 8, milliseconds(34), kAccurateViews, 2 },
    { 8, milliseconds(34), kAccurateViews, 0 },
    { 8, milliseconds(34), kLateViews, 2 },
    { 8, milliseconds(34), kPartialViews, 2 },
    { 65, milliseconds(520), kAccurateViews, 2 },
    { 65, milliseconds(280), kAccurateViews, 0 },
    { 65, milliseconds(280), kPartialViews, 2 },
    { 195, milliseconds(230), kAccurateViews, 2 },
  };
  constexpr double kMaxRefusals = 8;
  for (const Row& row : rows) {
    DYNAMIC_SECTION(row.m_instances << " instances, views "
                                    << row.m_faults.m_name << ", a request in "
                                    << row.m_interval.count() << " ms, "
                                    << row.m_maxWaiting << " wait")
    {
      const Result result = Play(row, kMaxRefusals);
      const Result unlimited = Play(row, std::nullopt);
      CAPTURE(result.m_served, unlimited.m_served, result.m_servers);
      CHECK(static_cast<double>(result.m_failedServers) <=
            kMaxFailed +
              kMaxFailedFraction * static_cast<double>(result.m_servers));
      CHECK(result.m_served >= kMinThroughput * unlimited.m_served);
    }
  }
}

} // namespace
} // namespace rattanweir
