#include "rattanweir/process/rate/internal/account_ledger.h"

#include <algorithm>
#include <cmath>

namespace rattanweir::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// A smaller share is not worth its messages.
constexpr double kSmallestFraction = 0.01;

// How much more than the expected demand is asked for.
constexpr double kHeadroom = 1.1;

// How far ahead a lender keeps its own demand covered by tokens at hand.
constexpr double kLookaheadSeconds = 1;

// For how long a borrower that asked counts as needing a part.
constexpr nanoseconds kAskerMemory = milliseconds(1'500);

// A borrowed share is given back this long before its term ends, so that the
// lender takes it over with its tokens and before its margin has passed.
constexpr nanoseconds kReturnBeforeEnd = milliseconds(500);

// The part of its own burst that an instance keeps when it gives a share back.
constexpr double kKeptBurst = 0.1;

// When a lender that needs its share itself may be asked again.
constexpr nanoseconds kAskBusyLenderAfter = milliseconds(1'000);

double
SecondsOf(nanoseconds aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

double
Ratio(double aPart, double aWhole)
{
  return aWhole > 0 ? aPart / aWhole : 0;
}

double
CountOf(Tokens aTokens)
{
  return static_cast<double>(aTokens.Value());
}

// What a peer sent may be any number.
bool
IsFraction(double aValue)
{
  return std::isfinite(aValue) && aValue > 0;
}

} // namespace

AccountLedger::AccountLedger(const RateLedgerOptions& aOptions,
                             SteadyTime aNow,
                             SteadyTime aOwnsFrom,
                             const ShareLimits& aLimits)
  : m_options(aOptions)
  , m_bucket(aNow, aLimits)
  , m_demand(aNow)
{
  if (aNow < aOwnsFrom) {
    m_bucket.LendOut({ .m_fraction = 1 }, aOptions.m_self, aOwnsFrom);
  }
}

void
AccountLedger::SetLimits(SteadyTime aNow, const ShareLimits& aLimits)
{
  m_bucket.Advance(aNow);
  m_bucket.SetLimits(aLimits);
}

std::optional<InsufficientTokens>
AccountLedger::Take(SteadyTime aNow, Tokens aTokens)
{
  m_bucket.Advance(aNow);
  if (m_bucket.Take(CountOf(aTokens))) {
    return std::nullopt;
  }
  InsufficientTokens result;
  if (const auto wait = m_bucket.TimeUntil(CountOf(aTokens))) {
    result.m_retryAfter = std::chrono::ceil<milliseconds>(*wait);
  }
  return result;
}

InsufficientTokens
AccountLedger::ShortBehind(SteadyTime aNow, Tokens aTokens, Tokens aAhead)
{
  m_bucket.Advance(aNow);
  InsufficientTokens result;
  const auto alone = m_bucket.TimeUntil(CountOf(aTokens));
  if (!alone) {
    return result;
  }
  // Those ahead keep the bucket below its cap, so that it fills throughout.
  const double speed = m_bucket.Held() * m_bucket.Limits().m_tokensPerSecond;
  const double missing = CountOf(aAhead + aTokens) - m_bucket.Tokens();
  const std::chrono::duration<double> all(std::max(0.0, Ratio(missing, speed)));
  result.m_retryAfter =
    std::chrono::ceil<milliseconds>(std::max<std::chrono::duration<double>>(
      std::chrono::duration<double>(*alone), all));
  return result;
}

void
AccountLedger::CountDemand(SteadyTime aNow, Tokens aTokens)
{
  m_demand.Add(aNow, CountOf(aTokens));
}

void
AccountLedger::GiveBack(SteadyTime aNow, Tokens aTokens)
{
  m_bucket.Advance(aNow);
  m_bucket.GiveBack(CountOf(aTokens));
}

bool
AccountLedger::IsRunningLow(SteadyTime aNow) const
{
  return TokensWanted(aNow, 0) > 0;
}

// What is missing to admit `aTokens` now and the demand of a term after it.
double
AccountLedger::TokensWanted(SteadyTime aNow, double aTokens) const
{
  const double term = SecondsOf(m_options.m_leaseTerm);
  const double supply =
    m_bucket.Tokens() +
    m_bucket.Held() * m_bucket.Limits().m_tokensPerSecond * term;
  return std::max(aTokens - m_bucket.Tokens(),
                  kHeadroom * m_demand.TokensPerSecond(aNow) * term - supply);
}

double
AccountLedger::FractionWanted(SteadyTime aNow, double aTokens) const
{
  const ShareLimits& limits = m_bucket.Limits();
  const double term = SecondsOf(m_options.m_leaseTerm);
  const double held = m_bucket.Held();
  const double forRate = Ratio(kHeadroom * m_demand.TokensPerSecond(aNow),
                               limits.m_tokensPerSecond) -
                         held;
  const double forCap = Ratio(aTokens, limits.m_burst) - held;
  const double forNow = Ratio(aTokens - m_bucket.Tokens(), limits.m_burst);
  const double forTerm =
    Ratio(TokensWanted(aNow, aTokens),
          limits.m_tokensPerSecond * term + limits.m_burst);
  return std::max({ forRate, forCap, forNow, forTerm });
}

bool
AccountLedger::IsWaiting(SteadyTime aNow) const
{
  return m_asked && aNow - m_asked->m_at < m_options.m_responseTimeout;
}

std::optional<LeaseRequest>
AccountLedger::Prepare(SteadyTime aNow,
                       Tokens aTokens,
                       const std::vector<InstanceId>& aPeers)
{
  m_bucket.Advance(aNow);
  if (IsWaiting(aNow)) {
    return std::nullopt;
  }
  if (m_asked) {
    m_choice.NoteRefused(aNow, m_asked->m_lender, m_options.m_leaseTerm);
    m_asked.reset();
  }
  const double tokens = TokensWanted(aNow, CountOf(aTokens));
  if (tokens <= 0) {
    return std::nullopt;
  }
  const std::optional<InstanceId> lender = m_choice.Next(aNow, aPeers);
  if (!lender) {
    return std::nullopt;
  }
  const double fraction =
    std::max(kSmallestFraction, FractionWanted(aNow, CountOf(aTokens)));
  m_asked = Asked{ .m_lender = *lender, .m_fraction = fraction, .m_at = aNow };
  return LeaseRequest{ .m_lender = *lender,
                       .m_fraction = fraction,
                       .m_tokens =
                         Tokens(static_cast<std::int64_t>(std::ceil(tokens))),
                       .m_term = m_options.m_leaseTerm };
}

// The largest part of the own share without which the rest and the tokens left
// still cover the demand of a term. A part takes its tokens along as far as
// there are any.
double
AccountLedger::FractionToSpare(SteadyTime aNow) const
{
  const ShareLimits& limits = m_bucket.Limits();
  const double term = SecondsOf(m_options.m_leaseTerm);
  const double refill = limits.m_tokensPerSecond * term;
  const double surplus = m_bucket.Held() * refill + m_bucket.Tokens() -
                         m_demand.TokensPerSecond(aNow) * term;
  const double withTokens = Ratio(surplus, refill + limits.m_burst);
  const double beyondTokens = Ratio(surplus - m_bucket.Tokens(), refill);
  return std::clamp(
    std::max(withTokens, beyondTokens), 0.0, m_bucket.OwnFree());
}

// The part of the spare share that is this borrower's among those who asked.
double
AccountLedger::FairPart(SteadyTime aNow, const InstanceId& aBorrower)
{
  std::erase_if(m_askers, [&](const Asker& aAsker) {
    return aAsker.m_borrower == aBorrower || aAsker.m_at + kAskerMemory < aNow;
  });
  m_askers.push_back({ .m_borrower = aBorrower, .m_at = aNow });
  const double lent = 1 - m_bucket.OwnFree();
  const double all = lent + FractionToSpare(aNow);
  return all / static_cast<double>(m_askers.size()) -
         m_bucket.LentTo(aBorrower);
}

// Not less than what the smaller bucket would lose, and not what is needed
// here at once.
double
AccountLedger::TokensToLend(SteadyTime aNow,
                            double aFraction,
                            const LeaseRequest& aRequest) const
{
  const double burst = m_bucket.Limits().m_burst;
  const double left = m_bucket.Cap() - aFraction * burst;
  const double wanted =
    std::max(CountOf(aRequest.m_tokens), m_bucket.Tokens() - left);
  const double free =
    m_bucket.Tokens() - m_demand.TokensPerSecond(aNow) * kLookaheadSeconds;
  return std::max(0.0, std::min({ aFraction * burst, free, wanted }));
}

nanoseconds
AccountLedger::RetryAfter(SteadyTime aNow) const
{
  const std::optional<SteadyTime> next = m_bucket.NextReturn();
  return next ? *next - aNow : kAskBusyLenderAfter;
}

LeaseGrant
AccountLedger::Lend(SteadyTime aNow, const LeaseRequest& aRequest)
{
  m_bucket.Advance(aNow);
  const LeaseGrant* lent = m_bucket.FindLent(aRequest.m_id);
  if (lent != nullptr && !aRequest.m_id.IsEmpty()) {
    return *lent;
  }
  LeaseGrant grant{ .m_id = aRequest.m_id,
                    .m_clientAccount = aRequest.m_clientAccount,
                    .m_term =
                      std::min(aRequest.m_term, m_options.m_leaseTerm) };
  const bool isInNeed = IsWaiting(aNow);
  if (!IsFraction(aRequest.m_fraction) || aRequest.m_id.IsEmpty() ||
      grant.m_term <= nanoseconds::zero() ||
      aRequest.m_borrower == m_options.m_self || isInNeed) {
    grant.m_retryAfter = RetryAfter(aNow);
    return grant;
  }
  const double fraction = std::min({ aRequest.m_fraction,
                                     FractionToSpare(aNow),
                                     FairPart(aNow, aRequest.m_borrower) });
  if (fraction >= kSmallestFraction) {
    grant.m_fraction = fraction;
    grant.m_tokens = TokensToLend(aNow, fraction, aRequest);
    m_bucket.LendOut(grant,
                     aRequest.m_borrower,
                     aNow + grant.m_term + m_options.m_leaseMargin);
  }
  if (grant.m_fraction < aRequest.m_fraction) {
    grant.m_retryAfter = RetryAfter(aNow);
  }
  return grant;
}

bool
AccountLedger::Accept(SteadyTime aNow, const LeaseGrant& aGrant)
{
  if (!m_asked || m_asked->m_id != aGrant.m_id) {
    return false;
  }
  const Asked asked = *m_asked;
  m_asked.reset();
  m_bucket.Advance(aNow);
  const SteadyTime until =
    asked.m_at + std::min(aGrant.m_term, m_options.m_leaseTerm);
  if (!IsFraction(aGrant.m_fraction) || aGrant.m_fraction > 1 ||
      !std::isfinite(aGrant.m_tokens) || aGrant.m_tokens < 0 || until <= aNow) {
    m_choice.NoteRefused(aNow, asked.m_lender, aGrant.m_retryAfter);
    return false;
  }
  if (aGrant.m_fraction < asked.m_fraction) {
    m_choice.NotePartly(aNow, asked.m_lender, aGrant.m_retryAfter);
  } else {
    m_choice.NoteGranted();
  }
  m_bucket.Borrow(aGrant, asked.m_lender, until);
  return true;
}

bool
AccountLedger::Reclaim(SteadyTime aNow, const LeaseReturn& aReturn)
{
  m_bucket.Advance(aNow);
  return !aReturn.m_id.IsEmpty() && std::isfinite(aReturn.m_tokens) &&
         m_bucket.Reclaim(aReturn);
}

// Whether the part is about to end, or the rest covers the demand of a term
// without it.
bool
AccountLedger::IsSpare(SteadyTime aNow, const BorrowedPart& aPart) const
{
  if (aPart.m_until - aNow < kReturnBeforeEnd) {
    return true;
  }
  const ShareLimits& limits = m_bucket.Limits();
  const double rest = m_bucket.Held() - aPart.m_fraction;
  const double term = SecondsOf(m_options.m_leaseTerm);
  const double supply = rest * limits.m_tokensPerSecond * term +
                        std::min(m_bucket.Tokens(), rest * limits.m_burst);
  return kHeadroom * m_demand.TokensPerSecond(aNow) * term +
           kKeptBurst * limits.m_burst <
         supply;
}

std::vector<LeaseReturn>
AccountLedger::EndLeases(SteadyTime aNow)
{
  std::vector<LeaseReturn> returns;
  if (!m_bucket.HasLeases()) {
    return returns;
  }
  m_bucket.Advance(aNow);
  for (const BorrowedPart& part : std::vector(m_bucket.BorrowedParts())) {
    if (IsSpare(aNow, part)) {
      returns.push_back(m_bucket.GiveUp(part.m_id));
    }
  }
  return returns;
}

void
AccountLedger::Pause(SteadyTime aNow)
{
  m_asked.reset();
  m_bucket.ForgetBorrowed();
  Empty(aNow);
}

void
AccountLedger::Empty(SteadyTime aNow)
{
  m_bucket.Advance(aNow);
  m_bucket.Empty();
}

} // namespace rattanweir::internal
