#include "programs/rattanweirctl/check_platform_command.h"

#include "platform/records/records.h"
#include "programs/rattanweirctl/command_line.h"
#include "rattanweir/version/fleet_config_check/config_differences.h"
#include "rattanweir/version/fleet_config_check/config_findings.h"
#include "rattanweir/version/text_file/text_file.h"

#include <json/json.h>

namespace rattanweir::ctl {
namespace {

struct PlatformReport
{
  std::vector<ConfigFinding> m_findings;
  std::vector<std::string> m_differences;
};

std::string
ReadText(const std::string& aPath)
{
  try {
    return ReadTextFile(aPath).m_text;
  } catch (const TextFileError& error) {
    throw UsageError(aPath + " " + error.what());
  }
}

FleetConfigData
DecodeInForce(const std::string& aPath)
{
  try {
    return platform::DecodeConfig(ReadText(aPath));
  } catch (const platform::RecordError& error) {
    throw UsageError(aPath + ": " + error.what());
  }
}

PlatformReport
CheckDocument(const CheckPlatformOptions& aOptions)
{
  const std::string text = ReadText(aOptions.m_path);
  PlatformReport report;
  try {
    const FleetConfigData data = platform::DecodeConfig(text);
    report.m_findings = FindConfigFindings(data);
    if (!aOptions.m_inForcePath.empty()) {
      report.m_differences =
        FindConfigDifferences(DecodeInForce(aOptions.m_inForcePath), data);
    }
  } catch (const platform::RecordError& error) {
    report.m_findings.push_back(
      { FindingKind::Error, "configuration", error.what() });
  }
  return report;
}

void
PrintText(const PlatformReport& aReport, std::ostream& aOut)
{
  for (const ConfigFinding& finding : aReport.m_findings) {
    aOut << TextOf(finding.m_kind) << ": " << finding.m_entry << ": "
         << finding.m_message << "\n";
  }
  for (const std::string& difference : aReport.m_differences) {
    aOut << "differs: " << difference << "\n";
  }
  aOut << "findings: " << aReport.m_findings.size()
       << ", differences: " << aReport.m_differences.size() << "\n";
}

void
PrintJson(const PlatformReport& aReport, std::ostream& aOut)
{
  Json::Value root;
  root["findings"] = Json::Value(Json::arrayValue);
  for (const ConfigFinding& finding : aReport.m_findings) {
    Json::Value row;
    row["kind"] = TextOf(finding.m_kind);
    row["entry"] = finding.m_entry;
    row["message"] = finding.m_message;
    root["findings"].append(std::move(row));
  }
  root["differences"] = Json::Value(Json::arrayValue);
  for (const std::string& difference : aReport.m_differences) {
    root["differences"].append(difference);
  }
  aOut << root.toStyledString();
}

} // namespace

ExitCode
RunCheckPlatform(const CheckPlatformOptions& aOptions, std::ostream& aOut)
{
  const PlatformReport report = CheckDocument(aOptions);
  if (aOptions.m_asJson) {
    PrintJson(report, aOut);
  } else {
    PrintText(report, aOut);
  }
  return report.m_findings.empty() ? ExitCode::Ok : ExitCode::NegativeResult;
}

} // namespace rattanweir::ctl
