#include "rattanweir/request/shortage/shortage.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

const SteadyTime kNow{ std::chrono::hours(1) };

ShortageRequest
Request(unsigned aPriority = 0)
{
  return { .m_priority = aPriority,
           .m_receivedAt = kNow,
           .m_deadline = kNow + seconds(4),
           .m_objective = milliseconds(500),
           .m_startTime = milliseconds(100) };
}

SchedulingKey
KeyOf(const ShortageRequest& aRequest, bool aIsOverShare = false)
{
  return SchedulingKeyOf(aRequest, aIsOverShare, kNow);
}

TEST_CASE("the time of earlier attempts follows from what the caller has left")
{
  CHECK(TimeSpentBefore(seconds(4), milliseconds(3'990)) ==
        nanoseconds::zero());
  CHECK(TimeSpentBefore(seconds(4), seconds(3)) == seconds(1));
}

// Guards against an order by arrival alone, in which requests that are worth
// less to their callers hold up others.
TEST_CASE("a request that costs its caller less by waiting goes behind")
{
  const ShortageRequest first = Request();
  ShortageRequest longPrompt = first;
  longPrompt.m_startTime = milliseconds(300);
  ShortageRequest late = first;
  late.m_receivedAt = kNow - seconds(1);
  ShortageRequest retry = late;
  retry.m_spentBefore = seconds(1);
  CHECK(KeyOf(longPrompt) < KeyOf(first));
  CHECK(KeyOf(first) < KeyOf(first, true));
  CHECK(KeyOf(first, true) < KeyOf(late));
  CHECK(KeyOf(first) < KeyOf(retry));
  CHECK(KeyOf(retry) < KeyOf(late));
  CHECK(KeyOf(late) < KeyOf(Request(1)));
}

// Guards against requests that hold a place until their deadline in vain.
TEST_CASE("what cannot start before its deadline is refused at once")
{
  ShortageRequest request = Request();
  request.m_deadline = kNow + milliseconds(100);
  const WaitDecision decision = DecideWait(request, { .m_now = kNow });
  REQUIRE(std::holds_alternative<Shed>(decision));
  CHECK(std::get<Shed>(decision).m_reason == ShedReason::DeadlineUnreachable);
}

// Guards against a wait whose end is foreseeable, and against a Retry-After
// that leads into the same backlog.
TEST_CASE("a request is refused at once if the backlog outlasts its wait, and "
          "told when that backlog is gone")
{
  const auto decide = [](std::size_t aAhead) {
    return DecideWait(
      Request(),
      { .m_now = kNow, .m_requests = aAhead, .m_drainRate = RequestRate(10) });
  };
  CHECK(std::holds_alternative<KeepWaiting>(decide(15)));
  const WaitDecision decision = decide(30);
  REQUIRE(std::holds_alternative<Shed>(decision));
  CHECK(std::get<Shed>(decision).m_reason == ShedReason::BacklogTooLong);
  CHECK(std::get<Shed>(decision).m_retryAfter == seconds(3));
}

TEST_CASE("without a known drain rate, a request waits until its limit")
{
  const BacklogAhead unknown{ .m_now = kNow + milliseconds(1'900),
                              .m_requests = 1'000 };
  CHECK(std::holds_alternative<KeepWaiting>(DecideWait(Request(), unknown)));
  const BacklogAhead later{ .m_now = kNow + milliseconds(2'001) };
  const WaitDecision decision = DecideWait(Request(), later);
  REQUIRE(std::holds_alternative<Shed>(decision));
  CHECK(std::get<Shed>(decision).m_reason == ShedReason::WaitedTooLong);
}

// Guards against a request that a peer could still send elsewhere, but that
// waits here beyond its objective.
TEST_CASE("a forwarded request waits no longer than until its latest start in "
          "time")
{
  ShortageRequest request = Request();
  request.m_mayWaitLate = false;
  const auto decide = [&](milliseconds aWaited) {
    return DecideWait(request, { .m_now = kNow + aWaited });
  };
  CHECK(std::holds_alternative<KeepWaiting>(decide(milliseconds(390))));
  CHECK(std::holds_alternative<Shed>(decide(milliseconds(400))));
}

// Guards against callers that return together or after their deadline.
TEST_CASE("Retry-After is spread, and bounded by the caller's time left")
{
  CHECK(RetryAfterFor(seconds(1), seconds(6), 0) == milliseconds(800));
  CHECK(RetryAfterFor(seconds(1), seconds(6), 1) == milliseconds(1'200));
  CHECK(RetryAfterFor(seconds(9), seconds(3), 0.5) == seconds(1));
  CHECK(RetryAfterFor(nanoseconds::zero(), seconds(3), 0.5) ==
        milliseconds(100));
  CHECK(RetryAfterFor(seconds(1), milliseconds(150), 0.5) == milliseconds(50));
}

} // namespace
} // namespace rattanweir
