// Product's own interface (settings without `fleet`): one running instance,
// with all objects of the process on one io_context.
//
//   Daemon daemon(settings);
//   daemon.Run();
//
// Members may refer to members that are declared before them. Not thread-safe.

#pragma once

#include "programs/rattanweird/status_report.h"

#include "rattanweir/connection/admin/admin_routes.h"
#include "rattanweir/connection/control/control_plane.h"
#include "rattanweir/connection/http_client/http_client.h"
#include "rattanweir/connection/http_server/http_server.h"
#include "rattanweir/connection/platform/platform.h"
#include "rattanweir/process/settings/settings.h"
#include "rattanweir/request/pipeline/entry_handler.h"
#include "rattanweir/request/pipeline/peer_handler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace rattanweir {

class Daemon
{
public:
  // Listens on the caller, peer and admin addresses and logs them. Throws
  // boost::system::system_error.
  explicit Daemon(const Settings& aSettings);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Serves requests and returns after a graceful shutdown.
  void Run();

private:
  ServingContext MakeServingContext();
  ControlPlaneOptions MakeControlOptions();
  HttpServerOptions MakeCallerOptions();
  HttpServerOptions MakePeerOptions();
  HttpServerOptions MakeAdminOptions();
  void RegisterGauges();
  void RegisterAdminRoutes();
  AdminResponse ReadinessResponse() const;
  void ApplyAcceptedSection(SectionKind aKind);
  Heartbeat BuildHeartbeat() const;
  void UpdateReadiness();
  bool HavePredecessorLeasesExpired() const;
  Task<void> TickUntilStopped();
  Task<void> AwaitSignals();
  void BeginShutdown();
  Task<void> ShutDown();
  Task<void> AbortAdminServerAfterTimeout();
  Task<void> AbortAtShutdownTimeout();
  Task<void> WaitForKeyedRuns();

  const Settings m_settings;
  const Clock& m_clock;
  const SteadyTime m_startedAt;
  const Incarnation m_incarnation;
  RandomEngine m_random;
  asio::io_context m_context;

  Metrics m_metrics;
  Catalog m_catalog;
  Membership m_membership;
  const RateLedgerOptions m_rateOptions;
  RateLedger m_rates;
  IdempotencyLedger m_idempotencyLedger;
  BackendView m_backends;
  PrefixView m_prefixes;
  InFlightRequests m_inFlight;
  PeerAttempts m_peerAttempts;
  RetryBudget m_retryBudget;
  RateQueue m_rateQueue;

  HttpUpstream m_upstream;
  ControlPlane m_control;
  ServingContext m_serving;
  KeyedRuns m_keyedRuns;
  EntryHandler m_entryHandler;
  PeerHandler m_peerHandler;
  AdminRoutes m_adminRoutes;
  StatusReport m_report;

  HttpServer m_callerServer;
  HttpServer m_peerServer;
  HttpServer m_adminServer;
  Platform m_platform;

  asio::signal_set m_signals;
  bool m_isStopped = false;
};

} // namespace rattanweir
