// Gateways and stand-ins of one test, as separate processes.
//
//   Fleet fleet({ .m_regions = { "ostland", "vestland" },
//                 .m_serverRegions = { "ostland" } });
//   WaitUntilAllServe(fleet);
//   ...callers...
//   CHECK(Describe(fleet.Judge()) == "");
//
// Each region has one instance, REGION-1; each server region one engine,
// engine-REGION, and one service, service-REGION. Peers reach each other only
// through a LinkCutter each. ConfigurationFiles says which accounts, keys and
// routes there are.

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
  // Of the account `small`.
  AccountRights m_smallRights = kSmallRights;
  // Reads the configuration from a stand-in platform instead of a directory.
  bool m_hasPlatform = false;
};

// Calls, markers and addresses are safe from any thread; the rest is for the
// test's own.
class Fleet
{
public:
  explicit Fleet(const FleetOptions& aOptions);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Until every instance that runs says that it is ready.
  void WaitUntilReady();

  // Starts the instance of a region anew after the earlier process ended.
  void Restart(const std::string& aInstance);

  std::vector<std::string> Instances() const;
  Process& Instance(const std::string& aInstance);
  Process& Server(const std::string& aServer);
  // Between its peers and the instance.
  LinkCutter& Link(const std::string& aInstance);
  // Between the instance and the platform.
  LinkCutter& PlatformLink(const std::string& aInstance);
  Endpoint CallerAddress(const std::string& aInstance) const;
  Endpoint ServerAddress(const std::string& aServer) const;
  Endpoint AdminAddress(const std::string& aInstance) const;

  // Sets switches of a backend server, or of `platform`.
  void Switch(const std::string& aServer, const std::string& aJson);

  // A request to an instance's admin side.
  HttpResponse Admin(const std::string& aInstance,
                     const std::string& aPath,
                     const std::string& aMethod = "GET");

  // Publish a change of one section.
  void WithdrawKey(const std::string& aKeyId);
  void MarkDraining(const std::string& aServer);
  // Publishes the section `keys` under a version of choice.
  void PublishKeys(std::uint64_t aVersion);

  // The version that an instance says is in force, recorded; 0 without one.
  std::uint64_t VersionOf(const std::string& aInstance,
                          const std::string& aSection);

  // Marks an instance as told to shut down, and tells it.
  void Drain(const std::string& aInstance);

  // How often a backend server has printed this event.
  std::size_t CountRecords(const std::string& aServer, const std::string& aEvent);

  void Record(const CallerRecord& aCall);
  std::size_t CallCount() const;
  // Calls that got status 200 and a whole answer.
  std::size_t ServedCount() const;
  std::string NewMarker();

  // Stops all processes and judges everything recorded.
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
