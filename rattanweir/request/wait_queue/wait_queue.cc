#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/wait_queue/wait_queue.h"

#include <algorithm>

namespace rattanweir {

WaitQueue::WaitQueue(const Executor& aExecutor)
  : m_executor(aExecutor)
{
}

WaitQueue::Waiter::Waiter(WaitQueue& aQueue, const SchedulingKey& aKey)
  : m_queue(aQueue)
  , m_key(aKey, aQueue.m_nextSequence++)
  , m_timer(aQueue.m_executor)
{
  m_queue.m_waiters.emplace(m_key, this);
}

WaitQueue::Waiter::~Waiter()
{
  const bool wasFirst = IsFirst();
  m_queue.m_waiters.erase(m_key);
  if (wasFirst) {
    m_queue.Wake();
  }
}

bool
WaitQueue::Waiter::IsFirst() const
{
  return m_queue.m_waiters.begin()->second == this;
}

Task<void>
WaitQueue::Waiter::Wait(std::chrono::nanoseconds aDuration,
                        CancelSource& aCancel) const
{
  co_await m_timer.WaitFor(aDuration, aCancel);
}

void
WaitQueue::Wake()
{
  if (!m_waiters.empty()) {
    m_waiters.begin()->second->m_timer.Wake();
  }
}

std::size_t
WaitQueue::SizeUpToPriority(unsigned aPriority) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(m_waiters, [&](const auto& aWaiter) {
      return aWaiter.first.first.m_priority <= aPriority;
    }));
}

bool
WaitQueue::HasWaiterAheadOf(const SchedulingKey& aKey) const
{
  return !m_waiters.empty() && m_waiters.begin()->first.first < aKey;
}

} // namespace rattanweir
