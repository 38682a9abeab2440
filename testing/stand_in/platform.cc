// Stand-in for the platform: serves the configuration sections and the instance
// list from a directory of YAML files.
//
//   stand_in_platform --port 0 --directory configuration
//
// The version of a section is the `version` field of its file; the revision of
// the instance list is a hash of its file. Switches: down, slow MS, stale
// VERSION (serves the newest section that was read so far and is not newer than
// VERSION, or 404 if there is none).

#include "rattanweir/base/units/units.h"
#include "testing/stand_in/stand_in.h"

#include <gflags/gflags.h>
#include <xxhash.h>

#include <chrono>
#include <fstream>
#include <limits>
#include <map>
#include <optional>
#include <sstream>
#include <sys/stat.h>
#include <thread>
#include <utility>

DEFINE_int32(port, 0, "TCP port; 0 selects a free port");
DEFINE_string(directory, ".", "directory of the YAML files");
DEFINE_string(switches, "[]", "fault switches set at startup, as JSON");

namespace rattanweir::testing {

namespace {

using namespace std::chrono_literals;

constexpr auto kPollInterval = 20ms;
constexpr std::string_view kSectionPath = "/v1/sections/";
constexpr std::string_view kInstancesPath = "/v1/instances";

Switches&
GlobalSwitches()
{
  static Switches switches;
  return switches;
}

std::string
ReadFile(const std::string& aName)
{
  std::ifstream file(FLAGS_directory + "/" + aName + ".yaml");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns the file's text if the file has been replaced since the last call.
std::optional<std::string>
ReadIfChanged(const std::string& aName)
{
  static std::map<std::string, std::pair<ino_t, std::int64_t>> seen;
  struct stat status = {};
  if (::stat((FLAGS_directory + "/" + aName + ".yaml").c_str(), &status) != 0) {
    return std::nullopt;
  }
  const std::pair<ino_t, std::int64_t> now{ status.st_ino,
                                            status.st_mtim.tv_nsec };
  if (std::exchange(seen[aName], now) == now) {
    return std::nullopt;
  }
  return ReadFile(aName);
}

// Returns the value of a query parameter, or an empty string if it is missing.
std::string
QueryParameter(const std::string& aTarget, const std::string& aName)
{
  std::istringstream query(aTarget.substr(aTarget.find('?') + 1));
  for (std::string part; std::getline(query, part, '&');) {
    if (part.starts_with(aName + "=")) {
      return part.substr(aName.size() + 1);
    }
  }
  return {};
}

std::uint64_t
ParseVersion(const std::string& aText)
{
  const std::string field = "version:";
  const std::size_t at = aText.find(field);
  return at == std::string::npos ? 0
                                 : std::stoull(aText.substr(at + field.size()));
}

// Text of a section or of the instance list, and its version or revision.
struct Published
{
  std::uint64_t m_number = 0;
  std::string m_text;
};

// Stores every version of each section that has been read. Thread-safe.
class Sections
{
public:
  Published Newest(const std::string& aName)
  {
    const auto limit = GlobalSwitches().Consume("stale").value_or(
      std::numeric_limits<std::int64_t>::max());
    const std::lock_guard lock(m_mutex);
    auto& versions = m_versions[aName];
    if (const auto text = ReadIfChanged(aName); text && !text->empty()) {
      versions[ParseVersion(*text)] = *text;
    }
    const auto above = versions.upper_bound(static_cast<std::uint64_t>(limit));
    if (above == versions.begin()) {
      return {};
    }
    const auto found = std::prev(above);
    return { .m_number = found->first, .m_text = found->second };
  }

private:
  std::mutex m_mutex;
  std::map<std::string, std::map<std::uint64_t, std::string>> m_versions;
};

Published
Instances()
{
  const std::string text = ReadFile("instances");
  return { .m_number = XXH64(text.data(), text.size(), 0), .m_text = text };
}

// Polls `aRead` until `aIsChanged` accepts its result or the duration in the
// query parameter `wait` has elapsed. Returns the last result.
template<class Read, class IsChanged>
Published
PollUntil(const std::string& aTarget, Read aRead, IsChanged aIsChanged)
{
  const std::string wait = QueryParameter(aTarget, "wait");
  const auto end = std::chrono::steady_clock::now() +
                   (wait.empty() ? 0ns : ParseDuration(wait));
  Published published = aRead();
  while (!aIsChanged(published) && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
    published = aRead();
  }
  return published;
}

void
ServePublished(HttpResponder& aResponder,
               const Published& aPublished,
               bool aIsNew,
               const std::string& aNumberHeader)
{
  if (GlobalSwitches().Consume("down")) {
    aResponder.AbortConnection();
    return;
  }
  if (aPublished.m_text.empty()) {
    aResponder.Respond(404, {}, "");
    return;
  }
  const HttpFields head = {
    { .m_name = aNumberHeader, .m_value = std::to_string(aPublished.m_number) }
  };
  if (aIsNew) {
    aResponder.Respond(200, head, aPublished.m_text);
    return;
  }
  aResponder.WriteRaw("HTTP/1.1 304 Not Modified\r\n\r\n");
}

void
HandleRequest(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  static Sections sections;
  if (GlobalSwitches().Consume("down")) {
    aResponder.AbortConnection();
    return;
  }
  if (const auto wait = GlobalSwitches().Consume("slow")) {
    aResponder.WaitForPeerClose(std::chrono::milliseconds(*wait));
  }
  const std::string path =
    aRequest.m_target.substr(0, aRequest.m_target.find('?'));
  if (path == kInstancesPath) {
    const std::string from = QueryParameter(aRequest.m_target, "changed_from");
    const auto isNew = [&](const Published& aPublished) {
      return std::to_string(aPublished.m_number) != from;
    };
    const Published list = PollUntil(aRequest.m_target, Instances, isNew);
    ServePublished(aResponder, list, isNew(list), "list-revision");
    return;
  }
  if (!path.starts_with(kSectionPath)) {
    aResponder.Respond(404, {}, "");
    return;
  }
  const std::string name = path.substr(kSectionPath.size());
  const std::string newerThan = QueryParameter(aRequest.m_target, "newer_than");
  const auto isNew = [&](const Published& aPublished) {
    return newerThan.empty() || aPublished.m_number > std::stoull(newerThan);
  };
  const Published section = PollUntil(
    aRequest.m_target, [&] { return sections.Newest(name); }, isNew);
  ServePublished(aResponder, section, isNew(section), "section-version");
}

} // namespace

} // namespace rattanweir::testing

int
main(int argc, char** argv)
{
  using namespace rattanweir::testing;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  GlobalSwitches().Set(FLAGS_switches);
  RunStandIn(
    static_cast<std::uint16_t>(FLAGS_port), GlobalSwitches(), HandleRequest);
}
