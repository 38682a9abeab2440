// Lets requests that are short of tokens wait for the refill, in the order of
// their arrival.
//
//   RateQueue queue({ .m_executor = executor,
//                     .m_clock = clock,
//                     .m_rates = ledger });
//   ReserveResult result = queue.Reserve(account, Tokens(500));
//   if (std::holds_alternative<RateShort>(result)) {
//     RateQueue::Place place(queue, account, Tokens(500));
//     if (place.IsQueued()) {
//       result = co_await place.Wait(until, cancel);
//     }
//   }
//
// Each client account has a line of its own, bounded in length. Only the first
// of a line takes tokens, so small requests never overtake a large one; and a
// request leaves the line as soon as its wait would pass its bound, so a large
// one holds the others up for no longer than that. For one thread.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/cancel/cancel.h"
#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/process/rate/rate_ledger.h"
#include "rattanweir/request/wait/wait.h"

#include <chrono>
#include <cstddef>
#include <list>
#include <unordered_map>

namespace rattanweir {

// The most that a request waits for tokens, borrowing included.
inline constexpr std::chrono::milliseconds kMaxRateWait{ 500 };

struct RateQueueOptions
{
  Executor m_executor;
  const Clock& m_clock;
  RateLedger& m_rates;
  // Of one client account.
  std::size_t m_maxWaiting = 64;
};

class RateQueue
{
public:
  // A place in the line of one account, given up when destroyed.
  class Waiter
  {
  public:
    // Takes the last place, if the line is not full. `aQueue` must outlive it.
    Waiter(RateQueue& aQueue, const ClientAccountId& aAccount, Tokens aTokens);
    ~Waiter();
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;

    // Whether the line had room; otherwise the request is to be refused.
    bool IsQueued() const { return m_isTaken; }

    // What the requests before this one and this one need together.
    Tokens CumulativeTokens() const;

    // Waits until the request is the first of its line and its tokens are
    // there. Ends at once with RateShort, and with when to come back, if that
    // would be after `aUntil`; and when the request is cancelled.
    Task<ReserveResult> Wait(SteadyTime aUntil, CancelSource& aCancel);

  private:
    friend class RateQueue;

    ReserveResult Try() const;

    RateQueue& m_queue;
    ClientAccountId m_account;
    Tokens m_tokens;
    bool m_isTaken = false;
    WakeableTimer m_wakeUp;
  };

  explicit RateQueue(const RateQueueOptions& aOptions);
  RateQueue(const RateQueue&) = delete;
  RateQueue& operator=(const RateQueue&) = delete;

  // The first try of a request, which counts its demand: takes its tokens, or
  // says how long that would take after all who wait already.
  ReserveResult Reserve(const ClientAccountId& aAccount, Tokens aTokens);

  // Lets the first of the account's line look again: tokens were borrowed.
  void Wake(const ClientAccountId& aAccount);

  std::size_t WaitingCount(const ClientAccountId& aAccount) const;

private:
  using AccountWaiters = std::list<Waiter*>;

  const AccountWaiters* FindAccountQueue(const ClientAccountId& aAccount) const;
  void Leave(Waiter& aPlace);

  RateQueueOptions m_options;
  std::unordered_map<ClientAccountId, AccountWaiters> m_accountQueues;
};

} // namespace rattanweir
