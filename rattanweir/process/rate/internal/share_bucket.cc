#include "rattanweir/process/rate/internal/share_bucket.h"

#include <algorithm>

namespace rattanweir::internal {
namespace {

// Longer waits are clamped to stay within the range of nanoseconds.
constexpr double kMaxWaitSeconds = 1e8;

double
SecondsOf(std::chrono::nanoseconds aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::chrono::nanoseconds
DurationOf(double aSeconds)
{
  return std::chrono::ceil<std::chrono::nanoseconds>(
    std::chrono::duration<double>(std::min(aSeconds, kMaxWaitSeconds)));
}

} // namespace

ShareBucket::ShareBucket(SteadyTime aNow, const ShareLimits& aLimits)
  : m_limits(aLimits)
  , m_at(aNow)
{
}

double
ShareBucket::BorrowedShare() const
{
  double sum = 0;
  for (const BorrowedLease& lease : m_borrowed) {
    sum += lease.m_fraction;
  }
  return sum;
}

double
ShareBucket::UnlentShare() const
{
  double free = 1;
  for (const LentLease& lent : m_lent) {
    free -= lent.m_grant.m_fraction;
  }
  return std::max(0.0, free);
}

std::optional<SteadyTime>
ShareBucket::NextLentExpiry() const
{
  std::optional<SteadyTime> next;
  for (const LentLease& lent : m_lent) {
    next = std::min(next.value_or(lent.m_until), lent.m_until);
  }
  return next;
}

std::optional<SteadyTime>
ShareBucket::NextLeaseExpiry() const
{
  std::optional<SteadyTime> next = NextLentExpiry();
  for (const BorrowedLease& lease : m_borrowed) {
    next = std::min(next.value_or(lease.m_until), lease.m_until);
  }
  return next;
}

void
ShareBucket::FillUntil(SteadyTime aTime)
{
  m_tokens +=
    HeldShare() * m_limits.m_tokensPerSecond * SecondsOf(aTime - m_at);
  m_at = aTime;
  ClampToCapacity();
}

void
ShareBucket::ExpireLeases()
{
  std::erase_if(
    m_lent, [this](const LentLease& aLent) { return aLent.m_until <= m_at; });
  std::erase_if(m_borrowed, [this](const BorrowedLease& aLease) {
    return aLease.m_until <= m_at;
  });
  ClampToCapacity();
}

void
ShareBucket::Advance(SteadyTime aNow)
{
  for (auto next = NextLeaseExpiry(); next && *next <= aNow;
       next = NextLeaseExpiry()) {
    FillUntil(std::max(m_at, *next));
    ExpireLeases();
  }
  FillUntil(std::max(m_at, aNow));
}

void
ShareBucket::SetLimits(const ShareLimits& aLimits)
{
  m_limits = aLimits;
  ClampToCapacity();
}

bool
ShareBucket::TryConsume(double aTokens)
{
  if (aTokens > m_tokens) {
    return false;
  }
  m_tokens -= aTokens;
  return true;
}

void
ShareBucket::Refund(double aTokens)
{
  m_tokens += aTokens;
  ClampToCapacity();
}

void
ShareBucket::RecordLent(const LeaseGrant& aGrant,
                        const InstanceId& aBorrower,
                        SteadyTime aUntil)
{
  m_lent.push_back(
    { .m_grant = aGrant, .m_borrower = aBorrower, .m_until = aUntil });
  m_tokens = std::max(0.0, m_tokens - aGrant.m_tokens);
  ClampToCapacity();
}

const LeaseGrant*
ShareBucket::FindLent(const LeaseId& aId) const
{
  for (const LentLease& lent : m_lent) {
    if (lent.m_grant.m_id == aId) {
      return &lent.m_grant;
    }
  }
  return nullptr;
}

double
ShareBucket::LentTo(const InstanceId& aBorrower) const
{
  double sum = 0;
  for (const LentLease& lent : m_lent) {
    if (lent.m_borrower == aBorrower) {
      sum += lent.m_grant.m_fraction;
    }
  }
  return sum;
}

void
ShareBucket::AddBorrowed(const LeaseGrant& aGrant,
                         const InstanceId& aLender,
                         SteadyTime aUntil)
{
  m_borrowed.push_back({ .m_id = aGrant.m_id,
                         .m_lender = aLender,
                         .m_fraction = aGrant.m_fraction,
                         .m_until = aUntil });
  // The limits may have changed since the lender computed the tokens.
  Refund(std::min(aGrant.m_tokens, aGrant.m_fraction * m_limits.m_burst));
}

LeaseReturn
ShareBucket::ReleaseBorrowed(const LeaseId& aId)
{
  const auto lease = std::find_if(
    m_borrowed.begin(), m_borrowed.end(), [&aId](const BorrowedLease& aLease) {
      return aLease.m_id == aId;
    });
  LeaseReturn result{ .m_id = aId, .m_lender = lease->m_lender };
  m_borrowed.erase(lease);
  result.m_tokens = std::max(0.0, m_tokens - Capacity());
  ClampToCapacity();
  return result;
}

bool
ShareBucket::Reclaim(const LeaseReturn& aReturn)
{
  const auto lent = std::find_if(
    m_lent.begin(), m_lent.end(), [&aReturn](const LentLease& aLent) {
      return aLent.m_grant.m_id == aReturn.m_id &&
             aLent.m_borrower == aReturn.m_borrower;
    });
  if (lent == m_lent.end()) {
    return false;
  }
  const double maxTokens = lent->m_grant.m_fraction * m_limits.m_burst;
  m_lent.erase(lent);
  Refund(std::clamp(aReturn.m_tokens, 0.0, maxTokens));
  return true;
}

void
ShareBucket::ClearBorrowed()
{
  m_borrowed.clear();
  ClampToCapacity();
}

std::vector<ShareBucket::ShareChange>
ShareBucket::SortedShareChanges() const
{
  std::vector<ShareChange> changes;
  changes.reserve(m_lent.size() + m_borrowed.size());
  for (const LentLease& lent : m_lent) {
    changes.push_back(
      { .m_at = lent.m_until, .m_share = lent.m_grant.m_fraction });
  }
  for (const BorrowedLease& lease : m_borrowed) {
    changes.push_back({ .m_at = lease.m_until, .m_share = -lease.m_fraction });
  }
  std::sort(changes.begin(),
            changes.end(),
            [](const ShareChange& aLeft, const ShareChange& aRight) {
              return aLeft.m_at < aRight.m_at;
            });
  return changes;
}

std::optional<std::chrono::nanoseconds>
ShareBucket::TimeUntil(double aTokens) const
{
  std::vector<ShareChange> changes = SortedShareChanges();
  // Sentinel: no lease expires after this.
  changes.push_back({ .m_at = SteadyTime::max() });
  SteadyTime at = m_at;
  double held = HeldShare();
  double tokens = m_tokens;
  for (const ShareChange& change : changes) {
    const double capacity = held * m_limits.m_burst;
    const double tokensPerSecond = held * m_limits.m_tokensPerSecond;
    if (aTokens <= capacity && tokensPerSecond > 0) {
      const std::chrono::nanoseconds wait =
        DurationOf(std::max(0.0, aTokens - tokens) / tokensPerSecond);
      if (at + wait <= change.m_at) {
        return at + wait - m_at;
      }
    }
    tokens = std::min(capacity,
                      tokens + tokensPerSecond * SecondsOf(change.m_at - at));
    held += change.m_share;
    tokens = std::min(tokens, held * m_limits.m_burst);
    at = change.m_at;
  }
  return std::nullopt;
}

void
ShareBucket::ClampToCapacity()
{
  m_tokens = std::min(m_tokens, Capacity());
}

} // namespace rattanweir::internal
