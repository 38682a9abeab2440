// Exchanges heartbeats with the chosen peers, one task for each.
//
// A heartbeat and its answer carry the same facts, so one call informs both
// sides. The answer says besides whether the peer's instance list has the
// sender, which an instance that was paused or replaced needs to know.
//
//   HeartbeatExchange exchange(options);
//   exchange.Start();
//   exchange.SendHeartbeatsNow();  // on a change that peers should hear of at once
//   exchange.Stop();
//
// For one thread; must outlive the executor's work after Stop.

#pragma once

#include "rattanweir/connection/control/section_relay.h"
#include "rattanweir/process/heartbeat_targets/heartbeat_targets.h"
#include "rattanweir/process/membership/membership.h"
#include "rattanweir/process/metrics/metrics.h"
#include "rattanweir/request/exchange/exchange.h"

#include <json/value.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace rattanweir {

struct HeartbeatExchangeOptions
{
  Executor m_executor;
  const Clock& m_clock;
  Upstream& m_upstream;
  Membership& m_membership;
  SectionRelay& m_relay;
  Metrics& m_metrics;
  std::chrono::nanoseconds m_interval{ std::chrono::seconds(1) };
  HeartbeatFanOut m_fanOut;
  // Fills in all but sequence and interval.
  std::function<Heartbeat()> m_buildHeartbeat;
  // Told of backend servers that a peer saw leave.
  std::function<void(const std::vector<BackendServerId>&)> m_onBackendServersDraining;
};

// What the exchanges since a point in time came to.
struct ExchangeSummary
{
  // Targets tried at least once.
  std::size_t m_tried = 0;
  std::size_t m_answered = 0;
  // Answered that their list has this instance.
  std::size_t m_listed = 0;
};

class HeartbeatExchange
{
public:
  explicit HeartbeatExchange(const HeartbeatExchangeOptions& aOptions);
  ~HeartbeatExchange();
  HeartbeatExchange(const HeartbeatExchange&) = delete;
  HeartbeatExchange& operator=(const HeartbeatExchange&) = delete;

  // Starts a task for each target, and follows the list from then on.
  void Start();

  // Makes every task send without waiting for its interval.
  void SendHeartbeatsNow();

  // Ends the tasks after the call that each is in.
  void Stop();

  // The answer to a peer's heartbeat, as the result of the call.
  Json::Value Response(const Json::Value& aParameters);

  std::size_t TargetCount() const { return m_targets.size(); }

  // Over the targets of now, counting calls begun at or after `aSince`.
  ExchangeSummary Since(SteadyTime aSince) const;

private:
  struct Target;

  Task<void> FollowList();
  Task<void> RunTarget(std::shared_ptr<Target> aTarget);
  Task<void> ExchangeOnce(std::shared_ptr<Target> aTarget);
  void TakeResponse(Target& aTarget, const Json::Value& aResponse);
  void UpdateTargets();
  bool Apply(const Heartbeat& aHeartbeat);
  Heartbeat Describe();

  HeartbeatExchangeOptions m_options;
  std::map<InstanceId, std::shared_ptr<Target>> m_targets;
  std::chrono::nanoseconds m_currentInterval;
  std::uint64_t m_sequence = 0;
  CancelSource m_stop;
};

} // namespace rattanweir
