// Writes the configuration of a fleet of a given size to a directory.
//
//   FleetFiles files({ .m_clientAccounts = 1'200, ... });
//   files.WriteSections();
//   files.WriteKeysVersion(2);

#pragma once

#include "rattanweir/base/endpoint/endpoint.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace rattanweir::bench {

// Number of rows in each section, and of regions and instances.
struct SectionSizes
{
  int m_clientAccounts = 1'200;
  int m_keys = 2'400;
  int m_routes = 40;
  int m_backendServers = 1'700;
  int m_regions = 11;
  int m_instances = 370;
};

// The region, availability zone and addresses of one instance.
struct InstanceLocation
{
  std::string m_id;
  std::string m_region;
  std::string m_zone;
  Endpoint m_callerAddress;
  Endpoint m_peerAddress;
};

// Owns a temporary directory, which the destructor removes.
class FleetFiles
{
public:
  explicit FleetFiles(const SectionSizes& aSizes);
  ~FleetFiles();
  FleetFiles(const FleetFiles&) = delete;
  FleetFiles& operator=(const FleetFiles&) = delete;

  const std::filesystem::path& Directory() const { return m_directory; }

  // Writes all four sections at version 1, and an empty instance list.
  void WriteSections() const;

  // Rewrites the keys section with this version; the id of the first key
  // changes with the version.
  void WriteKeysVersion(std::uint64_t aVersion) const;

  void WriteInstances(const std::vector<InstanceLocation>& aLocations) const;

  // Writes the settings file of one instance and returns its path.
  std::string WriteSettings(const InstanceLocation& aLocation,
                            const Endpoint& aPlatform) const;

private:
  void WriteFile(const std::string& aName, const std::string& aText) const;
  std::string ClientAccounts() const;
  std::string Keys(std::uint64_t aVersion) const;
  std::string Routes() const;
  std::string BackendServers() const;

  SectionSizes m_sizes;
  std::filesystem::path m_directory;
};

} // namespace rattanweir::bench
