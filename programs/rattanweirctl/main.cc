// rattanweirctl, the command-line tool for operators. `--help` and
// docs/CONFIGURATION.md describe the commands.

#include "programs/rattanweirctl/admin_client.h"
#include "programs/rattanweirctl/admin_commands.h"
#include "programs/rattanweirctl/check_command.h"
#include "programs/rattanweirctl/check_platform_command.h"
#include "programs/rattanweirctl/command_line.h"

#include <exception>
#include <iostream>

namespace rattanweir::ctl {
namespace {

ExitCode
Run(int aArgc, char** aArgv)
{
  const CommandLine line = ParseCommandLine(aArgc, aArgv);
  if (line.m_isHelpRequested) {
    std::cout << HelpText();
    return ExitCode::Ok;
  }
  if (line.m_command == "check") {
    return RunCheck(line.m_operands, line.m_section, line.m_asJson, std::cout);
  }
  if (line.m_command == "check-platform") {
    if (line.m_operands.size() != 1) {
      throw UsageError("check-platform requires one file");
    }
    return RunCheckPlatform({ .m_path = line.m_operands.front(),
                              .m_inForcePath = line.m_inForce,
                              .m_asJson = line.m_asJson },
                            std::cout);
  }
  return RunAdminCommand(line, std::cout);
}

ExitCode
RunAndReportErrors(int aArgc, char** aArgv)
{
  try {
    return Run(aArgc, aArgv);
  } catch (const UsageError& error) {
    std::cerr << "rattanweirctl: " << error.what()
              << "; see rattanweirctl --help\n";
    return ExitCode::Usage;
  } catch (const std::exception& error) {
    std::cerr << "rattanweirctl: " << error.what() << "\n";
    return ExitCode::Unreachable;
  }
}

} // namespace
} // namespace rattanweir::ctl

int
main(int aArgc, char** aArgv)
{
  return static_cast<int>(rattanweir::ctl::RunAndReportErrors(aArgc, aArgv));
}
