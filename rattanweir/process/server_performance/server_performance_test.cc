#include "rattanweir/process/server_performance/server_performance.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

const PoolId kPool("p");
const BackendServerId kFast("fast@1");
const BackendServerId kSlow("slow@1");

// Records responses that take `aFactor` times 100 ms at the server.
void
Respond(ServerPerformance& aPerformance,
        const BackendServerId& aServer,
        double aFactor)
{
  const auto profile = aPerformance.ProfileOf(kPool, aServer);
  REQUIRE(profile);
  aPerformance.RecordStart(
    kPool,
    aServer,
    { .m_estimate = profile->WorkTime(Tokens(0)),
      .m_observed = ScaleDuration(milliseconds(100), aFactor) });
}

// Guards against new estimates at deployments whose servers state no pace.
TEST_CASE("a pool without a stated pace has no profile, and nothing is learned")
{
  ManualClock clock;
  ServerPerformance performance({ .m_clock = clock });
  performance.RecordStart(kPool, kFast, { .m_observed = milliseconds(100) });
  CHECK_FALSE(performance.ProfileOf(kPool, kFast));
  CHECK_FALSE(performance.ProfileOfRegion(kPool, BackendServerId("south/p")));
  performance.RecordPace(kPool, kFast, Pace(1));
  CHECK(performance.ProfileOf(kPool, kFast)->m_firstByteCost ==
        nanoseconds::zero());
  CHECK_FALSE(performance.IsProfiled(PoolId("other")));
}

// Guards against a slow server that is taken for as fast as the others.
TEST_CASE("a server's speed is learned beside the pool's cost")
{
  ManualClock clock;
  ServerPerformance performance({ .m_clock = clock });
  performance.RecordPace(kPool, kFast, Pace(1));
  performance.RecordPace(kPool, kSlow, Pace(1));
  for (int response = 0; response < 60; ++response) {
    Respond(performance, kFast, 1);
    Respond(performance, kFast, 1);
    Respond(performance, kSlow, 1.7);
  }
  const auto ratioOf = [&](const BackendServerId& aServer, double aFactor) {
    return static_cast<double>(performance.ProfileOf(kPool, aServer)
                                 ->WorkTime(Tokens(0))
                                 .count()) /
           (aFactor * 100e6);
  };
  CHECK(ratioOf(kFast, 1) >= 0.8);
  CHECK(ratioOf(kFast, 1) <= 1.25);
  CHECK(ratioOf(kSlow, 1.7) >= 0.8);
  CHECK(ratioOf(kSlow, 1.7) <= 1.25);
  // Another incarnation of the slow server starts with the pool's profile.
  CHECK(performance.ProfileOf(kPool, BackendServerId("slow@2"))->m_slowdown ==
        1);
}

// Guards against trust in a pace that has long changed, and in absurd ones.
TEST_CASE("a stated pace fades to the server's mean, and is bounded")
{
  ManualClock clock;
  ServerPerformance performance({ .m_clock = clock });
  for (int report = 0; report < 50; ++report) {
    performance.RecordPace(kPool, kFast, Pace(1));
  }
  performance.RecordPace(kPool, kFast, Pace(3));
  const auto slowdown = [&] {
    return performance.ProfileOf(kPool, kFast)->m_slowdown;
  };
  CHECK(slowdown() == Approx(3));
  clock.Advance(milliseconds(200));
  CHECK(slowdown() < 2.2);
  clock.Advance(std::chrono::seconds(3));
  CHECK(slowdown() == Approx(1.2).epsilon(0.01));
  performance.RecordPace(kPool, kSlow, Pace(1e6));
  CHECK(performance.ProfileOf(kPool, kSlow)->m_slowdown == Approx(10));
}

TEST_CASE("the state of servers that are not listed is removed")
{
  ManualClock clock;
  ServerPerformance performance({ .m_clock = clock });
  performance.RecordPace(kPool, kSlow, Pace(4));
  performance.KeepOnly({ kFast });
  CHECK(performance.ProfileOf(kPool, kSlow)->m_slowdown == 1);
}

} // namespace
} // namespace rattanweir
