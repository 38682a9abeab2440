#include "rattanweir/process/rate/internal/lender_choice.h"

#include <algorithm>

namespace rattanweir::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// Bounds of the retry time in a peer's response.
constexpr nanoseconds kMinCooldown = milliseconds(500);
constexpr nanoseconds kMaxCooldown = seconds(10);

// Refusals in a row before the account backs off, the first backoff, and how
// often the backoff doubles at most.
constexpr int kRefusalsBeforeBackoff = 2;
constexpr nanoseconds kInitialBackoff = milliseconds(250);
constexpr int kMaxDoublings = 5;

} // namespace

std::optional<InstanceId>
LenderChoice::NextLender(SteadyTime aNow, const std::vector<InstanceId>& aPeers)
{
  std::erase_if(m_cooldowns, [aNow](const Cooldown& aCooldown) {
    return aCooldown.m_until <= aNow;
  });
  if (aNow < m_accountBackoffUntil) {
    return std::nullopt;
  }
  for (const InstanceId& peer : aPeers) {
    const bool isCoolingDown = std::any_of(
      m_cooldowns.begin(),
      m_cooldowns.end(),
      [&peer](const Cooldown& aCooldown) { return aCooldown.m_peer == peer; });
    if (!isCoolingDown) {
      return peer;
    }
  }
  return std::nullopt;
}

void
LenderChoice::RecordPartialGrant(SteadyTime aNow,
                                 const InstanceId& aPeer,
                                 nanoseconds aRetryAfter)
{
  m_refusals = 0;
  const nanoseconds wait = std::clamp(aRetryAfter, kMinCooldown, kMaxCooldown);
  m_cooldowns.push_back({ .m_peer = aPeer, .m_until = aNow + wait });
}

void
LenderChoice::RecordRefusal(SteadyTime aNow,
                            const InstanceId& aPeer,
                            nanoseconds aRetryAfter)
{
  const int refusals = m_refusals + 1;
  RecordPartialGrant(aNow, aPeer, aRetryAfter);
  m_refusals = refusals;
  if (refusals > kRefusalsBeforeBackoff) {
    const int doublings =
      std::min(refusals - kRefusalsBeforeBackoff - 1, kMaxDoublings);
    m_accountBackoffUntil = aNow + kInitialBackoff * (1 << doublings);
  }
}

} // namespace rattanweir::internal
