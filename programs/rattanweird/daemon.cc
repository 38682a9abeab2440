#include "programs/rattanweird/daemon.h"

#include "rattanweir/base/asio/spawn.h"
#include "rattanweir/process/logging/log.h"
#include "rattanweir/request/pipeline/entry_responses.h"
#include "rattanweir/request/wait/wait.h"

#include <boost/asio/redirect_error.hpp>

#include <csignal>
#include <exception>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval(100);
constexpr milliseconds kKeyedRunsPollInterval(20);
// Max time that admin requests may delay the end of the process.
constexpr milliseconds kAdminDrainTimeout(2'000);
constexpr unsigned kServiceUnavailable = 503;
constexpr const char* kMetricsContentType = "text/plain; version=0.0.4";

} // namespace

Daemon::Daemon(const Settings& aSettings)
  : m_settings(aSettings)
  , m_clock(SystemClock())
  , m_startedAt(m_clock.SteadyNow())
  , m_incarnation(RandomNumber())
  , m_random(RandomNumber())
  , m_membership({ .m_clock = m_clock, .m_self = m_settings.m_instance })
  , m_rateOptions{ .m_clock = m_clock,
                   .m_self = m_settings.m_instance,
                   .m_incarnation = m_incarnation }
  , m_rates(m_rateOptions)
  , m_idempotencyLedger({ .m_clock = m_clock,
                          .m_self = m_settings.m_instance,
                          .m_incarnation = m_incarnation })
  , m_backends({ .m_clock = m_clock })
  , m_prefixes({ .m_clock = m_clock })
  , m_retryBudget({})
  , m_rateQueue({ .m_executor = m_context.get_executor(),
                  .m_clock = m_clock,
                  .m_rates = m_rates })
  , m_upstream({ .m_executor = m_context.get_executor() })
  , m_control(MakeControlOptions())
  , m_serving(MakeServingContext())
  , m_keyedRuns(m_serving)
  , m_entryHandler(m_serving, m_keyedRuns)
  , m_peerHandler({ .m_serving = m_serving,
                    .m_keyedRuns = m_keyedRuns,
                    .m_control =
                      [this](const std::string& aCall) {
                        return m_control.HandleCall(aCall);
                      } })
  , m_report(m_serving, m_incarnation, m_keyedRuns)
  , m_callerServer(MakeCallerOptions())
  , m_peerServer(MakePeerOptions())
  , m_adminServer(MakeAdminOptions())
  , m_platform(m_settings.m_platform,
               { .m_executor = m_context.get_executor(),
                 .m_catalog = m_catalog,
                 .m_membership = m_membership,
                 .m_metrics = m_metrics })
  , m_signals(m_context, SIGTERM, SIGINT)
{
  m_serving.m_callerAddress = m_callerServer.LocalEndpoint();
  m_catalog.OnAccepted(
    [this](SectionKind aKind) { ApplyAcceptedSection(aKind); });
  RegisterGauges();
  RegisterAdminRoutes();
  Log(LogLevel::Info,
      "listening",
      { { "instance", m_settings.m_instance.Value() },
        { "caller", m_callerServer.LocalEndpoint().ToString() },
        { "peer", m_peerServer.LocalEndpoint().ToString() },
        { "admin", m_adminServer.LocalEndpoint().ToString() } });
}

void
Daemon::Run()
{
  m_callerServer.Start();
  m_peerServer.Start();
  m_adminServer.Start();
  m_platform.Start();
  m_control.Start();
  Spawn(m_context, [this] { return TickUntilStopped(); });
  Spawn(m_context, [this] { return AwaitSignals(); });
  m_context.run();
}

ServingContext
Daemon::MakeServingContext()
{
  return { .m_executor = m_context.get_executor(),
           .m_clock = m_clock,
           .m_random = m_random,
           .m_self = m_settings.m_instance,
           .m_region = m_settings.m_region,
           .m_catalog = m_catalog,
           .m_membership = m_membership,
           .m_rates = m_rates,
           .m_rateQueue = m_rateQueue,
           .m_idempotencyLedger = m_idempotencyLedger,
           .m_backends = m_backends,
           .m_prefixes = m_prefixes,
           .m_inFlight = m_inFlight,
           .m_peerAttempts = m_peerAttempts,
           .m_retryBudget = m_retryBudget,
           .m_metrics = m_metrics,
           .m_upstream = m_upstream,
           .m_borrower = m_control.Borrower() };
}

