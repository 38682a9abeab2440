#include "rattanweir/process/periodic_steps/periodic_steps.h"

#include <catch2/catch.hpp>

#include <stdexcept>

namespace rattanweir {
namespace {

TEST_CASE("a step that fails keeps neither the others nor itself from running")
{
  Metrics metrics;
  PeriodicSteps steps(metrics);
  std::string runs;
  steps.Add("first", [&] { runs += "1"; });
  steps.Add("second", [&] {
    runs += "2";
    if (runs.size() < 5) {
      throw std::out_of_range("map::at");
    }
  });
  steps.Add("third", [&] { runs += "3"; });
  for (int tick = 0; tick < 3; ++tick) {
    CHECK_NOTHROW(steps.RunAll());
  }
  CHECK(runs == "123123123");
  CHECK(metrics.Counter("rattanweir_step_failures_total") == 1);
}

} // namespace
} // namespace rattanweir
