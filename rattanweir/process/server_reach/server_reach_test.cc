#include "rattanweir/process/server_reach/server_reach.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<Endpoint>
Servers(std::size_t aCount)
{
  std::vector<Endpoint> servers;
  for (std::size_t index = 0; index < aCount; ++index) {
    servers.push_back(
      { .m_address = "10.0.0.1", .m_port = std::uint16_t(1 + index) });
  }
  return servers;
}

struct Bench
{
  explicit Bench(std::size_t aServers)
    : m_servers(Servers(aServers))
  {
    m_reach.TakeDueProbes(m_servers);
  }

  std::vector<Endpoint> Due() { return m_reach.TakeDueProbes(m_servers); }

  std::size_t CountReachable() const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(m_servers, [&](const Endpoint& aServer) {
        return m_reach.IsReachable(aServer);
      }));
  }

  // Lets time pass and tries the due probes, of which the ones of these servers
  // succeed. Returns their number.
  std::size_t RunProbes(milliseconds aDuration,
                        const std::set<Endpoint>& aReached)
  {
    constexpr milliseconds kTick{ 100 };
    std::size_t probes = 0;
    for (milliseconds passed{ 0 }; passed < aDuration; passed += kTick) {
      m_clock.Advance(kTick);
      for (const Endpoint& server : Due()) {
        ++probes;
        if (aReached.contains(server)) {
          m_reach.RecordContact(server);
        } else {
          m_reach.RecordFailure(server);
        }
      }
    }
    return probes;
  }

  ManualClock m_clock;
  ServerReach m_reach{ { .m_clock = m_clock } };
  std::vector<Endpoint> m_servers;
};

TEST_CASE("an instance that reaches none of several servers has lost its links "
          "within a second")
{
  for (const std::size_t count : { 1U, 2U, 3U, 5U, 24U }) {
    CAPTURE(count);
    Bench bench(count);
    bench.m_reach.RecordFailure(bench.m_servers[0]);
    bench.RunProbes(milliseconds(500), {});
    CHECK(bench.m_reach.HasLostLinks());
    CHECK(bench.CountReachable() == 0);
  }
}

TEST_CASE("the loss of a server or a rack is not taken for lost links")
{
  for (const std::size_t lost : { 1U, 4U, 12U }) {
    CAPTURE(lost);
    Bench bench(24);
    const std::set<Endpoint> sound(bench.m_servers.begin() +
                                     static_cast<std::ptrdiff_t>(lost),
                                   bench.m_servers.end());
    // Requests go to all servers in turn.
    for (int round = 0; round < 5; ++round) {
      for (std::size_t index = 0; index < bench.m_servers.size(); ++index) {
        const Endpoint& server = bench.m_servers[index * 7 % 24];
        if (sound.contains(server)) {
          bench.m_reach.RecordContact(server);
        } else {
          bench.m_reach.RecordFailure(server);
        }
      }
      bench.RunProbes(milliseconds(100), sound);
    }
    CHECK_FALSE(bench.m_reach.HasLostLinks());
    CHECK(bench.CountReachable() == 24 - lost);
  }
}

TEST_CASE("links that are back are found within three tenths of a second")
{
  Bench bench(5);
  const std::set<Endpoint> all(bench.m_servers.begin(), bench.m_servers.end());
  bench.m_reach.RecordFailure(bench.m_servers[0]);
  bench.m_reach.RecordFailure(bench.m_servers[1]);
  bench.RunProbes(seconds(14), {});
  REQUIRE(bench.m_reach.HasLostLinks());
  bench.RunProbes(milliseconds(300), all);
  CHECK_FALSE(bench.m_reach.HasLostLinks());
  CHECK(bench.CountReachable() == 5);
}

TEST_CASE("probes are bounded")
{
  Bench bench(24);
  const std::set<Endpoint> sound(bench.m_servers.begin() + 1,
                                 bench.m_servers.end());
  bench.m_reach.RecordFailure(bench.m_servers[0]);
  // Five of others, four with doubling intervals and one every two seconds.
  CHECK(bench.RunProbes(seconds(20), sound) <= 19);
  CHECK(bench.CountReachable() == 23);

  Bench cut(24);
  cut.m_reach.RecordFailure(cut.m_servers[0]);
  CHECK(cut.RunProbes(seconds(20), {}) <= 204);
}

TEST_CASE("failures that lie far apart are no evidence of lost links")
{
  Bench bench(6);
  for (std::size_t index = 0; index < 3; ++index) {
    bench.m_reach.RecordFailure(bench.m_servers[index]);
    bench.m_clock.Advance(seconds(3));
  }
  CHECK_FALSE(bench.m_reach.HasLostLinks());
  CHECK(bench.CountReachable() == 3);
}

TEST_CASE("servers that are gone are forgotten")
{
  Bench bench(2);
  bench.m_reach.RecordFailure(bench.m_servers[0]);
  bench.m_reach.RecordFailure(bench.m_servers[1]);
  REQUIRE(bench.m_reach.HasLostLinks());
  bench.m_servers.clear();
  CHECK(bench.Due().empty());
  CHECK_FALSE(bench.m_reach.HasLostLinks());
  CHECK(bench.m_reach.CountUnreachable() == 0);
}

} // namespace
} // namespace rattanweir
