#include "programs/rattanweird/fleet_daemon.h"

#include "platform/directory/directory.h"

#include "rattanweir/base/asio/spawn.h"
#include "rattanweir/base/json/json.h"
#include "rattanweir/process/logging/log.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/gateway/gateway_report.h"
#include "rattanweir/request/gateway/region_loads.h"
#include "rattanweir/request/gateway/server_candidates.h"
#include "rattanweir/request/gateway/server_links.h"
#include "rattanweir/request/wait/wait.h"
#include "rattanweir/version/text_file/text_file.h"

#include <boost/asio/redirect_error.hpp>

#include <algorithm>
#include <csignal>
#include <exception>
#include <sstream>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr milliseconds kTickInterval{ 100 };
// A timer that runs this late is logged: the instance has more to do than its
// processor share allows.
constexpr milliseconds kNotableLateness{ 250 };
// An instance that reaches no peer becomes ready after this time: about three
// rounds of gossip with seeds that may be down.
constexpr milliseconds kPeerDiscoveryTimeout{ 1'500 };
// In a small fleet, the records of all members arrive within four rounds of
// gossip.
constexpr seconds kDiscoveryTime{ 2 };
constexpr seconds kSettingsCheckInterval{ 1 };
// Interval between evictions of removed servers from the views.
constexpr seconds kEvictionInterval{ 10 };
// Every instance reads the store for this time after its start, because it does
// not know its peers yet.
constexpr seconds kStartupStoreReadTime{ 3 };
// New requests are still served for this time after a stop signal: callers keep
// using a directory response for up to 3 s.
constexpr milliseconds kServeAfterStopSignal{ 3'200 };
// Reserved at the end of the shutdown timeout for responses that are cut: they
// are cancelled at its start and written until its middle. At most this
// fraction of the timeout.
constexpr milliseconds kShutdownMargin{ 500 };
constexpr int kShutdownMarginFraction = 8;
constexpr milliseconds kDrainPollInterval{ 20 };
// Backend servers are in the local region, a few milliseconds away; peers are
// in all regions.
constexpr milliseconds kBackendConnectTimeout{ 400 };
constexpr milliseconds kPeerConnectTimeout{ 600 };
// Detects a server or peer that stopped without closing its connections. A
// sound one may fall silent for a second or so, and may read nothing meanwhile.
// The timeout for unacknowledged bytes also decides when probes give up.
constexpr TcpLivenessOptions kKeepAlive{
  .m_unacknowledgedTimeout = milliseconds(2'500),
  .m_probeAfter = seconds(1),
  .m_probeInterval = seconds(1),
  .m_maxProbes = 2,
};
// Several instances share the connections that a backend server accepts.
constexpr std::size_t kMaxIdleConnectionsPerServer = 12;
// Below the known idle timeouts of backend servers.
constexpr seconds kBackendIdleTimeout{ 4 };
// Memory for all request bodies, out of about 200 MB for the process.
constexpr ByteCount kMaxTotalBodyBytes{ 64UL * 1024 * 1024 };
// Reserved for a body of unknown length; most of these are short.
constexpr ByteCount kUnknownLengthBodyBytes{ 64UL * 1024 };
// Fraction of the rate tolerance that an instance uses; the rest absorbs the
// delay with which instances learn of each other's usage.
constexpr double kToleranceFraction = 0.5;
constexpr unsigned kServiceUnavailable = 503;
constexpr const char* kMetricsContentType = "text/plain; version=0.0.4";

Incarnation
MakeIncarnation(const Clock& aClock)
{
  const auto sinceEpoch = aClock.WallNow().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
    duration_cast<milliseconds>(sinceEpoch).count()));
}

RetryLimits
MakeRetryLimits(const FleetSettings& aFleet)
{
  return { .m_ratio = aFleet.m_retryRatio,
           .m_extra = aFleet.m_retryExtra,
           .m_window = aFleet.m_retryWindow };
}

Tokens
RateTolerance(const FleetSettings& aFleet)
{
  return Tokens(static_cast<std::int64_t>(
    kToleranceFraction * static_cast<double>(aFleet.m_rateTolerance.Value())));
}

// Returns the value of a query parameter, or 0 if the parameter is missing.
// Throws RequestError if the value is not a non-negative integer.
Tokens
ParseTokens(const AdminQuery& aQuery, const std::string& aName)
{
  const auto text = aQuery.Find(aName);
  const auto number = ParseDecimal(text.value_or("0"));
  if (!number) {
    throw RequestError(ResultCode::MalformedRequest,
                       aName + ": expected a non-negative integer, got " +
                         *text,
                       Ran::No);
  }
  return Tokens(static_cast<std::int64_t>(*number));
}

// Returns the texts between the commas.
std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> texts;
  std::istringstream stream(aText);
  for (std::string text; std::getline(stream, text, ',');) {
    texts.push_back(std::move(text));
  }
  return texts;
}

} // namespace

