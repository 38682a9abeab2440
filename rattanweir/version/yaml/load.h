// Loads a YAML text of bounded size and reports each fault with its line.
//
//   FaultCollector faults("routes.yaml", "routes");
//   if (const auto root = LoadYaml(text, faults)) {
//     MappingReader reader(*root, "", faults);
//   }
//   faults.ThrowIfAny();

#pragma once

#include "rattanweir/version/fault/fault_collector.h"
#include "rattanweir/version/yaml/node.h"

#include <cstddef>
#include <optional>

namespace rattanweir {

// The maximum text size in bytes: the configuration service holds values up to
// this size.
inline constexpr std::size_t kMaximumTextBytes = 1'000'000;

// Returns the root of the text's only document. Adds a fault and returns
// nullopt if the text exceeds `aMaximumBytes`, is not YAML, is empty, or has
// several documents. An alias also adds a fault and is read as a null value.
std::optional<YamlNode>
LoadYaml(const SectionText& aText,
         FaultCollector& aFaults,
         std::size_t aMaximumBytes = kMaximumTextBytes);

} // namespace rattanweir
