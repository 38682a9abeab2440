#include "rattanweir/process/rate/rate_test_instance.h"

#include <catch2/catch.hpp>

#include <string>

namespace rattanweir {
namespace {

using namespace rate_test;

TEST_CASE("a process owns nothing until what its predecessor lent has ended")
{
  Instance instance("ostland-1");
  instance.Advance(kTerm + kMargin);
  REQUIRE(instance.Drain() == 0);
  REQUIRE(instance.m_ledger.Lend(RequestFor(0.5)).m_tokens == 0);
  Instance later("ostland-1");
  later.Advance(kTerm + kMargin + 1s);
  REQUIRE(later.Drain() == 100);
}

TEST_CASE("with one instance there was nobody to lend to")
{
  ManualClock clock;
  RateLedger ledger({ .m_clock = clock, .m_clockDrift = 0 });
  ledger.Configure(Section(400, 4'000, 1));
  clock.Advance(1s);
  const auto result = ledger.Reserve(kAccount, Tokens(400));
  REQUIRE(std::holds_alternative<Reservation>(result));
}

TEST_CASE("a bucket refills slower by the drift of its clock")
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
  const Case row = GENERATE(Case{ 1'000, "taken" },
                            Case{ 0, "taken" },
                            Case{ 1'001, "short" },
                            Case{ 4'000, "short" },
                            Case{ 4'001, "exceeds burst" });
  REQUIRE(instance.Reserve(row.m_tokens) == row.m_result);
}

TEST_CASE("the share refills the bucket and says when it suffices")
{
  FullInstance instance;
  REQUIRE(instance.Reserve(1'000) == "taken");
  REQUIRE(instance.Reserve(250) == "2500 ms");
  instance.Advance(2400ms);
  REQUIRE(instance.Reserve(250) == "100 ms");
  instance.Advance(100ms);
  REQUIRE(instance.Reserve(250) == "taken");
  REQUIRE(std::holds_alternative<UnknownClientAccount>(
    instance.m_ledger.Reserve(ClientAccountId("nobody"), Tokens(1))));
}

TEST_CASE("settling gives back once, up to the cap")
{
  FullInstance instance;
  REQUIRE(instance.Reserve(600) == "taken");
  const Reservation first = instance.m_last;
  SECTION("what was not used")
  {
    instance.m_ledger.Settle(first, Tokens(400));
    instance.m_ledger.Settle(first, Tokens(0));
    REQUIRE(instance.Drain() == 600);
  }
  SECTION("nothing where more was used")
  {
    instance.m_ledger.Settle(first, Tokens(700));
    REQUIRE(instance.Drain() == 400);
  }
  SECTION("not over the cap")
  {
    instance.Advance(5s);
    instance.m_ledger.Settle(first, Tokens(0));
    REQUIRE(instance.Drain() == 1'000);
  }
  SECTION("not across a pause")
  {
    instance.m_clock.Advance(2s);
    instance.m_ledger.Tick();
    instance.m_ledger.Resume();
    instance.m_ledger.Settle(first, Tokens(0));
    REQUIRE(instance.Drain() == 0);
  }
}

TEST_CASE("whichever call sees the gap first, a paused process grants nothing")
{
  FullInstance instance;
  const auto ask = instance.Ask(1'900);
  REQUIRE(instance.m_ledger.Accept(GrantFor(*ask, 1, 1'000)));
  REQUIRE(instance.Reserve(100) == "taken");
  const LeaseGrant lent = instance.m_ledger.Lend(RequestFor(0.4));
  REQUIRE(lent.m_fraction > 0);
  const Reservation open = instance.m_last;
  instance.m_clock.Advance(1s + 1ns);
  SECTION("a request")
  {
    REQUIRE(instance.Reserve(1) == "paused");
  }
  SECTION("a borrower")
  {
    REQUIRE(instance.m_ledger.Lend(RequestFor(1, "a/1/9")).m_fraction == 0);
  }
  SECTION("a lease to ask for")
  {
    REQUIRE_FALSE(instance.Ask(4'000));
  }
  SECTION("a settled request")
  {
    instance.m_ledger.Settle(open, Tokens(0));
  }
  SECTION("the timer")
  {
    instance.m_ledger.Tick();
  }
  SECTION("a configuration")
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

TEST_CASE("a newer configuration holds at once")
{
  FullInstance instance;
  SECTION("a smaller burst clips")
  {
    instance.m_ledger.Configure(Section(400, 400));
    REQUIRE(instance.Drain() == 100);
  }
  SECTION("a larger one is not filled")
  {
    instance.m_ledger.Configure(Section(400, 40'000));
    REQUIRE(instance.Drain() == 1'000);
  }
  SECTION("more instances make the share and what is lent of it smaller")
  {
    REQUIRE(instance.m_ledger.Lend(RequestFor(0.4)).m_fraction > 0);
    instance.m_ledger.Configure(Section(400, 4'000, 8));
    REQUIRE(instance.m_ledger.Status(kAccount).m_lentFraction ==
            Approx(0.4 / 8));
    REQUIRE(instance.Drain() == 300);
  }
  SECTION("an account that comes back waits for what it had lent")
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