FleetDaemon::FleetDaemon(const Settings& aSettings, std::string aSettingsPath)
  : m_settings(aSettings)
  , m_settingsPath(std::move(aSettingsPath))
  , m_clock(SystemClock())
  , m_startedAt(m_clock.SteadyNow())
  , m_random(RandomNumber())
  , m_periodicSteps(m_metrics)
  , m_fleet({ .m_clock = m_clock, .m_self = MakeSelf() })
  , m_registry({ .m_clock = m_clock,
                 .m_regionOfZone = m_settings.m_fleet->m_regionOfZone })
  , m_backends({ .m_clock = m_clock })
  , m_reach({ .m_clock = m_clock })
  , m_regions({ .m_clock = m_clock })
  , m_rates(
      { .m_clock = m_clock, .m_tolerance = RateTolerance(*m_settings.m_fleet) })
  , m_retries(
      { .m_clock = m_clock, .m_limits = MakeRetryLimits(*m_settings.m_fleet) })
  , m_rateLimiter({ .m_clock = m_clock })
  , m_serverLimits({ .m_clock = m_clock })
  , m_rooms({ .m_clock = m_clock, .m_random = m_random })
  , m_quarantine({ .m_clock = m_clock })
  , m_configLag({ .m_clock = m_clock })
  , m_serviceEnd({ .m_clock = m_clock })
  , m_silence({ .m_clock = m_clock })
  , m_queues(m_context.get_executor())
  , m_recordApplier({ .m_published = m_published,
                      .m_registry = m_registry,
                      .m_config = m_config,
                      .m_metrics = m_metrics,
                      .m_clock = m_clock })
  , m_backendUpstream({ .m_executor = m_context.get_executor(),
                        .m_clock = m_clock,
                        .m_connectTimeout = kBackendConnectTimeout,
                        .m_maxIdlePerEndpoint = kMaxIdleConnectionsPerServer,
                        .m_idleTimeout = kBackendIdleTimeout,
                        .m_acceptsCloseDelimitedResponses = true,
                        .m_tcpLiveness = kKeepAlive,
                        .m_onConnect =
                          [this](const Endpoint& aServer, bool aIsOpen) {
                            RecordConnection(m_state, aServer, aIsOpen);
                          } })
  , m_peerUpstream({ .m_executor = m_context.get_executor(),
                     .m_clock = m_clock,
                     .m_connectTimeout = kPeerConnectTimeout,
                     .m_tcpLiveness = kKeepAlive })
  , m_state(MakeState())
  , m_prober({ .m_executor = m_context.get_executor(),
               .m_reach = m_reach,
               .m_onProbed =
                 [this](const Endpoint& aServer, bool aIsReached) {
                   m_metrics.Count("rattanweir_server_probes_total");
                   RecordConnection(m_state, aServer, aIsReached);
                 },
               .m_connectTimeout = kBackendConnectTimeout })
  , m_gossip({ .m_executor = m_context.get_executor(),
               .m_clock = m_clock,
               .m_random = m_random,
               .m_upstream = m_peerUpstream,
               .m_fleet = m_fleet,
               .m_published = m_published,
               .m_metrics = m_metrics,
               .m_quarantine = &m_quarantine,
               .m_updateSelf = [this] { UpdateSelf(); } })
  , m_streamOrigins({ .m_executor = m_context.get_executor(),
                      .m_clock = m_clock,
                      .m_caller = m_gossip.Caller(),
                      .m_fleet = m_fleet,
                      .m_metrics = m_metrics,
                      .m_dispatcher = m_gossip.Dispatcher(),
                      .m_jsonDispatcher = m_gossip.JsonDispatcher() })
  , m_runDurations({ .m_executor = m_context.get_executor(),
                     .m_clock = m_clock,
                     .m_random = m_random,
                     .m_caller = m_gossip.Caller(),
                     .m_fleet = m_fleet,
                     .m_serviceEnd = m_serviceEnd,
                     .m_metrics = m_metrics,
                     .m_dispatcher = m_gossip.Dispatcher() })
  , m_storeReader({ .m_executor = m_context.get_executor(),
                    .m_clock = m_clock,
                    .m_random = m_random,
                    .m_store = m_settings.m_fleet->m_store,
                    .m_published = m_published,
                    .m_metrics = m_metrics,
                    .m_changeDeadline = m_settings.m_fleet->m_changeDeadline })
  , m_entryHandler(m_state)
  , m_peerHandler(
      m_state,
      [this](const std::string& aCall) { return m_gossip.HandleCall(aCall); })
  , m_callerServer(MakeCallerOptions())
  , m_peerServer(MakePeerOptions())
  , m_adminServer(MakeServerOptions(m_settings.m_adminAddress, m_adminRoutes))
  , m_directoryServer(MakeServerOptions(m_settings.m_fleet->m_directoryAddress,
                                        m_directoryRoutes))
  , m_readinessServer(MakeServerOptions(m_settings.m_fleet->m_readinessAddress,
                                        m_readinessRoutes))
  , m_stopSignals(m_context, SIGTERM, SIGINT)
  , m_reloadSignals(m_context, SIGHUP)
{
  m_fleet.SetSeeds(m_settings.m_fleet->m_seeds);
  m_config.OnAccepted(
    [this](const FleetConfig& aConfig) { ApplyConfig(aConfig); });
  RegisterPeriodicSteps();
  RegisterGauges();
  RegisterAdminRoutes();
  platform::RegisterDirectoryRoute(m_directoryRoutes, m_state);
  platform::RegisterReadinessRoute(m_readinessRoutes, [this] {
    const FleetMember& self = m_fleet.Self();
    return self.m_isReady && !self.m_isDraining;
  });
  Log(LogLevel::Info,
      "started",
      { { "instance", m_settings.m_instance.Value() },
        { "region", m_settings.m_region.Value() },
        { "zone", m_settings.m_zone.Value() },
        { "caller", m_callerServer.LocalEndpoint().ToString() },
        { "peer", m_peerServer.LocalEndpoint().ToString() },
        { "admin", m_adminServer.LocalEndpoint().ToString() },
        { "store", m_settings.m_fleet->m_store.ToString() } });
}

