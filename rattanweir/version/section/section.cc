#include "rattanweir/version/section/section.h"

#include "rattanweir/version/section/internal/section_reader.h"
#include "rattanweir/version/yaml/load.h"
#include "rattanweir/version/yaml/reader.h"

namespace rattanweir {
namespace {

template<class Section>
Section
Parse(SectionKind aKind,
      const SectionText& aText,
      Section (*aRead)(MappingReader&))
{
  FaultCollector faults(aText.m_file, SectionName(aKind));
  Section section;
  if (const auto root = LoadYaml(aText, faults)) {
    section = internal::ReadSectionMapping(*root, faults, aRead);
  }
  faults.ThrowIfAny();
  return section;
}

void
ParseAny(SectionKind aKind, const SectionText& aText)
{
  switch (aKind) {
    case SectionKind::ClientAccounts:
      ParseClientAccounts(aText);
      return;
    case SectionKind::Keys:
      ParseKeys(aText);
      return;
    case SectionKind::Routes:
      ParseRoutes(aText);
      return;
    case SectionKind::BackendServers:
      ParseBackendServers(aText);
      return;
  }
}

} // namespace

std::string
SectionName(SectionKind aKind)
{
  switch (aKind) {
    case SectionKind::ClientAccounts:
      return "client_accounts";
    case SectionKind::Keys:
      return "keys";
    case SectionKind::Routes:
      return "routes";
    case SectionKind::BackendServers:
      return "backend_servers";
  }
  return "";
}

std::optional<SectionKind>
SectionKindFromName(const std::string& aName)
{
  for (const SectionKind kind : kAllSectionKinds) {
    if (SectionName(kind) == aName) {
      return kind;
    }
  }
  return std::nullopt;
}

ClientAccountsSection
ParseClientAccounts(const SectionText& aText)
{
  return Parse(
    SectionKind::ClientAccounts, aText, &internal::ReadClientAccounts);
}

KeysSection
ParseKeys(const SectionText& aText)
{
  return Parse(SectionKind::Keys, aText, &internal::ReadKeys);
}

RoutesSection
ParseRoutes(const SectionText& aText)
{
  return Parse(SectionKind::Routes, aText, &internal::ReadRoutes);
}

BackendServersSection
ParseBackendServers(const SectionText& aText)
{
  return Parse(
    SectionKind::BackendServers, aText, &internal::ReadBackendServers);
}

std::vector<SectionFault>
FindFaults(SectionKind aKind, const SectionText& aText)
{
  try {
    ParseAny(aKind, aText);
  } catch (const SectionError& error) {
    return error.Faults();
  }
  return {};
}

SectionVersion
ReadSectionVersion(SectionKind aKind, const SectionText& aText)
{
  FaultCollector faults(aText.m_file, SectionName(aKind));
  std::int64_t version = 0;
  if (const auto root = LoadYaml(aText, faults)) {
    MappingReader reader(*root, "", faults);
    version = reader.ReadInteger("version", internal::kVersionRange);
  }
  faults.ThrowIfAny();
  return SectionVersion(static_cast<std::uint64_t>(version));
}

} // namespace rattanweir
