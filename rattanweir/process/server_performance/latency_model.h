// Learns how long a backend server takes until its response starts, apart from
// queueing: a fixed cost and a cost per prompt token that is not cached.
//
//   LatencyModel model;
//   const auto expected = model.Estimate(Tokens(3'720));
//   model.Observe({ .m_tokens = Tokens(3'720), .m_estimate = total,
//                   .m_observed = observed });
//
// Both costs follow the median: each observation moves them by a step in the
// direction of its error, whatever the size of the error. A mean would follow
// the few responses that wait behind a long prompt. Plain values in and out; no
// I/O. Not thread-safe.

#pragma once

#include "rattanweir/base/units/units.h"

#include <array>
#include <chrono>

namespace rattanweir {

struct LatencyModelOptions
{
  // Used before the first observation.
  std::chrono::nanoseconds m_initialFixedCost{};
  std::chrono::duration<double, std::nano> m_initialCostPerToken{};
  // Bounds of the learned values.
  std::chrono::nanoseconds m_minFixedCost{};
  std::chrono::nanoseconds m_maxFixedCost{ std::chrono::seconds(5) };
  std::chrono::duration<double, std::nano> m_maxCostPerToken{
    std::chrono::microseconds(200)
  };
  // Number of tokens at which an observation moves both costs equally. Shorter
  // prompts mostly show the fixed cost, longer ones the cost per token.
  Tokens m_referenceTokens{ 3'000 };
  // Number of observations that set the fixed cost directly.
  unsigned m_startingObservations = 5;
  // Step of one observation, as a fraction of the mean error; errors are
  // relative to the estimate, or to this duration if that is longer.
  double m_step = 0.25;
  std::chrono::nanoseconds m_minReference{ std::chrono::milliseconds(50) };
  // Weight of the newest observation in the mean error.
  double m_errorWeight = 0.1;
};

struct LatencyObservation
{
  // Prompt tokens that the server had to process.
  Tokens m_tokens;
  // The complete estimate, of which this model's is a part.
  std::chrono::nanoseconds m_estimate{};
  std::chrono::nanoseconds m_observed{};
};

class LatencyModel
{
public:
  explicit LatencyModel(const LatencyModelOptions& aOptions = {});

  std::chrono::nanoseconds Estimate(Tokens aTokens) const;

  void Observe(const LatencyObservation& aObservation);

  std::chrono::nanoseconds FixedCost() const;
  std::chrono::duration<double, std::nano> CostPerToken() const;

private:
  double ClampFixedCost(double aCost) const;

  LatencyModelOptions m_options;
  unsigned m_observations = 0;
  // In nanoseconds.
  double m_fixedCost = 0;
  double m_costPerToken = 0;
  // Of short and of long prompts, relative to the estimate. They are kept
  // apart: short ones are the more frequent, and would set the step of long
  // ones.
  std::array<double, 2> m_meanErrors{};
};

} // namespace rattanweir
