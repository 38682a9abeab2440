// Chooses a backend server of a pool in this instance's region.
//
//   BackendSelector choice({ .m_clock = clock, .m_random = engine });
//   const BackendSelection result = choice.Choose(candidates);
//   if (const auto* chosen = std::get_if<ChosenBackend>(&result)) ...
//
// Two candidates are drawn at random and the cheaper one is taken. The cost is
// the load that a server reported and the dispatches made since, which fade
// into the mean of the pool's reports as the report gets old, and the own
// requests whose answers have not begun, many times over. The server that
// probably holds most of the prompt's beginning in its cache is compared as a
// third one, as long as its load is not above the pool's. No I/O; for one
// thread.

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
  // Published as leaving.
  bool m_isDraining = false;
  BackendState m_state;
  // The load that the request does not add there, since the server probably
  // holds the beginning of its prompt in its cache.
  double m_savedLoad = 0;
};

// Sets what each candidate saves: those that this instance sent the prompt's
// beginning to, and the server that all instances of the region prefer for
// it. That one is found by rendezvous hash over the candidates that take
// work, so that the instances agree without a message; of a beginning not seen
// before it is expected to hold the first blocks.
void
SetSavedLoads(std::span<BackendCandidate> aCandidates,
              const PrefixView& aView,
              const PromptPrefix& aPrefix);

// The candidate at this index.
struct ChosenBackend
{
  std::size_t m_index = 0;
};

// Some could take work, but each holds its most requests.
struct AllBackendsFull
{};

// None of them takes work.
struct NoBackendAvailable
{};

using BackendSelection =
  std::variant<ChosenBackend, AllBackendsFull, NoBackendAvailable>;

struct BackendSelectorOptions
{
  const Clock& m_clock;
  RandomEngine& m_random;
  // How many times over load counts whose answer has not begun.
  double m_unansweredWeight = 16;
  // A server whose load is this many times the pool's mean is not preferred
  // for its cache.
  double m_maxLoadForCache = 1.25;
  // A report of this age counts for half.
  std::chrono::nanoseconds m_loadHalfLife{ std::chrono::seconds(2) };
};

class BackendSelector
{
public:
  explicit BackendSelector(const BackendSelectorOptions& aOptions);

  BackendSelection Choose(std::span<const BackendCandidate> aCandidates);

  // The load it probably has, in the unit of the reports, with extra weight on
  // what waits for its answer to begin. The mean is that of the pool's reports.
  double CostOf(const BackendState& aState, double aReportedMean) const;

private:
  struct PoolLoad
  {
    // Of the reports, the fresh ones counting most.
    double m_reportedMean = 0;
    // Of the loads that the servers probably have.
    double m_mean = 0;
  };

  PoolLoad LoadOfPool(std::span<const BackendCandidate> aCandidates,
                      const std::vector<std::size_t>& aUsable) const;
  double CostOf(const BackendCandidate& aCandidate,
                const PoolLoad& aPool) const;
  // What the request saves there, nothing if its load is above the pool's.
  double SavingOf(const BackendCandidate& aCandidate,
                  const PoolLoad& aPool) const;
  double LoadOf(const BackendState& aState, double aReportedMean) const;
  // 1 for a new report, less the older it is.
  double FreshnessOf(const ReportedLoad& aLoad) const;
  // Takes one of the indices out at random.
  std::size_t DrawOne(std::vector<std::size_t>& aIndices);
  std::vector<std::size_t> TakingWork(
    std::span<const BackendCandidate> aCandidates) const;

  BackendSelectorOptions m_options;
};

} // namespace rattanweir
