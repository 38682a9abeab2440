// Checks all four sections together, for operators before they publish.
//
//   const DocumentReport report = CheckDocument(ReadTextFile("all.yaml"));
//
// A document is a mapping with the four section names as its fields. Its
// faults are those for which an instance would refuse a section. References
// that lead nowhere are only warnings: sections are published one after the
// other, and an instance refuses the requests that meet such a reference.

#pragma once

#include "rattanweir/version/section/section.h"

#include <vector>

namespace rattanweir {

// All four sections, each without a fault of its own.
struct Document
{
  ClientAccountsSection m_clientAccounts;
  KeysSection m_keys;
  RoutesSection m_routes;
  BackendServersSection m_backendServers;
};

struct DocumentReport
{
  std::vector<SectionFault> m_faults;
  // Empty as long as there are faults.
  std::vector<SectionFault> m_warnings;
};

DocumentReport
CheckDocument(const SectionText& aText);

// The references that lead nowhere: keys of unknown client accounts, pools
// without a backend server, regions of a route or home regions of a client
// account where a pool that is bound to them has none. `m_line` is 0.
std::vector<SectionFault>
FindDanglingReferences(const Document& aDocument, const std::string& aFile);

} // namespace rattanweir