ControlPlaneOptions
Daemon::MakeControlOptions()
{
  return { .m_executor = m_context.get_executor(),
           .m_clock = m_clock,
           .m_upstream = m_upstream,
           .m_catalog = m_catalog,
           .m_membership = m_membership,
           .m_rate = m_rates,
           .m_metrics = m_metrics,
           .m_heartbeatInterval = m_settings.m_heartbeatInterval,
           .m_buildHeartbeat = [this] { return BuildHeartbeat(); },
           .m_onBackendServersDraining =
             [this](const std::vector<BackendServerId>& aDraining) {
               for (const BackendServerId& id : aDraining) {
                 m_backends.MarkDrainingByPeer(id);
               }
             } };
}

HttpServerOptions
Daemon::MakeCallerOptions()
{
  return { .m_executor = m_context.get_executor(),
           .m_address = m_settings.m_callerAddress,
           .m_handler = m_entryHandler,
           .m_limits = m_settings.m_callerLimits,
           .m_onError = [this](const RequestError& aError) {
             m_metrics.CountRefusal(aError.Code());
           } };
}

HttpServerOptions
Daemon::MakePeerOptions()
{
  return { .m_executor = m_context.get_executor(),
           .m_address = m_settings.m_peerAddress,
           .m_handler = m_peerHandler,
           .m_limits = m_settings.m_callerLimits,
           .m_trustsRequestId = true,
           // Not counted as refusals: the entry instance counts the responses
           // that its callers receive.
           .m_onError = [this](const RequestError&) {
             m_metrics.Count("rattanweir_peer_refusals_total");
           } };
}

HttpServerOptions
Daemon::MakeAdminOptions()
{
  return { .m_executor = m_context.get_executor(),
           .m_address = m_settings.m_adminAddress,
           .m_handler = m_adminRoutes,
           .m_limits = m_settings.m_callerLimits };
}

void
Daemon::RegisterGauges()
{
  m_metrics.SetGauge("rattanweir_requests_in_flight", [this] {
    return static_cast<double>(m_inFlight.Count());
  });
  m_metrics.SetGauge("rattanweir_caller_connections", [this] {
    return static_cast<double>(m_callerServer.Connections());
  });
  m_metrics.SetGauge("rattanweir_idempotency_keys", [this] {
    return static_cast<double>(m_idempotencyLedger.KeyCount());
  });
  m_metrics.SetGauge("rattanweir_retry_budget",
                     [this] { return m_retryBudget.Available(); });
  m_metrics.SetGauge("rattanweir_ready",
                     [this] { return m_serving.m_isReady ? 1.0 : 0.0; });
}

void
Daemon::RegisterAdminRoutes()
{
  using Query = const AdminQuery&;
  const auto get = [this](const char* aPath, auto aText) {
    m_adminRoutes.Register("GET", aPath, [aText](Query aQuery) {
      return AdminResponse{ .m_body = aText(aQuery) };
    });
  };
  get("/livez", [](Query) { return R"({"live":true})"; });
  get("/status", [this](Query) { return m_report.Status(); });
  get("/counters", [this](Query) { return m_report.Counters(); });
  get("/explain", [this](Query aQuery) { return m_report.Explain(aQuery); });
  get("/entries",
      [this](Query) { return EntriesJson(m_serving, std::nullopt); });
  m_adminRoutes.Register(
    "GET", "/readyz", [this](Query) { return ReadinessResponse(); });
  m_adminRoutes.Register("GET", "/metrics", [this](Query) {
    return AdminResponse{ .m_contentType = kMetricsContentType,
                          .m_body = m_metrics.Exposition() };
  });
  m_adminRoutes.Register("POST", "/drain", [this](Query) {
    BeginShutdown();
    return AdminResponse{ .m_body = R"({"draining":true})" };
  });
}

AdminResponse
Daemon::ReadinessResponse() const
{
  const bool isReady =
    m_serving.m_isReady && !m_serving.m_isDraining && !m_rates.IsPaused();
  return { .m_status = isReady ? 200 : kServiceUnavailable,
           .m_body = isReady ? R"({"ready":true})" : R"({"ready":false})" };
}

void
Daemon::ApplyAcceptedSection(SectionKind aKind)
{
  const auto version = m_catalog.Status(aKind).m_inForce;
  Log(LogLevel::Info,
      "section_accepted",
      { { "section", SectionName(aKind) },
        { "version", std::to_string(version->Value()) } });
  switch (aKind) {
    case SectionKind::ClientAccounts:
      m_rates.Configure(m_catalog.ClientAccounts());
      break;
    case SectionKind::BackendServers:
      m_backends.KeepOnly(m_catalog.BackendServerIds());
      break;
    case SectionKind::Keys:
    case SectionKind::Routes:
      break;
  }
  m_inFlight.CancelWithdrawn([this](const InFlightRequest& aRequest) {
    return IsStillAuthorized(m_catalog, aRequest);
  });
  UpdateReadiness();
}