void
FleetDaemon::Run()
{
  for (HttpServer* server : { &m_callerServer,
                              &m_peerServer,
                              &m_adminServer,
                              &m_directoryServer,
                              &m_readinessServer }) {
    server->Start();
  }
  m_storeReader.Follow(TopicId(platform::kOperatorTopic));
  m_storeReader.Follow(TopicId(platform::kServersTopic));
  m_gossip.Start();
  m_streamOrigins.Start();
  Spawn(m_context, [this] { return TickUntilStopped(); });
  Spawn(m_context, [this] { return AwaitStopSignals(); });
  Spawn(m_context, [this] { return AwaitReloadSignals(); });
  m_context.run();
}

FleetMember
FleetDaemon::MakeSelf() const
{
  return { .m_id = m_settings.m_instance,
           .m_incarnation = MakeIncarnation(m_clock),
           .m_region = m_settings.m_region,
           .m_zone = m_settings.m_zone,
           .m_callerAddress = m_settings.m_callerAddress,
           .m_peerAddress = m_settings.m_peerAddress,
           .m_capacity = m_settings.m_fleet->m_capacity };
}

GatewayState
FleetDaemon::MakeState()
{
  return { .m_executor = m_context.get_executor(),
           .m_clock = m_clock,
           .m_random = m_random,
           .m_protocol = m_protocol,
           .m_config = m_config,
           .m_fleet = m_fleet,
           .m_registry = m_registry,
           .m_backends = m_backends,
           .m_reach = m_reach,
           .m_regions = m_regions,
           .m_parts = m_parts,
           .m_rates = m_rates,
           .m_retries = m_retries,
           .m_rateLimiter = m_rateLimiter,
           .m_serverLimits = m_serverLimits,
           .m_rooms = m_rooms,
           .m_quarantine = m_quarantine,
           .m_streamOrigins = m_streamOrigins,
           .m_serviceEnd = m_serviceEnd,
           .m_silence = m_silence,
           .m_queues = m_queues,
           .m_residencyConflicts = m_residencyConflicts,
           .m_performance = m_performance,
           .m_backlogs = m_backlogs,
           .m_arrivals = m_arrivals,
           .m_split = m_split,
           .m_metrics = m_metrics,
           .m_backendUpstream = m_backendUpstream,
           .m_peerUpstream = m_peerUpstream,
           .m_isDiscovering = true };
}

