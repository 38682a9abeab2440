#include "rattanweir/base/asio/asio.h"

#include "rattanweir/base/json/json.h"
#include "rattanweir/connection/gossip/gossip.h"
#include "rattanweir/connection/gossip/gossip_messages.h"
#include "testing/gossip_network/gossip_network.h"

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TopicId kTopic("servers/");
constexpr StoreEpoch kEpoch(1);

Endpoint
AddressOf(int aNumber)
{
  return { .m_address = "10.0.0." + std::to_string(aNumber), .m_port = 9 };
}

struct Instance
{
  Instance(int aNumber,
           asio::io_context& aContext,
           testing::GossipNetwork& aNetwork)
    : m_fleet({ .m_clock = SystemClock(),
                .m_self = { .m_id = InstanceId("i" + std::to_string(aNumber)),
                            .m_incarnation = Incarnation(1),
                            .m_region = RegionId("r"),
                            .m_zone = AvailabilityZoneId("r-a"),
                            .m_callerAddress = AddressOf(100 + aNumber),
                            .m_peerAddress = AddressOf(aNumber),
                            .m_isReady = true } })
    , m_gossip({ .m_executor = aContext.get_executor(),
                 .m_clock = SystemClock(),
                 .m_random = m_random,
                 .m_upstream = aNetwork,
                 .m_fleet = m_fleet,
                 .m_published = m_published,
                 .m_metrics = m_metrics,
                 .m_interval = milliseconds(5),
                 .m_updateSelf = [this] {
                   AdvertiseTopics(m_published, m_fleet.Self());
                 } })
  {
    aNetwork.m_gossips.emplace(AddressOf(aNumber), &m_gossip);
  }

  RandomEngine m_random{ 1 };
  FleetView m_fleet;
  PublishedItems m_published;
  Metrics m_metrics;
  Gossip m_gossip;
};

struct Fixture
{
  explicit Fixture(int aInstances)
  {
    for (int number = 1; number <= aInstances; ++number) {
      m_instances.push_back(
        std::make_unique<Instance>(number, m_context, m_network));
      m_instances.back()->m_fleet.SetSeeds({ AddressOf(1) });
    }
  }

  ~Fixture()
  {
    for (const auto& instance : m_instances) {
      instance->m_gossip.Stop();
    }
    m_context.restart();
    m_context.run_for(seconds(5));
  }

  void Start()
  {
    for (const auto& instance : m_instances) {
      instance->m_gossip.Start();
    }
  }

  // Fails the test if the condition never holds.
  void RunUntil(const std::function<bool()>& aCondition)
  {
    const SteadyTime end = SystemClock().SteadyNow() + seconds(20);
    while (!aCondition()) {
      REQUIRE(SystemClock().SteadyNow() < end);
      m_context.restart();
      m_context.run_for(milliseconds(5));
    }
  }

  bool AllMembersLive() const
  {
    for (const auto& instance : m_instances) {
      if (instance->m_fleet.LivePeers().size() + 1 != m_instances.size()) {
        return false;
      }
    }
    return true;
  }

  asio::io_context m_context;
  testing::GossipNetwork m_network;
  std::vector<std::unique_ptr<Instance>> m_instances;
};

TEST_CASE("instances that share one seed discover each other")
{
  Fixture fixture(5);
  fixture.Start();
  fixture.RunUntil([&] { return fixture.AllMembersLive(); });
  CHECK(fixture.m_instances[4]->m_gossip.HasExchangedWithPeer());
}

