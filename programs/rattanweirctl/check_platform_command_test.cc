#include "programs/rattanweirctl/check_platform_command.h"

#include "programs/rattanweirctl/command_line.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace rattanweir::ctl {
namespace {

// A document with one route and one account; `aHomes` are the account's.
std::string
Document(int aVersion, const std::string& aHomes)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"r-1","host":"a.example","prefix":"/r/",)"
         R"("kind":"idempotent","timeoutMs":4000,"service":"s-1",)"
         R"("homeRegions":["north"]}],)"
         R"("services":[{"name":"s-1"}],)"
         R"("tenants":[{"name":"anna","apiKeys":["secret-key"],)"
         R"("homeRegions":)" +
         aHomes + "}]}";
}

class Files
{
public:
  Files() { std::filesystem::create_directories(m_folder); }
  ~Files() { std::filesystem::remove_all(m_folder); }
  Files(const Files&) = delete;
  Files& operator=(const Files&) = delete;

  std::string Write(const char* aName, const std::string& aText) const
  {
    const std::filesystem::path path = m_folder / aName;
    std::ofstream(path) << aText;
    return path.string();
  }

private:
  std::filesystem::path m_folder =
    std::filesystem::temp_directory_path() /
    ("check_platform_" + std::to_string(::getpid()));
};

// Guards against a document that instances reject, or that refuses an account's
// requests, only after it has been sent.
TEST_CASE("check-platform reports findings and differences without keys")
{
  const Files files;
  const std::string inForce =
    files.Write("in_force.json", Document(7, R"(["north"])"));
  const std::string next =
    files.Write("next.json", Document(8, R"(["south"])"));
  std::ostringstream out;
  CHECK(RunCheckPlatform({ .m_path = next, .m_inForcePath = inForce }, out) ==
        ExitCode::NegativeResult);
  CHECK(out.str() ==
        "never matches: account anna: it has no home region in common with "
        "route r-1: its requests there are refused\n"
        "differs: account anna: home_regions north -> south\n"
        "findings: 1, differences: 1\n");
  std::ostringstream json;
  RunCheckPlatform({ .m_path = next, .m_asJson = true }, json);
  CHECK(json.str().find("\"entry\" : \"account anna\"") != std::string::npos);
  CHECK(json.str().find("secret-key") == std::string::npos);
}

TEST_CASE(
  "check-platform reports what cannot be decoded, and files that cannot "
  "be read")
{
  const Files files;
  std::ostringstream out;
  for (const char* text : { "{", "[]", R"({"routes":[]})" }) {
    INFO(text);
    CHECK(RunCheckPlatform({ .m_path = files.Write("bad.json", text) }, out) ==
          ExitCode::NegativeResult);
  }
  CHECK(
    RunCheckPlatform({ .m_path = files.Write("good.json", Document(1, "[]")) },
                     out) == ExitCode::Ok);
  CHECK_THROWS_AS(RunCheckPlatform({ .m_path = "/nonexistent" }, out),
                  UsageError);
}

} // namespace
} // namespace rattanweir::ctl
