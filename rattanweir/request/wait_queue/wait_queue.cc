#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/wait_queue/wait_queue.h"

namespace rattanweir {

WaitQueue::WaitQueue(const Executor& aExecutor)
  : m_executor(aExecutor)
{
}

WaitQueue::Waiter::Waiter(WaitQueue& aQueue, const SchedulingKey& aRank)
  : m_line(aQueue)
  , m_key(aRank, aQueue.m_nextNumber++)
  , m_wakeUp(aQueue.m_executor)
{
  m_line.m_places.emplace(m_key, this);
}

WaitQueue::Waiter::~Waiter()
{
  const bool wasFirst = IsFirst();
  m_line.m_places.erase(m_key);
  if (wasFirst) {
    m_line.Wake();
  }
}

bool
WaitQueue::Waiter::IsFirst() const
{
  return m_line.m_places.begin()->second == this;
}

Task<void>
WaitQueue::Waiter::Wait(std::chrono::nanoseconds aDuration,
                        CancelSource& aCancel) const
{
  co_await m_wakeUp.WaitFor(aDuration, aCancel);
}

void
WaitQueue::Wake()
{
  if (!m_places.empty()) {
    m_places.begin()->second->m_wakeUp.Wake();
  }
}

bool
WaitQueue::HasWaiterAheadOf(const SchedulingKey& aRank) const
{
  return !m_places.empty() && m_places.begin()->first.first < aRank;
}

} // namespace rattanweir
