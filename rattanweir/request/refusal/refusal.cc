#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/refusal/refusal.h"

#include "rattanweir/base/json/json.h"

namespace rattanweir {
namespace {

std::string
RefusalJson(const RequestError& aError)
{
  Json::Value value;
  value["code"] = static_cast<unsigned>(aError.Code());
  value["name"] = std::string(InfoOf(aError.Code()).m_name);
  value["ran"] = std::string(RanText(aError.HasRun()));
  if (const auto retryAfter = aError.RetryAfter()) {
    value["retry_after_ms"] = Json::Int64(retryAfter->count());
  }
  value["detail"] = aError.what();
  return JsonText(value);
}

} // namespace

Refusal
RefusalResponse(const RequestError& aError, const RequestId& aRequest)
{
  Refusal refusal{ .m_body = RefusalJson(aError) + "\n" };
  refusal.m_head.m_status = InfoOf(aError.Code()).m_httpStatus;
  refusal.m_head.m_contentLength = refusal.m_body.size();
  refusal.m_head.m_headers = {
    { "content-type", "application/json" },
    { "rattanweir-request", aRequest.Value() },
    { "rattanweir-result",
      std::to_string(static_cast<unsigned>(aError.Code())) },
    { "rattanweir-ran", std::string(RanText(aError.HasRun())) },
  };
  if (const auto retryAfter = aError.RetryAfter()) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*retryAfter);
    refusal.m_head.m_headers.push_back(
      { "Retry-After", std::to_string(seconds.count()) });
  }
  return refusal;
}

std::string
RefusalEvent(const RequestError& aError)
{
  return "event: error\ndata: " + RefusalJson(aError) + "\n\n";
}

} // namespace rattanweir
