// Product's own interface (settings without `fleet`): selects the peers with
// which an instance exchanges heartbeats, and the interval.
//
// The targets are all peers in the local availability zone up to a limit, and a
// few in each other zone and region, so that the cost per instance stays
// constant while the fleet grows. Rendezvous hashing over the instance list
// selects them: each instance selects different peers, and removing a peer from
// the list replaces only that peer among the targets.
//
//   const std::vector<InstanceId> targets =
//     ChooseHeartbeatTargets(self, peers, HeartbeatFanOut{});
//   const auto interval = HeartbeatInterval(1s, targets.size(), fanOut);
//
// Pure functions, safe to call from any thread.

#pragma once

#include "rattanweir/process/membership/membership.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace rattanweir {

// Limits on the number of heartbeat targets and on the rate of exchanges.
struct HeartbeatFanOut
{
  // Targets in the local availability zone.
  std::size_t m_localZone = 16;
  // Targets in each other availability zone of the local region.
  std::size_t m_otherZone = 3;
  // Targets in each other region.
  std::size_t m_otherRegion = 2;
  // Exchanges that one instance starts per second.
  double m_maxExchangesPerSecond = 8;
};

// Returns the selected peers in no particular order. `aPeers` must not contain
// the local instance.
std::vector<InstanceId>
ChooseHeartbeatTargets(const InstanceRecord& aSelf,
                       const std::vector<PeerView>& aPeers,
                       const HeartbeatFanOut& aFanOut);

// Returns the configured interval, or a longer one if that number of targets
// would exceed the allowed rate of exchanges.
std::chrono::nanoseconds
HeartbeatInterval(std::chrono::nanoseconds aConfigured,
                  std::size_t aTargets,
                  const HeartbeatFanOut& aFanOut);

} // namespace rattanweir
