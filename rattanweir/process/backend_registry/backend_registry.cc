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

std::optional<std::string>
RegisteredServer::UsableVersion() const
{
  constexpr std::size_t kMaxVersionLength = 128;
  const std::string& version = m_record.m_softwareVersion;
  const bool isUsable =
    !version.empty() && version.size() <= kMaxVersionLength &&
    std::ranges::all_of(version,
                        [](char aChar) { return aChar > ' ' && aChar <= '~'; });
  return isUsable ? std::optional(version) : std::nullopt;
}

BackendRegistry::BackendRegistry(BackendRegistryOptions aOptions)
  : m_options(std::move(aOptions))
{
}

bool
BackendRegistry::Put(const ServerRecord& aRecord, RecordOrigin aOrigin)
{
  const auto region = m_options.m_regionOfZone.find(aRecord.m_zone);
  if (region == m_options.m_regionOfZone.end()) {
    return false;
  }
  RegisteredServer server{ .m_record = aRecord,
                           .m_region = region->second,
                           .m_incarnation = IncarnationOf(aRecord),
                           .m_coldUntil =
                             m_options.m_clock.SteadyNow() + aRecord.m_coldFor,
                           .m_isEvacuated =
                             m_evacuatedZones.contains(aRecord.m_zone) };
  Entry& entry = m_servers[aRecord.m_id];
  Entry next;
  if (entry.m_server.m_incarnation == server.m_incarnation) {
    // The same incarnation stays draining, and its cold time is not shortened.
    server.m_record.m_isDraining |= entry.m_server.m_record.m_isDraining;
    server.m_coldUntil =
      std::max(server.m_coldUntil, entry.m_server.m_coldUntil);
    server.m_hasRefused = entry.m_server.m_hasRefused;
    next.m_coldBeforeRefusal = entry.m_coldBeforeRefusal;
    next.m_refusedAt = entry.m_refusedAt;
    next.m_wasRefusedHere = entry.m_wasRefusedHere;
  } else if (!entry.m_server.m_incarnation.IsEmpty()) {
    RememberRemoval(entry.m_server);
  }
  server.m_record.m_isDraining |= IsReportedDraining(server.m_incarnation);
  const auto removed = m_removed.find(server.m_incarnation);
  if (removed != m_removed.end()) {
    server.m_record.m_isDraining |= removed->second.m_wasDraining;
  }
  const bool isOutdated =
    removed != m_removed.end() ||
    server.m_record.m_startedAtMs < entry.m_server.m_record.m_startedAtMs;
  server.m_isUnconfirmed = isOutdated && aOrigin == RecordOrigin::Restored;
  if (server.m_isUnconfirmed) {
    next.m_confirmAt =
      m_options.m_clock.SteadyNow() + m_options.m_confirmationTime;
  }
  next.m_server = std::move(server);
  entry = std::move(next);
  return true;
}

void
BackendRegistry::Remove(const BackendServerId& aId, RemovalReason aReason)
{
  const auto found = m_servers.find(aId);
  if (found != m_servers.end()) {
    RemoveEntry(found, aReason);
  }
}

void
BackendRegistry::KeepOnly(const std::set<BackendServerId>& aIds,
                          RemovalReason aReason)
{
  for (auto entry = m_servers.begin(); entry != m_servers.end();) {
    const auto next = std::next(entry);
    if (!aIds.contains(entry->first)) {
      RemoveEntry(entry, aReason);
    }
    entry = next;
  }
}

void
BackendRegistry::RemoveEntry(Entries::iterator aEntry, RemovalReason aReason)
{
  Entry& entry = aEntry->second;
  if (aReason == RemovalReason::Published ||
      entry.m_server.m_record.m_isDraining) {
    RememberRemoval(entry.m_server);
    m_servers.erase(aEntry);
  } else if (!entry.m_removeAt) {
    entry.m_removeAt =
      m_options.m_clock.SteadyNow() + m_options.m_lapseGracePeriod;
  }
}

void
BackendRegistry::RememberRemoval(const RegisteredServer& aServer)
{
  m_removed[aServer.m_incarnation] = {
    .m_at = m_options.m_clock.SteadyNow(),
    .m_wasDraining = aServer.m_record.m_isDraining,
  };
}

