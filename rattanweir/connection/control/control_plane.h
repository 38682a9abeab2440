// Product's own interface (settings without `fleet`): control traffic between
// this instance and its peers.
//
// Combines heartbeats, the relay of configuration sections and the leasing of
// rate shares, and handles the peers' calls for each. Also determines when this
// instance has caught up with its peers. After a start or a pause of the
// process, the configuration service may deliver stale sections and this
// instance's view of the fleet may be outdated, so the instance must not serve
// requests before that.
//
//   ControlPlane control(options);
//   control.Start();
//   std::string response = control.HandleCall(request);
//   if (control.HasCaughtUp()) { ... ready ... }
//   control.SendHeartbeatsNow();
//   control.Stop();
//
// Not thread-safe. After Stop, the object must outlive the tasks that it has
// started on the executor.

#pragma once

#include "rattanweir/connection/control/heartbeat_exchange.h"
#include "rattanweir/connection/control/section_relay.h"
#include "rattanweir/connection/control/share_lending.h"
#include "rattanweir/connection/rpc/rpc.h"
#include "rattanweir/process/rate/rate_ledger.h"

#include <string>

namespace rattanweir {

struct ControlPlaneOptions
{
  Executor m_executor;
  const Clock& m_clock;
  Upstream& m_upstream;
  Catalog& m_catalog;
  Membership& m_membership;
  RateLedger& m_rate;
  Metrics& m_metrics;
  std::chrono::nanoseconds m_heartbeatInterval{ std::chrono::seconds(1) };
  HeartbeatFanOut m_fanOut;
  // Returns the heartbeat to send; its sequence and interval are overwritten.
  std::function<Heartbeat()> m_buildHeartbeat;
  // Called with the backend servers that a peer reports as draining.
  std::function<void(const std::vector<BackendServerId>&)>
    m_onBackendServersDraining;
  // Time without a response from any peer after which this instance serves
  // requests with the state that it has.
  std::chrono::nanoseconds m_isolationTimeout{ std::chrono::seconds(3) };
};

class ControlPlane
{
public:
  explicit ControlPlane(const ControlPlaneOptions& aOptions);
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  void Start();
  void SendHeartbeatsNow() { m_heartbeats.SendHeartbeatsNow(); }
  void Stop();

  // Returns the object that leases rate shares from peers for this instance's
  // requests. Owned by the control plane.
  ShareBorrower& Borrower() { return m_lending; }

  // Handles a peer's JSON-RPC request and returns the response.
  std::string HandleCall(const std::string& aRequest);

  // Returns true once this instance is in its own instance list, no section is
  // being fetched, and a peer that lists this instance has responded since the
  // start. The last condition does not apply if there are no peers or
  // m_isolationTimeout has passed without a response.
  bool HasCaughtUp() const { return m_hasCaughtUp; }

private:
  void RegisterMethods();
  Json::Value HandleFetchSection(const Json::Value& aParameters) const;
  Json::Value HandleBorrowShare(const Json::Value& aParameters);
  Json::Value HandleReturnShare(const Json::Value& aParameters);
  Task<void> RunPeriodicChecks();
  void CheckForPause();
  bool HasSyncedWithPeersSince(SteadyTime aSince) const;

  ControlPlaneOptions m_options;
  SectionRelay m_relay;
  HeartbeatExchange m_heartbeats;
  ShareLending m_lending;
  RpcDispatcher m_dispatcher;
  SteadyTime m_startedAt;
  std::optional<SteadyTime> m_pauseDetectedAt;
  bool m_hasCaughtUp = false;
  CancelSource m_stop;
};

} // namespace rattanweir
