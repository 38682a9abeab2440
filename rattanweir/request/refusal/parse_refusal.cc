#include "rattanweir/request/refusal/parse_refusal.h"

#include "rattanweir/base/json/json.h"

namespace rattanweir {
namespace {

std::optional<Json::Value>
ParseObject(const std::string& aJson)
{
  std::optional<Json::Value> value = ParseJson(aJson);
  if (!value || !value->isObject()) {
    return std::nullopt;
  }
  return value;
}

} // namespace

RequestError
ParseRefusal(const std::string& aJson, ResultCode aFallbackCode)
{
  RequestError fallback(aFallbackCode,
                        "the refusal body is not a valid refusal object");
  const auto object = ParseObject(aJson);
  if (!object || !(*object)["code"].isUInt() || !(*object)["ran"].isString()) {
    return fallback;
  }
  const auto code = ResultCodeFromNumber((*object)["code"].asUInt());
  const auto ran = RanFromText((*object)["ran"].asString());
  if (!code || *code == ResultCode::Ok || !ran) {
    return fallback;
  }
  std::optional<std::chrono::milliseconds> retryAfter;
  if ((*object)["retry_after_ms"].isUInt()) {
    retryAfter =
      std::chrono::milliseconds((*object)["retry_after_ms"].asUInt());
  }
  const Json::Value& detail = (*object)["detail"];
  return RequestError(
    *code, detail.isString() ? detail.asString() : "", *ran, retryAfter);
}

} // namespace rattanweir
