#include "rattanweir/version/document/document.h"

#include "rattanweir/version/section/internal/section_reader.h"
#include "rattanweir/version/yaml/load.h"

#include <iterator>
#include <map>
#include <set>

namespace rattanweir {
namespace {

// Each section may reach the size limit of a configuration service value.
constexpr std::size_t kMaximumDocumentBytes =
  std::size(kAllSectionKinds) * kMaximumTextBytes;

class ReferenceChecker
{
public:
  ReferenceChecker(const Document& aDocument, std::string aFile)
    : m_document(aDocument)
    , m_file(std::move(aFile))
  {
    for (const auto& account : m_document.m_clientAccounts.m_clientAccounts) {
      m_accounts.insert(account.m_id);
    }
    for (const auto& server : m_document.m_backendServers.m_backendServers) {
      m_pools[server.m_pool].insert(server.m_region);
    }
  }

  std::vector<SectionFault> Check()
  {
    CheckKeys();
    CheckRoutes();
    return std::move(m_warnings);
  }

private:
  void CheckKeys()
  {
    std::size_t index = 0;
    for (const KeyGrant& key : m_document.m_keys.m_keys) {
      if (!m_accounts.contains(key.m_clientAccount)) {
        Warn(SectionKind::Keys,
             index,
             "client_account",
             "unknown client account '" + key.m_clientAccount.Value() + "'");
      }
      ++index;
    }
  }

  void CheckRoutes()
  {
    std::size_t index = 0;
    for (const Route& route : m_document.m_routes.m_routes) {
      CheckRoute(route, index);
      ++index;
    }
  }

  void CheckRoute(const Route& aRoute, std::size_t aIndex)
  {
    const auto pool = m_pools.find(aRoute.m_pool);
    if (pool == m_pools.end()) {
      Warn(SectionKind::Routes,
           aIndex,
           "pool",
           "pool '" + aRoute.m_pool.Value() + "' has no backend server");
      return;
    }
    for (const RegionId& region : ResidencyRegions(aRoute)) {
      if (!pool->second.contains(region)) {
        Warn(SectionKind::Routes,
             aIndex,
             "residency",
             "pool '" + aRoute.m_pool.Value() +
               "' has no backend server in region '" + region.Value() + "'");
      }
    }
  }

  std::set<RegionId> ResidencyRegions(const Route& aRoute) const
  {
    if (const auto* listed = std::get_if<ListedRegions>(&aRoute.m_residency)) {
      return listed->m_regions;
    }
    std::set<RegionId> regions;
    if (!std::holds_alternative<HomeRegionOfClientAccount>(
          aRoute.m_residency)) {
      return regions;
    }
    for (const auto& account : m_document.m_clientAccounts.m_clientAccounts) {
      if (account.m_homeRegion) {
        regions.insert(*account.m_homeRegion);
      }
    }
    return regions;
  }

  void Warn(SectionKind aKind,
            std::size_t aRow,
            const std::string& aField,
            const std::string& aMessage)
  {
    m_warnings.push_back(
      { .m_file = m_file,
        .m_section = SectionName(aKind),
        .m_field = "[" + std::to_string(aRow) + "]." + aField,
        .m_message = aMessage });
  }

  const Document& m_document;
  std::string m_file;
  std::set<ClientAccountId> m_accounts;
  std::map<PoolId, std::set<RegionId>> m_pools;
  std::vector<SectionFault> m_warnings;
};

// Reads one section of the document and appends its faults to `aFaults`.
template<class Section>
Section
ReadSection(MappingReader& aDocument,
            SectionKind aKind,
            Section (*aRead)(MappingReader&),
            const std::string& aFile,
            std::vector<SectionFault>& aFaults)
{
  FaultCollector faults(aFile, SectionName(aKind));
  Section section;
  if (const auto node = aDocument.ReadNode(SectionName(aKind))) {
    section = internal::ReadSectionMapping(*node, faults, aRead);
  }
  for (SectionFault& fault : faults.Faults()) {
    aFaults.push_back(std::move(fault));
  }
  return section;
}

Document
ReadDocument(MappingReader& aReader,
             const std::string& aFile,
             std::vector<SectionFault>& aFaults)
{
  return {
    .m_clientAccounts = ReadSection(aReader,
                                    SectionKind::ClientAccounts,
                                    &internal::ReadClientAccounts,
                                    aFile,
                                    aFaults),
    .m_keys = ReadSection(
      aReader, SectionKind::Keys, &internal::ReadKeys, aFile, aFaults),
    .m_routes = ReadSection(
      aReader, SectionKind::Routes, &internal::ReadRoutes, aFile, aFaults),
    .m_backendServers = ReadSection(aReader,
                                    SectionKind::BackendServers,
                                    &internal::ReadBackendServers,
                                    aFile,
                                    aFaults),
  };
}

} // namespace

DocumentReport
CheckDocument(const SectionText& aText)
{
  FaultCollector faults(aText.m_file, "document");
  DocumentReport report;
  Document document;
  if (const auto root = LoadYaml(aText, faults, kMaximumDocumentBytes)) {
    MappingReader reader(*root, "", faults);
    document = ReadDocument(reader, aText.m_file, report.m_faults);
    reader.RejectUnknownFields();
  }
  for (SectionFault& fault : faults.Faults()) {
    report.m_faults.push_back(std::move(fault));
  }
  if (report.m_faults.empty()) {
    report.m_warnings = FindDanglingReferences(document, aText.m_file);
  }
  return report;
}

std::vector<SectionFault>
FindDanglingReferences(const Document& aDocument, const std::string& aFile)
{
  return ReferenceChecker(aDocument, aFile).Check();
}

} // namespace rattanweir
