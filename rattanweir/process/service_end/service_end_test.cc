#include "rattanweir/process/service_end/service_end.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLife{ 7 };
constexpr milliseconds kLongTimeout{ 8'000 };

const PoolId kPool("pool");

FleetRoute
Route(RequestKind aKind, bool aResumesStreams = false)
{
  return { .m_id = RouteId("route"),
           .m_kind = aKind,
           .m_resumesStreams = aResumesStreams,
           .m_pools = { { .m_pool = kPool } },
           .m_timeout = kLongTimeout };
}

RunClass
ClassOf(const FleetRoute& aRoute)
{
  return { .m_route = aRoute.m_id, .m_pool = aRoute.m_pools.front().m_pool };
}

void
RecordRuns(ServiceEnd& aEnd,
           const FleetRoute& aRoute,
           int aCount,
           milliseconds aDuration)
{
  for (int run = 0; run < aCount; ++run) {
    aEnd.RecordRun(ClassOf(aRoute), aDuration);
  }
}

// Returns whether a request that arrives now is sent.
bool
IsSent(const ManualClock& aClock,
       const ServiceEnd& aEnd,
       const FleetRoute& aRoute,
       milliseconds aTimeout)
{
  return aEnd.MayDispatch({ .m_route = aRoute,
                            .m_pool = aRoute.m_pools.front().m_pool,
                            .m_begunAt = aClock.SteadyNow(),
                            .m_deadline = aClock.SteadyNow() + aTimeout });
}

const FleetRoute kIdempotent = Route(RequestKind::Idempotent);
const FleetRoute kOnce = Route(RequestKind::NonIdempotent);
const FleetRoute kStream = Route(RequestKind::Stream);
const FleetRoute kResumable = Route(RequestKind::Stream, true);

struct Row
{
  const char* m_name;
  const FleetRoute& m_route;
  // The durations of earlier responses, all the same; none if 0.
  milliseconds m_runs;
  milliseconds m_sinceSignal;
  milliseconds m_timeout;
  bool m_isSent;
};

TEST_CASE("a stopping instance sends what is expected to end in its life")
{
  const Row rows[] = {
    { "deadline in time", kOnce, {}, milliseconds(3'100), seconds(3), true },
    { "deadline at the end", kOnce, {}, seconds(1), seconds(6), true },
    { "deadline late", kOnce, {}, milliseconds(3'100), seconds(4), false },
    { "stream late", kStream, {}, milliseconds(3'100), seconds(6), false },
    { "resumable late", kResumable, {}, seconds(4), seconds(6), false },
    { "idempotent late", kIdempotent, {}, seconds(4), seconds(6), false },
    { "unknown, once, early", kOnce, {}, seconds(1), kLongTimeout, false },
    { "unknown, resumable, early",
      kResumable,
      {},
      seconds(1),
      kLongTimeout,
      true },
    { "unknown, idempotent, early",
      kIdempotent,
      {},
      seconds(1),
      kLongTimeout,
      true },
    { "short, once, early",
      kOnce,
      milliseconds(100),
      milliseconds(2'700),
      kLongTimeout,
      true },
    { "short, stream, early",
      kStream,
      milliseconds(100),
      milliseconds(2'700),
      kLongTimeout,
      true },
    { "half of what is left",
      kOnce,
      milliseconds(2'200),
      milliseconds(2'700),
      kLongTimeout,
      false },
    { "long, resumable, early",
      kResumable,
      milliseconds(4'400),
      milliseconds(2'700),
      kLongTimeout,
      false },
    { "long, idempotent, early",
      kIdempotent,
      milliseconds(4'400),
      milliseconds(2'700),
      kLongTimeout,
      false },
    { "short, once, late",
      kOnce,
      milliseconds(100),
      milliseconds(3'100),
      kLongTimeout,
      false },
    { "short, resumable, late",
      kResumable,
      milliseconds(100),
      milliseconds(3'100),
      kLongTimeout,
      false },
    { "short, idempotent, late",
      kIdempotent,
      milliseconds(100),
      milliseconds(3'100),
      kLongTimeout,
      true },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    ManualClock clock;
    ServiceEnd end({ .m_clock = clock });
    RecordRuns(end, row.m_route, row.m_runs.count() > 0 ? 10 : 0, row.m_runs);
    CHECK(IsSent(clock, end, row.m_route, seconds(60)));
    end.Announce(clock.SteadyNow() + kLife);
    clock.Advance(row.m_sinceSignal);
    CHECK(IsSent(clock, end, row.m_route, row.m_timeout) == row.m_isSent);
  }
}

TEST_CASE("a few short responses do not tell how long a request may take")
{
  ManualClock clock;
  ServiceEnd end({ .m_clock = clock });
  RecordRuns(end, kIdempotent, 3, milliseconds(20));
  end.Announce(clock.SteadyNow() + kLife);
  clock.Advance(milliseconds(3'100));
  CHECK_FALSE(IsSent(clock, end, kIdempotent, kLife));
}

TEST_CASE("a rare long response keeps a request that runs once from being sent")
{
  ManualClock clock;
  ServiceEnd end({ .m_clock = clock });
  RecordRuns(end, kOnce, 63, milliseconds(20));
  RecordRuns(end, kOnce, 1, seconds(5));
  end.Announce(clock.SteadyNow() + kLife);
  clock.Advance(seconds(1));
  CHECK_FALSE(IsSent(clock, end, kOnce, seconds(7)));
  CHECK(IsSent(clock, end, kIdempotent, seconds(7)));
}

TEST_CASE("durations of routes that are gone are forgotten")
{
  ManualClock clock;
  ServiceEnd end({ .m_clock = clock });
  RecordRuns(end, kOnce, 10, milliseconds(20));
  end.Configure({});
  end.Announce(clock.SteadyNow() + kLife);
  CHECK_FALSE(IsSent(clock, end, kOnce, kLongTimeout));
}

TEST_CASE("a rare long response keeps late requests from being sent")
{
  ManualClock clock;
  ServiceEnd end({ .m_clock = clock });
  RecordRuns(end, kIdempotent, 63, milliseconds(30));
  RecordRuns(end, kIdempotent, 1, milliseconds(4'700));
  end.Announce(clock.SteadyNow() + kLife);
  clock.Advance(milliseconds(2'990));
  CHECK_FALSE(IsSent(clock, end, kIdempotent, seconds(6)));
}

TEST_CASE("a request whose body arrives slowly is judged by when it began")
{
  for (const FleetRoute& route : { kOnce, kStream, kResumable, kIdempotent }) {
    for (const bool isShort : { true, false }) {
      ManualClock clock;
      ServiceEnd end({ .m_clock = clock });
      RecordRuns(end, route, 10, isShort ? milliseconds(100) : seconds(2));
      end.Announce(clock.SteadyNow() + kLife);
      const SteadyTime begunAt = clock.SteadyNow() + milliseconds(2'500);
      clock.Advance(milliseconds(3'400));
      CHECK(end.MayDispatch({ .m_route = route,
                              .m_pool = kPool,
                              .m_begunAt = begunAt,
                              .m_deadline = clock.SteadyNow() + seconds(6) }) ==
            isShort);
    }
  }
}

TEST_CASE("a few short responses suffice for a request that runs once")
{
  for (const bool isShort : { true, false }) {
    ManualClock clock;
    ServiceEnd end({ .m_clock = clock });
    RecordRuns(end, kOnce, 3, isShort ? milliseconds(60) : seconds(2));
    end.Announce(clock.SteadyNow() + kLife);
    clock.Advance(milliseconds(1'700));
    CHECK(IsSent(clock, end, kOnce, seconds(6)) == isShort);
  }
}

TEST_CASE("a route without responses is judged by its pool's other routes")
{
  const FleetRoute other{ .m_id = RouteId("other"),
                          .m_pools = { { .m_pool = kPool } } };
  const FleetRoute elsewhere{ .m_id = RouteId("elsewhere"),
                              .m_pools = { { .m_pool = PoolId("x") } } };
  for (const FleetRoute& known : { other, elsewhere }) {
    ManualClock clock;
    ServiceEnd end({ .m_clock = clock });
    RecordRuns(end, known, 10, milliseconds(60));
    end.Announce(clock.SteadyNow() + kLife);
    clock.Advance(milliseconds(1'700));
    CHECK(IsSent(clock, end, kOnce, seconds(6)) ==
          (known.m_pools.front().m_pool == kPool));
  }
}

TEST_CASE("a route that moves to another pool is not judged by the former one")
{
  FleetRoute moved = kOnce;
  moved.m_pools = { { .m_pool = PoolId("next") } };
  ManualClock clock;
  ServiceEnd end({ .m_clock = clock });
  end.Configure({ kOnce });
  RecordRuns(end, kOnce, 10, milliseconds(60));
  end.Configure({ moved });
  end.Announce(clock.SteadyNow() + kLife);
  clock.Advance(milliseconds(1'700));
  CHECK_FALSE(IsSent(clock, end, moved, seconds(6)));
}

TEST_CASE("durations that a shorter timeout may have ended are forgotten")
{
  for (const bool isClose : { false, true }) {
    FleetRoute before = kOnce;
    before.m_timeout = seconds(1);
    ManualClock clock;
    ServiceEnd end({ .m_clock = clock });
    end.Configure({ before });
    RecordRuns(end, before, 10, milliseconds(isClose ? 900 : 60));
    end.Configure({ kOnce });
    end.Announce(clock.SteadyNow() + kLife);
    clock.Advance(milliseconds(1'700));
    CHECK(IsSent(clock, end, kOnce, seconds(6)) == !isClose);
  }
}

TEST_CASE("an instance's own knowledge outweighs a few responses of a peer")
{
  ManualClock clock;
  ServiceEnd end({ .m_clock = clock });
  RecordRuns(end, kIdempotent, 64, milliseconds(20));
  end.Announce(clock.SteadyNow() + kLife);
  end.AddPeerRuns(
    { { ClassOf(kIdempotent),
        { .m_count = 3, .m_usual = seconds(6), .m_longest = seconds(6) } } });
  clock.Advance(seconds(2));
  CHECK(IsSent(clock, end, kIdempotent, seconds(6)));
}

TEST_CASE("a peer that states no responses does not change what is known")
{
  ManualClock clock;
  ServiceEnd end({ .m_clock = clock });
  RecordRuns(end, kOnce, 64, milliseconds(20));
  end.Announce(clock.SteadyNow() + kLife);
  end.AddPeerRuns(
    { { ClassOf(kOnce), { .m_usual = seconds(6), .m_longest = seconds(6) } } });
  clock.Advance(seconds(2));
  CHECK(IsSent(clock, end, kOnce, seconds(6)));
}

TEST_CASE("durations of the pool's other routes need the larger reserve")
{
  const FleetRoute other{ .m_id = RouteId("other"),
                          .m_kind = RequestKind::Idempotent,
                          .m_pools = { { .m_pool = kPool } } };
  ManualClock clock;
  ServiceEnd end({ .m_clock = clock });
  RecordRuns(end, other, 64, seconds(2));
  end.Announce(clock.SteadyNow() + kLife);
  clock.Advance(seconds(2));
  CHECK_FALSE(IsSent(clock, end, kOnce, seconds(6)));
}

TEST_CASE("a request that is complete late is not sent when a silence of its "
          "server would outlive the instance")
{
  for (const FleetRoute& route : { kOnce, kStream, kResumable }) {
    ManualClock clock;
    ServiceEnd end({ .m_clock = clock });
    RecordRuns(end, route, 64, milliseconds(100));
    end.Announce(clock.SteadyNow() + kLife);
    const SteadyTime begunAt = clock.SteadyNow() + milliseconds(2'500);
    clock.Advance(milliseconds(6'500));
    CHECK_FALSE(
      end.MayDispatch({ .m_route = route,
                        .m_pool = kPool,
                        .m_begunAt = begunAt,
                        .m_deadline = clock.SteadyNow() + seconds(6) }));
  }
}

TEST_CASE("few known responses do not favour a request that runs once")
{
  for (const FleetRoute& route : { kOnce, kIdempotent }) {
    ManualClock clock;
    ServiceEnd end({ .m_clock = clock });
    RecordRuns(end, route, 3, milliseconds(20));
    end.Announce(clock.SteadyNow() + kLife);
    const SteadyTime begunAt = clock.SteadyNow() + milliseconds(2'700);
    clock.Advance(milliseconds(2'900));
    INFO("may run once: " << !route.IsRetryable());
    CHECK(end.MayDispatch({ .m_route = route,
                            .m_pool = kPool,
                            .m_begunAt = begunAt,
                            .m_deadline = clock.SteadyNow() + seconds(6) }));
  }
}

TEST_CASE("requests that ended before their response keep late ones from being "
          "sent, until enough responses followed")
{
  for (const int runsAfter : { 2, 65 }) {
    ManualClock clock;
    ServiceEnd end({ .m_clock = clock });
    RecordRuns(end, kIdempotent, 12, milliseconds(20));
    end.RecordUnfinishedRun(ClassOf(kIdempotent), seconds(6));
    end.RecordUnfinishedRun(ClassOf(kIdempotent), milliseconds(5));
    RecordRuns(end, kIdempotent, runsAfter, milliseconds(20));
    end.Announce(clock.SteadyNow() + kLife);
    clock.Advance(milliseconds(3'100));
    CHECK(IsSent(clock, end, kIdempotent, seconds(6)) == (runsAfter > 64));
  }
}

TEST_CASE("a request that its deadline ended does not make an instance refuse "
          "what it can serve")
{
  ManualClock clock;
  ServiceEnd end({ .m_clock = clock });
  RecordRuns(end, kOnce, 12, milliseconds(20));
  end.RecordUnfinishedRun(ClassOf(kOnce), seconds(6));
  end.Announce(clock.SteadyNow() + kLife);
  clock.Advance(milliseconds(2'500));
  CHECK(IsSent(clock, end, kOnce, seconds(6)));
}

TEST_CASE("responses that an instance and its peer have seen count once")
{
  ManualClock clock;
  ServiceEnd end({ .m_clock = clock });
  RecordRuns(end, kIdempotent, 5, milliseconds(20));
  end.AddPeerRuns(end.LocalRuns());
  end.Announce(clock.SteadyNow() + kLife);
  clock.Advance(milliseconds(3'100));
  CHECK_FALSE(IsSent(clock, end, kIdempotent, seconds(6)));
}

} // namespace
} // namespace rattanweir
