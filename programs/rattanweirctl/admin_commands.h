// The commands of rattanweirctl that ask an instance.
//
//   if (IsAdminCommand(line.m_command)) {
//     return RunAdminCommand(line, std::cout);
//   }

#pragma once

#include "programs/rattanweirctl/command_line.h"
#include "programs/rattanweirctl/exit_code.h"

#include <ostream>
#include <string>

namespace rattanweir::ctl {

bool
IsAdminCommand(const std::string& aCommand);

// Prints the instance's answer. IsNegativeResponse if the instance refused, if
// `status` says `"ready": false` or the result of `explain` is a refusal.
// Throws UsageError and AdminUnreachable.
ExitCode
RunAdminCommand(const CommandLine& aLine, std::ostream& aOut);

} // namespace rattanweir::ctl
