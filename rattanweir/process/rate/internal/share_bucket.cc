#include "rattanweir/process/rate/internal/share_bucket.h"

#include <algorithm>

namespace rattanweir::internal {
namespace {

// Longer waits are told as this, to stay within the range of the type.
constexpr double kLongestWaitSeconds = 1e8;

double
SecondsOf(std::chrono::nanoseconds aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::chrono::nanoseconds
DurationOf(double aSeconds)
{
  return std::chrono::ceil<std::chrono::nanoseconds>(
    std::chrono::duration<double>(std::min(aSeconds, kLongestWaitSeconds)));
}

} // namespace

ShareBucket::ShareBucket(SteadyTime aNow, const ShareLimits& aLimits)
  : m_limits(aLimits)
  , m_at(aNow)
{
}

double
ShareBucket::Borrowed() const
{
  double sum = 0;
  for (const BorrowedPart& part : m_borrowed) {
    sum += part.m_fraction;
  }
  return sum;
}

double
ShareBucket::OwnFree() const
{
  double free = 1;
  for (const Lent& lent : m_lent) {
    free -= lent.m_grant.m_fraction;
  }
  return std::max(0.0, free);
}

std::optional<SteadyTime>
ShareBucket::NextReturn() const
{
  std::optional<SteadyTime> next;
  for (const Lent& lent : m_lent) {
    next = std::min(next.value_or(lent.m_until), lent.m_until);
  }
  return next;
}

std::optional<SteadyTime>
ShareBucket::NextChange() const
{
  std::optional<SteadyTime> next = NextReturn();
  for (const BorrowedPart& part : m_borrowed) {
    next = std::min(next.value_or(part.m_until), part.m_until);
  }
  return next;
}

void
ShareBucket::FillUntil(SteadyTime aTime)
{
  m_tokens += Held() * m_limits.m_tokensPerSecond * SecondsOf(aTime - m_at);
  m_at = aTime;
  Clip();
}

void
ShareBucket::EndLeases()
{
  std::erase_if(m_lent,
                [this](const Lent& aLent) { return aLent.m_until <= m_at; });
  std::erase_if(m_borrowed, [this](const BorrowedPart& aPart) {
    return aPart.m_until <= m_at;
  });
  Clip();
}

void
ShareBucket::Advance(SteadyTime aNow)
{
  for (auto next = NextChange(); next && *next <= aNow; next = NextChange()) {
    FillUntil(std::max(m_at, *next));
    EndLeases();
  }
  FillUntil(std::max(m_at, aNow));
}

void
ShareBucket::SetLimits(const ShareLimits& aLimits)
{
  m_limits = aLimits;
  Clip();
}

bool
ShareBucket::Take(double aTokens)
{
  if (aTokens > m_tokens) {
    return false;
  }
  m_tokens -= aTokens;
  return true;
}

void
ShareBucket::GiveBack(double aTokens)
{
  m_tokens += aTokens;
  Clip();
}

void
ShareBucket::LendOut(const LeaseGrant& aGrant,
                     const InstanceId& aBorrower,
                     SteadyTime aUntil)
{
  m_lent.push_back(
    { .m_grant = aGrant, .m_borrower = aBorrower, .m_until = aUntil });
  m_tokens = std::max(0.0, m_tokens - aGrant.m_tokens);
  Clip();
}

const LeaseGrant*
ShareBucket::FindLent(const LeaseId& aId) const
{
  for (const Lent& lent : m_lent) {
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
  for (const Lent& lent : m_lent) {
    if (lent.m_borrower == aBorrower) {
      sum += lent.m_grant.m_fraction;
    }
  }
  return sum;
}

void
ShareBucket::Borrow(const LeaseGrant& aGrant,
                    const InstanceId& aLender,
                    SteadyTime aUntil)
{
  m_borrowed.push_back({ .m_id = aGrant.m_id,
                         .m_lender = aLender,
                         .m_fraction = aGrant.m_fraction,
                         .m_until = aUntil });
  // Limits may have changed since the lender counted the tokens.
  GiveBack(std::min(aGrant.m_tokens, aGrant.m_fraction * m_limits.m_burst));
}

LeaseReturn
ShareBucket::GiveUp(const LeaseId& aId)
{
  const auto part = std::find_if(
    m_borrowed.begin(), m_borrowed.end(), [&aId](const BorrowedPart& aPart) {
      return aPart.m_id == aId;
    });
  LeaseReturn result{ .m_id = aId, .m_lender = part->m_lender };
  m_borrowed.erase(part);
  result.m_tokens = std::max(0.0, m_tokens - Cap());
  Clip();
  return result;
}

bool
ShareBucket::Reclaim(const LeaseReturn& aReturn)
{
  const auto lent =
    std::find_if(m_lent.begin(), m_lent.end(), [&aReturn](const Lent& aLent) {
      return aLent.m_grant.m_id == aReturn.m_id &&
             aLent.m_borrower == aReturn.m_borrower;
    });
  if (lent == m_lent.end()) {
    return false;
  }
  const double most = lent->m_grant.m_fraction * m_limits.m_burst;
  m_lent.erase(lent);
  GiveBack(std::clamp(aReturn.m_tokens, 0.0, most));
  return true;
}

void
ShareBucket::ForgetBorrowed()
{
  m_borrowed.clear();
  Clip();
}

std::vector<ShareBucket::Change>
ShareBucket::ChangesInOrder() const
{
  std::vector<Change> changes;
  changes.reserve(m_lent.size() + m_borrowed.size());
  for (const Lent& lent : m_lent) {
    changes.push_back(
      { .m_at = lent.m_until, .m_share = lent.m_grant.m_fraction });
  }
  for (const BorrowedPart& part : m_borrowed) {
    changes.push_back({ .m_at = part.m_until, .m_share = -part.m_fraction });
  }
  std::sort(changes.begin(),
            changes.end(),
            [](const Change& aLeft, const Change& aRight) {
              return aLeft.m_at < aRight.m_at;
            });
  return changes;
}

std::optional<std::chrono::nanoseconds>
ShareBucket::TimeUntil(double aTokens) const
{
  std::vector<Change> changes = ChangesInOrder();
  // The last one stands for no change any more.
  changes.push_back({ .m_at = SteadyTime::max() });
  SteadyTime at = m_at;
  double held = Held();
  double tokens = m_tokens;
  for (const Change& change : changes) {
    const double cap = held * m_limits.m_burst;
    const double speed = held * m_limits.m_tokensPerSecond;
    if (aTokens <= cap && speed > 0) {
      const std::chrono::nanoseconds wait =
        DurationOf(std::max(0.0, aTokens - tokens) / speed);
      if (at + wait <= change.m_at) {
        return at + wait - m_at;
      }
    }
    tokens = std::min(cap, tokens + speed * SecondsOf(change.m_at - at));
    held += change.m_share;
    tokens = std::min(tokens, held * m_limits.m_burst);
    at = change.m_at;
  }
  return std::nullopt;
}

void
ShareBucket::Clip()
{
  m_tokens = std::min(m_tokens, Cap());
}

} // namespace rattanweir::internal
