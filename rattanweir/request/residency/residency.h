// Determines the regions in which a request may be served.
//
//   const PermittedRegions regions = PermittedRegionsOf(route, account);
//   if (!regions.Permits(localRegion)) ...
//
// The entry instance and the peer each evaluate their own configuration. The
// request runs only if both permit the region, so the stricter one applies.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/version/section/section.h"

#include <set>
#include <variant>

namespace rattanweir {

class PermittedRegions
{
public:
  // Permits every region.
  static PermittedRegions All();

  // Permits only these regions; no region if the set is empty.
  static PermittedRegions Only(std::set<RegionId> aRegions);

  bool Permits(const RegionId& aRegion) const;

  // Returns the regions that both permit.
  PermittedRegions Intersect(const PermittedRegions& aOther) const;

  // Returns whether no region is permitted.
  bool IsEmpty() const;

  // Returns whether every region is permitted.
  bool PermitsAll() const { return m_permitsAll; }

private:
  bool m_permitsAll = false;
  std::set<RegionId> m_regions;
};

// Returns the regions that the residency rule permits. `aAccount` is the
// request's client account, or null if there is none or it is not in the
// configuration. If the rule names the account's home region and that is
// unknown, no region is permitted.
PermittedRegions
PermittedRegionsOf(const Residency& aResidency, const ClientAccount* aAccount);

} // namespace rattanweir
