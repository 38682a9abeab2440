#include "rattanweir/connection/admin/admin_query.h"

#include "rattanweir/base/result/result_code.h"

#include <charconv>

namespace rattanweir {
namespace {

constexpr std::size_t kEscapeDigits = 2;
constexpr int kHexadecimal = 16;

char
DecodeEscape(std::string_view aDigits)
{
  unsigned char byte = 0;
  const char* const end = aDigits.data() + aDigits.size();
  const auto parsed = std::from_chars(aDigits.data(), end, byte, kHexadecimal);
  if (aDigits.size() != kEscapeDigits || parsed.ec != std::errc() ||
      parsed.ptr != end) {
    throw RequestError(
      ResultCode::MalformedRequest,
      "invalid percent escape: expected two hexadecimal digits after %");
  }
  return static_cast<char>(byte);
}

std::string
Decode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] == '+') {
      decoded += ' ';
    } else if (aText[index] == '%') {
      decoded += DecodeEscape(aText.substr(index + 1, kEscapeDigits));
      index += kEscapeDigits;
    } else {
      decoded += aText[index];
    }
  }
  return decoded;
}

// Removes and returns the text before the first `aDelimiter`; removes the
// delimiter too.
std::string_view
ConsumeUntil(std::string_view& aText, char aDelimiter)
{
  const std::string_view consumed = aText.substr(0, aText.find(aDelimiter));
  aText.remove_prefix(std::min(aText.size(), consumed.size() + 1));
  return consumed;
}

} // namespace

std::optional<std::string>
AdminQuery::Find(const std::string& aName) const
{
  const auto found = m_parameters.find(aName);
  return found == m_parameters.end() ? std::nullopt
                                     : std::optional(found->second);
}

std::string
AdminQuery::Require(const std::string& aName) const
{
  if (const auto value = Find(aName)) {
    return *value;
  }
  throw RequestError(ResultCode::MalformedRequest,
                     "query parameter " + aName + " is missing");
}

AdminQuery
ParseAdminTarget(std::string_view aTarget)
{
  AdminQuery query{ .m_path = Decode(ConsumeUntil(aTarget, '?')) };
  while (!aTarget.empty()) {
    std::string_view value = ConsumeUntil(aTarget, '&');
    const std::string name = Decode(ConsumeUntil(value, '='));
    if (name.empty()) {
      continue;
    }
    if (!query.m_parameters.emplace(name, Decode(value)).second) {
      throw RequestError(ResultCode::MalformedRequest,
                         "query parameter " + name + " occurs twice");
    }
  }
  return query;
}

} // namespace rattanweir
