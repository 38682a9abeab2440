#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/pool_queues.h"

namespace rattanweir {
namespace {

// Used before the first observation: the length of a short database
// transaction.
constexpr std::chrono::milliseconds kInitialSlotTime{ 50 };
// The newest observation has a weight of 1/16 in the moving average.
constexpr int kSlotTimeSmoothing = 16;

} // namespace

PoolQueues::PoolQueues(const Executor& aExecutor)
  : m_executor(aExecutor)
{
}

WaitQueue&
PoolQueues::QueueOf(const PoolId& aPool)
{
  return m_pools.try_emplace(aPool, m_executor).first->second.m_queue;
}

void
PoolQueues::WakeAll()
{
  for (auto& [id, pool] : m_pools) {
    pool.m_queue.Wake();
  }
}

void
PoolQueues::ObserveSlotTime(const PoolId& aPool, std::chrono::nanoseconds aTime)
{
  Pool& pool = m_pools.try_emplace(aPool, m_executor).first->second;
  if (pool.m_slotTime == std::chrono::nanoseconds::zero()) {
    pool.m_slotTime = kInitialSlotTime;
  }
  pool.m_slotTime += (aTime - pool.m_slotTime) / kSlotTimeSmoothing;
}

std::chrono::nanoseconds
PoolQueues::SlotTimeOf(const PoolId& aPool) const
{
  const auto found = m_pools.find(aPool);
  return found == m_pools.end() ||
             found->second.m_slotTime == std::chrono::nanoseconds::zero()
           ? kInitialSlotTime
           : found->second.m_slotTime;
}

} // namespace rattanweir
