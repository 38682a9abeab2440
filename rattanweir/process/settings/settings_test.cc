#include "rattanweir/process/settings/settings.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

constexpr const char* kFullSettings = R"(instance: ostland-1
region: ostland
availability_zone: ostland-a
addresses: { caller: "127.0.0.1:8080", peer: "127.0.0.1:8081", admin: "127.0.0.1:0" }
platform: { directory: ../configuration }
limits: { header_bytes: 4KiB, body_bytes: 1MiB, connections: 7, requests: 6, idle_timeout: 5s, read_timeout: 4s, write_timeout: 3s }
log: { level: debug, format: json }
heartbeat_interval: 250ms
shutdown_timeout: 9s
)";

Settings
Parse(const std::string& aText)
{
  return ParseSettings({ .m_file = "/etc/s.yaml", .m_text = aText });
}

std::string
ReplaceText(std::string aText, const std::string& aOld, const std::string& aNew)
{
  const std::size_t position = aText.find(aOld);
  REQUIRE(position != std::string::npos);
  return aText.replace(position, aOld.size(), aNew);
}

TEST_CASE("all fields of the settings are read")
{
  const Settings settings = Parse(kFullSettings);
  REQUIRE(settings.m_instance == InstanceId("ostland-1"));
  REQUIRE(settings.m_region == RegionId("ostland"));
  REQUIRE(settings.m_zone == AvailabilityZoneId("ostland-a"));
  REQUIRE(settings.m_callerAddress.ToString() == "127.0.0.1:8080");
  REQUIRE(settings.m_peerAddress.ToString() == "127.0.0.1:8081");
  REQUIRE(settings.m_adminAddress.ToString() == "127.0.0.1:0");
  REQUIRE(std::get<DirectoryPlatform>(settings.m_platform).m_directory ==
          "/configuration");
  const CallerLimits& limits = settings.m_callerLimits;
  REQUIRE(limits.m_headerBytes == ByteCount(4096));
  REQUIRE(limits.m_bodyBytes == ByteCount(1ULL << 20U));
  REQUIRE(limits.m_connections == 7);
  REQUIRE(limits.m_requests == 6);
  REQUIRE(limits.m_idleTimeout == 5s);
  REQUIRE(limits.m_readTimeout == 4s);
  REQUIRE(limits.m_writeTimeout == 3s);
  REQUIRE(settings.m_log.m_level == LogLevel::Debug);
  REQUIRE(settings.m_log.m_format == LogFormat::Json);
  REQUIRE(settings.m_heartbeatInterval == 250ms);
  REQUIRE(settings.m_shutdownTimeout == 9s);
}

TEST_CASE("optional fields have defaults")
{
  const std::string text = kFullSettings;
  const Settings settings = Parse(text.substr(0, text.find("limits:")));
  REQUIRE(settings.m_callerLimits.m_connections ==
          CallerLimits().m_connections);
  REQUIRE(settings.m_log.m_level == LogLevel::Info);
  REQUIRE(settings.m_log.m_format == LogFormat::KeyValue);
  REQUIRE(settings.m_heartbeatInterval == 1s);
  REQUIRE(settings.m_shutdownTimeout == 60s);
  const Settings partial =
    Parse(ReplaceText(text, "connections: 7, ", "") + "# end");
  REQUIRE(partial.m_callerLimits.m_connections == 4096);
  REQUIRE(partial.m_callerLimits.m_requests == 6);
}

TEST_CASE("the platform may consist of two services")
{
  const Settings settings = Parse(ReplaceText(
    kFullSettings,
    "directory: ../configuration",
    "configuration_service: 10.0.0.1:70, instance_list: 10.0.0.2:71"));
  const auto& platform = std::get<ServicePlatform>(settings.m_platform);
  REQUIRE(platform.m_configurationService.ToString() == "10.0.0.1:70");
  REQUIRE(platform.m_instanceList.ToString() == "10.0.0.2:71");
}

struct FaultCase
{
  const char* m_old;
  const char* m_new;
  const char* m_location;
  const char* m_message;
};

