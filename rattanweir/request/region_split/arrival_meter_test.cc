#include "rattanweir/request/region_split/arrival_meter.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;

const PoolId kPool("p");

// Guards against figures of a process that has only just started.
TEST_CASE("the rate of arrivals is known after a second, and follows a change "
          "within another")
{
  ManualClock clock;
  ArrivalMeter meter({ .m_clock = clock });
  CHECK_FALSE(meter.RateOf(kPool));
  const auto arriveFor = [&](int aArrivals, milliseconds aGap) {
    for (int arrival = 0; arrival < aArrivals; ++arrival) {
      clock.Advance(aGap);
      meter.Record(kPool);
    }
  };
  arriveFor(40, milliseconds(20));
  CHECK_FALSE(meter.RateOf(kPool));
  arriveFor(200, milliseconds(20));
  REQUIRE(meter.RateOf(kPool));
  CHECK(meter.RateOf(kPool)->Value() == Approx(50).epsilon(0.1));
  arriveFor(10, milliseconds(100));
  CHECK(meter.RateOf(kPool)->Value() < 25);
  clock.Advance(std::chrono::seconds(10));
  CHECK(meter.RateOf(kPool)->Value() < 1);
}

} // namespace
} // namespace rattanweir
