#include "rattanweir/request/rate_queue/rate_queue.h"

#include <algorithm>

namespace rattanweir {

RateQueue::Place::Place(RateQueue& aQueue,
                        const ClientAccountId& aAccount,
                        Tokens aTokens)
  : m_queue(aQueue)
  , m_account(aAccount)
  , m_tokens(aTokens)
  , m_wakeUp(aQueue.m_options.m_executor)
{
  if (aQueue.WaitingCount(aAccount) < aQueue.m_options.m_mostWaiting) {
    aQueue.m_lines[aAccount].push_back(this);
    m_isTaken = true;
  }
}

RateQueue::Place::~Place()
{
  if (m_isTaken) {
    m_queue.Leave(*this);
  }
}

Tokens
RateQueue::Place::TokensUpToHere() const
{
  std::int64_t sum = 0;
  for (const Place* place : *m_queue.FindLine(m_account)) {
    sum += place->m_tokens.Value();
    if (place == this) {
      break;
    }
  }
  return Tokens(sum);
}

// Takes the tokens if this is the first of the line.
ReserveResult
RateQueue::Place::Try() const
{
  RateLedger& rates = m_queue.m_options.m_rates;
  if (m_queue.FindLine(m_account)->front() == this) {
    return rates.Reserve(m_account, m_tokens, ReserveTry::Again);
  }
  return rates.PreviewBehind(
    m_account, m_tokens, TokensUpToHere() - m_tokens, ReserveTry::Again);
}

Task<ReserveResult>
RateQueue::Place::Wait(SteadyTime aUntil, CancelSource& aCancel)
{
  for (;;) {
    const ReserveResult result = Try();
    const auto* isShort = std::get_if<RateShort>(&result);
    if (isShort == nullptr || !isShort->m_comeBackAfter || aCancel.Reason()) {
      co_return result;
    }
    const SteadyTime now = m_queue.m_options.m_clock.SteadyNow();
    if (now >= aUntil || now + *isShort->m_comeBackAfter > aUntil) {
      co_return result;
    }
    // Who is not the first is woken when the one before it leaves.
    const bool isFirst = m_queue.FindLine(m_account)->front() == this;
    const std::chrono::nanoseconds wait =
      isFirst ? *isShort->m_comeBackAfter : aUntil - now;
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
  const Line* line = FindLine(aAccount);
  if (line == nullptr) {
    return m_options.m_rates.Reserve(aAccount, aTokens);
  }
  return m_options.m_rates.PreviewBehind(
    aAccount, aTokens, line->back()->TokensUpToHere(), ReserveTry::First);
}

void
RateQueue::Wake(const ClientAccountId& aAccount)
{
  if (const Line* line = FindLine(aAccount)) {
    line->front()->m_wakeUp.Wake();
  }
}

std::size_t
RateQueue::WaitingCount(const ClientAccountId& aAccount) const
{
  const Line* line = FindLine(aAccount);
  return line == nullptr ? 0 : line->size();
}

const RateQueue::Line*
RateQueue::FindLine(const ClientAccountId& aAccount) const
{
  const auto found = m_lines.find(aAccount);
  return found == m_lines.end() ? nullptr : &found->second;
}

void
RateQueue::Leave(Place& aPlace)
{
  Line& line = m_lines.at(aPlace.m_account);
  line.remove(&aPlace);
  if (line.empty()) {
    m_lines.erase(aPlace.m_account);
    return;
  }
  line.front()->m_wakeUp.Wake();
}

} // namespace rattanweir
