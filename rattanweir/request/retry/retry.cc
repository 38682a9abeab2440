#include "rattanweir/request/retry/retry.h"

#include <algorithm>
#include <optional>

namespace rattanweir {
namespace {

bool
IsRetryable(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::BackendConnectFailed:
    case ResultCode::BackendRefused:
    case ResultCode::BackendReset:
    case ResultCode::AnswerIncomplete:
    case ResultCode::AnswerMismatch:
    case ResultCode::PeerUnreachable:
    case ResultCode::PeerLost:
    // Refusals by a peer of requests that another instance may accept.
    case ResultCode::InstanceDraining:
    case ResultCode::InstanceNotReady:
    case ResultCode::InstancePaused:
    case ResultCode::NoBackendServer:
    case ResultCode::ResidencyRefused:
    case ResultCode::TooManyRequests:
    case ResultCode::TooManyConnections:
      return true;
    default:
      return false;
  }
}

std::optional<NoRetryReason>
FindNoRetryReason(const FailedAttempt& aFailure)
{
  if (!IsRetryable(aFailure.m_code)) {
    return NoRetryReason::NotRetryable;
  }
  const bool wasDispatched =
    aFailure.m_ran != Ran::No || aFailure.m_code == ResultCode::BackendRefused;
  if (wasDispatched && !aFailure.m_isIdempotent) {
    return NoRetryReason::NotIdempotent;
  }
  if (aFailure.m_hasResponseStarted && !aFailure.m_canResume) {
    return NoRetryReason::HasResponseStarted;
  }
  if (aFailure.m_timeLeft <= std::chrono::nanoseconds::zero()) {
    return NoRetryReason::NoTimeLeft;
  }
  if (aFailure.m_attempts >= kMaxAttempts) {
    return NoRetryReason::TooManyAttempts;
  }
  return std::nullopt;
}

} // namespace

RetryBudget::RetryBudget(const RetryBudgetOptions& aOptions)
  : m_options(aOptions)
  , m_available(aOptions.m_maxSaved)
{
}

void
RetryBudget::AddFirstAttempt()
{
  m_available =
    std::min(m_available + m_options.m_retriesPerAttempt, m_options.m_maxSaved);
}

bool
RetryBudget::TryAcquire()
{
  if (m_available < 1) {
    return false;
  }
  m_available -= 1;
  return true;
}

RetryDecision
DecideRetry(const FailedAttempt& aFailure, RetryBudget& aBudget)
{
  if (const auto reason = FindNoRetryReason(aFailure)) {
    return NoRetry{ *reason };
  }
  if (!aBudget.TryAcquire()) {
    return NoRetry{ NoRetryReason::BudgetSpent };
  }
  return RetryAllowed{};
}

} // namespace rattanweir