Heartbeat
Daemon::BuildHeartbeat() const
{
  Heartbeat heartbeat{
    .m_from = m_settings.m_instance,
    .m_incarnation = m_incarnation,
    .m_isDraining = m_serving.m_isDraining,
    .m_isReady = m_serving.m_isReady && !m_rates.IsPaused(),
    .m_requestsInFlight = static_cast<std::uint32_t>(m_inFlight.Count()),
    .m_drainingBackendServers = m_backends.DrainingByOwnSignal(),
  };
  for (const SectionKind kind : kAllSectionKinds) {
    if (const auto version = m_catalog.Status(kind).m_inForce) {
      heartbeat.m_versions[kind] = *version;
    }
  }
  return heartbeat;
}

void
Daemon::UpdateReadiness()
{
  const bool isReady = m_catalog.IsComplete() && m_control.HasCaughtUp() &&
                       HavePredecessorLeasesExpired();
  if (isReady && !m_serving.m_isReady) {
    m_serving.m_isReady = true;
    Log(LogLevel::Info, "ready");
    m_control.SendHeartbeatsNow();
  }
}

// Returns whether rate shares that a predecessor lent have expired. If the
// instance became ready earlier, it would refuse requests within their rate.
// With at most one instance, a predecessor had no peer to lend to.
bool
Daemon::HavePredecessorLeasesExpired() const
{
  const auto since = m_clock.SteadyNow() - m_startedAt;
  return m_catalog.ClientAccounts().m_maximumInstances == 1 ||
         since > m_rateOptions.m_leaseTerm + m_rateOptions.m_leaseMargin;
}

Task<void>
Daemon::TickUntilStopped()
{
  CancelSource never;
  while (!m_isStopped) {
    m_idempotencyLedger.Tick();
    CancelAttemptsToLostPeers(m_serving);
    UpdateReadiness();
    co_await WaitFor(m_context.get_executor(), kTickInterval, never);
  }
}

Task<void>
Daemon::AwaitSignals()
{
  boost::system::error_code error;
  co_await m_signals.async_wait(
    asio::redirect_error(asio::use_awaitable, error));
  if (!error) {
    BeginShutdown();
  }
}

void
Daemon::BeginShutdown()
{
  if (std::exchange(m_serving.m_isDraining, true)) {
    return;
  }
  Log(LogLevel::Info,
      "draining",
      { { "in_flight", std::to_string(m_inFlight.Count()) } });
  m_control.SendHeartbeatsNow();
  Spawn(m_context, [this] { return AbortAtShutdownTimeout(); });
  Spawn(m_context, [this] { return ShutDown(); });
}

Task<void>
Daemon::ShutDown()
{
  m_callerServer.Drain();
  co_await m_callerServer.WaitUntilDone();
  // Peers may still request the outcome of idempotency keys that this instance
  // owns.
  co_await WaitForKeyedRuns();
  m_peerServer.Drain();
  co_await m_peerServer.WaitUntilDone();
  m_platform.Stop();
  m_control.Stop();
  // The admin server drains last, so that operators can observe the shutdown.
  // The response to `/drain` itself may still be in flight.
  m_adminServer.Drain();
  Spawn(m_context, [this] { return AbortAdminServerAfterTimeout(); });
  co_await m_adminServer.WaitUntilDone();
  Log(LogLevel::Info, "stopped");
  m_isStopped = true;
  m_context.stop();
}

Task<void>
Daemon::AbortAdminServerAfterTimeout()
{
  CancelSource never;
  co_await WaitFor(m_context.get_executor(), kAdminDrainTimeout, never);
  m_adminServer.Abort();
}

Task<void>
Daemon::AbortAtShutdownTimeout()
{
  CancelSource never;
  co_await WaitFor(
    m_context.get_executor(), m_settings.m_shutdownTimeout, never);
  Log(LogLevel::Warning,
      "shutdown_timeout",
      { { "in_flight", std::to_string(m_inFlight.Count()) } });
  m_inFlight.CancelAll(ResultCode::InstanceDraining);
  m_callerServer.Abort();
  m_peerServer.Abort();
}

Task<void>
Daemon::WaitForKeyedRuns()
{
  CancelSource never;
  while (m_keyedRuns.RunningCount() > 0) {
    co_await WaitFor(m_context.get_executor(), kKeyedRunsPollInterval, never);
  }
}

} // namespace rattanweir
