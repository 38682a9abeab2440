// Instances of one region that read the configuration and the backend servers
// from a stand-in store, and from each other, with the product's own classes.
//
//   ConfigurationFleet fleet(context, { .m_instances = 3 });
//   fleet.PublishConfig(7);
//   co_await fleet.WaitForVersion(7, seconds(3));
//   fleet.Stop();

#pragma once

#include "platform/records/record_applier.h"
#include "platform/store/store_reader.h"
#include "rattanweir/connection/gossip/gossip.h"
#include "rattanweir/process/backend_registry/backend_registry.h"
#include "rattanweir/process/config_lag/config_lag.h"
#include "testing/gossip_network/gossip_network.h"
#include "testing/stand_in_store/stand_in_store.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace rattanweir::testing {

// One instance, without callers.
class ConfigurationInstance
{
public:
  ConfigurationInstance(asio::io_context& aContext,
                        GossipNetwork& aNetwork,
                        const Endpoint& aStore,
                        int aNumber,
                        Incarnation aIncarnation,
                        std::chrono::milliseconds aChangeDeadline);

  void Stop();

  std::uint64_t VersionInForce() const;

  RandomEngine m_random;
  Metrics m_metrics;
  FleetConfigStore m_config;
  FleetView m_fleet;
  BackendRegistry m_registry;
  PublishedItems m_published;
  ConfigLagDetector m_configLag{ { .m_clock = SystemClock() } };
  platform::RecordApplier m_applier;
  Gossip m_gossip;
  platform::StoreReader m_storeReader;

private:
  void UpdateSelf();
};

struct ConfigurationFleetOptions
{
  int m_instances = 3;
  // How many of them do not read the store and depend on their peers.
  int m_withoutStore = 0;
  std::chrono::milliseconds m_changeDeadline{ 3'000 };
};

class ConfigurationFleet
{
public:
  ConfigurationFleet(asio::io_context& aContext,
                     const ConfigurationFleetOptions& aOptions);

  // Writes the version to the store.
  void PublishConfig(std::uint64_t aVersion);
  // Writes a server's entry in the given state.
  void PublishServer(const std::string& aId, const char* aState);

  // Returns true once the version is in force at all instances, or false if it
  // is not within the time.
  Task<bool> WaitForVersion(std::uint64_t aVersion,
                            std::chrono::milliseconds aTime);
  Task<void> Sleep(std::chrono::milliseconds aDuration);

  // Ends an instance without notice, by its index. Start follows before
  // anything else is asked of the instance.
  void Kill(std::size_t aIndex);
  // Starts the killed instance again, in a later incarnation that knows
  // nothing and reads the store.
  void Start(std::size_t aIndex);

  // Ends all tasks of the instances.
  void Stop();

  StandInStore m_store;
  GossipNetwork m_network;
  std::vector<std::unique_ptr<ConfigurationInstance>> m_instances;

private:
  Task<void> Tick();
  std::unique_ptr<ConfigurationInstance> MakeInstance(std::size_t aIndex,
                                                      Incarnation aIncarnation);

  asio::io_context& m_context;
  ConfigurationFleetOptions m_options;
  // Killed instances, which outlive their tasks.
  std::vector<std::unique_ptr<ConfigurationInstance>> m_killed;
  bool m_isStopped = false;
};

} // namespace rattanweir::testing
