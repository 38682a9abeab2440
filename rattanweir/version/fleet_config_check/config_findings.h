// Finds what is wrong with a fleet's configuration before it is published: what
// an instance would reject, entries that can never match, and limits that
// contradict each other.
//
//   for (const ConfigFinding& finding : FindConfigFindings(data)) { ... }
//
// Findings name routes, pools and accounts, never keys. Pure functions.

#pragma once

#include "rattanweir/version/fleet_config/fleet_config.h"

#include <string>
#include <vector>

namespace rattanweir {

enum class FindingKind
{
  // An instance would reject the configuration.
  Error,
  // The entry has no effect on any request.
  NeverMatches,
  // Two limits can't both be met.
  Contradiction,
};

// Returns `error`, `never matches` or `contradiction`.
const char*
TextOf(FindingKind aKind);

struct ConfigFinding
{
  FindingKind m_kind = FindingKind::Error;
  // The entry, such as `route r-1`.
  std::string m_entry;
  std::string m_message;

  friend bool operator==(const ConfigFinding&, const ConfigFinding&) = default;
};

// Returns the findings, errors first.
std::vector<ConfigFinding>
FindConfigFindings(const FleetConfigData& aData);

} // namespace rattanweir
