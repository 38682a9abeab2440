#include "rattanweir/process/rate/internal/account_ledger.h"

#include <algorithm>
#include <cmath>

namespace rattanweir::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Smallest share to request or lend; a smaller one does not justify its
// messages.
constexpr double kMinFraction = 0.01;

// Factor by which requested shares exceed the expected demand.
constexpr double kHeadroom = 1.1;

// A lender keeps enough tokens for its own demand over this period.
constexpr double kLookaheadSeconds = 1;

// How long a borrower counts for the fair division after its last request.
constexpr nanoseconds kRecentBorrowerWindow = milliseconds(1'500);

// How long before the end of its term a borrowed share is returned. The lender
// then gets the share together with its tokens, without waiting for its margin.
constexpr nanoseconds kEarlyReturn = milliseconds(500);

// The part of its own burst that an instance must retain beyond its demand when
// it returns a share.
constexpr double kRetainedBurstFraction = 0.1;

// When a borrower may retry a lender that needs its own share and has no lease
// about to expire.
constexpr nanoseconds kBusyLenderRetryAfter = milliseconds(1'000);

double
SecondsOf(nanoseconds aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

double
Ratio(double aNumerator, double aDenominator)
{
  return aDenominator > 0 ? aNumerator / aDenominator : 0;
}

double
ToDouble(Tokens aTokens)
{
  return static_cast<double>(aTokens.Value());
}

// Validates a number received from a peer.
bool
IsPositiveFinite(double aValue)
{
  return std::isfinite(aValue) && aValue > 0;
}

} // namespace

AccountLedger::AccountLedger(const RateLedgerOptions& aOptions,
                             SteadyTime aNow,
                             SteadyTime aUsableFrom,
                             const ShareLimits& aLimits)
  : m_options(aOptions)
  , m_bucket(aNow, aLimits)
  , m_demand(aNow)
{
  if (aNow < aUsableFrom) {
    m_bucket.RecordLent({ .m_fraction = 1 }, aOptions.m_self, aUsableFrom);
  }
}

void
AccountLedger::SetLimits(SteadyTime aNow, const ShareLimits& aLimits)
{
  m_bucket.Advance(aNow);
  m_bucket.SetLimits(aLimits);
}

std::optional<InsufficientTokens>
AccountLedger::TryConsume(SteadyTime aNow, Tokens aTokens)
{
  m_bucket.Advance(aNow);
  if (m_bucket.TryConsume(ToDouble(aTokens))) {
    return std::nullopt;
  }
  InsufficientTokens result;
  if (const auto wait = m_bucket.TimeUntil(ToDouble(aTokens))) {
    result.m_retryAfter = std::chrono::ceil<milliseconds>(*wait);
  }
  return result;
}

InsufficientTokens
AccountLedger::EstimateWait(SteadyTime aNow,
                            Tokens aTokens,
                            Tokens aTokensAhead)
{
  m_bucket.Advance(aNow);
  InsufficientTokens result;
  const auto emptyQueueWait = m_bucket.TimeUntil(ToDouble(aTokens));
  if (!emptyQueueWait) {
    return result;
  }
  // The requests ahead keep the bucket below its capacity, so it refills during
  // the entire wait.
  const double tokensPerSecond =
    m_bucket.HeldShare() * m_bucket.Limits().m_tokensPerSecond;
  const double missing = ToDouble(aTokensAhead + aTokens) - m_bucket.Tokens();
  const std::chrono::duration<double> all(
    std::max(0.0, Ratio(missing, tokensPerSecond)));
  result.m_retryAfter =
    std::chrono::ceil<milliseconds>(std::max<std::chrono::duration<double>>(
      std::chrono::duration<double>(*emptyQueueWait), all));
  return result;
}

void
AccountLedger::CountDemand(SteadyTime aNow, Tokens aTokens)
{
  m_demand.Add(aNow, ToDouble(aTokens));
}

void
AccountLedger::Refund(SteadyTime aNow, Tokens aTokens)
{
  m_bucket.Advance(aNow);
  m_bucket.Refund(ToDouble(aTokens));
}

bool
AccountLedger::IsRunningLow(SteadyTime aNow) const
{
  return NeededTokens(aNow, 0) > 0;
}

// Returns the tokens missing to admit `aTokens` now, or to cover the expected
// demand of a lease term, whichever is more.
double
AccountLedger::NeededTokens(SteadyTime aNow, double aTokens) const
{
  const double term = SecondsOf(m_options.m_leaseTerm);
  const double supply =
    m_bucket.Tokens() +
    m_bucket.HeldShare() * m_bucket.Limits().m_tokensPerSecond * term;
  return std::max(aTokens - m_bucket.Tokens(),
                  kHeadroom * m_demand.TokensPerSecond(aNow) * term - supply);
}

double
AccountLedger::NeededFraction(SteadyTime aNow, double aTokens) const
{
  const ShareLimits& limits = m_bucket.Limits();
  const double term = SecondsOf(m_options.m_leaseTerm);
  const double held = m_bucket.HeldShare();
  const double forRate = Ratio(kHeadroom * m_demand.TokensPerSecond(aNow),
                               limits.m_tokensPerSecond) -
                         held;
  const double forCapacity = Ratio(aTokens, limits.m_burst) - held;
  const double forNow = Ratio(aTokens - m_bucket.Tokens(), limits.m_burst);
  const double forTerm =
    Ratio(NeededTokens(aNow, aTokens),
          limits.m_tokensPerSecond * term + limits.m_burst);
  return std::max({ forRate, forCapacity, forNow, forTerm });
}

bool
AccountLedger::IsRequestPending(SteadyTime aNow) const
{
  return m_pendingRequest &&
         aNow - m_pendingRequest->m_at < m_options.m_responseTimeout;
}

std::optional<LeaseRequest>
AccountLedger::PrepareRequest(SteadyTime aNow,
                              Tokens aTokens,
                              const std::vector<InstanceId>& aPeers)
{
  m_bucket.Advance(aNow);
  if (IsRequestPending(aNow)) {
    return std::nullopt;
  }
  if (m_pendingRequest) {
    m_lenderChoice.RecordRefusal(
      aNow, m_pendingRequest->m_lender, m_options.m_leaseTerm);
    m_pendingRequest.reset();
  }
  const double tokens = NeededTokens(aNow, ToDouble(aTokens));
  if (tokens <= 0) {
    return std::nullopt;
  }
  const std::optional<InstanceId> lender =
    m_lenderChoice.NextLender(aNow, aPeers);
  if (!lender) {
    return std::nullopt;
  }
  const double fraction =
    std::max(kMinFraction, NeededFraction(aNow, ToDouble(aTokens)));
  m_pendingRequest =
    PendingRequest{ .m_lender = *lender, .m_fraction = fraction, .m_at = aNow };
  return LeaseRequest{ .m_lender = *lender,
                       .m_fraction = fraction,
                       .m_tokens =
                         Tokens(static_cast<std::int64_t>(std::ceil(tokens))),
                       .m_term = m_options.m_leaseTerm };
}

// Returns the largest part of the own share that can be lent while the
// remaining share and tokens still cover the local demand of a lease term. A
// lent share carries its tokens as far as the bucket holds them.
double
AccountLedger::LendableFraction(SteadyTime aNow) const
{
  const ShareLimits& limits = m_bucket.Limits();
  const double term = SecondsOf(m_options.m_leaseTerm);
  const double refill = limits.m_tokensPerSecond * term;
  const double surplus = m_bucket.HeldShare() * refill + m_bucket.Tokens() -
                         m_demand.TokensPerSecond(aNow) * term;
  const double withTokens = Ratio(surplus, refill + limits.m_burst);
  const double beyondTokens = Ratio(surplus - m_bucket.Tokens(), refill);
  return std::clamp(
    std::max(withTokens, beyondTokens), 0.0, m_bucket.UnlentShare());
}

// Returns the fraction that this borrower may still lease if the lent and the
// lendable share are divided equally among the recent borrowers.
double
AccountLedger::FairFraction(SteadyTime aNow, const InstanceId& aBorrower)
{
  std::erase_if(m_recentBorrowers, [&](const RecentBorrower& aRecent) {
    return aRecent.m_borrower == aBorrower ||
           aRecent.m_at + kRecentBorrowerWindow < aNow;
  });
  m_recentBorrowers.push_back({ .m_borrower = aBorrower, .m_at = aNow });
  const double lent = 1 - m_bucket.UnlentShare();
  const double all = lent + LendableFraction(aNow);
  return all / static_cast<double>(m_recentBorrowers.size()) -
         m_bucket.LentTo(aBorrower);
}

// Returns the tokens to transfer with a lent share: the requested tokens or
// those that no longer fit into the remaining capacity, whichever is more, but
// none that the local demand needs within kLookaheadSeconds.
double
AccountLedger::LendableTokens(SteadyTime aNow,
                              double aFraction,
                              const LeaseRequest& aRequest) const
{
  const double burst = m_bucket.Limits().m_burst;
  const double left = m_bucket.Capacity() - aFraction * burst;
  const double wanted =
    std::max(ToDouble(aRequest.m_tokens), m_bucket.Tokens() - left);
  const double free =
    m_bucket.Tokens() - m_demand.TokensPerSecond(aNow) * kLookaheadSeconds;
  return std::max(0.0, std::min({ aFraction * burst, free, wanted }));
}

nanoseconds
AccountLedger::RetryAfter(SteadyTime aNow) const
{
  const std::optional<SteadyTime> next = m_bucket.NextLentExpiry();
  return next ? *next - aNow : kBusyLenderRetryAfter;
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
  const bool isBorrowing = IsRequestPending(aNow);
  if (!IsPositiveFinite(aRequest.m_fraction) || aRequest.m_id.IsEmpty() ||
      grant.m_term <= nanoseconds::zero() ||
      aRequest.m_borrower == m_options.m_self || isBorrowing) {
    grant.m_retryAfter = RetryAfter(aNow);
    return grant;
  }
  const double fraction = std::min({ aRequest.m_fraction,
                                     LendableFraction(aNow),
                                     FairFraction(aNow, aRequest.m_borrower) });
  if (fraction >= kMinFraction) {
    grant.m_fraction = fraction;
    grant.m_tokens = LendableTokens(aNow, fraction, aRequest);
    m_bucket.RecordLent(grant,
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
  if (!m_pendingRequest || m_pendingRequest->m_id != aGrant.m_id) {
    return false;
  }
  const PendingRequest request = *m_pendingRequest;
  m_pendingRequest.reset();
  m_bucket.Advance(aNow);
  const SteadyTime until =
    request.m_at + std::min(aGrant.m_term, m_options.m_leaseTerm);
  if (!IsPositiveFinite(aGrant.m_fraction) || aGrant.m_fraction > 1 ||
      !std::isfinite(aGrant.m_tokens) || aGrant.m_tokens < 0 || until <= aNow) {
    m_lenderChoice.RecordRefusal(aNow, request.m_lender, aGrant.m_retryAfter);
    return false;
  }
  if (aGrant.m_fraction < request.m_fraction) {
    m_lenderChoice.RecordPartialGrant(
      aNow, request.m_lender, aGrant.m_retryAfter);
  } else {
    m_lenderChoice.RecordFullGrant();
  }
  m_bucket.AddBorrowed(aGrant, request.m_lender, until);
  return true;
}

bool
AccountLedger::Reclaim(SteadyTime aNow, const LeaseReturn& aReturn)
{
  m_bucket.Advance(aNow);
  return !aReturn.m_id.IsEmpty() && std::isfinite(aReturn.m_tokens) &&
         m_bucket.Reclaim(aReturn);
}

// Returns true if the lease is about to expire, or if the remaining share
// covers the demand of a lease term.
bool
AccountLedger::IsReturnable(SteadyTime aNow, const BorrowedLease& aLease) const
{
  if (aLease.m_until - aNow < kEarlyReturn) {
    return true;
  }
  const ShareLimits& limits = m_bucket.Limits();
  const double rest = m_bucket.HeldShare() - aLease.m_fraction;
  const double term = SecondsOf(m_options.m_leaseTerm);
  const double supply = rest * limits.m_tokensPerSecond * term +
                        std::min(m_bucket.Tokens(), rest * limits.m_burst);
  return kHeadroom * m_demand.TokensPerSecond(aNow) * term +
           kRetainedBurstFraction * limits.m_burst <
         supply;
}

std::vector<LeaseReturn>
AccountLedger::ExpireLeases(SteadyTime aNow)
{
  std::vector<LeaseReturn> returns;
  if (!m_bucket.HasLeases()) {
    return returns;
  }
  m_bucket.Advance(aNow);
  for (const BorrowedLease& lease : std::vector(m_bucket.BorrowedLeases())) {
    if (IsReturnable(aNow, lease)) {
      returns.push_back(m_bucket.ReleaseBorrowed(lease.m_id));
    }
  }
  return returns;
}

void
AccountLedger::Pause(SteadyTime aNow)
{
  m_pendingRequest.reset();
  m_bucket.ClearBorrowed();
  Empty(aNow);
}

void
AccountLedger::Empty(SteadyTime aNow)
{
  m_bucket.Advance(aNow);
  m_bucket.Empty();
}

} // namespace rattanweir::internal
