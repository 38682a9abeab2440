// Selects the instances that a caller should connect to. Used on the users'
// platform (settings with `fleet`).
//
//   const std::vector<Endpoint> entries = SelectEntryEndpoints(
//     fleet, { .m_region = region, .m_zone = zone }, random);
//
// Prefers instances of the caller's availability zone that accept requests,
// since traffic between zones is billed. Falls back to the caller's region if
// the zone has too few instances, and to all regions if the region has none.
// Callers pick among the returned instances at random, so where capacities
// differ, an instance of lower capacity is returned with a lower probability.
// Performs no I/O.

#pragma once

#include "rattanweir/base/endpoint/endpoint.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/process/fleet/fleet_view.h"

#include <cstddef>
#include <vector>

namespace rattanweir {

struct EntryQuery
{
  // The caller's location; empty where unknown.
  RegionId m_region;
  AvailabilityZoneId m_zone;
  std::size_t m_maxEntries = 64;
};

// Returns at most `m_maxEntries` endpoints in random order; empty if no
// instance accepts requests.
std::vector<Endpoint>
SelectEntryEndpoints(const FleetView& aFleet,
                     const EntryQuery& aQuery,
                     RandomEngine& aRandom);

} // namespace rattanweir
