#include "rattanweir/process/shared_budget/shared_budget.h"

#include <xxhash.h>

#include <algorithm>

namespace rattanweir {

RetryAllowance::RetryAllowance(const RetryAllowanceOptions& aOptions)
  : m_options(aOptions)
{
}

void
RetryAllowance::SetFleetSize(std::size_t aInstances)
{
  m_instances = std::max<std::size_t>(aInstances, 1);
}

void
RetryAllowance::AddRequest(const PoolId& aPool)
{
  Usage& usage = m_usage[aPool];
  usage.m_requests.push_back(m_options.m_clock.SteadyNow());
  Expire(usage.m_requests);
}

bool
RetryAllowance::TakeRetry(const PoolId& aPool)
{
  if (Available(aPool) < 1) {
    return false;
  }
  m_usage[aPool].m_retries.push_back(m_options.m_clock.SteadyNow());
  return true;
}

double
RetryAllowance::Available(const PoolId& aPool)
{
  Usage& usage = m_usage[aPool];
  Expire(usage.m_requests);
  Expire(usage.m_retries);
  const RetryLimits& limits = m_options.m_limits;
  const double earned =
    limits.m_ratio * static_cast<double>(usage.m_requests.size());
  const double extra = limits.m_extra / static_cast<double>(m_instances);
  return m_options.m_used * (earned + extra) -
         static_cast<double>(usage.m_retries.size());
}

void
RetryAllowance::Expire(std::deque<SteadyTime>& aTimes) const
{
  const SteadyTime oldest =
    m_options.m_clock.SteadyNow() - m_options.m_limits.m_window;
  while (!aTimes.empty() && aTimes.front() < oldest) {
    aTimes.pop_front();
  }
}

ColdAllowance::ColdAllowance(const ColdAllowanceOptions& aOptions)
  : m_options(aOptions)
{
}

bool
ColdAllowance::Permits(const ColdQuery& aQuery) const
{
  const double rate = RateOf(aQuery);
  if (rate <= 0) {
    return false;
  }
  const auto sent = m_sentAt.find(aQuery.m_server);
  const std::chrono::duration<double> gap(1 / rate);
  return sent == m_sentAt.end() ||
         m_options.m_clock.SteadyNow() - sent->second >= gap;
}

void
ColdAllowance::Take(const ColdQuery& aQuery)
{
  m_sentAt[aQuery.m_server] = m_options.m_clock.SteadyNow();
}

void
ColdAllowance::KeepOnly(const std::set<BackendServerId>& aListed)
{
  std::erase_if(m_sentAt, [&](const auto& aEntry) {
    return !aListed.contains(aEntry.first);
  });
}

double
ColdAllowance::RateOf(const ColdQuery& aQuery) const
{
  const auto weight = [&](const InstanceId& aInstance) {
    const std::string text = aInstance.Value() + '\0' + aQuery.m_server.Value();
    return XXH64(text.data(), text.size(), 0);
  };
  const double usable = m_options.m_used * aQuery.m_requestsPerSecond;
  const auto most = static_cast<std::size_t>(
    std::max(1.0, usable / m_options.m_minPerInstance));
  const std::uint64_t own = weight(aQuery.m_self);
  std::size_t before = 0;
  std::size_t senders = 1;
  for (const InstanceId& instance : aQuery.m_instances) {
    if (instance == aQuery.m_self) {
      continue;
    }
    ++senders;
    before += weight(instance) > own ? 1 : 0;
  }
  senders = std::min(senders, most);
  return before < senders ? usable / static_cast<double>(senders) : 0;
}

} // namespace rattanweir
