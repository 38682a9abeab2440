// Plays the load model at several multiples of its load, for each way to place
// requests, and writes a table and a plot of what callers get.
//
//   overload_curve --seeds=3 --trouble=burst --plot=curve.svg
//   overload_curve --policy=product --factors=1,2,4
//
// A row is the mean of the seeds. Ends with 1 on arguments that it cannot use.

#include "bench/overload_curve/curve_plot.h"
#include "testing/load_model/load_model.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <map>
#include <optional>
#include <sstream>
#include <stdexcept>

DEFINE_uint64(seeds, 3, "seeds 1 to this are played");
DEFINE_string(factors, "0.5,1,1.5,2,3,4", "multiples of the load");
DEFINE_string(policy,
              "",
              "play just this one: product, first come, no refusal, least "
              "load or round robin");
DEFINE_string(trouble, "none", "none, burst, servers-lost or region-lost");
DEFINE_string(plot, "", "write the curves to this SVG file");

namespace rattanweir {
namespace {

const std::vector<PolicyKind> kPolicies{ PolicyKind::Product,
                                         PolicyKind::FirstComeFirstServed,
                                         PolicyKind::NoRefusal,
                                         PolicyKind::LeastLoad,
                                         PolicyKind::RoundRobin };

// For the last two thirds of what is counted.
constexpr double kTroubleAt = 15;
constexpr double kTroubleFor = 20;

const std::map<std::string, std::vector<LoadFault>> kTroubles{
  { "none", {} },
  { "burst",
    { { .m_at = kTroubleAt,
        .m_duration = kTroubleFor,
        .m_region = 2,
        .m_loadFactor = 2.3 } } },
  { "servers-lost",
    { { .m_at = kTroubleAt,
        .m_duration = kTroubleFor,
        .m_region = 0,
        .m_lostServers = 0.5 } } },
  { "region-lost",
    { { .m_at = kTroubleAt,
        .m_duration = kTroubleFor,
        .m_region = 1,
        .m_lostServers = 1 } } },
};

std::vector<double>
ParseFactors(const std::string& aText)
{
  std::vector<double> factors;
  std::istringstream text(aText);
  std::string item;
  while (std::getline(text, item, ',')) {
    std::size_t used = 0;
    const double factor = std::stod(item, &used);
    if (used != item.size() || factor <= 0) {
      throw std::invalid_argument("--factors: not a multiple: " + item);
    }
    factors.push_back(factor);
  }
  return factors;
}

std::vector<PolicyKind>
ParsePolicy(const std::string& aText)
{
  if (aText.empty()) {
    return kPolicies;
  }
  for (const PolicyKind policy : kPolicies) {
    if (aText == NameOf(policy)) {
      return { policy };
    }
  }
  throw std::invalid_argument("--policy: unknown: " + aText);
}

const std::vector<LoadFault>&
ParseTrouble(const std::string& aText)
{
  const auto found = kTroubles.find(aText);
  if (found == kTroubles.end()) {
    throw std::invalid_argument("--trouble: unknown: " + aText);
  }
  return found->second;
}

// The sums of several runs.
struct Row
{
  double m_value = 0;
  double m_offered = 0;
  double m_recomputedFraction = 0;
  std::map<std::string, RequestKindStats> m_kinds;

  void Add(const LoadStats& aFigures)
  {
    m_value += aFigures.m_goodputPerSecond;
    m_offered += aFigures.m_offeredPerSecond;
    m_recomputedFraction += aFigures.m_recomputedFraction;
    for (const RequestKindStats& kind : aFigures.m_kinds) {
      RequestKindStats& sum = m_kinds[kind.m_name];
      sum.m_offered += kind.m_offered;
      sum.m_metObjective += kind.m_metObjective;
      sum.m_missedObjective += kind.m_missedObjective;
      sum.m_refused += kind.m_refused;
      sum.m_p50 += kind.m_p50;
      sum.m_p95 += kind.m_p95;
      sum.m_p99 += kind.m_p99;
    }
  }
};

double
Percent(double aPart, double aWhole)
{
  return aWhole == 0 ? 0 : 100 * aPart / aWhole;
}

void
PrintRow(double aFactor, PolicyKind aPolicy, const Row& aRow, double aRuns)
{
  std::printf("| %.2g | %s | %.0f | %.2f | %.0f |",
              aFactor,
              NameOf(aPolicy),
              aRow.m_value / aRuns,
              aRow.m_value / aRow.m_offered,
              100 * aRow.m_recomputedFraction / aRuns);
  for (const auto& [name, kind] : aRow.m_kinds) {
    const auto offered = double(kind.m_offered);
    std::printf(" %.0f / %.0f / %.0f | %.0f / %.0f / %.0f |",
                Percent(double(kind.m_metObjective), offered),
                Percent(double(kind.m_missedObjective), offered),
                Percent(double(kind.m_refused), offered),
                1'000 * kind.m_p50 / aRuns,
                1'000 * kind.m_p95 / aRuns,
                1'000 * kind.m_p99 / aRuns);
  }
  std::printf("\n");
  std::fflush(stdout);
}

void
PrintHeading(const LoadSystem& aSystem)
{
  std::printf("| load | policy | worth a second | share | read again %% |");
  std::map<std::string, int> names;
  for (const RequestKindProfile& kind : aSystem.m_kinds) {
    names[kind.m_name];
  }
  for (const auto& [name, unused] : names) {
    std::printf(" %s: on time / late / refused %% | p50 / p95 / p99 ms |",
                name.c_str());
  }
  std::printf("\n| --- | --- | --- | --- | --- |");
  for (std::size_t column = 0; column < 2 * names.size(); ++column) {
    std::printf(" --- |");
  }
  std::printf("\n");
}

void
Run()
{
  const std::vector<double> factors = ParseFactors(FLAGS_factors);
  const std::vector<PolicyKind> policies = ParsePolicy(FLAGS_policy);
  const std::vector<LoadFault>& troubles = ParseTrouble(FLAGS_trouble);
  if (FLAGS_seeds == 0) {
    throw std::invalid_argument("--seeds: at least 1");
  }
  const LoadSystem system = GuidesAndBookings();
  PrintHeading(system);
  Plot plot{ .m_title = "What callers get; trouble: " + FLAGS_trouble,
             .m_acrossLabel = "multiple of the load",
             .m_upLabel = "worth a second" };
  for (const PolicyKind policy : policies) {
    Curve curve{ .m_name = NameOf(policy) };
    for (const double factor : factors) {
      Row row;
      for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        row.Add(RunLoadModel({ .m_system = system,
                               .m_policy = policy,
                               .m_factor = factor,
                               .m_seed = seed,
                               .m_faults = troubles }));
      }
      PrintRow(factor, policy, row, double(FLAGS_seeds));
      curve.m_points.emplace_back(factor, row.m_value / double(FLAGS_seeds));
    }
    plot.m_curves.push_back(std::move(curve));
  }
  if (!FLAGS_plot.empty()) {
    WritePlot(FLAGS_plot, plot);
  }
}

} // namespace
} // namespace rattanweir

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("plays a load model and prints what callers get");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    rattanweir::Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "overload_curve: %s\n", error.what());
    return 1;
  }
  return 0;
}