TEST_CASE(
  "an instance fetches published topics and their changes from its peers")
{
  Fixture fixture(3);
  fixture.m_instances[0]->m_published.Apply(
    kTopic,
    kEpoch,
    { { .m_key = "servers/a", .m_value = "1", .m_revision = 7 } });
  fixture.Start();
  fixture.RunUntil([&] {
    return fixture.m_instances[2]->m_published.VersionOf(kTopic).m_revision ==
           7;
  });
  fixture.m_instances[0]->m_published.Apply(
    kTopic, kEpoch, { { .m_key = "servers/a", .m_revision = 9 } });
  fixture.RunUntil([&] {
    const TopicSnapshot* snapshot =
      fixture.m_instances[2]->m_published.Find(kTopic);
    return snapshot->m_version.m_revision == 9 && snapshot->m_items.empty();
  });
}

TEST_CASE("Announce sends one record with all changes to every live member")
{
  Fixture fixture(4);
  fixture.Start();
  fixture.RunUntil([&] { return fixture.AllMembersLive(); });
  for (const auto& instance : fixture.m_instances) {
    instance->m_gossip.Stop();
  }
  Instance& first = *fixture.m_instances[0];
  first.m_published.Apply(
    kTopic,
    kEpoch,
    { { .m_key = "servers/a", .m_value = "1", .m_revision = 7 } });
  first.m_fleet.Self().m_isDraining = true;
  first.m_gossip.Announce();
  fixture.RunUntil([&] {
    return std::ranges::all_of(fixture.m_instances, [](const auto& aInstance) {
      return aInstance->m_published.VersionOf(kTopic).m_revision == 7;
    });
  });
  const FleetMember* announced =
    fixture.m_instances[3]->m_fleet.Find(first.m_fleet.Self().m_id);
  REQUIRE(announced != nullptr);
  CHECK(announced->m_isDraining);
}

TEST_CASE("the fleet reconnects after a network partition")
{
  Fixture fixture(3);
  fixture.Start();
  fixture.RunUntil([&] { return fixture.AllMembersLive(); });
  fixture.m_network.m_isPartitioned = true;
  for (const auto& instance : fixture.m_instances) {
    for (int number = 1; number <= 3; ++number) {
      instance->m_fleet.MarkUnreachable(
        InstanceId("i" + std::to_string(number)));
    }
  }
  CHECK_FALSE(fixture.AllMembersLive());
  fixture.m_network.m_isPartitioned = false;
  fixture.RunUntil([&] { return fixture.AllMembersLive(); });
}

