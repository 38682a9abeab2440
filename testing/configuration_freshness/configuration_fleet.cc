#include "rattanweir/base/asio/asio.h"

#include "testing/configuration_freshness/configuration_fleet.h"

#include "rattanweir/request/wait/wait.h"

#include <algorithm>
#include <map>

namespace rattanweir::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{ 100 };
constexpr milliseconds kPollInterval{ 5 };

Endpoint
PeerAddress(int aNumber)
{
  return { .m_address = "10.0.0." + std::to_string(aNumber), .m_port = 9 };
}

} // namespace

ConfigurationInstance::ConfigurationInstance(asio::io_context& aContext,
                                             GossipNetwork& aNetwork,
                                             const Endpoint& aStore,
                                             int aNumber,
                                             Incarnation aIncarnation,
                                             milliseconds aChangeDeadline)
  : m_random(static_cast<std::uint64_t>(aNumber))
  , m_fleet({ .m_clock = SystemClock(),
              .m_self = { .m_id = InstanceId("i" + std::to_string(aNumber)),
                          .m_incarnation = aIncarnation,
                          .m_region = RegionId("r"),
                          .m_zone = AvailabilityZoneId("r-a"),
                          .m_callerAddress = PeerAddress(100 + aNumber),
                          .m_peerAddress = PeerAddress(aNumber),
                          .m_isReady = true } })
  , m_registry(
      { .m_clock = SystemClock(),
        .m_regionOfZone = { { AvailabilityZoneId("r-a"), RegionId("r") } } })
  , m_applier({ .m_published = m_published,
                .m_registry = m_registry,
                .m_config = m_config,
                .m_metrics = m_metrics,
                .m_clock = SystemClock() })
  , m_gossip({ .m_executor = aContext.get_executor(),
               .m_clock = SystemClock(),
               .m_random = m_random,
               .m_upstream = aNetwork,
               .m_fleet = m_fleet,
               .m_published = m_published,
               .m_metrics = m_metrics,
               .m_updateSelf = [this] { UpdateSelf(); } })
  , m_storeReader({ .m_executor = aContext.get_executor(),
                    .m_clock = SystemClock(),
                    .m_random = m_random,
                    .m_store = aStore,
                    .m_published = m_published,
                    .m_metrics = m_metrics,
                    .m_changeDeadline = aChangeDeadline })
{
  aNetwork.m_gossips[PeerAddress(aNumber)] = &m_gossip;
  m_fleet.SetSeeds({ PeerAddress(1) });
  m_storeReader.Follow(TopicId(platform::kOperatorTopic));
  m_storeReader.Follow(TopicId(platform::kServersTopic));
  m_gossip.Start();
}

void
ConfigurationInstance::Stop()
{
  m_storeReader.Stop();
  m_gossip.Stop();
}

std::uint64_t
ConfigurationInstance::VersionInForce() const
{
  const FleetConfigPtr config = m_config.InForce();
  return config ? config->Version().Value() : 0;
}

void
ConfigurationInstance::UpdateSelf()
{
  FleetMember& self = m_fleet.Self();
  self.m_readsStore = m_storeReader.IsStoreReachable();
  self.m_configVersion = SectionVersion(VersionInForce());
  AdvertiseTopics(m_published, self);
}

ConfigurationFleet::ConfigurationFleet(
  asio::io_context& aContext,
  const ConfigurationFleetOptions& aOptions)
  : m_store(aContext)
  , m_context(aContext)
  , m_options(aOptions)
{
  for (int index = 0; index < aOptions.m_instances; ++index) {
    m_instances.push_back(
      MakeInstance(static_cast<std::size_t>(index), Incarnation(1)));
    m_instances.back()->m_storeReader.SetReadingEnabled(
      index < aOptions.m_instances - aOptions.m_withoutStore);
  }
  asio::co_spawn(aContext, Tick(), asio::detached);
}

std::unique_ptr<ConfigurationInstance>
ConfigurationFleet::MakeInstance(std::size_t aIndex, Incarnation aIncarnation)
{
  return std::make_unique<ConfigurationInstance>(m_context,
                                                 m_network,
                                                 m_store.Address(),
                                                 static_cast<int>(aIndex) + 1,
                                                 aIncarnation,
                                                 m_options.m_changeDeadline);
}

void
ConfigurationFleet::Kill(std::size_t aIndex)
{
  std::unique_ptr<ConfigurationInstance>& instance = m_instances[aIndex];
  instance->Stop();
  m_network.m_gossips.erase(instance->m_fleet.Self().m_peerAddress);
}

void
ConfigurationFleet::Start(std::size_t aIndex)
{
  std::unique_ptr<ConfigurationInstance>& instance = m_instances[aIndex];
  const Incarnation next(instance->m_fleet.Self().m_incarnation.Value() + 1);
  m_killed.push_back(std::exchange(instance, MakeInstance(aIndex, next)));
}

Task<void>
ConfigurationFleet::Tick()
{
  std::map<const ConfigurationInstance*, TopicVersion> announced;
  while (!m_isStopped) {
    for (const auto& instance : m_instances) {
      instance->m_registry.Tick();
      instance->m_applier.Tick();
      if (instance->m_configLag.ShouldReadAgain(
            SectionVersion(instance->VersionInForce()),
            instance->m_fleet.NewestConfigOfPeers())) {
        instance->m_storeReader.ReadAgain(TopicId(platform::kOperatorTopic));
      }
      const TopicVersion version =
        instance->m_published.VersionOf(TopicId(platform::kOperatorTopic));
      if (std::exchange(announced[instance.get()], version) != version) {
        instance->m_gossip.Announce();
      }
    }
    co_await Sleep(kTickInterval);
  }
}

void
ConfigurationFleet::PublishConfig(std::uint64_t aVersion)
{
  m_store.Put("op/config",
              R"({"version":)" + std::to_string(aVersion) +
                R"(,"routes":[],"services":[{"name":"desk"}]})");
}

void
ConfigurationFleet::PublishServer(const std::string& aId, const char* aState)
{
  m_store.Put("servers/" + aId,
              R"({"service":"desk","address":"10.0.1.1:80","zone":"r-a",)"
              R"("slots":6,"born":1,"sequence":1,"state":")" +
                std::string(aState) + R"("})");
}

Task<bool>
ConfigurationFleet::WaitForVersion(std::uint64_t aVersion, milliseconds aTime)
{
  const SteadyTime end = SystemClock().SteadyNow() + aTime;
  const auto isInForce = [&] {
    return std::ranges::all_of(m_instances, [&](const auto& aInstance) {
      return aInstance->VersionInForce() == aVersion;
    });
  };
  while (!isInForce() && SystemClock().SteadyNow() < end) {
    co_await Sleep(kPollInterval);
  }
  co_return isInForce();
}

Task<void>
ConfigurationFleet::Sleep(milliseconds aDuration)
{
  CancelSource never;
  co_await WaitFor(m_context.get_executor(), aDuration, never);
}

void
ConfigurationFleet::Stop()
{
  m_isStopped = true;
  for (const auto& instance : m_instances) {
    instance->Stop();
  }
}

} // namespace rattanweir::testing
