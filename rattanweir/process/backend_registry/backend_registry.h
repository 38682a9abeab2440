// The backend servers that are published, by incarnation, and the availability
// zones that are being evacuated.
//
//   BackendRegistry registry({ .m_clock = clock, .m_regionOfZone = zones });
//   registry.Put(record);
//   registry.Remove(id, Removal::Published);
//   for (const KnownServer* server : registry.ServersOf(pool, region)) ...
//
// A start of a server under the id that it had before is another incarnation:
// nothing that was known of the former one holds for it. A server that was
// seen to leave takes no work again in that incarnation.
//
// While the published list is away, servers may drop out of it only because
// they could not renew their entry. Those stay in use for the lapse time after
// its return, and are taken as gone if they are not back by then. For one
// thread.

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

// A backend server as it is published.
struct ServerRecord
{
  BackendServerId m_id;
  // When it started, on its own clock, in milliseconds since 1970; tells its
  // incarnations apart.
  std::int64_t m_startedAtMs = 0;
  PoolId m_pool;
  Endpoint m_endpoint;
  AvailabilityZoneId m_zone;
  unsigned m_slots = 1;
  bool m_isDraining = false;
  std::chrono::nanoseconds m_coldFor{};
};

// One incarnation of a server that is in the list.
struct KnownServer
{
  ServerRecord m_record;
  RegionId m_region;
  // Names this incarnation in the views of load and caches.
  BackendServerId m_incarnation;
  // Cold until then.
  SteadyTime m_coldUntil;
  // Its zone is being evacuated.
  bool m_isEvacuated = false;

  bool AcceptsRequests() const
  {
    return !m_record.m_isDraining && !m_isEvacuated;
  }
};

enum class Removal
{
  // The list says so while it can be trusted.
  Published,
  // The entry dropped out while the list was away.
  Lapsed,
};

struct BackendRegistryOptions
{
  const Clock& m_clock;
  // Servers in other zones are not used.
  std::map<AvailabilityZoneId, RegionId> m_regionOfZone;
  // How long a server whose entry lapsed while the list was away stays in use
  // after its return: its heartbeat and a margin.
  std::chrono::nanoseconds m_lapseTime{ std::chrono::milliseconds(2'500) };
};

class BackendRegistry
{
public:
  explicit BackendRegistry(BackendRegistryOptions aOptions);

  // Adds or renews an entry. False if its zone is not known.
  bool Put(const ServerRecord& aRecord);

  void Remove(const BackendServerId& aId, Removal aRemoval);

  // Removes all that are not among these.
  void KeepOnly(const std::set<BackendServerId>& aIds, Removal aRemoval);

  // Replaces the zones that get no work. The servers of a zone that was taken
  // back are cold for `aColdTimeOf` their pool.
  void SetEvacuatedZones(
    const std::set<AvailabilityZoneId>& aZones,
    const std::function<std::chrono::nanoseconds(const PoolId&)>& aColdTimeOf);

  // A server says of itself that it is cold.
  void MarkCold(const BackendServerId& aIncarnation,
                std::chrono::nanoseconds aFor);

  // A server says of itself that it leaves.
  void MarkDraining(const BackendServerId& aIncarnation);

  // Another server answered at its address.
  void MarkReplaced(const BackendServerId& aIncarnation);

  // Drops the servers whose lapse time is over.
  void Tick();

  // Those of a pool in a region, leaving and evacuated ones included.
  std::vector<const KnownServer*> ServersOf(const PoolId& aPool,
                                            const RegionId& aRegion) const;

  // Regions in which a server of the pool takes work.
  std::set<RegionId> RegionsOf(const PoolId& aPool) const;

  const KnownServer* Find(const BackendServerId& aIncarnation) const;

  // All that are known, for views that forget the others.
  std::set<BackendServerId> Incarnations() const;

  const std::set<AvailabilityZoneId>& EvacuatedZones() const
  {
    return m_evacuated;
  }
  std::size_t Size() const { return m_servers.size(); }

private:
  struct Entry
  {
    KnownServer m_server;
    std::optional<SteadyTime> m_lapsesAt;
  };

  using Entries = std::map<BackendServerId, Entry>;

  Entry* FindIncarnation(const BackendServerId& aIncarnation);
  void Drop(Entries::iterator aEntry, Removal aRemoval);

  BackendRegistryOptions m_options;
  Entries m_servers;
  std::set<AvailabilityZoneId> m_evacuated;
};

} // namespace rattanweir
