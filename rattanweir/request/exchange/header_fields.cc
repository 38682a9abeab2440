#include "rattanweir/request/exchange/header_fields.h"

#include <algorithm>
#include <charconv>

namespace rattanweir {
namespace {

char
ToLower(char aCharacter)
{
  const bool isUpper = aCharacter >= 'A' && aCharacter <= 'Z';
  return isUpper ? static_cast<char>(aCharacter - 'A' + 'a') : aCharacter;
}

} // namespace

bool
IsSameHeaderName(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [](char aOne, char aOther) { return ToLower(aOne) == ToLower(aOther); });
}

const std::string*
FindHeader(const HeaderFields& aFields, std::string_view aName)
{
  for (const HeaderField& field : aFields) {
    if (IsSameHeaderName(field.m_name, aName)) {
      return &field.m_value;
    }
  }
  return nullptr;
}

bool
HeaderNameStartsWith(std::string_view aName, std::string_view aPrefix)
{
  return IsSameHeaderName(aName.substr(0, aPrefix.size()), aPrefix);
}

std::optional<std::uint64_t>
ParseDecimal(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* const end = aText.data() + aText.size();
  const auto [parsed, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc() || parsed != end || aText.empty()) {
    return std::nullopt;
  }
  return value;
}

bool
HasMediaType(const HeaderFields& aFields, std::string_view aType)
{
  const std::string* value = FindHeader(aFields, "content-type");
  return value != nullptr && HeaderNameStartsWith(*value, aType);
}

} // namespace rattanweir
