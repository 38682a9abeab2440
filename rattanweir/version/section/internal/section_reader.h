// The readers of one section's fields, shared by the parsers of a section on
// its own and of a document that holds all four.

#pragma once

#include "rattanweir/version/section/section.h"
#include "rattanweir/version/yaml/reader.h"
#include "rattanweir/version/yaml/unique_values.h"

namespace rattanweir::internal {

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

} // namespace rattanweir::internal
