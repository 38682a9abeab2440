#include "testing/harness/configuration_files.h"

#include <openssl/sha.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace rattanweir::testing {

namespace {

std::string
Sha256Of(const std::string& aText)
{
  unsigned char digest[SHA256_DIGEST_LENGTH];
  ::SHA256(
    reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), digest);
  std::string hex;
  for (const unsigned char byte : digest) {
    constexpr char kDigits[] = "0123456789abcdef";
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

} // namespace

const std::vector<std::string>&
ClientAccountNames()
{
  static const std::vector<std::string> names = { "parents",
                                                  "teachers",
                                                  "small" };
  return names;
}

std::string
KeyTextOf(const std::string& aClientAccount)
{
  return "secret-of-" + aClientAccount;
}

std::string
KeyIdOf(const std::string& aClientAccount)
{
  return aClientAccount + "-key";
}

ConfigurationFiles::ConfigurationFiles()
{
  std::string name =
    (std::filesystem::temp_directory_path() / "rattanweir-fleet-XXXXXX")
      .string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  m_directory = name;
}

ConfigurationFiles::~ConfigurationFiles()
{
  std::error_code ignored;
  std::filesystem::remove_all(m_directory, ignored);
}

void
ConfigurationFiles::Write(const std::string& aFile,
                          const std::string& aText) const
{
  const std::filesystem::path temporary = m_directory / ("." + aFile);
  std::ofstream(temporary) << aText;
  std::filesystem::rename(temporary, m_directory / aFile);
}

void
ConfigurationFiles::WriteAccounts(std::size_t aMaximumInstances,
                                  const AccountLimits& aSmall) const
{
  std::ostringstream text;
  text << "version: 1\nmaximum_instances: " << aMaximumInstances
       << "\nclient_accounts:\n"
       << "  - { id: parents, rate_tokens_per_second: 4000000, "
          "burst_tokens: 4000000, home_region: ostland }\n"
       << "  - { id: teachers, rate_tokens_per_second: 4000000, "
          "burst_tokens: 4000000, home_region: vestland }\n"
       << "  - { id: small, rate_tokens_per_second: "
       << aSmall.m_tokensPerSecond << ", burst_tokens: " << aSmall.m_burstTokens
       << " }\n";
  Write("client_accounts.yaml", text.str());
}

void
ConfigurationFiles::WriteRoutes(const std::string& aBookingDeadline) const
{
  const std::string model = ", cost: { default_max_tokens: 16 }, deadline: 8s, "
                            "pool: models }\n";
  const std::string desk =
    ", residency: any, cost: { fixed_tokens: " + std::to_string(kBookingCost) +
    " }, pool: desk, deadline: ";
  std::ostringstream text;
  text << "version: 1\nroutes:\n"
       << "  - { id: chat, path: /v1/chat, idempotent: true, residency: any"
       << model
       << "  - { id: home, path: /v1/home, idempotent: true, residency: home"
       << model << "  - { id: bookings, path: /bookings, idempotent: false"
       << desk << aBookingDeadline << " }\n"
       << "  - { id: lookups, path: /lookups, idempotent: true" << desk
       << "4s }\n"
       << "  - { id: open, path: /open, open_to_all: true, idempotent: true"
       << desk << "4s }\n";
  Write("routes.yaml", text.str());
}

void
ConfigurationFiles::WriteKeys(std::uint64_t aVersion,
                              const std::set<std::string>& aWithdrawn) const
{
  std::ostringstream text;
  text << "version: " << aVersion << "\nkeys:\n";
  for (const std::string& account : ClientAccountNames()) {
    if (aWithdrawn.contains(KeyIdOf(account))) {
      continue;
    }
    text << "  - { id: " << KeyIdOf(account) << ", client_account: " << account
         << ", sha256: \"" << Sha256Of(KeyTextOf(account)) << "\" }\n";
  }
  Write("keys.yaml", text.str());
}

void
ConfigurationFiles::WriteServers(const std::vector<ServerEntry>& aEntries)
{
  std::ostringstream text;
  text << "version: " << ++m_serversVersion << "\nbackend_servers:\n";
  for (const ServerEntry& entry : aEntries) {
    text << "  - { id: " << entry.m_id
         << (entry.m_isEngine
               ? ", pool: models, kind: model_engine, resumes_streams: true"
               : ", pool: desk, kind: plain_service")
         << ", region: " << entry.m_region
         << ", availability_zone: " << entry.m_region << "-a, address: \""
         << entry.m_address.ToString() << "\", echoes_attempt_id: true"
         << (entry.m_isDraining ? ", leaving: true" : "") << " }\n";
  }
  Write("backend_servers.yaml", text.str());
}

void
ConfigurationFiles::WriteInstances(
  const std::vector<InstanceEntry>& aEntries) const
{
  std::ostringstream text;
  text << "instances:\n";
  for (const InstanceEntry& entry : aEntries) {
    text << "  - { id: " << entry.m_id << ", region: " << entry.m_region
         << ", availability_zone: " << entry.m_region
         << "-a, caller_address: \"" << entry.m_callerAddress.ToString()
         << "\", peer_address: \"" << entry.m_peerAddress.ToString()
         << "\" }\n";
  }
  Write("instances.yaml", text.str());
}

std::string
ConfigurationFiles::WriteSettings(const std::string& aInstance,
                                  const std::string& aRegion,
                                  const std::string& aPlatform,
                                  const std::string& aShutdownTimeout) const
{
  std::ostringstream text;
  text << "instance: " << aInstance << "\nregion: " << aRegion
       << "\navailability_zone: " << aRegion << "-a\n"
       << "addresses: { caller: \"127.0.0.1:0\", peer: \"127.0.0.1:0\", "
          "admin: \"127.0.0.1:0\" }\n"
       << "platform: " << aPlatform << "\nlog: { level: info, format: json }\n"
       << "heartbeat_interval: 200ms\nshutdown_timeout: " << aShutdownTimeout
       << "\n";
  const std::string file = "settings-" + aInstance + ".yaml";
  Write(file, text.str());
  return (m_directory / file).string();
}

} // namespace rattanweir::testing
