// Counters, gauges and latency quantiles of one process.
//
//   Metrics metrics;
//   metrics.CountRefusal(ResultCode::RateExceeded);
//   metrics.Observe("rattanweir_request_seconds", duration);
//   std::string page = metrics.Exposition();
//
// Exposition gives the usual text format. Every result code has a row among
// the refusals and the retries from the start, so that a zero is seen as zero.
// Names are fixed texts in the program. For one thread.

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

  // One refusal answered, or one attempt made again, for this reason.
  void CountRefusal(ResultCode aCode);
  void CountRetry(ResultCode aCode);
  std::uint64_t Refusals(ResultCode aCode) const;
  std::uint64_t Retries(ResultCode aCode) const;

  // Adds to a counter. By convention its name ends on `_total`.
  void Count(const std::string& aName, std::uint64_t aAmount = 1);
  std::uint64_t Counter(const std::string& aName) const;

  // Reads the value when the page is asked for.
  void SetGauge(const std::string& aName, std::function<double()> aRead);

  // Adds one duration to a summary with the quantiles 0.5, 0.95 and 0.99. By
  // convention its name ends on `_seconds`.
  void Observe(const std::string& aName, std::chrono::nanoseconds aDuration);

  // All of it, in the text exposition format.
  std::string Exposition() const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace rattanweir
