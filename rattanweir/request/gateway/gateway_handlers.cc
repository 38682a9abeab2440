#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/gateway_handlers.h"

#include "rattanweir/process/logging/log.h"
#include "rattanweir/request/gateway/gateway_admission.h"
#include "rattanweir/request/gateway/request_run.h"

#include <utility>

namespace rattanweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr const char* kJson = "application/json";

std::string
Text(nanoseconds aDuration)
{
  return std::to_string(duration_cast<milliseconds>(aDuration).count());
}

std::string
Text(const std::optional<nanoseconds>& aDuration)
{
  return aDuration ? Text(*aDuration) : "none";
}

// Counts a request for as long as it is served.
class InFlight
{
public:
  explicit InFlight(std::size_t& aCount)
    : m_count(aCount)
  {
    ++m_count;
  }
  ~InFlight() { --m_count; }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

private:
  std::size_t& m_count;
};

// The one record of a request that was admitted, with what decided it.
void
LogEnd(const GatewayState& aState,
       const AdmittedRequest& aRequest,
       const RunReport& aReport,
       const std::optional<RequestError>& aError)
{
  const ResultCode code = aError ? aError->Code() : ResultCode::Ok;
  Log(
    aError ? LogLevel::Warning : LogLevel::Info,
    aError ? "request_failed" : "request_done",
    { { "request", aRequest.m_info.m_id.Value() },
      { "result", std::string(InfoOf(code).m_name) },
      { "ran", std::string(RanText(aReport.m_ran)) },
      { "route", aRequest.m_route.m_id.Value() },
      { "pool", aRequest.m_pool.Value() },
      { "account", aRequest.m_clientAccount.Value() },
      { "config", std::to_string(aRequest.m_config->Version().Value()) },
      { "place", aReport.m_place },
      { "sent", std::to_string(aReport.m_sent) },
      { "runs", std::to_string(aReport.m_runs) },
      { "waited_ms", Text(aReport.m_waited) },
      { "estimate_ms", Text(aReport.m_estimate) },
      { "began_ms", Text(aReport.m_began) },
      { "load_age_ms", Text(aReport.m_loadAge) },
      { "total_ms", Text(aState.m_clock.SteadyNow() - aRequest.m_receivedAt) },
      { "from_peer",
        aRequest.m_forwardedBy ? aRequest.m_forwardedBy->Value() : "none" },
      { "detail", aError ? aError->what() : "" } });
}

void
CountEnd(GatewayState& aState,
         const AdmittedRequest& aRequest,
         const RunReport& aReport)
{
  aState.m_metrics.Observe("rattanweir_request_seconds",
                           aState.m_clock.SteadyNow() - aRequest.m_receivedAt);
  aState.m_metrics.Observe("rattanweir_line_wait_seconds", aReport.m_waited);
  if (aReport.m_began) {
    aState.m_metrics.Observe("rattanweir_first_byte_seconds", *aReport.m_began);
  }
}

// Serves it, logs its end, and throws what it failed with.
Task<void>
ServeAdmitted(GatewayState& aState,
              const AdmittedRequest& aRequest,
              ResponseSink& aSink,
              CancelSource& aCancel)
{
  const InFlight counted(aState.m_inFlight);
  RequestRun run({ .m_state = aState,
                   .m_request = aRequest,
                   .m_sink = aSink,
                   .m_cancel = aCancel });
  std::optional<RequestError> failure;
  try {
    co_await run.Run();
  } catch (const RequestError& error) {
    failure = error;
  }
  LogEnd(aState, aRequest, run.Report(), failure);
  CountEnd(aState, aRequest, run.Report());
  if (failure) {
    throw RequestError(*failure);
  }
}

void
LogRefused(const char* aEvent,
           const std::string& aId,
           const RequestError& aError)
{
  Log(LogLevel::Info,
      aEvent,
      { { "request", aId },
        { "result", std::string(InfoOf(aError.Code()).m_name) },
        { "come_back_ms",
          aError.RetryAfter() ? std::to_string(aError.RetryAfter()->count())
                              : "never" },
        { "detail", aError.what() } });
}

} // namespace

GatewayEntryHandler::GatewayEntryHandler(GatewayState& aState)
  : m_state(aState)
{
}

Task<void>
GatewayEntryHandler::Handle(InboundRequest aInbound,
                            ResponseSink& aSink,
                            CancelSource& aCancel)
{
  std::optional<AdmittedRequest> request;
  const std::string id = m_state.m_protocol.ReadRequestId(aInbound);
  try {
    request = AdmitFromCaller(m_state, std::move(aInbound));
  } catch (const RequestError& error) {
    LogRefused("request_refused", id, error);
    throw;
  }
  co_await ServeAdmitted(m_state, *request, aSink, aCancel);
}

GatewayPeerHandler::GatewayPeerHandler(
  GatewayState& aState,
  std::function<std::string(std::string)> aControl)
  : m_state(aState)
  , m_control(std::move(aControl))
{
}

Task<void>
GatewayPeerHandler::Handle(InboundRequest aInbound,
                           ResponseSink& aSink,
                           CancelSource& aCancel)
{
  if (aInbound.m_target == kControlPath) {
    std::string response = m_control(std::move(aInbound.m_body));
    ResponseHead head{ .m_status = 200,
                       .m_headers = { { "content-type", kJson } },
                       .m_contentLength = response.size() };
    co_await aSink.WriteHead(std::move(head));
    co_await aSink.WriteChunk(std::move(response));
    co_await aSink.Finish();
    co_return;
  }
  std::optional<AdmittedRequest> request;
  const std::string id = m_state.m_protocol.ReadRequestId(aInbound);
  try {
    request = AdmitFromPeer(m_state, std::move(aInbound));
  } catch (const RequestError& error) {
    LogRefused("forwarded_refused", id, error);
    throw;
  }
  co_await ServeAdmitted(m_state, *request, aSink, aCancel);
}

Refusal
FormatRefusalForPeer(const RequestError& aError)
{
  Refusal refusal{ .m_body = aError.what() };
  refusal.m_head.m_status = InfoOf(aError.Code()).m_httpStatus;
  refusal.m_head.m_contentLength = refusal.m_body.size();
  refusal.m_head.m_headers = {
    { kHopResultField, std::to_string(static_cast<unsigned>(aError.Code())) },
    { kHopRanField, std::string(RanText(aError.HasRun())) },
  };
  if (const auto retryAfter = aError.RetryAfter()) {
    refusal.m_head.m_headers.push_back(
      { kHopRetryAfterField, std::to_string(retryAfter->count()) });
  }
  return refusal;
}

} // namespace rattanweir
