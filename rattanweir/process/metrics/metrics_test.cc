#include "rattanweir/process/metrics/metrics.h"

#include <catch2/catch.hpp>

#include <sstream>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

bool
HasLine(const Metrics& aMetrics, const std::string& aLine)
{
  std::istringstream page(aMetrics.Exposition());
  for (std::string line; std::getline(page, line);) {
    if (line == aLine) {
      return true;
    }
  }
  return false;
}

TEST_CASE("every result code has its own counters, which start at 0")
{
  Metrics metrics;
  metrics.CountRefusal(ResultCode::RateExceeded);
  metrics.CountRetry(ResultCode::BackendReset);
  for (const ResultInfo& info : AllResults()) {
    if (info.m_code == ResultCode::Ok) {
      continue;
    }
    const std::string labels = "{code=\"" +
                               std::to_string(static_cast<int>(info.m_code)) +
                               "\",name=\"" + std::string(info.m_name) + "\"} ";
    const bool isRefused = info.m_code == ResultCode::RateExceeded;
    const bool isRetried = info.m_code == ResultCode::BackendReset;
    CAPTURE(info.m_name);
    REQUIRE(HasLine(
      metrics, "rattanweir_refusals_total" + labels + (isRefused ? "1" : "0")));
    REQUIRE(HasLine(
      metrics, "rattanweir_retries_total" + labels + (isRetried ? "1" : "0")));
  }
}

TEST_CASE("counters accumulate and gauges are read on exposition")
{
  Metrics metrics;
  double value = 1;
  metrics.SetGauge("rattanweir_in_flight", [&] { return value; });
  metrics.Count("rattanweir_bytes_total", 3);
  metrics.Count("rattanweir_bytes_total", 4);
  value = 2;
  REQUIRE(HasLine(metrics, "rattanweir_in_flight 2"));
  REQUIRE(HasLine(metrics, "rattanweir_bytes_total 7"));
}

TEST_CASE("a summary estimates its quantiles")
{
  Metrics metrics;
  for (int sample = 1; sample <= 1000; ++sample) {
    metrics.Observe("rattanweir_request_seconds", sample * 1ms);
  }
  REQUIRE(HasLine(metrics, "rattanweir_request_seconds_count 1000"));
  const std::string page = metrics.Exposition();
  const std::string label = "rattanweir_request_seconds{quantile=\"0.95\"} ";
  const std::size_t position = page.find(label);
  REQUIRE(position != std::string::npos);
  REQUIRE(std::stod(page.substr(position + label.size())) ==
          Approx(0.95).margin(0.02));
}

} // namespace
} // namespace rattanweir
