#include "rattanweir/process/rate/rate_test_instance.h"

#include <catch2/catch.hpp>

#include <string>

namespace rattanweir {
namespace {

using namespace rate_test;

TEST_CASE(
  "a process withholds its share until leases of its predecessor have ended")
{
  Instance instance("ostland-1");
  instance.Advance(kTerm + kMargin);
  REQUIRE(instance.Drain() == 0);
  REQUIRE(instance.m_ledger.Lend(RequestFor(0.5)).m_tokens == 0);
  Instance later("ostland-1");
  later.Advance(kTerm + kMargin + 1s);
  REQUIRE(later.Drain() == 100);
}

TEST_CASE("a single instance may use its share at once")
{
  ManualClock clock;
  RateLedger ledger({ .m_clock = clock, .m_clockDrift = 0 });
  ledger.Configure(Section(400, 4'000, 1));
  clock.Advance(1s);
  const auto result = ledger.Reserve(kAccount, Tokens(400));
  REQUIRE(std::holds_alternative<Reservation>(result));
}

TEST_CASE("a bucket refills slower by the maximum clock drift")
{
  ManualClock clock;
  RateLedger ledger({ .m_clock = clock, .m_clockDrift = 0.01 });
  ledger.Configure(Section(400, 4'000, 1));
  clock.Advance(1s);
  ledger.Tick();
  ledger.Reserve(kAccount, Tokens(0));
  REQUIRE(ledger.Status(kAccount).m_availableTokens == Approx(396));
}

TEST_CASE("a request is admitted from the instance's share of rate and burst")
{
  FullInstance instance;
  struct Case
  {
    std::int64_t m_tokens;
    std::string m_result;
  };
  const Case testCase = GENERATE(Case{ 1'000, "reserved" },
                                 Case{ 0, "reserved" },
                                 Case{ 1'001, "insufficient" },
                                 Case{ 4'000, "insufficient" },
                                 Case{ 4'001, "exceeds burst" });
  REQUIRE(instance.Reserve(testCase.m_tokens) == testCase.m_result);
}

TEST_CASE("the share refills the bucket and determines the retry time")
{
  FullInstance instance;
  REQUIRE(instance.Reserve(1'000) == "reserved");
  REQUIRE(instance.Reserve(250) == "2500 ms");
  instance.Advance(2400ms);
  REQUIRE(instance.Reserve(250) == "100 ms");
  instance.Advance(100ms);
  REQUIRE(instance.Reserve(250) == "reserved");
  REQUIRE(std::holds_alternative<UnknownClientAccount>(
    instance.m_ledger.Reserve(ClientAccountId("nobody"), Tokens(1))));
}

TEST_CASE("settling refunds once, up to the capacity")
{
  FullInstance instance;
  REQUIRE(instance.Reserve(600) == "reserved");
  const Reservation first = instance.m_lastReservation;
  SECTION("unused tokens are refunded once")
  {
    instance.m_ledger.Settle(first, Tokens(400));
    instance.m_ledger.Settle(first, Tokens(0));
    REQUIRE(instance.Drain() == 600);
  }
  SECTION("nothing is refunded if more was used")
  {
    instance.m_ledger.Settle(first, Tokens(700));
    REQUIRE(instance.Drain() == 400);
  }
  SECTION("the refund does not exceed the capacity")
  {
    instance.Advance(5s);
    instance.m_ledger.Settle(first, Tokens(0));
    REQUIRE(instance.Drain() == 1'000);
  }
  SECTION("nothing is refunded after a pause")
  {
    instance.m_clock.Advance(2s);
    instance.m_ledger.Tick();
    instance.m_ledger.Resume();
    instance.m_ledger.Settle(first, Tokens(0));
    REQUIRE(instance.Drain() == 0);
  }
}

TEST_CASE("a paused process grants nothing, whichever call detects the pause")
{
  FullInstance instance;
  const auto request = instance.PrepareRequest(1'900);
  REQUIRE(instance.m_ledger.Accept(GrantFor(*request, 1, 1'000)));
  REQUIRE(instance.Reserve(100) == "reserved");
  const LeaseGrant lent = instance.m_ledger.Lend(RequestFor(0.4));
  REQUIRE(lent.m_fraction > 0);
  const Reservation open = instance.m_lastReservation;
  instance.m_clock.Advance(1s + 1ns);
  SECTION("Reserve")
  {
    REQUIRE(instance.Reserve(1) == "paused");
  }
  SECTION("Lend")
  {
    REQUIRE(instance.m_ledger.Lend(RequestFor(1, "a/1/9")).m_fraction == 0);
  }
  SECTION("PrepareLeaseRequest")
  {
    REQUIRE_FALSE(instance.PrepareRequest(4'000));
  }
  SECTION("Settle")
  {
    instance.m_ledger.Settle(open, Tokens(0));
  }
  SECTION("Tick")
  {
    instance.m_ledger.Tick();
  }
  SECTION("Configure")
  {
    instance.m_ledger.Configure(Section());
  }
  REQUIRE(instance.m_ledger.IsPaused());
  instance.Advance(500ms);
  REQUIRE(instance.Reserve(1) == "paused");
  instance.m_ledger.Resume();
  REQUIRE(instance.Drain() == 0);
  const RateStatus status = instance.m_ledger.Status(kAccount);
  REQUIRE(status.m_borrowedFraction == 0);
  REQUIRE(status.m_lentFraction == Approx(lent.m_fraction / 4));
}

TEST_CASE("a newer configuration applies at once")
{
  FullInstance instance;
  SECTION("a smaller burst limits the available tokens")
  {
    instance.m_ledger.Configure(Section(400, 400));
    REQUIRE(instance.Drain() == 100);
  }
  SECTION("a larger burst adds no tokens")
  {
    instance.m_ledger.Configure(Section(400, 40'000));
    REQUIRE(instance.Drain() == 1'000);
  }
  SECTION("more instances reduce the own and the lent share")
  {
    REQUIRE(instance.m_ledger.Lend(RequestFor(0.4)).m_fraction > 0);
    instance.m_ledger.Configure(Section(400, 4'000, 8));
    REQUIRE(instance.m_ledger.Status(kAccount).m_lentFraction ==
            Approx(0.4 / 8));
    REQUIRE(instance.Drain() == 300);
  }
  SECTION("an account that is added again waits for its earlier leases to end")
  {
    instance.m_ledger.Lend(RequestFor(1));
    instance.m_ledger.Configure({ .m_maximumInstances = 4 });
    REQUIRE(instance.Reserve(1) == "unknown");
    instance.Advance(1s);
    instance.m_ledger.Configure(Section());
    instance.Advance(kTerm + kMargin - 1s);
    REQUIRE(instance.Drain() == 0);
    instance.Advance(1s);
    REQUIRE(instance.Drain() == 100);
  }
}

} // namespace
} // namespace rattanweir
