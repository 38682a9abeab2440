#include "rattanweir/process/service_end/service_end.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLife{ 7 };
constexpr milliseconds kLongTimeout{ 8'000 };

FleetRoute
Route(RequestKind aKind, bool aResumesStreams = false)
{
  return { .m_id = RouteId("route"),
           .m_kind = aKind,
           .m_resumesStreams = aResumesStreams };
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
    for (int run = 0; run < 10 && row.m_runs.count() > 0; ++run) {
      end.RecordRun(row.m_route.m_id, row.m_runs);
    }
    CHECK(end.MayDispatch({ .m_route = row.m_route,
                            .m_deadline = clock.SteadyNow() + seconds(60) }));
    end.Announce(clock.SteadyNow() + kLife);
    clock.Advance(row.m_sinceSignal);
    CHECK(end.MayDispatch({ .m_route = row.m_route,
                            .m_deadline = clock.SteadyNow() +
                                          row.m_timeout }) == row.m_isSent);
  }
}

TEST_CASE("a few short responses do not tell how long a request may take")
{
  ManualClock clock;
  ServiceEnd end({ .m_clock = clock });
  for (int run = 0; run < 3; ++run) {
    end.RecordRun(kIdempotent.m_id, milliseconds(20));
  }
  end.Announce(clock.SteadyNow() + kLife);
  clock.Advance(milliseconds(3'100));
  CHECK_FALSE(end.MayDispatch(
    { .m_route = kIdempotent, .m_deadline = clock.SteadyNow() + kLife }));
}

TEST_CASE("a rare long response keeps a request that runs once from being sent")
{
  ManualClock clock;
  ServiceEnd end({ .m_clock = clock });
  for (int run = 0; run < 63; ++run) {
    end.RecordRun(kOnce.m_id, milliseconds(20));
  }
  end.RecordRun(kOnce.m_id, seconds(5));
  end.Announce(clock.SteadyNow() + kLife);
  clock.Advance(seconds(1));
  const SteadyTime deadline = clock.SteadyNow() + seconds(7);
  CHECK_FALSE(end.MayDispatch({ .m_route = kOnce, .m_deadline = deadline }));
  CHECK(end.MayDispatch({ .m_route = kIdempotent, .m_deadline = deadline }));
}

TEST_CASE("durations of routes that are gone are forgotten")
{
  ManualClock clock;
  ServiceEnd end({ .m_clock = clock });
  for (int run = 0; run < 10; ++run) {
    end.RecordRun(kOnce.m_id, milliseconds(20));
  }
  end.KeepOnly({});
  end.Announce(clock.SteadyNow() + kLife);
  CHECK_FALSE(end.MayDispatch(
    { .m_route = kOnce, .m_deadline = clock.SteadyNow() + kLongTimeout }));
}

} // namespace
} // namespace rattanweir
