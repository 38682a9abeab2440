#include "rattanweir/process/rate/internal/lender_choice.h"

#include <algorithm>

namespace rattanweir::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// Whatever a peer says, it is not asked again sooner or left alone longer.
constexpr nanoseconds kShortestWait = milliseconds(500);
constexpr nanoseconds kLongestWait = seconds(10);

// Refusals in a row that the account takes before it waits, and its waits.
constexpr int kFreeRefusals = 2;
constexpr nanoseconds kFirstAccountWait = milliseconds(250);
constexpr int kMaxDoublings = 5;

} // namespace

std::optional<InstanceId>
LenderChoice::Next(SteadyTime aNow, const std::vector<InstanceId>& aPeers)
{
  std::erase_if(m_waits,
                [aNow](const Wait& aWait) { return aWait.m_until <= aNow; });
  if (aNow < m_accountUntil) {
    return std::nullopt;
  }
  for (const InstanceId& peer : aPeers) {
    const bool isWaiting =
      std::any_of(m_waits.begin(), m_waits.end(), [&peer](const Wait& aWait) {
        return aWait.m_peer == peer;
      });
    if (!isWaiting) {
      return peer;
    }
  }
  return std::nullopt;
}

void
LenderChoice::NotePartly(SteadyTime aNow,
                         const InstanceId& aPeer,
                         nanoseconds aRetryAfter)
{
  m_refusals = 0;
  const nanoseconds wait = std::clamp(aRetryAfter, kShortestWait, kLongestWait);
  m_waits.push_back({ .m_peer = aPeer, .m_until = aNow + wait });
}

void
LenderChoice::NoteRefused(SteadyTime aNow,
                          const InstanceId& aPeer,
                          nanoseconds aRetryAfter)
{
  const int refusals = m_refusals + 1;
  NotePartly(aNow, aPeer, aRetryAfter);
  m_refusals = refusals;
  if (refusals > kFreeRefusals) {
    const int doublings = std::min(refusals - kFreeRefusals - 1, kMaxDoublings);
    m_accountUntil = aNow + kFirstAccountWait * (1 << doublings);
  }
}

} // namespace rattanweir::internal
