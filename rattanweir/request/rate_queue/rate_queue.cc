#include "rattanweir/request/rate_queue/rate_queue.h"

#include <algorithm>

namespace rattanweir {

RateQueue::Waiter::Waiter(RateQueue& aQueue,
                          const ClientAccountId& aAccount,
                          Tokens aTokens)
  : m_queue(aQueue)
  , m_account(aAccount)
  , m_tokens(aTokens)
  , m_wakeUp(aQueue.m_options.m_executor)
{
  if (aQueue.WaitingCount(aAccount) < aQueue.m_options.m_maxWaiting) {
    aQueue.m_accountQueues[aAccount].push_back(this);
    m_isTaken = true;
  }
}

RateQueue::Waiter::~Waiter()
{
  if (m_isTaken) {
    m_queue.Leave(*this);
  }
}

Tokens
RateQueue::Waiter::CumulativeTokens() const
{
  std::int64_t sum = 0;
  for (const Waiter* place : *m_queue.FindAccountQueue(m_account)) {
    sum += place->m_tokens.Value();
    if (place == this) {
      break;
    }
  }
  return Tokens(sum);
}

// Takes the tokens if this is the first of the line.
ReserveResult
RateQueue::Waiter::Try() const
{
  RateLedger& rates = m_queue.m_options.m_rates;
  if (m_queue.FindAccountQueue(m_account)->front() == this) {
    return rates.Reserve(m_account, m_tokens, ReserveTry::Again);
  }
  return rates.PreviewBehind(
    m_account, m_tokens, CumulativeTokens() - m_tokens, ReserveTry::Again);
}

Task<ReserveResult>
RateQueue::Waiter::Wait(SteadyTime aUntil, CancelSource& aCancel)
{
  for (;;) {
    const ReserveResult result = Try();
    const auto* isShort = std::get_if<RateShort>(&result);
    if (isShort == nullptr || !isShort->m_retryAfter || aCancel.Reason()) {
      co_return result;
    }
    const SteadyTime now = m_queue.m_options.m_clock.SteadyNow();
    if (now >= aUntil || now + *isShort->m_retryAfter > aUntil) {
      co_return result;
    }
    // Who is not the first is woken when the one before it leaves.
    const bool isFirst = m_queue.FindAccountQueue(m_account)->front() == this;
    const std::chrono::nanoseconds wait =
      isFirst ? *isShort->m_retryAfter : aUntil - now;
    co_await m_wakeUp.WaitFor(wait, aCancel);
  }
}

RateQueue::RateQueue(const RateQueueOptions& aOptions)
  : m_options(aOptions)
{
}

ReserveResult
RateQueue::Reserve(const ClientAccountId& aAccount, Tokens aTokens)
{
  const AccountWaiters* accountQueue = FindAccountQueue(aAccount);
  if (accountQueue == nullptr) {
    return m_options.m_rates.Reserve(aAccount, aTokens);
  }
  return m_options.m_rates.PreviewBehind(
    aAccount,
    aTokens,
    accountQueue->back()->CumulativeTokens(),
    ReserveTry::First);
}

void
RateQueue::Wake(const ClientAccountId& aAccount)
{
  if (const AccountWaiters* accountQueue = FindAccountQueue(aAccount)) {
    accountQueue->front()->m_wakeUp.Wake();
  }
}

std::size_t
RateQueue::WaitingCount(const ClientAccountId& aAccount) const
{
  const AccountWaiters* accountQueue = FindAccountQueue(aAccount);
  return accountQueue == nullptr ? 0 : accountQueue->size();
}

const RateQueue::AccountWaiters*
RateQueue::FindAccountQueue(const ClientAccountId& aAccount) const
{
  const auto found = m_accountQueues.find(aAccount);
  return found == m_accountQueues.end() ? nullptr : &found->second;
}

void
RateQueue::Leave(Waiter& aPlace)
{
  AccountWaiters& accountQueue = m_accountQueues.at(aPlace.m_account);
  accountQueue.remove(&aPlace);
  if (accountQueue.empty()) {
    m_accountQueues.erase(aPlace.m_account);
    return;
  }
  accountQueue.front()->m_wakeUp.Wake();
}

} // namespace rattanweir
