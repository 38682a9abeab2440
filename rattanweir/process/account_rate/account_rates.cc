#include "rattanweir/process/account_rate/account_rates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rattanweir {
namespace {

using Seconds = std::chrono::duration<double>;

double
ValueOf(const std::map<ClientAccountId, double>& aValues,
        const ClientAccountId& aAccount)
{
  const auto found = aValues.find(aAccount);
  return found == aValues.end() ? 0 : found->second;
}

} // namespace

AccountRates::AccountRates(const AccountRatesOptions& aOptions)
  : m_options(aOptions)
{
}

void
AccountRates::Configure(const FleetConfig& aConfig)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::map<ClientAccountId, Bucket> buckets;
  for (const FleetAccount& account : aConfig.Accounts()) {
    if (account.m_ratePerSecond <= 0) {
      continue;
    }
    const auto known = m_buckets.find(account.m_id);
    Bucket bucket;
    if (known != m_buckets.end()) {
      bucket = known->second;
    } else {
      bucket.m_level = m_options.m_initialBurst * account.m_burst /
                       static_cast<double>(m_fleet.m_instances);
      bucket.m_filledAt = now;
      bucket.m_demandAt = now;
    }
    bucket.m_rate = account.m_ratePerSecond;
    bucket.m_burst = account.m_burst;
    buckets.emplace(account.m_id, bucket);
  }
  m_buckets = std::move(buckets);
}

void
AccountRates::SetFleet(FleetDemand aFleet)
{
  m_fleet = std::move(aFleet);
  m_fleet.m_instances = std::max<std::size_t>(m_fleet.m_instances, 1);
  if (m_fleet.m_demandOfSilent.empty()) {
    const SteadyTime now = m_options.m_clock.SteadyNow();
    for (auto& [account, bucket] : m_buckets) {
      bucket.m_demandInContact = DemandOf(bucket, now);
    }
  }
}

RateDecision
AccountRates::Admit(const ClientAccountId& aAccount, Tokens aCost)
{
  const auto found = m_buckets.find(aAccount);
  if (found == m_buckets.end()) {
    return WithinRate{};
  }
  Bucket& bucket = found->second;
  const SteadyTime now = m_options.m_clock.SteadyNow();
  const auto cost = static_cast<double>(aCost.Value());
  bucket.m_demand =
    DemandOf(bucket, now) + cost / Seconds(m_options.m_demandWindow).count();
  bucket.m_demandAt = now;
  const double share = ShareOf(aAccount, bucket, now);
  Fill(bucket, share, now);
  const double overdraft = static_cast<double>(m_options.m_tolerance.Value()) /
                           static_cast<double>(m_fleet.m_instances);
  if (bucket.m_level > -overdraft) {
    bucket.m_level -= cost;
    return WithinRate{};
  }
  const Seconds wait((1 - overdraft - bucket.m_level) /
                     (bucket.m_rate * share));
  return OverRate{ std::chrono::duration_cast<std::chrono::nanoseconds>(wait) };
}

void
AccountRates::Return(const ClientAccountId& aAccount, Tokens aCost)
{
  const auto found = m_buckets.find(aAccount);
  if (found != m_buckets.end()) {
    found->second.m_level += static_cast<double>(aCost.Value());
  }
}

std::map<ClientAccountId, double>
AccountRates::Demand() const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::map<ClientAccountId, double> demand;
  for (const auto& [account, bucket] : m_buckets) {
    const double tokens = DemandOf(bucket, now);
    if (tokens >= 1) {
      demand.emplace(account, tokens);
    }
  }
  return demand;
}

double
AccountRates::ShareOf(const ClientAccountId& aAccount) const
{
  const auto found = m_buckets.find(aAccount);
  return found == m_buckets.end()
           ? 1
           : ShareOf(aAccount, found->second, m_options.m_clock.SteadyNow());
}

double
AccountRates::DemandOf(const Bucket& aBucket, SteadyTime aNow) const
{
  const Seconds age = aNow - aBucket.m_demandAt;
  return aBucket.m_demand * std::exp(-age / Seconds(m_options.m_demandWindow));
}

double
AccountRates::ShareOf(const ClientAccountId& aAccount,
                      const Bucket& aBucket,
                      SteadyTime aNow) const
{
  const auto instances = static_cast<double>(m_fleet.m_instances);
  const double idle = m_options.m_idleShare * aBucket.m_rate / instances;
  const double own = DemandOf(aBucket, aNow) + idle;
  const double growth = std::max(1.0, own / (aBucket.m_demandInContact + idle));
  const double elsewhere = ValueOf(m_fleet.m_demandElsewhere, aAccount) +
                           growth * ValueOf(m_fleet.m_demandOfSilent, aAccount);
  return own / (own + elsewhere + idle * (instances - 1));
}

void
AccountRates::Fill(Bucket& aBucket, double aShare, SteadyTime aNow) const
{
  const Seconds passed = aNow - aBucket.m_filledAt;
  aBucket.m_level =
    std::min(aBucket.m_level + passed.count() * aBucket.m_rate * aShare,
             aBucket.m_burst * aShare);
  aBucket.m_filledAt = aNow;
}

} // namespace rattanweir
