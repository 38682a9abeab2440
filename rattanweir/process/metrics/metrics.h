// Counters, gauges and latency quantiles of one process. Used by both paths.
//
//   Metrics metrics;
//   metrics.CountRefusal(ResultCode::RateExceeded);
//   metrics.Observe("rattanweir_request_seconds", duration);
//   std::string page = metrics.Exposition();
//
// Exposition returns the Prometheus text format. The refusal and retry counters
// contain every result code from the start, so that a code that has not
// occurred is reported as 0. Metric names are constants in the program.
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/result/result_code.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace rattanweir {

class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Count a refusal sent to a caller, or a retried attempt, by its cause.
  void CountRefusal(ResultCode aCode);
  void CountRetry(ResultCode aCode);
  std::uint64_t Refusals(ResultCode aCode) const;
  std::uint64_t Retries(ResultCode aCode) const;

  // Adds to a counter. By convention its name ends with `_total`.
  void Count(const std::string& aName, std::uint64_t aAmount = 1);
  // Returns 0 for a counter that has not been used.
  std::uint64_t Counter(const std::string& aName) const;

  // Registers a gauge. `aRead` is called on each call of Exposition.
  void SetGauge(const std::string& aName, std::function<double()> aRead);

  // Adds a duration to a summary with the quantiles 0.5, 0.95 and 0.99. By
  // convention its name ends with `_seconds`.
  void Observe(const std::string& aName, std::chrono::nanoseconds aDuration);

  // Returns all metrics in the text exposition format.
  std::string Exposition() const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace rattanweir
