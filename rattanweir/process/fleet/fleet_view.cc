#include "rattanweir/process/fleet/fleet_view.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace rattanweir {
namespace {

// A silent member is asked in one of so many rounds, and a seed in one of so
// many: enough to find each other again within seconds.
constexpr std::size_t kRoundsForSilent = 2;
constexpr std::size_t kRoundsForSeed = 8;
// The first rows of a process are told in full, and one in so many later.
constexpr std::uint64_t kFullRowsAtStart = 6;
constexpr std::size_t kRowsForFullOne = 4;

template<class Value>
Value
TakeOneAtRandom(std::vector<Value>& aValues, RandomEngine& aRandom)
{
  std::swap(aValues[UniformIndex(aRandom, aValues.size())], aValues.back());
  Value value = std::move(aValues.back());
  aValues.pop_back();
  return value;
}

// Takes `aCount` of them on average, at random.
std::size_t
DrawCount(double aCount, RandomEngine& aRandom)
{
  const double whole = std::floor(aCount);
  const bool hasOneMore =
    std::uniform_real_distribution<double>(0, 1)(aRandom) < aCount - whole;
  return static_cast<std::size_t>(whole) + (hasOneMore ? 1 : 0);
}

// What the receiver knows from an earlier row is left out.
FleetMember
BriefRow(FleetMember aRow)
{
  aRow.m_region = RegionId();
  aRow.m_zone = AvailabilityZoneId();
  aRow.m_callerAddress = {};
  aRow.m_peerAddress = {};
  return aRow;
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
  const bool isBrief = aRow.m_region.IsEmpty();
  if (isBrief && !m_members.contains(aRow.m_id)) {
    return;
  }
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
  const FleetMember former = std::exchange(entry.m_row, aRow);
  if (isBrief) {
    entry.m_row.m_region = former.m_region;
    entry.m_row.m_zone = former.m_zone;
    entry.m_row.m_callerAddress = former.m_callerAddress;
    entry.m_row.m_peerAddress = former.m_peerAddress;
    entry.m_row.m_capacity = former.m_capacity;
  }
  entry.m_heardAt = m_options.m_clock.SteadyNow();
  entry.m_told = 0;
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

const FleetMember&
FleetView::AdvanceOwnRow()
{
  m_advancedAt = m_options.m_clock.SteadyNow();
  ++m_options.m_self.m_sequence;
  return m_options.m_self;
}

std::vector<FleetMember>
FleetView::NextMessage(RandomEngine& aRandom)
{
  if (m_options.m_clock.SteadyNow() - m_advancedAt >= m_options.m_rowInterval) {
    AdvanceOwnRow();
  }
  // News first: the rows that were told on least often.
  std::vector<Entry*> candidates;
  for (auto& [id, entry] : m_members) {
    if (IsLive(entry)) {
      candidates.push_back(&entry);
    }
  }
  std::ranges::shuffle(candidates, aRandom);
  std::ranges::stable_sort(candidates, {}, &Entry::m_told);
  candidates.resize(std::min(candidates.size(), m_options.m_rowsInMessage));
  std::vector<FleetMember> rows = { ToldRow(m_options.m_self, aRandom) };
  for (Entry* entry : candidates) {
    ++entry->m_told;
    rows.push_back(ToldRow(entry->m_row, aRandom));
  }
  return rows;
}

FleetMember
FleetView::ToldRow(const FleetMember& aRow, RandomEngine& aRandom)
{
  const bool isFull = aRow.m_sequence <= kFullRowsAtStart ||
                      UniformIndex(aRandom, kRowsForFullOne) == 0;
  return isFull ? aRow : BriefRow(aRow);
}

std::vector<Endpoint>
FleetView::ChooseTargets(RandomEngine& aRandom, bool aHasElsewhere) const
{
  std::vector<Endpoint> inZone;
  std::vector<Endpoint> inRegion;
  std::vector<Endpoint> elsewhere;
  std::vector<Endpoint> silent;
  const FleetMember& self = m_options.m_self;
  for (const auto& [id, entry] : m_members) {
    const FleetMember& row = entry.m_row;
    if (!IsLive(entry)) {
      silent.push_back(row.m_peerAddress);
    } else if (row.m_region != self.m_region) {
      elsewhere.push_back(row.m_peerAddress);
    } else {
      (row.m_zone == self.m_zone ? inZone : inRegion)
        .push_back(row.m_peerAddress);
    }
  }
  const auto zoneSize = static_cast<double>(inZone.size() + 1);
  const auto regionSize = zoneSize + static_cast<double>(inRegion.size());
  std::vector<Endpoint> targets;
  const auto take = [&](std::vector<Endpoint>& aFrom, std::size_t aCount) {
    while (aCount-- > 0 && !aFrom.empty()) {
      targets.push_back(TakeOneAtRandom(aFrom, aRandom));
    }
  };
  const bool isAlone = inZone.empty() && inRegion.empty();
  take(inZone, m_options.m_targetsInZone);
  take(
    inRegion,
    DrawCount(std::min(1.0, m_options.m_targetsInRegion / zoneSize), aRandom));
  if (aHasElsewhere || isAlone) {
    take(elsewhere,
         DrawCount(std::min(1.0, m_options.m_targetsElsewhere / regionSize),
                   aRandom));
  }
  if (targets.empty() || UniformIndex(aRandom, kRoundsForSilent) == 0) {
    take(silent, 1);
  }
  if (targets.empty() || UniformIndex(aRandom, kRoundsForSeed) == 0) {
    std::ranges::copy_if(
      m_seeds, std::back_inserter(targets), [&](const Endpoint& aSeed) {
        return aSeed != self.m_peerAddress;
      });
  }
  return targets;
}

bool
FleetView::HasToReadStore() const
{
  std::size_t before = 0;
  bool isReadByOthers = false;
  for (const FleetMember* peer : LivePeersIn(m_options.m_self.m_region)) {
    before += peer->m_id < m_options.m_self.m_id ? 1 : 0;
    isReadByOthers |= peer->m_readsStore;
  }
  return before < m_options.m_storeReaders || !isReadByOthers;
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
           SilenceOf(aEntry.m_row);
}

std::chrono::nanoseconds
FleetView::SilenceOf(const FleetMember& aMember) const
{
  if (m_members.size() <= m_options.m_rowsInMessage) {
    return m_options.m_silence;
  }
  return aMember.m_region == m_options.m_self.m_region
           ? m_options.m_silenceInLargeFleet
           : m_options.m_silenceElsewhere;
}

} // namespace rattanweir
