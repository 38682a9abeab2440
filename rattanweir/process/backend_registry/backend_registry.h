// Users' platform (settings with `fleet`): the published backend servers and
// the availability zones that are being evacuated.
//
//   BackendRegistry registry({ .m_clock = clock, .m_regionOfZone = zones });
//   registry.Put(record);
//   registry.Remove(id, RemovalReason::Published);
//   for (const RegisteredServer* server : registry.ServersOf(pool, region)) ...
//
// An incarnation is one run of a server process, identified by the server's id
// and start time. A restart under the same id creates a new incarnation, which
// inherits no state from the previous one. An incarnation that has been seen
// draining never accepts requests again: neither an older copy of its entry nor
// a removal and a later entry changes that.
//
// While the store is unreachable, an entry may disappear merely because its
// server could not renew it: the entry has lapsed. The server of a lapsed entry
// stays in use for a grace period after the store is reachable again and is
// removed unless its entry reappears by then.
//
// A store that was restored from an older copy may list servers again that have
// left since. A removed incarnation that reappears in this way is not used
// until its entry is published again or has outlived its server's heartbeats.
//
// A server is cold for some time after its start, or after its evacuated zone
// is restored; callers of this class limit the request rate to a cold server. A
// server that has refused a connection counts as cold too, since it may start
// again under its id before its new entry is known. Instances tell the peers of
// their region of refused connections: those that had no request for the server
// while it was down would take the new process for the one before.
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/endpoint/endpoint.h"
#include "rattanweir/base/ids/ids.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanweir {

// A backend server's published entry.
struct ServerRecord
{
  BackendServerId m_id;
  // Start time by the server's own clock, in milliseconds since the Unix epoch.
  // Distinguishes incarnations of the same id.
  std::int64_t m_startedAtMs = 0;
  PoolId m_pool;
  Endpoint m_endpoint;
  AvailabilityZoneId m_zone;
  // Number of requests that the server processes concurrently.
  unsigned m_slots = 1;
  bool m_isDraining = false;
  // Remaining time for which the server is cold.
  std::chrono::nanoseconds m_coldFor{};
  // Version of the server's software; empty if not stated.
  std::string m_softwareVersion;
};

// The current incarnation of a published server.
struct RegisteredServer
{
  ServerRecord m_record;
  RegionId m_region;
  // "<server id>@<start time>"; identifies this incarnation in BackendView and
  // in the cache views.
  BackendServerId m_incarnation;
  SteadyTime m_coldUntil;
  // The server's zone is being evacuated.
  bool m_isEvacuated = false;
  // The entry reappeared in a restored store, and the server may be gone.
  bool m_isUnconfirmed = false;
  // The server has refused a connection and has not responded since.
  bool m_hasRefused = false;

  // Returns the pool and the software version; servers with the same value run
  // the same software.
  std::string Software() const
  {
    return m_record.m_pool.Value() + " " + m_record.m_softwareVersion;
  }

  // Returns the version if it is stated and can be sent in a header field.
  std::optional<std::string> UsableVersion() const;

  // Returns whether the server has this version; nullopt stands for any.
  bool HasVersion(const std::optional<std::string>& aVersion) const
  {
    return !aVersion || UsableVersion() == aVersion;
  }

  bool AcceptsRequests() const
  {
    return !m_record.m_isDraining && !m_isEvacuated && !m_isUnconfirmed;
  }
};

enum class RemovalReason
{
  // The store removed the entry while this instance could reach the store.
  Published,
  // The entry disappeared while the store was unreachable.
  Lapsed,
};

enum class RecordOrigin
{
  // The server wrote the record.
  Published,
  // The record was read from a store that was restored from an older copy.
  Restored,
};

