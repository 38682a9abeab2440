// For each pool: the requests that wait for one of its servers, and how long a
// request holds a slot there.

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

  WaitQueue& QueueOf(const PoolId& aPool);

  // Wakes the first request of each line.
  void WakeAll();

  // A request held a slot for this long.
  void ObserveSlotTime(const PoolId& aPool, std::chrono::nanoseconds aTime);

  // On average over the recent ones.
  std::chrono::nanoseconds SlotTimeOf(const PoolId& aPool) const;

private:
  struct Pool
  {
    explicit Pool(const Executor& aExecutor)
      : m_line(aExecutor)
    {
    }

    WaitQueue m_line;
    std::chrono::nanoseconds m_slotTime{};
  };

  Executor m_executor;
  std::map<PoolId, Pool> m_pools;
};

} // namespace rattanweir
