#include "rattanweir/request/region_split/arrival_meter.h"

#include <cmath>
#include <numbers>

namespace rattanweir {

ArrivalMeter::ArrivalMeter(const ArrivalMeterOptions& aOptions)
  : m_options(aOptions)
{
}

double
ArrivalMeter::Decayed(const Pool& aPool, SteadyTime aNow) const
{
  const std::chrono::duration<double> age = aNow - aPool.m_countedAt;
  const std::chrono::duration<double> halfLife = m_options.m_halfLife;
  return aPool.m_count * std::exp2(-age / halfLife);
}

void
ArrivalMeter::Record(const PoolId& aPool)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  Pool& pool =
    m_pools.try_emplace(aPool, Pool{ .m_firstAt = now, .m_countedAt = now })
      .first->second;
  pool.m_count = Decayed(pool, now) + 1;
  pool.m_countedAt = now;
}

std::optional<RequestRate>
ArrivalMeter::RateOf(const PoolId& aPool) const
{
  const auto found = m_pools.find(aPool);
  const SteadyTime now = m_options.m_clock.SteadyNow();
  if (found == m_pools.end() ||
      now - found->second.m_firstAt < m_options.m_warmUp) {
    return std::nullopt;
  }
  // A constant rate r adds up to r * halfLife / ln 2 decayed arrivals.
  const std::chrono::duration<double> halfLife = m_options.m_halfLife;
  return RequestRate(Decayed(found->second, now) * std::numbers::ln2 /
                     halfLife.count());
}

} // namespace rattanweir
