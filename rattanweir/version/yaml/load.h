// Loads a YAML text within bounds, with the line of each fault.
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

// The largest text that is taken, in bytes: the configuration service holds
// values up to this size.
inline constexpr std::size_t kMaximumTextBytes = 1'000'000;

// The root of the text's only document, or nothing with a fault added: more
// than `aMaximumBytes`, not YAML, empty, or several documents. An alias adds a
// fault, too, and is read as a value that was not given.
std::optional<YamlNode>
LoadYaml(const SectionText& aText,
         FaultCollector& aFaults,
         std::size_t aMaximumBytes = kMaximumTextBytes);

} // namespace rattanweir
