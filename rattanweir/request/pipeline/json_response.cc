#include "rattanweir/request/pipeline/json_response.h"

#include <optional>
#include <utility>

namespace rattanweir {
namespace {

constexpr unsigned kStatusOk = 200;

[[noreturn]] void
ThrowMalformed(const std::string& aDetail)
{
  throw RequestError(ResultCode::MalformedRequest, aDetail);
}

} // namespace

Json::Value
RequireJsonObject(const std::string& aText)
{
  std::optional<Json::Value> value = ParseJson(aText);
  if (!value || !value->isObject()) {
    ThrowMalformed("the body is not a JSON object");
  }
  return *std::move(value);
}

std::string
RequireText(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = aObject[aName];
  if (!value.isString() || value.asString().empty()) {
    ThrowMalformed(std::string("the body has no string field ") + aName);
  }
  return value.asString();
}

Task<void>
WriteJsonResponse(std::string aText, ResponseSink& aSink)
{
  ResponseHead head{ .m_status = kStatusOk,
                     .m_headers = { { "content-type", "application/json" } },
                     .m_contentLength = aText.size() };
  co_await aSink.WriteHead(std::move(head));
  co_await aSink.WriteChunk(std::move(aText));
  co_await aSink.Finish();
}

} // namespace rattanweir
