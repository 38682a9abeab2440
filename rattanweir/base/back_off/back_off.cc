#include "rattanweir/base/back_off/back_off.h"

#include <algorithm>
#include <random>

namespace rattanweir {

BackOff::BackOff(RandomEngine& aEngine,
                 std::chrono::nanoseconds aFirst,
                 std::chrono::nanoseconds aMaxWait)
  : m_engine(aEngine)
  , m_first(aFirst)
  , m_maxStep(aMaxWait)
  , m_step(aFirst)
{
}

std::chrono::nanoseconds
BackOff::Next()
{
  std::uniform_int_distribution<std::chrono::nanoseconds::rep> waitRange(
    m_step.count() / 2, m_step.count());
  const std::chrono::nanoseconds wait(waitRange(m_engine));
  m_step = std::min(2 * m_step, m_maxStep);
  return wait;
}

} // namespace rattanweir
