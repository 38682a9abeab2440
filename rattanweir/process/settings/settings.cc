#include "rattanweir/process/settings/settings.h"

#include "rattanweir/version/text_file/text_file.h"
#include "rattanweir/version/yaml/load.h"
#include "rattanweir/version/yaml/reader.h"
#include "rattanweir/version/yaml/unique_values.h"

#include <filesystem>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr Range<ByteCount> kHeaderBytesRange{ ByteCount(1024),
                                              ByteCount(1ULL << 20U) };
constexpr Range<ByteCount> kBodyBytesRange{ ByteCount(1024),
                                            ByteCount(1ULL << 30U) };
constexpr Range<std::int64_t> kConnectionsRange{ 1, 1'000'000 };
constexpr Range<std::int64_t> kRequestsRange{ 1, 1'000'000 };
constexpr Range<nanoseconds> kTimeoutRange{ 10ms, 1h };
constexpr Range<nanoseconds> kHeartbeatIntervalRange{ 50ms, 30s };
constexpr Range<nanoseconds> kShutdownTimeoutRange{ 100ms, 1h };
constexpr Range<double> kSecondsRange{ 0.001, 3'600 };
constexpr Range<double> kChangeDeadlineRange{ 100, 600'000 };
constexpr Range<double> kCapacityRange{ 0.001, 1'000 };
constexpr Range<double> kRatioRange{ 0, 100 };
constexpr Range<double> kAmountRange{ 0, 1e12 };

// Adds a fault if another listener already has this address. Port 0 selects any
// free port, so that addresses with port 0 never conflict.
void
CheckAddressUnique(MappingReader& aAddresses,
                   UniqueValues& aUniqueAddresses,
                   std::string_view aField,
                   const Endpoint& aEndpoint)
{
  if (aEndpoint.m_port != 0) {
    aUniqueAddresses.Check(aAddresses, aField, aEndpoint.ToString(), "address");
  }
}

void
ReadAddresses(MappingReader& aRoot, Settings& aSettings)
{
  MappingReader addresses = aRoot.ReadMapping("addresses");
  aSettings.m_callerAddress = addresses.ReadEndpoint("caller");
  aSettings.m_peerAddress = addresses.ReadEndpoint("peer");
  aSettings.m_adminAddress = addresses.ReadEndpoint("admin");
  addresses.RejectUnknownFields();
  UniqueValues uniqueAddresses;
  CheckAddressUnique(
    addresses, uniqueAddresses, "caller", aSettings.m_callerAddress);
  CheckAddressUnique(
    addresses, uniqueAddresses, "peer", aSettings.m_peerAddress);
  CheckAddressUnique(
    addresses, uniqueAddresses, "admin", aSettings.m_adminAddress);
}

// Resolves a relative path against the directory of the settings file.
std::string
ResolveDirectory(const std::string& aDirectory, const std::string& aFile)
{
  const auto folder = std::filesystem::path(aFile).parent_path();
  return (folder / aDirectory).lexically_normal().string();
}

Endpoint
ReadServiceAddress(MappingReader& aPlatform, std::string_view aField)
{
  Endpoint endpoint = aPlatform.ReadEndpoint(aField);
  if (!endpoint.m_address.empty() && endpoint.m_port == 0) {
    aPlatform.AddFault(aField, "port must not be 0");
  }
  return endpoint;
}

PlatformSource
ReadPlatform(MappingReader& aRoot, const std::string& aFile)
{
  MappingReader platform = aRoot.ReadMapping("platform");
  PlatformSource source;
  if (platform.Has("directory")) {
    source = DirectoryPlatform{ ResolveDirectory(platform.ReadText("directory"),
                                                 aFile) };
  } else if (platform.Has("configuration_service") ||
             platform.Has("instance_list")) {
    source = ServicePlatform{
      .m_configurationService =
        ReadServiceAddress(platform, "configuration_service"),
      .m_instanceList = ReadServiceAddress(platform, "instance_list"),
    };
  } else if (platform.IsMapping()) {
    aRoot.AddFault("platform",
                   "needs either directory or both configuration_service and "
                   "instance_list");
  }
  platform.RejectUnknownFields();
  return source;
}

std::vector<Endpoint>
ReadSeeds(MappingReader& aFleet)
{
  std::vector<Endpoint> seeds;
  if (!aFleet.Has("seeds")) {
    return seeds;
  }
  for (const std::string& text : aFleet.ReadIdList("seeds")) {
    try {
      seeds.push_back(ParseEndpoint(text));
    } catch (const EndpointError& error) {
      aFleet.AddFault("seeds", error.what());
    }
  }
  return seeds;
}

nanoseconds
ReadSeconds(MappingReader& aReader, std::string_view aField)
{
  return std::chrono::duration_cast<nanoseconds>(
    std::chrono::duration<double>(aReader.ReadDecimal(aField, kSecondsRange)));
}

FleetSettings
ReadFleet(MappingReader& aRoot)
{
  MappingReader reader = aRoot.ReadMapping("fleet");
  FleetSettings fleet{
    .m_store = ReadServiceAddress(reader, "store"),
    .m_directoryAddress = reader.ReadEndpoint("directory_address"),
    .m_readinessAddress = reader.ReadEndpoint("readiness_address"),
    .m_seeds = ReadSeeds(reader),
  };
  reader.ReadRows("availability_zones", [&](MappingReader& aRow) {
    const auto zone = aRow.ReadId<AvailabilityZoneId>("id");
    fleet.m_regionOfZone.emplace(zone, aRow.ReadId<RegionId>("region"));
    aRow.RejectUnknownFields();
  });
  if (reader.Has("capacity")) {
    fleet.m_capacity = reader.ReadDecimal("capacity", kCapacityRange);
  }
  if (reader.Has("retry_ratio")) {
    fleet.m_retryRatio = reader.ReadDecimal("retry_ratio", kRatioRange);
  }
  if (reader.Has("retry_extra")) {
    fleet.m_retryExtra = reader.ReadDecimal("retry_extra", kAmountRange);
  }
  if (reader.Has("retry_window_seconds")) {
    fleet.m_retryWindow = ReadSeconds(reader, "retry_window_seconds");
  }
  if (reader.Has("rate_tolerance_tokens")) {
    fleet.m_rateTolerance = Tokens(static_cast<std::int64_t>(
      reader.ReadDecimal("rate_tolerance_tokens", kAmountRange)));
  }
  if (reader.Has("change_deadline_milliseconds")) {
    fleet.m_changeDeadline =
      std::chrono::milliseconds(static_cast<std::int64_t>(reader.ReadDecimal(
        "change_deadline_milliseconds", kChangeDeadlineRange)));
  }
  reader.RejectUnknownFields();
  return fleet;
}

std::uint32_t
ReadCount(MappingReader& aReader,
          std::string_view aField,
          const Range<std::int64_t>& aRange,
          std::uint32_t aDefault)
{
  return static_cast<std::uint32_t>(
    aReader.ReadInteger(aField, aRange, aDefault));
}

CallerLimits
ReadLimits(MappingReader& aRoot)
{
  CallerLimits limits;
  if (!aRoot.Has("limits")) {
    return limits;
  }
  MappingReader reader = aRoot.ReadMapping("limits");
  limits = {
    .m_headerBytes = reader.ReadByteCount(
      "header_bytes", kHeaderBytesRange, limits.m_headerBytes),
    .m_bodyBytes =
      reader.ReadByteCount("body_bytes", kBodyBytesRange, limits.m_bodyBytes),
    .m_connections =
      ReadCount(reader, "connections", kConnectionsRange, limits.m_connections),
    .m_requests =
      ReadCount(reader, "requests", kRequestsRange, limits.m_requests),
    .m_idleTimeout =
      reader.ReadDuration("idle_timeout", kTimeoutRange, limits.m_idleTimeout),
    .m_readTimeout =
      reader.ReadDuration("read_timeout", kTimeoutRange, limits.m_readTimeout),
    .m_writeTimeout = reader.ReadDuration(
      "write_timeout", kTimeoutRange, limits.m_writeTimeout),
  };
  reader.RejectUnknownFields();
  return limits;
}

LogSettings
ReadLog(MappingReader& aRoot)
{
  LogSettings log;
  if (!aRoot.Has("log")) {
    return log;
  }
  MappingReader reader = aRoot.ReadMapping("log");
  log.m_level = reader.ReadChoice<LogLevel>("level",
                                            { { "debug", LogLevel::Debug },
                                              { "info", LogLevel::Info },
                                              { "warning", LogLevel::Warning },
                                              { "error", LogLevel::Error } },
                                            log.m_level);
  log.m_format = reader.ReadChoice<LogFormat>(
    "format",
    { { "key_value", LogFormat::KeyValue }, { "json", LogFormat::Json } },
    log.m_format);
  reader.RejectUnknownFields();
  return log;
}

Settings
ReadSettings(MappingReader& aRoot, const std::string& aFile)
{
  Settings settings{
    .m_instance = aRoot.ReadId<InstanceId>("instance"),
    .m_region = aRoot.ReadId<RegionId>("region"),
    .m_zone = aRoot.ReadId<AvailabilityZoneId>("availability_zone"),
  };
  ReadAddresses(aRoot, settings);
  if (aRoot.Has("fleet")) {
    settings.m_fleet = ReadFleet(aRoot);
  } else {
    settings.m_platform = ReadPlatform(aRoot, aFile);
  }
  settings.m_callerLimits = ReadLimits(aRoot);
  settings.m_log = ReadLog(aRoot);
  settings.m_heartbeatInterval =
    aRoot.ReadDuration("heartbeat_interval",
                       kHeartbeatIntervalRange,
                       settings.m_heartbeatInterval);
  settings.m_shutdownTimeout =
    aRoot.Has("shutdown_timeout_seconds")
      ? ReadSeconds(aRoot, "shutdown_timeout_seconds")
      : aRoot.ReadDuration("shutdown_timeout",
                           kShutdownTimeoutRange,
                           settings.m_shutdownTimeout);
  aRoot.RejectUnknownFields();
  return settings;
}

} // namespace

Settings
LoadSettings(const std::string& aPath)
{
  try {
    return ParseSettings(ReadTextFile(aPath));
  } catch (const TextFileError& error) {
    throw SettingsError({ { .m_file = aPath,
                            .m_section = "settings",
                            .m_message = error.what() } });
  }
}

Settings
ParseSettings(const SectionText& aText)
{
  FaultCollector faults(aText.m_file, "settings");
  Settings settings;
  if (const auto root = LoadYaml(aText, faults)) {
    MappingReader reader(*root, "", faults);
    settings = ReadSettings(reader, aText.m_file);
  }
  if (!faults.IsEmpty()) {
    throw SettingsError(faults.Faults());
  }
  return settings;
}

} // namespace rattanweir
