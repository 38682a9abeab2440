// The commands of rattanweirctl that send a request to an instance.
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

// Prints the instance's response. Returns NegativeResult if the response is not
// a success, if `status` reports `"ready": false` or if the result of `explain`
// is a refusal. Throws UsageError and AdminUnreachable.
ExitCode
RunAdminCommand(const CommandLine& aLine, std::ostream& aOut);

} // namespace rattanweir::ctl
