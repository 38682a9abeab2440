// Holds, for each pool, the queue of requests that wait for one of its servers
// and the average time for which a request occupies a server slot. Used on the
// users' platform (settings with `fleet`). Not thread-safe.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/request/wait_queue/wait_queue.h"

#include <chrono>
#include <map>

namespace rattanweir {

class PoolQueues
{
public:
  explicit PoolQueues(const Executor& aExecutor);

  // Returns the pool's queue; creates it on first use. The reference stays
  // valid as long as this object.
  WaitQueue& QueueOf(const PoolId& aPool);

  // Wakes the first waiter of each queue.
  void WakeAll();

  // Records that a request occupied a slot for `aTime`.
  void ObserveSlotTime(const PoolId& aPool, std::chrono::nanoseconds aTime);

  // Returns the moving average of the observed slot times; 50 ms before the
  // first observation.
  std::chrono::nanoseconds SlotTimeOf(const PoolId& aPool) const;

private:
  struct Pool
  {
    explicit Pool(const Executor& aExecutor)
      : m_queue(aExecutor)
    {
    }

    WaitQueue m_queue;
    std::chrono::nanoseconds m_slotTime{};
  };

  Executor m_executor;
  std::map<PoolId, Pool> m_pools;
};

} // namespace rattanweir