// clang-format off
const FaultCase kFaultCases[] = {
  { "instance: ostland-1\n", "", "1: settings.instance", "missing" },
  { "instance: ostland-1", "instance: [a]", "1: settings.instance", "not a single value" },
  { "instance: ostland-1", "instance: a,b", "1: settings.instance", "not an id" },
  { "region: ostland", "regoin: ostland", "2: settings.regoin", "not a known field" },
  { "region: ostland", "regoin: ostland", "1: settings.region", "missing" },
  { "region: ostland", "region: ostland\nregion: vestland", "3: settings.region", "twice" },
  { "127.0.0.1:8080", "localhost:8080", "4: settings.addresses.caller", "is not an IPv4 address and port" },
  { "127.0.0.1:8081", "127.0.0.1:8080", "4: settings.addresses.peer", "is already used (line 4)" },
  { "127.0.0.1:8081", "127.0.0.1:80810", "4: settings.addresses.peer", "is not an IPv4 address and port" },
  { ", admin: \"127.0.0.1:0\"", "", "4: settings.addresses.admin", "missing" },
  { "admin:", "other: 1, admin:", "4: settings.addresses.other", "not a known field" },
  { "directory: ../configuration", "", "5: settings.platform", "needs either" },
  { "{ directory: ../configuration }", "here", "5: settings.platform", "not a mapping" },
  { "directory: ../configuration", "directory: ''", "5: settings.platform.directory", "empty" },
  { "directory: ../configuration", "directory: a, instance_list: 10.0.0.1:70", "5: settings.platform.instance_list", "not a known field" },
  { "directory: ../configuration", "instance_list: 10.0.0.1:70", "5: settings.platform.configuration_service", "missing" },
  { "directory: ../configuration", "instance_list: 10.0.0.1:0, configuration_service: 10.0.0.1:1", "5: settings.platform.instance_list", "port must not be 0" },
  { "header_bytes: 4KiB", "header_bytes: 4", "6: settings.limits.header_bytes", "not a size" },
  { "header_bytes: 4KiB", "header_bytes: 4s", "6: settings.limits.header_bytes", "not a size" },
  { "header_bytes: 4KiB", "header_bytes: 4GiB", "6: settings.limits.header_bytes", "1024B to 1048576B" },
  { "connections: 7", "connections: 0", "6: settings.limits.connections", "within" },
  { "requests: 6", "requests: 6.5", "6: settings.limits.requests", "whole number" },
  { "idle_timeout: 5s", "idle_timeout: 5", "6: settings.limits.idle_timeout", "not a duration" },
  { "idle_timeout: 5s", "idle_timeout: 2h", "6: settings.limits.idle_timeout", "10ms to 1h" },
  { "level: debug", "level: loud", "7: settings.log.level", "debug, info, warning, error" },
  { "format: json", "format: xml", "7: settings.log.format", "key_value, json" },
  { "heartbeat_interval: 250ms", "heartbeat_interval: 1ms", "8: settings.heartbeat_interval", "50ms to 30s" },
  { "shutdown_timeout: 9s", "shutdown_timeout: -9s", "9: settings.shutdown_timeout", "not a duration" },
  { "shutdown_timeout: 9s", "shutdown_timeout: 9s\n\tx: 1", "10: settings", "not YAML" },
};
// clang-format on

// The YAML parser reports empty documents without end after this text, so that
// loading never returned. Found by testing/parser_fuzz.
TEST_CASE("settings are rejected if the YAML parser reports no end")
{
  REQUIRE_THROWS_AS(Parse(",:\n    - a"), SettingsError);
}

TEST_CASE("invalid settings are rejected with file, line and field")
{
  for (const FaultCase& faultCase : kFaultCases) {
    std::vector<std::string> faults;
    try {
      Parse(ReplaceText(kFullSettings, faultCase.m_old, faultCase.m_new));
    } catch (const SettingsError& error) {
      for (const SectionFault& fault : error.Faults()) {
        faults.push_back(fault.ToString());
      }
    }
    CAPTURE(faults, faultCase.m_new, faultCase.m_location, faultCase.m_message);
    const std::string location =
      std::string("/etc/s.yaml:") + faultCase.m_location + ": ";
    const auto isExpected = [&](const std::string& aFault) {
      return aFault.starts_with(location) &&
             aFault.find(faultCase.m_message) != std::string::npos;
    };
    CHECK(std::count_if(faults.begin(), faults.end(), isExpected) == 1);
  }
}

