#include "rattanweir/request/region_split/region_split.h"

#include <algorithm>
#include <cmath>

namespace rattanweir {
namespace {

bool
IsUsable(RequestRate aRate)
{
  return std::isfinite(aRate.Value()) && aRate.Value() >= 0;
}

bool
IsPermitted(const std::optional<std::set<RegionId>>& aPermitted,
            const RegionId& aRegion)
{
  return !aPermitted || aPermitted->contains(aRegion);
}

} // namespace

RegionSplit::RegionSplit(const RegionSplitOptions& aOptions)
  : m_options(aOptions)
{
}

bool
RegionSplit::IsUpdateDue(const PoolId& aPool) const
{
  const auto found = m_pools.find(aPool);
  return found == m_pools.end() ||
         m_options.m_clock.SteadyNow() - found->second.m_updatedAt >=
           m_options.m_updateInterval;
}

std::vector<RegionLoad>
RegionSplit::UsableLoads(const Pool& aPool,
                         std::span<const RegionLoad> aLoads) const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::vector<RegionLoad> usable;
  for (RegionLoad load : aLoads) {
    if (!IsUsable(load.m_demand) || !IsUsable(load.m_capacity)) {
      continue;
    }
    const auto refusals = aPool.m_refusals.find(load.m_region);
    if (refusals != aPool.m_refusals.end() && now < refusals->second.m_until) {
      // As if the rest of the spare capacity were in use.
      load.m_demand +=
        RequestRate((1 - refusals->second.m_factor) * load.Spare().Value());
    }
    usable.push_back(load);
  }
  return usable;
}

SplitChange
RegionSplit::Update(const PoolId& aPool,
                    std::span<const RegionLoad> aLoads,
                    const RegionId& aOwn)
{
  Pool& pool = m_pools[aPool];
  pool.m_updatedAt = m_options.m_clock.SteadyNow();
  pool.m_loads = UsableLoads(pool, aLoads);
  std::map<RegionId, double> targets;
  for (const SpilloverShare& share : SplitSurplus(pool.m_loads, aOwn)) {
    targets[share.m_region] = share.m_fraction;
  }
  const bool wasActive = !pool.m_fractions.empty();
  for (const auto& [region, fraction] : pool.m_fractions) {
    targets.try_emplace(region, 0);
  }
  for (const auto& [region, target] : targets) {
    double& fraction = pool.m_fractions[region];
    fraction +=
      std::clamp(target - fraction, -m_options.m_maxFall, m_options.m_maxRise);
  }
  std::erase_if(pool.m_fractions,
                [](const auto& aEntry) { return aEntry.second <= 0; });
  const bool isActive = !pool.m_fractions.empty();
  if (isActive == wasActive) {
    return SplitChange::None;
  }
  return isActive ? SplitChange::Begins : SplitChange::Ends;
}

std::optional<RegionId>
RegionSplit::Choose(const PoolId& aPool,
                    double aDraw,
                    const std::optional<std::set<RegionId>>& aPermitted) const
{
  const auto found = m_pools.find(aPool);
  if (found == m_pools.end()) {
    return std::nullopt;
  }
  // Requests that may go to some of the regions only take the fraction of all
  // there: otherwise more of them would stay than of the others.
  double sent = 0;
  double permitted = 0;
  for (const auto& [region, fraction] : found->second.m_fractions) {
    sent += fraction;
    permitted += IsPermitted(aPermitted, region) ? fraction : 0;
  }
  if (permitted <= 0) {
    return std::nullopt;
  }
  double draw = aDraw / sent * permitted;
  for (const auto& [region, fraction] : found->second.m_fractions) {
    if (!IsPermitted(aPermitted, region)) {
      continue;
    }
    draw -= fraction;
    if (draw < 0) {
      return region;
    }
  }
  return std::nullopt;
}

bool
RegionSplit::IsKnownFull(const PoolId& aPool, const RegionId& aRegion) const
{
  const auto found = m_pools.find(aPool);
  if (found == m_pools.end()) {
    return false;
  }
  const auto load =
    std::ranges::find(found->second.m_loads, aRegion, &RegionLoad::m_region);
  return load != found->second.m_loads.end() && load->Spare() <= RequestRate(0);
}

void
RegionSplit::RecordRefusal(const PoolId& aPool, const RegionId& aRegion)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  Refusals& refusals = m_pools[aPool].m_refusals[aRegion];
  if (now >= refusals.m_until) {
    refusals.m_factor = 1;
  }
  refusals.m_factor = std::max(m_options.m_minRefusalFactor,
                               refusals.m_factor * m_options.m_refusalFactor);
  refusals.m_until = now + m_options.m_refusalTime;
}

std::span<const RegionLoad>
RegionSplit::LoadsOf(const PoolId& aPool) const
{
  const auto found = m_pools.find(aPool);
  return found == m_pools.end() ? std::span<const RegionLoad>()
                                : found->second.m_loads;
}

} // namespace rattanweir
