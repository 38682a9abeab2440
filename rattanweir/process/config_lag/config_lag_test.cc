#include "rattanweir/process/config_lag/config_lag.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;

TEST_CASE("an instance that stays behind its peers reads again once a second")
{
  ManualClock clock;
  ConfigLagDetector detector({ .m_clock = clock });
  const SectionVersion older(7);
  const SectionVersion newer(9);
  CHECK_FALSE(detector.ShouldReadAgain(newer, older));
  CHECK_FALSE(detector.ShouldReadAgain(older, newer));
  clock.Advance(milliseconds(900));
  CHECK_FALSE(detector.ShouldReadAgain(older, newer));
  clock.Advance(milliseconds(100));
  CHECK(detector.ShouldReadAgain(older, newer));
  CHECK_FALSE(detector.ShouldReadAgain(older, newer));
  clock.Advance(milliseconds(1'000));
  CHECK(detector.ShouldReadAgain(older, newer));
  // Catching up starts the time anew.
  CHECK_FALSE(detector.ShouldReadAgain(newer, newer));
  clock.Advance(milliseconds(1'000));
  CHECK_FALSE(detector.ShouldReadAgain(older, newer));
}

} // namespace
} // namespace rattanweir
