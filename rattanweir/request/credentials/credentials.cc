#include "rattanweir/request/credentials/credentials.h"

#include "rattanweir/request/body/request_body.h"
#include "rattanweir/request/exchange/header_fields.h"

#include <array>
#include <string_view>

namespace rattanweir {
namespace {

constexpr std::array<std::string_view, 4> kForwardedNames = {
  "content-type",
  "accept",
  "accept-language",
  "user-agent",
};
constexpr std::string_view kBearerPrefix = "bearer ";

bool
IsForwarded(const HeaderField& aField, const std::optional<std::string>& aKey)
{
  for (const std::string_view name : kForwardedNames) {
    if (IsSameHeaderName(aField.m_name, name)) {
      return !aKey || aField.m_value.find(*aKey) == std::string::npos;
    }
  }
  return false;
}

std::optional<std::string>
BearerKey(const HeaderFields& aHeaders)
{
  const std::string* value = FindHeader(aHeaders, "authorization");
  if (value == nullptr || !HeaderNameStartsWith(*value, kBearerPrefix)) {
    return std::nullopt;
  }
  const std::size_t begin = value->find_first_not_of(' ', kBearerPrefix.size());
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  return value->substr(begin);
}

} // namespace

std::optional<std::string>
PresentedKey(const HeaderFields& aHeaders)
{
  std::optional<std::string> key = BearerKey(aHeaders);
  const std::string* other = FindHeader(aHeaders, "x-api-key");
  if (other == nullptr || other->empty()) {
    return key;
  }
  if (key && *key != *other) {
    throw RequestError(ResultCode::MalformedRequest,
                       "authorization and x-api-key contain different keys");
  }
  return *other;
}

HeaderFields
ForwardedHeaders(const HeaderFields& aHeaders,
                 const std::optional<std::string>& aKey)
{
  HeaderFields forwarded;
  for (const HeaderField& field : aHeaders) {
    if (IsForwarded(field, aKey)) {
      forwarded.push_back(field);
    }
  }
  return forwarded;
}

std::string
ForwardedTarget(const std::string& aTarget)
{
  const std::size_t mark = aTarget.find('?');
  if (mark == std::string::npos) {
    return aTarget;
  }
  const std::string query = RemoveKeyParameters(aTarget.substr(mark + 1));
  return query.empty() ? TargetPath(aTarget)
                       : TargetPath(aTarget) + "?" + query;
}

std::string
TargetPath(const std::string& aTarget)
{
  return aTarget.substr(0, aTarget.find_first_of("?#"));
}

} // namespace rattanweir
