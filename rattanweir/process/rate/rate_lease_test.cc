#include "rattanweir/process/rate/rate_test_instance.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>

namespace rattanweir {
namespace {

using namespace rate_test;

TEST_CASE(
  "a lender deducts, grants idempotently, and gets an expired share back empty")
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

TEST_CASE(
  "a lender lends only the part of its share that its own demand does not use")
{
  FullInstance lender;
  SECTION("without own demand, the full share once")
  {
    REQUIRE(lender.m_ledger.Lend(RequestFor(3)).m_fraction == Approx(1));
    const LeaseGrant more = lender.m_ledger.Lend(RequestFor(3, "a/1/2"));
    REQUIRE(more.m_fraction == 0);
    REQUIRE(more.m_retryAfter == kTerm + kMargin);
    REQUIRE(lender.Drain() == 0);
  }
  SECTION("with demand at its rate, what the full bucket covers")
  {
    for (int second = 0; second < 30; ++second) {
      lender.Reserve(100);
      lender.Advance(1s);
    }
    const LeaseGrant grant = lender.m_ledger.Lend(RequestFor(3));
    REQUIRE(grant.m_fraction > 0.4);
    REQUIRE(grant.m_fraction < 0.8);
  }
  SECTION("with demand above its rate, nothing")
  {
    for (int second = 0; second < 30; ++second) {
      lender.Reserve(100);
      lender.Reserve(300);
      lender.Advance(1s);
    }
    REQUIRE(lender.m_ledger.Lend(RequestFor(3)).m_fraction == 0);
  }
  SECTION("borrowed shares are not lent")
  {
    const auto request = lender.PrepareRequest(2'000);
    REQUIRE(lender.m_ledger.Accept(GrantFor(*request, 1, 1'000)));
    REQUIRE(lender.m_ledger.Lend(RequestFor(3)).m_fraction <= 1);
    REQUIRE(lender.m_ledger.Lend(RequestFor(3, "a/1/2")).m_fraction == 0);
  }
}

TEST_CASE("two concurrent borrowers get equal shares")
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

TEST_CASE("an invalid lease request is refused")
{
  FullInstance lender;
  LeaseRequest request = RequestFor(0.5);
  SECTION("the lender itself as the borrower")
  {
    request.m_borrower = lender.m_id;
  }
  SECTION("an unknown account")
  {
    request.m_clientAccount = ClientAccountId("nobody");
  }
  SECTION("no id, also while the own share is withheld")
  {
    request.m_id = LeaseId();
  }
  SECTION("a fraction that is not positive and finite")
  {
    request.m_fraction = GENERATE(0.0,
                                  -1.0,
                                  std::numeric_limits<double>::quiet_NaN(),
                                  std::numeric_limits<double>::infinity());
  }
  SECTION("a term that is not positive")
  {
    request.m_term = GENERATE(0s, -1s);
  }
  REQUIRE(lender.m_ledger.Lend(request).m_fraction == 0);
  REQUIRE(lender.Drain() == 1'000);
  Instance restarted("ostland-1");
  if (request.m_id.IsEmpty()) {
    REQUIRE(restarted.m_ledger.Lend(request).m_fraction == 0);
    REQUIRE_FALSE(restarted.m_ledger.Reclaim({ .m_borrower = restarted.m_id,
                                               .m_clientAccount = kAccount,
                                               .m_tokens = 1'000 }));
  }
}

TEST_CASE("the borrower's term starts when it prepares the request")
{
  FullInstance borrower;
  borrower.Drain();
  const auto request = borrower.PrepareRequest(500);
  REQUIRE(request);
  borrower.Advance(2s);
  borrower.Drain();
  REQUIRE(borrower.m_ledger.Accept(GrantFor(*request, 1, 700)));
  REQUIRE_FALSE(borrower.m_ledger.Accept(GrantFor(*request, 1, 700)));
  REQUIRE(borrower.Drain() == 700);
  borrower.Advance(1s);
  REQUIRE(borrower.Drain() == 200);
  borrower.Advance(2s);
  borrower.Drain();
  borrower.Advance(1s);
  REQUIRE(borrower.Drain() == 100);
}

TEST_CASE("tokens above the remaining capacity expire with the lease")
{
  FullInstance borrower;
  const auto request = borrower.PrepareRequest(1'900);
  REQUIRE(request->m_fraction >= 0.9);
  REQUIRE(borrower.m_ledger.Accept(GrantFor(*request, 1, 1'000)));
  REQUIRE(borrower.m_ledger.Status(kAccount).m_availableTokens ==
          Approx(2'000));
  SECTION("detected by Status")
  {
    borrower.m_clock.Advance(kTerm);
    const RateStatus status = borrower.m_ledger.Status(kAccount);
    REQUIRE(status.m_availableTokens == Approx(1'000));
    REQUIRE(status.m_borrowedFraction == 0);
  }
  SECTION("detected by Tick")
  {
    borrower.Advance(kTerm);
    REQUIRE(borrower.Drain() == 1'000);
  }
}

TEST_CASE("the retry time accounts for leases that expire before it")
{
  FullInstance instance;
  instance.Drain();
  SECTION("a borrowed share expires: 200 per second for 5 s, then 100")
  {
    const auto request = instance.PrepareRequest(1'900);
    REQUIRE(instance.m_ledger.Accept(GrantFor(*request, 1, 0)));
    REQUIRE(instance.Reserve(800) == "4000 ms");
    REQUIRE(instance.Reserve(1'000) == "5000 ms");
    REQUIRE(instance.Reserve(1'001) == "insufficient");
  }
  SECTION("a lent share comes back: 60 per second for 5.025 s, then 100")
  {
    FullInstance idle;
    idle.m_ledger.Lend(RequestFor(0.4));
    REQUIRE(idle.Reserve(600) == "reserved");
    REQUIRE(idle.Reserve(300) == "5000 ms");
    REQUIRE(idle.Reserve(600) == "8010 ms");
    REQUIRE(idle.Reserve(1'001) == "insufficient");
  }
}

TEST_CASE("a grant that is expired, unexpected or invalid changes nothing")
{
  FullInstance borrower;
  borrower.Drain();
  const auto request = borrower.PrepareRequest(500);
  LeaseGrant grant = GrantFor(*request, 1, 700);
  SECTION("expired")
  {
    borrower.Advance(kTerm);
  }
  SECTION("with another id")
  {
    grant.m_id = LeaseId("ostland-1/6/1");
  }
  SECTION("with a fraction outside of 0 to 1")
  {
    grant.m_fraction = GENERATE(1.01, std::nan(""), -0.5);
  }
  SECTION("with tokens that are negative or not a number")
  {
    grant.m_tokens = GENERATE(std::nan(""), -1.0);
  }
  SECTION("received after a pause")
  {
    borrower.m_clock.Advance(1500ms);
  }
  REQUIRE_FALSE(borrower.m_ledger.Accept(grant));
  REQUIRE(borrower.m_ledger.Status(kAccount).m_borrowedFraction == 0);
}

TEST_CASE(
  "a lease request covers the demand of a term and not only one request")
{
  FullInstance borrower;
  for (int request = 0; request < 40; ++request) {
    borrower.Reserve(100);
    borrower.Advance(200ms);
  }
  // The demand is 500 tokens per second, the own rate is 100.
  const auto request = borrower.PrepareRequest(100);
  REQUIRE(request->m_fraction > 2.5);
  REQUIRE(request->m_tokens > Tokens(1'000));
}

TEST_CASE("the number of lease requests is limited")
{
  FullInstance borrower;
  borrower.Drain();
  const auto refuse = [&](const LeaseRequest& aRequest) {
    LeaseGrant grant = GrantFor(aRequest, 0, 0);
    grant.m_retryAfter = 3s;
    REQUIRE_FALSE(borrower.m_ledger.Accept(grant));
  };
  const auto request = borrower.PrepareRequest(4'000);
  REQUIRE(request->m_lender == kPeers[0]);
  SECTION("one outstanding request at a time")
  {
    REQUIRE_FALSE(borrower.PrepareRequest(4'000));
    borrower.Advance(1s);
    REQUIRE(borrower.PrepareRequest(4'000)->m_lender == kPeers[1]);
  }
  SECTION("a peer that refused is skipped until its retry time")
  {
    refuse(*request);
    refuse(*borrower.PrepareRequest(4'000));
    REQUIRE_FALSE(borrower.PrepareRequest(4'000));
    borrower.Advance(2900ms);
    REQUIRE_FALSE(borrower.PrepareRequest(4'000));
    borrower.Advance(100ms);
    REQUIRE(borrower.PrepareRequest(4'000)->m_lender == kPeers[0]);
  }
  SECTION("a peer that granted a part is skipped as well")
  {
    LeaseGrant part = GrantFor(*request, 0.1, 0);
    part.m_retryAfter = 3s;
    REQUIRE(borrower.m_ledger.Accept(part));
    REQUIRE(borrower.PrepareRequest(4'000)->m_lender == kPeers[1]);
  }
  SECTION("an account refused by all peers backs off")
  {
    int requestCount = 0;
    for (int step = 0; step < 300; ++step) {
      if (const auto next = borrower.PrepareRequest(4'000)) {
        ++requestCount;
        refuse(*next);
      }
      borrower.Drain();
      borrower.Advance(100ms);
    }
    REQUIRE(requestCount <= 12);
  }
  SECTION("no request if the available tokens suffice")
  {
    FullInstance idle;
    REQUIRE_FALSE(idle.PrepareRequest(1'000));
  }
}

TEST_CASE("a share that is not needed is returned with its tokens")
{
  FullInstance lender("ostland-2");
  FullInstance borrower("ostland-1");
  const auto request = borrower.PrepareRequest(1'500);
  const LeaseGrant grant = lender.m_ledger.Lend(*request);
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
