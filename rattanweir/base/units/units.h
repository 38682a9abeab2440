// Strong types and text forms for amounts that carry a unit.
//
//   Tokens cost(1'200);
//   std::chrono::nanoseconds timeout = ParseDuration("250ms");
//   ByteCount limit = ParseByteCount("64KiB");
//
// The parsers take a whole number followed at once by its unit and throw
// UnitError on anything else; the message says what was expected.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace rattanweir {

// A text that is no amount of the wanted unit.
class UnitError : public std::invalid_argument
{
public:
  using std::invalid_argument::invalid_argument;
};

// A number of `Rep` with a meaning of its own.
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

// Tokens a second.
using TokenRate = Quantity<double, struct TokenRateTag>;

// Bytes of memory or on the wire.
using ByteCount = Quantity<std::uint64_t, struct ByteCountTag>;

// The duration times a factor, cut off to a whole nanosecond.
std::chrono::nanoseconds
ScaleDuration(std::chrono::nanoseconds aDuration, double aFactor);

// Parses `250ms`, `30s`, `5m` or `2h`, or `100us`. Throws UnitError.
std::chrono::nanoseconds
ParseDuration(std::string_view aText);

// Parses `512B`, `64KiB`, `8MiB` or `1GiB`. Throws UnitError.
ByteCount
ParseByteCount(std::string_view aText);

// The shortest exact text that ParseDuration reads back, such as `1500ms`.
// Anything below a microsecond is cut off.
std::string
FormatDuration(std::chrono::nanoseconds aDuration);

} // namespace rattanweir
