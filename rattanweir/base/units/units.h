// Strong types, parsing and formatting for quantities with a unit.
//
//   Tokens cost(1'200);
//   std::chrono::nanoseconds timeout = ParseDuration("250ms");
//   ByteCount limit = ParseByteCount("64KiB");
//
// The parsers accept an integer directly followed by its unit and throw
// UnitError on anything else; the error message states the expected format.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace rattanweir {

// Thrown for a text that is not a quantity of the expected unit.
class UnitError : public std::invalid_argument
{
public:
  using std::invalid_argument::invalid_argument;
};

// A strongly typed number. `Tag` only distinguishes the types.
template<class Rep, class Tag>
class Quantity
{
public:
  constexpr Quantity() = default;
  explicit constexpr Quantity(Rep aValue)
    : m_value(aValue)
  {
  }

  constexpr Rep Value() const { return m_value; }

  constexpr Quantity& operator+=(Quantity aOther)
  {
    m_value += aOther.m_value;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity aOther)
  {
    m_value -= aOther.m_value;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity aLeft, Quantity aRight)
  {
    return aLeft += aRight;
  }
  friend constexpr Quantity operator-(Quantity aLeft, Quantity aRight)
  {
    return aLeft -= aRight;
  }
  friend constexpr auto operator<=>(const Quantity&, const Quantity&) = default;

private:
  Rep m_value = 0;
};

// Model tokens, prompt and generated alike.
using Tokens = Quantity<std::int64_t, struct TokensTag>;

// Tokens per second.
using TokenRate = Quantity<double, struct TokenRateTag>;

// Requests per second.
using RequestRate = Quantity<double, struct RequestRateTag>;

// How long work takes on a machine, relative to the usual time: 2 means twice
// as long.
using Pace = Quantity<double, struct PaceTag>;

// Bytes of memory or on the wire.
using ByteCount = Quantity<std::uint64_t, struct ByteCountTag>;

// Returns the duration times a factor, truncated to whole nanoseconds.
std::chrono::nanoseconds
ScaleDuration(std::chrono::nanoseconds aDuration, double aFactor);

// Parses a duration in us, ms, s, m or h, such as `250ms`. Throws UnitError.
std::chrono::nanoseconds
ParseDuration(std::string_view aText);

// Parses a size in B, KiB, MiB or GiB, such as `64KiB`. Throws UnitError.
ByteCount
ParseByteCount(std::string_view aText);

// Formats a duration for ParseDuration in the largest unit that is exact, such
// as `1500ms`. Truncates to whole microseconds.
std::string
FormatDuration(std::chrono::nanoseconds aDuration);

} // namespace rattanweir