void
BackendRegistry::SetEvacuatedZones(
  const std::set<AvailabilityZoneId>& aZones,
  const std::function<std::chrono::nanoseconds(const PoolId&)>& aColdTimeOfPool)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  for (auto& [id, entry] : m_servers) {
    RegisteredServer& server = entry.m_server;
    const bool isEvacuated = aZones.contains(server.m_record.m_zone);
    if (server.m_isEvacuated && !isEvacuated) {
      server.m_coldUntil = std::max(
        server.m_coldUntil, now + aColdTimeOfPool(server.m_record.m_pool));
    }
    server.m_isEvacuated = isEvacuated;
  }
  m_evacuatedZones = aZones;
}

void
BackendRegistry::MarkCold(const BackendServerId& aIncarnation,
                          std::chrono::nanoseconds aDuration)
{
  if (Entry* entry = FindIncarnation(aIncarnation)) {
    entry->m_server.m_coldUntil = std::max(
      entry->m_server.m_coldUntil, m_options.m_clock.SteadyNow() + aDuration);
  }
}

void
BackendRegistry::RecordRefusedConnection(const BackendServerId& aIncarnation,
                                         std::chrono::nanoseconds aColdTime)
{
  Entry* entry = FindIncarnation(aIncarnation);
  if (entry == nullptr) {
    return;
  }
  // What a peer told of before needs no advertisement by this instance too.
  if (!IsKnownToHaveEnded(*entry)) {
    entry->m_wasRefusedHere = true;
  }
  RecordRefusal(*entry, aColdTime);
}

bool
BackendRegistry::IsKnownToHaveEnded(const Entry& aEntry) const
{
  return aEntry.m_refusedAt &&
         m_options.m_clock.SteadyNow() - *aEntry.m_refusedAt <
           m_options.m_restartTime;
}

void
BackendRegistry::RecordRefusal(Entry& aEntry,
                               std::chrono::nanoseconds aColdTime)
{
  if (!IsKnownToHaveEnded(aEntry)) {
    aEntry.m_refusedAt = m_options.m_clock.SteadyNow();
  }
  if (!std::exchange(aEntry.m_server.m_hasRefused, true)) {
    aEntry.m_coldBeforeRefusal = aEntry.m_server.m_coldUntil;
  }
  MarkCold(aEntry.m_server.m_incarnation, m_options.m_restartTime + aColdTime);
}

std::set<BackendServerId>
BackendRegistry::RefusalsToAdvertise() const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::set<BackendServerId> refusals;
  for (const auto& [id, entry] : m_servers) {
    if (entry.m_wasRefusedHere && IsKnownToHaveEnded(entry) &&
        now - *entry.m_refusedAt >= m_options.m_refusalConfirmationTime) {
      refusals.insert(entry.m_server.m_incarnation);
    }
  }
  return refusals;
}

std::vector<BackendServerId>
BackendRegistry::RecordRefusalsOfPeer(
  const InstanceId& aPeer,
  const std::set<BackendServerId>& aIncarnations,
  const std::function<std::chrono::nanoseconds(const PoolId&)>& aColdTimeOfPool)
{
  const std::set<BackendServerId> before =
    std::exchange(m_refusalsOfPeers[aPeer], aIncarnations);
  if (aIncarnations.empty()) {
    m_refusalsOfPeers.erase(aPeer);
  }
  std::vector<BackendServerId> news;
  for (const BackendServerId& incarnation : aIncarnations) {
    Entry* entry = FindIncarnation(incarnation);
    if (before.contains(incarnation) || entry == nullptr ||
        IsKnownToHaveEnded(*entry)) {
      continue;
    }
    entry->m_wasRefusedHere = false;
    RecordRefusal(*entry, aColdTimeOfPool(entry->m_server.m_record.m_pool));
    news.push_back(incarnation);
  }
  return news;
}

void
BackendRegistry::ForgiveRefusals(const RegionId& aRegion)
{
  for (auto& [id, entry] : m_servers) {
    if (entry.m_server.m_region == aRegion && entry.m_wasRefusedHere &&
        std::exchange(entry.m_server.m_hasRefused, false)) {
      entry.m_server.m_coldUntil = entry.m_coldBeforeRefusal;
      entry.m_refusedAt.reset();
      entry.m_wasRefusedHere = false;
    }
  }
}

