#include "rattanweir/request/retry/retry.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::seconds;

std::optional<NoRetryReason>
ReasonOf(const RetryDecision& aDecision)
{
  const auto* none = std::get_if<NoRetry>(&aDecision);
  return none == nullptr ? std::nullopt : std::optional(none->m_reason);
}

TEST_CASE("a failure is retried only if the code and the request allow it")
{
  using Code = ResultCode;
  using Why = NoRetryReason;
  const seconds left(5);
  struct Row
  {
    FailedAttempt m_failure;
    std::optional<Why> m_reason;
  };
  const Row rows[] = {
    { { Code::BackendReset, Ran::Maybe, true, false, false, left, 1 }, {} },
    { { Code::BackendReset, Ran::Maybe, false, false, false, left, 1 },
      Why::NotIdempotent },
    { { Code::BackendConnectFailed, Ran::No, false, false, false, left, 1 },
      {} },
    { { Code::BackendRefused, Ran::No, true, false, false, left, 1 }, {} },
    { { Code::BackendRefused, Ran::No, false, false, false, left, 1 },
      Why::NotIdempotent },
    { { Code::NoBackendServer, Ran::No, false, false, false, left, 1 }, {} },
    { { Code::PeerLost, Ran::Maybe, false, false, false, left, 1 },
      Why::NotIdempotent },
    { { Code::AnswerIncomplete, Ran::Maybe, true, true, false, left, 1 },
      Why::HasResponseStarted },
    { { Code::AnswerIncomplete, Ran::Maybe, true, true, true, left, 1 }, {} },
    { { Code::BackendReset, Ran::Maybe, true, false, false, seconds(0), 1 },
      Why::NoTimeLeft },
    { { Code::BackendReset, Ran::Maybe, true, false, false, left, 4 },
      Why::TooManyAttempts },
    { { Code::DeadlineExceeded, Ran::Maybe, true, false, false, left, 1 },
      Why::NotRetryable },
    { { Code::CallerGone, Ran::Maybe, true, false, false, left, 1 },
      Why::NotRetryable },
    { { Code::KeyWithdrawn, Ran::No, true, false, false, left, 1 },
      Why::NotRetryable },
  };
  for (const Row& row : rows) {
    INFO("code " << static_cast<int>(row.m_failure.m_code));
    RetryBudget budget({});
    REQUIRE(ReasonOf(DecideRetry(row.m_failure, budget)) == row.m_reason);
    REQUIRE(budget.Available() == (row.m_reason ? 20 : 19));
  }
}

TEST_CASE("retries stay within a fraction of the first attempts")
{
  RetryBudget budget({ .m_retriesPerAttempt = 0.1, .m_maxSaved = 5 });
  const FailedAttempt failure{ .m_code = ResultCode::BackendReset,
                               .m_isIdempotent = true,
                               .m_timeLeft = seconds(5) };
  int retries = 0;
  for (int request = 0; request < 1000; ++request) {
    budget.AddFirstAttempt();
    if (!ReasonOf(DecideRetry(failure, budget))) {
      ++retries;
    }
  }
  REQUIRE(retries >= 100);
  REQUIRE(retries <= 105);
  REQUIRE(ReasonOf(DecideRetry(failure, budget)) == NoRetryReason::BudgetSpent);
}

} // namespace
} // namespace rattanweir
