// Whether a failed attempt may be made again elsewhere.
//
//   RetryBudget budget({});
//   budget.AddFirstAttempt();
//   const RetryDecision decision = DecideRetry(failure, budget);
//   if (std::holds_alternative<RetryAllowed>(decision)) ...
//
// Retries are bounded three ways: by what may be run twice, by the deadline,
// and by a budget that is a share of the first attempts, so that a failing
// pool is never asked much more often than a healthy one. For one thread.

#pragma once

#include "rattanweir/base/result/result_code.h"

#include <chrono>
#include <variant>

namespace rattanweir {

struct RetryBudgetOptions
{
  // Retries earned by one first attempt.
  double m_share = 0.1;
  // Retries at hand at the start, and the most that are ever saved up.
  double m_maximum = 20;
};

// A token bucket filled by first attempts.
class RetryBudget
{
public:
  explicit RetryBudget(const RetryBudgetOptions& aOptions);

  void AddFirstAttempt();

  // Takes one retry out of the budget, or returns false.
  bool TryAcquire();

  // Retries at hand.
  double Available() const { return m_available; }

private:
  RetryBudgetOptions m_options;
  double m_available;
};

// One attempt that ended without a whole answer.
struct FailedAttempt
{
  ResultCode m_code = ResultCode::InternalError;
  // Whether this attempt may have run.
  Ran m_ran = Ran::Maybe;
  bool m_isIdempotent = false;
  // The caller has part of the answer.
  bool m_hasResponseStarted = false;
  // The answer can go on at the offset that the caller has.
  bool m_canResume = false;
  std::chrono::nanoseconds m_timeLeft{};
  // Attempts made so far, this one included.
  unsigned m_attempts = 1;
};

// The most attempts at one request.
inline constexpr unsigned kMaxAttempts = 4;

struct RetryAllowed
{};

enum class NoRetryReason
{
  // The code stands for an end that another attempt cannot change.
  Final,
  // Not idempotent, and a backend server has seen it. Its word that it did not
  // run the request goes to the caller, who may try again.
  WasDispatched,
  HasResponseStarted,
  NoTimeLeft,
  TooManyAttempts,
  BudgetSpent,
};

struct NoRetry
{
  NoRetryReason m_reason = NoRetryReason::Final;
};

using RetryDecision = std::variant<RetryAllowed, NoRetry>;

// Takes from the budget if and only if the answer is RetryAllowed.
RetryDecision
DecideRetry(const FailedAttempt& aFailure, RetryBudget& aBudget);

} // namespace rattanweir
