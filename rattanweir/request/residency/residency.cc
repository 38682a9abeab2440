#include "rattanweir/request/residency/residency.h"

#include <utility>

namespace rattanweir {
namespace {

struct PermittedRegionsVisitor
{
  const ClientAccount* m_account;

  PermittedRegions operator()(const AnyRegion&) const
  {
    return PermittedRegions::All();
  }
  PermittedRegions operator()(const HomeRegionOfClientAccount&) const
  {
    if (m_account == nullptr || !m_account->m_homeRegion) {
      return PermittedRegions::Only({});
    }
    return PermittedRegions::Only({ *m_account->m_homeRegion });
  }
  PermittedRegions operator()(const ListedRegions& aListed) const
  {
    return PermittedRegions::Only(aListed.m_regions);
  }
};

} // namespace

PermittedRegions
PermittedRegions::All()
{
  PermittedRegions regions;
  regions.m_permitsAll = true;
  return regions;
}

PermittedRegions
PermittedRegions::Only(std::set<RegionId> aRegions)
{
  PermittedRegions regions;
  regions.m_regions = std::move(aRegions);
  return regions;
}

bool
PermittedRegions::Permits(const RegionId& aRegion) const
{
  return m_permitsAll || m_regions.contains(aRegion);
}

PermittedRegions
PermittedRegions::Intersect(const PermittedRegions& aOther) const
{
  if (m_permitsAll) {
    return aOther;
  }
  PermittedRegions both = *this;
  std::erase_if(both.m_regions, [&](const RegionId& aRegion) {
    return !aOther.Permits(aRegion);
  });
  return both;
}

bool
PermittedRegions::IsEmpty() const
{
  return !m_permitsAll && m_regions.empty();
}

PermittedRegions
PermittedRegionsOf(const Residency& aResidency, const ClientAccount* aAccount)
{
  return std::visit(PermittedRegionsVisitor{ aAccount }, aResidency);
}

} // namespace rattanweir
