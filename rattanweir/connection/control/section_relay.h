// Brings newer versions of configuration sections over from peers.
//
// Peers tell the versions they have in force with each heartbeat. A newer one
// is fetched once, whoever tells of it first, and offered to the catalog,
// which judges it as it judges one from the configuration service. So one
// instance that reaches the service brings the others forward.
//
//   relay.Consider(peer.m_peerAddress, heartbeat.m_versions);
//
// For one thread; must outlive the executor's work.

#pragma once

#include "rattanweir/process/metrics/metrics.h"
#include "rattanweir/request/exchange/exchange.h"
#include "rattanweir/version/catalog/catalog.h"

#include <map>
#include <set>

namespace rattanweir {

struct SectionRelayOptions
{
  Executor m_executor;
  const Clock& m_clock;
  Upstream& m_upstream;
  Catalog& m_catalog;
  Metrics& m_metrics;
};

class SectionRelay
{
public:
  explicit SectionRelay(const SectionRelayOptions& aOptions);

  // Starts to fetch what is newer there, unless that is under way.
  void Consider(const Endpoint& aPeer,
                const std::map<SectionKind, SectionVersion>& aVersions);

  // Whether a fetch is under way.
  bool IsFetching() const { return !m_fetching.empty(); }

private:
  Task<void> Fetch(Endpoint aPeer, SectionKind aKind);
  bool IsWanted(SectionKind aKind, SectionVersion aVersion) const;

  SectionRelayOptions m_options;
  std::set<SectionKind> m_fetching;
};

} // namespace rattanweir
