#include "rattanweir/process/rate/rate_ledger.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <string>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

const ClientAccountId kAccount("parents");
const InstanceId kPeer("ostland-2");
const std::vector<InstanceId> kPeers{ kPeer, InstanceId("ostland-3") };
constexpr nanoseconds kTerm = 5s;
constexpr nanoseconds kMargin = 25ms;

// Four instances, each owns 100 tokens a second and a burst of 1,000.
ClientAccountsSection
Section(double aRate = 400,
        std::int64_t aBurst = 4'000,
        std::uint32_t aInstances = 4)
{
  return { .m_clientAccounts = { { .m_id = kAccount,
                                   .m_rate = TokenRate(aRate),
                                   .m_burst = Tokens(aBurst) } },
           .m_maximumInstances = aInstances };
}

struct Instance
{
  explicit Instance(const std::string& aId)
    : m_id(aId)
    , m_ledger({ .m_clock = m_clock,
                 .m_self = m_id,
                 .m_incarnation = Incarnation(7),
                 .m_leaseTerm = kTerm,
                 .m_leaseMargin = kMargin,
                 .m_clockDrift = 0 })
  {
    m_ledger.Configure(Section());
  }

  // Advances in steps that are no pause.
  std::vector<LeaseReturn> Advance(nanoseconds aDuration)
  {
    std::vector<LeaseReturn> returns;
    for (nanoseconds left = aDuration; left > 0ns; left -= 100ms) {
      m_clock.Advance(std::min<nanoseconds>(left, 100ms));
      const auto given = m_ledger.Tick();
      returns.insert(returns.end(), given.begin(), given.end());
    }
    return returns;
  }

  // In a word, so that the tests read as tables.
  std::string Reserve(std::int64_t aTokens)
  {
    const ReserveResult result = m_ledger.Reserve(kAccount, Tokens(aTokens));
    if (const auto* reservation = std::get_if<Reservation>(&result)) {
      m_last = *reservation;
      return "taken";
    }
    if (const auto* isShort = std::get_if<RateShort>(&result)) {
      return isShort->m_comeBackAfter
               ? std::to_string(isShort->m_comeBackAfter->count()) + " ms"
               : "short";
    }
    if (std::holds_alternative<ExceedsBurst>(result)) {
      return "exceeds burst";
    }
    return std::holds_alternative<LedgerPaused>(result) ? "paused" : "unknown";
  }

  // All tokens at hand, by taking them.
  std::int64_t Drain()
  {
    std::int64_t sum = 0;
    for (std::int64_t step = 4'096; step > 0; step /= 2) {
      while (Reserve(step) == "taken") {
        sum += step;
      }
    }
    return sum;
  }

  std::optional<LeaseRequest> Ask(std::int64_t aTokens)
  {
    return m_ledger.PrepareLeaseRequest(kAccount, Tokens(aTokens), kPeers);
  }

  ManualClock m_clock;
  InstanceId m_id;
  RateLedger m_ledger;
  Reservation m_last;
};

// One that has owned its share long enough to be full.
struct FullInstance : Instance
{
  explicit FullInstance(const std::string& aId = "ostland-1")
    : Instance(aId)
  {
    Advance(kTerm + kMargin + 10s);
  }
};

LeaseRequest
RequestFor(double aFraction, const std::string& aId = "a/1/1")
{
  return { .m_id = LeaseId(aId),
           .m_borrower = kPeer,
           .m_clientAccount = kAccount,
           .m_fraction = aFraction,
           .m_tokens = Tokens(500),
           .m_term = kTerm };
}

LeaseGrant
GrantFor(const LeaseRequest& aRequest, double aFraction, double aTokens)
{
  return { .m_id = aRequest.m_id,
           .m_clientAccount = kAccount,
           .m_fraction = aFraction,
           .m_tokens = aTokens,
           .m_term = kTerm };
}

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
  REQUIRE(ledger.Status(kAccount).m_tokensAtHand == Approx(396));
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
    REQUIRE(more.m_askAgainAfter == kTerm + kMargin);
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
    REQUIRE_FALSE(young.m_ledger.TakeBack({ .m_borrower = young.m_id,
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
  REQUIRE(borrower.m_ledger.Status(kAccount).m_tokensAtHand == Approx(2'000));
  borrower.m_clock.Advance(900ms);
  borrower.Advance(kTerm - 900ms);
  REQUIRE(borrower.Drain() == 1'000);
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
    grant.m_askAgainAfter = 3s;
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
    part.m_askAgainAfter = 3s;
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
  REQUIRE(lender.m_ledger.TakeBack(returns[0]));
  REQUIRE_FALSE(lender.m_ledger.TakeBack(returns[0]));
  REQUIRE(lender.m_ledger.Status(kAccount).m_lentFraction == 0);
  REQUIRE(lender.Drain() == 1'000);
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
