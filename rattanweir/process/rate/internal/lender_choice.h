// Which peer to ask next for one client account, and whether to ask at all.
//
// A peer that had nothing, or not all, is left alone until it said it may have
// more. After several such answers in a row the account itself waits, twice as
// long each time, so an account over its rate everywhere costs few messages.
//
//   if (auto lender = choice.Next(now, peers)) ...
//   choice.NoteShortOf(now, *lender, askAgainAfter);
//
// For one thread.

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
  // The first of the peers that may be asked now, or nothing.
  std::optional<InstanceId> Next(SteadyTime aNow,
                                 const std::vector<InstanceId>& aPeers);

  // The peer gave all that was asked.
  void NoteGranted() { m_refusals = 0; }

  // The peer gave less than was asked, and may have more after that time.
  void NotePartly(SteadyTime aNow,
                  const InstanceId& aPeer,
                  std::chrono::nanoseconds aRetryAfter);

  // The peer gave nothing.
  void NoteRefused(SteadyTime aNow,
                   const InstanceId& aPeer,
                   std::chrono::nanoseconds aRetryAfter);

private:
  struct Wait
  {
    InstanceId m_peer;
    SteadyTime m_until;
  };

  std::vector<Wait> m_waits;
  SteadyTime m_accountUntil;
  int m_refusals = 0;
};

} // namespace rattanweir::internal
