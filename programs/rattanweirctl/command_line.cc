#include "programs/rattanweirctl/command_line.h"

#include "rattanweir/base/units/units.h"

#include <gflags/gflags.h>

#include <string_view>

DEFINE_string(admin, "127.0.0.1:8082", "admin address of the instance");
DEFINE_string(timeout, "10s", "how long to wait for the instance");
DEFINE_bool(json, false, "print JSON instead of text");
DEFINE_string(in_force, "", "document to compare with");
DEFINE_string(section, "", "contents of the checked file");
DEFINE_string(route, "", "id of the route to explain");
DEFINE_string(path, "", "path of the request to explain");
DEFINE_string(host, "", "host of the request to explain, in a fleet");
DEFINE_string(prompt_tokens, "", "tokens of the prompt to explain, in a fleet");
DEFINE_string(prompt_parts,
              "",
              "ids of the prompt's parts, separated by commas, in a fleet");
DEFINE_string(method, "", "method of the request to explain, in a fleet");
DEFINE_string(body, "", "body of the request to explain, in a fleet");
DEFINE_string(model, "", "model of the request to explain");
DEFINE_string(client_account, "", "client account of the request to explain");
DECLARE_bool(help);

namespace rattanweir::ctl {
namespace {

constexpr const char* kHelp =
  R"(rattanweirctl queries one instance, or checks configuration before it is published.

  rattanweirctl check FILE|DIRECTORY...   faults with file, line and field
  rattanweirctl check-platform FILE       faults, entries that never match and
                                          contradictions of a platform's document
  rattanweirctl status                    versions in force, peers, requests in flight
  rattanweirctl entries                   the instances that callers may connect to
  rattanweirctl explain                   the routing decision for a request
  rattanweirctl counters                  refusals and retries by result code
  rattanweirctl drain                     stop accepting requests and shut down gracefully

Flags of every command:
  --json                  print JSON instead of text
  --help                  print this help

Flags of the commands that query an instance:
  --admin IP:PORT         admin address of the instance (127.0.0.1:8082)
  --timeout DURATION      how long to wait for the response (10s)

Flags of explain: either a route, or a path with or without a model. An instance
of a fleet requires host and path.
  --route ID
  --path PATH
  --host NAME
  --prompt_tokens N
  --prompt_parts ID,...
  --method NAME           in a fleet; GET by default
  --body TEXT
  --model NAME
  --client_account ID     not needed for a route that is open to all

Flags of check:
  --section NAME          contents of the file: client_accounts, keys, routes,
                          backend_servers, instances, settings, or document
                          for all four sections in one file. By default
                          derived from the file's name; any other name means
                          document.

Flags of check-platform:
  --in_force FILE         the version in force; prints what differs from it

A directory is checked as an instance reads its configuration directory: the
four section files, each with its version, the list of instances, and the
references between the sections.

Exit codes: 0 done, no faults; 1 faults found, or the instance's response is
negative; 2 invalid command line or unreadable file; 3 no response.
)";

bool
IsKnownFlag(const std::string& aName)
{
  constexpr std::string_view kNegation = "no";
  gflags::CommandLineFlagInfo info;
  if (gflags::GetCommandLineFlagInfo(aName.c_str(), &info)) {
    return true;
  }
  return aName.starts_with(kNegation) &&
         gflags::GetCommandLineFlagInfo(aName.substr(kNegation.size()).c_str(),
                                        &info) &&
         info.type == "bool";
}

// Throws UsageError for an unknown flag. gflags would end the process with exit
// code 1, which means NegativeResult here.
void
RejectUnknownFlags(int aArgc, char** aArgv)
{
  for (int index = 1; index < aArgc; ++index) {
    const std::string_view argument = aArgv[index];
    if (argument == "--") {
      return;
    }
    if (argument.size() < 2 || argument.front() != '-') {
      continue;
    }
    const std::size_t start = argument.starts_with("--") ? 2 : 1;
    const std::string name(argument.substr(start, argument.find('=') - start));
    if (!IsKnownFlag(name)) {
      throw UsageError("unknown flag --" + name);
    }
  }
}

} // namespace

CommandLine
ParseCommandLine(int aArgc, char** aArgv)
{
  RejectUnknownFlags(aArgc, aArgv);
  gflags::SetUsageMessage(kHelp);
  gflags::ParseCommandLineNonHelpFlags(&aArgc, &aArgv, true);
  CommandLine line{
    .m_isHelpRequested = FLAGS_help,
    .m_operands = { aArgv + 1, aArgv + aArgc },
    .m_asJson = FLAGS_json,
    .m_section = FLAGS_section,
    .m_inForce = FLAGS_in_force,
    .m_route = FLAGS_route,
    .m_path = FLAGS_path,
    .m_host = FLAGS_host,
    .m_promptTokens = FLAGS_prompt_tokens,
    .m_promptParts = FLAGS_prompt_parts,
    .m_method = FLAGS_method,
    .m_body = FLAGS_body,
    .m_model = FLAGS_model,
    .m_clientAccount = FLAGS_client_account,
  };
  if (line.m_isHelpRequested) {
    return line;
  }
  if (line.m_operands.empty()) {
    throw UsageError("missing command");
  }
  line.m_command = line.m_operands.front();
  line.m_operands.erase(line.m_operands.begin());
  try {
    line.m_admin = ParseEndpoint(FLAGS_admin);
    line.m_timeout = ParseDuration(FLAGS_timeout);
  } catch (const std::invalid_argument& error) {
    throw UsageError(error.what());
  }
  return line;
}

std::string
HelpText()
{
  return kHelp;
}

} // namespace rattanweir::ctl
