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

// A token a millisecond, with a bucket that begins empty.
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

  // No place may outlive its queue.
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
    std::string m_end = "waits";
    CancelSource m_cancel;
  };

  // Arrives now; its wait is bounded as the product's.
  Request& Arrive(std::int64_t aTokens,
                  const ClientAccountId& aAccount = kAccount,
                  milliseconds aLongest = kMaxRateWait)
  {
    Request& request = m_requests.emplace_back();
    asio::co_spawn(m_context,
                   Serve(aAccount, Tokens(aTokens), aLongest, request),
                   asio::detached);
    Poll();
    return request;
  }

  // Wakes the lines as their timers would; those run on the system's clock.
  void Advance(std::int64_t aMilliseconds)
  {
    m_clock.Advance(milliseconds(aMilliseconds));
    for (const ClientAccountId& account : { kAccount, kOther }) {
      m_queue.Wake(account);
    }
    Poll();
  }

  // How all requests stand, in the order of their arrival.
  std::string Ends() const
  {
    std::string ends;
    for (const Request& request : m_requests) {
      ends += (ends.empty() ? "" : ", ") + request.m_end;
    }
    return ends;
  }

  asio::io_context m_context;
  ManualClock m_clock;
  ClientAccountsSection m_section;
  RateLedger m_rates;
  RateQueue m_queue;

private:
  Task<void> Serve(ClientAccountId aAccount,
                   Tokens aTokens,
                   milliseconds aLongest,
                   Request& aRequest)
  {
    const SteadyTime until = m_clock.SteadyNow() + aLongest;
    ReserveResult result = m_queue.Reserve(aAccount, aTokens);
    if (std::holds_alternative<RateShort>(result)) {
      RateQueue::Waiter place(m_queue, aAccount, aTokens);
      if (!place.IsQueued()) {
        aRequest.m_end = "full " + Text(result);
        co_return;
      }
      result = co_await place.Wait(until, aRequest.m_cancel);
    }
    aRequest.m_end = aRequest.m_cancel.Reason() ? "cancelled" : Text(result);
  }

  static std::string Text(const ReserveResult& aResult)
  {
    if (const auto* isShort = std::get_if<RateShort>(&aResult)) {
      return isShort->m_retryAfter
               ? std::to_string(isShort->m_retryAfter->count()) + " ms"
               : "never";
    }
    if (std::holds_alternative<Reservation>(aResult)) {
      return "taken";
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

TEST_CASE("requests take their tokens in the order of arrival")
{
  struct Step
  {
    std::int64_t m_advance;
    std::vector<std::int64_t> m_arrivals;
    const char* m_ends;
  };
  struct Row
  {
    const char* m_name;
    std::vector<Step> m_steps;
  };
  const std::vector<Row> rows = {
    { "one waits for the refill",
      { { 0, { 100 }, "waits" }, { 99, {}, "waits" }, { 1, {}, "taken" } } },
    { "a wait past the bound is refused at once",
      { { 0, { 500, 501 }, "waits, 1001 ms" },
        { 0, { 9'000 }, "waits, 1001 ms, refused" } } },
    { "small ones do not overtake a large one",
      { { 0, { 400, 10, 10 }, "waits, waits, waits" },
        { 399, {}, "waits, waits, waits" },
        { 1, {}, "taken, waits, waits" },
        { 10, {}, "taken, taken, waits" },
        { 10, {}, "taken, taken, taken" } } },
    { "a newcomer does not take what others wait for",
      { { 0, { 200 }, "waits" },
        { 150, { 100 }, "waits, waits" },
        { 50, {}, "taken, waits" },
        { 100, {}, "taken, taken" } } },
    { "who comes behind much is refused with the whole time",
      { { 0, { 300, 150, 100 }, "waits, waits, 550 ms" },
        { 300, {}, "taken, waits, 550 ms" },
        { 150, {}, "taken, taken, 550 ms" } } },
    { "tokens at hand are taken without a wait",
      { { 500, { 300, 200, 10 }, "taken, taken, waits" } } },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    Fixture fixture;
    for (const Step& step : row.m_steps) {
      fixture.Advance(step.m_advance);
      for (const std::int64_t tokens : step.m_arrivals) {
        fixture.Arrive(tokens);
      }
      REQUIRE(fixture.Ends() == step.m_ends);
    }
  }
}

TEST_CASE("a line is bounded, and each account has its own")
{
  Fixture fixture(2);
  for (int arrival = 0; arrival < 3; ++arrival) {
    fixture.Arrive(50);
  }
  REQUIRE(fixture.Ends() == "waits, waits, full 150 ms");
  fixture.Arrive(50, kOther);
  REQUIRE(fixture.Ends() == "waits, waits, full 150 ms, waits");
  REQUIRE(fixture.m_queue.WaitingCount(kAccount) == 2);
  fixture.Advance(50);
  fixture.Arrive(50);
  REQUIRE(fixture.Ends() == "taken, waits, full 150 ms, taken, waits");
}

TEST_CASE("a request that leaves the line lets the next one go on")
{
  struct Row
  {
    const char* m_name;
    std::function<void(Fixture&, Fixture::Request&)> m_fault;
    const char* m_ends;
  };
  const std::vector<Row> rows = {
    { "cancelled",
      [](Fixture&, Fixture::Request& aFirst) {
        aFirst.m_cancel.Cancel(ResultCode::KeyWithdrawn);
      },
      "cancelled, taken" },
    { "the rate falls, so that the large one's wait passes its bound",
      [](Fixture& aFixture, Fixture::Request&) {
        aFixture.m_section.m_clientAccounts[0].m_rate = TokenRate(500);
        aFixture.m_rates.Configure(aFixture.m_section);
      },
      "600 ms, taken" },
    { "the account is gone",
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
    REQUIRE(fixture.Ends() == "waits, waits");
    row.m_fault(fixture, first);
    fixture.Advance(0);
    REQUIRE(fixture.Ends() == row.m_ends);
    REQUIRE(fixture.m_queue.WaitingCount(kAccount) == 0);
  }
}

TEST_CASE("the wait ends by itself at the refill")
{
  Fixture fixture;
  const Fixture::Request& request = fixture.Arrive(20);
  while (request.m_end == "waits") {
    fixture.m_clock.Advance(milliseconds(10));
    REQUIRE(fixture.m_context.run_one() > 0);
  }
  REQUIRE(request.m_end == "taken");
}

} // namespace
} // namespace rattanweir
