#include "rattanweir/request/gateway/entry_list.h"

#include <algorithm>
#include <random>

namespace rattanweir {
namespace {

using Members = std::vector<const FleetMember*>;

Members
NearestServing(const FleetView& aFleet, const RegionId& aRegion)
{
  const Members all = aFleet.Serving();
  Members near;
  std::ranges::copy_if(
    all, std::back_inserter(near), [&](const FleetMember* aMember) {
      return aMember->m_region == aRegion;
    });
  return near.empty() ? all : near;
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
EntriesFor(const FleetView& aFleet,
           const EntryQuestion& aQuestion,
           RandomEngine& aRandom)
{
  Members members = NearestServing(aFleet, aQuestion.m_region);
  ThinOut(members, aRandom);
  std::shuffle(members.begin(), members.end(), aRandom);
  members.resize(std::min(members.size(), aQuestion.m_mostEntries));
  std::vector<Endpoint> entries;
  for (const FleetMember* member : members) {
    entries.push_back(member->m_callerAddress);
  }
  return entries;
}

} // namespace rattanweir
