// Runs the recurring work of a process, so that an unexpected error in one step
// ends neither the process nor the other steps.
//
//   PeriodicSteps steps(metrics);
//   steps.Add("evict_servers", [&] { EvictRemovedServers(); });
//   steps.RunAll();  // at each tick
//
// A step that throws is logged as `step_failed` with its name, counted in
// `rattanweir_step_failures_total`, and run again at the next tick. Used on the
// users' platform (settings with `fleet`). Not thread-safe.

#pragma once

#include "rattanweir/process/metrics/metrics.h"

#include <functional>
#include <string>
#include <vector>

namespace rattanweir {

class PeriodicSteps
{
public:
  explicit PeriodicSteps(Metrics& aMetrics);

  void Add(std::string aName, std::function<void()> aRun);

  // Runs the steps in the order in which they were added.
  void RunAll();

private:
  struct Step
  {
    std::string m_name;
    std::function<void()> m_run;
    // The message of the last failure; empty if the last run succeeded. A
    // failure that repeats is logged once.
    std::string m_failure;
  };

  Metrics& m_metrics;
  std::vector<Step> m_steps;
};

} // namespace rattanweir
