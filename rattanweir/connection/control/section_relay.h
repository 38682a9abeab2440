// Product's own interface (settings without `fleet`): fetches newer versions of
// configuration sections from peers.
//
// Each heartbeat advertises the versions that the peer has in force (its active
// versions). A newer version is fetched once, from the first peer that
// advertises it, and offered to the catalog, which validates it like one from
// the configuration service. Sections thus spread from a single instance that
// reaches the service to all others.
//
//   relay.FetchNewer(peer.m_peerAddress, heartbeat.m_versions);
//
// Not thread-safe. The object must outlive the tasks that it has started on the
// executor.

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

  // Starts to fetch every section of which the peer has a newer version, unless
  // a fetch of that section is in progress. Returns at once.
  void FetchNewer(const Endpoint& aPeer,
                  const std::map<SectionKind, SectionVersion>& aVersions);

  // Returns true while any fetch is in progress.
  bool IsFetching() const { return !m_fetching.empty(); }

private:
  Task<void> Fetch(Endpoint aPeer, SectionKind aKind);
  bool ShouldFetch(SectionKind aKind, SectionVersion aVersion) const;

  SectionRelayOptions m_options;
  std::set<SectionKind> m_fetching;
};

} // namespace rattanweir
