#include "rattanweir/process/account_rate/account_rates.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

namespace rattanweir {
namespace {

using Seconds = std::chrono::duration<double>;

// Growth is relative to at least this demand in tokens per second, so that
// single requests of a mostly idle account do not count as growth.
constexpr double kMinDemand = 1'000;
constexpr double kMaxGrowth = 10;

const AccountUsage&
UsageOf(const PeerUsage& aPeer, const ClientAccountId& aAccount)
{
  static const AccountUsage kNone;
  const auto found = aPeer.m_usages.find(aAccount);
  return found == aPeer.m_usages.end() ? kNone : found->second;
}

double
Growth(double aNow, double aBefore)
{
  return std::clamp(aNow / std::max(aBefore, kMinDemand), 1.0, kMaxGrowth);
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
      bucket = std::move(known->second);
      Advance(bucket, now);
    } else {
      bucket.m_level = m_options.m_initialBurstFraction * account.m_burst;
      bucket.m_filledAt = now;
      bucket.m_peers.resize(m_peers.size());
    }
    bucket.m_rate = account.m_ratePerSecond;
    bucket.m_burst = account.m_burst;
    bucket.m_level = std::min(bucket.m_level, bucket.m_burst);
    buckets.emplace(account.m_id, std::move(bucket));
  }
  m_buckets = std::move(buckets);
}

void
AccountRates::SetPeers(const std::vector<PeerUsage>& aPeers)
{
  const bool isSamePeers = std::ranges::equal(
    aPeers, m_peers, std::equal_to<>(), &PeerUsage::m_id, &Peer::m_id);
  const SteadyTime now = m_options.m_clock.SteadyNow();
  for (auto& [account, bucket] : m_buckets) {
    Advance(bucket, now);
  }
  if (!isSamePeers) {
    ReplacePeers(aPeers);
  }
  TakeReports(aPeers);
  for (auto& [account, bucket] : m_buckets) {
    const double demand = DecayedValue(bucket.m_demand, now);
    for (std::size_t peer = 0; peer < m_peers.size(); ++peer) {
      if (m_peers[peer].m_report != ReportKind::Known ||
          !bucket.m_peers[peer].m_hasReport) {
        ApplyReport(UsageOf(aPeers[peer], account), demand, peer, bucket);
      }
      PeerState& state = bucket.m_peers[peer];
      state.m_demand =
        state.m_reportedDemand * Growth(demand, state.m_localDemandAtReport);
    }
    bucket.m_level = std::min(bucket.m_level, bucket.m_burst);
  }
}

void
AccountRates::ReplacePeers(const std::vector<PeerUsage>& aPeers)
{
  constexpr std::size_t kUnknown = std::numeric_limits<std::size_t>::max();
  std::map<InstanceId, std::size_t> positions;
  for (std::size_t peer = 0; peer < m_peers.size(); ++peer) {
    positions.emplace(m_peers[peer].m_id, peer);
  }
  std::vector<Peer> peers;
  std::vector<std::size_t> previous;
  for (const PeerUsage& report : aPeers) {
    const auto known = positions.find(report.m_id);
    const bool isKnown = known != positions.end();
    peers.push_back(isKnown ? m_peers[known->second]
                            : Peer{ .m_id = report.m_id });
    previous.push_back(isKnown ? known->second : kUnknown);
  }
  for (auto& [account, bucket] : m_buckets) {
    std::vector<PeerState> states(peers.size());
    for (std::size_t peer = 0; peer < peers.size(); ++peer) {
      if (previous[peer] != kUnknown) {
        states[peer] = bucket.m_peers[previous[peer]];
      }
    }
    bucket.m_peers = std::move(states);
  }
  m_peers = std::move(peers);
}

void
AccountRates::TakeReports(const std::vector<PeerUsage>& aPeers)
{
  for (std::size_t index = 0; index < m_peers.size(); ++index) {
    Peer& peer = m_peers[index];
    const PeerUsage& report = aPeers[index];
    if (peer.m_sequence && peer.m_incarnation == report.m_incarnation) {
      peer.m_report = peer.m_sequence == report.m_sequence ? ReportKind::Known
                                                           : ReportKind::Next;
    } else {
      peer.m_report = ReportKind::First;
    }
    peer.m_incarnation = report.m_incarnation;
    peer.m_sequence = report.m_sequence;
  }
}

void
AccountRates::ApplyReport(const AccountUsage& aUsage,
                          double aLocalDemand,
                          std::size_t aPeer,
                          Bucket& aBucket) const
{
  const auto admitted = static_cast<double>(aUsage.m_admitted);
  PeerState& state = aBucket.m_peers[aPeer];
  if (m_peers[aPeer].m_report == ReportKind::Next && state.m_hasReport) {
    aBucket.m_level += state.m_accountedTokens - admitted;
  }
  state = { .m_hasReport = true,
            .m_accountedTokens = admitted,
            .m_localDemandAtReport = aLocalDemand,
            .m_reportedDemand = aUsage.m_demand };
}

void
AccountRates::Advance(Bucket& aBucket, SteadyTime aNow) const
{
  const double passed = Seconds(aNow - aBucket.m_filledAt).count();
  aBucket.m_filledAt = aNow;
  double demand = DecayedValue(aBucket.m_demand, aNow);
  for (const PeerState& state : aBucket.m_peers) {
    demand += state.m_demand;
  }
  const bool isScarce =
    aBucket.m_level <= MinLevel() && demand > aBucket.m_rate;
  const double admitted = isScarce ? aBucket.m_rate / demand : 1;
  aBucket.m_level += passed * aBucket.m_rate;
  for (PeerState& state : aBucket.m_peers) {
    const double tokens = passed * admitted * state.m_demand;
    state.m_accountedTokens += tokens;
    aBucket.m_level -= tokens;
  }
  aBucket.m_level = std::min(aBucket.m_level, aBucket.m_burst);
}

double
AccountRates::MinLevel() const
{
  return -static_cast<double>(m_options.m_tolerance.Value());
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
  AddSample(bucket.m_demand, cost, now);
  Advance(bucket, now);
  if (bucket.m_level > MinLevel()) {
    bucket.m_level -= cost;
    bucket.m_admitted += static_cast<std::uint64_t>(aCost.Value());
    return WithinRate{};
  }
  const Seconds wait((MinLevel() - bucket.m_level + cost) / bucket.m_rate);
  return OverRate{ std::chrono::duration_cast<std::chrono::nanoseconds>(wait) };
}

AccountUsages
AccountRates::LocalUsages() const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  AccountUsages usages;
  for (const auto& [account, bucket] : m_buckets) {
    if (bucket.m_admitted > 0) {
      usages.emplace(
        account,
        AccountUsage{ .m_demand = DecayedValue(bucket.m_demand, now),
                      .m_admitted = bucket.m_admitted });
    }
  }
  return usages;
}

double
AccountRates::BucketLevel(const ClientAccountId& aAccount) const
{
  const auto found = m_buckets.find(aAccount);
  return found == m_buckets.end() ? 0 : found->second.m_level;
}

double
AccountRates::DecayedValue(const Average& aAverage, SteadyTime aNow) const
{
  return aAverage.m_value * std::exp(-Seconds(aNow - aAverage.m_at) /
                                     Seconds(m_options.m_demandWindow));
}

void
AccountRates::AddSample(Average& aAverage,
                        double aTokens,
                        SteadyTime aNow) const
{
  aAverage.m_value = DecayedValue(aAverage, aNow) +
                     aTokens / Seconds(m_options.m_demandWindow).count();
  aAverage.m_at = aNow;
}

} // namespace rattanweir
