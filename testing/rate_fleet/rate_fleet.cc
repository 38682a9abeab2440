#include "testing/rate_fleet/rate_fleet.h"

#include "testing/rate_fleet/rate_fleet_internal.h"

#include <algorithm>
#include <string>
#include <utility>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;
using internal::Scaled;
using internal::With;
using std::chrono::nanoseconds;

constexpr std::size_t kRegions = 3;
constexpr nanoseconds kTickInterval = 250ms;
constexpr nanoseconds kResumeDelay = 100ms;
constexpr nanoseconds kMaxLongDelay = 8s;

} // namespace

double
FleetAccount::WronglyRefusedFraction() const
{
  if (m_admitted >= m_admittedByCentralLimiter) {
    return 0;
  }
  return 1 - static_cast<double>(m_admitted) /
               static_cast<double>(m_admittedByCentralLimiter);
}

RateFleet::RateFleet(const FleetOptions& aOptions)
  : m_options(aOptions)
  , m_engine(aOptions.m_seed)
  , m_loadEngine(aOptions.m_seed)
{
  for (std::size_t index = 0; index < aOptions.m_instances; ++index) {
    AddNode(index % kRegions);
  }
  Configure(aOptions.m_section);
}

RateFleet::~RateFleet() = default;

void
RateFleet::AddNode(std::size_t aRegion)
{
  const std::size_t index = m_nodes.size();
  m_nodes.push_back(std::make_unique<Node>());
  Node& node = *m_nodes.back();
  node.m_id = InstanceId("instance-" + std::to_string(index));
  node.m_region = aRegion;
  node.m_replacement = index;
  node.m_speed = 1 + m_options.m_maxDrift * (2 * Random() - 1);
  node.m_trueTime = m_now;
  node.m_clock.Advance(Scaled(1h, Random()));
  Start(node);
  ScheduleTick(index);
}

void
RateFleet::Start(Node& aNode)
{
  Sync(aNode);
  aNode.m_isResuming = false;
  aNode.m_waiting.clear();
  const Incarnation incarnation(aNode.m_incarnation++);
  if (m_options.m_model == RateModel::TokenLeases ||
      m_options.m_model == RateModel::TokenLeasesNotDeducted) {
    aNode.m_ledger = std::make_unique<TokenLeaseLedger>(TokenLeaseLedgerOptions{
      .m_clock = aNode.m_clock,
      .m_self = aNode.m_id,
      .m_incarnation = incarnation,
      .m_lenderDeducts = m_options.m_model == RateModel::TokenLeases });
  } else {
    aNode.m_ledger = std::make_unique<RateLedger>(
      RateLedgerOptions{ .m_clock = aNode.m_clock,
                         .m_self = aNode.m_id,
                         .m_incarnation = incarnation });
  }
}

void
RateFleet::Sync(Node& aNode)
{
  aNode.m_clock.Advance(Scaled(m_now - aNode.m_trueTime, aNode.m_speed));
  aNode.m_trueTime = m_now;
}

void
RateFleet::Configure(const ClientAccountsSection& aSection)
{
  m_options.m_section = aSection;
  for (const ClientAccount& account : aSection.m_clientAccounts) {
    const auto burst = static_cast<double>(account.m_burst.Value());
    auto [central, isNew] = m_central.try_emplace(account.m_id);
    central->second.m_rate = account.m_rate.Value();
    central->second.m_burst = burst;
    if (isNew) {
      central->second.m_tokens = burst;
    }
    m_accounts[account.m_id].m_history.SetLimits(
      Seconds(), account.m_rate.Value(), burst);
  }
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    Node& node = *m_nodes[index];
    Sync(node);
    With(node.m_ledger, [&](auto& aLedger) { aLedger.Configure(aSection); });
    ScheduleResumeIfPaused(index);
  }
}

void
RateFleet::At(Duration aTime, std::function<void()> aFunction)
{
  m_events.emplace(std::pair(std::max(aTime, m_now), ++m_sequence),
                   std::move(aFunction));
}

void
RateFleet::Run(Duration aUntil)
{
  while (!m_events.empty() && m_events.begin()->first.first <= aUntil) {
    auto event = m_events.extract(m_events.begin());
    m_now = event.key().first;
    event.mapped()();
  }
  m_now = aUntil;
}

void
RateFleet::OnNode(std::size_t aNode, std::function<void()> aFunction)
{
  Node& node = *m_nodes[aNode];
  if (node.m_isFrozen) {
    node.m_backlog.push_back(std::move(aFunction));
    return;
  }
  Sync(node);
  aFunction();
  ScheduleResumeIfPaused(aNode);
}

