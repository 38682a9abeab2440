// Splits the surplus of one region over the others.
//
//   for (const SpilloverShare& share : SplitSurplus(loads, ownRegion)) { ... }
//
// The load that it handles: demand that peaks in one region after the other, so
// that the servers of some can't do their own demand while others are nearly
// idle. If each instance compared the regions for each request, all would
// choose the same one on the same report and its servers would refuse most of
// what arrives. Instead, every instance computes the same table from what all
// instances publish, and sends the same fraction of its own requests away.
//
// The demand of a region is what its own callers ask, wherever it is served, so
// that the result doesn't feed back into its input: reports that are a second
// old make it late, but not unstable.
//
// Plain values in and out; no I/O.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"

#include <span>
#include <vector>

namespace rattanweir {

// Demand and capacity of a region for one pool.
struct RegionLoad
{
  RegionId m_region;
  // Requests of the region's own callers.
  RequestRate m_demand;
  // Requests that its servers can process.
  RequestRate m_capacity;

  // Return the demand above the target utilization, and the capacity that is
  // left below it.
  RequestRate Surplus() const;
  RequestRate Spare() const;
};

// The fraction of its own requests that an instance sends to a region.
struct SpilloverShare
{
  RegionId m_region;
  double m_fraction = 0;
};

// Returns the shares of the other regions that have spare capacity; empty if
// the own region has no surplus or is not among the loads. The surplus of all
// regions together never exceeds the spare capacity that it is sent to.
std::vector<SpilloverShare>
SplitSurplus(std::span<const RegionLoad> aLoads, const RegionId& aOwn);

} // namespace rattanweir