HttpServerOptions
FleetDaemon::MakeServerOptions(const Endpoint& aAddress,
                               RequestHandler& aHandler)
{
  return { .m_executor = m_context.get_executor(),
           .m_address = aAddress,
           .m_handler = aHandler,
           .m_limits = m_settings.m_callerLimits,
           .m_maxTotalBodyBytes = kMaxTotalBodyBytes,
           .m_clock = m_clock,
           .m_unknownLengthReservation = kUnknownLengthBodyBytes,
           .m_responses = { .m_addsRequestIdHeader = false,
                            .m_sendsErrorEvents = false } };
}

HttpServerOptions
FleetDaemon::MakeCallerOptions()
{
  HttpServerOptions options =
    MakeServerOptions(m_settings.m_callerAddress, m_entryHandler);
  options.m_responses.m_formatRefusal = [this](const RequestError& aError,
                                               const RequestId&) {
    return m_protocol.FormatRefusal(aError);
  };
  options.m_onError = [this](const RequestError& aError) {
    m_metrics.CountRefusal(aError.Code());
  };
  return options;
}

HttpServerOptions
FleetDaemon::MakePeerOptions()
{
  HttpServerOptions options =
    MakeServerOptions(m_settings.m_peerAddress, m_peerHandler);
  options.m_responses.m_formatRefusal = [](const RequestError& aError,
                                           const RequestId&) {
    return FormatRefusalForPeer(aError);
  };
  options.m_onError = [this](const RequestError&) {
    m_metrics.Count("rattanweir_peer_refusals_total");
  };
  return options;
}

void
FleetDaemon::RegisterGauges()
{
  m_metrics.SetGauge("rattanweir_requests_in_flight", [this] {
    return static_cast<double>(m_state.m_inFlight);
  });
  m_metrics.SetGauge("rattanweir_caller_connections", [this] {
    return static_cast<double>(m_callerServer.Connections());
  });
  m_metrics.SetGauge("rattanweir_fleet_members_live", [this] {
    return static_cast<double>(m_fleet.LivePeers().size() + 1);
  });
  m_metrics.SetGauge("rattanweir_backend_servers",
                     [this] { return static_cast<double>(m_registry.Size()); });
  m_metrics.SetGauge("rattanweir_store_in_touch", [this] {
    return m_storeReader.IsStoreReachable() ? 1.0 : 0.0;
  });
  m_metrics.SetGauge("rattanweir_store_silence_seconds", [this] {
    const auto silence = m_storeReader.Silence().value_or(nanoseconds::zero());
    return std::chrono::duration<double>(silence).count();
  });
  m_metrics.SetGauge("rattanweir_servers_unreachable", [this] {
    return static_cast<double>(m_reach.CountUnreachable());
  });
  m_metrics.SetGauge("rattanweir_links_lost",
                     [this] { return m_reach.HasLostLinks() ? 1.0 : 0.0; });
  m_metrics.SetGauge("rattanweir_ready",
                     [this] { return m_fleet.Self().m_isReady ? 1.0 : 0.0; });
  RegisterQuarantineGauges(SuspectKind::PromptPart,
                           "rattanweir_quarantined_parts",
                           "rattanweir_parts_with_evidence");
  RegisterQuarantineGauges(SuspectKind::Request,
                           "rattanweir_quarantined_requests",
                           "rattanweir_requests_with_evidence");
  m_metrics.SetGauge("rattanweir_stream_origins", [this] {
    return static_cast<double>(m_streamOrigins.Size());
  });
  m_metrics.SetGauge("rattanweir_config_version", [this] {
    const FleetConfigPtr config = m_config.InForce();
    return config ? static_cast<double>(config->Version().Value()) : 0.0;
  });
}

void
FleetDaemon::RegisterQuarantineGauges(SuspectKind aKind,
                                      const char* aQuarantined,
                                      const char* aWithEvidence)
{
  m_metrics.SetGauge(aQuarantined, [this, aKind] {
    return static_cast<double>(m_quarantine.CountQuarantined(aKind));
  });
  m_metrics.SetGauge(aWithEvidence, [this, aKind] {
    return static_cast<double>(m_quarantine.CountWithEvidence(aKind));
  });
}

