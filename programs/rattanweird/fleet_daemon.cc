#include "programs/rattanweird/fleet_daemon.h"

#include "platform/directory/directory.h"

#include "rattanweir/base/asio/spawn.h"
#include "rattanweir/base/json/json.h"
#include "rattanweir/process/logging/log.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/gateway/gateway_report.h"
#include "rattanweir/request/gateway/server_choices.h"
#include "rattanweir/request/wait/wait.h"
#include "rattanweir/version/text_file/text_file.h"

#include <boost/asio/redirect_error.hpp>

#include <csignal>
#include <exception>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr milliseconds kTickInterval{ 100 };
// An instance that meets nobody goes on alone after this: about three rounds
// of gossip with seeds that may be down.
constexpr milliseconds kAloneAfter{ 1'500 };
// The rows of all members of a small fleet come within four rounds of gossip.
constexpr seconds kLearnTime{ 2 };
constexpr seconds kSettingsCheckInterval{ 1 };
// Between two rounds of forgetting servers that are gone.
constexpr seconds kForgetInterval{ 10 };
// Every instance reads the store itself for this long after its start, until
// it knows its peers.
constexpr seconds kReadAtStart{ 3 };
// After SIGTERM new requests are still served for this long, since callers
// keep what the directory said for up to 3 s.
constexpr milliseconds kServeAfterStop{ 3'200 };
// Kept free at the end of the time that a stop may take.
constexpr milliseconds kStopMargin{ 500 };
constexpr milliseconds kDrainPoll{ 20 };
// Connects to a backend server of the own region, a few milliseconds away,
// and to peers of all regions.
constexpr milliseconds kBackendConnectTimeout{ 400 };
constexpr milliseconds kPeerConnectTimeout{ 600 };
// A server or peer that is gone without a word.
constexpr TcpLivenessOptions kSilence{
  .m_unacknowledgedTimeout = milliseconds(1'500),
  .m_probeAfter = seconds(1),
  .m_probeInterval = seconds(1),
  .m_maxProbes = 2,
};
// Connections kept open to one backend server: several instances share what
// it accepts.
constexpr std::size_t kIdlePerServer = 12;
// Below the idle timeout of backend servers, as far as it is known.
constexpr seconds kIdleAtServer{ 4 };
// Memory for the bodies of all requests, out of about 200 MB.
constexpr ByteCount kBodyBytesInAll{ 64UL * 1024 * 1024 };
// Most bodies of unknown length are short.
constexpr ByteCount kUnknownBodyBytes{ 64UL * 1024 };
// Part of the tokens that may be admitted beyond the rate that is used: the
// instances' views of each other are old by a moment.
constexpr double kToleranceUsed = 0.5;
constexpr unsigned kServiceUnavailable = 503;
constexpr const char* kPlainText = "text/plain; version=0.0.4";

Incarnation
IncarnationOf(const Clock& aClock)
{
  const auto sinceEpoch = aClock.WallNow().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
    duration_cast<milliseconds>(sinceEpoch).count()));
}

RetryLimits
RetryLimitsOf(const FleetSettings& aFleet)
{
  return { .m_ratio = aFleet.m_retryRatio,
           .m_extra = aFleet.m_retryExtra,
           .m_window = aFleet.m_retryWindow };
}

Tokens
ToleranceOf(const FleetSettings& aFleet)
{
  return Tokens(static_cast<std::int64_t>(
    kToleranceUsed * static_cast<double>(aFleet.m_rateTolerance.Value())));
}

// A parameter that is a whole number; 0 without it.
Tokens
TokensIn(const AdminQuery& aQuery, const std::string& aName)
{
  const auto text = aQuery.Find(aName);
  const auto number = ParseDecimal(text.value_or("0"));
  if (!number) {
    throw RequestError(ResultCode::MalformedRequest,
                       aName + ": expected a whole number, not " + *text,
                       Ran::No);
  }
  return Tokens(static_cast<std::int64_t>(*number));
}

} // namespace

