#include "programs/rattanweirctl/check_command.h"

#include "programs/rattanweirctl/command_line.h"

#include <catch2/catch.hpp>
#include <json/json.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace rattanweir::ctl {
namespace {

const std::string kExamples = RATTANWEIR_EXAMPLES;

// A new directory under the system's temporary directory, removed by the
// destructor.
class TemporaryDirectory
{
public:
  TemporaryDirectory()
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "check-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    m_path = name;
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(m_path); }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  std::string Write(const std::string& aName, const std::string& aText) const
  {
    const auto path = m_path / aName;
    std::ofstream(path) << aText;
    return path.string();
  }
  const std::filesystem::path& Path() const { return m_path; }

private:
  std::filesystem::path m_path;
};

struct CheckCase
{
  // File name, file contents and value of --section.
  const char* m_name;
  const char* m_text;
  const char* m_section;
  // First line of the output, without the leading path of a faulty file.
  const char* m_output;
};

// clang-format off
const CheckCase kCases[] = {
  { "keys.yaml", "keys: []", "", "faults: 0, warnings: 0" },
  { "keys.yaml", "keys: 1", "", ":1: keys.keys: is not a list" },
  { "k.yaml", "keys: 1", "keys", ":1: keys.keys: is not a list" },
  { "keys.yaml", "routes: 1\nx: 2", "routes", ":1: routes.routes: is not a list" },
  { "settings.yaml", "a: 1", "", ":1: settings.instance: is missing" },
  { "instances.yaml", "instances: [{id: a}]", "", ":1: instances[0].region: is missing" },
  { "all.yaml", "keys: {keys: 1}", "", ":1: keys.keys: is not a list" },
  { "all.yaml", "- 1", "", ":1: document: is not a mapping" },
};
// clang-format on

TEST_CASE("the file name or --section selects how a file is checked")
{
  const TemporaryDirectory directory;
  for (const CheckCase& c : kCases) {
    CAPTURE(c.m_name, c.m_text, c.m_section);
    const std::string path = directory.Write(c.m_name, c.m_text);
    std::ostringstream out;
    const ExitCode code = RunCheck({ path }, c.m_section, false, out);
    const std::string first = out.str().substr(0, out.str().find('\n'));
    const bool isGood = first.starts_with("faults: 0");
    CHECK(code == (isGood ? ExitCode::Ok : ExitCode::NegativeResult));
    CHECK(first == (isGood ? c.m_output : path + c.m_output));
  }
}

TEST_CASE("a directory is checked with versions and references")
{
  const std::string example = GENERATE("quickstart", "skogstund", "venture");
  const TemporaryDirectory directory;
  std::filesystem::copy(kExamples + "/" + example + "/configuration",
                        directory.Path(),
                        std::filesystem::copy_options::recursive);
  const CheckReport good = CheckPath(directory.Path(), "");
  REQUIRE(good.m_faults.empty());
  REQUIRE(good.m_warnings.empty());

  directory.Write("backend_servers.yaml", "version: 2\nbackend_servers: []");
  const CheckReport dangling = CheckPath(directory.Path(), "");
  REQUIRE(dangling.m_faults.empty());
  REQUIRE(!dangling.m_warnings.empty());

  directory.Write("keys.yaml", "keys: []");
  const CheckReport faulty = CheckPath(directory.Path(), "");
  REQUIRE(faulty.m_faults.size() == 1);
  REQUIRE(faulty.m_faults[0].m_field == "version");
  REQUIRE(faulty.m_warnings.empty());

  std::filesystem::remove(directory.Path() / "keys.yaml");
  REQUIRE_THROWS_AS(CheckPath(directory.Path(), ""), UsageError);
}

TEST_CASE("JSON output of faults has file, line, section and field")
{
  const TemporaryDirectory directory;
  const std::string path = directory.Write("keys.yaml", "keys: 1\nother: 2");
  std::ostringstream out;
  REQUIRE(RunCheck({ path }, "", true, out) == ExitCode::NegativeResult);
  Json::Value root;
  std::istringstream(out.str()) >> root;
  REQUIRE(root["faults"].size() == 2);
  REQUIRE(root["faults"][1]["file"] == path);
  REQUIRE(root["faults"][1]["line"] == 2);
  REQUIRE(root["faults"][1]["section"] == "keys");
  REQUIRE(root["faults"][1]["field"] == "other");
  REQUIRE(root["warnings"].empty());
}

TEST_CASE("a missing file or an unknown section is a usage error")
{
  std::ostringstream out;
  REQUIRE_THROWS_AS(RunCheck({}, "", false, out), UsageError);
  REQUIRE_THROWS_AS(RunCheck({ "/nowhere/keys.yaml" }, "", false, out),
                    UsageError);
  REQUIRE_THROWS_AS(RunCheck({ "/dev/null" }, "keyz", false, out), UsageError);
}

} // namespace
} // namespace rattanweir::ctl
