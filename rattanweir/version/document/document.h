// Checks all four sections together, so that operators can validate them
// before publishing.
//
//   const DocumentReport report = CheckDocument(ReadTextFile("all.yaml"));
//
// A document is a mapping with the four section names as its fields. Its
// faults are those for which an instance would reject a section. Dangling
// references are only warnings: sections are published one after the other,
// and an instance rejects only the requests that depend on such a reference.

#pragma once

#include "rattanweir/version/section/section.h"

#include <vector>

namespace rattanweir {

// All four sections. Each is valid on its own; references between sections may
// dangle.
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
  // Empty if the document has faults.
  std::vector<SectionFault> m_warnings;
};

// Parses and checks a document of all four sections.
DocumentReport
CheckDocument(const SectionText& aText);

// Returns the references without a target, with `m_line` 0: keys of unknown
// client accounts, pools without a backend server, and residency regions (those
// of a route, or the home regions of client accounts) in which the route's pool
// has no backend server.
std::vector<SectionFault>
FindDanglingReferences(const Document& aDocument, const std::string& aFile);

} // namespace rattanweir
