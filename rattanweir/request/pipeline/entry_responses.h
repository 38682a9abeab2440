// Tells callers which instances to use.
//
//   const std::string json = EntriesJson(serving, presentedKey);
//
// Only instances that take new work are named: those that leave, drain, are
// not ready or are not heard from are left out, this one included.

#pragma once

#include "rattanweir/request/pipeline/serving.h"

#include <optional>
#include <string>
#include <vector>

namespace rattanweir {

// The instances to use in their order. A key that is not granted counts as
// none.
std::vector<InstanceRecord>
UsableEntries(const ServingContext& aServing,
              const std::optional<std::string>& aPresentedKey);

// The answer of GET /v1/entries.
std::string
EntriesJson(const ServingContext& aServing,
            const std::optional<std::string>& aPresentedKey);

} // namespace rattanweir
