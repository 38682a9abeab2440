#include "rattanweir/process/stream_origins/origin_coverage.h"

#include <algorithm>
#include <map>

namespace rattanweir {

bool
IsConclusive(std::span<const OriginHolder> aHolders)
{
  struct Count
  {
    std::size_t m_holders = 0;
    std::size_t m_covered = 0;
  };
  std::map<RegionId, Count> regions;
  std::size_t uncovered = 0;
  std::size_t silent = 0;
  for (const OriginHolder& holder : aHolders) {
    Count& count = regions[holder.m_region];
    ++count.m_holders;
    count.m_covered += holder.m_isCovered ? 1 : 0;
    uncovered += holder.m_isCovered ? 0 : 1;
    silent += holder.m_isSilent ? 1 : 0;
  }
  if (uncovered == 0) {
    return !aHolders.empty();
  }
  if (regions.size() == 1) {
    return uncovered < std::min(kOriginHolders, aHolders.size()) &&
           (silent == 0 ||
            silent < std::min(kOriginHolders, aHolders.size() - 1));
  }
  const auto isAffected = [](const auto& aRegion) {
    return aRegion.second.m_covered < aRegion.second.m_holders;
  };
  const auto first = std::ranges::find_if(regions, isAffected);
  return first->second.m_covered > 0 &&
         std::find_if(std::next(first), regions.end(), isAffected) ==
           regions.end();
}

} // namespace rattanweir
