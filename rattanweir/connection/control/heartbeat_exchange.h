// Product's own interface (settings without `fleet`): exchanges heartbeats with
// the selected peers, in one task per peer.
//
// The request and the response each carry a heartbeat, so one call updates both
// sides. The response also reports whether the peer's instance list contains
// the sender, which tells an instance that was paused whether it has been
// replaced.
//
//   HeartbeatExchange exchange(options);
//   exchange.Start();
//   exchange.SendHeartbeatsNow();  // after a change that is urgent for peers
//   exchange.Stop();
//
// Not thread-safe. After Stop, the object must outlive the tasks that it has
// started on the executor.

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
  // Returns the heartbeat to send; its sequence and interval are overwritten.
  std::function<Heartbeat()> m_buildHeartbeat;
  // Called with the backend servers that a peer reports as draining.
  std::function<void(const std::vector<BackendServerId>&)>
    m_onBackendServersDraining;
};

// Number of heartbeat targets by the outcome of the latest exchange, for
// exchanges started since a given time.
struct ExchangeSummary
{
  // Targets with a completed exchange, successful or not.
  std::size_t m_attempted = 0;
  std::size_t m_responded = 0;
  // Targets whose instance list contains this instance.
  std::size_t m_listed = 0;
};

class HeartbeatExchange
{
public:
  explicit HeartbeatExchange(const HeartbeatExchangeOptions& aOptions);
  ~HeartbeatExchange();
  HeartbeatExchange(const HeartbeatExchange&) = delete;
  HeartbeatExchange& operator=(const HeartbeatExchange&) = delete;

  // Starts a task for each target, and periodically updates the targets from
  // the instance list.
  void Start();

  // Sends a heartbeat to every target without waiting for the interval. A
  // target with a call in progress receives it after that call.
  void SendHeartbeatsNow();

  // Stops every task after its current call.
  void Stop();

  // Applies a peer's heartbeat and returns the result of the call. Throws
  // RpcError if the parameters are not a valid heartbeat.
  Json::Value HandleHeartbeat(const Json::Value& aParameters);

  std::size_t TargetCount() const { return m_targets.size(); }

  // Summarizes the current targets. Ignores targets whose latest completed call
  // started before `aSince`.
  ExchangeSummary SummarizeSince(SteadyTime aSince) const;

private:
  struct Target;

  Task<void> PollInstanceList();
  Task<void> RunTarget(std::shared_ptr<Target> aTarget);
  Task<void> ExchangeOnce(std::shared_ptr<Target> aTarget);
  void ApplyResponse(Target& aTarget, const Json::Value& aResponse);
  void UpdateTargets();
  bool ApplyHeartbeat(const Heartbeat& aHeartbeat);
  Heartbeat BuildHeartbeat();

  HeartbeatExchangeOptions m_options;
  std::map<InstanceId, std::shared_ptr<Target>> m_targets;
  std::chrono::nanoseconds m_currentInterval;
  std::uint64_t m_sequence = 0;
  CancelSource m_stop;
};

} // namespace rattanweir
