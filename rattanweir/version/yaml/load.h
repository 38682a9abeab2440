// Loads a YAML text within bounds, with the line of each fault.
//
//   FaultCollector faults("routes.yaml", "routes");
//   if (const auto root = LoadYaml(text, faults)) {
//     MappingReader reader(*root, "", faults);
//   }
//   faults.ThrowIfAny();

#pragma once

#include "rattanweir/version/fault/fault_collector.h"

#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <optional>

namespace rattanweir {

// The largest text that is taken, in bytes: the configuration service holds
// values up to this size.
inline constexpr std::size_t kMaximumTextBytes = 1'000'000;

// The root of the text's only document, or nothing with a fault added: more
// than `aMaximumBytes`, not YAML, empty, or several documents.
std::optional<YAML::Node>
LoadYaml(const SectionText& aText,
         FaultCollector& aFaults,
         std::size_t aMaximumBytes = kMaximumTextBytes);

// The line of a node, counted from 1.
int
LineOf(const YAML::Node& aNode);

} // namespace rattanweir
