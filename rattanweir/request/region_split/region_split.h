// Which of its own requests an instance sends to other regions, because its own
// region has more demand than capacity. One state for each pool.
//
//   RegionSplit split({ .m_clock = clock });
//   split.Update(pool, loads, ownRegion);
//   const auto region = split.Choose(pool, draw, permittedRegions);
//
// Without figures, with ones that are too old (which the caller leaves out) or
// none of this pool, nothing is sent by the split, and the placement decides by
// its estimates. Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/request/region_split/split_surplus.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <span>

namespace rattanweir {

struct RegionSplitOptions
{
  const Clock& m_clock;
  // Least time between two updates of a pool.
  std::chrono::nanoseconds m_updateInterval{ std::chrono::milliseconds(200) };
  // Maximum changes of a fraction in one update. Figures of different instances
  // differ in age; a rise that follows each of them at once would swing. What
  // exceeds the capacity of a region is refused there, so that a fraction falls
  // faster than it rises.
  double m_maxRise = 0.15;
  double m_maxFall = 0.5;
  // Factor on the spare capacity of a region after a refusal there, and the
  // time for which it holds.
  double m_refusalFactor = 0.7;
  double m_minRefusalFactor = 0.1;
  std::chrono::nanoseconds m_refusalTime{ std::chrono::seconds(1) };
};

// What an update changed.
enum class SplitChange
{
  None,
  Begins,
  Ends,
};

class RegionSplit
{
public:
  explicit RegionSplit(const RegionSplitOptions& aOptions);

  bool IsUpdateDue(const PoolId& aPool) const;

  // Moves the fractions towards those that follow from the loads. Figures that
  // are negative or not finite are left out.
  SplitChange Update(const PoolId& aPool,
                     std::span<const RegionLoad> aLoads,
                     const RegionId& aOwn);

  // Returns the region to which a request is sent, or nullopt if it is not to
  // be sent by the split. `aDraw` is a random number from 0 to 1.
  std::optional<RegionId> Choose(
    const PoolId& aPool,
    double aDraw,
    const std::optional<std::set<RegionId>>& aPermitted) const;

  // Returns whether the figures show that the region has no spare capacity.
  bool IsKnownFull(const PoolId& aPool, const RegionId& aRegion) const;

  // Records that a peer of the region refused a request that was sent there.
  void RecordRefusal(const PoolId& aPool, const RegionId& aRegion);

  // Returns the loads of the last update.
  std::span<const RegionLoad> LoadsOf(const PoolId& aPool) const;

private:
  struct Refusals
  {
    double m_factor = 1;
    SteadyTime m_until;
  };

  struct Pool
  {
    SteadyTime m_updatedAt;
    std::vector<RegionLoad> m_loads;
    std::map<RegionId, double> m_fractions;
    std::map<RegionId, Refusals> m_refusals;
  };

  // Returns the usable loads, with the spare capacity lowered where requests
  // were refused.
  std::vector<RegionLoad> UsableLoads(const Pool& aPool,
                                      std::span<const RegionLoad> aLoads) const;

  RegionSplitOptions m_options;
  std::map<PoolId, Pool> m_pools;
};

} // namespace rattanweir
