// What this instance has learned about the speed of the backend servers, from
// its own responses. Used on the users' platform (settings with `fleet`).
//
//   ServerPerformance performance({ .m_clock = clock });
//   performance.RecordPace(pool, server, Pace(1.3));
//   if (const auto profile = performance.ProfileOf(pool, server)) { ... }
//   performance.RecordStart(pool, server, observation);
//
// Servers that share their machines with others may state their pace: how long
// work takes there at the moment, relative to the usual time. Only pools with
// such a server are profiled; for all others the placement uses its defaults.
//
// Learned per pool: the fixed cost of the first byte and the prefill rate; per
// server: its speed relative to the pool. The pace changes several times a
// second, so that a stated one soon says no more than the server's mean.
//
// Without a stated pace a server counts as usual. A restarted server, which is
// another incarnation, starts with the pool's profile. Nothing passes between
// instances, so that builds of any age can run side by side. Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/process/server_performance/latency_model.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>

namespace rattanweir {

// The expected speed of one server, or of the servers of another region.
struct ServerProfile
{
  // Time to first byte of a request without queueing or prefill.
  std::chrono::nanoseconds m_firstByteCost{};
  std::chrono::duration<double, std::nano> m_costPerToken{};
  // How long work takes there now, relative to the pool.
  double m_slowdown = 1;

  // Returns the time to first byte without queueing.
  std::chrono::nanoseconds WorkTime(Tokens aUncached) const;
  std::chrono::nanoseconds PrefillTime(Tokens aTokens) const;
};

struct ServerPerformanceOptions
{
  const Clock& m_clock;
  // Model of a pool before its first observation.
  LatencyModelOptions m_poolModel{ .m_initialCostPerToken =
                                     std::chrono::microseconds(1'000) / 60.0 };
  // Corrects the estimate for another region in either direction: the delay
  // that its instances advertise may be too high as well.
  LatencyModelOptions m_regionModel{ .m_initialCostPerToken =
                                       std::chrono::microseconds(1'000) / 60.0,
                                     .m_minFixedCost =
                                       -std::chrono::seconds(1) };
  // Bounds of a stated pace; a server can't be trusted beyond them.
  Pace m_minPace{ 0.2 };
  Pace m_maxPace{ 10 };
  // Age at which a stated pace has lost half of its weight.
  std::chrono::nanoseconds m_paceHalfLife{ std::chrono::milliseconds(200) };
  // Weight of the newest stated pace in a server's mean.
  double m_paceWeight = 0.1;
  // Factor by which one response changes a server's learned speed, and the
  // bounds of that speed.
  double m_speedStep = 1.08;
  double m_minSpeed = 0.3;
  double m_maxSpeed = 4;
  // Errors below this fraction of the estimate don't change a server's speed.
  double m_speedTolerance = 0.15;
  // Observations from which a pool's slot time is known, and the weight of the
  // newest one in its mean.
  unsigned m_minSlotTimes = 10;
  double m_slotTimeWeight = 0.05;
};

class ServerPerformance
{
public:
  explicit ServerPerformance(const ServerPerformanceOptions& aOptions);

  // Records a pace that the server has stated.
  void RecordPace(const PoolId& aPool,
                  const BackendServerId& aServer,
                  Pace aPace);

  // Records that a server has stated a load that can't be used. Returns whether
  // this is the first time.
  bool RecordInvalidLoad(const BackendServerId& aServer);

  // Returns whether a server of the pool has stated its pace.
  bool IsProfiled(const PoolId& aPool) const;

  // Returns nullopt for a pool that is not profiled.
  std::optional<ServerProfile> ProfileOf(const PoolId& aPool,
                                         const BackendServerId& aServer) const;
  // The same for another region. `aRegion` is the key of region and pool.
  std::optional<ServerProfile> ProfileOfRegion(
    const PoolId& aPool,
    const BackendServerId& aRegion) const;

  // Records the start of a response; ignored for a pool that is not profiled.
  void RecordStart(const PoolId& aPool,
                   const BackendServerId& aServer,
                   const LatencyObservation& aObservation);
  void RecordRegionStart(const PoolId& aPool,
                         const BackendServerId& aRegion,
                         const LatencyObservation& aObservation);

  // Records for how long a request would have occupied a slot without queueing;
  // ignored for a pool that is not profiled.
  void RecordSlotTime(const PoolId& aPool, std::chrono::nanoseconds aTime);
  // Returns the mean slot time of the pool; nullopt before enough observations.
  std::optional<std::chrono::nanoseconds> SlotTimeOf(const PoolId& aPool) const;

  // Removes the state of all servers that are not in `aListed`.
  void KeepOnly(const std::set<BackendServerId>& aListed);

private:
  struct Server
  {
    double m_speed = 1;
    double m_pace = 1;
    double m_meanPace = 1;
    SteadyTime m_paceAt;
  };

  struct SlotTime
  {
    double m_nanoseconds = 0;
    unsigned m_observations = 0;
  };

  double PaceOf(const Server& aServer) const;

  ServerPerformanceOptions m_options;
  std::map<PoolId, LatencyModel> m_pools;
  std::map<PoolId, SlotTime> m_slotTimes;
  std::map<BackendServerId, LatencyModel> m_regions;
  std::map<BackendServerId, Server> m_servers;
  std::set<BackendServerId> m_withInvalidLoad;
};

} // namespace rattanweir