struct BackendRegistryOptions
{
  const Clock& m_clock;
  // Known zones; entries in other zones are rejected.
  std::map<AvailabilityZoneId, RegionId> m_regionOfZone;
  // How long a lapsed server stays in use after the store is reachable again:
  // one heartbeat interval of the server plus a margin.
  std::chrono::nanoseconds m_lapseGracePeriod{ std::chrono::milliseconds(
    2'500) };
  // How long a reappeared entry stands until its server counts as running: the
  // store removes it after three heartbeat intervals without a renewal.
  std::chrono::nanoseconds m_confirmationTime{ std::chrono::seconds(4) };
  // How long after its end the process of a server may be replaced by one with
  // the same id while no entry says so: until then the store removes the entry.
  std::chrono::nanoseconds m_restartTime{ std::chrono::seconds(4) };
  // How long after a refused connection peers are told of it: the instance
  // learns meanwhile whether it has lost its own links.
  std::chrono::nanoseconds m_refusalConfirmationTime{ std::chrono::milliseconds(
    100) };
  // How long removed incarnations are remembered, and those that were reported
  // draining.
  std::chrono::nanoseconds m_removalMemory{ std::chrono::minutes(30) };
  // How long peers are told that a server was reported draining.
  std::chrono::nanoseconds m_drainingAdvertisement{ std::chrono::minutes(1) };
};

class BackendRegistry
{
public:
  explicit BackendRegistry(BackendRegistryOptions aOptions);

  // Adds or renews an entry. Returns false if its zone is unknown.
  bool Put(const ServerRecord& aRecord,
           RecordOrigin aOrigin = RecordOrigin::Published);

  // Removes the entry immediately or, if it lapsed, after the grace period. A
  // draining server is removed immediately in both cases.
  void Remove(const BackendServerId& aId, RemovalReason aReason);

  // Removes, as Remove does, every entry whose id is not in `aIds`.
  void KeepOnly(const std::set<BackendServerId>& aIds, RemovalReason aReason);

  // Replaces the set of evacuated zones, whose servers accept no requests. The
  // servers of a zone that is no longer evacuated become cold for
  // `aColdTimeOfPool(pool)`.
  void SetEvacuatedZones(
    const std::set<AvailabilityZoneId>& aZones,
    const std::function<std::chrono::nanoseconds(const PoolId&)>&
      aColdTimeOfPool);

  // Records that the server reported itself cold for `aDuration`. Never
  // shortens the cold time.
  void MarkCold(const BackendServerId& aIncarnation,
                std::chrono::nanoseconds aDuration);

  // Records that the server refused a connection: its process has ended, and a
  // new process may start at its address before an entry says so. The server
  // counts as cold for that time and the given cold time.
  void RecordRefusedConnection(const BackendServerId& aIncarnation,
                               std::chrono::nanoseconds aColdTime);

  // Records that the connections refused to this instance since their latest
  // responses were not refused by the servers of this region, but for want of a
  // path: the servers are as cold as they were before.
  void ForgiveRefusals(const RegionId& aRegion);

  // Returns the incarnations that have recently refused a connection to this
  // instance, to be told to the peers of its region.
  std::set<BackendServerId> RefusalsToAdvertise() const;

  // Records which incarnations a peer of the region currently advertises as
  // having refused a connection. Each counts when it is first listed, like a
  // refused connection to this instance, unless this instance knows of it.
  // Returns those that were news.
  std::vector<BackendServerId> RecordRefusalsOfPeer(
    const InstanceId& aPeer,
    const std::set<BackendServerId>& aIncarnations,
    const std::function<std::chrono::nanoseconds(const PoolId&)>&
      aColdTimeOfPool);

  // Records that the server responded to a request that was sent at `aSentAt`.
  // If it refused a connection before, it has just started and counts as cold
  // for `aColdTime`.
  void RecordResponse(const BackendServerId& aIncarnation,
                      std::chrono::nanoseconds aColdTime,
                      SteadyTime aSentAt);

  // Records that the server reported itself draining, to this instance or to a
  // peer. The incarnation need not be registered. Returns true if it was not
  // recorded before.
  bool MarkDraining(const BackendServerId& aIncarnation);

  // Returns the incarnations for which MarkDraining was called recently, to be
  // told to peers.
  std::set<BackendServerId> DrainingToAdvertise() const;

  // Returns true if MarkDraining was called for the incarnation.
  bool IsReportedDraining(const BackendServerId& aIncarnation) const
  {
    return m_reportedDraining.contains(aIncarnation);
  }

  // Records that a different server responded at this incarnation's address.
  void MarkReplaced(const BackendServerId& aIncarnation);

  // Removes the lapsed servers whose grace period is over, and confirms the
  // entries that have stood for long enough. Call periodically.
  void Tick();

  // Returns the servers of a pool in a region, including draining and evacuated
  // ones.
  std::vector<const RegisteredServer*> ServersOf(const PoolId& aPool,
                                                 const RegionId& aRegion) const;

  // Returns all servers in a region that accept requests.
  std::vector<const RegisteredServer*> ServersIn(const RegionId& aRegion) const;

  // Returns the regions in which at least one server of the pool accepts
  // requests; nullopt stands for any software version.
  std::set<RegionId> RegionsOf(
    const PoolId& aPool,
    const std::optional<std::string>& aVersion = std::nullopt) const;

  // Returns whether another incarnation of the server is registered now.
  bool IsSuperseded(const RegisteredServer& aServer) const;

  // Returns nullptr if the incarnation is not registered.
  const RegisteredServer* Find(const BackendServerId& aIncarnation) const;

  // Returns all registered incarnations, so that other views can drop the rest.
  std::set<BackendServerId> Incarnations() const;

  // Returns whether a registered server has this value of Software().
  bool IsSoftwareRunning(const std::string& aSoftware) const;

  // Returns the ids of all registered servers.
  std::set<BackendServerId> Ids() const;

  const std::set<AvailabilityZoneId>& EvacuatedZones() const
  {
    return m_evacuatedZones;
  }
  std::size_t Size() const { return m_servers.size(); }

private:
  struct Entry
  {
    RegisteredServer m_server;
    // End of the grace period; set if the entry lapsed.
    std::optional<SteadyTime> m_removeAt;
    // Until when the server was cold before it refused a connection.
    SteadyTime m_coldBeforeRefusal;
    // The first refused connection since the process ended, to this instance or
    // to a peer.
    std::optional<SteadyTime> m_refusedAt;
    // It was refused to this instance, not to a peer.
    bool m_wasRefusedHere = false;
    // Set if the server is unconfirmed.
    std::optional<SteadyTime> m_confirmAt;
  };
  // An incarnation whose entry was removed.
  struct Removed
  {
    SteadyTime m_at;
    bool m_wasDraining = false;
  };

  using Entries = std::map<BackendServerId, Entry>;

  Entry* FindIncarnation(const BackendServerId& aIncarnation);
  // Returns whether a refusal now is a further sign of a known end.
  bool IsKnownToHaveEnded(const Entry& aEntry) const;
  void RecordRefusal(Entry& aEntry, std::chrono::nanoseconds aColdTime);
  void RemoveEntry(Entries::iterator aEntry, RemovalReason aReason);
  void RememberRemoval(const RegisteredServer& aServer);

  BackendRegistryOptions m_options;
  Entries m_servers;
  std::map<BackendServerId, Removed> m_removed;
  // When each incarnation was first reported draining.
  std::map<BackendServerId, SteadyTime> m_reportedDraining;
  // The refusals that each peer advertised last.
  std::map<InstanceId, std::set<BackendServerId>> m_refusalsOfPeers;
  std::set<AvailabilityZoneId> m_evacuatedZones;
};

} // namespace rattanweir
