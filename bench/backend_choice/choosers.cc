#include "bench/backend_choice/choosers.h"

#include "rattanweir/process/backend_view/backend_view.h"
#include "rattanweir/process/prefix_view/prefix_view.h"
#include "rattanweir/request/routing/backend_selector.h"

#include <algorithm>
#include <string>
#include <vector>

namespace rattanweir {
namespace {

class RandomChooser final : public Chooser
{
public:
  explicit RandomChooser(const ChooserOptions& aOptions)
    : m_options(aOptions)
  {
  }
  std::size_t Choose(const ModelRequest& /*aRequest*/) override
  {
    return UniformIndex(m_options.m_random, m_options.m_engines);
  }
  void OnResponseStart(std::size_t /*aEngine*/,
                       const ModelRequest& /*aRequest*/,
                       double /*aReportedLoad*/) override
  {
  }
  void OnResponseEnd(std::size_t /*aEngine*/,
                     const ModelRequest& /*aRequest*/) override
  {
  }

private:
  ChooserOptions m_options;
};

class RoundRobinChooser final : public Chooser
{
public:
  explicit RoundRobinChooser(const ChooserOptions& aOptions)
    : m_engines(aOptions.m_engines)
    , m_next(UniformIndex(aOptions.m_random, aOptions.m_engines))
  {
  }
  std::size_t Choose(const ModelRequest& /*aRequest*/) override
  {
    return m_next++ % m_engines;
  }
  void OnResponseStart(std::size_t /*aEngine*/,
                       const ModelRequest& /*aRequest*/,
                       double /*aReportedLoad*/) override
  {
  }
  void OnResponseEnd(std::size_t /*aEngine*/,
                     const ModelRequest& /*aRequest*/) override
  {
  }

private:
  std::size_t m_engines;
  std::size_t m_next;
};

// Selects the engine with the least load in its latest report, regardless of
// the report's age. Breaks ties at random.
class LeastReportedChooser final : public Chooser
{
public:
  explicit LeastReportedChooser(const ChooserOptions& aOptions)
    : m_options(aOptions)
    , m_loads(aOptions.m_engines, 0)
  {
  }
  std::size_t Choose(const ModelRequest& /*aRequest*/) override
  {
    const std::size_t first = UniformIndex(m_options.m_random, m_loads.size());
    std::size_t best = first;
    for (std::size_t step = 1; step < m_loads.size(); ++step) {
      const std::size_t engine = (first + step) % m_loads.size();
      best = m_loads[engine] < m_loads[best] ? engine : best;
    }
    return best;
  }
  void OnResponseStart(std::size_t aEngine,
                       const ModelRequest& /*aRequest*/,
                       double aReportedLoad) override
  {
    m_loads[aEngine] = aReportedLoad;
  }
  void OnResponseEnd(std::size_t /*aEngine*/,
                     const ModelRequest& /*aRequest*/) override
  {
  }

private:
  ChooserOptions m_options;
  std::vector<double> m_loads;
};

class ProductChooser final : public Chooser
{
public:
  explicit ProductChooser(const ChooserOptions& aOptions)
    : m_view({ .m_clock = aOptions.m_clock })
    , m_prefixes({ .m_clock = aOptions.m_clock })
    , m_usesPrefixHints(aOptions.m_kind == ChooserKind::Product)
    , m_selector({ .m_clock = aOptions.m_clock, .m_random = aOptions.m_random })
  {
    for (std::size_t engine = 0; engine < aOptions.m_engines; ++engine) {
      m_candidates.push_back({ .m_id = BackendServerId(std::to_string(engine)),
                               .m_maximumInFlight = 1'000 });
    }
  }
  std::size_t Choose(const ModelRequest& aRequest) override
  {
    for (BackendCandidate& candidate : m_candidates) {
      candidate.m_state = m_view.StateOf(candidate.m_id);
    }
    const PromptPrefix prefix = PrefixOf(aRequest);
    if (m_usesPrefixHints) {
      SetSavedLoads(m_candidates, m_prefixes, prefix);
    }
    const auto result = m_selector.Choose(m_candidates);
    const std::size_t engine = std::get<ChosenBackend>(result).m_index;
    m_view.AddDispatch(m_candidates[engine].m_id, LoadOf(aRequest));
    m_prefixes.AddDispatch(prefix, m_candidates[engine].m_id);
    return engine;
  }
  void OnResponseStart(std::size_t aEngine,
                       const ModelRequest& aRequest,
                       double aReportedLoad) override
  {
    m_view.StartResponse(m_candidates[aEngine].m_id, LoadOf(aRequest));
    m_view.ReportLoad(m_candidates[aEngine].m_id,
                      static_cast<std::uint64_t>(aReportedLoad));
  }
  void OnResponseEnd(std::size_t aEngine, const ModelRequest& aRequest) override
  {
    m_view.EndDispatch(m_candidates[aEngine].m_id,
                       { .m_load = LoadOf(aRequest),
                         .m_hasResponseStarted = true,
                         .m_outcome = AttemptOutcome::Succeeded });
  }

private:
  static std::uint64_t LoadOf(const ModelRequest& aRequest)
  {
    return static_cast<std::uint64_t>(aRequest.LoadTokens());
  }

  // Returns one hash per complete prefix block of the document. The hashes are
  // unique to the document number.
  static PromptPrefix PrefixOf(const ModelRequest& aRequest)
  {
    const auto bytes = static_cast<std::size_t>(4 * aRequest.m_documentTokens);
    const std::size_t blocks =
      std::min(bytes / kPrefixBlockBytes, kMaxPrefixBlocks);
    PromptPrefix prefix;
    for (std::size_t block = 0; block < blocks; ++block) {
      prefix.m_hashes.push_back(aRequest.m_document * kMaxPrefixBlocks + block);
    }
    return prefix;
  }

  BackendView m_view;
  PrefixView m_prefixes;
  bool m_usesPrefixHints;
  BackendSelector m_selector;
  std::vector<BackendCandidate> m_candidates;
};

} // namespace

std::unique_ptr<Chooser>
MakeChooser(const ChooserOptions& aOptions)
{
  switch (aOptions.m_kind) {
    case ChooserKind::Random:
      return std::make_unique<RandomChooser>(aOptions);
    case ChooserKind::RoundRobin:
      return std::make_unique<RoundRobinChooser>(aOptions);
    case ChooserKind::LeastReported:
      return std::make_unique<LeastReportedChooser>(aOptions);
    case ChooserKind::ProductWithoutPrefixHints:
    case ChooserKind::Product:
      break;
  }
  return std::make_unique<ProductChooser>(aOptions);
}

} // namespace rattanweir
