// How one instance of the bench chooses: by the product's classes or by a
// baseline.
//
//   std::unique_ptr<Chooser> chooser = MakeChooser(ChooserKind::Product, ...);
//   const std::size_t engine = chooser->Choose(request);
//
// A chooser knows what an instance knows: its own dispatches, and the loads
// that came with its own answers.

#pragma once

#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/base/random/random.h"
#include "testing/engine_model/engine_model.h"

#include <memory>

namespace rattanweir {

enum class ChooserKind
{
  Random,
  RoundRobin,
  LeastReported,
  // The product without hints of prefixes, and with them.
  Unhinted,
  Product,
};

class Chooser
{
public:
  virtual ~Chooser() = default;

  // Chooses an engine and counts the dispatch.
  virtual std::size_t Choose(const ModelRequest& aRequest) = 0;
  // The answer has begun and carried this load.
  virtual void Begin(std::size_t aEngine,
                     const ModelRequest& aRequest,
                     double aReportedLoad) = 0;
  virtual void End(std::size_t aEngine, const ModelRequest& aRequest) = 0;
};

struct ChooserOptions
{
  ChooserKind m_kind = ChooserKind::Product;
  std::size_t m_engines = 0;
  const ManualClock& m_clock;
  RandomEngine& m_random;
};

std::unique_ptr<Chooser>
MakeChooser(const ChooserOptions& aOptions);

} // namespace rattanweir
