// A priority queue of requests that wait for a backend server with capacity.
// Used by the users' platform (`request/gateway`).
//
//   WaitQueue queue(executor);
//   WaitQueue::Waiter waiter(queue, { .m_priority = 1, .m_arrivedAt = now });
//   while (!waiter.IsFirst() || !TryToSend()) {
//     co_await waiter.Wait(20ms, cancel);
//   }
//
// Requests are ordered by their keys: by priority, and last in, first out
// within a priority unless they have a latest start. In a long queue the oldest
// requests can hardly meet their latency objective, and first in, first out
// would make all requests miss it. Among requests with a latest start, a
// small share of the dispatches is left to lower priorities (PriorityFloor).
// Only the first waiter is woken; when that waiter is removed, the next one is
// woken. Not thread-safe.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/cancel/cancel.h"
#include "rattanweir/base/clock/clock.h"
#include "rattanweir/request/wait/wait.h"
#include "rattanweir/request/wait_queue/priority_floor.h"
#include "rattanweir/request/wait_queue/scheduling_key.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>

namespace rattanweir {

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

    // Changes the waiter's position.
    void Move(const SchedulingKey& aKey);

    // Records that the request leaves the queue because it is sent.
    void RecordDispatch();

    // Returns the number of waiters with a smaller key.
    std::size_t CountAhead() const;

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

  // Returns the number of waiters that precede a request with this key.
  std::size_t CountAheadOf(const SchedulingKey& aKey) const;

  // Returns whether some waiter precedes a request with this key.
  bool HasWaiterAheadOf(const SchedulingKey& aKey) const;

  std::size_t Size() const { return m_waiters.size(); }

  // Returns the number of waiters of this priority or a higher one.
  std::size_t SizeUpToPriority(unsigned aPriority) const;

private:
  using Entry =
    std::pair<const std::pair<SchedulingKey, std::uint64_t>, const Waiter*>;

  // Returns the entry that is sent next. The queue must not be empty.
  const Entry& First() const;
  // Returns the first entry of a lower priority than the first one, or null.
  const Entry* FirstOfLowerPriority() const;

  Executor m_executor;
  std::map<std::pair<SchedulingKey, std::uint64_t>, const Waiter*> m_waiters;
  std::uint64_t m_nextSequence = 0;
  PriorityFloor m_floor;
};

} // namespace rattanweir
