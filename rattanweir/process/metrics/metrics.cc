#include "rattanweir/process/metrics/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <sstream>
#include <utility>

namespace rattanweir {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{ 0.5, 0.95, 0.99 };

using Summary = accumulators::accumulator_set<
  double,
  accumulators::stats<accumulators::tag::count,
                      accumulators::tag::sum,
                      accumulators::tag::extended_p_square_quantile>>;

Summary
MakeSummary()
{
  return Summary(accumulators::tag::extended_p_square::probabilities =
                   kQuantiles);
}

using CountersByCode = std::map<ResultCode, std::uint64_t>;

std::uint64_t
CountForCode(const CountersByCode& aCounters, ResultCode aCode)
{
  const auto found = aCounters.find(aCode);
  return found == aCounters.end() ? 0 : found->second;
}

void
WriteCodeCounters(std::ostream& aOut,
                  const std::string& aName,
                  const CountersByCode& aCounters)
{
  aOut << "# TYPE " << aName << " counter\n";
  for (const ResultInfo& info : AllResults()) {
    if (info.m_code == ResultCode::Ok) {
      continue;
    }
    aOut << aName << "{code=\"" << static_cast<unsigned>(info.m_code)
         << "\",name=\"" << info.m_name << "\"} "
         << CountForCode(aCounters, info.m_code) << "\n";
  }
}

void
WriteSummary(std::ostream& aOut,
             const std::string& aName,
             const Summary& aSummary)
{
  aOut << "# TYPE " << aName << " summary\n";
  for (const double quantile : kQuantiles) {
    const double value = accumulators::quantile(
      aSummary, accumulators::quantile_probability = quantile);
    aOut << aName << "{quantile=\"" << quantile << "\"} " << value << "\n";
  }
  aOut << aName << "_sum " << accumulators::sum(aSummary) << "\n"
       << aName << "_count " << accumulators::count(aSummary) << "\n";
}

} // namespace

struct Metrics::State
{
  CountersByCode m_refusals;
  CountersByCode m_retries;
  std::map<std::string, std::uint64_t> m_counters;
  std::map<std::string, std::function<double()>> m_gauges;
  std::map<std::string, Summary> m_summaries;
};

Metrics::Metrics()
  : m_state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void
Metrics::CountRefusal(ResultCode aCode)
{
  ++m_state->m_refusals[aCode];
}

void
Metrics::CountRetry(ResultCode aCode)
{
  ++m_state->m_retries[aCode];
}

std::uint64_t
Metrics::Refusals(ResultCode aCode) const
{
  return CountForCode(m_state->m_refusals, aCode);
}

std::uint64_t
Metrics::Retries(ResultCode aCode) const
{
  return CountForCode(m_state->m_retries, aCode);
}

void
Metrics::Count(const std::string& aName, std::uint64_t aAmount)
{
  m_state->m_counters[aName] += aAmount;
}

std::uint64_t
Metrics::Counter(const std::string& aName) const
{
  const auto found = m_state->m_counters.find(aName);
  return found == m_state->m_counters.end() ? 0 : found->second;
}

void
Metrics::SetGauge(const std::string& aName, std::function<double()> aRead)
{
  m_state->m_gauges[aName] = std::move(aRead);
}

void
Metrics::Observe(const std::string& aName, std::chrono::nanoseconds aDuration)
{
  auto found = m_state->m_summaries.find(aName);
  if (found == m_state->m_summaries.end()) {
    found = m_state->m_summaries.emplace(aName, MakeSummary()).first;
  }
  found->second(std::chrono::duration<double>(aDuration).count());
}

std::string
Metrics::Exposition() const
{
  std::ostringstream out;
  WriteCodeCounters(out, "rattanweir_refusals_total", m_state->m_refusals);
  WriteCodeCounters(out, "rattanweir_retries_total", m_state->m_retries);
  for (const auto& [name, value] : m_state->m_counters) {
    out << "# TYPE " << name << " counter\n" << name << " " << value << "\n";
  }
  for (const auto& [name, read] : m_state->m_gauges) {
    out << "# TYPE " << name << " gauge\n" << name << " " << read() << "\n";
  }
  for (const auto& [name, summary] : m_state->m_summaries) {
    WriteSummary(out, name, summary);
  }
  return out.str();
}

} // namespace rattanweir
