// Lists the instances that callers should use, for the product's own interface.
//
//   const std::string json = EntriesJson(serving, presentedKey);
//
// Lists only instances that accept requests. Instances that are draining,
// paused, not ready or stale are omitted, including the local one.

#pragma once

#include "rattanweir/request/pipeline/serving.h"

#include <optional>
#include <string>
#include <vector>

namespace rattanweir {

// Returns the instances in the order in which the caller should try them. A key
// that is not granted is treated as absent.
std::vector<InstanceRecord>
UsableEntries(const ServingContext& aServing,
              const std::optional<std::string>& aPresentedKey);

// Returns the JSON response to GET /v1/entries.
std::string
EntriesJson(const ServingContext& aServing,
            const std::optional<std::string>& aPresentedKey);

} // namespace rattanweir
