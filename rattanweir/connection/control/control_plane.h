// All of the control between this instance and its peers.
//
// Heartbeats, the relay of configuration sections and the leases of rate
// shares, with the calls that serve the peers' side of each. It also decides
// when this instance has caught up with its peers: after the start, and after
// a pause of the process, neither a stale configuration service nor an old
// view may put it to work.
//
//   ControlPlane control(options);
//   control.Start();
//   std::string response = control.HandleCall(request);
//   if (control.HasCaughtUp()) { ... ready ... }
//   control.SendHeartbeatsNow();
//   control.Stop();
//
// For one thread; must outlive the executor's work after Stop.

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
  // Fills in all but sequence and interval.
  std::function<Heartbeat()> m_buildHeartbeat;
  // Told of backend servers that a peer saw leave.
  std::function<void(const std::vector<BackendServerId>&)> m_onBackendServersDraining;
  // With no peer answering, how long before this instance goes on alone.
  std::chrono::nanoseconds m_aloneAfter{ std::chrono::seconds(3) };
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

  // Borrows shares of rate for the requests of this instance.
  ShareBorrower& Borrower() { return m_lending; }

  // The response to one call of a peer.
  std::string HandleCall(const std::string& aRequest);

  // Whether peers were heard since the start, their newer sections included,
  // or none could be.
  bool HasCaughtUp() const { return m_hasCaughtUp; }

private:
  void RegisterMethods();
  Json::Value HandleFetchSection(const Json::Value& aParameters) const;
  Json::Value HandleBorrowShare(const Json::Value& aParameters);
  Json::Value HandleReturnShare(const Json::Value& aParameters);
  Task<void> Watch();
  void WatchForPause();
  bool IsInStepWithPeersSince(SteadyTime aSince) const;

  ControlPlaneOptions m_options;
  SectionRelay m_relay;
  HeartbeatExchange m_heartbeats;
  ShareLending m_lending;
  RpcDispatcher m_dispatcher;
  SteadyTime m_startedAt;
  std::optional<SteadyTime> m_pauseSeenAt;
  bool m_hasCaughtUp = false;
  CancelSource m_stop;
};

} // namespace rattanweir
