#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/gateway_handlers.h"

#include "rattanweir/process/logging/log.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/gateway/gateway_admission.h"
#include "rattanweir/request/gateway/request_dispatcher.h"

#include <utility>

namespace rattanweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr const char* kJsonMediaType = "application/json";

// Counts a request in progress from construction to destruction.
class InFlightCounter
{
public:
  explicit InFlightCounter(std::size_t& aCount)
    : m_count(aCount)
  {
    ++m_count;
  }
  ~InFlightCounter() { --m_count; }
  InFlightCounter(const InFlightCounter&) = delete;
  InFlightCounter& operator=(const InFlightCounter&) = delete;

private:
  std::size_t& m_count;
};

// Writes the single log record of an admitted request.
void
LogCompletion(const GatewayState& aState,
              const AdmittedRequest& aRequest,
              const DispatchReport& aReport,
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
      { "place", aReport.m_destination },
      { "sent", std::to_string(aReport.m_dispatches) },
      { "runs", std::to_string(aReport.m_possibleRuns) },
      { "waited_ms", MillisecondsText(aReport.m_queueWait) },
      { "estimate_ms", MillisecondsText(aReport.m_estimatedStartDelay) },
      { "began_ms", MillisecondsText(aReport.m_timeToFirstByte) },
      { "load_age_ms", MillisecondsText(aReport.m_loadAge) },
      { "total_ms",
        MillisecondsText(aState.m_clock.SteadyNow() - aRequest.m_receivedAt) },
      { "unread_ms", MillisecondsText(aRequest.m_unreadFor) },
      { "gone_ms", MillisecondsText(aReport.m_sinceCallerLeft) },
      { "from_peer",
        aRequest.m_forwardedBy ? aRequest.m_forwardedBy->Value() : "none" },
      { "detail", aError ? aError->what() : "" } });
}

// Writes the record of a request that the end of this instance has cut.
void
LogCut(GatewayState& aState,
       const AdmittedRequest& aRequest,
       const DispatchReport& aReport)
{
  const SteadyTime now = aState.m_clock.SteadyNow();
  const SteadyTime announcedAt =
    aState.m_serviceEnd.AnnouncedAt().value_or(now);
  aState.m_metrics.Count("rattanweir_requests_cut_total");
  Log(
    LogLevel::Warning,
    "request_cut",
    { { "request", aRequest.m_info.m_id.Value() },
      { "route", aRequest.m_route.m_id.Value() },
      { "pool", aRequest.m_pool.Value() },
      { "place", aReport.m_destination },
      { "ran", std::string(RanText(aReport.m_ran)) },
      { "begun_after_signal_ms",
        MillisecondsText(aRequest.m_begunAt - announcedAt) },
      { "received_after_signal_ms",
        MillisecondsText(aRequest.m_receivedAt - announcedAt) },
      { "deadline_left_ms", MillisecondsText(aRequest.m_deadline - now) },
      { "running_ms", MillisecondsText(aReport.m_running) },
      { "silent_ms", MillisecondsText(aReport.m_sinceLastBytes) },
      { "events", std::to_string(aReport.m_events) },
      { "known_runs", std::to_string(aReport.m_knownRuns.m_count) },
      { "usual_ms", MillisecondsText(aReport.m_knownRuns.m_usual) },
      { "longest_ms", MillisecondsText(aReport.m_knownRuns.m_longest) },
      { "from_peer",
        aRequest.m_forwardedBy ? aRequest.m_forwardedBy->Value() : "none" } });
}

void
ObserveCompletion(GatewayState& aState,
                  const AdmittedRequest& aRequest,
                  const DispatchReport& aReport)
{
  aState.m_metrics.Observe("rattanweir_request_seconds",
                           aState.m_clock.SteadyNow() - aRequest.m_receivedAt);
  aState.m_metrics.Observe("rattanweir_line_wait_seconds", aReport.m_queueWait);
  if (aReport.m_timeToFirstByte) {
    aState.m_metrics.Observe("rattanweir_first_byte_seconds",
                             *aReport.m_timeToFirstByte);
  }
  if (aRequest.m_unreadFor) {
    aState.m_metrics.Observe("rattanweir_request_unread_seconds",
                             *aRequest.m_unreadFor);
  }
  if (aReport.m_sinceCallerLeft) {
    aState.m_metrics.Observe("rattanweir_departed_caller_seconds",
                             *aReport.m_sinceCallerLeft);
  }
}

// Serves the request, logs and counts its completion, and rethrows its error.
Task<void>
ServeAdmitted(GatewayState& aState,
              const AdmittedRequest& aRequest,
              ResponseSink& aSink,
              CancelSource& aCancel)
{
  const InFlightCounter counted(aState.m_inFlight);
  RequestDispatcher dispatcher({ .m_state = aState,
                                 .m_request = aRequest,
                                 .m_sink = aSink,
                                 .m_cancel = aCancel });
  std::optional<SteadyTime> cancelledAt;
  const auto registration =
    aCancel.OnCancel([&] { cancelledAt = aState.m_clock.SteadyNow(); });
  std::optional<RequestError> failure;
  try {
    co_await dispatcher.Run();
  } catch (const RequestError& error) {
    failure = error;
  }
  DispatchReport report = dispatcher.Report();
  if (cancelledAt && aCancel.Reason() == ResultCode::CallerGone) {
    report.m_sinceCallerLeft = aState.m_clock.SteadyNow() - *cancelledAt;
  }
  LogCompletion(aState, aRequest, report, failure);
  if (failure && aCancel.Reason() == ResultCode::InstanceDraining) {
    LogCut(aState, aRequest, report);
  }
  ObserveCompletion(aState, aRequest, report);
  if (failure) {
    throw RequestError(*failure);
  }
}

void
LogRefusal(const char* aEvent,
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
    co_await ResolveStreamOrigin(m_state, *request);
  } catch (const RequestError& error) {
    LogRefusal("request_refused", id, error);
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
  // The path of a forwarded request is its caller's, so it does not tell.
  const bool isForwarded =
    FindHeader(aInbound.m_headers, kHopFromField) != nullptr;
  if (!isForwarded && aInbound.m_target == kControlPath) {
    std::string response = m_control(std::move(aInbound.m_body));
    ResponseHead head{ .m_status = 200,
                       .m_headers = { { "content-type", kJsonMediaType } },
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
    LogRefusal("forwarded_refused", id, error);
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
