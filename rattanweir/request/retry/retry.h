// Decides whether a failed attempt may be retried on another backend server or
// peer.
//
//   RetryBudget budget({});
//   budget.AddFirstAttempt();
//   const RetryDecision decision = DecideRetry(failure, budget);
//   if (std::holds_alternative<RetryAllowed>(decision)) ...
//
// Retries are limited by idempotency, by the deadline, and by a budget that is
// proportional to the first attempts, so that retries cannot multiply the load
// on a failing pool. Not thread-safe.

#pragma once

#include "rattanweir/base/result/result_code.h"

#include <chrono>
#include <variant>

namespace rattanweir {

struct RetryBudgetOptions
{
  // Retries added to the budget by one first attempt.
  double m_retriesPerAttempt = 0.1;
  // Initial budget, which is also its maximum.
  double m_maxSaved = 20;
};

// A token bucket filled by first attempts.
class RetryBudget
{
public:
  explicit RetryBudget(const RetryBudgetOptions& aOptions);

  void AddFirstAttempt();

  // Consumes one retry. Returns false if less than one is available.
  bool TryAcquire();

  // Returns the number of available retries.
  double Available() const { return m_available; }

private:
  RetryBudgetOptions m_options;
  double m_available;
};

// An attempt that ended without a complete response.
struct FailedAttempt
{
  ResultCode m_code = ResultCode::InternalError;
  // Whether the backend server may have run the request in this attempt.
  Ran m_ran = Ran::Maybe;
  bool m_isIdempotent = false;
  // Whether the caller has received part of the response.
  bool m_hasResponseStarted = false;
  // Whether the response can be resumed at the caller's offset.
  bool m_canResume = false;
  std::chrono::nanoseconds m_timeLeft{};
  // Attempts made so far, including this one.
  unsigned m_attempts = 1;
};

// Maximum number of attempts per request.
inline constexpr unsigned kMaxAttempts = 4;

struct RetryAllowed
{};

enum class NoRetryReason
{
  // Another attempt cannot change the outcome for this result code.
  NotRetryable,
  // The request is not idempotent and was dispatched to a backend server. If
  // the server reports that it did not run the request, the report is passed to
  // the caller, who may retry.
  NotIdempotent,
  HasResponseStarted,
  NoTimeLeft,
  TooManyAttempts,
  BudgetSpent,
};

struct NoRetry
{
  NoRetryReason m_reason = NoRetryReason::NotRetryable;
};

using RetryDecision = std::variant<RetryAllowed, NoRetry>;

// Decides whether to retry. Consumes one retry from the budget if and only if
// the result is RetryAllowed.
RetryDecision
DecideRetry(const FailedAttempt& aFailure, RetryBudget& aBudget);

} // namespace rattanweir
