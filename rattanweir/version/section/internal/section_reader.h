// The readers of one section's fields, shared by the parsers of a section on
// its own and of a document that holds all four.

#pragma once

#include "rattanweir/version/section/section.h"
#include "rattanweir/version/yaml/reader.h"
#include "rattanweir/version/yaml/unique_values.h"

#include <cstdint>
#include <limits>

namespace rattanweir::internal {

inline constexpr Range<std::int64_t> kVersionRange{
  1,
  std::numeric_limits<std::int64_t>::max()
};

// Each reads one section from its mapping and adds its faults to the mapping's
// collector. The value is good only if no fault was added.
ClientAccountsSection
ReadClientAccounts(MappingReader& aSection);
KeysSection
ReadKeys(MappingReader& aSection);
RoutesSection
ReadRoutes(MappingReader& aSection);
BackendServersSection
ReadBackendServers(MappingReader& aSection);

// Reads a section's whole mapping, its optional `version` included.
template<class Section>
Section
ReadWhole(const YamlNode& aRoot,
          FaultCollector& aFaults,
          Section (*aRead)(MappingReader&))
{
  MappingReader reader(aRoot, "", aFaults);
  if (reader.Has("version")) {
    reader.ReadInteger("version", kVersionRange);
  }
  Section section = aRead(reader);
  reader.RejectUnknownFields();
  return section;
}

} // namespace rattanweir::internal
