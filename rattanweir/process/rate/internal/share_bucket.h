// One client account's bucket at this instance, and the share that fills it.
//
// Everything is counted in shares: 1 is what one instance owns. The share held
// is 1 less what is lent plus what is borrowed; it sets both how fast the
// bucket fills and how much it can hold. Time is cut at every start and end of
// a lease, so a lazily advanced bucket never fills faster or higher than the
// share that was held at the time.
//
//   ShareBucket bucket(now, limits);
//   bucket.Advance(now);
//   if (bucket.Take(500)) ...
//
// Every call but Advance acts at the time of the last Advance. For one thread.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/process/rate/rate_ledger.h"

#include <chrono>
#include <optional>
#include <vector>

namespace rattanweir::internal {

// What a share of 1 stands for.
struct ShareLimits
{
  double m_tokensPerSecond = 0;
  double m_burst = 0;
};

// A share that another instance owns.
struct BorrowedPart
{
  LeaseId m_id;
  InstanceId m_lender;
  double m_fraction = 0;
  SteadyTime m_until;
};

class ShareBucket
{
public:
  // Empty, with the instance's own share.
  ShareBucket(SteadyTime aNow, const ShareLimits& aLimits);

  // Fills up to `aNow` and ends the leases that ended before it.
  void Advance(SteadyTime aNow);

  void SetLimits(const ShareLimits& aLimits);
  const ShareLimits& Limits() const { return m_limits; }

  double Tokens() const { return m_tokens; }
  double Held() const { return OwnFree() + Borrowed(); }
  double Borrowed() const;
  // The own share that is not lent.
  double OwnFree() const;
  double Cap() const { return Held() * m_limits.m_burst; }

  // Takes the tokens if all are there.
  bool Take(double aTokens);
  // Puts tokens back, up to the cap.
  void GiveBack(double aTokens);
  void Empty() { m_tokens = 0; }

  // Withholds the grant's fraction of the own share until `aUntil`, and takes
  // out its tokens. It comes back empty.
  void LendOut(const LeaseGrant& aGrant,
               const InstanceId& aBorrower,
               SteadyTime aUntil);
  // The grant that was lent under this id, or null.
  const LeaseGrant* FindLent(const LeaseId& aId) const;
  // Ends the lease early. False if it is not lent.
  bool Reclaim(const LeaseReturn& aReturn);
  double LentTo(const InstanceId& aBorrower) const;
  // When the next part of the own share comes back, if one is lent.
  std::optional<SteadyTime> NextReturn() const;

  // Adds a borrowed share until `aUntil`, with its tokens.
  void Borrow(const LeaseGrant& aGrant,
              const InstanceId& aLender,
              SteadyTime aUntil);
  const std::vector<BorrowedPart>& BorrowedParts() const { return m_borrowed; }
  // Gives one borrowed part up, with the tokens that are over the cap without
  // it. Borrower and account are left to the caller.
  LeaseReturn GiveUp(const LeaseId& aId);
  void ForgetBorrowed();
  bool HasLeases() const { return !m_lent.empty() || !m_borrowed.empty(); }

  // How long until the bucket holds this many tokens if nothing is taken.
  std::optional<std::chrono::nanoseconds> TimeUntil(double aTokens) const;

private:
  struct Lent
  {
    LeaseGrant m_grant;
    InstanceId m_borrower;
    SteadyTime m_until;
  };
  // The share held grows or shrinks by a lease that ends.
  struct Change
  {
    SteadyTime m_at;
    double m_share = 0;
  };

  std::optional<SteadyTime> NextChange() const;
  std::vector<Change> ChangesInOrder() const;
  void FillUntil(SteadyTime aTime);
  void EndLeases();
  void Clip();

  ShareLimits m_limits;
  SteadyTime m_at;
  double m_tokens = 0;
  std::vector<Lent> m_lent;
  std::vector<BorrowedPart> m_borrowed;
};

} // namespace rattanweir::internal