FleetDaemon::FleetDaemon(const Settings& aSettings, std::string aSettingsPath)
  : m_settings(aSettings)
  , m_settingsPath(std::move(aSettingsPath))
  , m_clock(SystemClock())
  , m_startedAt(m_clock.SteadyNow())
  , m_random(RandomNumber())
  , m_fleet({ .m_clock = m_clock, .m_self = MakeSelf() })
  , m_registry({ .m_clock = m_clock,
                 .m_regionOfZone = m_settings.m_fleet->m_regionOfZone })
  , m_backends({ .m_clock = m_clock })
  , m_regions({ .m_clock = m_clock })
  , m_rates(
      { .m_clock = m_clock, .m_tolerance = ToleranceOf(*m_settings.m_fleet) })
  , m_retries(
      { .m_clock = m_clock, .m_limits = RetryLimitsOf(*m_settings.m_fleet) })
  , m_coldLimiter({ .m_clock = m_clock })
  , m_queues(m_context.get_executor())
  , m_feed({ .m_published = m_published,
             .m_registry = m_registry,
             .m_config = m_config,
             .m_metrics = m_metrics })
  , m_backendUpstream({ .m_executor = m_context.get_executor(),
                        .m_clock = m_clock,
                        .m_connectTimeout = kBackendConnectTimeout,
                        .m_maxIdlePerEndpoint = kIdlePerServer,
                        .m_idleTimeout = kIdleAtServer,
                        .m_acceptsCloseDelimitedResponses = true,
                        .m_tcpLiveness = kSilence })
  , m_peerUpstream({ .m_executor = m_context.get_executor(),
                     .m_clock = m_clock,
                     .m_connectTimeout = kPeerConnectTimeout,
                     .m_tcpLiveness = kSilence })
  , m_state(MakeState())
  , m_gossip({ .m_executor = m_context.get_executor(),
               .m_clock = m_clock,
               .m_random = m_random,
               .m_upstream = m_peerUpstream,
               .m_fleet = m_fleet,
               .m_published = m_published,
               .m_metrics = m_metrics,
               .m_updateSelf = [this] { UpdateSelf(); } })
  , m_store({ .m_executor = m_context.get_executor(),
              .m_clock = m_clock,
              .m_random = m_random,
              .m_store = m_settings.m_fleet->m_store,
              .m_published = m_published,
              .m_metrics = m_metrics })
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
  RegisterGauges();
  RegisterAdminRoutes();
  platform::ServeDirectory(m_directoryRoutes, m_state);
  platform::ServeReadiness(m_readinessRoutes, [this] {
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
  m_store.Follow(TopicId(platform::kOperatorTopic));
  m_store.Follow(TopicId(platform::kServersTopic));
  m_gossip.Start();
  Spawn(m_context, [this] { return TickUntilStopped(); });
  Spawn(m_context, [this] { return AwaitStopSignals(); });
  Spawn(m_context, [this] { return AwaitReloadSignals(); });
  m_context.run();
}

FleetMember
FleetDaemon::MakeSelf() const
{
  return { .m_id = m_settings.m_instance,
           .m_incarnation = IncarnationOf(m_clock),
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
           .m_regions = m_regions,
           .m_parts = m_parts,
           .m_rates = m_rates,
           .m_retries = m_retries,
           .m_coldLimiter = m_coldLimiter,
           .m_queues = m_queues,
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
           .m_maxTotalBodyBytes = kBodyBytesInAll,
           .m_clock = m_clock,
           .m_unknownLengthReservation = kUnknownBodyBytes,
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
  m_metrics.SetGauge("rattanweir_store_in_touch",
                     [this] { return m_store.IsStoreReachable() ? 1.0 : 0.0; });
  m_metrics.SetGauge("rattanweir_ready",
                     [this] { return m_fleet.Self().m_isReady ? 1.0 : 0.0; });
  m_metrics.SetGauge("rattanweir_config_version", [this] {
    const FleetConfigPtr config = m_config.InForce();
    return config ? static_cast<double>(config->Version().Value()) : 0.0;
  });
}

void
FleetDaemon::RegisterAdminRoutes()
{
  m_adminRoutes.Register("GET", "/metrics", [this](const AdminQuery&) {
    return AdminResponse{ .m_contentType = kPlainText,
                          .m_body = m_metrics.Exposition() };
  });
  m_adminRoutes.Register("GET", "/status", [this](const AdminQuery&) {
    return AdminResponse{ .m_body = JsonText(GatewayStatus(
                            m_state, m_store.IsStoreReachable())) };
  });
  m_adminRoutes.Register("GET", "/explain", [this](const AdminQuery& aQuery) {
    const ExplainQuery query{
      .m_host = aQuery.Require("host"),
      .m_path = aQuery.Require("path"),
      .m_clientAccount =
        ClientAccountId(aQuery.Find("client_account").value_or("")),
      .m_promptTokens = TokensIn(aQuery, "prompt_tokens"),
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
  self.m_readsStore = m_store.IsStoreReachable();
  self.m_publishedRevisions.clear();
  for (const auto& [topic, revision] : m_published.Revisions()) {
    self.m_publishedRevisions.emplace(topic.Value(), revision);
  }
  const FleetConfigPtr config = m_config.InForce();
  if (!config) {
    return;
  }
  self.m_configVersion = config->Version();
  self.m_pools.clear();
  for (const Pool& pool : config->Pools()) {
    if (const auto delay =
          EstimateLocalStartDelay(m_state, *config, pool.m_id)) {
      self.m_pools[pool.m_id].m_startDelay = *delay;
    }
  }
}

// Brings what the fleet shares up to date with what the others told.
void
FleetDaemon::UpdateShares()
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

// The views of servers keep one entry for each incarnation that was used.
void
FleetDaemon::ForgetGoneServers()
{
  const SteadyTime now = m_clock.SteadyNow();
  if (now - m_forgotAt < kForgetInterval) {
    return;
  }
  m_forgotAt = now;
  const std::set<BackendServerId> known = m_registry.Incarnations();
  m_backends.KeepOnly(known);
  m_parts.KeepOnly(known);
  m_coldLimiter.KeepOnly(known);
}

// Leaves the store to a few members of the region once those are known.
void
FleetDaemon::UpdateReading()
{
  const SteadyTime now = m_clock.SteadyNow();
  if (m_fleet.ShouldReadStore() || now - m_startedAt < kReadAtStart) {
    m_store.SetReading(true);
  } else {
    m_store.SetReading(false);
  }
  const auto revisions = m_published.Revisions();
  if (m_store.IsStoreReachable() && revisions != m_toldRevisions) {
    m_toldRevisions = revisions;
    m_gossip.Announce();
  }
}

void
FleetDaemon::UpdateReadiness()
{
  FleetMember& self = m_fleet.Self();
  const auto age = m_clock.SteadyNow() - m_startedAt;
  const bool hasMet = m_gossip.HasExchangedWithPeer() || age >= kAloneAfter;
  const bool knowsServers =
    m_published.Find(TopicId(platform::kServersTopic)) != nullptr;
  m_state.m_isDiscovering = !knowsServers || age < kLearnTime;
  if (self.m_isReady || !m_config.InForce() || !knowsServers || !hasMet) {
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

Task<void>
FleetDaemon::TickUntilStopped()
{
  CancelSource never;
  while (!m_isStopped) {
    m_registry.Tick();
    ForgetGoneServers();
    UpdateShares();
    UpdateReading();
    UpdateReadiness();
    if (HasSettingsChanged()) {
      ReloadSettings("the file changed");
    }
    co_await WaitFor(m_context.get_executor(), kTickInterval, never);
  }
}

bool
FleetDaemon::HasSettingsChanged()
{
  const SteadyTime now = m_clock.SteadyNow();
  if (now - m_settingsCheckedAt < kSettingsCheckInterval) {
    return false;
  }
  m_settingsCheckedAt = now;
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

// Takes over what can change while the process runs.
void
FleetDaemon::ReloadSettings(const char* aWhy)
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
        { { "why", aWhy },
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
  const SteadyTime end =
    m_clock.SteadyNow() + m_settings.m_shutdownTimeout - kStopMargin;
  m_fleet.Self().m_isDraining = true;
  Log(LogLevel::Info,
      "draining",
      { { "in_flight", std::to_string(m_state.m_inFlight) } });
  m_gossip.Announce();
  m_callerServer.CloseAfterResponses();
  co_await WaitFor(
    m_context.get_executor(),
    std::min<nanoseconds>(kServeAfterStop, (end - m_clock.SteadyNow()) / 2),
    never);
  m_callerServer.Drain();
  while (m_callerServer.Connections() + m_state.m_inFlight > 0 &&
         m_clock.SteadyNow() < end) {
    co_await WaitFor(m_context.get_executor(), kDrainPoll, never);
  }
  AbortAll();
  Log(LogLevel::Info,
      "stopped",
      { { "in_flight", std::to_string(m_state.m_inFlight) } });
  m_isStopped = true;
  m_context.stop();
}

void
FleetDaemon::AbortAll()
{
  m_store.Stop();
  m_gossip.Stop();
  for (HttpServer* server : { &m_callerServer,
                              &m_peerServer,
                              &m_adminServer,
                              &m_directoryServer,
                              &m_readinessServer }) {
    server->Abort();
  }
}

} // namespace rattanweir
