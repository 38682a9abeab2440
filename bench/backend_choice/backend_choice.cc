// Compares ways to choose a backend server of a pool.
//
// One table row a size, lag of the load reports and way to choose: the mean
// over the seeds, and in brackets half the range of the seeds.
//
//   backend_choice [SEEDS [product]]
//
// With `product` only the product's own choice is run. `unhinted` is the
// product's choice without hints of prefixes.

#include "bench/backend_choice/pool_model.h"

#include <algorithm>
#include <cstdio>
#include <limits>
#include <string>
#include <vector>

namespace rattanweir {
namespace {

struct Size
{
  const char* m_name;
  std::size_t m_engines;
  std::size_t m_instances;
  double m_endSeconds;
  std::size_t m_documentsPerEngine = 10;
  double m_documentSkew = 0.8;
};

// One region of each; the largest runs for a shorter time. In the last one
// hardly a prompt begins like another.
const std::vector<Size> kSizes{
  { "4 engines, 3 instances", 4, 3, 330 },
  { "3 engines, 3 instances", 3, 3, 330 },
  { "155 engines, 34 instances", 155, 34, 90 },
  { "4 and 3, prompts unlike", 4, 3, 330, 100'000, 0 },
};

const std::vector<double> kLagsSeconds{ 0.1, 0.5, 1, 2, 5 };

struct Way
{
  const char* m_name;
  ChooserKind m_kind;
};

const std::vector<Way> kWays{
  { "random", ChooserKind::Random },
  { "round robin", ChooserKind::RoundRobin },
  { "least reported", ChooserKind::LeastReported },
  { "unhinted", ChooserKind::Unhinted },
  { "product", ChooserKind::Product },
};

// The mean of the seeds and half their range.
class Spread
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
PrintRow(const Size& aSize, double aLag, const Way& aWay, std::uint64_t aSeeds)
{
  Spread p50;
  Spread p95;
  Spread p99;
  Spread hits;
  Spread herding;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    const PoolFigures figures =
      RunPool({ .m_seed = seed,
                .m_chooser = aWay.m_kind,
                .m_engines = aSize.m_engines,
                .m_instances = aSize.m_instances,
                .m_lagSeconds = aLag,
                .m_documentsPerEngine = aSize.m_documentsPerEngine,
                .m_documentSkew = aSize.m_documentSkew,
                .m_endSeconds = aSize.m_endSeconds });
    p50.Add(1'000 * figures.m_p50);
    p95.Add(1'000 * figures.m_p95);
    p99.Add(1'000 * figures.m_p99);
    hits.Add(100 * figures.m_hitShare);
    herding.Add(100 * figures.m_herding);
  }
  std::printf("| %-25s | %3.1f | %-14s |", aSize.m_name, aLag, aWay.m_name);
  for (const Spread& spread : { p50, p95, p99 }) {
    std::printf(" %5.0f (%4.0f) |", spread.Mean(), spread.HalfRange());
  }
  for (const Spread& spread : { hits, herding }) {
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
  for (const Size& size : kSizes) {
    for (const double lag : kLagsSeconds) {
      for (const Way& way : kWays) {
        if (!isProductOnly || way.m_kind == ChooserKind::Product) {
          PrintRow(size, lag, way, seeds);
        }
      }
    }
  }
  return 0;
}
