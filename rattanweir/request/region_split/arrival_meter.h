// Measures the rate of the requests of an instance's own callers, by pool.
// Requests that peers forward don't count: the demand of a region must not
// depend on where it is served.
//
//   ArrivalMeter meter({ .m_clock = clock });
//   meter.Record(pool);
//   const std::optional<RequestRate> rate = meter.RateOf(pool);
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"

#include <chrono>
#include <map>
#include <optional>

namespace rattanweir {

struct ArrivalMeterOptions
{
  const Clock& m_clock;
  // Half-life of the arrivals that make up the rate.
  std::chrono::nanoseconds m_halfLife{ std::chrono::milliseconds(500) };
  // Time after the first arrival for which the rate is not known.
  std::chrono::nanoseconds m_warmUp{ std::chrono::seconds(1) };
};

class ArrivalMeter
{
public:
  explicit ArrivalMeter(const ArrivalMeterOptions& aOptions);

  void Record(const PoolId& aPool);

  // Returns nullopt until the pool has been in use for the warm-up time.
  std::optional<RequestRate> RateOf(const PoolId& aPool) const;

private:
  struct Pool
  {
    SteadyTime m_firstAt;
    double m_count = 0;
    SteadyTime m_countedAt;
  };

  double Decayed(const Pool& aPool, SteadyTime aNow) const;

  ArrivalMeterOptions m_options;
  std::map<PoolId, Pool> m_pools;
};

} // namespace rattanweir