void
RateFleet::ScheduleResumeIfPaused(std::size_t aNode)
{
  Node& node = *m_nodes[aNode];
  const bool isPaused =
    With(node.m_ledger, [](auto& aLedger) { return aLedger.IsPaused(); });
  if (!isPaused || node.m_isResuming) {
    return;
  }
  node.m_isResuming = true;
  At(m_now + kResumeDelay, [this, aNode] {
    OnNode(aNode, [this, aNode] {
      Node& resumed = *m_nodes[aNode];
      resumed.m_isResuming = false;
      With(resumed.m_ledger, [](auto& aLedger) { aLedger.Resume(); });
    });
  });
}

void
RateFleet::ScheduleTick(std::size_t aNode)
{
  At(m_now + kTickInterval, [this, aNode] {
    OnNode(aNode, [this, aNode] { Tick(aNode); });
    ScheduleTick(aNode);
  });
}

void
RateFleet::Partition(const std::vector<int>& aGroupOfInstance)
{
  m_groups = aGroupOfInstance;
}

void
RateFleet::Freeze(std::size_t aInstance)
{
  m_nodes[aInstance]->m_isFrozen = true;
}

void
RateFleet::Wake(std::size_t aInstance)
{
  Node& node = *m_nodes[aInstance];
  node.m_isFrozen = false;
  const auto backlog = std::exchange(node.m_backlog, {});
  for (const auto& function : backlog) {
    OnNode(aInstance, function);
  }
}

void
RateFleet::Restart(std::size_t aInstance)
{
  Node& node = *m_nodes[aInstance];
  node.m_isFrozen = false;
  node.m_backlog.clear();
  Start(node);
  With(node.m_ledger,
       [&](auto& aLedger) { aLedger.Configure(m_options.m_section); });
}

void
RateFleet::ReplaceInstance(std::size_t aInstance)
{
  AddNode(m_nodes[aInstance]->m_region);
  m_nodes[aInstance]->m_replacement = m_nodes.size() - 1;
  With(m_nodes.back()->m_ledger,
       [&](auto& aLedger) { aLedger.Configure(m_options.m_section); });
}

nanoseconds
RateFleet::DelayBetween(std::size_t aFrom, std::size_t aTo)
{
  if (Random() < m_options.m_longDelayProbability) {
    return Scaled(kMaxLongDelay, Random());
  }
  const bool isWithin = m_nodes[aFrom]->m_region == m_nodes[aTo]->m_region;
  const nanoseconds delay =
    isWithin ? m_options.m_intraRegionDelay : m_options.m_interRegionDelay;
  return delay + Scaled(delay, Random() / 4);
}

void
RateFleet::Send(std::size_t aFrom,
                std::size_t aTo,
                std::size_t aBytes,
                const std::function<void()>& aFunction)
{
  ++m_messages;
  m_messageBytes += aBytes;
  const auto groupOf = [this](std::size_t aNode) {
    return aNode < m_groups.size() ? m_groups[aNode] : 0;
  };
  const int copies = Random() < m_options.m_duplicationProbability ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (groupOf(aFrom) != groupOf(aTo) ||
        Random() < m_options.m_lossProbability) {
      continue;
    }
    At(m_now + DelayBetween(aFrom, aTo),
       [this, aTo, aFunction] { OnNode(aTo, aFunction); });
  }
}

std::vector<InstanceId>
RateFleet::PeersOf(std::size_t aNode) const
{
  std::vector<InstanceId> within;
  std::vector<InstanceId> between;
  for (std::size_t step = 1; step < m_nodes.size(); ++step) {
    const Node& peer = *m_nodes[(aNode + step) % m_nodes.size()];
    const bool isWithin = peer.m_region == m_nodes[aNode]->m_region;
    (isWithin ? within : between).push_back(peer.m_id);
  }
  within.insert(within.end(), between.begin(), between.end());
  return within;
}

std::size_t
RateFleet::IndexOf(const InstanceId& aId) const
{
  const auto found =
    std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto& aNode) {
      return aNode->m_id == aId;
    });
  return static_cast<std::size_t>(found - m_nodes.begin());
}

double
RateFleet::OverAdmission() const
{
  double worst = 0;
  for (const auto& [id, account] : m_accounts) {
    worst = std::max(worst, account.m_history.OverAdmission());
  }
  return worst;
}

} // namespace rattanweir
