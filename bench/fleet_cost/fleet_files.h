// The configuration of a fleet of a given size, as files of a folder.
//
//   FleetFiles files;
//   files.WriteSections({ .m_clientAccounts = 1'200, ... });
//   files.WriteKeysVersion(2);

#pragma once

#include "rattanweir/base/endpoint/endpoint.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace rattanweir::bench {

// How many rows each section has.
struct SectionSizes
{
  int m_clientAccounts = 1'200;
  int m_keys = 2'400;
  int m_routes = 40;
  int m_backendServers = 1'700;
  int m_regions = 11;
  int m_instances = 370;
};

// One instance's place and addresses.
struct InstancePlace
{
  std::string m_id;
  std::string m_region;
  std::string m_zone;
  Endpoint m_caller;
  Endpoint m_peer;
};

// A scratch folder, removed with the object.
class FleetFiles
{
public:
  explicit FleetFiles(const SectionSizes& aSizes);
  ~FleetFiles();
  FleetFiles(const FleetFiles&) = delete;
  FleetFiles& operator=(const FleetFiles&) = delete;

  const std::filesystem::path& Directory() const { return m_directory; }

  // All four sections at version 1.
  void WriteSections() const;

  // The keys section again with this version and one key renamed.
  void WriteKeysVersion(std::uint64_t aVersion) const;

  void WriteInstances(const std::vector<InstancePlace>& aPlaces) const;

  // The settings of one instance; returns the file's path.
  std::string WriteSettings(const InstancePlace& aPlace,
                            const Endpoint& aPlatform) const;

private:
  void Write(const std::string& aName, const std::string& aText) const;
  std::string ClientAccounts() const;
  std::string Keys(std::uint64_t aVersion) const;
  std::string Routes() const;
  std::string BackendServers() const;

  SectionSizes m_sizes;
  std::filesystem::path m_directory;
};

} // namespace rattanweir::bench
