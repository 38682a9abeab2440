#include "rattanweir/version/yaml/reader.h"

#include <charconv>

namespace rattanweir {
namespace {

// Parses the complete text as a number. Returns nullopt on failure.
template<class T>
std::optional<T>
ParseNumber(const std::string& aText)
{
  T number{};
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::string
FormatNumber(double aValue)
{
  char text[32];
  const auto written = std::to_chars(text, text + sizeof(text), aValue);
  return { text, written.ptr };
}

// Returns whether the value is within the range; false for NaN.
template<class T>
bool
IsWithin(const T& aValue, const Range<T>& aRange)
{
  return aValue >= aRange.m_min && aValue <= aRange.m_max;
}

std::string
RangeFault(const std::string& aValue,
           const std::string& aMin,
           const std::string& aLargest)
{
  return aValue + " is not within " + aMin + " to " + aLargest;
}

} // namespace

std::int64_t
MappingReader::ReadInteger(std::string_view aField,
                           const Range<std::int64_t>& aRange,
                           std::optional<std::int64_t> aDefault)
{
  const std::int64_t fallback = aDefault.value_or(aRange.m_min);
  const std::optional<std::string> text = GetScalarOrDefault(aField, aDefault);
  if (!text) {
    return fallback;
  }
  const auto number = ParseNumber<std::int64_t>(*text);
  if (!number) {
    AddFault(aField, "'" + *text + "' is not a whole number");
    return fallback;
  }
  if (!IsWithin(*number, aRange)) {
    AddFault(aField,
             RangeFault(*text,
                        std::to_string(aRange.m_min),
                        std::to_string(aRange.m_max)));
    return fallback;
  }
  return *number;
}

double
MappingReader::ReadDecimal(std::string_view aField, const Range<double>& aRange)
{
  const std::optional<std::string> text = GetScalar(aField, true);
  if (!text) {
    return aRange.m_min;
  }
  const auto number = ParseNumber<double>(*text);
  if (!number) {
    AddFault(aField, "'" + *text + "' is not a number");
    return aRange.m_min;
  }
  if (!IsWithin(*number, aRange)) {
    AddFault(aField,
             RangeFault(
               *text, FormatNumber(aRange.m_min), FormatNumber(aRange.m_max)));
    return aRange.m_min;
  }
  return *number;
}

bool
MappingReader::ReadBoolean(std::string_view aField,
                           std::optional<bool> aDefault)
{
  return ReadChoice<bool>(
    aField, { { "false", false }, { "true", true } }, aDefault);
}

std::chrono::nanoseconds
MappingReader::ReadDuration(std::string_view aField,
                            const Range<std::chrono::nanoseconds>& aRange,
                            std::optional<std::chrono::nanoseconds> aDefault)
{
  const auto fallback = aDefault.value_or(aRange.m_min);
  const std::optional<std::string> text = GetScalarOrDefault(aField, aDefault);
  if (!text) {
    return fallback;
  }
  try {
    const auto duration = ParseDuration(*text);
    if (IsWithin(duration, aRange)) {
      return duration;
    }
    AddFault(aField,
             RangeFault(*text,
                        FormatDuration(aRange.m_min),
                        FormatDuration(aRange.m_max)));
  } catch (const UnitError& error) {
    AddFault(aField, error.what());
  }
  return fallback;
}

ByteCount
MappingReader::ReadByteCount(std::string_view aField,
                             const Range<ByteCount>& aRange,
                             std::optional<ByteCount> aDefault)
{
  const ByteCount fallback = aDefault.value_or(aRange.m_min);
  const std::optional<std::string> text = GetScalarOrDefault(aField, aDefault);
  if (!text) {
    return fallback;
  }
  try {
    const ByteCount bytes = ParseByteCount(*text);
    if (IsWithin(bytes, aRange)) {
      return bytes;
    }
    AddFault(aField,
             RangeFault(*text,
                        std::to_string(aRange.m_min.Value()) + "B",
                        std::to_string(aRange.m_max.Value()) + "B"));
  } catch (const UnitError& error) {
    AddFault(aField, error.what());
  }
  return fallback;
}

Endpoint
MappingReader::ReadEndpoint(std::string_view aField)
{
  const std::optional<std::string> text = GetScalar(aField, true);
  if (!text) {
    return {};
  }
  try {
    return ParseEndpoint(*text);
  } catch (const EndpointError& error) {
    AddFault(aField, error.what());
  }
  return {};
}

} // namespace rattanweir