void
FleetDaemon::RegisterAdminRoutes()
{
  m_adminRoutes.Register("GET", "/metrics", [this](const AdminQuery&) {
    return AdminResponse{ .m_contentType = kMetricsContentType,
                          .m_body = m_metrics.Exposition() };
  });
  m_adminRoutes.Register("GET", "/status", [this](const AdminQuery&) {
    return AdminResponse{ .m_body = JsonText(GatewayStatus(
                            m_state, m_storeReader.IsStoreReachable())) };
  });
  m_adminRoutes.Register("GET", "/explain", [this](const AdminQuery& aQuery) {
    const ExplainQuery query{
      .m_host = aQuery.Require("host"),
      .m_path = aQuery.Require("path"),
      .m_clientAccount =
        ClientAccountId(aQuery.Find("client_account").value_or("")),
      .m_promptTokens = ParseTokens(aQuery, "prompt_tokens"),
      .m_promptParts = SplitList(aQuery.Find("prompt_parts").value_or("")),
      .m_method = aQuery.Find("method").value_or("GET"),
      .m_body = aQuery.Find("body").value_or(""),
    };
    return AdminResponse{ .m_body = JsonText(ExplainRequest(m_state, query)) };
  });
  m_adminRoutes.Register("GET", "/livez", [](const AdminQuery&) {
    return AdminResponse{ .m_body = R"({"live":true})" };
  });
  m_adminRoutes.Register("GET", "/readyz", [this](const AdminQuery&) {
    const FleetMember& self = m_fleet.Self();
    const bool isReady = self.m_isReady && !self.m_isDraining;
    return AdminResponse{ .m_status = isReady ? 200 : kServiceUnavailable,
                          .m_body = isReady ? R"({"ready":true})"
                                            : R"({"ready":false})" };
  });
}

void
FleetDaemon::ApplyConfig(const FleetConfig& aConfig)
{
  m_rates.Configure(aConfig);
  m_serviceEnd.Configure(aConfig.Routes());
  CallerLimits limits = m_settings.m_callerLimits;
  limits.m_headerBytes = aConfig.Limits().m_headerBytes;
  limits.m_bodyBytes = aConfig.Limits().m_bodyBytes;
  limits.m_idleTimeout = aConfig.Limits().m_idleTimeout;
  m_callerServer.SetLimits(limits);
  UpdateReadiness();
}

void
FleetDaemon::UpdateSelf()
{
  FleetMember& self = m_fleet.Self();
  self.m_usages = m_rates.LocalUsages();
  self.m_serverLimits = m_serverLimits.ToAdvertise();
  self.m_maxRefusals = m_rooms.StatementsToAdvertise();
  self.m_refusedRooms = m_rooms.RefusalsToAdvertise();
  self.m_drainingServers = m_registry.DrainingToAdvertise();
  self.m_refusingServers = m_registry.RefusalsToAdvertise();
  self.m_readsStore = m_storeReader.IsStoreReachable();
  AdvertiseTopics(m_published, self);
  const FleetConfigPtr config = m_config.InForce();
  if (!config) {
    return;
  }
  self.m_configVersion = config->Version();
  self.m_pools.clear();
  for (const Pool& pool : config->Pools()) {
    if (const auto delay =
          EstimateLocalStartDelay(m_state, *config, pool.m_id)) {
      self.m_pools[pool.m_id] = { .m_startDelay = *delay,
                                  .m_demand =
                                    DemandToAdvertise(m_state, pool.m_id) };
    }
  }
}

// Tells peers at once when this instance loses or regains servers.
void
FleetDaemon::AnnounceReach()
{
  std::set<PoolId> unreachable = UnreachablePools(m_state);
  if (unreachable != m_fleet.Self().m_unreachablePools) {
    m_fleet.Self().m_unreachablePools = std::move(unreachable);
    m_gossip.Announce();
  }
}

// Applies the usage advertised by peers to the account rates, and the fleet
// size to the retry budget.
void
FleetDaemon::ApplyPeerUsages()
{
  std::vector<PeerUsage> usages;
  for (const FleetMember* member : m_fleet.PossiblyRunning()) {
    usages.push_back({ .m_id = member->m_id,
                       .m_incarnation = member->m_incarnation,
                       .m_sequence = member->m_sequence,
                       .m_usages = member->m_usages });
  }
  m_rates.SetPeers(usages);
  m_retries.SetFleetSize(m_fleet.FleetSize());
}

