// `rattanweirctl check`: the faults that an instance would find.
//
//   const CheckReport report = CheckPath("routes.yaml", "");
//   for (const SectionFault& fault : report.m_faults) ...

#pragma once

#include "programs/rattanweirctl/exit_code.h"
#include "rattanweir/version/fault/fault.h"

#include <ostream>
#include <string>
#include <vector>

namespace rattanweir::ctl {

// What was found in one or more files.
struct CheckReport
{
  std::vector<SectionFault> m_faults;
  // References between sections that lead nowhere.
  std::vector<SectionFault> m_warnings;
};

// Checks a file, or a directory with the four section files and
// the instance list. `aSection` names
// what a file holds; if empty, the file's name tells. Throws UsageError if
// the file cannot be read or the name is not known.
CheckReport
CheckPath(const std::string& aPath, const std::string& aSection);

// Checks each path, prints what was found and gives the exit code. Throws
// UsageError.
ExitCode
RunCheck(const std::vector<std::string>& aPaths,
         const std::string& aSection,
         bool aAsJson,
         std::ostream& aOut);

} // namespace rattanweir::ctl
