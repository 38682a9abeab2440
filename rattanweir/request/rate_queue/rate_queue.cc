#include "rattanweir/request/rate_queue/rate_queue.h"

#include <algorithm>

namespace rattanweir {

RateQueue::Waiter::Waiter(RateQueue& aQueue,
                          const ClientAccountId& aAccount,
                          Tokens aTokens)
  : m_queue(aQueue)
  , m_account(aAccount)
  , m_tokens(aTokens)
  , m_timer(aQueue.m_options.m_executor)
{
  if (aQueue.WaitingCount(aAccount) < aQueue.m_options.m_maxWaiting) {
    aQueue.m_waiters[aAccount].push_back(this);
    m_isQueued = true;
  }
}

RateQueue::Waiter::~Waiter()
{
  if (m_isQueued) {
    m_queue.Remove(*this);
  }
}

Tokens
RateQueue::Waiter::CumulativeTokens() const
{
  std::int64_t sum = 0;
  for (const Waiter* waiter : *m_queue.FindWaiters(m_account)) {
    sum += waiter->m_tokens.Value();
    if (waiter == this) {
      break;
    }
  }
  return Tokens(sum);
}

// Reserves the tokens if this waiter is the first of its queue.
ReserveResult
RateQueue::Waiter::TryReserve() const
{
  RateLedger& rates = m_queue.m_options.m_rates;
  if (m_queue.FindWaiters(m_account)->front() == this) {
    return rates.Reserve(m_account, m_tokens, ReserveAttempt::Retry);
  }
  return rates.PreviewReserve(
    m_account, m_tokens, CumulativeTokens() - m_tokens, ReserveAttempt::Retry);
}

Task<ReserveResult>
RateQueue::Waiter::Wait(SteadyTime aUntil, CancelSource& aCancel)
{
  for (;;) {
    const ReserveResult result = TryReserve();
    const auto* shortage = std::get_if<InsufficientTokens>(&result);
    if (shortage == nullptr || !shortage->m_retryAfter || aCancel.Reason()) {
      co_return result;
    }
    const SteadyTime now = m_queue.m_options.m_clock.SteadyNow();
    if (now >= aUntil || now + *shortage->m_retryAfter > aUntil) {
      co_return result;
    }
    // A waiter that is not the first is woken when it becomes the first.
    const bool isFirst = m_queue.FindWaiters(m_account)->front() == this;
    const std::chrono::nanoseconds wait =
      isFirst ? *shortage->m_retryAfter : aUntil - now;
    co_await m_timer.WaitFor(wait, aCancel);
  }
}

RateQueue::RateQueue(const RateQueueOptions& aOptions)
  : m_options(aOptions)
{
}

ReserveResult
RateQueue::Reserve(const ClientAccountId& aAccount, Tokens aTokens)
{
  const AccountWaiters* waiters = FindWaiters(aAccount);
  if (waiters == nullptr) {
    return m_options.m_rates.Reserve(aAccount, aTokens);
  }
  return m_options.m_rates.PreviewReserve(aAccount,
                                          aTokens,
                                          waiters->back()->CumulativeTokens(),
                                          ReserveAttempt::First);
}

void
RateQueue::Wake(const ClientAccountId& aAccount)
{
  if (const AccountWaiters* waiters = FindWaiters(aAccount)) {
    waiters->front()->m_timer.Wake();
  }
}

std::size_t
RateQueue::WaitingCount(const ClientAccountId& aAccount) const
{
  const AccountWaiters* waiters = FindWaiters(aAccount);
  return waiters == nullptr ? 0 : waiters->size();
}

const RateQueue::AccountWaiters*
RateQueue::FindWaiters(const ClientAccountId& aAccount) const
{
  const auto found = m_waiters.find(aAccount);
  return found == m_waiters.end() ? nullptr : &found->second;
}

void
RateQueue::Remove(Waiter& aWaiter)
{
  AccountWaiters& waiters = m_waiters.at(aWaiter.m_account);
  waiters.remove(&aWaiter);
  if (waiters.empty()) {
    m_waiters.erase(aWaiter.m_account);
    return;
  }
  waiters.front()->m_timer.Wake();
}

} // namespace rattanweir
