#include "rattanweir/process/shared_budget/shared_budget.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string>

namespace rattanweir {
namespace {

// Requests per second at which a server with a lower limit is still asked: its
// responses are the only way to learn that the limit has ended.
constexpr double kMinRate = 0.05;

} // namespace

FleetRetryBudget::FleetRetryBudget(const FleetRetryBudgetOptions& aOptions)
  : m_options(aOptions)
{
}

void
FleetRetryBudget::SetFleetSize(std::optional<std::size_t> aInstances)
{
  m_instances = aInstances;
}

void
FleetRetryBudget::AddRequest(const PoolId& aPool)
{
  Usage& usage = m_usage[aPool];
  usage.m_requests.push_back(m_options.m_clock.SteadyNow());
  Expire(usage.m_requests);
}

bool
FleetRetryBudget::TryConsumeRetry(const PoolId& aPool)
{
  if (Available(aPool) < 1) {
    return false;
  }
  m_usage[aPool].m_retries.push_back(m_options.m_clock.SteadyNow());
  return true;
}

double
FleetRetryBudget::Available(const PoolId& aPool)
{
  Usage& usage = m_usage[aPool];
  Expire(usage.m_requests);
  Expire(usage.m_retries);
  const RetryLimits& limits = m_options.m_limits;
  const double earned =
    limits.m_ratio * static_cast<double>(usage.m_requests.size());
  double extra = 0;
  if (m_instances) {
    extra = limits.m_extra /
            static_cast<double>(std::max<std::size_t>(*m_instances, 1));
  }
  return m_options.m_usedFraction * (earned + extra) -
         static_cast<double>(usage.m_retries.size());
}

void
FleetRetryBudget::Expire(std::deque<SteadyTime>& aTimes) const
{
  const SteadyTime oldest =
    m_options.m_clock.SteadyNow() - m_options.m_limits.m_window;
  while (!aTimes.empty() && aTimes.front() < oldest) {
    aTimes.pop_front();
  }
}

ServerRateLimiter::ServerRateLimiter(const ServerRateLimiterOptions& aOptions)
  : m_options(aOptions)
{
}

ServerRatePermit
ServerRateLimiter::PermitFor(const ServerRateQuery& aQuery) const
{
  if (!aQuery.m_areInstancesKnown) {
    return {};
  }
  const Share share = ShareOf(aQuery);
  if (!share.m_isSelected) {
    return { .m_wait = share.m_interval };
  }
  const auto counted = m_countedFrom.find(aQuery.m_server);
  if (counted == m_countedFrom.end()) {
    return { .m_isGranted = true, .m_interval = share.m_interval };
  }
  const std::chrono::nanoseconds wait =
    counted->second + share.m_interval - m_options.m_clock.SteadyNow();
  return { .m_isGranted = wait <= std::chrono::nanoseconds::zero(),
           .m_wait = std::max(wait, std::chrono::nanoseconds::zero()),
           .m_interval = share.m_interval };
}

bool
ServerRateLimiter::RecordRequest(const ServerRateQuery& aQuery)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  const auto [counted, isFirst] =
    m_countedFrom.try_emplace(aQuery.m_server, now);
  if (!isFirst) {
    counted->second = std::max(counted->second + ShareOf(aQuery).m_interval,
                               now - aQuery.m_maxBurst);
  }
  return isFirst;
}

void
ServerRateLimiter::KeepOnly(const std::set<BackendServerId>& aListed)
{
  std::erase_if(m_countedFrom, [&](const auto& aEntry) {
    return !aListed.contains(aEntry.first);
  });
}

ServerRateLimiter::Share
ServerRateLimiter::ShareOf(const ServerRateQuery& aQuery)
{
  const double rate = std::max(aQuery.m_rate.Value(), kMinRate);
  // Rendezvous hashing: the instances with the highest weights for this server
  // send to it.
  const auto weight = [&](const InstanceId& aInstance) {
    const std::string text = aInstance.Value() + '\0' + aQuery.m_server.Value();
    return XXH64(text.data(), text.size(), 0);
  };
  const double maxSenders = std::ceil(rate);
  const std::uint64_t selfWeight = weight(aQuery.m_self);
  std::size_t heavierInstances = 0;
  std::size_t instances = 1;
  for (const InstanceId& instance : aQuery.m_instances) {
    if (instance == aQuery.m_self) {
      continue;
    }
    ++instances;
    heavierInstances += weight(instance) > selfWeight ? 1 : 0;
  }
  const double senders = std::min(static_cast<double>(instances), maxSenders);
  return { .m_isSelected = static_cast<double>(heavierInstances) < senders,
           .m_interval = std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::duration<double>(senders / rate)) };
}

} // namespace rattanweir
