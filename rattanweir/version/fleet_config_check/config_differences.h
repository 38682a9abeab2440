// Compares a fleet's configuration with the version in force.
//
//   for (const std::string& line : FindConfigDifferences(inForce, next)) { ...
//   }
//
// Keys are counted, never named. Pure function.

#pragma once

#include "rattanweir/version/fleet_config/fleet_config.h"

#include <string>
#include <vector>

namespace rattanweir {

// Returns one line for each route, pool, account or limit that was added,
// removed or changed, and one if the version is not newer.
std::vector<std::string>
FindConfigDifferences(const FleetConfigData& aInForce,
                      const FleetConfigData& aNext);

} // namespace rattanweir
