// Chooses the instances that a caller should connect to.
//
//   const std::vector<Endpoint> entries =
//     SelectEntryEndpoints(fleet, { .m_region = region, .m_zone = zone },
//     random);
//
// Those of the caller's availability zone that take new work, since bytes
// between zones cost; of its region where the zone has few, and of all regions
// if the region has none. Where instances differ in what they can carry, the
// weaker ones are named to a part of the callers only, since callers pick among
// the named ones at random. No I/O.

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
  // Where the caller is; both may be unknown.
  RegionId m_region;
  AvailabilityZoneId m_zone;
  std::size_t m_maxEntries = 64;
};

std::vector<Endpoint>
SelectEntryEndpoints(const FleetView& aFleet,
                     const EntryQuery& aQuery,
                     RandomEngine& aRandom);

} // namespace rattanweir
