// Reads the fields of each section kind. Shared by the parsers of a single
// section and of a document that holds all four.

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

// Each function reads one section from its mapping and adds its faults to the
// mapping's collector. The result is valid only if no fault was added.
ClientAccountsSection
ReadClientAccounts(MappingReader& aSection);
KeysSection
ReadKeys(MappingReader& aSection);
RoutesSection
ReadRoutes(MappingReader& aSection);
BackendServersSection
ReadBackendServers(MappingReader& aSection);

// Reads a section's complete mapping, including its optional `version`, and
// rejects unknown fields.
template<class Section>
Section
ReadSectionMapping(const YamlNode& aRoot,
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
