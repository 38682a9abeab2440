#include "rattanweir/request/rate_queue/rate_queue.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <string>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;

const ClientAccountId kAccount("parents");
const ClientAccountId kOther("teachers");

// Accounts with one token per millisecond and an initially empty bucket.
class Fixture
{
public:
  explicit Fixture(std::size_t aMaxWaiting = 64)
    : m_rates({ .m_clock = m_clock,
                .m_self = InstanceId("ostland-1"),
                .m_clockDrift = 0 })
    , m_queue({ .m_executor = m_context.get_executor(),
                .m_clock = m_clock,
                .m_rates = m_rates,
                .m_maxWaiting = aMaxWaiting })
  {
    for (const ClientAccountId& account : { kAccount, kOther }) {
      m_section.m_clientAccounts.push_back({ .m_id = account,
                                             .m_rate = TokenRate(1'000),
                                             .m_burst = Tokens(5'000) });
    }
    m_section.m_maximumInstances = 1;
    m_rates.Configure(m_section);
  }

  // Cancels all requests, because no waiter may outlive its queue.
  ~Fixture()
  {
    for (Request& request : m_requests) {
      request.m_cancel.Cancel(ResultCode::InstanceDraining);
    }
    Poll();
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  struct Request
  {
    std::string m_outcome = "waits";
    CancelSource m_cancel;
  };

  // Adds a request that arrives now, by default with the production wait limit.
  Request& Arrive(std::int64_t aTokens,
                  const ClientAccountId& aAccount = kAccount,
                  milliseconds aMaxWait = kMaxRateWait)
  {
    Request& request = m_requests.emplace_back();
    asio::co_spawn(m_context,
                   Serve(aAccount, Tokens(aTokens), aMaxWait, request),
                   asio::detached);
    Poll();
    return request;
  }

  // Advances the clock and wakes the queues, whose timers use the system clock.
  void Advance(std::int64_t aMilliseconds)
  {
    m_clock.Advance(milliseconds(aMilliseconds));
    for (const ClientAccountId& account : { kAccount, kOther }) {
      m_queue.Wake(account);
    }
    Poll();
  }

  // Returns the outcomes of all requests, in the order of arrival.
  std::string Outcomes() const
  {
    std::string outcomes;
    for (const Request& request : m_requests) {
      outcomes += (outcomes.empty() ? "" : ", ") + request.m_outcome;
    }
    return outcomes;
  }

  asio::io_context m_context;
  ManualClock m_clock;
  ClientAccountsSection m_section;
  RateLedger m_rates;
  RateQueue m_queue;

private:
  Task<void> Serve(ClientAccountId aAccount,
                   Tokens aTokens,
                   milliseconds aMaxWait,
                   Request& aRequest)
  {
    const SteadyTime until = m_clock.SteadyNow() + aMaxWait;
    ReserveResult result = m_queue.Reserve(aAccount, aTokens);
    if (std::holds_alternative<InsufficientTokens>(result)) {
      RateQueue::Waiter waiter(m_queue, aAccount, aTokens);
      if (!waiter.IsQueued()) {
        aRequest.m_outcome = "full " + OutcomeText(result);
        co_return;
      }
      result = co_await waiter.Wait(until, aRequest.m_cancel);
    }
    aRequest.m_outcome =
      aRequest.m_cancel.Reason() ? "cancelled" : OutcomeText(result);
  }

  static std::string OutcomeText(const ReserveResult& aResult)
  {
    if (const auto* shortage = std::get_if<InsufficientTokens>(&aResult)) {
      return shortage->m_retryAfter
               ? std::to_string(shortage->m_retryAfter->count()) + " ms"
               : "never";
    }
    if (std::holds_alternative<Reservation>(aResult)) {
      return "reserved";
    }
    return std::holds_alternative<LedgerPaused>(aResult) ? "paused" : "refused";
  }

  void Poll()
  {
    m_context.restart();
    m_context.poll();
  }

  std::deque<Request> m_requests;
};

TEST_CASE("requests reserve their tokens in the order of arrival")
{
  struct Step
  {
    std::int64_t m_advance;
    std::vector<std::int64_t> m_arrivals;
    const char* m_outcomes;
  };
  struct Row
  {
    const char* m_name;
    std::vector<Step> m_steps;
  };
  const std::vector<Row> rows = {
    { "a request waits for the refill",
      { { 0, { 100 }, "waits" }, { 99, {}, "waits" }, { 1, {}, "reserved" } } },
    { "a wait beyond the limit is refused immediately",
      { { 0, { 500, 501 }, "waits, 1001 ms" },
        { 0, { 9'000 }, "waits, 1001 ms, refused" } } },
    { "small requests do not overtake a large one",
      { { 0, { 400, 10, 10 }, "waits, waits, waits" },
        { 399, {}, "waits, waits, waits" },
        { 1, {}, "reserved, waits, waits" },
        { 10, {}, "reserved, reserved, waits" },
        { 10, {}, "reserved, reserved, reserved" } } },
    { "a new request does not reserve tokens that others wait for",
      { { 0, { 200 }, "waits" },
        { 150, { 100 }, "waits, waits" },
        { 50, {}, "reserved, waits" },
        { 100, {}, "reserved, reserved" } } },
    { "the retry delay covers all requests ahead",
      { { 0, { 300, 150, 100 }, "waits, waits, 550 ms" },
        { 300, {}, "reserved, waits, 550 ms" },
        { 150, {}, "reserved, reserved, 550 ms" } } },
    { "available tokens are reserved without a wait",
      { { 500, { 300, 200, 10 }, "reserved, reserved, waits" } } },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    Fixture fixture;
    for (const Step& step : row.m_steps) {
      fixture.Advance(step.m_advance);
      for (const std::int64_t tokens : step.m_arrivals) {
        fixture.Arrive(tokens);
      }
      REQUIRE(fixture.Outcomes() == step.m_outcomes);
    }
  }
}

TEST_CASE("each account has its own queue of bounded length")
{
  Fixture fixture(2);
  for (int arrival = 0; arrival < 3; ++arrival) {
    fixture.Arrive(50);
  }
  REQUIRE(fixture.Outcomes() == "waits, waits, full 150 ms");
  fixture.Arrive(50, kOther);
  REQUIRE(fixture.Outcomes() == "waits, waits, full 150 ms, waits");
  REQUIRE(fixture.m_queue.WaitingCount(kAccount) == 2);
  fixture.Advance(50);
  fixture.Arrive(50);
  REQUIRE(fixture.Outcomes() ==
          "reserved, waits, full 150 ms, reserved, waits");
}

TEST_CASE("the removal of a request from the queue lets the next one proceed")
{
  struct Row
  {
    const char* m_name;
    std::function<void(Fixture&, Fixture::Request&)> m_event;
    const char* m_outcomes;
  };
  const std::vector<Row> rows = {
    { "cancelled",
      [](Fixture&, Fixture::Request& aFirst) {
        aFirst.m_cancel.Cancel(ResultCode::KeyWithdrawn);
      },
      "cancelled, reserved" },
    { "the rate decreases, so that the large request exceeds its wait limit",
      [](Fixture& aFixture, Fixture::Request&) {
        aFixture.m_section.m_clientAccounts[0].m_rate = TokenRate(500);
        aFixture.m_rates.Configure(aFixture.m_section);
      },
      "600 ms, reserved" },
    { "the account was removed",
      [](Fixture& aFixture, Fixture::Request&) {
        aFixture.m_rates.Configure({ .m_maximumInstances = 1 });
      },
      "refused, refused" },
    { "the process was paused",
      [](Fixture& aFixture, Fixture::Request&) {
        aFixture.m_clock.Advance(std::chrono::seconds(5));
      },
      "paused, paused" },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    Fixture fixture;
    Fixture::Request& first = fixture.Arrive(400);
    fixture.Arrive(80);
    fixture.Advance(100);
    REQUIRE(fixture.Outcomes() == "waits, waits");
    row.m_event(fixture, first);
    fixture.Advance(0);
    REQUIRE(fixture.Outcomes() == row.m_outcomes);
    REQUIRE(fixture.m_queue.WaitingCount(kAccount) == 0);
  }
}

TEST_CASE("the wait ends at the refill without a wake-up")
{
  Fixture fixture;
  const Fixture::Request& request = fixture.Arrive(20);
  while (request.m_outcome == "waits") {
    fixture.m_clock.Advance(milliseconds(10));
    REQUIRE(fixture.m_context.run_one() > 0);
  }
  REQUIRE(request.m_outcome == "reserved");
}

} // namespace
} // namespace rattanweir
