#include "rattanweir/process/membership/membership.h"

#include <algorithm>
#include <utility>

namespace rattanweir {

Membership::Membership(const MembershipOptions& aOptions)
  : m_options(aOptions)
{
}

void
Membership::ApplyList(const std::vector<InstanceRecord>& aList)
{
  std::map<InstanceId, Entry> previous = std::exchange(m_peers, {});
  m_self.reset();
  for (const InstanceRecord& record : aList) {
    if (record.m_id == m_options.m_self) {
      m_self = record;
      continue;
    }
    Entry& entry = m_peers[record.m_id];
    const auto known = previous.find(record.m_id);
    if (known != previous.end()) {
      entry = std::move(known->second);
    }
    entry.m_view.m_record = record;
  }
}

bool
Membership::ApplyHeartbeat(const Heartbeat& aHeartbeat)
{
  const auto found = m_peers.find(aHeartbeat.m_from);
  if (found == m_peers.end()) {
    return false;
  }
  Entry& entry = found->second;
  const std::optional<Heartbeat>& latest = entry.m_view.m_heartbeat;
  const bool isOlder = latest &&
                       latest->m_incarnation == aHeartbeat.m_incarnation &&
                       latest->m_sequence >= aHeartbeat.m_sequence;
  if (isOlder) {
    return false;
  }
  entry.m_view.m_heartbeat = aHeartbeat;
  entry.m_view.m_lastHeartbeatAt = m_options.m_clock.SteadyNow();
  entry.m_isUnreachable = false;
  return true;
}

void
Membership::MarkUnreachable(const InstanceId& aId)
{
  const auto found = m_peers.find(aId);
  if (found != m_peers.end()) {
    found->second.m_isUnreachable = true;
  }
}

std::vector<PeerView>
Membership::Peers() const
{
  std::vector<PeerView> peers;
  peers.reserve(m_peers.size());
  for (const auto& [id, entry] : m_peers) {
    peers.push_back(entry.m_view);
  }
  return peers;
}

bool
Membership::IsUsable(const PeerView& aPeer) const
{
  const auto found = m_peers.find(aPeer.m_record.m_id);
  return found != m_peers.end() && !found->second.m_isUnreachable &&
         IsReadyAndFresh(aPeer, m_options.m_clock.SteadyNow());
}

bool
Membership::IsReadyAndFresh(const PeerView& aPeer, SteadyTime aNow) const
{
  if (aPeer.m_record.m_isDraining || !aPeer.m_heartbeat) {
    return false;
  }
  if (aPeer.m_heartbeat->m_isDraining || !aPeer.m_heartbeat->m_isReady) {
    return false;
  }
  return !IsStaleAt(aPeer, aNow);
}

bool
Membership::IsStale(const PeerView& aPeer) const
{
  return IsStaleAt(aPeer, m_options.m_clock.SteadyNow());
}

bool
Membership::IsStaleAt(const PeerView& aPeer, SteadyTime aNow) const
{
  if (!aPeer.m_heartbeat) {
    return false;
  }
  const auto age = aNow - aPeer.m_lastHeartbeatAt;
  return age > m_options.m_maxMissedHeartbeats * aPeer.m_heartbeat->m_interval;
}

std::vector<PeerView>
Membership::UsablePeersIn(const RegionId& aRegion) const
{
  return UsablePeersIn(std::span(&aRegion, 1));
}

std::vector<PeerView>
Membership::UsablePeersIn(std::span<const RegionId> aRegions) const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::vector<PeerView> peers;
  for (const auto& [id, entry] : m_peers) {
    const RegionId& region = entry.m_view.m_record.m_region;
    if (std::ranges::find(aRegions, region) == aRegions.end() ||
        entry.m_isUnreachable || !IsReadyAndFresh(entry.m_view, now)) {
      continue;
    }
    peers.push_back(entry.m_view);
  }
  return peers;
}

void
Membership::ForEachUsablePeer(
  const std::function<void(const InstanceRecord&)>& aCallback) const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  for (const auto& [id, entry] : m_peers) {
    if (!entry.m_isUnreachable && IsReadyAndFresh(entry.m_view, now)) {
      aCallback(entry.m_view.m_record);
    }
  }
}

std::optional<PeerView>
Membership::Find(const InstanceId& aId) const
{
  const auto found = m_peers.find(aId);
  if (found == m_peers.end()) {
    return std::nullopt;
  }
  return found->second.m_view;
}

std::optional<InstanceRecord>
Membership::Self() const
{
  return m_self;
}

} // namespace rattanweir
