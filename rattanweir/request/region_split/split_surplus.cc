#include "rattanweir/request/region_split/split_surplus.h"

#include <algorithm>

namespace rattanweir {
namespace {

// Utilization up to which a region serves its own demand: arrivals vary, and
// the queueing time grows steeply above it.
constexpr double kTargetUtilization = 0.85;

} // namespace

RequestRate
RegionLoad::Surplus() const
{
  return RequestRate(
    std::max(0.0, m_demand.Value() - kTargetUtilization * m_capacity.Value()));
}

RequestRate
RegionLoad::Spare() const
{
  return RequestRate(
    std::max(0.0, kTargetUtilization * m_capacity.Value() - m_demand.Value()));
}

std::vector<SpilloverShare>
SplitSurplus(std::span<const RegionLoad> aLoads, const RegionId& aOwn)
{
  const auto own = std::ranges::find(aLoads, aOwn, &RegionLoad::m_region);
  if (own == aLoads.end() || own->Surplus() <= RequestRate(0)) {
    return {};
  }
  RequestRate surplus;
  RequestRate spare;
  for (const RegionLoad& load : aLoads) {
    surplus += load.Surplus();
    spare += load.Spare();
  }
  if (spare <= RequestRate(0)) {
    return {};
  }
  const double placed = std::min(1.0, spare.Value() / surplus.Value());
  const double sent = placed * own->Surplus().Value() / own->m_demand.Value();
  std::vector<SpilloverShare> shares;
  for (const RegionLoad& load : aLoads) {
    if (load.Spare() <= RequestRate(0)) {
      continue;
    }
    shares.push_back(
      { .m_region = load.m_region,
        .m_fraction = sent * load.Spare().Value() / spare.Value() });
  }
  return shares;
}

} // namespace rattanweir
