#include "rattanweir/request/pipeline/request_record.h"

#include "rattanweir/process/logging/log.h"

#include <chrono>
#include <exception>
#include <optional>
#include <utility>

namespace rattanweir {
namespace {

void
RecordDone(const ServingContext& aServing,
           const RequestRecord& aRecord,
           const std::optional<RequestError>& aFailure)
{
  using std::chrono::milliseconds;
  const auto lasted = aServing.m_clock.SteadyNow() - aRecord.m_receivedAt;
  aServing.m_metrics.Observe("rattanweir_request_seconds", lasted);
  aServing.m_metrics.Count("rattanweir_requests_total");
  const ResultCode code = aFailure ? aFailure->Code() : ResultCode::Ok;
  const Ran ran = aFailure ? aFailure->HasRun() : Ran::Yes;
  const auto inMilliseconds =
    std::chrono::duration_cast<milliseconds>(lasted).count();
  Log(LogLevel::Info,
      "request_done",
      {
        { "request", aRecord.m_request.Value() },
        { "route", aRecord.m_route.Value() },
        { "client_account", aRecord.m_clientAccount.Value() },
        { "result", std::string(InfoOf(code).m_name) },
        { "ran", std::string(RanText(ran)) },
        { "attempts", std::to_string(aRecord.m_report.m_attempts) },
        { "ms", std::to_string(inMilliseconds) },
      });
}

} // namespace

Task<void>
RunRecorded(const ServingContext& aServing,
            const RequestRecord& aRecord,
            Task<void> aServed)
{
  std::optional<RequestError> failure;
  try {
    co_await std::move(aServed);
  } catch (const RequestError& error) {
    failure = error;
  } catch (const std::exception& error) {
    failure = RequestError(ResultCode::InternalError, error.what());
  }
  RecordDone(aServing, aRecord, failure);
  if (failure) {
    throw RequestError(*failure);
  }
}

} // namespace rattanweir
