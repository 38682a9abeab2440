// How long to wait before something that failed is tried again.
//
//   BackOff backOff(engine, 100ms, 10s);
//   co_await WaitFor(executor, backOff.Next(), cancel);
//   backOff.Reset();
//
// For one thread.

#pragma once

#include "rattanweir/base/random/random.h"

#include <chrono>

namespace rattanweir {

// Doubles its step up to a bound; each wait is between half a step and a whole
// one, so that readers that failed together do not come back together.
class BackOff
{
public:
  BackOff(RandomEngine& aEngine,
          std::chrono::nanoseconds aFirst,
          std::chrono::nanoseconds aMaxWait);

  std::chrono::nanoseconds Next();
  // After a success.
  void Reset() { m_step = m_first; }

private:
  RandomEngine& m_engine;
  std::chrono::nanoseconds m_first;
  std::chrono::nanoseconds m_maxStep;
  std::chrono::nanoseconds m_step;
};

} // namespace rattanweir
