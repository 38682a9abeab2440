#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/pool_queues.h"

namespace rattanweir {
namespace {

// Before anything was observed: a short database transaction.
constexpr std::chrono::milliseconds kFirstSlotTime{ 50 };
// The newest request counts for one part in this many.
constexpr int kSmoothing = 16;

} // namespace

PoolQueues::PoolQueues(const Executor& aExecutor)
  : m_executor(aExecutor)
{
}

WaitQueue&
PoolQueues::QueueOf(const PoolId& aPool)
{
  return m_pools.try_emplace(aPool, m_executor).first->second.m_line;
}

void
PoolQueues::WakeAll()
{
  for (auto& [id, pool] : m_pools) {
    pool.m_line.Wake();
  }
}

void
PoolQueues::ObserveSlotTime(const PoolId& aPool, std::chrono::nanoseconds aTime)
{
  Pool& pool = m_pools.try_emplace(aPool, m_executor).first->second;
  if (pool.m_slotTime == std::chrono::nanoseconds::zero()) {
    pool.m_slotTime = kFirstSlotTime;
  }
  pool.m_slotTime += (aTime - pool.m_slotTime) / kSmoothing;
}

std::chrono::nanoseconds
PoolQueues::SlotTimeOf(const PoolId& aPool) const
{
  const auto found = m_pools.find(aPool);
  return found == m_pools.end() ||
             found->second.m_slotTime == std::chrono::nanoseconds::zero()
           ? kFirstSlotTime
           : found->second.m_slotTime;
}

} // namespace rattanweir
