#include "rattanweir/process/fleet/fleet_view.h"

#include <algorithm>
#include <utility>

namespace rattanweir {
namespace {

// A silent member is asked in one of so many rounds, and a seed in one of so
// many: enough to find each other again within seconds.
constexpr std::size_t kRoundsForSilent = 2;
constexpr std::size_t kRoundsForSeed = 8;

template<class Value>
Value
TakeOneAtRandom(std::vector<Value>& aValues, RandomEngine& aRandom)
{
  std::swap(aValues[UniformIndex(aRandom, aValues.size())], aValues.back());
  Value value = std::move(aValues.back());
  aValues.pop_back();
  return value;
}

} // namespace

FleetView::FleetView(FleetViewOptions aOptions)
  : m_options(std::move(aOptions))
{
}

void
FleetView::SetSeeds(std::vector<Endpoint> aSeeds)
{
  m_seeds = std::move(aSeeds);
}

void
FleetView::Merge(std::span<const FleetMember> aRows, const InstanceId& aSender)
{
  for (const FleetMember& row : aRows) {
    if (row.m_id != m_options.m_self.m_id) {
      TakeRow(row, row.m_id == aSender);
    }
  }
  ForgetOld();
}

void
FleetView::TakeRow(const FleetMember& aRow, bool aIsFromItself)
{
  const auto [found, isNew] = m_members.try_emplace(aRow.m_id);
  Entry& entry = found->second;
  const bool isSameProcess =
    !isNew && entry.m_row.m_incarnation == aRow.m_incarnation;
  if (isSameProcess && aRow.m_sequence <= entry.m_row.m_sequence) {
    return;
  }
  if (!isNew && !isSameProcess) {
    if (entry.m_retired.contains(aRow.m_incarnation) ||
        (!aIsFromItself && aRow.m_incarnation < entry.m_row.m_incarnation)) {
      return;
    }
    entry.m_retired.insert(entry.m_row.m_incarnation);
  }
  entry.m_row = aRow;
  entry.m_heardAt = m_options.m_clock.SteadyNow();
  entry.m_isUnreachable = entry.m_isUnreachable && !aIsFromItself;
}

void
FleetView::ForgetOld()
{
  const SteadyTime oldest =
    m_options.m_clock.SteadyNow() - m_options.m_forgetAfter;
  std::erase_if(m_members, [&](const auto& aMember) {
    return aMember.second.m_heardAt < oldest;
  });
}

void
FleetView::MarkUnreachable(const InstanceId& aId)
{
  const auto found = m_members.find(aId);
  if (found != m_members.end()) {
    found->second.m_isUnreachable = true;
  }
}

std::vector<FleetMember>
FleetView::NextMessage(RandomEngine& aRandom)
{
  ++m_options.m_self.m_sequence;
  std::vector<const FleetMember*> candidates = LivePeers();
  std::vector<FleetMember> rows = { m_options.m_self };
  while (!candidates.empty() && rows.size() <= m_options.m_rowsInMessage) {
    rows.push_back(*TakeOneAtRandom(candidates, aRandom));
  }
  return rows;
}

std::vector<Endpoint>
FleetView::ChooseTargets(RandomEngine& aRandom, bool aHasElsewhere)
{
  std::vector<Endpoint> inRegion;
  std::vector<Endpoint> elsewhere;
  std::vector<Endpoint> silent;
  for (const auto& [id, entry] : m_members) {
    const Endpoint& address = entry.m_row.m_peerAddress;
    if (!IsLive(entry)) {
      silent.push_back(address);
      continue;
    }
    const bool isNear = entry.m_row.m_region == m_options.m_self.m_region;
    (isNear ? inRegion : elsewhere).push_back(address);
  }
  const bool isAlone = inRegion.empty() && elsewhere.empty();
  std::vector<Endpoint> targets;
  const auto take = [&](std::vector<Endpoint>& aFrom, std::size_t aCount) {
    while (aCount-- > 0 && !aFrom.empty()) {
      targets.push_back(TakeOneAtRandom(aFrom, aRandom));
    }
  };
  take(inRegion, m_options.m_targetsInRegion);
  if (aHasElsewhere || isAlone) {
    take(elsewhere, m_options.m_targetsElsewhere);
  }
  if (isAlone || UniformIndex(aRandom, kRoundsForSilent) == 0) {
    take(silent, 1);
  }
  if (isAlone || UniformIndex(aRandom, kRoundsForSeed) == 0) {
    for (const Endpoint& seed : m_seeds) {
      if (seed != m_options.m_self.m_peerAddress) {
        targets.push_back(seed);
      }
    }
  }
  return targets;
}

std::vector<const FleetMember*>
FleetView::LivePeers() const
{
  std::vector<const FleetMember*> peers;
  for (const auto& [id, entry] : m_members) {
    if (IsLive(entry)) {
      peers.push_back(&entry.m_row);
    }
  }
  return peers;
}

std::vector<const FleetMember*>
FleetView::LivePeersIn(const RegionId& aRegion) const
{
  std::vector<const FleetMember*> peers = LivePeers();
  std::erase_if(peers, [&](const FleetMember* aPeer) {
    return aPeer->m_region != aRegion;
  });
  return peers;
}

std::vector<const FleetMember*>
FleetView::Serving() const
{
  std::vector<const FleetMember*> serving = LivePeers();
  serving.push_back(&m_options.m_self);
  std::erase_if(serving, [](const FleetMember* aMember) {
    return !aMember->m_isReady || aMember->m_isDraining;
  });
  return serving;
}

std::vector<const FleetMember*>
FleetView::PossiblyRunning() const
{
  std::vector<const FleetMember*> members;
  for (const auto& [id, entry] : m_members) {
    if (IsLive(entry) || !entry.m_row.m_isDraining) {
      members.push_back(&entry.m_row);
    }
  }
  return members;
}

std::size_t
FleetView::FleetSize() const
{
  return std::max(PossiblyRunning().size() + 1, m_seeds.size());
}

const FleetMember*
FleetView::Find(const InstanceId& aId) const
{
  const auto found = m_members.find(aId);
  return found == m_members.end() ? nullptr : &found->second.m_row;
}

bool
FleetView::IsLive(const InstanceId& aId) const
{
  const auto found = m_members.find(aId);
  return found != m_members.end() && IsLive(found->second);
}

bool
FleetView::IsLive(const Entry& aEntry) const
{
  return !aEntry.m_isUnreachable &&
         m_options.m_clock.SteadyNow() - aEntry.m_heardAt <=
           m_options.m_silence;
}

} // namespace rattanweir
