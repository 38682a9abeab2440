// `rattanweirctl check`: finds the faults for which an instance would reject
// configuration files.
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

// Findings in one or more files.
struct CheckReport
{
  std::vector<SectionFault> m_faults;
  // Dangling references between sections.
  std::vector<SectionFault> m_warnings;
};

// Checks a file, or a directory with the four section files and the instance
// list. `aSection` names the contents of a file; if empty, they are derived
// from the file's name. Throws UsageError if the file cannot be read or
// `aSection` is unknown.
CheckReport
CheckPath(const std::string& aPath, const std::string& aSection);

// Checks each path, prints the findings and returns NegativeResult if there are
// faults. Throws UsageError.
ExitCode
RunCheck(const std::vector<std::string>& aPaths,
         const std::string& aSection,
         bool aAsJson,
         std::ostream& aOut);

} // namespace rattanweir::ctl