// Applies what the peers of the region know of the limits of its servers.
void
FleetDaemon::ApplyPeerLimits()
{
  for (const FleetMember* peer : m_fleet.LivePeersIn(m_fleet.Self().m_region)) {
    for (const auto& [server, limit] : peer->m_serverLimits) {
      if (m_registry.Find(server) != nullptr &&
          m_serverLimits.Merge(server, limit)) {
        Log(LogLevel::Info,
            "server_limit_from_peer",
            { { "server", server.Value() },
              { "peer", peer->m_id.Value() },
              { "per_second",
                limit.m_rate ? std::to_string(limit.m_rate->Value())
                             : "none" } });
      }
    }
  }
}

// Applies what peers say about the room at servers, and tells them at once of a
// new refusal.
void
FleetDaemon::ExchangeRooms()
{
  MergeRoomsOfPeers(m_state);
  std::map<BackendServerId, RefusedRoom> refused =
    m_rooms.RefusalsToAdvertise();
  const bool hasNews = std::ranges::any_of(refused, [&](const auto& aEntry) {
    const auto announced = m_announcedRooms.find(aEntry.first);
    return announced == m_announcedRooms.end() ||
           announced->second != aEntry.second;
  });
  m_announcedRooms = std::move(refused);
  if (hasNews) {
    m_gossip.Announce();
  }
}

// Applies which servers have refused connections to peers, and tells them at
// once of those that have refused one to this instance.
void
FleetDaemon::ExchangeRefusals()
{
  MergeRefusalsOfPeers(m_state);
  std::set<BackendServerId> refusing = m_registry.RefusalsToAdvertise();
  const bool hasNews = !std::ranges::includes(m_announcedRefusals, refusing);
  m_announcedRefusals = std::move(refusing);
  if (hasNews) {
    m_gossip.Announce();
  }
}

// Records the servers that have reported themselves draining to peers.
void
FleetDaemon::ApplyPeerDraining()
{
  for (const FleetMember* peer : m_fleet.LivePeers()) {
    for (const BackendServerId& server : peer->m_drainingServers) {
      MarkDraining(m_state, server, peer->m_id.Value());
    }
  }
}

// Evicts servers that are no longer registered from the views, which keep one
// entry per incarnation of a server.
void
FleetDaemon::EvictRemovedServers()
{
  const SteadyTime now = m_clock.SteadyNow();
  if (now - m_lastEvictionAt < kEvictionInterval) {
    return;
  }
  m_lastEvictionAt = now;
  const std::set<BackendServerId> known = m_registry.Incarnations();
  m_backends.KeepOnly(known);
  m_parts.KeepOnly(known);
  m_rateLimiter.KeepOnly(m_registry.Ids());
  m_serverLimits.KeepOnly(known);
  m_rooms.KeepOnly(known);
  m_performance.KeepOnly(known);
  m_quarantine.KeepOnly(known);
}

// Forgets outdated evidence, tells peers what is new and logs changes.
void
FleetDaemon::UpdateQuarantine()
{
  m_quarantine.Tick([this](const std::string& aSoftware) {
    return m_registry.IsSoftwareRunning(aSoftware);
  });
  if (m_quarantine.TakeNews()) {
    m_gossip.SpreadQuarantine();
  }
  std::set<Suspect> suspects;
  for (const QuarantinedGroup& group : m_quarantine.Groups()) {
    for (const Suspect& suspect : group.m_suspects) {
      suspects.insert(suspect);
      if (m_quarantined.contains(suspect)) {
        continue;
      }
      Log(LogLevel::Warning,
          "quarantined",
          { { "kind", std::string(KindText(suspect.m_kind)) },
            { "key", SuspectText(suspect) },
            { "servers", std::to_string(group.m_servers.size()) },
            { "last", group.m_servers.rbegin()->Value() } });
    }
  }
  for (const Suspect& suspect : m_quarantined) {
    if (!suspects.contains(suspect)) {
      Log(LogLevel::Warning,
          "quarantine_released",
          { { "kind", std::string(KindText(suspect.m_kind)) },
            { "key", SuspectText(suspect) } });
    }
  }
  m_quarantined = std::move(suspects);
}

// Enables reading from the store at start and if the instance is one of the few
// readers of its region. Announces new versions of topics to peers.
void
FleetDaemon::UpdateStoreReading()
{
  const SteadyTime now = m_clock.SteadyNow();
  if (m_fleet.ShouldReadStore() || now - m_startedAt < kStartupStoreReadTime) {
    m_storeReader.SetReadingEnabled(true);
  } else {
    m_storeReader.SetReadingEnabled(false);
  }
  const FleetConfigPtr config = m_config.InForce();
  if (m_configLag.ShouldReadAgain(config ? config->Version() : SectionVersion(),
                                  m_fleet.NewestConfigOfPeers())) {
    m_storeReader.ReadAgain(TopicId(platform::kOperatorTopic));
  }
  const auto versions = m_published.Versions();
  if (m_storeReader.IsStoreReachable() && versions != m_announcedVersions) {
    m_announcedVersions = versions;
    m_gossip.Announce();
  }
}

