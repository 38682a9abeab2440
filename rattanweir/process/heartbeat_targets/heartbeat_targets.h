// Which peers an instance exchanges heartbeats with, and how often.
//
// All of its own availability zone up to a bound, and a few of each other zone
// and region, so that the cost per instance stays flat while the fleet grows.
// Which few follows from rendezvous hashing over the instance list: instances
// choose differently, and one that leaves moves only its own place.
//
//   const std::vector<InstanceId> targets =
//     ChooseHeartbeatTargets(self, peers, HeartbeatFanOut{});
//   const auto interval = HeartbeatInterval(1s, targets.size(), fanOut);
//
// Pure functions, safe from any thread.

#pragma once

#include "rattanweir/process/membership/membership.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace rattanweir {

struct HeartbeatFanOut
{
  std::size_t m_ownZone = 16;
  // For each other availability zone of the own region.
  std::size_t m_otherZone = 3;
  // For each other region.
  std::size_t m_otherRegion = 2;
  // The most exchanges that one instance starts in a second.
  double m_exchangesPerSecond = 8;
};

// The chosen peers, in no particular order.
std::vector<InstanceId>
ChooseHeartbeatTargets(const InstanceRecord& aSelf,
                       const std::vector<PeerView>& aPeers,
                       const HeartbeatFanOut& aFanOut);

// The configured interval, or a longer one where that many targets would
// take more exchanges than allowed.
std::chrono::nanoseconds
HeartbeatInterval(std::chrono::nanoseconds aConfigured,
                  std::size_t aTargets,
                  const HeartbeatFanOut& aFanOut);

} // namespace rattanweir
