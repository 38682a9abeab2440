// Reads the platform's list of instances.
//
//   membership.ApplyList(ParseInstanceList(text));
//
// The text is YAML, as docs/PROTOCOLS.md shows it. Safe from any thread.

#pragma once

#include "rattanweir/process/membership/membership.h"

#include <vector>

namespace rattanweir {

// Throws SectionError with every fault: a row without a field or with an
// unknown one, an id that stands twice. Two rows may share an address, as an
// instance and its replacement do while the list lags.
std::vector<InstanceRecord>
ParseInstanceList(const SectionText& aText);

} // namespace rattanweir
