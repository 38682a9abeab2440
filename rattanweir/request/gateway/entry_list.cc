#include "rattanweir/request/gateway/entry_list.h"

#include <algorithm>
#include <random>

namespace rattanweir {
namespace {

using Members = std::vector<const FleetMember*>;

// With fewer instances in the caller's zone, entries from the entire region are
// used.
constexpr std::size_t kMinEntriesInZone = 3;

template<class Predicate>
Members
Filter(const Members& aMembers, Predicate aPredicate)
{
  Members matching;
  std::ranges::copy_if(aMembers, std::back_inserter(matching), aPredicate);
  return matching;
}

// Leaves out the instances that reach no backend server, unless these are more
// than half: the others would have to serve all callers.
Members
PreferConnected(const Members& aMembers)
{
  Members connected = Filter(
    aMembers, [](const FleetMember* aMember) { return !aMember->IsCutOff(); });
  return 2 * connected.size() >= aMembers.size() ? connected : aMembers;
}

// Returns the instances that accept requests in the caller's zone, else in its
// region, else in all regions.
Members
SelectByLocality(const FleetView& aFleet, const EntryQuery& aQuery)
{
  const Members all = aFleet.ServingMembers();
  const Members inRegion = Filter(all, [&](const FleetMember* aMember) {
    return aMember->m_region == aQuery.m_region;
  });
  Members inZone = Filter(inRegion, [&](const FleetMember* aMember) {
    return aMember->m_zone == aQuery.m_zone;
  });
  if (inZone.size() >= kMinEntriesInZone) {
    return inZone;
  }
  return inRegion.empty() ? all : inRegion;
}

// Keeps each instance with a probability proportional to its capacity; always
// keeps those of the highest capacity.
void
SampleByCapacity(Members& aMembers, RandomEngine& aRandom)
{
  double maxCapacity = 0;
  for (const FleetMember* member : aMembers) {
    maxCapacity = std::max(maxCapacity, member->m_capacity);
  }
  std::erase_if(aMembers, [&](const FleetMember* aMember) {
    const double drawn =
      std::uniform_real_distribution<double>(0, maxCapacity)(aRandom);
    return drawn > aMember->m_capacity;
  });
}

} // namespace

std::vector<Endpoint>
SelectEntryEndpoints(const FleetView& aFleet,
                     const EntryQuery& aQuery,
                     RandomEngine& aRandom)
{
  Members members = PreferConnected(SelectByLocality(aFleet, aQuery));
  SampleByCapacity(members, aRandom);
  std::shuffle(members.begin(), members.end(), aRandom);
  members.resize(std::min(members.size(), aQuery.m_maxEntries));
  std::vector<Endpoint> entries;
  for (const FleetMember* member : members) {
    entries.push_back(member->m_callerAddress);
  }
  return entries;
}

} // namespace rattanweir
