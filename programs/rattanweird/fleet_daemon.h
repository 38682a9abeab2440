// Users' platform (settings with `fleet`): one running instance of a fleet. The
// instances discover each other by gossip and read the configuration and the
// backend servers from the platform's store.
//
//   FleetDaemon daemon(settings, settingsPath);
//   daemon.Run();
//
// Members may refer to members that are declared before them. Not thread-safe.

#pragma once

#include "platform/protocol/platform_protocol.h"
#include "platform/records/record_applier.h"
#include "platform/store/store_reader.h"

#include "rattanweir/connection/admin/admin_routes.h"
#include "rattanweir/connection/gossip/gossip.h"
#include "rattanweir/connection/http_client/http_client.h"
#include "rattanweir/connection/http_server/http_server.h"
#include "rattanweir/connection/run_durations/run_durations_exchange.h"
#include "rattanweir/connection/server_prober/server_prober.h"
#include "rattanweir/connection/stream_origins/stream_origin_exchange.h"
#include "rattanweir/process/config_lag/config_lag.h"
#include "rattanweir/process/periodic_steps/periodic_steps.h"
#include "rattanweir/process/settings/settings.h"
#include "rattanweir/request/gateway/gateway_handlers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <string>

namespace rattanweir {

class FleetDaemon
{
public:
  // Listens on all addresses and logs them. `aSettings` must have a fleet.
  // `aSettingsPath` is the file to reload settings from. Throws
  // boost::system::system_error.
  FleetDaemon(const Settings& aSettings, std::string aSettingsPath);
  FleetDaemon(const FleetDaemon&) = delete;
  FleetDaemon& operator=(const FleetDaemon&) = delete;

  // Serves requests and returns after a graceful shutdown.
  void Run();

private:
  FleetMember MakeSelf() const;
  GatewayState MakeState();
  HttpServerOptions MakeServerOptions(const Endpoint& aAddress,
                                      RequestHandler& aHandler);
  HttpServerOptions MakeCallerOptions();
  HttpServerOptions MakePeerOptions();
  void RegisterAdminRoutes();
  void RegisterGauges();
  void RegisterQuarantineGauges(SuspectKind aKind,
                                const char* aQuarantined,
                                const char* aWithEvidence);

  void ApplyConfig(const FleetConfig& aConfig);
  void UpdateSelf();
  void AnnounceReach();
  void ExchangeRooms();
  void EvictRemovedServers();
  void ApplyPeerUsages();
  void ApplyPeerLimits();
  void ApplyPeerDraining();
  void ExchangeRefusals();
  void UpdateQuarantine();
  void UpdateStoreReading();
  void UpdateReadiness();
  void ReloadSettings(const char* aReason);
  void RecordLateness(std::chrono::nanoseconds aLateness);
  bool HasSettingsChanged();

  void RegisterPeriodicSteps();
  Task<void> TickUntilStopped();
  Task<void> AwaitStopSignals();
  Task<void> AwaitReloadSignals();
  Task<void> ShutDown();
  Task<void> CutRequests(SteadyTime aEnd);
  void AbortAll();

  Settings m_settings;
  const std::string m_settingsPath;
  std::string m_settingsText;
  const Clock& m_clock;
  const SteadyTime m_startedAt;
  RandomEngine m_random;
  asio::io_context m_context;

  Metrics m_metrics;
  PeriodicSteps m_periodicSteps;
  FleetConfigStore m_config;
  FleetView m_fleet;
  BackendRegistry m_registry;
  BackendView m_backends;
  ServerReach m_reach;
  BackendView m_regions;
  PartCacheView m_parts;
  AccountRates m_rates;
  FleetRetryBudget m_retries;
  ServerRateLimiter m_rateLimiter;
  ServerLimits m_serverLimits;
  ServerRooms m_rooms;
  CrashQuarantine m_quarantine;
  PublishedItems m_published;
  ConfigLagDetector m_configLag;
  ServiceEnd m_serviceEnd;
  ServerSilence m_silence;
  PoolQueues m_queues;
  ResidencyConflicts m_residencyConflicts{ { .m_clock = m_clock } };
  ServerPerformance m_performance{ { .m_clock = m_clock } };
  PoolBacklogs m_backlogs{ { .m_clock = m_clock } };
  ArrivalMeter m_arrivals{ { .m_clock = m_clock } };
  RegionSplit m_split{ { .m_clock = m_clock } };
  const platform::PlatformProtocol m_protocol;
  platform::RecordApplier m_recordApplier;

  HttpUpstream m_backendUpstream;
  HttpUpstream m_peerUpstream;
  GatewayState m_state;
  ServerProber m_prober;
  Gossip m_gossip;
  StreamOriginExchange m_streamOrigins;
  RunDurationsExchange m_runDurations;
  platform::StoreReader m_storeReader;

  GatewayEntryHandler m_entryHandler;
  GatewayPeerHandler m_peerHandler;
  AdminRoutes m_adminRoutes;
  AdminRoutes m_directoryRoutes;
  AdminRoutes m_readinessRoutes;

  HttpServer m_callerServer;
  HttpServer m_peerServer;
  HttpServer m_adminServer;
  HttpServer m_directoryServer;
  HttpServer m_readinessServer;

  asio::signal_set m_stopSignals;
  asio::signal_set m_reloadSignals;
  SteadyTime m_lastSettingsCheckAt;
  SteadyTime m_lastEvictionAt;
  // What was in quarantine at the last tick.
  std::set<Suspect> m_quarantined;
  // Versions of the topics that were last announced to peers.
  std::map<TopicId, TopicVersion> m_announcedVersions;
  // The refusals by servers that were last announced to peers.
  std::map<BackendServerId, RefusedRoom> m_announcedRooms;
  std::set<BackendServerId> m_announcedRefusals;
  bool m_isStopped = false;
};

} // namespace rattanweir
