// The settings of one process: its identity, its addresses and its limits. Used
// by both paths; the users' platform is selected by the setting `fleet`.
//
//   const Settings settings = LoadSettings("/etc/rattanweir/settings.yaml");
//
// A process reads its settings once at startup.

#pragma once

#include "rattanweir/base/endpoint/endpoint.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/version/section/section.h"

#include <chrono>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace rattanweir {

// Configuration and instance list are read from files in one directory.
struct DirectoryPlatform
{
  // A relative path in the settings file is resolved against the directory of
  // that file.
  std::string m_directory;
};

// Configuration and instance list are read over HTTP.
struct ServicePlatform
{
  Endpoint m_configurationService;
  Endpoint m_instanceList;
};

using PlatformSource = std::variant<DirectoryPlatform, ServicePlatform>;

// Settings of an instance on the users' platform: instances discover each other
// by gossip and read everything else from a read-only store.
struct FleetSettings
{
  Endpoint m_store;
  // Listening addresses of the directory, which returns the instances that
  // callers may use, and of the readiness endpoint.
  Endpoint m_directoryAddress;
  Endpoint m_readinessAddress;
  // Peer addresses of some instances, which may no longer exist.
  std::vector<Endpoint> m_seeds;
  std::map<AvailabilityZoneId, RegionId> m_regionOfZone;
  // Traffic capacity of this instance relative to the other instances.
  double m_capacity = 1;
  // Retry budget of each pool over the entire fleet: within any m_retryWindow,
  // at most m_retryRatio times the pool's requests plus m_retryExtra retries.
  double m_retryRatio = 0.1;
  double m_retryExtra = 20;
  std::chrono::nanoseconds m_retryWindow{ std::chrono::seconds(10) };
  // Tokens that the fleet may admit in excess of a client account's rate and
  // burst.
  Tokens m_rateTolerance;
  // Time after its acknowledgement by the store in which a change has to be in
  // force at this instance.
  std::chrono::milliseconds m_changeDeadline{ 5'000 };
};

// Limits on the resources that callers may use.
struct CallerLimits
{
  ByteCount m_headerBytes{ 16ULL * 1024 };
  ByteCount m_bodyBytes{ 8ULL * 1024 * 1024 };
  // Concurrent connections and requests per listening address.
  std::uint32_t m_connections = 4096;
  std::uint32_t m_requests = 2048;
  // For a connection without a request.
  std::chrono::nanoseconds m_idleTimeout{ std::chrono::seconds(60) };
  // From the first byte of a request to its last.
  std::chrono::nanoseconds m_readTimeout{ std::chrono::seconds(20) };
  // For a caller that does not read any byte of its response.
  std::chrono::nanoseconds m_writeTimeout{ std::chrono::seconds(30) };
};

enum class LogFormat
{
  KeyValue,
  Json,
};

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

struct LogSettings
{
  LogLevel m_level = LogLevel::Info;
  LogFormat m_format = LogFormat::KeyValue;
};

struct Settings
{
  InstanceId m_instance;
  RegionId m_region;
  AvailabilityZoneId m_zone;
  Endpoint m_callerAddress;
  Endpoint m_peerAddress;
  Endpoint m_adminAddress;
  // Source of the configuration and the instance list; unused if m_fleet is
  // set.
  PlatformSource m_platform;
  // Set on the users' platform.
  std::optional<FleetSettings> m_fleet;
  CallerLimits m_callerLimits;
  LogSettings m_log;
  std::chrono::nanoseconds m_heartbeatInterval{ std::chrono::seconds(1) };
  std::chrono::nanoseconds m_shutdownTimeout{ std::chrono::seconds(60) };
};

// Holds all faults of a settings file, each with file, line and field.
class SettingsError : public SectionError
{
public:
  using SectionError::SectionError;
};

// Reads and validates a settings file. Throws SettingsError with all faults, or
// if the file cannot be read.
Settings
LoadSettings(const std::string& aPath);

// Parses and validates the text of a settings file. Throws SettingsError with
// all faults. `aText.m_file` is the path in fault messages, and relative
// directories are resolved against its directory.
Settings
ParseSettings(const SectionText& aText);

} // namespace rattanweir
