// The command line of rattanweirctl.
//
//   const CommandLine line = ParseCommandLine(argc, argv);
//
// Flags are read by gflags; `--help` describes them.

#pragma once

#include "rattanweir/base/endpoint/endpoint.h"

#include <chrono>
#include <stdexcept>
#include <string>
#include <vector>

namespace rattanweir::ctl {

// A command line that cannot be carried out; the message says why.
class UsageError : public std::invalid_argument
{
public:
  using std::invalid_argument::invalid_argument;
};

struct CommandLine
{
  // Set if only the help was asked for.
  bool m_isHelpRequested = false;
  std::string m_command;
  std::vector<std::string> m_operands;
  Endpoint m_admin;
  std::chrono::nanoseconds m_timeout{};
  bool m_asJson = false;
  // Empty where the flag was not given.
  std::string m_section;
  std::string m_route;
  std::string m_path;
  std::string m_host;
  std::string m_promptTokens;
  std::string m_model;
  std::string m_clientAccount;
};

// Once per process. Throws UsageError.
CommandLine
ParseCommandLine(int aArgc, char** aArgv);

// What `--help` prints.
std::string
HelpText();

} // namespace rattanweir::ctl
