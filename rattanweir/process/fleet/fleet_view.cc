#include "rattanweir/process/fleet/fleet_view.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <span>
#include <tuple>
#include <utility>

namespace rattanweir {
namespace {

// On average, one stale member is contacted in one of kRoundsPerStaleTarget
// rounds, and the seeds in one of kRoundsPerSeedExchange rounds until the view
// has settled. This reconnects a partitioned fleet within seconds.
constexpr std::size_t kRoundsPerStaleTarget = 2;
constexpr std::size_t kRoundsPerSeedExchange = 8;
// The first kFullRecordsAtStart records of a process are sent in full, later
// records only with probability 1 / kRecordsPerFullRecord.
constexpr std::uint64_t kFullRecordsAtStart = 6;
constexpr std::size_t kRecordsPerFullRecord = 4;
// An instance that sees a smaller fraction of its region's members live may be
// cut off from the others.
constexpr double kMinLiveFraction = 0.5;
// A live member is overdue after this fraction of its liveness timeout without
// a new sequence number.
constexpr double kOverdueFraction = 0.6;

constexpr std::size_t kNewsTargetsInRegion = 3;

// A member whose sequence number is not higher has just started and may not
// know its region.
constexpr std::uint64_t kSequenceAtDiscovery = 12;
// One of so many messages to another region holds records of all regions, so
// that members of one region that do not know of each other meet.
constexpr std::size_t kMessagesPerMixedMessage = 8;

// Removes a random element and returns it.
template<class Value>
Value
ExtractRandom(std::vector<Value>& aValues, RandomEngine& aRandom)
{
  std::swap(aValues[UniformIndex(aRandom, aValues.size())], aValues.back());
  Value value = std::move(aValues.back());
  aValues.pop_back();
  return value;
}

// Returns a random integer whose mean is `aMean`: its floor or its ceiling.
std::size_t
RandomCount(double aMean, RandomEngine& aRandom)
{
  const double integerPart = std::floor(aMean);
  const bool isRoundedUp =
    std::uniform_real_distribution<double>(0, 1)(aRandom) < aMean - integerPart;
  return static_cast<std::size_t>(integerPart) + (isRoundedUp ? 1 : 0);
}

// Returns the record without the fields that never change, which the receiver
// knows from an earlier full record.
FleetMember
AbridgedRecord(FleetMember aRecord)
{
  aRecord.m_region = RegionId();
  aRecord.m_zone = AvailabilityZoneId();
  aRecord.m_callerAddress = {};
  aRecord.m_peerAddress = {};
  return aRecord;
}

} // namespace

FleetView::FleetView(FleetViewOptions aOptions)
  : m_options(std::move(aOptions))
  , m_lastDiscoveryAt(m_options.m_clock.SteadyNow())
{
}

void
FleetView::SetSeeds(std::vector<Endpoint> aSeeds)
{
  m_seeds = std::move(aSeeds);
}

void
FleetView::Merge(std::span<const FleetMember> aRecords,
                 const InstanceId& aSender)
{
  // A settled view remains settled, whatever these records name.
  m_hasSettled = HasSettled();
  // An announcement holds only the record of its sender.
  m_messagesSinceDiscovery += aRecords.size() > 1 ? 1 : 0;
  for (const FleetMember& record : aRecords) {
    if (record.m_id == m_options.m_self.m_id) {
      continue;
    }
    MergeRecord(record, record.m_id == aSender);
    if (record.m_id == aSender) {
      RecordRequests(record.m_membersToIntroduce);
    }
  }
  RemoveExpired();
}

void
FleetView::RecordRequests(const std::vector<InstanceId>& aMembers)
{
  for (const InstanceId& member : aMembers) {
    if (member == m_options.m_self.m_id || m_members.contains(member)) {
      m_requestedByPeers.insert(member);
    }
  }
}

void
FleetView::MergeRecord(const FleetMember& aRecord, bool aIsFromMember)
{
  const bool isAbridged = aRecord.m_region.IsEmpty();
  if (!m_members.contains(aRecord.m_id)) {
    RecordDiscovery(aRecord);
    if (isAbridged) {
      m_toIntroduce[aRecord.m_id] = m_options.m_clock.SteadyNow();
      return;
    }
  }
  const auto [found, isNew] = m_members.try_emplace(aRecord.m_id);
  Entry& entry = found->second;
  const bool isSameProcess =
    !isNew && entry.m_record.m_incarnation == aRecord.m_incarnation;
  if (isSameProcess && aRecord.m_sequence <= entry.m_record.m_sequence) {
    // The record may have arrived through another member first.
    if (aIsFromMember && aRecord.m_sequence == entry.m_record.m_sequence) {
      entry.m_isUnreachable = false;
    }
    return;
  }
  if (!isNew && !isSameProcess) {
    if (entry.m_previousIncarnations.contains(aRecord.m_incarnation) ||
        (!aIsFromMember &&
         aRecord.m_incarnation < entry.m_record.m_incarnation)) {
      return;
    }
    entry.m_previousIncarnations.insert(entry.m_record.m_incarnation);
  }
  const FleetMember previous = std::exchange(entry.m_record, aRecord);
  entry.m_record.m_membersToIntroduce.clear();
  if (!isAbridged) {
    m_toIntroduce.erase(aRecord.m_id);
  } else if (!isSameProcess) {
    m_toIntroduce[aRecord.m_id] = m_options.m_clock.SteadyNow();
  }
  if (isAbridged) {
    entry.m_record.m_region = previous.m_region;
    entry.m_record.m_zone = previous.m_zone;
    entry.m_record.m_callerAddress = previous.m_callerAddress;
    entry.m_record.m_peerAddress = previous.m_peerAddress;
    entry.m_record.m_capacity = previous.m_capacity;
  }
  entry.m_lastSeenAt = m_options.m_clock.SteadyNow();
  entry.m_timesSent = 0;
  entry.m_isUnreachable = entry.m_isUnreachable && !aIsFromMember;
}

void
FleetView::RecordDiscovery(const FleetMember& aRecord)
{
  const RegionId& region = m_options.m_self.m_region;
  if (aRecord.m_region == region) {
    m_hasPeerInRegion = true;
  } else if (m_hasPeerInRegion) {
    return;
  }
  m_lastDiscoveryAt = m_options.m_clock.SteadyNow();
  m_messagesSinceDiscovery = 0;
}

void
FleetView::RemoveExpired()
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::erase_if(m_toIntroduce, [&](const auto& aMember) {
    return now - aMember.second > m_options.m_livenessTimeout;
  });
  const SteadyTime oldest = now - m_options.m_removalTimeout;
  std::erase_if(m_members, [&](const auto& aMember) {
    return aMember.second.m_lastSeenAt < oldest;
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

void
FleetView::MarkPoolUnreachable(const InstanceId& aId, const PoolId& aPool)
{
  const auto found = m_members.find(aId);
  if (found != m_members.end()) {
    found->second.m_record.m_unreachablePools.insert(aPool);
  }
}

const FleetMember&
FleetView::AdvanceSelf()
{
  m_selfUpdatedAt = m_options.m_clock.SteadyNow();
  ++m_options.m_self.m_sequence;
  m_options.m_self.m_membersToIntroduce.clear();
  return m_options.m_self;
}

bool
FleetView::IsSelfUpdateDue() const
{
  return m_options.m_clock.SteadyNow() - m_selfUpdatedAt >=
         m_options.m_selfUpdateInterval;
}

std::vector<FleetMember>
FleetView::NextMessage(RandomEngine& aRandom, const FleetMember* aReceiver)
{
  std::vector<FleetMember> records;
  const std::vector<OutgoingRecord> chosen = ChooseRecords(aRandom, aReceiver);
  records.reserve(chosen.size());
  for (const auto& [record, isAbridged] : chosen) {
    records.push_back(isAbridged ? AbridgedRecord(record) : record);
  }
  return records;
}

std::vector<OutgoingRecord>
FleetView::ChooseRecords(RandomEngine& aRandom, const FleetMember* aReceiver)
{
  if (IsSelfUpdateDue()) {
    AdvanceSelf();
  }
  const std::vector<Entry*> entries = EntriesToSend(aRandom, aReceiver);
  m_options.m_self.m_membersToIntroduce = MembersToIntroduce(aRandom);
  std::vector<OutgoingRecord> records;
  records.reserve(entries.size() + 1);
  records.push_back(RecordToSend(m_options.m_self, aRandom));
  for (Entry* entry : entries) {
    ++entry->m_timesSent;
    records.push_back(RecordToSend(entry->m_record, aRandom));
  }
  m_requestedByPeers.clear();
  return records;
}

std::vector<FleetView::Entry*>
FleetView::EntriesToSend(RandomEngine& aRandom, const FleetMember* aReceiver)
{
  // Records that were sent least often come first, so that updates spread fast.
  // The order of the others is random.
  struct Candidate
  {
    std::tuple<bool, bool, unsigned, RandomEngine::result_type> m_order;
    Entry* m_entry = nullptr;
  };
  const SteadyTime now = m_options.m_clock.SteadyNow();
  const RegionId& region = m_options.m_self.m_region;
  const bool isForOtherRegion =
    aReceiver != nullptr && aReceiver->m_region != region &&
    aReceiver->m_sequence > kSequenceAtDiscovery &&
    UniformIndex(aRandom, kMessagesPerMixedMessage) != 0;
  std::vector<Candidate> candidates;
  candidates.reserve(m_members.size());
  std::size_t regionSize = 1;
  for (auto& [id, entry] : m_members) {
    if (!IsLive(entry, now)) {
      continue;
    }
    const FleetMember& record = entry.m_record;
    const bool isOfRegion = record.m_region == region;
    regionSize += isOfRegion ? 1 : 0;
    const bool isRequested = m_requestedByPeers.contains(id);
    if (isForOtherRegion && !isRequested &&
        record.m_region == aReceiver->m_region) {
      continue;
    }
    candidates.push_back({ .m_order = { !isRequested,
                                        isForOtherRegion && !isOfRegion,
                                        entry.m_timesSent,
                                        aRandom() },
                           .m_entry = &entry });
  }
  std::size_t count = m_options.m_maxRecordsPerMessage;
  if (isForOtherRegion) {
    const double ofRegion =
      m_options.m_regionFractionPerMessage * static_cast<double>(regionSize);
    count = std::max(count, static_cast<std::size_t>(ofRegion));
  }
  count = std::min(count, candidates.size());
  const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
  std::ranges::partial_sort(candidates, end, {}, &Candidate::m_order);
  std::vector<Entry*> entries;
  entries.reserve(count);
  for (const Candidate& candidate : std::span(candidates.begin(), end)) {
    entries.push_back(candidate.m_entry);
  }
  return entries;
}

std::vector<InstanceId>
FleetView::MembersToIntroduce(RandomEngine& aRandom) const
{
  std::vector<InstanceId> members;
  members.reserve(m_toIntroduce.size());
  for (const auto& [id, heardAt] : m_toIntroduce) {
    members.push_back(id);
  }
  // The response holds no more records; the others are asked for later.
  if (members.size() > m_options.m_maxRecordsPerMessage) {
    std::ranges::shuffle(members, aRandom);
    members.resize(m_options.m_maxRecordsPerMessage);
  }
  return members;
}

OutgoingRecord
FleetView::RecordToSend(const FleetMember& aRecord, RandomEngine& aRandom)
{
  const bool isFull = m_requestedByPeers.erase(aRecord.m_id) > 0 ||
                      aRecord.m_sequence <= kFullRecordsAtStart ||
                      UniformIndex(aRandom, kRecordsPerFullRecord) == 0;
  return { .m_record = aRecord, .m_isAbridged = !isFull };
}

bool
FleetView::IsNews(const InstanceId& aId,
                  Incarnation aIncarnation,
                  std::uint64_t aSequence) const
{
  const FleetMember* known = Find(aId);
  return known == nullptr || known->m_incarnation != aIncarnation ||
         known->m_sequence < aSequence;
}

std::vector<Endpoint>
FleetView::ChooseTargets(RandomEngine& aRandom,
                         bool aIncludesOtherRegions) const
{
  std::vector<Endpoint> ownZone;
  std::vector<Endpoint> otherZones;
  std::vector<Endpoint> otherRegions;
  std::vector<Endpoint> stale;
  std::vector<Endpoint> overdue;
  const FleetMember& self = m_options.m_self;
  const SteadyTime now = m_options.m_clock.SteadyNow();
  for (const auto& [id, entry] : m_members) {
    const FleetMember& record = entry.m_record;
    if (IsOverdue(entry, now)) {
      overdue.push_back(record.m_peerAddress);
    }
    if (!IsLive(entry, now)) {
      stale.push_back(record.m_peerAddress);
    } else if (record.m_region != self.m_region) {
      otherRegions.push_back(record.m_peerAddress);
    } else {
      (record.m_zone == self.m_zone ? ownZone : otherZones)
        .push_back(record.m_peerAddress);
    }
  }
  const auto zoneSize = static_cast<double>(ownZone.size() + 1);
  const auto regionSize = zoneSize + static_cast<double>(otherZones.size());
  std::vector<Endpoint> targets;
  const auto choose = [&](std::vector<Endpoint>& aCandidates,
                          std::size_t aCount) {
    while (aCount-- > 0 && !aCandidates.empty()) {
      targets.push_back(ExtractRandom(aCandidates, aRandom));
    }
  };
  const bool hasNoPeerInRegion = ownZone.empty() && otherZones.empty();
  choose(ownZone, m_options.m_targetsInZone);
  choose(otherZones,
         RandomCount(std::min(1.0, m_options.m_targetsInOtherZones / zoneSize),
                     aRandom));
  if (aIncludesOtherRegions || hasNoPeerInRegion) {
    choose(
      otherRegions,
      RandomCount(std::min(1.0, m_options.m_targetsInOtherRegions / regionSize),
                  aRandom));
  }
  choose(overdue, 1);
  const bool hasNoLiveTarget = targets.empty();
  if (hasNoLiveTarget || UniformIndex(aRandom, kRoundsPerStaleTarget) == 0) {
    choose(stale, 1);
  }
  // Stale members may all be gone.
  std::vector<Endpoint> seeds = m_seeds;
  std::erase(seeds, self.m_peerAddress);
  if (hasNoLiveTarget ||
      (!HasSettled() && UniformIndex(aRandom, kRoundsPerSeedExchange) == 0)) {
    choose(seeds, seeds.size());
  } else if (std::uniform_real_distribution<double>(0, regionSize)(aRandom) <
             m_options.m_seedExchangesPerRegion) {
    choose(seeds, 1);
  }
  return targets;
}

std::vector<Endpoint>
FleetView::ChooseNewsTargets(RandomEngine& aRandom) const
{
  std::vector<Endpoint> local;
  std::vector<Endpoint> remote;
  for (const FleetMember* peer : LivePeers()) {
    (peer->m_region == m_options.m_self.m_region ? local : remote)
      .push_back(peer->m_peerAddress);
  }
  std::vector<Endpoint> targets;
  while (!local.empty() && targets.size() < kNewsTargetsInRegion) {
    targets.push_back(ExtractRandom(local, aRandom));
  }
  if (!remote.empty()) {
    targets.push_back(ExtractRandom(remote, aRandom));
  }
  return targets;
}

bool
FleetView::ShouldReadStore() const
{
  std::size_t membersWithLowerId = 0;
  bool isReadByOthers = false;
  for (const FleetMember* peer : LivePeersIn(m_options.m_self.m_region)) {
    membersWithLowerId += peer->m_id < m_options.m_self.m_id ? 1 : 0;
    isReadByOthers |= peer->m_readsStore;
  }
  return membersWithLowerId < m_options.m_storeReadersPerRegion ||
         !isReadByOthers;
}

std::vector<const FleetMember*>
FleetView::LivePeers() const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::vector<const FleetMember*> peers;
  peers.reserve(m_members.size());
  for (const auto& [id, entry] : m_members) {
    if (IsLive(entry, now)) {
      peers.push_back(&entry.m_record);
    }
  }
  return peers;
}

std::vector<const FleetMember*>
FleetView::LivePeersIn(const RegionId& aRegion) const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::vector<const FleetMember*> peers;
  for (const auto& [id, entry] : m_members) {
    if (entry.m_record.m_region == aRegion && IsLive(entry, now)) {
      peers.push_back(&entry.m_record);
    }
  }
  return peers;
}

SectionVersion
FleetView::NewestConfigOfPeers() const
{
  SectionVersion newest;
  for (const FleetMember* peer : LivePeers()) {
    newest = std::max(newest, peer->m_configVersion);
  }
  return newest;
}

std::vector<const FleetMember*>
FleetView::ServingMembers() const
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
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::vector<const FleetMember*> members;
  members.reserve(m_members.size());
  for (const auto& [id, entry] : m_members) {
    if (IsLive(entry, now) || !entry.m_record.m_isDraining) {
      members.push_back(&entry.m_record);
    }
  }
  return members;
}

