// Exponential backoff with jitter for retries.
//
//   BackOff backOff(engine, 100ms, 10s);
//   co_await WaitFor(executor, backOff.Next(), cancel);
//   backOff.Reset();
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/random/random.h"

#include <chrono>

namespace rattanweir {

// Doubles the step after each wait, up to a maximum. Each wait is drawn
// uniformly between half the step and the step, so that clients that failed at
// the same time do not retry at the same time.
class BackOff
{
public:
  BackOff(RandomEngine& aEngine,
          std::chrono::nanoseconds aFirst,
          std::chrono::nanoseconds aMaxWait);

  // Returns the next wait.
  std::chrono::nanoseconds Next();
  // Restarts with the first step. Call it after a success.
  void Reset() { m_step = m_first; }

private:
  RandomEngine& m_engine;
  std::chrono::nanoseconds m_first;
  std::chrono::nanoseconds m_maxStep;
  std::chrono::nanoseconds m_step;
};

} // namespace rattanweir
