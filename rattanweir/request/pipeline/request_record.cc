#include "rattanweir/request/pipeline/request_record.h"

#include "rattanweir/process/logging/log.h"

#include <chrono>
#include <exception>
#include <optional>
#include <utility>

namespace rattanweir {
namespace {

void
LogAndCount(const ServingContext& aServing,
            const RequestRecord& aRecord,
            const std::optional<RequestError>& aFailure)
{
  using std::chrono::milliseconds;
  const auto duration = aServing.m_clock.SteadyNow() - aRecord.m_receivedAt;
  aServing.m_metrics.Observe("rattanweir_request_seconds", duration);
  aServing.m_metrics.Count("rattanweir_requests_total");
  const ResultCode code = aFailure ? aFailure->Code() : ResultCode::Ok;
  const Ran ran = aFailure ? aFailure->HasRun() : Ran::Yes;
  const auto durationMs =
    std::chrono::duration_cast<milliseconds>(duration).count();
  Log(LogLevel::Info,
      "request_done",
      {
        { "request", aRecord.m_request.Value() },
        { "route", aRecord.m_route.Value() },
        { "client_account", aRecord.m_clientAccount.Value() },
        { "result", std::string(InfoOf(code).m_name) },
        { "ran", std::string(RanText(ran)) },
        { "attempts", std::to_string(aRecord.m_report.m_attempts) },
        { "ms", std::to_string(durationMs) },
      });
}

} // namespace

Task<void>
RunRecorded(const ServingContext& aServing,
            const RequestRecord& aRecord,
            Task<void> aTask)
{
  std::optional<RequestError> failure;
  try {
    co_await std::move(aTask);
  } catch (const RequestError& error) {
    failure = error;
  } catch (const std::exception& error) {
    failure = RequestError(ResultCode::InternalError, error.what());
  }
  LogAndCount(aServing, aRecord, failure);
  if (failure) {
    throw RequestError(*failure);
  }
}

} // namespace rattanweir