void
BackendRegistry::RecordResponse(const BackendServerId& aIncarnation,
                                std::chrono::nanoseconds aColdTime,
                                SteadyTime aSentAt)
{
  Entry* entry = FindIncarnation(aIncarnation);
  // The process before may have responded to what was sent before its end.
  if (entry == nullptr || !entry->m_server.m_hasRefused ||
      (entry->m_refusedAt && aSentAt < *entry->m_refusedAt)) {
    return;
  }
  entry->m_server.m_hasRefused = false;
  entry->m_server.m_coldUntil = m_options.m_clock.SteadyNow() + aColdTime;
}

bool
BackendRegistry::MarkDraining(const BackendServerId& aIncarnation)
{
  if (Entry* entry = FindIncarnation(aIncarnation)) {
    entry->m_server.m_record.m_isDraining = true;
  }
  return m_reportedDraining
    .try_emplace(aIncarnation, m_options.m_clock.SteadyNow())
    .second;
}

std::set<BackendServerId>
BackendRegistry::DrainingToAdvertise() const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::set<BackendServerId> draining;
  for (const auto& [incarnation, reportedAt] : m_reportedDraining) {
    if (now - reportedAt <= m_options.m_drainingAdvertisement) {
      draining.insert(incarnation);
    }
  }
  return draining;
}

void
BackendRegistry::MarkReplaced(const BackendServerId& aIncarnation)
{
  // Keeps the entry: after its removal, an outdated copy of the entry would
  // register this incarnation as usable again.
  if (Entry* entry = FindIncarnation(aIncarnation)) {
    entry->m_server.m_record.m_isDraining = true;
  }
}

void
BackendRegistry::Tick()
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::erase_if(m_servers, [now](const auto& aEntry) {
    return aEntry.second.m_removeAt && *aEntry.second.m_removeAt <= now;
  });
  std::erase_if(m_removed, [&](const auto& aRemoved) {
    return now - aRemoved.second.m_at > m_options.m_removalMemory;
  });
  std::erase_if(m_reportedDraining, [&](const auto& aReport) {
    return now - aReport.second > m_options.m_removalMemory &&
           FindIncarnation(aReport.first) == nullptr;
  });
  for (auto& [id, entry] : m_servers) {
    if (entry.m_confirmAt && *entry.m_confirmAt <= now) {
      entry.m_server.m_isUnconfirmed = false;
      entry.m_confirmAt.reset();
    }
  }
}

std::vector<const RegisteredServer*>
BackendRegistry::ServersOf(const PoolId& aPool, const RegionId& aRegion) const
{
  std::vector<const RegisteredServer*> servers;
  for (const auto& [id, entry] : m_servers) {
    const RegisteredServer& server = entry.m_server;
    if (server.m_record.m_pool == aPool && server.m_region == aRegion) {
      servers.push_back(&server);
    }
  }
  return servers;
}

std::vector<const RegisteredServer*>
BackendRegistry::ServersIn(const RegionId& aRegion) const
{
  std::vector<const RegisteredServer*> servers;
  for (const auto& [id, entry] : m_servers) {
    if (entry.m_server.m_region == aRegion &&
        entry.m_server.AcceptsRequests()) {
      servers.push_back(&entry.m_server);
    }
  }
  return servers;
}

std::set<RegionId>
BackendRegistry::RegionsOf(const PoolId& aPool,
                           const std::optional<std::string>& aVersion) const
{
  std::set<RegionId> regions;
  for (const auto& [id, entry] : m_servers) {
    const RegisteredServer& server = entry.m_server;
    if (server.m_record.m_pool == aPool && server.AcceptsRequests() &&
        server.HasVersion(aVersion)) {
      regions.insert(server.m_region);
    }
  }
  return regions;
}

bool
BackendRegistry::IsSuperseded(const RegisteredServer& aServer) const
{
  const auto found = m_servers.find(aServer.m_record.m_id);
  return found != m_servers.end() &&
         found->second.m_server.m_incarnation != aServer.m_incarnation;
}

const RegisteredServer*
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

bool
BackendRegistry::IsSoftwareRunning(const std::string& aSoftware) const
{
  return std::ranges::any_of(m_servers, [&](const auto& aEntry) {
    return aEntry.second.m_server.Software() == aSoftware;
  });
}

std::set<BackendServerId>
BackendRegistry::Ids() const
{
  std::set<BackendServerId> ids;
  for (const auto& [id, entry] : m_servers) {
    ids.insert(id);
  }
  return ids;
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
