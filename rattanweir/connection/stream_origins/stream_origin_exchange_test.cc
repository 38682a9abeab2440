#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/stream_origins/stream_origin_exchange.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const StreamOrigin kOrigin{ .m_pool = PoolId("p"), .m_version = "v1" };

class ImmediateExchange final : public UpstreamExchange
{
public:
  explicit ImmediateExchange(std::string aBody)
    : m_body(std::move(aBody))
  {
  }
  Task<ResponseHead> ReadHead() override
  {
    co_return ResponseHead{ .m_status = 200 };
  }
  Task<std::optional<std::string>> ReadChunk() override
  {
    co_return std::exchange(m_body, std::nullopt);
  }

private:
  std::optional<std::string> m_body;
};

// Connects the instances that run.
struct Network
{
  std::map<Endpoint, PackedDispatcher*> m_instances;
  // Pairs of instances between which calls get no response.
  std::set<std::pair<Endpoint, Endpoint>> m_cuts;
  std::size_t m_calls = 0;
  std::size_t m_bytes = 0;
};

// An instance's side of the network.
class NetworkSide final : public Upstream
{
public:
  NetworkSide(Network& aNetwork, Endpoint aSelf)
    : m_network(aNetwork)
    , m_self(std::move(aSelf))
  {
  }

  Task<std::unique_ptr<UpstreamExchange>> Send(
    Endpoint aEndpoint,
    OutboundRequest aRequest,
    CancelSource& /*aCancel*/) override
  {
    const auto found = m_network.m_instances.find(aEndpoint);
    if (m_network.m_cuts.contains({ m_self, aEndpoint })) {
      throw RequestError(ResultCode::DeadlineExceeded, "silent");
    }
    if (found == m_network.m_instances.end()) {
      throw ConnectionRefused("no process listens");
    }
    ++m_network.m_calls;
    m_network.m_bytes += aRequest.m_body->size();
    co_return std::make_unique<ImmediateExchange>(
      found->second->Handle(*aRequest.m_body));
  }

private:
  Network& m_network;
  Endpoint m_self;
};

