#include "rattanweir/base/units/units.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

TEST_CASE("durations and sizes are parsed with their unit")
{
  REQUIRE(ParseDuration("250ms") == 250ms);
  REQUIRE(ParseDuration("100us") == 100us);
  REQUIRE(ParseDuration("30s") == 30s);
  REQUIRE(ParseDuration("5m") == 5min);
  REQUIRE(ParseDuration("2h") == 2h);
  REQUIRE(ParseByteCount("512B") == ByteCount(512));
  REQUIRE(ParseByteCount("64KiB") == ByteCount(65'536));
}

TEST_CASE("a text without a known unit is rejected")
{
  const char* text = GENERATE(
    "", "5", "ms", "-1s", "5 s", "5sec", "1.5s", "99999999999999h", "0x10s");
  CAPTURE(text);
  REQUIRE_THROWS_AS(ParseDuration(text), UnitError);
  REQUIRE_THROWS_AS(ParseByteCount(text), UnitError);
}

TEST_CASE("a formatted duration is parsed back to the same value")
{
  const auto duration = GENERATE(0ns, 1500ms, 2h, 90s, 1us);
  REQUIRE(ParseDuration(FormatDuration(duration)) == duration);
}

} // namespace
} // namespace rattanweir
