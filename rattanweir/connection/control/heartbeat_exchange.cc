#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/control/heartbeat_exchange.h"

#include "rattanweir/connection/control/peer_call.h"
#include "rattanweir/connection/control_messages/control_messages.h"
#include "rattanweir/connection/rpc/rpc.h"
#include "rattanweir/request/wait/wait.h"

#include <algorithm>
#include <exception>
#include <optional>
#include <set>
#include <utility>

namespace rattanweir {
namespace {

constexpr std::chrono::milliseconds kInstanceListPollInterval{ 250 };

// A peer that does not respond in time is considered unreachable.
constexpr std::chrono::seconds kHeartbeatTimeout{ 2 };

constexpr char kListedField[] = "listed";

} // namespace

// A peer with which heartbeats are exchanged. Shared with its task.
struct HeartbeatExchange::Target
{
  Target(InstanceId aId, const Executor& aExecutor)
    : m_id(std::move(aId))
    , m_timer(aExecutor)
  {
  }

  InstanceId m_id;
  WakeableTimer m_timer;
  bool m_isStopped = false;
  // Send the next heartbeat without waiting for the interval.
  bool m_isDue = false;
  // Start and outcome of the latest completed call.
  std::optional<SteadyTime> m_lastCallStartedAt;
  bool m_hasResponded = false;
  bool m_isListed = false;
};

HeartbeatExchange::HeartbeatExchange(const HeartbeatExchangeOptions& aOptions)
  : m_options(aOptions)
  , m_currentInterval(aOptions.m_interval)
{
}

HeartbeatExchange::~HeartbeatExchange() = default;

void
HeartbeatExchange::Start()
{
  UpdateTargets();
  asio::co_spawn(m_options.m_executor, PollInstanceList(), asio::detached);
}

void
HeartbeatExchange::SendHeartbeatsNow()
{
  for (const auto& [id, target] : m_targets) {
    target->m_isDue = true;
    target->m_timer.Wake();
  }
}

void
HeartbeatExchange::Stop()
{
  m_stop.Cancel(ResultCode::InstanceDraining);
  for (const auto& [id, target] : m_targets) {
    target->m_isStopped = true;
    target->m_timer.Wake();
  }
  m_targets.clear();
}

Task<void>
HeartbeatExchange::PollInstanceList()
{
  while (!m_stop.Reason()) {
    UpdateTargets();
    co_await WaitFor(m_options.m_executor, kInstanceListPollInterval, m_stop);
  }
}

void
HeartbeatExchange::UpdateTargets()
{
  const std::optional<InstanceRecord> self = m_options.m_membership.Self();
  std::set<InstanceId> selected;
  if (self) {
    const std::vector<InstanceId> chosen = ChooseHeartbeatTargets(
      *self, m_options.m_membership.Peers(), m_options.m_fanOut);
    selected.insert(chosen.begin(), chosen.end());
  }
  m_currentInterval = HeartbeatInterval(
    m_options.m_interval, selected.size(), m_options.m_fanOut);
  for (auto entry = m_targets.begin(); entry != m_targets.end();) {
    if (selected.count(entry->first) != 0) {
      ++entry;
      continue;
    }
    entry->second->m_isStopped = true;
    entry->second->m_timer.Wake();
    entry = m_targets.erase(entry);
  }
  for (const InstanceId& id : selected) {
    if (m_targets.count(id) != 0) {
      continue;
    }
    const auto target = std::make_shared<Target>(id, m_options.m_executor);
    m_targets.emplace(id, target);
    asio::co_spawn(m_options.m_executor, RunTarget(target), asio::detached);
  }
}

Task<void>
HeartbeatExchange::RunTarget(std::shared_ptr<Target> aTarget)
{
  while (!aTarget->m_isStopped) {
    aTarget->m_isDue = false;
    co_await ExchangeOnce(aTarget);
    if (!aTarget->m_isStopped && !aTarget->m_isDue) {
      co_await aTarget->m_timer.WaitFor(m_currentInterval, m_stop);
    }
  }
}

Task<void>
HeartbeatExchange::ExchangeOnce(std::shared_ptr<Target> aTarget)
{
  const std::optional<PeerView> peer =
    m_options.m_membership.Find(aTarget->m_id);
  if (!peer) {
    co_return;
  }
  const SteadyTime startedAt = m_options.m_clock.SteadyNow();
  aTarget->m_hasResponded = false;
  aTarget->m_isListed = false;
  try {
    PeerCall call;
    call.m_endpoint = peer->m_record.m_peerAddress;
    call.m_method = kHeartbeatMethod;
    call.m_parameters = ToJson(BuildHeartbeat());
    call.m_deadline = startedAt + kHeartbeatTimeout;
    const Json::Value response =
      co_await CallPeer(m_options.m_upstream, std::move(call));
    ApplyResponse(*aTarget, response);
    m_options.m_metrics.Count("rattanweir_heartbeats_total");
  } catch (const std::exception&) {
    m_options.m_membership.MarkUnreachable(aTarget->m_id);
    m_options.m_metrics.Count("rattanweir_heartbeat_failures_total");
  }
  aTarget->m_lastCallStartedAt = startedAt;
}

void
HeartbeatExchange::ApplyResponse(Target& aTarget, const Json::Value& aResponse)
{
  Heartbeat heartbeat = HeartbeatFromJson(aResponse);
  if (heartbeat.m_from != aTarget.m_id) {
    throw RpcError("another instance responded at the peer's address");
  }
  if (!aResponse[kListedField].isBool()) {
    throw RpcError("listed: expected a boolean");
  }
  // If this instance calls less often than the peer, the peer's next heartbeat
  // may arrive only with the next call.
  heartbeat.m_interval = std::max(heartbeat.m_interval, m_currentInterval);
  ApplyHeartbeat(heartbeat);
  aTarget.m_hasResponded = true;
  aTarget.m_isListed = aResponse[kListedField].asBool();
}

bool
HeartbeatExchange::ApplyHeartbeat(const Heartbeat& aHeartbeat)
{
  if (!m_options.m_membership.ApplyHeartbeat(aHeartbeat)) {
    return false;
  }
  m_options.m_onBackendServersDraining(aHeartbeat.m_drainingBackendServers);
  const std::optional<PeerView> peer =
    m_options.m_membership.Find(aHeartbeat.m_from);
  m_options.m_relay.FetchNewer(peer->m_record.m_peerAddress,
                               aHeartbeat.m_versions);
  return true;
}

Heartbeat
HeartbeatExchange::BuildHeartbeat()
{
  Heartbeat heartbeat = m_options.m_buildHeartbeat();
  heartbeat.m_sequence = ++m_sequence;
  heartbeat.m_interval = m_currentInterval;
  return heartbeat;
}

Json::Value
HeartbeatExchange::HandleHeartbeat(const Json::Value& aParameters)
{
  const Heartbeat heartbeat = HeartbeatFromJson(aParameters);
  ApplyHeartbeat(heartbeat);
  Json::Value response = ToJson(BuildHeartbeat());
  response[kListedField] =
    m_options.m_membership.Find(heartbeat.m_from).has_value();
  return response;
}

ExchangeSummary
HeartbeatExchange::SummarizeSince(SteadyTime aSince) const
{
  ExchangeSummary summary;
  for (const auto& [id, target] : m_targets) {
    if (!target->m_lastCallStartedAt || *target->m_lastCallStartedAt < aSince) {
      continue;
    }
    ++summary.m_attempted;
    summary.m_responded += target->m_hasResponded ? 1 : 0;
    summary.m_listed += target->m_isListed ? 1 : 0;
  }
  return summary;
}

} // namespace rattanweir
