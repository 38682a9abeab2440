#include "rattanweir/process/residency_conflicts/residency_conflicts.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;

const RouteId kRoute("r");
const ClientAccountId kAnna("anna");
const ClientAccountId kBert("bert");

// Guards against a log record for each of hundreds of requests a second.
TEST_CASE("a pair of route and account is logged once per interval, with the "
          "number of requests since")
{
  ManualClock clock;
  ResidencyConflicts conflicts({ .m_clock = clock });
  CHECK(conflicts.Record(kRoute, kAnna) == 1);
  for (int request = 0; request < 9; ++request) {
    clock.Advance(milliseconds(100));
    CHECK_FALSE(conflicts.Record(kRoute, kAnna));
  }
  CHECK(conflicts.Record(kRoute, kBert) == 1);
  clock.Advance(milliseconds(100));
  CHECK(conflicts.Record(kRoute, kAnna) == 10);
  CHECK(conflicts.CountOf(kRoute, kAnna) == 11);
  CHECK(conflicts.CountOf(kRoute, kBert) == 1);
}

// Guards against memory that grows with each configuration version.
TEST_CASE("the number of pairs is bounded, and the oldest is dropped")
{
  ManualClock clock;
  ResidencyConflicts conflicts({ .m_clock = clock, .m_maxPairs = 2 });
  conflicts.Record(kRoute, kAnna);
  clock.Advance(milliseconds(10));
  conflicts.Record(kRoute, kBert);
  clock.Advance(milliseconds(10));
  conflicts.Record(RouteId("s"), kAnna);
  CHECK(conflicts.CountOf(kRoute, kAnna) == 0);
  CHECK(conflicts.CountOf(kRoute, kBert) == 1);
  CHECK(conflicts.CountOf(RouteId("s"), kAnna) == 1);
}

} // namespace
} // namespace rattanweir
