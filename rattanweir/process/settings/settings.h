// The settings of one process: who it is, where it listens, what it bounds.
//
//   const Settings settings = LoadSettings("/etc/rattanweir/settings.yaml");
//
// Settings are read once when the process starts. LoadSettings throws
// SettingsError with every fault, each with file, line and field.

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

// Configuration and instance list are files of one directory.
struct DirectoryPlatform
{
  // A relative one in the file counts from the file's own folder.
  std::string m_directory;
};

// Configuration service and instance list are read over HTTP.
struct ServicePlatform
{
  Endpoint m_configurationService;
  Endpoint m_instanceList;
};

using PlatformSource = std::variant<DirectoryPlatform, ServicePlatform>;

// Settings of an instance whose fleet finds itself by gossip and reads all else
// from a store that can only be read.
struct FleetSettings
{
  Endpoint m_store;
  // Where callers ask which instances to use, and where readiness is asked.
  Endpoint m_directoryAddress;
  Endpoint m_readinessAddress;
  // Peer addresses of some instances, which may be gone.
  std::vector<Endpoint> m_seeds;
  std::map<AvailabilityZoneId, RegionId> m_regionOfZone;
  // How much traffic this instance can carry, relative to others.
  double m_capacity = 1;
  // In any window a pool gets at most the ratio times its requests, and the
  // extra ones, as retries of the whole fleet.
  double m_retryRatio = 0.1;
  double m_retryExtra = 20;
  std::chrono::nanoseconds m_retryWindow{ std::chrono::seconds(10) };
  // Tokens that the fleet may admit beyond a client account's rate and burst.
  Tokens m_rateTolerance;
};

// Bounds on what a caller may use up.
struct CallerLimits
{
  ByteCount m_headerBytes{ 16ULL * 1024 };
  ByteCount m_bodyBytes{ 8ULL * 1024 * 1024 };
  std::uint32_t m_connections = 4096;
  std::uint32_t m_requests = 2048;
  // A connection without a request.
  std::chrono::nanoseconds m_idleTimeout{ std::chrono::seconds(60) };
  // From the first byte of a request to its last.
  std::chrono::nanoseconds m_readTimeout{ std::chrono::seconds(20) };
  // A caller that takes no byte of its answer.
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
  // Without a fleet: where configuration and instance list come from.
  PlatformSource m_platform;
  std::optional<FleetSettings> m_fleet;
  CallerLimits m_callerLimits;
  LogSettings m_log;
  std::chrono::nanoseconds m_heartbeatInterval{ std::chrono::seconds(1) };
  std::chrono::nanoseconds m_shutdownTimeout{ std::chrono::seconds(60) };
};

// Faulty settings, with all their faults.
class SettingsError : public SectionError
{
public:
  using SectionError::SectionError;
};

// Reads and checks a settings file. Throws SettingsError.
Settings
LoadSettings(const std::string& aPath);

// As LoadSettings, from a text that is named by its path.
Settings
ParseSettings(const SectionText& aText);

} // namespace rattanweir
