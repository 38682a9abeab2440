// `rattanweirctl check-platform`: checks the configuration document of the
// users' platform before it is sent, and compares it with the version in force.

#pragma once

#include "programs/rattanweirctl/exit_code.h"

#include <ostream>
#include <string>

namespace rattanweir::ctl {

struct CheckPlatformOptions
{
  std::string m_path;
  // The version in force; empty for no comparison.
  std::string m_inForcePath{};
  bool m_asJson = false;
};

// Prints findings and differences. Returns NegativeResult if there are
// findings. Throws UsageError if a file cannot be read, or if the version in
// force cannot be decoded.
ExitCode
RunCheckPlatform(const CheckPlatformOptions& aOptions, std::ostream& aOut);

} // namespace rattanweir::ctl
