// A priority queue of requests that wait for a backend server with capacity.
// Used by the users' platform (`request/gateway`).
//
//   WaitQueue queue(executor);
//   WaitQueue::Waiter waiter(queue, { .m_priority = 1, .m_arrivedAt = now });
//   while (!waiter.IsFirst() || !TryToSend()) {
//     co_await waiter.Wait(20ms, cancel);
//   }
//
// Requests are ordered by priority, and last in, first out within a priority:
// in a long queue the oldest requests can hardly meet their latency objective,
// and first in, first out would make all requests miss it. Only the first
// waiter is woken; when that waiter is removed, the next one is woken. Not
// thread-safe.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/cancel/cancel.h"
#include "rattanweir/base/clock/clock.h"
#include "rattanweir/request/wait/wait.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>

namespace rattanweir {

// The position of a request in the queue's order.
struct SchedulingKey
{
  // 0 is the highest priority.
  unsigned m_priority = 0;
  SteadyTime m_arrivedAt;

  friend bool operator==(const SchedulingKey&, const SchedulingKey&) = default;
  // The smaller key is served first.
  friend std::strong_ordering operator<=>(const SchedulingKey& aLeft,
                                          const SchedulingKey& aRight)
  {
    const auto byPriority = aLeft.m_priority <=> aRight.m_priority;
    return byPriority != 0 ? byPriority
                           : aRight.m_arrivedAt <=> aLeft.m_arrivedAt;
  }
};

class WaitQueue
{
public:
  explicit WaitQueue(const Executor& aExecutor);

  // An entry of the queue; enqueued on construction, removed on destruction.
  // The queue must outlive the waiter.
  class Waiter
  {
  public:
    Waiter(WaitQueue& aQueue, const SchedulingKey& aKey);
    ~Waiter();
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;

    bool IsFirst() const;

    // Returns after the duration, when the queue is woken and this waiter is
    // the first, or when `aCancel` is cancelled.
    Task<void> Wait(std::chrono::nanoseconds aDuration,
                    CancelSource& aCancel) const;

  private:
    friend class WaitQueue;

    WaitQueue& m_queue;
    std::pair<SchedulingKey, std::uint64_t> m_key;
    mutable WakeableTimer m_timer;
  };

  // Wakes the first waiter, because a server may have capacity again.
  void Wake();

  // Returns whether some waiter precedes a request with this key.
  bool HasWaiterAheadOf(const SchedulingKey& aKey) const;

  std::size_t Size() const { return m_waiters.size(); }

  // Returns the number of waiters of this priority or a higher one.
  std::size_t SizeUpToPriority(unsigned aPriority) const;

private:
  Executor m_executor;
  std::map<std::pair<SchedulingKey, std::uint64_t>, const Waiter*> m_waiters;
  std::uint64_t m_nextSequence = 0;
};

} // namespace rattanweir
