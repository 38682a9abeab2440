#include "rattanweir/process/heartbeat_targets/heartbeat_targets.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace rattanweir {
namespace {

// The peers of one availability zone of the local region, or of one other
// region.
struct Group
{
  // Maximum number of targets in this group.
  std::size_t m_limit = 0;
  std::vector<std::pair<std::uint64_t, InstanceId>> m_peersByHash;
};

std::uint64_t
RendezvousHash(const InstanceId& aSelf, const InstanceId& aPeer)
{
  const std::string pair = aSelf.Value() + '\n' + aPeer.Value();
  return XXH64(pair.data(), pair.size(), 0);
}

std::pair<std::string, std::size_t>
GroupOf(const InstanceRecord& aSelf,
        const InstanceRecord& aPeer,
        const HeartbeatFanOut& aFanOut)
{
  if (aPeer.m_region != aSelf.m_region) {
    return { "region " + aPeer.m_region.Value(), aFanOut.m_otherRegion };
  }
  if (aPeer.m_zone != aSelf.m_zone) {
    return { "zone " + aPeer.m_zone.Value(), aFanOut.m_otherZone };
  }
  return { "local zone", aFanOut.m_localZone };
}

} // namespace

std::vector<InstanceId>
ChooseHeartbeatTargets(const InstanceRecord& aSelf,
                       const std::vector<PeerView>& aPeers,
                       const HeartbeatFanOut& aFanOut)
{
  std::map<std::string, Group> groups;
  for (const PeerView& peer : aPeers) {
    const auto [name, limit] = GroupOf(aSelf, peer.m_record, aFanOut);
    Group& group = groups[name];
    group.m_limit = limit;
    group.m_peersByHash.emplace_back(
      RendezvousHash(aSelf.m_id, peer.m_record.m_id), peer.m_record.m_id);
  }
  std::vector<InstanceId> targets;
  for (auto& [name, group] : groups) {
    std::sort(group.m_peersByHash.begin(), group.m_peersByHash.end());
    const std::size_t count =
      std::min(group.m_limit, group.m_peersByHash.size());
    for (std::size_t index = 0; index < count; ++index) {
      targets.push_back(group.m_peersByHash[index].second);
    }
  }
  return targets;
}

std::chrono::nanoseconds
HeartbeatInterval(std::chrono::nanoseconds aConfigured,
                  std::size_t aTargets,
                  const HeartbeatFanOut& aFanOut)
{
  const std::chrono::duration<double> minInterval(
    static_cast<double>(aTargets) / aFanOut.m_maxExchangesPerSecond);
  return std::max(
    aConfigured,
    std::chrono::duration_cast<std::chrono::nanoseconds>(minInterval));
}

} // namespace rattanweir
