// Runs the instances and stand-in servers of one test as separate processes.
//
//   Fleet fleet({ .m_regions = { "ostland", "vestland" },
//                 .m_serverRegions = { "ostland" } });
//   WaitUntilAllServe(fleet);
//   ... send requests with Caller ...
//   CHECK(Describe(fleet.Judge()) == "");
//
// Each region has one instance, REGION-1; each server region one engine,
// engine-REGION, and one service, service-REGION. Peers connect to an instance
// only through its LinkCutter. ConfigurationFiles documents the accounts, keys
// and routes.

#pragma once

#include "testing/harness/configuration_files.h"
#include "testing/harness/process.h"
#include "testing/history/history.h"
#include "testing/http/http.h"
#include "testing/link_cutter/link_cutter.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace rattanweir::testing {

struct FleetOptions
{
  std::vector<std::string> m_regions = { "ostland" };
  std::vector<std::string> m_serverRegions = { "ostland" };
  std::string m_tokenInterval = "2ms";
  std::string m_bookingDeadline = "4s";
  std::string m_shutdownTimeout = "30s";
  // Rate limit of the account `small`.
  AccountLimits m_smallRights = kSmallRights;
  // Reads the configuration from a stand-in platform instead of a directory.
  bool m_hasPlatform = false;
};

// Record(), CallCount(), ServedCount(), NewMarker(), CallerAddress() and
// AdminAddress() are safe from any thread. The other functions are not
// synchronized; a test calls them from one thread at a time.
class Fleet
{
public:
  explicit Fleet(const FleetOptions& aOptions);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Waits until every instance reports that it is ready.
  void WaitUntilReady();

  // Starts a new process for an instance, after killing the previous one if it
  // still runs.
  void Restart(const std::string& aInstance);

  std::vector<std::string> Instances() const;
  Process& Instance(const std::string& aInstance);
  Process& Server(const std::string& aServer);
  // Returns the link from peers to the instance.
  LinkCutter& Link(const std::string& aInstance);
  // Returns the link from the instance to the platform.
  LinkCutter& PlatformLink(const std::string& aInstance);
  Endpoint CallerAddress(const std::string& aInstance) const;
  Endpoint ServerAddress(const std::string& aServer) const;
  Endpoint AdminAddress(const std::string& aInstance) const;

  // Sets the fault switches of a backend server, or of `platform`.
  void Switch(const std::string& aServer, const std::string& aJson);

  // Sends a request to the admin address of an instance. Throws HttpError with
  // the instance's log if the connection fails.
  HttpResponse Admin(const std::string& aInstance,
                     const std::string& aPath,
                     const std::string& aMethod = "GET");

  // Each publishes a new version of one configuration section.
  void WithdrawKey(const std::string& aKeyId);
  void MarkDraining(const std::string& aServer);
  // Publishes the section `keys` with the given version.
  void PublishKeys(std::uint64_t aVersion);

  // Returns the version that an instance reports to be in force and records it.
  // Returns 0 if the instance reports none.
  std::uint64_t VersionOf(const std::string& aInstance,
                          const std::string& aSection);

  // Sends SIGTERM to an instance and records that it is draining.
  void Drain(const std::string& aInstance);

  // Returns how many records with this event a backend server has printed.
  std::size_t CountRecords(const std::string& aServer,
                           const std::string& aEvent);

  void Record(const CallerRecord& aCall);
  std::size_t CallCount() const;
  // Returns the number of calls with status 200 and a complete response.
  std::size_t ServedCount() const;
  std::string NewMarker();

  // Stops all processes and returns the violations in the recorded history.
  std::vector<Violation> StopAndCheckHistory();

private:
  struct Node
  {
    std::string m_region;
    std::unique_ptr<Process> m_process;
    std::unique_ptr<LinkCutter> m_link;
    std::unique_ptr<LinkCutter> m_platformLink;
    Endpoint m_callerAddress;
    Endpoint m_adminAddress;
  };

  struct BackendServer
  {
    std::string m_region;
    std::unique_ptr<Process> m_process;
    Endpoint m_address;
  };

  void StartServer(const std::string& aKind, const std::string& aRegion);
  void StartPlatform();
  void StartNode(const std::string& aInstance);
  void WriteInstances() const;
  void WriteServers();
  std::string PlatformSetting(const Node& aNode) const;

  FleetOptions m_options;
  ConfigurationFiles m_files;
  std::map<std::string, Node> m_nodes;
  std::map<std::string, BackendServer> m_servers;
  std::unique_ptr<Process> m_platform;
  Endpoint m_platformAddress;
  std::set<std::string> m_withdrawnKeys;
  std::set<std::string> m_drainingServers;
  std::uint64_t m_keysVersion = 1;
  mutable std::mutex m_mutex;
  std::uint64_t m_markerCount = 0;
  History m_history;
};

} // namespace rattanweir::testing
