// Writes the configuration of a Fleet to files in a temporary directory.
//
//   ConfigurationFiles files;
//   files.WriteRoutes("4s");
//   files.WriteKeys(2, { "teachers-key" });   // withdraws that key
//
// Accounts are `parents` (home ostland), `teachers` (home vestland) and
// `small` (a low rate); ACCOUNT-key is the id of each one's key. Routes are
// /v1/chat, /v1/home (bound to the account's home), /bookings (not
// idempotent), /lookups and /open (open to all). Each file is replaced
// atomically, so a reader never sees a partially written one.

#pragma once

#include "rattanweir/base/endpoint/endpoint.h"
#include "testing/history/history.h"

#include <cstdint>
#include <filesystem>
#include <set>
#include <string>
#include <vector>

namespace rattanweir::testing {

// Rate limit of the account `small`, summed over the fleet.
inline constexpr AccountLimits kSmallRights{ .m_tokensPerSecond = 400,
                                             .m_burstTokens = 400 };

// Tokens that a request on the route `bookings` reserves.
inline constexpr std::int64_t kBookingCost = 1;

const std::vector<std::string>&
ClientAccountNames();

// Returns the secret that callers of the account send.
std::string
KeyTextOf(const std::string& aClientAccount);

std::string
KeyIdOf(const std::string& aClientAccount);

struct ServerEntry
{
  std::string m_id;
  std::string m_region;
  Endpoint m_address;
  bool m_isEngine = false;
  bool m_isDraining = false;
};

struct InstanceEntry
{
  std::string m_id;
  std::string m_region;
  Endpoint m_callerAddress;
  Endpoint m_peerAddress;
};

class ConfigurationFiles
{
public:
  ConfigurationFiles();
  ~ConfigurationFiles();
  ConfigurationFiles(const ConfigurationFiles&) = delete;
  ConfigurationFiles& operator=(const ConfigurationFiles&) = delete;

  std::string Directory() const { return m_directory.string(); }

  void WriteAccounts(std::size_t aMaximumInstances,
                     const AccountLimits& aSmall = kSmallRights) const;
  void WriteRoutes(const std::string& aBookingDeadline) const;
  void WriteKeys(std::uint64_t aVersion,
                 const std::set<std::string>& aWithdrawn) const;
  // Each call publishes a new version.
  void WriteServers(const std::vector<ServerEntry>& aEntries);
  void WriteInstances(const std::vector<InstanceEntry>& aEntries) const;

  // Returns the path of the file. `aPlatform` is the value of the setting
  // `platform`.
  std::string WriteSettings(const std::string& aInstance,
                            const std::string& aRegion,
                            const std::string& aPlatform,
                            const std::string& aShutdownTimeout) const;

private:
  void Write(const std::string& aFile, const std::string& aText) const;

  std::filesystem::path m_directory;
  std::uint64_t m_serversVersion = 0;
};

} // namespace rattanweir::testing
