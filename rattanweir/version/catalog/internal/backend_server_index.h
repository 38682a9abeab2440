// Indexes the backend servers of one section version by pool and region.

#pragma once

#include "rattanweir/version/section/section.h"

#include <map>
#include <set>
#include <unordered_map>

namespace rattanweir::internal {

class BackendServerIndex
{
public:
  BackendServerIndex() = default;
  explicit BackendServerIndex(BackendServersSection aSection);
  BackendServerIndex(const BackendServerIndex&) = delete;
  BackendServerIndex& operator=(const BackendServerIndex&) = delete;
  BackendServerIndex(BackendServerIndex&&) = default;
  BackendServerIndex& operator=(BackendServerIndex&&) = default;

  std::vector<const BackendServer*> ServersOf(const PoolId& aPool,
                                              const RegionId& aRegion) const;
  std::set<BackendServerId> Ids() const;
  std::vector<RegionId> RegionsOf(const PoolId& aPool) const;

private:
  // Ordered, so that every instance lists the regions in the same order.
  using ByRegion = std::map<RegionId, std::vector<const BackendServer*>>;

  BackendServersSection m_section;
  std::unordered_map<PoolId, ByRegion> m_byPool;
};

} // namespace rattanweir::internal