std::vector<const FleetMember*>
FleetView::HeardWithin(std::chrono::nanoseconds aTime) const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::vector<const FleetMember*> members;
  for (const auto& [id, entry] : m_members) {
    if (IsLive(entry, now) && now - entry.m_lastSeenAt <= aTime) {
      members.push_back(&entry.m_record);
    }
  }
  return members;
}

std::vector<const FleetMember*>
FleetView::SeenWithin(std::chrono::nanoseconds aTime) const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::vector<const FleetMember*> members;
  for (const auto& [id, entry] : m_members) {
    if (IsLive(entry, now) || now - entry.m_lastSeenAt <= aTime) {
      members.push_back(&entry.m_record);
    }
  }
  return members;
}

bool
FleetView::HasSettled() const
{
  if (m_hasSettled) {
    return true;
  }
  const auto calmTime = m_options.m_clock.SteadyNow() - m_lastDiscoveryAt;
  const bool hasOnlySelf =
    m_members.empty() &&
    std::ranges::all_of(m_seeds, [&](const Endpoint& aSeed) {
      return aSeed == m_options.m_self.m_peerAddress;
    });
  if (hasOnlySelf || m_messagesSinceDiscovery >= m_options.m_settlingMessages) {
    return calmTime >= m_options.m_settlingTime;
  }
  return calmTime >= m_options.m_isolationTimeout;
}

