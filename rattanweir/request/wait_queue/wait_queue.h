// Requests that wait until a backend server can take them, in the order in
// which they should be tried.
//
//   WaitQueue line(executor);
//   WaitQueue::Place place(line, { .m_priority = 1, .m_arrivedAt = now });
//   while (!place.IsFirst() || !TryToSend()) {
//     co_await place.Wait(20ms, cancel);
//   }
//
// The most urgent goes first, then the one that came last: once a line is long,
// its oldest can hardly be on time any more, and served in their order all
// would be late. Only the first is woken; when it leaves the line, the next one
// is. For one thread.

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

struct SchedulingKey
{
  // 0 goes first.
  unsigned m_priority = 0;
  SteadyTime m_arrivedAt;

  friend bool operator==(const SchedulingKey&, const SchedulingKey&) = default;
  // Less is served earlier.
  friend std::strong_ordering operator<=>(const SchedulingKey& aLeft,
                                          const SchedulingKey& aRight)
  {
    const auto urgency = aLeft.m_priority <=> aRight.m_priority;
    return urgency != 0 ? urgency : aRight.m_arrivedAt <=> aLeft.m_arrivedAt;
  }
};

class WaitQueue
{
public:
  explicit WaitQueue(const Executor& aExecutor);

  // A place in the line for as long as it lives.
  class Waiter
  {
  public:
    Waiter(WaitQueue& aQueue, const SchedulingKey& aRank);
    ~Waiter();
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;

    bool IsFirst() const;

    // Returns after the duration, when the line is woken and this place is the
    // first, or when `aCancel` is cancelled.
    Task<void> Wait(std::chrono::nanoseconds aDuration,
                    CancelSource& aCancel) const;

  private:
    friend class WaitQueue;

    WaitQueue& m_line;
    std::pair<SchedulingKey, std::uint64_t> m_key;
    mutable WakeableTimer m_wakeUp;
  };

  // Something may have become free.
  void Wake();

  // Whether a request of this rank has to go behind others.
  bool HasWaiterAheadOf(const SchedulingKey& aRank) const;

  std::size_t Size() const { return m_places.size(); }

private:
  Executor m_executor;
  std::map<std::pair<SchedulingKey, std::uint64_t>, const Waiter*> m_places;
  std::uint64_t m_nextNumber = 0;
};

} // namespace rattanweir
