// Chooses the peer to send the next lease request of one client account to.
//
// A peer that granted less than requested is skipped until the retry time in
// its response. After several refusals in a row the account backs off
// exponentially, so that an account over its rate everywhere causes few
// messages.
//
//   if (auto lender = choice.NextLender(now, peers)) ...
//   choice.RecordRefusal(now, *lender, retryAfter);
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"

#include <chrono>
#include <optional>
#include <vector>

namespace rattanweir::internal {

class LenderChoice
{
public:
  // Returns the first peer in `aPeers` that is not cooling down. Returns
  // nullopt if all are, or while the account backs off.
  std::optional<InstanceId> NextLender(SteadyTime aNow,
                                       const std::vector<InstanceId>& aPeers);

  // Records that the peer granted the full request.
  void RecordFullGrant() { m_refusals = 0; }

  // Records that the peer granted less than requested. Skips the peer for
  // `aRetryAfter`, clamped to [500 ms, 10 s].
  void RecordPartialGrant(SteadyTime aNow,
                          const InstanceId& aPeer,
                          std::chrono::nanoseconds aRetryAfter);

  // Records that the peer granted nothing. Skips the peer as above, and backs
  // off after the third refusal in a row.
  void RecordRefusal(SteadyTime aNow,
                     const InstanceId& aPeer,
                     std::chrono::nanoseconds aRetryAfter);

private:
  struct Cooldown
  {
    InstanceId m_peer;
    SteadyTime m_until;
  };

  std::vector<Cooldown> m_cooldowns;
  SteadyTime m_accountBackoffUntil;
  int m_refusals = 0;
};

} // namespace rattanweir::internal
