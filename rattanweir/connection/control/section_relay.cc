#include "rattanweir/connection/control/section_relay.h"

#include "rattanweir/connection/control/peer_call.h"
#include "rattanweir/connection/control_messages/control_messages.h"
#include "rattanweir/process/logging/log.h"

#include <chrono>
#include <exception>
#include <utility>

namespace rattanweir {
namespace {

constexpr std::chrono::seconds kFetchTimeout{ 5 };

} // namespace

SectionRelay::SectionRelay(const SectionRelayOptions& aOptions)
  : m_options(aOptions)
{
}

bool
SectionRelay::ShouldFetch(SectionKind aKind, SectionVersion aVersion) const
{
  const SectionStatus status = m_options.m_catalog.Status(aKind);
  const bool isNewer = !status.m_inForce || *status.m_inForce < aVersion;
  // A version that was rejected would be rejected again.
  const bool wasRejected = status.m_rejected == aVersion;
  return isNewer && !wasRejected;
}

void
SectionRelay::FetchNewer(const Endpoint& aPeer,
                         const std::map<SectionKind, SectionVersion>& aVersions)
{
  for (const auto& [kind, version] : aVersions) {
    if (!ShouldFetch(kind, version) || !m_fetching.insert(kind).second) {
      continue;
    }
    asio::co_spawn(m_options.m_executor, Fetch(aPeer, kind), asio::detached);
  }
}

Task<void>
SectionRelay::Fetch(Endpoint aPeer, SectionKind aKind)
{
  try {
    PeerCall call;
    call.m_endpoint = aPeer;
    call.m_method = kFetchSectionMethod;
    call.m_parameters = ToJson(aKind);
    call.m_deadline = m_options.m_clock.SteadyNow() + kFetchTimeout;
    const Json::Value result =
      co_await CallPeer(m_options.m_upstream, std::move(call));
    m_options.m_catalog.Offer(SectionOfferFromJson(result));
    m_options.m_metrics.Count("rattanweir_sections_relayed_total");
  } catch (const std::exception& error) {
    // The next heartbeat that advertises the version starts another fetch.
    m_options.m_metrics.Count("rattanweir_section_relay_failures_total");
    Log(LogLevel::Warning,
        "section_relay_failed",
        { { "peer", aPeer.ToString() },
          { "section", SectionName(aKind) },
          { "detail", error.what() } });
  }
  m_fetching.erase(aKind);
}

} // namespace rattanweir
