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
MakeScratchFolder()
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "fleet_cost.XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot make a scratch folder");
  }
  return pattern;
}

} // namespace

FleetFiles::FleetFiles(const SectionSizes& aSizes)
  : m_sizes(aSizes)
  , m_directory(MakeScratchFolder())
{
}

FleetFiles::~FleetFiles()
{
  std::error_code ignored;
  std::filesystem::remove_all(m_directory, ignored);
}

void
FleetFiles::Write(const std::string& aName, const std::string& aText) const
{
  // Renamed into place, so that no reader sees half of it.
  const std::filesystem::path draft = m_directory / (aName + ".draft");
  std::ofstream(draft) << aText;
  std::filesystem::rename(draft, m_directory / aName);
}

void
FleetFiles::WriteSections() const
{
  Write("client_accounts.yaml", ClientAccounts());
  Write("keys.yaml", Keys(1));
  Write("routes.yaml", Routes());
  Write("backend_servers.yaml", BackendServers());
  Write("instances.yaml", "instances: []\n");
}

void
FleetFiles::WriteKeysVersion(std::uint64_t aVersion) const
{
  Write("keys.yaml", Keys(aVersion));
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
FleetFiles::WriteInstances(const std::vector<InstancePlace>& aPlaces) const
{
  std::ostringstream text;
  text << "instances:\n";
  for (const InstancePlace& place : aPlaces) {
    text << "  - {id: " << place.m_id << ", region: " << place.m_region
         << ", availability_zone: " << place.m_zone
         << ", caller_address: " << place.m_caller.ToString()
         << ", peer_address: " << place.m_peer.ToString() << "}\n";
  }
  Write("instances.yaml", text.str());
}

std::string
FleetFiles::WriteSettings(const InstancePlace& aPlace,
                          const Endpoint& aPlatform) const
{
  std::ostringstream text;
  text << "instance: " << aPlace.m_id << "\nregion: " << aPlace.m_region
       << "\navailability_zone: " << aPlace.m_zone
       << "\naddresses: {caller: '127.0.0.1:0', peer: '127.0.0.1:0', admin: "
          "'127.0.0.1:0'}\nplatform: {configuration_service: '"
       << aPlatform.ToString() << "', instance_list: '" << aPlatform.ToString()
       << "'}\nlog: {level: info, format: json}\n";
  const std::string name = aPlace.m_id + ".settings.yaml";
  Write(name, text.str());
  return (m_directory / name).string();
}

} // namespace rattanweir::bench
