// A simulated fleet whose instances run the gateway, with its own decisions and
// a network in simulated time, and without sockets. For what callers get while
// instances lose their links to the backend servers.
//
//   GatewayFleet fleet({ .m_fleet = { .m_instances = 65 } });
//   fleet.RunFor(seconds(5));
//   fleet.CutLinks({ 0, 4 }, LinkFault::Hangs);
//   fleet.RunFor(seconds(10));
//   CHECK(fleet.ServedFraction({ .m_from = ..., .m_instances = { 0, 4 } }) >
//   0.9);
//
// Instance `i` and server `s` belong to region `i % Regions()` and
// `s % Regions()`. Each instance gets idempotent requests, ones that may run
// once, and ones that may run once and only in its region. Not thread-safe.

#pragma once

#include "rattanweir/base/asio/asio.h"

#include "testing/gateway_fixture/gateway_fixture.h"
#include "testing/simulated_fleet/simulated_fleet.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rattanweir {

// What becomes of an instance's connections to all servers.
enum class LinkFault
{
  None,
  // Open connections are reset and new ones refused.
  Resets,
  // Open connections fall silent and new ones get no response.
  Hangs,
  // Open connections live on, and new ones are refused.
  RefusesNew,
};

struct GatewayFleetOptions
{
  SimulatedFleetOptions m_fleet;
  std::size_t m_serversPerRegion = 4;
  // Interval between two requests of callers to an instance.
  std::chrono::milliseconds m_requestInterval{ 200 };
  // How long a server processes a request.
  std::chrono::milliseconds m_serviceTime{ 20 };
};

// Servers that say that they fail if they refuse more requests a second, and
// let fewer wait.
struct BrittleServers
{
  // nullopt: they say nothing, and bear any number.
  std::optional<double> m_maxRefusals;
  unsigned m_maxWaiting = 0;
  // How long a server that has failed is gone.
  std::chrono::milliseconds m_downTime{ 3'000 };
};

// The part of a run that a result is about.
struct ResultFilter
{
  SteadyTime m_from;
  SteadyTime m_until = SteadyTime::max();
  std::set<std::size_t> m_instances;
  // Only requests that may be served in their caller's region alone, or only
  // others; all if not set.
  std::optional<bool> m_isBoundToRegion;
};

class GatewayFleet;

// The gateway of one simulated instance.
class SimulatedGateway
{
public:
  SimulatedGateway(GatewayFleet& aFleet, std::size_t aIndex, FleetView& aView);
  ~SimulatedGateway();
  SimulatedGateway(const SimulatedGateway&) = delete;
  SimulatedGateway& operator=(const SimulatedGateway&) = delete;

  // Updates what the instance advertises.
  void UpdateSelf();
  // Does what a tick of the daemon does.
  void Step();
  void ProbeServers();

  GatewayState& State() { return m_state; }
  GatewayEntryHandler& Entry() { return m_entry; }
  GatewayPeerHandler& Peer() { return m_peer; }

private:
  class Network;

  std::size_t m_index;
  const Clock& m_clock;
  PlainProtocol m_protocol;
  FleetConfigStore m_config;
  BackendRegistry m_registry;
  BackendView m_backends;
  ServerReach m_reach;
  BackendView m_regions;
  PartCacheView m_parts;
  AccountRates m_rates;
  FleetRetryBudget m_retries;
  ServerRateLimiter m_rateLimiter;
  ServerLimits m_serverLimits;
  ServerRooms m_rooms;
  CrashQuarantine m_quarantine;
  LocalStreamOrigins m_streamOrigins;
  ServiceEnd m_serviceEnd{ { .m_clock = m_clock } };
  ServerSilence m_silence{ { .m_clock = m_clock } };
  PoolQueues m_queues;
  ResidencyConflicts m_residencyConflicts{ { .m_clock = m_clock } };
  ServerPerformance m_performance{ { .m_clock = m_clock } };
  PoolBacklogs m_backlogs{ { .m_clock = m_clock } };
  ArrivalMeter m_arrivals{ { .m_clock = m_clock } };
  RegionSplit m_split{ { .m_clock = m_clock } };
  Metrics m_metrics;
  std::unique_ptr<Network> m_network;
  GatewayState m_state;
  GatewayEntryHandler m_entry;
  GatewayPeerHandler m_peer;
  SteadyTime m_lastTickAt;
};

class GatewayFleet
{
public:
  explicit GatewayFleet(const GatewayFleetOptions& aOptions);
  ~GatewayFleet();
  GatewayFleet(const GatewayFleet&) = delete;
  GatewayFleet& operator=(const GatewayFleet&) = delete;

