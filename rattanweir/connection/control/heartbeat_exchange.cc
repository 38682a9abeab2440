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

constexpr std::chrono::milliseconds kFollowListInterval{ 250 };

// A peer that takes longer is treated as unreachable.
constexpr std::chrono::seconds kCallTimeout{ 2 };

constexpr char kListedField[] = "listed";

} // namespace

// One peer that heartbeats are exchanged with. Lives as long as its task.
struct HeartbeatExchange::Target
{
  Target(InstanceId aId, const Executor& aExecutor)
    : m_id(std::move(aId))
    , m_wakeUp(aExecutor)
  {
  }

  InstanceId m_id;
  WakeableTimer m_wakeUp;
  bool m_isEnded = false;
  // To be sent again without waiting for the interval.
  bool m_isDue = false;
  // The newest call that has ended, and what came of it.
  std::optional<SteadyTime> m_startedAt;
  bool m_hasAnswered = false;
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
  asio::co_spawn(m_options.m_executor, FollowList(), asio::detached);
}

void
HeartbeatExchange::SendHeartbeatsNow()
{
  for (const auto& [id, target] : m_targets) {
    target->m_isDue = true;
    target->m_wakeUp.Wake();
  }
}

void
HeartbeatExchange::Stop()
{
  m_stop.Cancel(ResultCode::InstanceDraining);
  for (const auto& [id, target] : m_targets) {
    target->m_isEnded = true;
    target->m_wakeUp.Wake();
  }
  m_targets.clear();
}

Task<void>
HeartbeatExchange::FollowList()
{
  while (!m_stop.Reason()) {
    UpdateTargets();
    co_await WaitFor(m_options.m_executor, kFollowListInterval, m_stop);
  }
}

void
HeartbeatExchange::UpdateTargets()
{
  const std::optional<InstanceRecord> self = m_options.m_membership.Self();
  std::set<InstanceId> wanted;
  if (self) {
    const std::vector<InstanceId> chosen = ChooseHeartbeatTargets(
      *self, m_options.m_membership.Peers(), m_options.m_fanOut);
    wanted.insert(chosen.begin(), chosen.end());
  }
  m_currentInterval =
    HeartbeatInterval(m_options.m_interval, wanted.size(), m_options.m_fanOut);
  for (auto entry = m_targets.begin(); entry != m_targets.end();) {
    if (wanted.count(entry->first) != 0) {
      ++entry;
      continue;
    }
    entry->second->m_isEnded = true;
    entry->second->m_wakeUp.Wake();
    entry = m_targets.erase(entry);
  }
  for (const InstanceId& id : wanted) {
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
  while (!aTarget->m_isEnded) {
    aTarget->m_isDue = false;
    co_await ExchangeOnce(aTarget);
    if (!aTarget->m_isEnded && !aTarget->m_isDue) {
      co_await aTarget->m_wakeUp.WaitFor(m_currentInterval, m_stop);
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
  aTarget->m_hasAnswered = false;
  aTarget->m_isListed = false;
  try {
    PeerCall call;
    call.m_endpoint = peer->m_record.m_peerAddress;
    call.m_method = kHeartbeatMethod;
    call.m_parameters = ToJson(Describe());
    call.m_deadline = startedAt + kCallTimeout;
    const Json::Value response =
      co_await CallPeer(m_options.m_upstream, std::move(call));
    TakeResponse(*aTarget, response);
    m_options.m_metrics.Count("rattanweir_heartbeats_total");
  } catch (const std::exception&) {
    m_options.m_membership.MarkUnreachable(aTarget->m_id);
    m_options.m_metrics.Count("rattanweir_heartbeat_failures_total");
  }
  aTarget->m_startedAt = startedAt;
}

void
HeartbeatExchange::TakeResponse(Target& aTarget, const Json::Value& aResponse)
{
  Heartbeat heartbeat = HeartbeatFromJson(aResponse);
  if (heartbeat.m_from != aTarget.m_id) {
    throw RpcError("another instance answered at the peer's address");
  }
  if (!aResponse[kListedField].isBool()) {
    throw RpcError("listed: expected true or false");
  }
  // This side may call less often than that peer does.
  heartbeat.m_interval = std::max(heartbeat.m_interval, m_currentInterval);
  Apply(heartbeat);
  aTarget.m_hasAnswered = true;
  aTarget.m_isListed = aResponse[kListedField].asBool();
}

bool
HeartbeatExchange::Apply(const Heartbeat& aHeartbeat)
{
  if (!m_options.m_membership.ApplyHeartbeat(aHeartbeat)) {
    return false;
  }
  m_options.m_onBackendServersDraining(aHeartbeat.m_drainingBackendServers);
  const std::optional<PeerView> peer =
    m_options.m_membership.Find(aHeartbeat.m_from);
  m_options.m_relay.Consider(peer->m_record.m_peerAddress,
                             aHeartbeat.m_versions);
  return true;
}

Heartbeat
HeartbeatExchange::Describe()
{
  Heartbeat heartbeat = m_options.m_buildHeartbeat();
  heartbeat.m_sequence = ++m_sequence;
  heartbeat.m_interval = m_currentInterval;
  return heartbeat;
}

Json::Value
HeartbeatExchange::Response(const Json::Value& aParameters)
{
  const Heartbeat heartbeat = HeartbeatFromJson(aParameters);
  Apply(heartbeat);
  Json::Value response = ToJson(Describe());
  response[kListedField] =
    m_options.m_membership.Find(heartbeat.m_from).has_value();
  return response;
}

ExchangeSummary
HeartbeatExchange::Since(SteadyTime aSince) const
{
  ExchangeSummary summary;
  for (const auto& [id, target] : m_targets) {
    if (!target->m_startedAt || *target->m_startedAt < aSince) {
      continue;
    }
    ++summary.m_tried;
    summary.m_answered += target->m_hasAnswered ? 1 : 0;
    summary.m_listed += target->m_isListed ? 1 : 0;
  }
  return summary;
}

} // namespace rattanweir