RegionShare
FleetView::ShareOfRegion(std::chrono::nanoseconds aPartitionTime) const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  RegionShare share;
  std::size_t stale = 0;
  std::size_t recentlySeen = 0;
  for (const auto& [id, entry] : m_members) {
    if (entry.m_record.m_region != m_options.m_self.m_region) {
      continue;
    }
    if (IsLive(entry, now)) {
      share.m_peers.push_back(&entry.m_record);
    } else if (!entry.m_record.m_isDraining) {
      ++stale;
      recentlySeen += now - entry.m_lastSeenAt <= aPartitionTime ? 1 : 0;
    }
  }
  const std::size_t live = share.m_peers.size() + 1;
  const std::size_t cutOff = share.m_peers.empty() ? stale : recentlySeen;
  const double liveFraction =
    static_cast<double>(live) / static_cast<double>(live + cutOff);
  share.m_fraction = liveFraction < kMinLiveFraction ? liveFraction : 1;
  return share;
}

std::optional<std::size_t>
FleetView::FleetSize() const
{
  if (!HasSettled()) {
    return std::nullopt;
  }
  return std::max(PossiblyRunning().size() + 1, m_seeds.size());
}

const FleetMember*
FleetView::Find(const InstanceId& aId) const
{
  const auto found = m_members.find(aId);
  return found == m_members.end() ? nullptr : &found->second.m_record;
}

