#include "programs/rattanweirctl/check_command.h"

#include "programs/rattanweirctl/command_line.h"
#include "rattanweir/process/instance_list/instance_list.h"
#include "rattanweir/process/settings/settings.h"
#include "rattanweir/version/document/document.h"
#include "rattanweir/version/section/section.h"
#include "rattanweir/version/text_file/text_file.h"

#include <json/json.h>

#include <filesystem>

namespace rattanweir::ctl {
namespace {

constexpr const char* kSettings = "settings";
constexpr const char* kInstances = "instances";
constexpr const char* kDocument = "document";

SectionText
ReadFileOrThrowUsageError(const std::string& aPath)
{
  try {
    return ReadTextFile(aPath);
  } catch (const TextFileError& error) {
    throw UsageError(aPath + " " + error.what());
  }
}

void
Append(std::vector<SectionFault>& aTo, const std::vector<SectionFault>& aFrom)
{
  aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
}

// Runs a parser and appends the faults that the parser throws to the report.
template<class Parser>
auto
CollectFaults(CheckReport& aReport, Parser aParser) -> decltype(aParser())
{
  try {
    return aParser();
  } catch (const SectionError& error) {
    Append(aReport.m_faults, error.Faults());
  }
  return {};
}

SectionText
ReadYamlFile(const std::string& aDirectory, const std::string& aName)
{
  const std::filesystem::path directory(aDirectory);
  return ReadFileOrThrowUsageError((directory / (aName + ".yaml")).string());
}

CheckReport
CheckDirectory(const std::string& aDirectory)
{
  CheckReport report;
  const auto read = [&](SectionKind aKind, auto aParser) {
    const SectionText text = ReadYamlFile(aDirectory, SectionName(aKind));
    const std::size_t before = report.m_faults.size();
    auto section = CollectFaults(report, [&] { return aParser(text); });
    if (report.m_faults.size() == before) {
      CollectFaults(report, [&] { return ReadSectionVersion(aKind, text); });
    }
    return section;
  };
  const Document document{
    .m_clientAccounts = read(SectionKind::ClientAccounts, ParseClientAccounts),
    .m_keys = read(SectionKind::Keys, ParseKeys),
    .m_routes = read(SectionKind::Routes, ParseRoutes),
    .m_backendServers = read(SectionKind::BackendServers, ParseBackendServers),
  };
  const SectionText instances = ReadYamlFile(aDirectory, kInstances);
  CollectFaults(report, [&] { return ParseInstanceList(instances); });
  if (report.m_faults.empty()) {
    report.m_warnings = FindDanglingReferences(document, aDirectory);
  }
  return report;
}

// Returns whether the name is a valid value of --section.
bool
IsKnownContents(const std::string& aName)
{
  return aName == kSettings || aName == kInstances || aName == kDocument ||
         SectionKindFromName(aName);
}

// Derives the contents of a file from its name; an unknown name means a
// document.
std::string
ContentsFromName(const std::string& aPath)
{
  const std::string stem = std::filesystem::path(aPath).stem().string();
  return IsKnownContents(stem) ? stem : kDocument;
}

CheckReport
CheckText(const std::string& aContents, const SectionText& aText)
{
  CheckReport report;
  if (const auto kind = SectionKindFromName(aContents)) {
    report.m_faults = FindFaults(*kind, aText);
  } else if (aContents == kSettings) {
    CollectFaults(report, [&] { return ParseSettings(aText); });
  } else if (aContents == kInstances) {
    CollectFaults(report, [&] { return ParseInstanceList(aText); });
  } else {
    DocumentReport found = CheckDocument(aText);
    report = { .m_faults = std::move(found.m_faults),
               .m_warnings = std::move(found.m_warnings) };
  }
  return report;
}

Json::Value
FaultsToJson(const std::vector<SectionFault>& aFaults)
{
  Json::Value rows(Json::arrayValue);
  for (const SectionFault& fault : aFaults) {
    Json::Value row;
    row["file"] = fault.m_file;
    row["line"] = fault.m_line;
    row["section"] = fault.m_section;
    row["field"] = fault.m_field;
    row["message"] = fault.m_message;
    rows.append(row);
  }
  return rows;
}

void
PrintText(const CheckReport& aReport, std::ostream& aOut)
{
  for (const SectionFault& fault : aReport.m_faults) {
    aOut << fault.ToString() << "\n";
  }
  for (const SectionFault& warning : aReport.m_warnings) {
    aOut << "warning: " << warning.ToString() << "\n";
  }
  aOut << "faults: " << aReport.m_faults.size()
       << ", warnings: " << aReport.m_warnings.size() << "\n";
}

void
PrintJson(const CheckReport& aReport, std::ostream& aOut)
{
  Json::Value root;
  root["faults"] = FaultsToJson(aReport.m_faults);
  root["warnings"] = FaultsToJson(aReport.m_warnings);
  aOut << root.toStyledString();
}

} // namespace

CheckReport
CheckPath(const std::string& aPath, const std::string& aSection)
{
  if (std::filesystem::is_directory(aPath)) {
    return CheckDirectory(aPath);
  }
  const std::string contents =
    aSection.empty() ? ContentsFromName(aPath) : aSection;
  if (!IsKnownContents(contents)) {
    throw UsageError("unknown section '" + contents + "'");
  }
  return CheckText(contents, ReadFileOrThrowUsageError(aPath));
}

ExitCode
RunCheck(const std::vector<std::string>& aPaths,
         const std::string& aSection,
         bool aAsJson,
         std::ostream& aOut)
{
  if (aPaths.empty()) {
    throw UsageError("check requires a file or a directory");
  }
  CheckReport all;
  for (const std::string& path : aPaths) {
    const CheckReport report = CheckPath(path, aSection);
    Append(all.m_faults, report.m_faults);
    Append(all.m_warnings, report.m_warnings);
  }
  if (aAsJson) {
    PrintJson(all, aOut);
  } else {
    PrintText(all, aOut);
  }
  return all.m_faults.empty() ? ExitCode::Ok : ExitCode::NegativeResult;
}

} // namespace rattanweir::ctl
