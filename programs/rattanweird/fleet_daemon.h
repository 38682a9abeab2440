// One running instance of a fleet that finds itself by gossip and reads its
// configuration and backend servers from the platform's store.
//
//   FleetDaemon daemon(settings, settingsPath);
//   daemon.Run();
//
// The members are declared in the order of their life spans: what comes later
// may use what came before.

#pragma once

#include "platform/protocol/platform_protocol.h"
#include "platform/records/feed.h"
#include "platform/store/store_reader.h"

#include "rattanweir/connection/admin/admin_routes.h"
#include "rattanweir/connection/gossip/gossip.h"
#include "rattanweir/connection/http_client/http_client.h"
#include "rattanweir/connection/http_server/http_server.h"
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
  // Throws boost::system::system_error.
  FleetDaemon(const Settings& aSettings, std::string aSettingsPath);
  FleetDaemon(const FleetDaemon&) = delete;
  FleetDaemon& operator=(const FleetDaemon&) = delete;

  // Serves until a graceful shutdown has ended.
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

  void ApplyConfig(const FleetConfig& aConfig);
  void UpdateSelf();
  void ForgetGoneServers();
  void UpdateShares();
  void UpdateReading();
  void UpdateReadiness();
  void ReloadSettings(const char* aWhy);
  bool HasSettingsChanged();

  Task<void> TickUntilStopped();
  Task<void> AwaitStopSignals();
  Task<void> AwaitReloadSignals();
  Task<void> ShutDown();
  void AbortAll();

  Settings m_settings;
  const std::string m_settingsPath;
  std::string m_settingsText;
  const Clock& m_clock;
  const SteadyTime m_startedAt;
  RandomEngine m_random;
  asio::io_context m_context;

  Metrics m_metrics;
  FleetConfigStore m_config;
  FleetView m_fleet;
  BackendRegistry m_registry;
  BackendView m_backends;
  BackendView m_regions;
  PartCacheView m_parts;
  AccountRates m_rates;
  FleetRetryBudget m_retries;
  ColdServerLimiter m_coldLimiter;
  PublishedItems m_published;
  PoolQueues m_queues;
  const platform::PlatformProtocol m_protocol;
  platform::Feed m_feed;

  HttpUpstream m_backendUpstream;
  HttpUpstream m_peerUpstream;
  GatewayState m_state;
  Gossip m_gossip;
  platform::StoreReader m_store;

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
  SteadyTime m_settingsCheckedAt;
  SteadyTime m_forgotAt;
  // What peers were told of the store's revisions.
  std::map<TopicId, std::uint64_t> m_toldRevisions;
  bool m_isStopped = false;
};

} // namespace rattanweir
