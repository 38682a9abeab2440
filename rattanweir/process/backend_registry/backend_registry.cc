#include "rattanweir/process/backend_registry/backend_registry.h"

#include <algorithm>
#include <utility>

namespace rattanweir {
namespace {

BackendServerId
IncarnationOf(const ServerRecord& aRecord)
{
  return BackendServerId(aRecord.m_id.Value() + "@" +
                         std::to_string(aRecord.m_startedAtMs));
}

} // namespace

BackendRegistry::BackendRegistry(BackendRegistryOptions aOptions)
  : m_options(std::move(aOptions))
{
}

bool
BackendRegistry::Put(const ServerRecord& aRecord)
{
  const auto region = m_options.m_regionOfZone.find(aRecord.m_zone);
  if (region == m_options.m_regionOfZone.end()) {
    return false;
  }
  KnownServer server{ .m_record = aRecord,
                      .m_region = region->second,
                      .m_incarnation = IncarnationOf(aRecord),
                      .m_coldUntil =
                        m_options.m_clock.SteadyNow() + aRecord.m_coldFor,
                      .m_isEvacuated = m_evacuated.contains(aRecord.m_zone) };
  Entry& entry = m_servers[aRecord.m_id];
  if (entry.m_server.m_incarnation == server.m_incarnation) {
    server.m_record.m_isDraining |= entry.m_server.m_record.m_isDraining;
    server.m_coldUntil =
      std::max(server.m_coldUntil, entry.m_server.m_coldUntil);
  }
  entry = { .m_server = std::move(server) };
  return true;
}

void
BackendRegistry::Remove(const BackendServerId& aId, Removal aRemoval)
{
  const auto found = m_servers.find(aId);
  if (found != m_servers.end()) {
    Drop(found, aRemoval);
  }
}

void
BackendRegistry::KeepOnly(const std::set<BackendServerId>& aIds,
                          Removal aRemoval)
{
  for (auto entry = m_servers.begin(); entry != m_servers.end();) {
    const auto next = std::next(entry);
    if (!aIds.contains(entry->first)) {
      Drop(entry, aRemoval);
    }
    entry = next;
  }
}

void
BackendRegistry::Drop(Entries::iterator aEntry, Removal aRemoval)
{
  Entry& entry = aEntry->second;
  if (aRemoval == Removal::Published || entry.m_server.m_record.m_isDraining) {
    m_servers.erase(aEntry);
  } else if (!entry.m_lapsesAt) {
    entry.m_lapsesAt = m_options.m_clock.SteadyNow() + m_options.m_lapseTime;
  }
}

void
BackendRegistry::SetEvacuatedZones(
  const std::set<AvailabilityZoneId>& aZones,
  const std::function<std::chrono::nanoseconds(const PoolId&)>& aColdTimeOf)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  for (auto& [id, entry] : m_servers) {
    KnownServer& server = entry.m_server;
    const bool isEvacuated = aZones.contains(server.m_record.m_zone);
    if (server.m_isEvacuated && !isEvacuated) {
      server.m_coldUntil =
        std::max(server.m_coldUntil, now + aColdTimeOf(server.m_record.m_pool));
    }
    server.m_isEvacuated = isEvacuated;
  }
  m_evacuated = aZones;
}

void
BackendRegistry::MarkCold(const BackendServerId& aIncarnation,
                          std::chrono::nanoseconds aFor)
{
  if (Entry* entry = FindIncarnation(aIncarnation)) {
    entry->m_server.m_coldUntil = std::max(
      entry->m_server.m_coldUntil, m_options.m_clock.SteadyNow() + aFor);
  }
}

void
BackendRegistry::MarkDraining(const BackendServerId& aIncarnation)
{
  if (Entry* entry = FindIncarnation(aIncarnation)) {
    entry->m_server.m_record.m_isDraining = true;
  }
}

void
BackendRegistry::MarkReplaced(const BackendServerId& aIncarnation)
{
  // Its entry stays so that an older copy of it cannot bring it back to use.
  MarkDraining(aIncarnation);
}

void
BackendRegistry::Tick()
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::erase_if(m_servers, [now](const auto& aEntry) {
    return aEntry.second.m_lapsesAt && *aEntry.second.m_lapsesAt <= now;
  });
}

std::vector<const KnownServer*>
BackendRegistry::ServersOf(const PoolId& aPool, const RegionId& aRegion) const
{
  std::vector<const KnownServer*> servers;
  for (const auto& [id, entry] : m_servers) {
    const KnownServer& server = entry.m_server;
    if (server.m_record.m_pool == aPool && server.m_region == aRegion) {
      servers.push_back(&server);
    }
  }
  return servers;
}

std::set<RegionId>
BackendRegistry::RegionsOf(const PoolId& aPool) const
{
  std::set<RegionId> regions;
  for (const auto& [id, entry] : m_servers) {
    const KnownServer& server = entry.m_server;
    if (server.m_record.m_pool == aPool && server.AcceptsRequests()) {
      regions.insert(server.m_region);
    }
  }
  return regions;
}

const KnownServer*
BackendRegistry::Find(const BackendServerId& aIncarnation) const
{
  for (const auto& [id, entry] : m_servers) {
    if (entry.m_server.m_incarnation == aIncarnation) {
      return &entry.m_server;
    }
  }
  return nullptr;
}

std::set<BackendServerId>
BackendRegistry::Incarnations() const
{
  std::set<BackendServerId> incarnations;
  for (const auto& [id, entry] : m_servers) {
    incarnations.insert(entry.m_server.m_incarnation);
  }
  return incarnations;
}

BackendRegistry::Entry*
BackendRegistry::FindIncarnation(const BackendServerId& aIncarnation)
{
  for (auto& [id, entry] : m_servers) {
    if (entry.m_server.m_incarnation == aIncarnation) {
      return &entry;
    }
  }
  return nullptr;
}

} // namespace rattanweir
