// Token bucket of one client account at this instance, and the share that
// refills it.
//
// Shares are in units of one instance's own share. The held share is 1, minus
// the lent shares, plus the borrowed ones. It determines both the refill rate
// and the capacity of the bucket. Advance refills separately up to each expiry
// of a lease, so a lazily advanced bucket never refills faster or higher than
// the share held at the time allows.
//
//   ShareBucket bucket(now, limits);
//   bucket.Advance(now);
//   if (bucket.TryConsume(500)) ...
//
// All other calls act at the time of the last Advance. Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/process/rate/rate_ledger.h"

#include <chrono>
#include <optional>
#include <vector>

namespace rattanweir::internal {

// Refill rate and capacity of a share of 1.
struct ShareLimits
{
  double m_tokensPerSecond = 0;
  double m_burst = 0;
};

// A share on lease from another instance.
struct BorrowedLease
{
  LeaseId m_id;
  InstanceId m_lender;
  double m_fraction = 0;
  SteadyTime m_until;
};

class ShareBucket
{
public:
  // Creates an empty bucket that holds the instance's own share.
  ShareBucket(SteadyTime aNow, const ShareLimits& aLimits);

  // Refills up to `aNow` and removes the leases that expired by then.
  void Advance(SteadyTime aNow);

  void SetLimits(const ShareLimits& aLimits);
  const ShareLimits& Limits() const { return m_limits; }

  double Tokens() const { return m_tokens; }
  double HeldShare() const { return UnlentShare() + BorrowedShare(); }
  double BorrowedShare() const;
  // Returns the part of the own share that is not lent.
  double UnlentShare() const;
  double Capacity() const { return HeldShare() * m_limits.m_burst; }

  // Deducts the tokens. Returns false and deducts nothing if there are fewer.
  bool TryConsume(double aTokens);
  // Adds tokens, up to the capacity.
  void Refund(double aTokens);
  void Empty() { m_tokens = 0; }

  // Withholds the grant's fraction of the own share until `aUntil` and deducts
  // its tokens. A share whose lease expires comes back without tokens.
  void RecordLent(const LeaseGrant& aGrant,
                  const InstanceId& aBorrower,
                  SteadyTime aUntil);
  // Returns the grant with this id if its lease is in force, else null.
  const LeaseGrant* FindLent(const LeaseId& aId) const;
  // Ends the lease early and adds the returned tokens. Returns false if no such
  // lease is in force.
  bool Reclaim(const LeaseReturn& aReturn);
  double LentTo(const InstanceId& aBorrower) const;
  // Returns the earliest expiry among the lent shares.
  std::optional<SteadyTime> NextLentExpiry() const;

  // Adds a borrowed share until `aUntil`, and its tokens.
  void AddBorrowed(const LeaseGrant& aGrant,
                   const InstanceId& aLender,
                   SteadyTime aUntil);
  const std::vector<BorrowedLease>& BorrowedLeases() const
  {
    return m_borrowed;
  }
  // Removes the borrowed share with this id, which must exist. The return
  // carries the tokens above the remaining capacity; the caller fills in
  // borrower and account.
  LeaseReturn ReleaseBorrowed(const LeaseId& aId);
  void ClearBorrowed();
  bool HasLeases() const { return !m_lent.empty() || !m_borrowed.empty(); }

  // Returns the time until the bucket holds this many tokens if none are
  // consumed, or nullopt if its capacity never suffices.
  std::optional<std::chrono::nanoseconds> TimeUntil(double aTokens) const;

private:
  struct LentLease
  {
    LeaseGrant m_grant;
    InstanceId m_borrower;
    SteadyTime m_until;
  };
  // Change of the held share when a lease expires: positive for a lent share,
  // negative for a borrowed one.
  struct ShareChange
  {
    SteadyTime m_at;
    double m_share = 0;
  };

  std::optional<SteadyTime> NextLeaseExpiry() const;
  std::vector<ShareChange> SortedShareChanges() const;
  void FillUntil(SteadyTime aTime);
  void ExpireLeases();
  void ClampToCapacity();

  ShareLimits m_limits;
  SteadyTime m_at;
  double m_tokens = 0;
  std::vector<LentLease> m_lent;
  std::vector<BorrowedLease> m_borrowed;
};

} // namespace rattanweir::internal
