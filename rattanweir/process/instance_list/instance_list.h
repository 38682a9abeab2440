// Product's own interface (settings without `fleet`): parses the platform's
// instance list.
//
//   membership.ApplyList(ParseInstanceList(text));
//
// docs/PROTOCOLS.md describes the YAML format. Safe to call from any thread.

#pragma once

#include "rattanweir/process/membership/membership.h"

#include <vector>

namespace rattanweir {

// Throws SectionError with all faults, such as a missing or unknown field or a
// duplicate id. Two entries may have the same address, because the list may
// still contain an instance whose replacement uses its address.
std::vector<InstanceRecord>
ParseInstanceList(const SectionText& aText);

} // namespace rattanweir
