// The regions in which a request may be served.
//
//   const PermittedRegions regions = PermittedRegionsOf(route, account);
//   if (!regions.Permits(here)) ...
//
// The entry instance and the peer each ask with their own configuration; the
// request runs only where both say yes, so the strictest one wins.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/version/section/section.h"

#include <set>
#include <variant>

namespace rattanweir {

class PermittedRegions
{
public:
  // Every region.
  static PermittedRegions All();

  // These regions; none at all if the set is empty.
  static PermittedRegions Only(std::set<RegionId> aRegions);

  bool Permits(const RegionId& aRegion) const;

  // The regions that both permit.
  PermittedRegions Intersect(const PermittedRegions& aOther) const;

  // Whether no region at all is permitted.
  bool IsEmpty() const;

  // Whether every region is permitted.
  bool PermitsAll() const { return m_permitsAll; }

private:
  bool m_permitsAll = false;
  std::set<RegionId> m_regions;
};

// `aAccount` is the request's client account, or null if there is none or it
// is not in the configuration. A home that is not known permits no region.
PermittedRegions
PermittedRegionsOf(const Residency& aResidency, const ClientAccount* aAccount);

} // namespace rattanweir
