#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/control/control_plane.h"

#include "rattanweir/connection/control_messages/control_messages.h"
#include "rattanweir/process/logging/log.h"
#include "rattanweir/request/wait/wait.h"

namespace rattanweir {
namespace {

// RateLedger::Tick must be called at least every m_pauseThreshold / 2 (500 ms
// by default).
constexpr std::chrono::milliseconds kCheckInterval{ 100 };

} // namespace

ControlPlane::ControlPlane(const ControlPlaneOptions& aOptions)
  : m_options(aOptions)
  , m_relay({ .m_executor = aOptions.m_executor,
              .m_clock = aOptions.m_clock,
              .m_upstream = aOptions.m_upstream,
              .m_catalog = aOptions.m_catalog,
              .m_metrics = aOptions.m_metrics })
  , m_heartbeats(
      { .m_executor = aOptions.m_executor,
        .m_clock = aOptions.m_clock,
        .m_upstream = aOptions.m_upstream,
        .m_membership = aOptions.m_membership,
        .m_relay = m_relay,
        .m_metrics = aOptions.m_metrics,
        .m_interval = aOptions.m_heartbeatInterval,
        .m_fanOut = aOptions.m_fanOut,
        .m_buildHeartbeat = aOptions.m_buildHeartbeat,
        .m_onBackendServersDraining = aOptions.m_onBackendServersDraining })
  , m_lending({ .m_executor = aOptions.m_executor,
                .m_clock = aOptions.m_clock,
                .m_upstream = aOptions.m_upstream,
                .m_membership = aOptions.m_membership,
                .m_rate = aOptions.m_rate,
                .m_metrics = aOptions.m_metrics })
{
  RegisterMethods();
  // Advertises a newer version to peers at once, so that a relay over several
  // hops is not delayed by a heartbeat interval per hop.
  m_options.m_catalog.OnAccepted(
    [this](SectionKind) { m_heartbeats.SendHeartbeatsNow(); });
}

void
ControlPlane::RegisterMethods()
{
  m_dispatcher.Register(kHeartbeatMethod, [this](const Json::Value& aValue) {
    return m_heartbeats.HandleHeartbeat(aValue);
  });
  m_dispatcher.Register(kFetchSectionMethod, [this](const Json::Value& aValue) {
    return HandleFetchSection(aValue);
  });
  m_dispatcher.Register(kBorrowShareMethod, [this](const Json::Value& aValue) {
    return HandleBorrowShare(aValue);
  });
  m_dispatcher.Register(kReturnShareMethod, [this](const Json::Value& aValue) {
    return HandleReturnShare(aValue);
  });
}

void
ControlPlane::Start()
{
  m_startedAt = m_options.m_clock.SteadyNow();
  m_heartbeats.Start();
  asio::co_spawn(m_options.m_executor, RunPeriodicChecks(), asio::detached);
}

void
ControlPlane::Stop()
{
  m_stop.Cancel(ResultCode::InstanceDraining);
  m_heartbeats.Stop();
}

std::string
ControlPlane::HandleCall(const std::string& aRequest)
{
  return m_dispatcher.Handle(aRequest);
}

Json::Value
ControlPlane::HandleFetchSection(const Json::Value& aParameters) const
{
  const SectionKind kind = SectionKindFromJson(aParameters);
  const std::optional<SectionOffer> offer = m_options.m_catalog.InForce(kind);
  if (!offer) {
    throw RpcError("no version of the section is in force");
  }
  return ToJson(*offer);
}

Json::Value
ControlPlane::HandleBorrowShare(const Json::Value& aParameters)
{
  const LeaseRequest request = LeaseRequestFromJson(aParameters);
  if (!m_options.m_membership.Find(request.m_borrower)) {
    throw RpcError("the borrower is not in the instance list");
  }
  m_options.m_metrics.Count("rattanweir_share_requests_total");
  return ToJson(m_options.m_rate.Lend(request));
}

Json::Value
ControlPlane::HandleReturnShare(const Json::Value& aParameters)
{
  Json::Value result(Json::objectValue);
  result["taken"] = m_options.m_rate.Reclaim(LeaseReturnFromJson(aParameters));
  return result;
}

Task<void>
ControlPlane::RunPeriodicChecks()
{
  while (!m_stop.Reason()) {
    m_lending.ReturnShares(m_options.m_rate.Tick());
    CheckForPause();
    if (!m_hasCaughtUp) {
      m_hasCaughtUp = HasSyncedWithPeersSince(m_startedAt);
    }
    co_await WaitFor(m_options.m_executor, kCheckInterval, m_stop);
  }
}

bool
ControlPlane::HasSyncedWithPeersSince(SteadyTime aSince) const
{
  if (!m_options.m_membership.Self() || m_relay.IsFetching()) {
    return false;
  }
  if (m_heartbeats.TargetCount() == 0) {
    return m_options.m_membership.Peers().empty();
  }
  const ExchangeSummary summary = m_heartbeats.SummarizeSince(aSince);
  if (summary.m_responded > 0) {
    return summary.m_listed > 0;
  }
  // No peer is reachable. Serving with possibly outdated state is better than
  // not serving at all.
  return m_options.m_clock.SteadyNow() - aSince >= m_options.m_isolationTimeout;
}

void
ControlPlane::CheckForPause()
{
  if (!m_options.m_rate.IsPaused()) {
    return;
  }
  if (!m_pauseDetectedAt) {
    m_pauseDetectedAt = m_options.m_clock.SteadyNow();
    m_options.m_metrics.Count("rattanweir_pauses_total");
    Log(LogLevel::Warning, "pause_seen");
    m_heartbeats.SendHeartbeatsNow();
    return;
  }
  if (!HasSyncedWithPeersSince(*m_pauseDetectedAt)) {
    return;
  }
  m_pauseDetectedAt.reset();
  m_options.m_rate.Resume();
  Log(LogLevel::Info, "pause_ended");
}

} // namespace rattanweir