FleetMember
MemberOf(std::size_t aIndex, std::size_t aZones)
{
  return { .m_id = InstanceId("i" + std::to_string(aIndex)),
           .m_incarnation = Incarnation(1),
           .m_sequence = 1,
           .m_region = RegionId("r" + std::to_string(aIndex % aZones)),
           .m_zone = AvailabilityZoneId("z" + std::to_string(aIndex % aZones)),
           .m_peerAddress = { .m_address = "10.0.0.1",
                              .m_port =
                                static_cast<std::uint16_t>(1'000 + aIndex) } };
}

// The time of a process that has run for longer than the test.
struct AgedClock final : public Clock
{
  SteadyTime SteadyNow() const override
  {
    return SystemClock().SteadyNow() + m_age;
  }
  WallTime WallNow() const override { return SystemClock().WallNow(); }

  milliseconds m_age{};
};

// All instances of a test share one thread, which may be late. Only tests of
// instances that stand still let them notice that.
constexpr std::chrono::hours kNeverStandsStill{ 24 };

struct Instance
{
  Instance(asio::io_context& aContext,
           Network& aNetwork,
           const FleetMember& aSelf,
           std::chrono::nanoseconds aMaxStandstill)
    : m_side(aNetwork, aSelf.m_peerAddress)
    , m_fleet({ .m_clock = SystemClock(), .m_self = aSelf })
    , m_caller({ .m_upstream = m_side,
                 .m_clock = SystemClock(),
                 .m_metrics = m_metrics })
    , m_exchange({ .m_executor = aContext.get_executor(),
                   .m_clock = m_clock,
                   .m_caller = m_caller,
                   .m_fleet = m_fleet,
                   .m_metrics = m_metrics,
                   .m_dispatcher = m_dispatcher,
                   .m_jsonDispatcher = m_jsonDispatcher,
                   .m_batchInterval = milliseconds(5),
                   .m_askTimeout = seconds(20),
                   .m_retryDelay = milliseconds(20),
                   .m_maxStandstill = aMaxStandstill })
  {
  }

  AgedClock m_clock;
  NetworkSide m_side;
  FleetView m_fleet;
  Metrics m_metrics;
  ControlCaller m_caller;
  PackedDispatcher m_dispatcher;
  RpcDispatcher m_jsonDispatcher;
  StreamOriginExchange m_exchange;
};

class Fleet
{
public:
  Fleet(std::size_t aInstances,
        std::size_t aZones,
        milliseconds aAge = milliseconds(0),
        std::chrono::nanoseconds aMaxStandstill = kNeverStandsStill)
    : m_maxStandstill(aMaxStandstill)
  {
    for (std::size_t index = 0; index < aInstances; ++index) {
      m_members.push_back(MemberOf(index, aZones));
    }
    for (std::size_t index = 0; index < aInstances; ++index) {
      m_instances.push_back(Start(index));
    }
    // The processes have run for this time already.
    for (milliseconds age{}; age < aAge;) {
      age = std::min(age + milliseconds(300), aAge);
      for (const auto& instance : m_instances) {
        instance->m_clock.m_age = age;
      }
      Run(milliseconds(7));
    }
  }

  ~Fleet()
  {
    for (const auto& instance : m_instances) {
      instance->m_exchange.Stop();
    }
    Run(milliseconds(20));
  }

  std::unique_ptr<Instance> Start(std::size_t aIndex)
  {
    const FleetMember& self = m_members[aIndex];
    auto instance =
      std::make_unique<Instance>(m_context, m_network, self, m_maxStandstill);
    instance->m_fleet.Merge(m_members, self.m_id);
    instance->m_exchange.Start();
    m_network.m_instances[self.m_peerAddress] = &instance->m_dispatcher;
    return instance;
  }

  // Replaces the process of an instance by one that knows no streams.
  void Restart(std::size_t aIndex)
  {
    m_instances[aIndex]->m_exchange.Stop();
    m_ended.push_back(std::move(m_instances[aIndex]));
    m_instances[aIndex] = Start(aIndex);
  }

  void Run(milliseconds aDuration)
  {
    m_context.restart();
    m_context.run_for(aDuration);
  }

  // Runs the fleet until the condition holds, or for a time that only a fault
  // exceeds.
  void RunUntil(const std::function<bool()>& aCondition)
  {
    constexpr int kMaxSteps = 4'000;
    for (int step = 0; step < kMaxSteps && !aCondition(); ++step) {
      Run(milliseconds(5));
    }
    CHECK(aCondition());
  }

  // Returns the sum of the streams that the instances know.
  std::size_t Known() const
  {
    std::size_t known = 0;
    for (const auto& instance : m_instances) {
      known += instance->m_exchange.Size();
    }
    return known;
  }

  // Records streams at an instance and waits until its partners know them.
  // Returns their keys.
  std::vector<StreamKey> Begin(std::size_t aInstance, std::size_t aCount)
  {
    std::vector<StreamKey> keys;
    const std::size_t before = Known();
    for (std::size_t stream = 0; stream < aCount; ++stream) {
      keys.push_back(StreamKeyOf(
        ClientAccountId("anna"),
        RequestId(std::to_string(aInstance) + "-" + std::to_string(stream))));
      m_instances[aInstance]->m_exchange.Record(
        keys.back(), kOrigin, seconds(60));
    }
    const std::size_t copies = std::min<std::size_t>(3, m_instances.size());
    RunUntil([&] { return Known() == before + copies * aCount; });
    return keys;
  }

  // Cuts an instance off from the others, or connects it again.
  void SetCut(std::size_t aInstance,
              const std::vector<std::size_t>& aOthers,
              bool aIsCut)
  {
    const Endpoint& self = m_members[aInstance].m_peerAddress;
    for (const std::size_t other : aOthers) {
      const Endpoint& peer = m_members[other].m_peerAddress;
      for (const auto& pair :
           { std::pair(self, peer), std::pair(peer, self) }) {
        if (aIsCut) {
          m_network.m_cuts.insert(pair);
        } else {
          m_network.m_cuts.erase(pair);
        }
      }
    }
  }

  // Cuts an instance off from all others, or connects it again.
  void SetIsolated(std::size_t aInstance, bool aIsCut)
  {
    std::vector<std::size_t> others;
    for (std::size_t index = 0; index < m_members.size(); ++index) {
      if (index != aInstance) {
        others.push_back(index);
      }
    }
    SetCut(aInstance, others, aIsCut);
  }

  void End(std::size_t aInstance)
  {
    m_network.m_instances.erase(MemberOf(aInstance, 1).m_peerAddress);
  }

  // Returns how many of the streams this instance finds.
  std::size_t Find(std::size_t aInstance, const std::vector<StreamKey>& aKeys)
  {
    std::size_t found = 0;
    std::size_t ended = 0;
    for (const StreamKey key : aKeys) {
      asio::co_spawn(m_context,
                     m_instances[aInstance]->m_exchange.Find(
                       key, SystemClock().SteadyNow() + seconds(20)),
                     [&](const std::exception_ptr& aError,
                         const std::optional<StreamOrigin>& aOrigin) {
                       CHECK_FALSE(aError);
                       found += aOrigin == kOrigin ? 1 : 0;
                       ++ended;
                     });
    }
    RunUntil([&] { return ended == aKeys.size(); });
    return found;
  }

  std::optional<StreamOrigin> FindCommon(std::size_t aInstance,
                                         StreamKey aKey,
                                         milliseconds aMaxAge = milliseconds(0))
  {
    std::optional<StreamOrigin> found;
    bool hasEnded = false;
    asio::co_spawn(m_context,
                   m_instances[aInstance]->m_exchange.FindCommon(
                     aKey, aMaxAge, SystemClock().SteadyNow() + seconds(60)),
                   [&](const std::exception_ptr&,
                       const std::optional<StreamOrigin>& aOrigin) {
                     found = aOrigin;
                     hasEnded = true;
                   });
    RunUntil([&] { return hasEnded; });
    return found;
  }

  std::chrono::nanoseconds m_maxStandstill;
  asio::io_context m_context;
  Network m_network;
  std::vector<FleetMember> m_members;
  std::vector<std::unique_ptr<Instance>> m_instances;
  // Processes that were replaced.
  std::vector<std::unique_ptr<Instance>> m_ended;
};

TEST_CASE(
  "every instance finds a stream, also after the one that began it ended")
{
  for (const std::size_t instances : { 2U, 8U, 60U }) {
    INFO(instances << " instances");
    Fleet fleet(instances, 3);
    const std::vector<StreamKey> keys = fleet.Begin(0, 50);
    CHECK(fleet.Find(1, keys) == 50);
    CHECK(fleet.Find(instances - 1, keys) == 50);
    fleet.End(0);
    CHECK(fleet.Find(1, keys) == 50);
  }
}

TEST_CASE("streams outlive the loss of an availability zone")
{
  Fleet fleet(9, 3);
  const std::vector<StreamKey> keys = fleet.Begin(0, 50);
  for (const std::size_t instance : { 0U, 3U, 6U }) {
    fleet.End(instance);
  }
  CHECK(fleet.Find(1, keys) == 50);
  CHECK(fleet.Find(8, keys) == 50);
}

TEST_CASE(
  "streams with a common key are found only if they began at one version")
{
  Fleet fleet(8, 3);
  const StreamKey common = StreamKeyOfContent(7);
  for (const std::size_t instance : { 0U, 1U }) {
    fleet.m_instances[instance]->m_exchange.Record(
      common, kOrigin, seconds(60));
  }
  fleet.RunUntil([&] { return fleet.Known() >= 5; });
  CHECK(fleet.FindCommon(0, common) == kOrigin);
  CHECK(fleet.FindCommon(5, common) == kOrigin);
  const StreamOrigin other{ .m_pool = kOrigin.m_pool, .m_version = "v2" };
  fleet.m_instances[2]->m_exchange.Record(common, other, seconds(60));
  fleet.Run(milliseconds(300));
  for (std::size_t instance = 0; instance < 8; ++instance) {
    CHECK_FALSE(fleet.FindCommon(instance, common));
  }
}

// Callers take up streams that began before some instances ended, while another
// stream with the same content has begun since at another version.
struct TakeUps
{
  std::size_t m_joined = 0;
  std::size_t m_goOn = 0;
};

TakeUps
CountTakeUps(std::size_t aInstances,
             std::size_t aVersions,
             const std::function<bool(std::size_t)>& aIsRestarted)
{
  constexpr std::size_t kStreams = 12;
  Fleet fleet(aInstances, 3, milliseconds(10'000));
  const auto originOf = [&](std::size_t aStream) {
    return StreamOrigin{ .m_pool = kOrigin.m_pool,
                         .m_version =
                           "v" + std::to_string(aStream % aVersions) };
  };
  const auto keyOf = [](std::size_t aStream) {
    return StreamKeyOfContent(100 + aStream);
  };
  for (std::size_t stream = 0; stream < kStreams; ++stream) {
    fleet.m_instances[stream * 5 % aInstances]->m_exchange.Record(
      keyOf(stream), originOf(stream), seconds(60));
  }
  fleet.RunUntil([&] { return fleet.Known() >= 3 * kStreams; });
  for (std::size_t index = 0; index < aInstances; ++index) {
    if (aIsRestarted(index)) {
      fleet.Restart(index);
    }
  }
  // Each second stream has a twin that begins after the restart.
  for (std::size_t stream = 0; stream < kStreams; stream += 2) {
    fleet.m_instances[stream * 7 % aInstances]->m_exchange.Record(
      keyOf(stream), originOf(stream + 1), seconds(60));
  }
  fleet.Run(milliseconds(100));
  TakeUps takeUps;
  for (std::size_t stream = 0; stream < kStreams; ++stream) {
    const auto found = fleet.FindCommon(
      (stream * 11 + 1) % aInstances, keyOf(stream), milliseconds(8'000));
    takeUps.m_joined += found && found != originOf(stream) ? 1 : 0;
    takeUps.m_goOn += found == originOf(stream) ? 1 : 0;
  }
  return takeUps;
}

TEST_CASE("no stream is joined from two versions, whichever instances restart")
{
  for (const std::size_t instances : { 8U, 65U, 195U }) {
    for (const std::size_t versions : { 2U, 3U }) {
      CAPTURE(instances, versions);
      const TakeUps none =
        CountTakeUps(instances, versions, [](std::size_t) { return false; });
      CHECK(none.m_joined == 0);
      CHECK(none.m_goOn == 6);
      const TakeUps one = CountTakeUps(
        instances, versions, [](std::size_t aIndex) { return aIndex == 3; });
      CHECK(one.m_joined == 0);
      CHECK(one.m_goOn == 6);
      const TakeUps region =
        CountTakeUps(instances, versions, [](std::size_t aIndex) {
          return aIndex % 3 == 0;
        });
      CHECK(region.m_joined == 0);
      const TakeUps all =
        CountTakeUps(instances, versions, [](std::size_t) { return true; });
      CHECK(all.m_joined == 0);
    }
  }
}

enum class OutOfStep
{
  // Cut off from all others until after the take-up.
  Cut,
  // The same, and connected again before the take-up.
  CutBefore,
  // Stood still.
  Frozen,
};

// Guards against streams that go on at another version at an instance that has
// missed what others told it.
TEST_CASE("an instance that was out of step joins no streams")
{
  constexpr std::size_t kSeeker = 0;
  constexpr milliseconds kMaxAge{ 2'000 };
  const StreamOrigin other{ .m_pool = kOrigin.m_pool, .m_version = "v2" };
  struct Row
  {
    OutOfStep m_fault;
    // The instance that began the stream ends before the take-up.
    bool m_hasEnded;
  };
  const Row rows[] = {
    { OutOfStep::Cut, false },       { OutOfStep::Cut, true },
    { OutOfStep::CutBefore, false }, { OutOfStep::CutBefore, true },
    { OutOfStep::Frozen, false },    { OutOfStep::Frozen, true },
  };
  for (const std::size_t instances : { 2U, 3U, 4U, 8U }) {
    for (const std::size_t zones : { 1U, 2U }) {
      for (const Row& row : rows) {
        CAPTURE(instances, zones, static_cast<int>(row.m_fault));
        CAPTURE(row.m_hasEnded);
        Fleet fleet(instances, zones, milliseconds(3'000), milliseconds(1'000));
        const StreamKey common = StreamKeyOfContent(7);
        Instance& seeker = *fleet.m_instances[kSeeker];
        seeker.m_exchange.Record(common, kOrigin, seconds(60));
        fleet.Run(milliseconds(50));
        fleet.SetIsolated(kSeeker, true);
        fleet.m_instances[1]->m_exchange.Record(common, other, seconds(60));
        fleet.Run(milliseconds(100));
        if (row.m_fault == OutOfStep::Frozen) {
          seeker.m_clock.m_age += seconds(2);
        }
        if (row.m_fault == OutOfStep::CutBefore) {
          fleet.SetIsolated(kSeeker, false);
          fleet.Run(milliseconds(100));
        }
        if (row.m_hasEnded) {
          fleet.m_instances[1]->m_exchange.Stop();
          fleet.End(1);
        }
        if (row.m_fault == OutOfStep::Frozen) {
          fleet.SetIsolated(kSeeker, false);
        }
        const auto found = fleet.FindCommon(kSeeker, common, kMaxAge);
        CHECK(found != kOrigin);
      }
    }
  }
}

// Guards against streams that only the instance that began them knows.
TEST_CASE("a partner that does not confirm a stream is replaced")
{
  for (const std::size_t zones : { 1U, 3U }) {
    Fleet fleet(9, zones);
    const std::vector<const FleetMember*> partners =
      PartnersOf(fleet.m_instances[0]->m_fleet);
    REQUIRE(partners.size() == 2);
    std::vector<std::size_t> silent;
    silent.reserve(partners.size());
    for (const FleetMember* partner : partners) {
      silent.push_back(partner->m_peerAddress.m_port - 1'000U);
    }
    fleet.SetCut(0, silent, true);
    fleet.Begin(0, 5);
    CHECK(fleet.Known() == 15);
  }
}

TEST_CASE("a stream that no partner could be told of is told later")
{
  Fleet fleet(2, 1);
  fleet.SetIsolated(0, true);
  fleet.m_instances[0]->m_exchange.Record(
    StreamKeyOfContent(7), kOrigin, seconds(60));
  fleet.Run(milliseconds(100));
  CHECK(fleet.Known() == 1);
  fleet.SetIsolated(0, false);
  fleet.RunUntil([&] { return fleet.Known() == 2; });
}

TEST_CASE("in a small fleet a stream is taken up after a process has ended")
{
  for (const std::size_t instances : { 2U, 3U }) {
    CAPTURE(instances);
    Fleet fleet(instances, 1, milliseconds(10'000));
    const StreamKey common = StreamKeyOfContent(7);
    fleet.m_instances[1]->m_exchange.Record(common, kOrigin, seconds(60));
    fleet.RunUntil([&] { return fleet.Known() == instances; });
    fleet.End(1);
    CHECK(fleet.FindCommon(0, common, milliseconds(8'000)) == kOrigin);
  }
}

TEST_CASE("a take-up after a restart of all asks few instances")
{
  Fleet fleet(195, 3, milliseconds(0));
  fleet.m_network.m_calls = 0;
  CHECK_FALSE(fleet.FindCommon(5, StreamKeyOfContent(7), milliseconds(8'000)));
  CHECK(fleet.m_network.m_calls <= 3);
}

TEST_CASE("what no instance knows is not found")
{
  Fleet fleet(8, 3);
  fleet.Begin(0, 5);
  const StreamKey ofOther =
    StreamKeyOf(ClientAccountId("bert"), RequestId("0-0"));
  CHECK(fleet.Find(3, { ofOther }) == 0);
  for (std::size_t instance = 0; instance < 8; ++instance) {
    fleet.End(instance);
  }
  CHECK(fleet.Find(3, { ofOther }) == 0);
}

TEST_CASE("streams are told in batches to two partners")
{
  Fleet fleet(60, 3);
  fleet.m_network.m_calls = 0;
  fleet.Begin(0, 300);
  CHECK(fleet.m_network.m_calls <= 4);
  // The instance itself and its partners.
  CHECK(fleet.Known() == 900);
}

TEST_CASE("partners are in another zone of the region and in another region")
{
  for (const std::size_t self : { 0U, 1U, 7U }) {
    FleetMember member = MemberOf(self, 3);
    FleetView view({ .m_clock = SystemClock(), .m_self = member });
    std::vector<FleetMember> members;
    for (std::size_t index = 0; index < 60; ++index) {
      members.push_back(MemberOf(index, 3));
      members.back().m_zone =
        AvailabilityZoneId(index % 2 == 0 ? "even" : "odd");
    }
    view.Self().m_zone = members[self].m_zone;
    view.Merge(members, InstanceId("i59"));
    const std::vector<const FleetMember*> partners = PartnersOf(view);
    REQUIRE(partners.size() == 2);
    CHECK(partners[0]->m_region == member.m_region);
    CHECK(partners[0]->m_zone != view.Self().m_zone);
    CHECK(partners[1]->m_region != member.m_region);
  }
}

TEST_CASE("a message of a peer that is invalid is rejected")
{
  Fleet fleet(2, 1);
  for (const char* streams :
       { "3",
         "[3]",
         R"([{"pool":"p","version":"v","lifetime_ms":-1,"keys":[1]}])",
         R"([{"pool":"p","version":"v","lifetime_ms":1,"keys":["x"]}])" }) {
    INFO(streams);
    const std::string call =
      std::string(
        R"({"jsonrpc":"2.0","id":1,"method":"stream_origins","params":{"streams":)") +
      streams + "}}";
    CHECK_THROWS_AS(
      DecodeRpcResponse(fleet.m_instances[0]->m_jsonDispatcher.Handle(call)),
      RpcError);
  }
  CHECK(fleet.m_instances[0]->m_exchange.Size() == 0);
}

} // namespace
} // namespace rattanweir
