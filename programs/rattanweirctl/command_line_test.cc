#include "programs/rattanweirctl/command_line.h"

#include <catch2/catch.hpp>
#include <gflags/gflags.h>

#include <string>
#include <vector>

namespace rattanweir::ctl {
namespace {

CommandLine
Parse(std::vector<std::string> aArguments)
{
  const gflags::FlagSaver flags;
  aArguments.insert(aArguments.begin(), "rattanweirctl");
  std::vector<char*> pointers;
  pointers.reserve(aArguments.size() + 1);
  for (std::string& argument : aArguments) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);
  return ParseCommandLine(static_cast<int>(aArguments.size()), pointers.data());
}

TEST_CASE("flags may precede, separate and follow operands")
{
  const CommandLine line = Parse({ "--json",
                                   "explain",
                                   "--client-account=a",
                                   "x",
                                   "--timeout",
                                   "250ms",
                                   "--admin",
                                   "10.0.0.1:9" });
  REQUIRE(line.m_command == "explain");
  REQUIRE(line.m_operands == std::vector<std::string>{ "x" });
  REQUIRE(line.m_asJson);
  REQUIRE(line.m_clientAccount == "a");
  REQUIRE(line.m_timeout == std::chrono::milliseconds(250));
  REQUIRE(line.m_admin.ToString() == "10.0.0.1:9");
  REQUIRE(!Parse({ "status", "--nojson" }).m_asJson);
  REQUIRE(Parse({ "--help" }).m_isHelpRequested);
}

TEST_CASE("an invalid command line is a usage error")
{
  const std::vector<std::string> arguments =
    GENERATE(values<std::vector<std::string>>({ {},
                                                { "--json" },
                                                { "status", "--bogus" },
                                                { "status", "-b=1" },
                                                { "status", "--noadmin" },
                                                { "status", "--admin=here" },
                                                { "status", "--timeout=5" } }));
  CAPTURE(arguments);
  REQUIRE_THROWS_AS(Parse(arguments), UsageError);
}

} // namespace
} // namespace rattanweir::ctl
