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
  return m_queue.First().second == this;
}

void
WaitQueue::Waiter::Move(const SchedulingKey& aKey)
{
  if (aKey == m_key.first) {
    return;
  }
  m_queue.m_waiters.erase(m_key);
  m_key.first = aKey;
  m_queue.m_waiters.emplace(m_key, this);
}

void
WaitQueue::Waiter::RecordDispatch()
{
  const Entry* lower = m_queue.FirstOfLowerPriority();
  const bool isAheadOfLower =
    lower != nullptr && m_key.first.m_priority < lower->first.first.m_priority;
  m_queue.m_floor.RecordDispatch(isAheadOfLower);
}

std::size_t
WaitQueue::Waiter::CountAhead() const
{
  return static_cast<std::size_t>(
    std::distance(m_queue.m_waiters.begin(), m_queue.m_waiters.find(m_key)));
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
    First().second->m_timer.Wake();
  }
}

const WaitQueue::Entry&
WaitQueue::First() const
{
  if (m_floor.IsLowerDue()) {
    if (const Entry* lower = FirstOfLowerPriority()) {
      return *lower;
    }
  }
  return *m_waiters.begin();
}

const WaitQueue::Entry*
WaitQueue::FirstOfLowerPriority() const
{
  if (m_waiters.empty()) {
    return nullptr;
  }
  const SchedulingKey& first = m_waiters.begin()->first.first;
  if (!first.m_latestStart) {
    return nullptr;
  }
  const auto lower = std::ranges::find_if(m_waiters, [&](const Entry& aEntry) {
    return aEntry.first.first.m_priority > first.m_priority;
  });
  return lower == m_waiters.end() ? nullptr : &*lower;
}

std::size_t
WaitQueue::CountAheadOf(const SchedulingKey& aKey) const
{
  return static_cast<std::size_t>(std::distance(
    m_waiters.begin(), m_waiters.lower_bound(std::pair(aKey, 0ULL))));
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
