// Discrete-event simulation of one pool of engines and the instances that
// dispatch requests to it.
//
//   const PoolMetrics metrics = RunPool({ .m_seed = 1, .m_engines = 4, ... });
//
// Requests form a Poisson process and arrive at random instances. Each prompt
// starts with one of many documents, whose popularity follows a power law.

#pragma once

#include "bench/backend_choice/choosers.h"

#include <cstdint>

namespace rattanweir {

struct PoolOptions
{
  std::uint64_t m_seed = 0;
  ChooserKind m_chooser = ChooserKind::Product;
  std::size_t m_engines = 0;
  std::size_t m_instances = 0;
  // Age of the engine load that a response reports.
  double m_lagSeconds = 0;
  double m_requestsPerSecondPerEngine = 3.0;
  std::size_t m_documentsPerEngine = 10;
  // Exponent of the power law that gives a document's popularity by its rank.
  double m_documentSkew = 0.8;
  double m_warmUpSeconds = 30;
  double m_endSeconds = 150;
};

struct PoolMetrics
{
  // Quantiles of the time to first token in seconds.
  double m_p50 = 0;
  double m_p95 = 0;
  double m_p99 = 0;
  // Fraction of the prompts whose document was in the engine's prefix cache.
  double m_prefixHitRatio = 0;
  // Fraction of the dispatches that went to the most loaded engine.
  double m_mostLoadedRatio = 0;
};

PoolMetrics
RunPool(const PoolOptions& aOptions);

} // namespace rattanweir
