#include "bench/fleet_cost/fleet_files.h"

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <stdexcept>

namespace rattanweir::bench {
namespace {

constexpr int kHashDigits = 64;
constexpr int kFirstBackendPort = 20'000;

std::filesystem::path
MakeTemporaryDirectory()
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "fleet_cost.XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  return pattern;
}

} // namespace

FleetFiles::FleetFiles(const SectionSizes& aSizes)
  : m_sizes(aSizes)
  , m_directory(MakeTemporaryDirectory())
{
}

FleetFiles::~FleetFiles()
{
  std::error_code ignored;
  std::filesystem::remove_all(m_directory, ignored);
}

void
FleetFiles::WriteFile(const std::string& aName, const std::string& aText) const
{
  // The rename is atomic, so that no reader sees a partly written file.
  const std::filesystem::path temporaryFile = m_directory / (aName + ".draft");
  std::ofstream(temporaryFile) << aText;
  std::filesystem::rename(temporaryFile, m_directory / aName);
}

void
FleetFiles::WriteSections() const
{
  WriteFile("client_accounts.yaml", ClientAccounts());
  WriteFile("keys.yaml", Keys(1));
  WriteFile("routes.yaml", Routes());
  WriteFile("backend_servers.yaml", BackendServers());
  WriteFile("instances.yaml", "instances: []\n");
}

void
FleetFiles::WriteKeysVersion(std::uint64_t aVersion) const
{
  WriteFile("keys.yaml", Keys(aVersion));
}

std::string
FleetFiles::ClientAccounts() const
{
  std::ostringstream text;
  text << "version: 1\nmaximum_instances: " << m_sizes.m_instances
       << "\nclient_accounts:\n";
  for (int number = 0; number < m_sizes.m_clientAccounts; ++number) {
    text << "  - {id: account-" << number
         << ", rate_tokens_per_second: 20000, burst_tokens: 200000}\n";
  }
  return text.str();
}

std::string
FleetFiles::Keys(std::uint64_t aVersion) const
{
  std::ostringstream text;
  text << "version: " << aVersion << "\nkeys:\n";
  for (int number = 0; number < m_sizes.m_keys; ++number) {
    const std::uint64_t generation = number == 0 ? aVersion : 1;
    text << "  - {id: key-" << number << "-" << generation
         << ", client_account: account-" << number % m_sizes.m_clientAccounts
         << ", sha256: " << std::hex << std::setfill('0')
         << std::setw(kHashDigits) << number + 1 << std::dec << "}\n";
  }
  return text.str();
}

std::string
FleetFiles::Routes() const
{
  std::ostringstream text;
  text << "version: 1\nroutes:\n";
  for (int number = 0; number < m_sizes.m_routes; ++number) {
    text << "  - {id: route-" << number << ", path: /v1/chat, model: model-"
         << number
         << ", idempotent: true, residency: any, cost: {default_max_tokens: "
            "256}, deadline: 60s, pool: pool-"
         << number << "}\n";
  }
  return text.str();
}

std::string
FleetFiles::BackendServers() const
{
  std::ostringstream text;
  text << "version: 1\nbackend_servers:\n";
  for (int number = 0; number < m_sizes.m_backendServers; ++number) {
    const int region = number % m_sizes.m_regions;
    text << "  - {id: runner-" << number << ", pool: pool-"
         << number % m_sizes.m_routes << ", kind: model_engine, region: region-"
         << region << ", availability_zone: region-" << region
         << "-a, address: 127.0.0.1:" << kFirstBackendPort + number
         << ", echoes_attempt_id: true, resumes_streams: true}\n";
  }
  return text.str();
}

void
FleetFiles::WriteInstances(
  const std::vector<InstanceLocation>& aLocations) const
{
  std::ostringstream text;
  text << "instances:\n";
  for (const InstanceLocation& location : aLocations) {
    text << "  - {id: " << location.m_id << ", region: " << location.m_region
         << ", availability_zone: " << location.m_zone
         << ", caller_address: " << location.m_callerAddress.ToString()
         << ", peer_address: " << location.m_peerAddress.ToString() << "}\n";
  }
  WriteFile("instances.yaml", text.str());
}

std::string
FleetFiles::WriteSettings(const InstanceLocation& aLocation,
                          const Endpoint& aPlatform) const
{
  std::ostringstream text;
  text << "instance: " << aLocation.m_id << "\nregion: " << aLocation.m_region
       << "\navailability_zone: " << aLocation.m_zone
       << "\naddresses: {caller: '127.0.0.1:0', peer: '127.0.0.1:0', admin: "
          "'127.0.0.1:0'}\nplatform: {configuration_service: '"
       << aPlatform.ToString() << "', instance_list: '" << aPlatform.ToString()
       << "'}\nlog: {level: info, format: json}\n";
  const std::string name = aLocation.m_id + ".settings.yaml";
  WriteFile(name, text.str());
  return (m_directory / name).string();
}

} // namespace rattanweir::bench
