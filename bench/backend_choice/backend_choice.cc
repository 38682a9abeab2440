// Compares policies that select a backend server from a pool.
//
// Prints one table row per pool size, load report lag and policy. Each column
// is the mean over the seeds, followed by half the range over the seeds in
// brackets.
//
//   backend_choice [SEEDS [product]]
//
// With `product`, only the product's own policy runs. The policy `unhinted` is
// the product's policy without prefix cache hints.

#include "bench/backend_choice/pool_model.h"

#include <algorithm>
#include <cstdio>
#include <limits>
#include <string>
#include <vector>

namespace rattanweir {
namespace {

struct PoolSize
{
  const char* m_name;
  std::size_t m_engines;
  std::size_t m_instances;
  double m_endSeconds;
  std::size_t m_documentsPerEngine = 10;
  double m_documentSkew = 0.8;
};

// Pools of one region each. The largest pool is simulated for a shorter time.
// In the last entry, prompts rarely share a prefix.
const std::vector<PoolSize> kPoolSizes{
  { "4 engines, 3 instances", 4, 3, 330 },
  { "3 engines, 3 instances", 3, 3, 330 },
  { "155 engines, 34 instances", 155, 34, 90 },
  { "4 and 3, prompts unlike", 4, 3, 330, 100'000, 0 },
};

const std::vector<double> kLagsSeconds{ 0.1, 0.5, 1, 2, 5 };

struct Policy
{
  const char* m_name;
  ChooserKind m_kind;
};

const std::vector<Policy> kPolicies{
  { "random", ChooserKind::Random },
  { "round robin", ChooserKind::RoundRobin },
  { "least reported", ChooserKind::LeastReported },
  { "unhinted", ChooserKind::ProductWithoutPrefixHints },
  { "product", ChooserKind::Product },
};

// Accumulates the mean and the range of one metric over the seeds.
class SeedStatistics
{
public:
  void Add(double aValue)
  {
    m_sum += aValue;
    m_min = std::min(m_min, aValue);
    m_max = std::max(m_max, aValue);
    ++m_count;
  }
  double Mean() const { return m_sum / m_count; }
  double HalfRange() const { return (m_max - m_min) / 2; }

private:
  double m_sum = 0;
  double m_min = std::numeric_limits<double>::max();
  double m_max = std::numeric_limits<double>::lowest();
  double m_count = 0;
};

void
PrintRow(const PoolSize& aSize,
         double aLag,
         const Policy& aPolicy,
         std::uint64_t aSeeds)
{
  SeedStatistics p50;
  SeedStatistics p95;
  SeedStatistics p99;
  SeedStatistics hits;
  SeedStatistics mostLoaded;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    const PoolMetrics metrics =
      RunPool({ .m_seed = seed,
                .m_chooser = aPolicy.m_kind,
                .m_engines = aSize.m_engines,
                .m_instances = aSize.m_instances,
                .m_lagSeconds = aLag,
                .m_documentsPerEngine = aSize.m_documentsPerEngine,
                .m_documentSkew = aSize.m_documentSkew,
                .m_endSeconds = aSize.m_endSeconds });
    p50.Add(1'000 * metrics.m_p50);
    p95.Add(1'000 * metrics.m_p95);
    p99.Add(1'000 * metrics.m_p99);
    hits.Add(100 * metrics.m_prefixHitRatio);
    mostLoaded.Add(100 * metrics.m_mostLoadedRatio);
  }
  std::printf("| %-25s | %3.1f | %-14s |", aSize.m_name, aLag, aPolicy.m_name);
  for (const SeedStatistics& spread : { p50, p95, p99 }) {
    std::printf(" %5.0f (%4.0f) |", spread.Mean(), spread.HalfRange());
  }
  for (const SeedStatistics& spread : { hits, mostLoaded }) {
    std::printf(" %4.1f (%3.1f) |", spread.Mean(), spread.HalfRange());
  }
  std::printf("\n");
  std::fflush(stdout);
}

} // namespace
} // namespace rattanweir

int
main(int aCount, char** aArguments)
{
  using namespace rattanweir;
  const std::uint64_t seeds = aCount > 1 ? std::stoull(aArguments[1]) : 5;
  const bool isProductOnly =
    aCount > 2 && std::string(aArguments[2]) == "product";
  std::printf("seeds 1 to %llu\n\n", static_cast<unsigned long long>(seeds));
  std::printf("| one region's pool | lag, s | choice | first token p50, ms | "
              "p95, ms | p99, ms | prefix hits %% | to the most loaded %% |\n"
              "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const PoolSize& size : kPoolSizes) {
    for (const double lag : kLagsSeconds) {
      for (const Policy& policy : kPolicies) {
        if (!isProductOnly || policy.m_kind == ChooserKind::Product) {
          PrintRow(size, lag, policy, seeds);
        }
      }
    }
  }
  return 0;
}
