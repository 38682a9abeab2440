#include "rattanweir/request/pipeline/keyed_runs.h"

#include "rattanweir/request/wait/wait.h"

#include <boost/asio/co_spawn.hpp>
#include <xxhash.h>

#include <utility>

namespace rattanweir {

// Passes the outcome of a run to the one task that waits for it.
class PendingOutcome
{
public:
  explicit PendingOutcome(const Executor& aExecutor)
    : m_wakeUp(aExecutor)
  {
  }

  void Set(StoredOutcome aOutcome)
  {
    m_outcome = std::move(aOutcome);
    m_wakeUp.Wake();
  }

  std::optional<StoredOutcome> m_outcome;
  WakeableTimer m_wakeUp;
  AttemptsReport m_report;
};

namespace {

// Maximum size of a response that is stored for repeats.
constexpr std::size_t kMaxResponseBytes = std::size_t{ 4 } << 20U;

// Buffers the complete response instead of forwarding it.
class BufferingSink final : public ResponseSink
{
public:
  Task<void> WriteHead(ResponseHead aHead) override
  {
    m_hasHead = true;
    m_response.m_status = aHead.m_status;
    for (HeaderField& field : aHead.m_headers) {
      // The response to a repeat carries the request id of the repeat.
      if (field.m_name != kRequestField) {
        m_response.m_headers.emplace_back(std::move(field.m_name),
                                          std::move(field.m_value));
      }
    }
    co_return;
  }

  Task<void> WriteChunk(std::string aChunk) override
  {
    if (m_response.m_body.size() + aChunk.size() > kMaxResponseBytes) {
      throw RequestError(
        ResultCode::AnswerTooLarge,
        "the response exceeds the 4 MiB that an instance stores");
    }
    m_response.m_body += aChunk;
    co_return;
  }

  Task<void> Finish() override { co_return; }

  bool HasHead() const override { return m_hasHead; }

  StoredResponse ReleaseResponse() { return std::move(m_response); }

private:
  bool m_hasHead = false;
  StoredResponse m_response;
};

std::uint64_t
Fingerprint(const RequestPlan& aPlan)
{
  std::string text = aPlan.m_method + '\n' + aPlan.m_target + '\n';
  text += *aPlan.m_body;
  return XXH64(text.data(), text.size(), 0);
}

Task<void>
WriteStoredResponse(StoredResponse aResponse,
                    const RequestPlan& aPlan,
                    ResponseSink& aSink)
{
  ResponseHead head{ .m_status = aResponse.m_status,
                     .m_headers = { { kRequestField, aPlan.m_id.Value() } },
                     .m_contentLength = aResponse.m_body.size() };
  for (auto& [name, value] : aResponse.m_headers) {
    head.m_headers.push_back({ std::move(name), std::move(value) });
  }
  co_await aSink.WriteHead(std::move(head));
  if (!aResponse.m_body.empty()) {
    co_await aSink.WriteChunk(std::move(aResponse.m_body));
  }
  co_await aSink.Finish();
}

Ran
RanFromOutcome(const StoredOutcome& aOutcome)
{
  const auto* failure = std::get_if<StoredFailure>(&aOutcome);
  return failure == nullptr ? Ran::Yes : failure->m_ran;
}

} // namespace

KeyedRuns::KeyedRuns(ServingContext& aServing)
  : m_serving(aServing)
{
}

Task<void>
KeyedRuns::Serve(RequestPlan aPlan,
                 IdempotencyKey aKey,
                 ResponseSink& aSink,
                 CancelSource& aCancel,
                 AttemptsReport& aReport)
{
  auto pending = std::make_shared<PendingOutcome>(m_serving.m_executor);
  KeyUse use{
    .m_binding = { .m_route = aPlan.m_route.m_id,
                   .m_clientAccount = aPlan.m_clientAccount },
    .m_fingerprint = Fingerprint(aPlan),
    .m_waiter =
      [pending](const StoredOutcome& aOutcome) { pending->Set(aOutcome); },
  };
  const ClaimResult claim =
    m_serving.m_idempotencyLedger.Claim(aKey, std::move(use));
  if (const auto* refused = std::get_if<ClaimRefused>(&claim)) {
    throw RequestError(refused->m_code, refused->m_detail, refused->m_ran);
  }
  if (const auto* finished = std::get_if<ClaimCompleted>(&claim)) {
    pending->m_outcome = finished->m_outcome;
  }
  if (std::holds_alternative<ClaimGranted>(claim)) {
    ++m_running;
    asio::co_spawn(
      m_serving.m_executor, Run(aPlan, aKey, pending), asio::detached);
  }
  StoredOutcome outcome = co_await Wait(pending, aPlan.m_deadline, aCancel);
  aReport = pending->m_report;
  aReport.m_ran = RanFromOutcome(outcome);
  if (const auto* failure = std::get_if<StoredFailure>(&outcome)) {
    throw RequestError(failure->m_code, failure->m_detail, failure->m_ran);
  }
  StoredResponse response = std::get<StoredResponse>(std::move(outcome));
  co_await WriteStoredResponse(std::move(response), aPlan, aSink);
}

Task<StoredOutcome>
KeyedRuns::Wait(std::shared_ptr<PendingOutcome> aPending,
                SteadyTime aDeadline,
                CancelSource& aCancel)
{
  const auto timeLeft = aDeadline - m_serving.m_clock.SteadyNow();
  if (!aPending->m_outcome) {
    co_await aPending->m_wakeUp.WaitFor(timeLeft, aCancel);
  }
  if (aPending->m_outcome) {
    co_return *aPending->m_outcome;
  }
  // The run continues; only this caller stops waiting.
  const ResultCode reason =
    aCancel.Reason().value_or(ResultCode::DeadlineExceeded);
  throw RequestError(
    reason, "the request is still running under its key", Ran::Maybe);
}

Task<void>
KeyedRuns::Run(RequestPlan aPlan,
               IdempotencyKey aKey,
               std::shared_ptr<PendingOutcome> aPending)
{
  const StoredOutcome outcome =
    co_await RunToOutcome(aPlan, aPending->m_report);
  --m_running;
  const auto* failure = std::get_if<StoredFailure>(&outcome);
  if (failure != nullptr && failure->m_ran == Ran::No) {
    m_serving.m_idempotencyLedger.Release(aKey, *failure);
  } else {
    m_serving.m_idempotencyLedger.Complete(aKey, outcome);
  }
  aPending->Set(outcome);
}

Task<StoredOutcome>
KeyedRuns::RunToOutcome(const RequestPlan& aPlan, AttemptsReport& aReport)
{
  CancelSource cancel;
  BufferingSink sink;
  const RunOptions options{ .m_reservesRate = true };
  try {
    co_await RunRequest(m_serving, aPlan, options, sink, cancel, aReport);
  } catch (const RequestError& error) {
    co_return StoredFailure{ .m_code = error.Code(),
                             .m_ran = error.HasRun(),
                             .m_detail = error.what() };
  } catch (const std::exception&) {
    co_return StoredFailure{ .m_code = ResultCode::InternalError,
                             .m_ran = Ran::Maybe,
                             .m_detail =
                               "internal error while running the request" };
  }
  co_return sink.ReleaseResponse();
}

} // namespace rattanweir
