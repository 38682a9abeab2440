// One pool of engines with several instances before it, as discrete events.
//
//   const PoolFigures figures = RunPool({ .m_seed = 1, .m_engines = 4, ... });
//
// Requests arrive at random instances as a Poisson stream. Prompts begin with
// one of many documents, some far more in demand than others.

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
  // How old the load is that an answer reports.
  double m_lagSeconds = 0;
  double m_requestsPerSecondPerEngine = 3.0;
  std::size_t m_documentsPerEngine = 10;
  // The exponent of the documents' demand by rank.
  double m_documentSkew = 0.8;
  double m_warmUpSeconds = 30;
  double m_endSeconds = 150;
};

struct PoolFigures
{
  // Seconds to the first token.
  double m_p50 = 0;
  double m_p95 = 0;
  double m_p99 = 0;
  // Share of the prompts whose document was cached.
  double m_hitShare = 0;
  // Share of the dispatches to the engine that was the most loaded one.
  double m_herding = 0;
};

PoolFigures
RunPool(const PoolOptions& aOptions);

} // namespace rattanweir
