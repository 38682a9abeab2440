// The command line of rattanweirctl.
//
//   const CommandLine line = ParseCommandLine(argc, argv);
//
// Flags are parsed by gflags; `--help` describes them.

#pragma once

#include "rattanweir/base/endpoint/endpoint.h"

#include <chrono>
#include <stdexcept>
#include <string>
#include <vector>

namespace rattanweir::ctl {

// Thrown for an invalid command line; the message states the cause.
class UsageError : public std::invalid_argument
{
public:
  using std::invalid_argument::invalid_argument;
};

struct CommandLine
{
  // If set, the fields below may be unset.
  bool m_isHelpRequested = false;
  std::string m_command;
  std::vector<std::string> m_operands;
  Endpoint m_admin;
  std::chrono::nanoseconds m_timeout{};
  bool m_asJson = false;
  // The values of flags below are empty if the flag is not given.
  std::string m_section;
  std::string m_inForce;
  std::string m_route;
  std::string m_path;
  std::string m_host;
  std::string m_promptTokens;
  std::string m_promptParts;
  std::string m_method;
  std::string m_body;
  std::string m_model;
  std::string m_clientAccount;
};

// Parses the command line. Call it once per process. Throws UsageError.
CommandLine
ParseCommandLine(int aArgc, char** aArgv);

// Returns the text that `--help` prints.
std::string
HelpText();

} // namespace rattanweir::ctl
