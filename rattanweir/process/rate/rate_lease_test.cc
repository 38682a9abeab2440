#include "rattanweir/process/rate/rate_test_instance.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>

namespace rattanweir {
namespace {

using namespace rate_test;

TEST_CASE("the lender deducts, repeats its answer, and takes back empty")
{
  FullInstance lender;
  const LeaseGrant grant = lender.m_ledger.Lend(RequestFor(0.4));
  REQUIRE(grant.m_fraction == Approx(0.4));
  REQUIRE(grant.m_tokens == Approx(400));
  const LeaseGrant repeat = lender.m_ledger.Lend(RequestFor(0.4));
  REQUIRE(repeat.m_fraction == grant.m_fraction);
  REQUIRE(repeat.m_tokens == grant.m_tokens);
  REQUIRE(lender.Drain() == 600);
  lender.Advance(1s);
  REQUIRE(lender.Drain() == 60);
  lender.Advance(kTerm + kMargin - 1s);
  lender.Drain();
  lender.Advance(1s);
  REQUIRE(lender.Drain() == 100);
}

TEST_CASE("a lender lends what its own callers leave, at most what it owns")
{
  FullInstance lender;
  SECTION("nothing asked here: all of it, once")
  {
    REQUIRE(lender.m_ledger.Lend(RequestFor(3)).m_fraction == Approx(1));
    const LeaseGrant more = lender.m_ledger.Lend(RequestFor(3, "a/1/2"));
    REQUIRE(more.m_fraction == 0);
    REQUIRE(more.m_retryAfter == kTerm + kMargin);
    REQUIRE(lender.Drain() == 0);
  }
  SECTION("its rate asked here: only what the full bucket covers")
  {
    for (int second = 0; second < 30; ++second) {
      lender.Reserve(100);
      lender.Advance(1s);
    }
    const LeaseGrant grant = lender.m_ledger.Lend(RequestFor(3));
    REQUIRE(grant.m_fraction > 0.4);
    REQUIRE(grant.m_fraction < 0.8);
  }
  SECTION("over its rate asked here: nothing")
  {
    for (int second = 0; second < 30; ++second) {
      lender.Reserve(100);
      lender.Reserve(300);
      lender.Advance(1s);
    }
    REQUIRE(lender.m_ledger.Lend(RequestFor(3)).m_fraction == 0);
  }
  SECTION("what it borrowed is not lent on")
  {
    const auto ask = lender.Ask(2'000);
    REQUIRE(lender.m_ledger.Accept(GrantFor(*ask, 1, 1'000)));
    REQUIRE(lender.m_ledger.Lend(RequestFor(3)).m_fraction <= 1);
    REQUIRE(lender.m_ledger.Lend(RequestFor(3, "a/1/2")).m_fraction == 0);
  }
}

TEST_CASE("two borrowers that ask at once come out even")
{
  FullInstance lender;
  LeaseRequest other = RequestFor(1, "b/1/1");
  other.m_borrower = InstanceId("ostland-3");
  other.m_tokens = Tokens(0);
  lender.m_ledger.Lend(RequestFor(0.02));
  REQUIRE(lender.m_ledger.Lend(other).m_fraction == Approx(0.5));
  REQUIRE(lender.m_ledger.Lend(RequestFor(1, "a/1/2")).m_fraction ==
          Approx(0.48));
}

TEST_CASE("a lease request that no borrower sends is refused")
{
  FullInstance lender;
  LeaseRequest request = RequestFor(0.5);
  SECTION("itself")
  {
    request.m_borrower = lender.m_id;
  }
  SECTION("another account")
  {
    request.m_clientAccount = ClientAccountId("nobody");
  }
  SECTION("no id, also while the share is withheld")
  {
    request.m_id = LeaseId();
  }
  SECTION("no fraction")
  {
    request.m_fraction = GENERATE(0.0,
                                  -1.0,
                                  std::numeric_limits<double>::quiet_NaN(),
                                  std::numeric_limits<double>::infinity());
  }
  SECTION("no term")
  {
    request.m_term = GENERATE(0s, -1s);
  }
  REQUIRE(lender.m_ledger.Lend(request).m_fraction == 0);
  REQUIRE(lender.Drain() == 1'000);
  Instance young("ostland-1");
  if (request.m_id.IsEmpty()) {
    REQUIRE(young.m_ledger.Lend(request).m_fraction == 0);
    REQUIRE_FALSE(young.m_ledger.Reclaim({ .m_borrower = young.m_id,
                                           .m_clientAccount = kAccount,
                                           .m_tokens = 1'000 }));
  }
}

TEST_CASE("the borrower holds the share for the term from before it asked")
{
  FullInstance borrower;
  borrower.Drain();
  const auto ask = borrower.Ask(500);
  REQUIRE(ask);
  borrower.Advance(2s);
  borrower.Drain();
  REQUIRE(borrower.m_ledger.Accept(GrantFor(*ask, 1, 700)));
  REQUIRE_FALSE(borrower.m_ledger.Accept(GrantFor(*ask, 1, 700)));
  REQUIRE(borrower.Drain() == 700);
  borrower.Advance(1s);
  REQUIRE(borrower.Drain() == 200);
  borrower.Advance(2s);
  borrower.Drain();
  borrower.Advance(1s);
  REQUIRE(borrower.Drain() == 100);
}

TEST_CASE("tokens over the share that is left end with the lease")
{
  FullInstance borrower;
  const auto ask = borrower.Ask(1'900);
  REQUIRE(ask->m_fraction >= 0.9);
  REQUIRE(borrower.m_ledger.Accept(GrantFor(*ask, 1, 1'000)));
  REQUIRE(borrower.m_ledger.Status(kAccount).m_availableTokens ==
          Approx(2'000));
  SECTION("seen by the status first")
  {
    borrower.m_clock.Advance(kTerm);
    const RateStatus status = borrower.m_ledger.Status(kAccount);
    REQUIRE(status.m_availableTokens == Approx(1'000));
    REQUIRE(status.m_borrowedFraction == 0);
  }
  SECTION("seen by the timer first")
  {
    borrower.Advance(kTerm);
    REQUIRE(borrower.Drain() == 1'000);
  }
}

TEST_CASE("the time to come back counts leases that end meanwhile")
{
  FullInstance instance;
  instance.Drain();
  SECTION("a borrowed one ends: 200 a second for 5 s, then 100")
  {
    const auto ask = instance.Ask(1'900);
    REQUIRE(instance.m_ledger.Accept(GrantFor(*ask, 1, 0)));
    REQUIRE(instance.Reserve(800) == "4000 ms");
    REQUIRE(instance.Reserve(1'000) == "5000 ms");
    REQUIRE(instance.Reserve(1'001) == "short");
  }
  SECTION("a lent one comes back: 60 a second for 5.025 s, then 100")
  {
    FullInstance idle;
    idle.m_ledger.Lend(RequestFor(0.4));
    REQUIRE(idle.Reserve(600) == "taken");
    REQUIRE(idle.Reserve(300) == "5000 ms");
    REQUIRE(idle.Reserve(600) == "8010 ms");
    REQUIRE(idle.Reserve(1'001) == "short");
  }
}

TEST_CASE("a grant that is not wanted any more changes nothing")
{
  FullInstance borrower;
  borrower.Drain();
  const auto ask = borrower.Ask(500);
  LeaseGrant grant = GrantFor(*ask, 1, 700);
  SECTION("late")
  {
    borrower.Advance(kTerm);
  }
  SECTION("of another id")
  {
    grant.m_id = LeaseId("ostland-1/6/1");
  }
  SECTION("more than a lender owns")
  {
    grant.m_fraction = GENERATE(1.01, std::nan(""), -0.5);
  }
  SECTION("tokens of no number")
  {
    grant.m_tokens = GENERATE(std::nan(""), -1.0);
  }
  SECTION("after a pause")
  {
    borrower.m_clock.Advance(1500ms);
  }
  REQUIRE_FALSE(borrower.m_ledger.Accept(grant));
  REQUIRE(borrower.m_ledger.Status(kAccount).m_borrowedFraction == 0);
}

TEST_CASE("asking covers the demand of a term and not one request")
{
  FullInstance borrower;
  for (int request = 0; request < 40; ++request) {
    borrower.Reserve(100);
    borrower.Advance(200ms);
  }
  // 500 a second are asked for, 100 are owned.
  const auto ask = borrower.Ask(100);
  REQUIRE(ask->m_fraction > 2.5);
  REQUIRE(ask->m_tokens > Tokens(1'000));
}

TEST_CASE("asking is bounded")
{
  FullInstance borrower;
  borrower.Drain();
  const auto refuse = [&](const LeaseRequest& aRequest) {
    LeaseGrant grant = GrantFor(aRequest, 0, 0);
    grant.m_retryAfter = 3s;
    REQUIRE_FALSE(borrower.m_ledger.Accept(grant));
  };
  const auto ask = borrower.Ask(4'000);
  REQUIRE(ask->m_lender == kPeers[0]);
  SECTION("one request at a time")
  {
    REQUIRE_FALSE(borrower.Ask(4'000));
    borrower.Advance(1s);
    REQUIRE(borrower.Ask(4'000)->m_lender == kPeers[1]);
  }
  SECTION("a peer that had nothing is left alone until it may have more")
  {
    refuse(*ask);
    refuse(*borrower.Ask(4'000));
    REQUIRE_FALSE(borrower.Ask(4'000));
    borrower.Advance(2900ms);
    REQUIRE_FALSE(borrower.Ask(4'000));
    borrower.Advance(100ms);
    REQUIRE(borrower.Ask(4'000)->m_lender == kPeers[0]);
  }
  SECTION("one that gave a part as well")
  {
    LeaseGrant part = GrantFor(*ask, 0.1, 0);
    part.m_retryAfter = 3s;
    REQUIRE(borrower.m_ledger.Accept(part));
    REQUIRE(borrower.Ask(4'000)->m_lender == kPeers[1]);
  }
  SECTION("an account refused everywhere asks less and less")
  {
    int asked = 0;
    for (int step = 0; step < 300; ++step) {
      if (const auto again = borrower.Ask(4'000)) {
        ++asked;
        refuse(*again);
      }
      borrower.Drain();
      borrower.Advance(100ms);
    }
    REQUIRE(asked <= 12);
  }
  SECTION("none is asked for what is at hand")
  {
    FullInstance idle;
    REQUIRE_FALSE(idle.Ask(1'000));
  }
}

TEST_CASE("a share that is not needed goes back with its tokens")
{
  FullInstance lender("ostland-2");
  FullInstance borrower("ostland-1");
  const auto ask = borrower.Ask(1'500);
  const LeaseGrant grant = lender.m_ledger.Lend(*ask);
  REQUIRE(borrower.m_ledger.Accept(grant));
  REQUIRE(lender.m_ledger.Status(kAccount).m_lentFraction > 0);
  const auto returns = borrower.Advance(100ms);
  REQUIRE(returns.size() == 1);
  REQUIRE(returns[0].m_lender == kPeer);
  REQUIRE(borrower.m_ledger.Status(kAccount).m_borrowedFraction == 0);
  REQUIRE(borrower.Drain() == 1'000);
  REQUIRE(lender.m_ledger.Reclaim(returns[0]));
  REQUIRE_FALSE(lender.m_ledger.Reclaim(returns[0]));
  REQUIRE(lender.m_ledger.Status(kAccount).m_lentFraction == 0);
  REQUIRE(lender.Drain() == 1'000);
}

} // namespace
} // namespace rattanweir
