// Connects the split of a region's surplus (request/region_split) with what
// instances advertise to each other. Used on the users' platform (settings with
// `fleet`), for pools whose servers state their pace.
//
//   self.m_pools[pool].m_demand = DemandToAdvertise(state, pool);
//   UpdateSplit(state, pool);

#pragma once

#include "rattanweir/request/gateway/gateway_state.h"

#include <optional>
#include <vector>

namespace rattanweir {

// Returns the demand of this instance's own callers and the capacity of this
// region's servers; nullopt while one of them is not known.
std::optional<PoolDemand>
DemandToAdvertise(const GatewayState& aState, const PoolId& aPool);

// Returns demand and capacity of each region of which they are known. Members
// that have not been heard of for a while, have no such requests, or whose
// builds don't tell, add no demand: the split then sends less, rather than too
// much.
std::vector<RegionLoad>
RegionLoadsOf(const GatewayState& aState, const PoolId& aPool);

// Updates the split if it is due, and logs where it begins or ends.
void
UpdateSplit(GatewayState& aState, const PoolId& aPool);

} // namespace rattanweir
