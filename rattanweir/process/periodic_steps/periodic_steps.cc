#include "rattanweir/process/periodic_steps/periodic_steps.h"

#include "rattanweir/process/logging/log.h"

#include <exception>
#include <utility>

namespace rattanweir {

PeriodicSteps::PeriodicSteps(Metrics& aMetrics)
  : m_metrics(aMetrics)
{
}

void
PeriodicSteps::Add(std::string aName, std::function<void()> aRun)
{
  m_steps.push_back({ .m_name = std::move(aName), .m_run = std::move(aRun) });
}

void
PeriodicSteps::RunAll()
{
  for (Step& step : m_steps) {
    std::string failure;
    try {
      step.m_run();
    } catch (const std::exception& error) {
      failure = error.what();
      m_metrics.Count("rattanweir_step_failures_total");
    }
    if (!failure.empty() && failure != step.m_failure) {
      Log(LogLevel::Error,
          "step_failed",
          { { "step", step.m_name }, { "detail", failure } });
    }
    step.m_failure = std::move(failure);
  }
}

} // namespace rattanweir
