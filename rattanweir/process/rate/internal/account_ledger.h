// State of one client account at this instance: token bucket, demand, and
// leases requested, borrowed and lent.
//
// RateLedger owns one AccountLedger per account, detects pauses for all of
// them, and documents the contract. Times passed in must not decrease. Not
// thread-safe.

#pragma once

#include "rattanweir/process/rate/internal/demand.h"
#include "rattanweir/process/rate/internal/lender_choice.h"
#include "rattanweir/process/rate/internal/share_bucket.h"
#include "rattanweir/process/rate/rate_ledger.h"

#include <optional>
#include <vector>

namespace rattanweir::internal {

class AccountLedger
{
public:
  // Withholds the own share until `aUsableFrom`, since a previous process may
  // have lent it.
  AccountLedger(const RateLedgerOptions& aOptions,
                SteadyTime aNow,
                SteadyTime aUsableFrom,
                const ShareLimits& aLimits);

  void SetLimits(SteadyTime aNow, const ShareLimits& aLimits);

  // Deducts the tokens and returns nullopt, or returns the time until the
  // bucket holds them.
  std::optional<InsufficientTokens> TryConsume(SteadyTime aNow, Tokens aTokens);
  // Returns the time until the bucket has supplied `aTokensAhead` and then
  // `aTokens`.
  InsufficientTokens EstimateWait(SteadyTime aNow,
                                  Tokens aTokens,
                                  Tokens aTokensAhead);
  void CountDemand(SteadyTime aNow, Tokens aTokens);
  void Refund(SteadyTime aNow, Tokens aTokens);

  // Returns true if the held share and the tokens do not cover the expected
  // demand of the next lease term.
  bool IsRunningLow(SteadyTime aNow) const;

  // Returns the lease request without its id, borrower and account.
  std::optional<LeaseRequest> PrepareRequest(
    SteadyTime aNow,
    Tokens aTokens,
    const std::vector<InstanceId>& aPeers);
  // Sets the id under which the prepared request is sent.
  void SetRequestId(const LeaseId& aId) { m_pendingRequest->m_id = aId; }

  LeaseGrant Lend(SteadyTime aNow, const LeaseRequest& aRequest);
  bool Accept(SteadyTime aNow, const LeaseGrant& aGrant);

  bool Reclaim(SteadyTime aNow, const LeaseReturn& aReturn);

  // Ends expired leases and releases borrowed ones that are not needed. The
  // caller fills in borrower and account of the returns.
  std::vector<LeaseReturn> ExpireLeases(SteadyTime aNow);

  // Drops borrowed shares and the pending request, and empties the bucket.
  void Pause(SteadyTime aNow);
  void Empty(SteadyTime aNow);

  const ShareBucket& Bucket() const { return m_bucket; }

private:
  // The lease request that awaits its response; at most one per account.
  struct PendingRequest
  {
    LeaseId m_id;
    InstanceId m_lender;
    double m_fraction = 0;
    SteadyTime m_at;
  };
  struct RecentBorrower
  {
    InstanceId m_borrower;
    SteadyTime m_at;
  };

  // Returns true while a lease request awaits its response.
  bool IsRequestPending(SteadyTime aNow) const;
  double NeededFraction(SteadyTime aNow, double aTokens) const;
  double NeededTokens(SteadyTime aNow, double aTokens) const;
  double LendableFraction(SteadyTime aNow) const;
  double FairFraction(SteadyTime aNow, const InstanceId& aBorrower);
  double LendableTokens(SteadyTime aNow,
                        double aFraction,
                        const LeaseRequest& aRequest) const;
  bool IsReturnable(SteadyTime aNow, const BorrowedLease& aLease) const;
  std::chrono::nanoseconds RetryAfter(SteadyTime aNow) const;

  const RateLedgerOptions& m_options;
  ShareBucket m_bucket;
  Demand m_demand;
  LenderChoice m_lenderChoice;
  std::optional<PendingRequest> m_pendingRequest;
  std::vector<RecentBorrower> m_recentBorrowers;
};

} // namespace rattanweir::internal