void
FleetDaemon::UpdateReadiness()
{
  FleetMember& self = m_fleet.Self();
  const auto age = m_clock.SteadyNow() - m_startedAt;
  const bool hasFinishedPeerDiscovery =
    m_gossip.HasExchangedWithPeer() || age >= kPeerDiscoveryTimeout;
  const bool knowsServers =
    m_published.Find(TopicId(platform::kServersTopic)) != nullptr;
  m_state.m_isDiscovering = !knowsServers || age < kDiscoveryTime;
  if (self.m_isReady || !m_config.InForce() || !knowsServers ||
      !hasFinishedPeerDiscovery) {
    return;
  }
  self.m_isReady = true;
  Log(LogLevel::Info,
      "ready",
      { { "config", std::to_string(m_config.InForce()->Version().Value()) },
        { "members", std::to_string(m_fleet.LivePeers().size() + 1) },
        { "servers", std::to_string(m_registry.Size()) } });
  m_gossip.Announce();
}

void
FleetDaemon::RegisterPeriodicSteps()
{
  const auto add = [this](const char* aName, void (FleetDaemon::*aStep)()) {
    m_periodicSteps.Add(aName, [this, aStep] { (this->*aStep)(); });
  };
  m_periodicSteps.Add("tick_registry", [this] { m_registry.Tick(); });
  m_periodicSteps.Add("probe_servers",
                      [this] { m_prober.Step(ServersToReach(m_state)); });
  add("announce_reach", &FleetDaemon::AnnounceReach);
  m_periodicSteps.Add("apply_records", [this] { m_recordApplier.Tick(); });
  add("evict_servers", &FleetDaemon::EvictRemovedServers);
  add("apply_usages", &FleetDaemon::ApplyPeerUsages);
  add("apply_limits", &FleetDaemon::ApplyPeerLimits);
  add("exchange_rooms", &FleetDaemon::ExchangeRooms);
  add("apply_draining", &FleetDaemon::ApplyPeerDraining);
  add("exchange_refusals", &FleetDaemon::ExchangeRefusals);
  add("update_quarantine", &FleetDaemon::UpdateQuarantine);
  add("update_store_reading", &FleetDaemon::UpdateStoreReading);
  add("update_readiness", &FleetDaemon::UpdateReadiness);
  m_periodicSteps.Add("reload_settings", [this] {
    if (HasSettingsChanged()) {
      ReloadSettings("the file changed");
    }
  });
}

Task<void>
FleetDaemon::TickUntilStopped()
{
  CancelSource never;
  while (!m_isStopped) {
    m_periodicSteps.RunAll();
    const SteadyTime due = m_clock.SteadyNow() + kTickInterval;
    co_await WaitFor(m_context.get_executor(), kTickInterval, never);
    RecordLateness(m_clock.SteadyNow() - due);
  }
}

// Records how late a timer ran. Requests and closed connections wait as long to
// be noticed.
void
FleetDaemon::RecordLateness(nanoseconds aLateness)
{
  m_metrics.Observe("rattanweir_timer_lateness_seconds",
                    std::max(aLateness, nanoseconds::zero()));
  if (aLateness >= kNotableLateness) {
    Log(LogLevel::Warning,
        "instance_late",
        { { "late_ms",
            std::to_string(duration_cast<milliseconds>(aLateness).count()) },
          { "in_flight", std::to_string(m_state.m_inFlight) } });
  }
}

bool
FleetDaemon::HasSettingsChanged()
{
  const SteadyTime now = m_clock.SteadyNow();
  if (now - m_lastSettingsCheckAt < kSettingsCheckInterval) {
    return false;
  }
  m_lastSettingsCheckAt = now;
  try {
    const std::string text = ReadTextFile(m_settingsPath).m_text;
    const bool isFirst = m_settingsText.empty();
    if (text == m_settingsText) {
      return false;
    }
    m_settingsText = text;
    return !isFirst;
  } catch (const TextFileError& error) {
    Log(
      LogLevel::Warning, "settings_unreadable", { { "detail", error.what() } });
    return false;
  }
}