  // Starts the instances, and lets them find each other for 5 s.
  void Start();
  void RunFor(std::chrono::milliseconds aDuration);

  void CutLinks(const std::set<std::size_t>& aInstances, LinkFault aFault);
  void RestoreLinks() { m_faults.clear(); }
  // Ends a server: connections to it are reset and refused.
  void StopServer(std::size_t aServer)
  {
    m_servers[aServer].m_isRunning = false;
  }

  // Makes all servers brittle: they say so at once, and let fewer wait after
  // `aContactTime`.
  void MakeServersBrittle(const BrittleServers& aBrittle,
                          std::chrono::milliseconds aContactTime);
  // Returns how often servers have failed.
  std::size_t CountFailedServers() const { return m_failedServers; }

  SteadyTime Now() const { return m_fleet.Now(); }
  std::size_t Size() const { return m_fleet.Size(); }
  std::size_t Regions() const { return m_fleet.Regions(); }
  std::size_t ServerCount() const { return m_servers.size(); }

  // Returns the fraction of the first attempts that were served; 1 if there are
  // none.
  double ServedFraction(const ResultFilter& aFilter) const;
  std::size_t CountRequests(const ResultFilter& aFilter) const;
  // Returns the longest time after which a request ended that was not served.
  std::chrono::milliseconds LongestFailure(const ResultFilter& aFilter) const;
  // Returns the number of requests that ran more than once though they may run
  // once only.
  std::size_t CountRepeatedRuns() const;
  // Returns the number of instances that have concluded that their links are
  // lost.
  std::size_t CountLostLinks();

private:
  friend class SimulatedGateway;

  struct Process : SimulatedProcess
  {
    using SimulatedProcess::SimulatedProcess;
    void UpdateSelf()
    {
      if (m_gateway) {
        m_gateway->UpdateSelf();
      }
    }
    std::unique_ptr<SimulatedGateway> m_gateway;
    SteadyTime m_lastRequestAt;
  };

  struct Server
  {
    ServerRecord m_record;
    bool m_isRunning = true;
    unsigned m_inFlight = 0;
    // When it refused requests within the last second.
    std::deque<SteadyTime> m_refusals;
  };

  struct Request
  {
    std::size_t m_instance = 0;
    SteadyTime m_sentAt;
    SteadyTime m_endedAt;
    bool m_isBoundToRegion = false;
    Outcome m_outcome;
  };

  FleetConfigData Config() const;
  void StartRequest(std::size_t aInstance, SimulatedGateway& aGateway);
  Task<void> Delay(std::chrono::milliseconds aDuration);
  // Records that the server refuses a request; it may fail of it.
  void RecordRefusal(std::size_t aServer);
  // Starts a server again.
  void RestartServer(std::size_t aServer);
  LinkFault FaultOf(std::size_t aInstance) const;
  bool IsMatch(const Request& aRequest, const ResultFilter& aFilter) const;

  GatewayFleetOptions m_options;
  asio::io_context m_context;
  SimulatedFleet<Process> m_fleet;
  RandomEngine m_random;
  std::vector<Server> m_servers;
  std::map<std::size_t, LinkFault> m_faults;
  // Idle connections, by instance and server.
  std::map<std::pair<std::size_t, std::size_t>, unsigned> m_kept;
  std::deque<Request> m_requests;
  // The number of runs of requests that may run once only, by request.
  std::map<std::string, unsigned> m_runs;
  bool m_isStarted = false;
  std::optional<BrittleServers> m_brittle;
  unsigned m_maxWaiting = 0;
  std::size_t m_failedServers = 0;
};

} // namespace rattanweir
