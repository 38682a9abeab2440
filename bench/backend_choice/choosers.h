// Selection of a backend server by one simulated instance, with either the
// product's classes or a baseline policy.
//
//   std::unique_ptr<Chooser> chooser = MakeChooser(ChooserKind::Product, ...);
//   const std::size_t engine = chooser->Choose(request);
//
// A chooser has the same information as an instance: its own dispatches, and
// the loads reported in the responses to them.

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
  ProductWithoutPrefixHints,
  // The product's policy with prefix cache hints.
  Product,
};

class Chooser
{
public:
  virtual ~Chooser() = default;

  // Returns the index of the selected engine and records a dispatch to it.
  virtual std::size_t Choose(const ModelRequest& aRequest) = 0;
  // Records that the response has started and reported this engine load.
  virtual void OnResponseStart(std::size_t aEngine,
                               const ModelRequest& aRequest,
                               double aReportedLoad) = 0;
  virtual void OnResponseEnd(std::size_t aEngine,
                             const ModelRequest& aRequest) = 0;
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