TEST_CASE("the example settings refer to an existing configuration directory")
{
  const std::string example = GENERATE("quickstart", "skogstund", "venture");
  const std::string folder = std::string(RATTANWEIR_EXAMPLES "/") + example;
  const Settings settings = LoadSettings(folder + "/settings.yaml");
  const auto& platform = std::get<DirectoryPlatform>(settings.m_platform);
  REQUIRE(platform.m_directory == folder + "/configuration");
  REQUIRE(std::filesystem::exists(platform.m_directory + "/instances.yaml"));
}

constexpr const char* kFleetSettings = R"(instance: north-1
region: north
availability_zone: north-a
addresses: { caller: "10.0.0.1:1", peer: "10.0.0.1:2", admin: "10.0.0.1:3" }
shutdown_timeout_seconds: 7.5
fleet:
  store: "10.9.0.1:8"
  directory_address: "10.0.0.1:4"
  readiness_address: "10.0.0.1:5"
  seeds: ["10.0.0.1:2", "10.0.0.2:2"]
  availability_zones:
    - { id: north-a, region: north }
    - { id: south-a, region: south }
  capacity: 0.25
  retry_ratio: 0.2
  retry_extra: 56
  retry_window_seconds: 10
  rate_tolerance_tokens: 190000
  change_deadline_milliseconds: 3000
)";

TEST_CASE("fleet settings are read")
{
  const Settings settings = Parse(kFleetSettings);
  REQUIRE(settings.m_fleet);
  const FleetSettings& fleet = *settings.m_fleet;
  CHECK(fleet.m_store.ToString() == "10.9.0.1:8");
  CHECK(fleet.m_seeds.size() == 2);
  CHECK(fleet.m_regionOfZone.at(AvailabilityZoneId("south-a")) ==
        RegionId("south"));
  CHECK(fleet.m_retryExtra == 56);
  CHECK(fleet.m_retryWindow == std::chrono::seconds(10));
  CHECK(fleet.m_rateTolerance == Tokens(190'000));
  CHECK(fleet.m_changeDeadline == std::chrono::seconds(3));
  CHECK(settings.m_shutdownTimeout == std::chrono::milliseconds(7'500));
}

TEST_CASE("invalid fleet settings are rejected with their field")
{
  struct Row
  {
    const char* m_old;
    const char* m_new;
    const char* m_field;
  };
  const Row rows[] = {
    { "\"10.0.0.2:2\"]", "\"nowhere\"]", "fleet.seeds" },
    { "retry_ratio: 0.2", "retry_ratio: many", "fleet.retry_ratio" },
    { "store: \"10.9.0.1:8\"", "store: \"10.9.0.1:0\"", "fleet.store" },
    { "capacity: 0.25", "speed: 0.25", "fleet.speed" },
    { "change_deadline_milliseconds: 3000",
      "change_deadline_milliseconds: soon",
      "fleet.change_deadline_milliseconds" },
  };
  for (const Row& row : rows) {
    INFO(row.m_new);
    std::string found;
    try {
      Parse(ReplaceText(kFleetSettings, row.m_old, row.m_new));
    } catch (const SettingsError& error) {
      found = error.Faults().at(0).m_field;
    }
    CHECK("fleet." + found.substr(found.rfind('.') + 1) == row.m_field);
  }
}

TEST_CASE("an unreadable settings file is reported with its path")
{
  const char* path = GENERATE("/nowhere/settings.yaml", "/tmp");
  try {
    LoadSettings(path);
    FAIL("LoadSettings did not throw");
  } catch (const SettingsError& error) {
    REQUIRE(error.Faults().at(0).m_file == path);
  }
}

} // namespace
} // namespace rattanweir