// Applies the settings that can change at run time: seeds, shutdown timeout and
// log.
void
FleetDaemon::ReloadSettings(const char* aReason)
{
  try {
    const Settings settings = LoadSettings(m_settingsPath);
    if (!settings.m_fleet) {
      Log(LogLevel::Warning,
          "settings_rejected",
          { { "detail", "fleet: is missing" } });
      return;
    }
    m_settings.m_fleet->m_seeds = settings.m_fleet->m_seeds;
    m_settings.m_shutdownTimeout = settings.m_shutdownTimeout;
    m_fleet.SetSeeds(settings.m_fleet->m_seeds);
    ConfigureLog(settings.m_log);
    Log(LogLevel::Info,
        "settings_reloaded",
        { { "why", aReason },
          { "seeds", std::to_string(settings.m_fleet->m_seeds.size()) } });
  } catch (const SettingsError& error) {
    for (const SectionFault& fault : error.Faults()) {
      Log(LogLevel::Warning,
          "settings_rejected",
          { { "detail", fault.ToString() } });
    }
  }
}

Task<void>
FleetDaemon::AwaitReloadSignals()
{
  while (!m_isStopped) {
    boost::system::error_code error;
    co_await m_reloadSignals.async_wait(
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    ReloadSettings("SIGHUP");
  }
}

Task<void>
FleetDaemon::AwaitStopSignals()
{
  boost::system::error_code error;
  co_await m_stopSignals.async_wait(
    asio::redirect_error(asio::use_awaitable, error));
  if (!error) {
    Spawn(m_context, [this] { return ShutDown(); });
  }
}

Task<void>
FleetDaemon::ShutDown()
{
  CancelSource never;
  const nanoseconds timeout = m_settings.m_shutdownTimeout;
  const nanoseconds margin =
    std::min<nanoseconds>(kShutdownMargin, timeout / kShutdownMarginFraction);
  const SteadyTime end = m_clock.SteadyNow() + timeout - margin;
  m_fleet.Self().m_isDraining = true;
  m_serviceEnd.Announce(end);
  m_runDurations.AskPeers();
  Log(LogLevel::Info,
      "draining",
      { { "in_flight", std::to_string(m_state.m_inFlight) } });
  m_gossip.Announce();
  m_callerServer.CloseAfterResponses();
  co_await WaitFor(m_context.get_executor(),
                   std::min<nanoseconds>(kServeAfterStopSignal,
                                         (end - m_clock.SteadyNow()) / 2),
                   never);
  m_callerServer.Drain();
  m_callerServer.HandOverResponses();
  m_peerServer.HandOverResponses();
  const auto isDone = [this] {
    return m_callerServer.IsDone() && m_peerServer.UnansweredRequests() == 0 &&
           m_state.m_inFlight == 0;
  };
  while (!isDone() && m_clock.SteadyNow() < end) {
    co_await WaitFor(m_context.get_executor(), kDrainPollInterval, never);
  }
  co_await CutRequests(end + margin / 2);
  AbortAll();
  Log(LogLevel::Info,
      "stopped",
      { { "in_flight", std::to_string(m_state.m_inFlight) } });
  m_isStopped = true;
  m_context.stop();
}

// Cancels the requests in progress and waits until their callers have been
// answered, at most until `aEnd`.
Task<void>
FleetDaemon::CutRequests(SteadyTime aEnd)
{
  const auto unanswered = [this] {
    return m_callerServer.UnansweredRequests() +
           m_peerServer.UnansweredRequests();
  };
  if (unanswered() == 0) {
    co_return;
  }
  Log(LogLevel::Warning,
      "requests_cut",
      { { "in_flight", std::to_string(m_state.m_inFlight) },
        { "unanswered", std::to_string(unanswered()) } });
  m_callerServer.CancelRequests();
  m_peerServer.CancelRequests();
  CancelSource never;
  while (unanswered() > 0 && m_clock.SteadyNow() < aEnd) {
    co_await WaitFor(m_context.get_executor(), kDrainPollInterval, never);
  }
}

void
FleetDaemon::AbortAll()
{
  m_storeReader.Stop();
  m_gossip.Stop();
  m_streamOrigins.Stop();
  for (HttpServer* server : { &m_callerServer,
                              &m_peerServer,
                              &m_adminServer,
                              &m_directoryServer,
                              &m_readinessServer }) {
    server->Abort();
  }
}

} // namespace rattanweir
