#include "rattanweir/request/gateway/entry_list.h"

#include <algorithm>
#include <random>

namespace rattanweir {
namespace {

using Members = std::vector<const FleetMember*>;

// Fewer than this in the caller's zone would be too few to choose among.
constexpr std::size_t kFewestInZone = 3;

template<class Predicate>
Members
Those(const Members& aMembers, Predicate aPredicate)
{
  Members those;
  std::ranges::copy_if(aMembers, std::back_inserter(those), aPredicate);
  return those;
}

Members
NearestServing(const FleetView& aFleet, const EntryQuery& aQuery)
{
  const Members all = aFleet.Serving();
  const Members inRegion = Those(all, [&](const FleetMember* aMember) {
    return aMember->m_region == aQuery.m_region;
  });
  Members inZone = Those(inRegion, [&](const FleetMember* aMember) {
    return aMember->m_zone == aQuery.m_zone;
  });
  if (inZone.size() >= kFewestInZone) {
    return inZone;
  }
  return inRegion.empty() ? all : inRegion;
}

// Leaves out weaker ones by chance, but never all.
void
ThinOut(Members& aMembers, RandomEngine& aRandom)
{
  double strongest = 0;
  for (const FleetMember* member : aMembers) {
    strongest = std::max(strongest, member->m_capacity);
  }
  std::erase_if(aMembers, [&](const FleetMember* aMember) {
    const double drawn =
      std::uniform_real_distribution<double>(0, strongest)(aRandom);
    return drawn > aMember->m_capacity;
  });
}

} // namespace

std::vector<Endpoint>
SelectEntryEndpoints(const FleetView& aFleet,
                     const EntryQuery& aQuery,
                     RandomEngine& aRandom)
{
  Members members = NearestServing(aFleet, aQuery);
  ThinOut(members, aRandom);
  std::shuffle(members.begin(), members.end(), aRandom);
  members.resize(std::min(members.size(), aQuery.m_maxEntries));
  std::vector<Endpoint> entries;
  for (const FleetMember* member : members) {
    entries.push_back(member->m_callerAddress);
  }
  return entries;
}

} // namespace rattanweir
