// Queues requests that lack tokens of their client account until the refill, in
// the order of arrival. Used by the product's own interface
// (`request/pipeline`).
//
//   RateQueue queue({ .m_executor = executor,
//                     .m_clock = clock,
//                     .m_rates = ledger });
//   ReserveResult result = queue.Reserve(account, Tokens(500));
//   if (std::holds_alternative<InsufficientTokens>(result)) {
//     RateQueue::Waiter waiter(queue, account, Tokens(500));
//     if (waiter.IsQueued()) {
//       result = co_await waiter.Wait(until, cancel);
//     }
//   }
//
// Each client account has its own queue of bounded length. Only the first
// waiter of a queue reserves tokens, so small requests never overtake a large
// one. A request is removed as soon as its wait would exceed its limit,
// so a large request delays the others no longer than that. Not thread-safe.

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

// Maximum time for which a request waits for tokens, including borrowing.
inline constexpr std::chrono::milliseconds kMaxRateWait{ 500 };

struct RateQueueOptions
{
  Executor m_executor;
  const Clock& m_clock;
  RateLedger& m_rates;
  // Maximum queue length of one client account.
  std::size_t m_maxWaiting = 64;
};

class RateQueue
{
public:
  // An entry in the queue of one account, removed on destruction.
  class Waiter
  {
  public:
    // Enqueues the request at the end, unless the account's queue is full.
    // `aQueue` must outlive the waiter.
    Waiter(RateQueue& aQueue, const ClientAccountId& aAccount, Tokens aTokens);
    ~Waiter();
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;

    // Returns whether the request was enqueued; otherwise refuse the request.
    bool IsQueued() const { return m_isQueued; }

    // Returns the tokens needed by the requests up to and including this one.
    Tokens CumulativeTokens() const;

    // Waits until the request is the first of its queue and reserves its
    // tokens. Returns InsufficientTokens with a retry delay immediately if that
    // would be after `aUntil`. Also returns when the request is cancelled.
    Task<ReserveResult> Wait(SteadyTime aUntil, CancelSource& aCancel);

  private:
    friend class RateQueue;

    ReserveResult TryReserve() const;

    RateQueue& m_queue;
    ClientAccountId m_account;
    Tokens m_tokens;
    bool m_isQueued = false;
    WakeableTimer m_timer;
  };

  explicit RateQueue(const RateQueueOptions& aOptions);
  RateQueue(const RateQueue&) = delete;
  RateQueue& operator=(const RateQueue&) = delete;

  // Makes the first attempt of a request and records its demand. Reserves its
  // tokens, or returns the wait behind all queued requests of the account.
  ReserveResult Reserve(const ClientAccountId& aAccount, Tokens aTokens);

  // Makes the first waiter of the account retry, because tokens were borrowed.
  void Wake(const ClientAccountId& aAccount);

  std::size_t WaitingCount(const ClientAccountId& aAccount) const;

private:
  using AccountWaiters = std::list<Waiter*>;

  const AccountWaiters* FindWaiters(const ClientAccountId& aAccount) const;
  void Remove(Waiter& aWaiter);

  RateQueueOptions m_options;
  std::unordered_map<ClientAccountId, AccountWaiters> m_waiters;
};

} // namespace rattanweir
