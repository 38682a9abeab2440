// Selects a backend server of a pool in the local region. Used by the product's
// own interface (`request/pipeline`); the users' platform uses
// `request/placement`.
//
//   BackendSelector selector({ .m_clock = clock, .m_random = engine });
//   const BackendSelection result = selector.Choose(candidates);
//   if (const auto* chosen = std::get_if<ChosenBackend>(&result)) ...
//
// The power of two random choices: two candidates are drawn at random and the
// one with the lower cost is selected. The cost of a server is the load that it
// reported plus the load dispatched to it since, plus a multiple of the load of
// this instance's requests whose responses have not started. As a report ages,
// its load converges to the mean of the pool's reports. The server expected to
// have most of the prompt's prefix cached is compared as a third candidate,
// unless its load is above that of the pool. No I/O. Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/process/backend_view/backend_view.h"
#include "rattanweir/process/prefix_view/prefix_view.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace rattanweir {

struct BackendCandidate
{
  BackendServerId m_id;
  std::uint32_t m_maximumInFlight = 0;
  // Whether the published configuration marks the server as draining.
  bool m_isDraining = false;
  BackendState m_state;
  // Load that the request is not expected to add, because the server probably
  // has the prefix of its prompt cached.
  double m_savedLoad = 0;
};

// Sets `m_savedLoad` of each candidate: that of the servers to which this
// instance has dispatched the prompt's prefix, and that of the server which all
// instances of the region prefer for the prefix. The preferred server is chosen
// by rendezvous hashing over the candidates that accept requests, so that the
// instances agree without communication. For a prefix not seen before, the
// preferred server is expected to have the first blocks cached.
void
SetSavedLoads(std::span<BackendCandidate> aCandidates,
              const PrefixView& aView,
              const PromptPrefix& aPrefix);

struct ChosenBackend
{
  // Index into the candidates.
  std::size_t m_index = 0;
};

// Some candidates accept requests, but each has its maximum number of requests
// in flight.
struct AllBackendsFull
{};

// No candidate accepts requests.
struct NoBackendAvailable
{};

using BackendSelection =
  std::variant<ChosenBackend, AllBackendsFull, NoBackendAvailable>;

struct BackendSelectorOptions
{
  const Clock& m_clock;
  RandomEngine& m_random;
  // Cost per unit of load of the requests whose responses have not started.
  double m_unansweredWeight = 16;
  // A server is not preferred for its cache if its load exceeds this multiple
  // of the pool's mean load by more than the load saved.
  double m_maxLoadForCache = 1.25;
  // Age at which the weight of a load report is halved.
  std::chrono::nanoseconds m_loadHalfLife{ std::chrono::seconds(2) };
};

class BackendSelector
{
public:
  explicit BackendSelector(const BackendSelectorOptions& aOptions);

  // Returns the selected candidate, or why none can be selected.
  BackendSelection Choose(std::span<const BackendCandidate> aCandidates);

  // Returns the estimated load of a server, in the unit of the reports, plus
  // the weighted load of the requests whose responses have not started.
  // `aReportedMean` is the mean load in the pool's reports.
  double CostOf(const BackendState& aState, double aReportedMean) const;

private:
  struct PoolLoad
  {
    // Mean of the reported loads, weighted by the age of the reports.
    double m_reportedMean = 0;
    // Mean of the estimated loads.
    double m_mean = 0;
  };

  PoolLoad EstimatePoolLoad(std::span<const BackendCandidate> aCandidates,
                            const std::vector<std::size_t>& aUsable) const;
  double CostOf(const BackendCandidate& aCandidate,
                const PoolLoad& aPool) const;
  // Returns the candidate's saved load, or 0 if its load is above the pool's.
  double CacheSaving(const BackendCandidate& aCandidate,
                     const PoolLoad& aPool) const;
  double EstimateLoad(const BackendState& aState, double aReportedMean) const;
  // Returns 1 for a new report, halved with each `m_loadHalfLife` of its age.
  double ReportWeight(const ReportedLoad& aLoad) const;
  // Removes one of the indices at random and returns it.
  std::size_t RemoveRandom(std::vector<std::size_t>& aIndices);
  // Returns the indices of the candidates that are not draining, without the
  // ejected ones. If more than half of them are ejected, those whose ejection
  // ends first are kept, so that at least half remain.
  std::vector<std::size_t> AvailableCandidates(
    std::span<const BackendCandidate> aCandidates) const;

  BackendSelectorOptions m_options;
};

} // namespace rattanweir
