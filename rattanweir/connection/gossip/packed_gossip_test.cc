#include "rattanweir/base/asio/asio.h"

#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/base/json/json.h"
#include "rattanweir/connection/gossip/gossip.h"
#include "rattanweir/connection/gossip/gossip_messages.h"
#include "rattanweir/connection/gossip/packed_gossip.h"
#include "testing/gossip_network/gossip_network.h"

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <functional>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ClientAccountId kAccount("anna");
const TopicId kTopic("servers/");

FleetMember
MemberOf(int aNumber)
{
  const std::string number = std::to_string(aNumber);
  FleetMember record{
    .m_id = InstanceId("i" + number),
    .m_incarnation = Incarnation(1'700'000'000'123),
    .m_sequence = 4,
    .m_region = RegionId("r"),
    .m_zone = AvailabilityZoneId("z"),
    .m_callerAddress = { .m_address = "10.0.1." + number, .m_port = 9 },
    .m_peerAddress = { .m_address = "10.0.0." + number, .m_port = 9 },
    .m_isReady = true,
    .m_isDraining = true,
    .m_capacity = 0.25,
    .m_configVersion = SectionVersion(8),
    .m_readsStore = true,
  };
  record.m_publishedVersions.emplace(
    "op/", TopicVersion{ .m_epoch = StoreEpoch(2), .m_revision = 3 });
  record.m_publishedFingerprints.emplace("op/", ~0ULL);
  record.m_publishedVersions.emplace(
    "servers/", TopicVersion{ .m_epoch = StoreEpoch(2), .m_revision = 5 });
  record.m_usages[kAccount] = { .m_demand = 120, .m_admitted = 9'000 };
  record.m_usages[ClientAccountId("bert")] = { .m_demand = 0, .m_admitted = 1 };
  record.m_pools[PoolId("p")].m_startDelay = milliseconds(40);
  record.m_serverLimits[BackendServerId("s@1")] = { .m_rate = RequestRate(2.5),
                                                    .m_version = 3 };
  record.m_serverLimits[BackendServerId("t@1")] = { .m_version = 4 };
  record.m_drainingServers = { BackendServerId("s@1"), BackendServerId("u@2") };
  record.m_membersToIntroduce = { InstanceId("j"), InstanceId("k") };
  return record;
}

// Calls `aRead` with the value that `aWrite` writes, after `aDamage` has
// changed its bytes.
void
Transfer(
  const WritePacked& aWrite,
  const ReadPacked& aRead,
  const std::function<void(std::string&)>& aDamage = [](std::string&) {})
{
  PackedBuffer buffer;
  PackedWriter writer(buffer);
  aWrite(writer);
  aDamage(buffer.m_bytes);
  const msgpack::object_handle handle =
    msgpack::unpack(buffer.m_bytes.data(), buffer.m_bytes.size());
  aRead(handle.get());
}

struct View
{
  ManualClock m_clock;
  FleetView m_fleet{ { .m_clock = m_clock, .m_self = MemberOf(0) } };
};

std::vector<FleetMember>
Transfer(const std::vector<OutgoingRecord>& aRecords, const FleetView& aFleet)
{
  std::vector<FleetMember> read;
  Transfer(
    [&](PackedWriter& aWriter) { WriteRecords(aRecords, aWriter); },
    [&](const PackedValue& aValue) { read = ReadRecords(aValue, aFleet); });
  return read;
}

TEST_CASE("a member record is the same after packing and unpacking")
{
  const View view;
  const FleetMember record = MemberOf(1);
  const auto read =
    Transfer({ OutgoingRecord{ .m_record = record } }, view.m_fleet);
  REQUIRE(read.size() == 1);
  CHECK(JsonText(ToJson(read)) ==
        JsonText(ToJson(std::vector<FleetMember>{ record })));
  const auto abridged =
    Transfer({ OutgoingRecord{ .m_record = record, .m_isAbridged = true } },
             view.m_fleet);
  CHECK(abridged.at(0).m_region.IsEmpty());
  CHECK(abridged.at(0).m_usages.size() == 2);
}

TEST_CASE("records that the receiver knows are read no further than their "
          "sequence number")
{
  View view;
  const FleetMember sender = MemberOf(1);
  FleetMember other = MemberOf(2);
  view.m_fleet.Merge(std::vector{ sender, other }, sender.m_id);
  const auto transfer = [&] {
    return Transfer({ OutgoingRecord{ .m_record = sender },
                      OutgoingRecord{ .m_record = other } },
                    view.m_fleet);
  };
  CHECK(transfer().at(0).m_usages.size() == 2);
  CHECK(transfer().at(1).m_usages.empty());
  CHECK(transfer().at(1).m_sequence == 4);
  other.m_sequence = 5;
  CHECK(transfer().at(1).m_usages.size() == 2);
  other.m_sequence = 1;
  other.m_incarnation = Incarnation(1'700'000'000'456);
  CHECK(transfer().at(1).m_usages.size() == 2);
}

TEST_CASE("the quarantine is the same after packing and unpacking")
{
  const std::vector<SuspectReport> reports = {
    { .m_suspect = PromptPartSuspect("a"),
      .m_requestAge = milliseconds(70),
      .m_breaks = { { .m_server = { .m_incarnation = BackendServerId("e@1"),
                                    .m_software = "engines v1" },
                      .m_age = milliseconds(1'200),
                      .m_isExcused = true,
                      .m_wasAnswered = true } } },
    { .m_suspect = RequestSuspect({ .m_account = kAccount }) },
  };
  std::vector<SuspectReport> read;
  Transfer([&](PackedWriter& aWriter) { WriteSuspects(reports, aWriter); },
           [&](const PackedValue& aValue) { read = ReadSuspects(aValue); });
  Json::Value expected;
  Json::Value actual;
  AddQuarantine(reports, expected);
  AddQuarantine(read, actual);
  CHECK(JsonText(actual) == JsonText(expected));
}

TEST_CASE("updates of a topic are the same after packing and unpacking")
{
  const auto transfer = [](const TopicUpdate& aUpdate) {
    TopicUpdate read;
    Transfer(
      [&](PackedWriter& aWriter) { WriteTopicUpdate(aUpdate, aWriter); },
      [&](const PackedValue& aValue) { read = ReadTopicUpdate(aValue); });
    return read;
  };
  const std::vector<ItemChange> changes = {
    { .m_key = "servers/a", .m_value = "1", .m_revision = 7 },
    { .m_key = "servers/b",
      .m_removal = RemovalReason::Lapsed,
      .m_revision = 8 },
  };
  const TopicUpdate readChanges = transfer(changes);
  REQUIRE(std::holds_alternative<std::vector<ItemChange>>(readChanges));
  CHECK(JsonText(ToJson(std::get<std::vector<ItemChange>>(readChanges))) ==
        JsonText(ToJson(changes)));
  const TopicSnapshot snapshot{
    .m_version = { .m_epoch = StoreEpoch(2), .m_revision = 9 },
    .m_items = { { "servers/a", "1" }, { "servers/b", "" } },
    .m_revisions = { { "servers/a", 7 } },
  };
  const TopicUpdate readSnapshot = transfer(snapshot);
  REQUIRE(std::holds_alternative<TopicSnapshot>(readSnapshot));
  CHECK(JsonText(ToJson(std::get<TopicSnapshot>(readSnapshot))) ==
        JsonText(ToJson(snapshot)));
}

struct Instance
{
  explicit Instance(int aNumber)
    : m_fleet({ .m_clock = SystemClock(), .m_self = MemberOf(aNumber) })
    , m_gossip({ .m_executor = m_context.get_executor(),
                 .m_clock = SystemClock(),
                 .m_random = m_random,
                 .m_upstream = m_network,
                 .m_fleet = m_fleet,
                 .m_published = m_published,
                 .m_metrics = m_metrics,
                 .m_updateSelf = [] {} })
  {
  }

  asio::io_context m_context;
  testing::GossipNetwork m_network;
  RandomEngine m_random{ 1 };
  FleetView m_fleet;
  PublishedItems m_published;
  Metrics m_metrics;
  Gossip m_gossip;
};

std::string
GossipCallOf(const FleetMember& aSender)
{
  return EncodePackedCall(kGossipMethod, [&](PackedWriter& aWriter) {
    aWriter.pack_array(2);
    WriteRecords({ OutgoingRecord{ .m_record = aSender } }, aWriter);
    WriteSuspects({}, aWriter);
  });
}

TEST_CASE("a damaged packed message changes nothing")
{
  const std::string call = GossipCallOf(MemberOf(1));
  // All bytes behind the method and the array of the message.
  for (std::size_t position = 10; position < call.size(); ++position) {
    Instance instance(0);
    const std::string response =
      instance.m_gossip.HandleCall(call.substr(0, position));
    CAPTURE(position);
    CHECK_THROWS_AS(DecodePackedResponse(response, [](const PackedValue&) {}),
                    RpcError);
    CHECK(instance.m_fleet.LivePeers().empty());
  }
  Instance instance(0);
  CHECK_NOTHROW(DecodePackedResponse(instance.m_gossip.HandleCall(call),
                                     [](const PackedValue&) {}));
  CHECK(instance.m_fleet.LivePeers().size() == 1);
}

TEST_CASE("a peer of an earlier release gossips in JSON")
{
  Instance instance(0);
  const Json::Value message = ToJson(std::vector<FleetMember>{ MemberOf(1) });
  const std::vector<FleetMember> records =
    FleetMembersFromJson(DecodeRpcResponse(
      instance.m_gossip.HandleCall(EncodeRpcRequest(kGossipMethod, message))));
  CHECK(records.at(0).m_id == InstanceId("i0"));
  CHECK(instance.m_fleet.LivePeers().size() == 1);
}

// Instances that gossip in one process.
struct Fleet
{
  struct Member
  {
    Member(int aNumber, Fleet& aFleet)
      : m_fleet({ .m_clock = SystemClock(), .m_self = MemberOf(aNumber) })
      , m_gossip({ .m_executor = aFleet.m_context.get_executor(),
                   .m_clock = SystemClock(),
                   .m_random = m_random,
                   .m_upstream = aFleet.m_network,
                   .m_fleet = m_fleet,
                   .m_published = m_published,
                   .m_metrics = m_metrics,
                   .m_interval = milliseconds(5),
                   .m_updateSelf = [this] {
                     AdvertiseTopics(m_published, m_fleet.Self());
                   } })
    {
      aFleet.m_network.m_gossips.emplace(MemberOf(aNumber).m_peerAddress,
                                         &m_gossip);
      m_fleet.SetSeeds({ MemberOf(1).m_peerAddress });
    }

    RandomEngine m_random{ 1 };
    FleetView m_fleet;
    PublishedItems m_published;
    Metrics m_metrics;
    Gossip m_gossip;
  };

  explicit Fleet(int aMembers)
  {
    for (int number = 1; number <= aMembers; ++number) {
      m_members.push_back(std::make_unique<Member>(number, *this));
    }
  }

  ~Fleet()
  {
    for (const auto& member : m_members) {
      member->m_gossip.Stop();
    }
    m_context.restart();
    m_context.run_for(seconds(5));
  }

  // Returns whether the condition holds within a time that only a fault
  // exceeds.
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const SteadyTime end = SystemClock().SteadyNow() + seconds(20);
    while (!aCondition() && SystemClock().SteadyNow() < end) {
      m_context.restart();
      m_context.run_for(milliseconds(5));
    }
    return aCondition();
  }

  asio::io_context m_context;
  testing::GossipNetwork m_network;
  std::vector<std::unique_ptr<Member>> m_members;
};

TEST_CASE("instances of two releases discover each other and share topics")
{
  Fleet fleet(4);
  // These answer what they don't understand like an earlier release.
  for (const int number : { 1, 3 }) {
    fleet.m_network.m_jsonOnly.insert(MemberOf(number).m_peerAddress);
  }
  fleet.m_members[0]->m_published.Apply(
    kTopic,
    StoreEpoch(1),
    { { .m_key = "servers/a", .m_value = "1", .m_revision = 7 } });
  for (const auto& member : fleet.m_members) {
    member->m_gossip.Start();
  }
  CHECK(fleet.RunUntil([&] {
    return std::ranges::all_of(fleet.m_members, [](const auto& aMember) {
      return aMember->m_fleet.LivePeers().size() == 3 &&
             aMember->m_published.VersionOf(kTopic).m_revision == 7;
    });
  }));
  const Metrics& metrics = fleet.m_members[1]->m_metrics;
  CHECK(metrics.Counter("rattanweir_control_json_calls_total") > 0);
}

// Reads a record of which the last fields, which are empty, were left out.
FleetMember
ReadWithoutLastFields(const FleetMember& aRecord,
                      std::size_t aFields,
                      const std::string& aSize)
{
  const View view;
  std::vector<FleetMember> read;
  Transfer(
    [&](PackedWriter& aWriter) {
      WriteRecords({ OutgoingRecord{ .m_record = aRecord } }, aWriter);
    },
    [&](const PackedValue& aValue) {
      read = ReadRecords(aValue, view.m_fleet);
    },
    [&](std::string& aBytes) {
      const std::string arrayOf18("\xdc\x00\x12", 3);
      constexpr char kEmptyArray = '\x90';
      for (std::size_t field = 0; field < aFields; ++field) {
        REQUIRE(aBytes.back() == kEmptyArray);
        aBytes.pop_back();
      }
      REQUIRE(aBytes.substr(1, 3) == arrayOf18);
      aBytes.replace(1, 3, aSize);
    });
  REQUIRE(read.size() == 1);
  return read[0];
}

TEST_CASE("records of earlier releases, without the last fields, are "
          "understood")
{
  const std::string arrayOf14 = "\x9e";
  const FleetMember oldest = ReadWithoutLastFields(MemberOf(1), 4, arrayOf14);
  CHECK(oldest.m_membersToIntroduce.size() == 2);
  CHECK(oldest.m_unreachablePools.empty());
  const std::string arrayOf17("\xdc\x00\x11", 3);
  FleetMember record = MemberOf(1);
  record.m_refusedRooms = { { BackendServerId("s@1"), { .m_room = 5 } } };
  const FleetMember older = ReadWithoutLastFields(record, 1, arrayOf17);
  CHECK(older.m_membersToIntroduce.size() == 2);
  CHECK(older.m_refusedRooms == record.m_refusedRooms);
}

TEST_CASE("reach and room of servers are the same after packing and unpacking")
{
  const View view;
  FleetMember record = MemberOf(1);
  record.m_unreachablePools = { PoolId("p"), PoolId("q") };
  record.m_refusingServers = { BackendServerId("s@1"), BackendServerId("t@2") };
  record.m_maxRefusals = { { PoolId("p"), RequestRate(7.5) } };
  record.m_refusedRooms = { { BackendServerId("s@1"),
                              { .m_room = 5, .m_version = 2 } } };
  const auto read =
    Transfer({ OutgoingRecord{ .m_record = record } }, view.m_fleet);
  CHECK(read.at(0).m_unreachablePools == record.m_unreachablePools);
  CHECK(read.at(0).m_refusingServers == record.m_refusingServers);
  CHECK(read.at(0).m_maxRefusals == record.m_maxRefusals);
  CHECK(read.at(0).m_refusedRooms == record.m_refusedRooms);
}

} // namespace
} // namespace rattanweir
