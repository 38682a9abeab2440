// Simulates the load model at several multiples of its load for each placement
// policy, and writes a table and a plot of the goodput and latency.
//
//   overload_curve --seeds=3 --trouble=burst --plot=curve.svg
//   overload_curve --policy=product --factors=1,2,4
//
// Each row is the mean over the seeds. Exits with 1 if an argument is invalid.

#include "bench/overload_curve/curve_plot.h"
#include "testing/load_model/load_model.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <map>
#include <optional>
#include <sstream>
#include <stdexcept>

DEFINE_uint64(seeds, 3, "number of runs; the seeds are 1 to this number");
DEFINE_string(factors,
              "0.5,1,1.5,2,3,4",
              "multiples of the load, separated by commas");
DEFINE_string(policy,
              "",
              "run only this policy: product, first come, no refusal, least "
              "load or round robin");
DEFINE_string(trouble,
              "none",
              "fault to inject: none, burst, servers-lost or region-lost");
DEFINE_string(plot, "", "write the curves to this SVG file");

namespace rattanweir {
namespace {

const std::vector<PolicyKind> kPolicies{ PolicyKind::Product,
                                         PolicyKind::FirstComeFirstServed,
                                         PolicyKind::NoRefusal,
                                         PolicyKind::LeastLoad,
                                         PolicyKind::RoundRobin };

// The fault lasts for the last two thirds of the measured time.
constexpr double kFaultStartSeconds = 15;
constexpr double kFaultDurationSeconds = 20;

const std::map<std::string, std::vector<LoadFault>> kFaults{
  { "none", {} },
  { "burst",
    { { .m_at = kFaultStartSeconds,
        .m_duration = kFaultDurationSeconds,
        .m_region = 2,
        .m_loadFactor = 2.3 } } },
  { "servers-lost",
    { { .m_at = kFaultStartSeconds,
        .m_duration = kFaultDurationSeconds,
        .m_region = 0,
        .m_lostServers = 0.5 } } },
  { "region-lost",
    { { .m_at = kFaultStartSeconds,
        .m_duration = kFaultDurationSeconds,
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
      throw std::invalid_argument(
        "--factors: expected a positive number, got: " + item);
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
  throw std::invalid_argument("--policy: unknown policy: " + aText);
}

const std::vector<LoadFault>&
ParseFaults(const std::string& aText)
{
  const auto found = kFaults.find(aText);
  if (found == kFaults.end()) {
    throw std::invalid_argument("--trouble: unknown fault: " + aText);
  }
  return found->second;
}

// Sums of the metrics of several runs.
struct RunTotals
{
  double m_goodput = 0;
  double m_offered = 0;
  double m_recomputedFraction = 0;
  std::map<std::string, RequestKindStats> m_kinds;

  void Add(const LoadStats& aFigures)
  {
    m_goodput += aFigures.m_goodputPerSecond;
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
Percent(double aPart, double aTotal)
{
  return aTotal == 0 ? 0 : 100 * aPart / aTotal;
}

void
PrintRow(double aFactor,
         PolicyKind aPolicy,
         const RunTotals& aTotals,
         double aRuns)
{
  std::printf("| %.2g | %s | %.0f | %.2f | %.0f |",
              aFactor,
              NameOf(aPolicy),
              aTotals.m_goodput / aRuns,
              aTotals.m_goodput / aTotals.m_offered,
              100 * aTotals.m_recomputedFraction / aRuns);
  for (const auto& [name, kind] : aTotals.m_kinds) {
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
  const std::vector<LoadFault>& faults = ParseFaults(FLAGS_trouble);
  if (FLAGS_seeds == 0) {
    throw std::invalid_argument("--seeds: must be at least 1");
  }
  const LoadSystem system = GuidesAndBookings();
  PrintHeading(system);
  Plot plot{ .m_title = "What callers get; trouble: " + FLAGS_trouble,
             .m_xLabel = "multiple of the load",
             .m_yLabel = "worth a second" };
  for (const PolicyKind policy : policies) {
    Curve curve{ .m_name = NameOf(policy) };
    for (const double factor : factors) {
      RunTotals totals;
      for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        totals.Add(RunLoadModel({ .m_system = system,
                                  .m_policy = policy,
                                  .m_factor = factor,
                                  .m_seed = seed,
                                  .m_faults = faults }));
      }
      PrintRow(factor, policy, totals, double(FLAGS_seeds));
      curve.m_points.emplace_back(factor,
                                  totals.m_goodput / double(FLAGS_seeds));
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
  gflags::SetUsageMessage(
    "simulates a load model and prints goodput and latency");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    rattanweir::Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "overload_curve: %s\n", error.what());
    return 1;
  }
  return 0;
}
