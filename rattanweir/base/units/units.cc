#include "rattanweir/base/units/units.h"

#include <array>
#include <charconv>
#include <limits>

namespace rattanweir {
namespace {

struct Unit
{
  std::string_view m_suffix;
  std::uint64_t m_factor;
};

using std::chrono::duration_cast;
using std::chrono::nanoseconds;

constexpr std::uint64_t kNanosecondsPerMicrosecond = 1'000;
constexpr std::uint64_t kNanosecondsPerMillisecond = 1'000'000;
constexpr std::uint64_t kNanosecondsPerSecond = 1'000'000'000;

constexpr std::array<Unit, 5> kDurationUnits{ {
  { "us", kNanosecondsPerMicrosecond },
  { "ms", kNanosecondsPerMillisecond },
  { "s", kNanosecondsPerSecond },
  { "m", 60 * kNanosecondsPerSecond },
  { "h", 3'600 * kNanosecondsPerSecond },
} };

constexpr std::array<Unit, 4> kByteUnits{ {
  { "B", 1 },
  { "KiB", 1ULL << 10U },
  { "MiB", 1ULL << 20U },
  { "GiB", 1ULL << 30U },
} };

template<std::size_t Size>
std::uint64_t
ParseAmount(std::string_view aText,
            const std::array<Unit, Size>& aUnits,
            const char* aExpected)
{
  constexpr auto kMaxAmount =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  const std::string message =
    "'" + std::string(aText) + "' is not " + aExpected;
  std::uint64_t number = 0;
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (parsed.ec != std::errc()) {
    throw UnitError(message);
  }
  const std::string_view suffix(
    parsed.ptr,
    static_cast<std::size_t>(aText.data() + aText.size() - parsed.ptr));
  for (const Unit& unit : aUnits) {
    if (unit.m_suffix != suffix) {
      continue;
    }
    if (number > kMaxAmount / unit.m_factor) {
      throw UnitError(message + ": too large");
    }
    return number * unit.m_factor;
  }
  throw UnitError(message);
}

} // namespace

nanoseconds
ScaleDuration(nanoseconds aDuration, double aFactor)
{
  return nanoseconds(static_cast<std::int64_t>(
    aFactor * static_cast<double>(aDuration.count())));
}

nanoseconds
ParseDuration(std::string_view aText)
{
  return nanoseconds(ParseAmount(
    aText, kDurationUnits, "a duration such as 250ms, 30s, 5m or 2h"));
}

ByteCount
ParseByteCount(std::string_view aText)
{
  return ByteCount(
    ParseAmount(aText, kByteUnits, "a size such as 512B, 64KiB or 8MiB"));
}

std::string
FormatDuration(nanoseconds aDuration)
{
  const auto count = static_cast<std::uint64_t>(aDuration.count());
  for (auto unit = kDurationUnits.rbegin(); unit != kDurationUnits.rend();
       ++unit) {
    if (count != 0 && count % unit->m_factor == 0) {
      return std::to_string(count / unit->m_factor) +
             std::string(unit->m_suffix);
    }
  }
  return std::to_string(count / kNanosecondsPerMicrosecond) + "us";
}

} // namespace rattanweir