const FleetMember*
FleetView::FindAt(const Endpoint& aPeerAddress) const
{
  const auto found = std::ranges::find_if(m_members, [&](const auto& aMember) {
    return aMember.second.m_record.m_peerAddress == aPeerAddress;
  });
  return found == m_members.end() ? nullptr : &found->second.m_record;
}

bool
FleetView::IsLive(const InstanceId& aId) const
{
  const auto found = m_members.find(aId);
  return found != m_members.end() &&
         IsLive(found->second, m_options.m_clock.SteadyNow());
}

bool
FleetView::IsLive(const Entry& aEntry, SteadyTime aNow) const
{
  return !aEntry.m_isUnreachable &&
         aNow - aEntry.m_lastSeenAt <= LivenessTimeoutOf(aEntry.m_record);
}

bool
FleetView::IsOverdue(const Entry& aEntry, SteadyTime aNow) const
{
  const std::chrono::duration<double> age = aNow - aEntry.m_lastSeenAt;
  return IsLive(aEntry, aNow) &&
         age > kOverdueFraction * LivenessTimeoutOf(aEntry.m_record);
}

std::chrono::nanoseconds
FleetView::LivenessTimeoutOf(const FleetMember& aMember) const
{
  if (m_members.size() <= m_options.m_maxSmallFleet) {
    return m_options.m_livenessTimeout;
  }
  return aMember.m_region == m_options.m_self.m_region
           ? m_options.m_livenessTimeoutInLargeFleet
           : m_options.m_livenessTimeoutInOtherRegions;
}

} // namespace rattanweir