TEST_CASE("member records survive encoding and decoding")
{
  FleetMember record{ .m_id = InstanceId("i"),
                      .m_incarnation = Incarnation(1'700'000'000'123),
                      .m_sequence = 4,
                      .m_region = RegionId("r"),
                      .m_zone = AvailabilityZoneId("z"),
                      .m_callerAddress = AddressOf(1),
                      .m_peerAddress = AddressOf(2),
                      .m_isReady = true,
                      .m_isDraining = true,
                      .m_capacity = 0.25,
                      .m_configVersion = SectionVersion(8),
                      .m_readsStore = true };
  const TopicVersion version{ .m_epoch = StoreEpoch(2), .m_revision = 3 };
  record.m_publishedVersions.emplace("op/", version);
  record.m_publishedFingerprints.emplace("op/", 17);
  record.m_usages[ClientAccountId("anna")] = { .m_demand = 120,
                                               .m_admitted = 9'000 };
  record.m_pools[PoolId("p")].m_startDelay = milliseconds(40);
  const PoolDemand demand{ .m_arrivals = RequestRate(12.5),
                           .m_capacity = RequestRate(200) };
  record.m_pools[PoolId("p")].m_demand = demand;
  record.m_serverLimits[BackendServerId("s@1")] = { .m_rate = RequestRate(2.5),
                                                    .m_version = 3 };
  record.m_serverLimits[BackendServerId("t@1")] = { .m_version = 4 };
  record.m_drainingServers = { BackendServerId("s@1"), BackendServerId("u@2") };
  record.m_membersToIntroduce = { InstanceId("j"), InstanceId("k") };
  record.m_unreachablePools = { PoolId("p"), PoolId("q") };
  record.m_refusingServers = { BackendServerId("s@1"), BackendServerId("t@2") };
  record.m_maxRefusals = { { PoolId("p"), RequestRate(7.5) } };
  record.m_refusedRooms = { { BackendServerId("s@1"),
                              { .m_room = 5, .m_version = 2 } } };
  const std::vector<FleetMember> records =
    FleetMembersFromJson(ToJson({ record }));
  REQUIRE(records.size() == 1);
  CHECK(records[0].m_incarnation == record.m_incarnation);
  CHECK(records[0].m_sequence == 4);
  CHECK(records[0].m_peerAddress == record.m_peerAddress);
  CHECK(records[0].m_isDraining);
  CHECK(records[0].m_readsStore);
  CHECK(records[0].m_capacity == 0.25);
  CHECK(records[0].m_configVersion == SectionVersion(8));
  CHECK(records[0].m_publishedVersions.at("op/") == version);
  CHECK(records[0].m_publishedFingerprints == record.m_publishedFingerprints);
  const AccountUsage& usage = records[0].m_usages.at(ClientAccountId("anna"));
  CHECK(usage.m_demand == 120);
  CHECK(usage.m_admitted == 9'000);
  CHECK(records[0].m_pools.at(PoolId("p")).m_startDelay == milliseconds(40));
  CHECK(records[0].m_pools.at(PoolId("p")).m_demand == demand);
  CHECK(records[0].m_serverLimits == record.m_serverLimits);
  CHECK(records[0].m_drainingServers == record.m_drainingServers);
  CHECK(records[0].m_membersToIntroduce == record.m_membersToIntroduce);
  CHECK(records[0].m_unreachablePools == record.m_unreachablePools);
  CHECK(records[0].m_refusingServers == record.m_refusingServers);
  CHECK(records[0].m_maxRefusals == record.m_maxRefusals);
  CHECK(records[0].m_refusedRooms == record.m_refusedRooms);
}

TEST_CASE("the quarantine travels with a message")
{
  const std::vector<SuspectReport> reports = {
    { .m_suspect = PromptPartSuspect("a"),
      .m_requestAge = milliseconds(70),
      .m_breaks = { { .m_server = { .m_incarnation = BackendServerId("e@1"),
                                    .m_software = "engines v1" },
                      .m_age = milliseconds(1'200),
                      .m_isExcused = true,
                      .m_wasAnswered = true } } },
  };
  Json::Value message(Json::objectValue);
  AddQuarantine({}, message);
  CHECK_FALSE(message.isMember("quarantine"));
  CHECK(QuarantineFromJson(message).empty());
  AddQuarantine(reports, message);
  const std::vector<SuspectReport> decoded = QuarantineFromJson(message);
  REQUIRE(decoded.size() == 1);
  REQUIRE(decoded[0].m_breaks.size() == 1);
  const BreakReport& broken = decoded[0].m_breaks[0];
  CHECK(decoded[0].m_suspect == reports[0].m_suspect);
  CHECK(decoded[0].m_requestAge == milliseconds(70));
  CHECK(broken.m_server.m_incarnation == BackendServerId("e@1"));
  CHECK(broken.m_server.m_software == "engines v1");
  CHECK(broken.m_age == milliseconds(1'200));
  CHECK(broken.m_isExcused);
  CHECK(broken.m_wasAnswered);
  for (const char* entry : { "3",
                             "{}",
                             R"({"part":1,"asked_ms":-1,"breaks":[]})",
                             R"({"part":1,"asked_ms":1e18,"breaks":[]})",
                             R"({"part":"x","asked_ms":1,"breaks":[]})",
                             R"({"part":1,"asked_ms":1,"breaks":{}})",
                             R"({"part":1,"asked_ms":1,"breaks":[[1]]})" }) {
    INFO(entry);
    Json::Value broken = message;
    broken["quarantine"][0] = *ParseJson(entry);
    CHECK_THROWS_AS(QuarantineFromJson(broken), RpcError);
  }
}

TEST_CASE("requests in the quarantine travel in a field of their own")
{
  const ClientAccountId account("anna");
  const std::vector<SuspectReport> reports = {
    { .m_suspect = RequestSuspect({ .m_account = account }),
      .m_requestAge = milliseconds(70),
      .m_breaks = { { .m_server = { .m_incarnation = BackendServerId("s@1"),
                                    .m_software = "plain v1" },
                      .m_age = milliseconds(1'200) } } },
  };
  Json::Value message(Json::objectValue);
  AddQuarantine(reports, message);
  // Earlier releases reject a message with an unknown entry in this field.
  CHECK_FALSE(message.isMember("quarantine"));
  const std::vector<SuspectReport> decoded = QuarantineFromJson(message);
  REQUIRE(decoded.size() == 1);
  CHECK(decoded[0].m_suspect == reports[0].m_suspect);
  CHECK(decoded[0].m_breaks.size() == 1);
  for (const char* entry :
       { "3", "{}", R"({"request":1,"asked_ms":1,"breaks":[]})" }) {
    INFO(entry);
    Json::Value broken = message;
    broken["quarantined_requests"][0] = *ParseJson(entry);
    CHECK_THROWS_AS(QuarantineFromJson(broken), RpcError);
  }
}

TEST_CASE(
  "an invalid message is rejected with the field name and changes nothing")
{
  Json::Value message = ToJson(std::vector<FleetMember>{ {
    .m_id = InstanceId("i"),
    .m_region = RegionId("r"),
    .m_zone = AvailabilityZoneId("z"),
    .m_callerAddress = AddressOf(1),
    .m_peerAddress = AddressOf(2),
  } });
  message["rows"][0].removeMember("seq");
  CHECK_THROWS_WITH(FleetMembersFromJson(message), "seq: is missing");
  message["rows"][0]["seq"] = "4";
  CHECK_THROWS_WITH(FleetMembersFromJson(message),
                    "seq: expected a non-negative integer");
  CHECK_THROWS_AS(FleetMembersFromJson(Json::Value(3)), RpcError);
  for (const char* usage : { "a", "a=1", "a=1:", "a=1:2", "a=x:2,", "=1:2;" }) {
    INFO(usage);
    Json::Value broken = message;
    broken["rows"][0]["seq"] = 4;
    broken["rows"][0]["usage"] = usage;
    CHECK_THROWS_WITH(FleetMembersFromJson(broken),
                      "usage: expected ACCOUNT=DEMAND:ADMITTED,");
  }
  for (const char* limit : { "3", "[1]", "[1,-2]", "[1,\"x\"]", "[-1,2]" }) {
    INFO(limit);
    Json::Value broken = message;
    broken["rows"][0]["seq"] = 4;
    broken["rows"][0]["limits"]["s"] = *ParseJson(limit);
    CHECK_THROWS_WITH(FleetMembersFromJson(broken),
                      "limits: expected [VERSION, RATE or null]");
  }
  for (const char* members : { "3", "\"j\"", "[1]", "{}" }) {
    INFO(members);
    Json::Value broken = message;
    broken["rows"][0]["seq"] = 4;
    for (const char* name : { "introduce", "draining" }) {
      Json::Value wrong = broken;
      wrong["rows"][0][name] = *ParseJson(members);
      CHECK_THROWS_WITH(FleetMembersFromJson(wrong),
                        std::string(name) + ": expected an array of strings");
    }
  }
  Fixture fixture(1);
  const std::string response = fixture.m_instances[0]->m_gossip.HandleCall(
    EncodeRpcRequest(kGossipMethod, message));
  CHECK(response.find("seq: expected a non-negative integer") !=
        std::string::npos);
  CHECK(fixture.m_instances[0]->m_fleet.LivePeers().empty());
}

} // namespace
} // namespace rattanweir
