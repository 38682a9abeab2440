#include "rattanweir/request/body/request_body.h"

#include "rattanweir/base/json/json.h"
#include "rattanweir/request/exchange/header_fields.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace rattanweir {
namespace {

constexpr std::array<const char*, 2> kKeyFields = { "api_key", "access_token" };
constexpr std::array<const char*, 3> kKeyParameters = { "key",
                                                        "api_key",
                                                        "access_token" };

[[noreturn]] void
ThrowMalformed(const std::string& aDetail)
{
  throw RequestError(ResultCode::MalformedRequest, aDetail);
}

bool
ShouldParseAsJson(const HeaderFields& aHeaders, const std::string& aText)
{
  if (HasMediaType(aHeaders, "application/json")) {
    return !aText.empty();
  }
  const std::size_t first = aText.find_first_not_of(" \t\r\n\xEF\xBB\xBF");
  return first != std::string::npos && aText[first] == '{';
}

bool
RemoveKeyFields(Json::Value& aObject)
{
  bool isChanged = false;
  for (const char* const field : kKeyFields) {
    isChanged = aObject.removeMember(field, nullptr) || isChanged;
  }
  return isChanged;
}

void
ReadFields(const Json::Value& aObject, RequestBody& aBody)
{
  const Json::Value& model = aObject["model"];
  if (!model.isNull()) {
    if (!model.isString()) {
      ThrowMalformed("field \"model\" is not a string");
    }
    aBody.m_model = ModelId(model.asString());
  }
  const Json::Value& prompt = aObject["prompt"];
  if (prompt.isString()) {
    const std::string text = prompt.asString();
    aBody.m_promptBytes = text.size();
    const ModelId scope = aBody.m_model.value_or(ModelId());
    aBody.m_promptPrefix = HashPrefix(scope.Value(), text);
  }
  const Json::Value& maxTokens = aObject["max_tokens"];
  if (!maxTokens.isNull()) {
    if (!maxTokens.isInt64() || maxTokens.asInt64() < 0) {
      ThrowMalformed("field \"max_tokens\" is not a non-negative integer");
    }
    aBody.m_maxTokens = maxTokens.asInt64();
  }
}

int
HexDigit(char aCharacter)
{
  if (aCharacter >= '0' && aCharacter <= '9') {
    return aCharacter - '0';
  }
  if (aCharacter >= 'a' && aCharacter <= 'f') {
    return aCharacter - 'a' + 10;
  }
  if (aCharacter >= 'A' && aCharacter <= 'F') {
    return aCharacter - 'A' + 10;
  }
  return -1;
}

std::string
PercentDecode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    const bool hasDigits = aText[at] == '%' && at + 2 < aText.size();
    const int high = hasDigits ? HexDigit(aText[at + 1]) : -1;
    const int low = hasDigits ? HexDigit(aText[at + 2]) : -1;
    if (high < 0 || low < 0) {
      decoded.push_back(aText[at]);
      continue;
    }
    decoded.push_back(static_cast<char>(high * 16 + low));
    at += 2;
  }
  return decoded;
}

std::string
ParameterName(std::string_view aParameter)
{
  return PercentDecode(aParameter.substr(0, aParameter.find('=')));
}

bool
IsKeyParameter(std::string_view aParameter)
{
  const std::string name = ParameterName(aParameter);
  for (const char* const parameter : kKeyParameters) {
    if (IsSameHeaderName(name, parameter)) {
      return true;
    }
  }
  return false;
}

// Splits a query or form at each `&`.
std::vector<std::string_view>
SplitParameters(std::string_view aQuery)
{
  std::vector<std::string_view> parameters;
  std::size_t begin = 0;
  while (begin <= aQuery.size()) {
    const std::size_t end = std::min(aQuery.find('&', begin), aQuery.size());
    parameters.push_back(aQuery.substr(begin, end - begin));
    begin = end + 1;
  }
  return parameters;
}

} // namespace

RequestBody
ReadRequestBody(const HeaderFields& aHeaders, std::string aText)
{
  RequestBody body;
  if (HasMediaType(aHeaders, "application/x-www-form-urlencoded")) {
    aText = RemoveKeyParameters(aText);
  }
  body.m_promptBytes = aText.size();
  if (ShouldParseAsJson(aHeaders, aText)) {
    std::optional<Json::Value> parsed = ParseJson(aText);
    if (!parsed) {
      ThrowMalformed(
        "request body is not valid JSON, contains a field twice or is nested "
        "too deeply");
    }
    Json::Value value = *std::move(parsed);
    if (value.isObject()) {
      ReadFields(value, body);
      if (RemoveKeyFields(value)) {
        aText = JsonText(value);
      }
    }
  }
  body.m_text = std::make_shared<const std::string>(std::move(aText));
  return body;
}

std::string
RemoveKeyParameters(const std::string& aQuery)
{
  std::string kept;
  for (const std::string_view parameter : SplitParameters(aQuery)) {
    if (IsKeyParameter(parameter)) {
      continue;
    }
    if (!kept.empty()) {
      kept.push_back('&');
    }
    kept.append(parameter);
  }
  return kept;
}

} // namespace rattanweir
