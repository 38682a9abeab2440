#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/run_durations/run_durations_exchange.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <span>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RunClass kClass{ .m_route = RouteId("route"), .m_pool = PoolId("pool") };
const FleetRoute kOnce{ .m_id = RouteId("route"),
                        .m_kind = RequestKind::NonIdempotent };

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

// Answers the calls to each address with the dispatcher there.
class Network final : public Upstream
{
public:
  Task<std::unique_ptr<UpstreamExchange>> Send(
    Endpoint aEndpoint,
    OutboundRequest aRequest,
    CancelSource& /*aCancel*/) override
  {
    ++m_calls;
    co_return std::make_unique<ImmediateExchange>(
      m_instances.at(aEndpoint)->Handle(*aRequest.m_body));
  }

  std::map<Endpoint, PackedDispatcher*> m_instances;
  std::size_t m_calls = 0;
};

FleetMember
Member(const std::string& aName, const std::string& aRegion)
{
  return { .m_id = InstanceId(aName),
           .m_incarnation = Incarnation(1),
           .m_sequence = 1,
           .m_region = RegionId(aRegion),
           .m_peerAddress = { .m_address = aName, .m_port = 1 } };
}

struct TestInstance
{
  TestInstance(asio::io_context& aContext,
               Network& aNetwork,
               const FleetMember& aSelf)
    : m_fleet({ .m_clock = m_clock, .m_self = aSelf })
    , m_caller(
        { .m_upstream = aNetwork, .m_clock = m_clock, .m_metrics = m_metrics })
    , m_exchange({ .m_executor = aContext.get_executor(),
                   .m_clock = m_clock,
                   .m_random = m_random,
                   .m_caller = m_caller,
                   .m_fleet = m_fleet,
                   .m_serviceEnd = m_end,
                   .m_metrics = m_metrics,
                   .m_dispatcher = m_dispatcher })
  {
    aNetwork.m_instances[aSelf.m_peerAddress] = &m_dispatcher;
  }

  void Meet(const FleetMember& aMember)
  {
    m_fleet.Merge(std::span(&aMember, 1), aMember.m_id);
  }

  // Returns whether a request that runs once is sent whose deadline lies behind
  // the instance's end.
  bool Sends() const
  {
    const SteadyTime now = m_clock.SteadyNow();
    return m_end.MayDispatch({ .m_route = kOnce,
                               .m_pool = kClass.m_pool,
                               .m_begunAt = now,
                               .m_deadline = now + seconds(60) });
  }

  ManualClock m_clock;
  RandomEngine m_random{ 1 };
  Metrics m_metrics;
  ServiceEnd m_end{ { .m_clock = m_clock } };
  FleetView m_fleet;
  ControlCaller m_caller;
  PackedDispatcher m_dispatcher;
  RunDurationsExchange m_exchange;
};

TEST_CASE("an instance that knows no durations learns them at its stop")
{
  for (const bool isLong : { false, true }) {
    asio::io_context context;
    Network network;
    TestInstance stopping(context, network, Member("north-1", "north"));
    TestInstance peer(context, network, Member("north-2", "north"));
    stopping.Meet(peer.m_fleet.Self());
    for (int run = 0; run < 10; ++run) {
      peer.m_end.RecordRun(kClass, isLong ? seconds(5) : milliseconds(40));
    }
    stopping.m_end.Announce(stopping.m_clock.SteadyNow() + seconds(7));
    CHECK_FALSE(stopping.Sends());
    stopping.m_exchange.AskPeers();
    context.run();
    CHECK(stopping.Sends() == !isLong);
  }
}

TEST_CASE("peers of earlier releases reject the question without harm")
{
  asio::io_context context;
  Network network;
  TestInstance stopping(context, network, Member("north-1", "north"));
  const FleetMember old = Member("north-2", "north");
  PackedDispatcher withoutMethod;
  network.m_instances[old.m_peerAddress] = &withoutMethod;
  stopping.Meet(old);
  stopping.m_end.Announce(stopping.m_clock.SteadyNow() + seconds(7));
  stopping.m_exchange.AskPeers();
  context.run();
  CHECK(network.m_calls == 1);
  CHECK_FALSE(stopping.Sends());
}

TEST_CASE("a stopping instance asks a few peers, first those of its region")
{
  asio::io_context context;
  Network network;
  TestInstance stopping(context, network, Member("north-1", "north"));
  std::vector<std::unique_ptr<TestInstance>> others;
  for (int index = 0; index < 20; ++index) {
    const std::string region = index < 2 ? "north" : "south";
    others.push_back(std::make_unique<TestInstance>(
      context, network, Member(region + "-x" + std::to_string(index), region)));
    stopping.Meet(others.back()->m_fleet.Self());
  }
  others[0]->m_end.RecordRun(kClass, milliseconds(30));
  others[1]->m_end.RecordRun(kClass, milliseconds(50));
  stopping.m_end.Announce(stopping.m_clock.SteadyNow() + seconds(7));
  stopping.m_exchange.AskPeers();
  context.run();
  CHECK(network.m_calls == 3);
  const ServiceEndDecision decision = stopping.m_end.Decide(
    { .m_route = kOnce,
      .m_pool = kClass.m_pool,
      .m_begunAt = stopping.m_clock.SteadyNow(),
      .m_deadline = stopping.m_clock.SteadyNow() + seconds(60) });
  CHECK(decision.m_runs.m_count == 1);
  CHECK(decision.m_runs.m_longest == milliseconds(50));
}

TEST_CASE("what a peer states of durations is bounded")
{
  RunSummaries runs;
  ReadPacked read = [&](const PackedValue& aValue) {
    runs = ReadRunSummaries(aValue);
  };
  PackedDispatcher dispatcher;
  dispatcher.Register("x", [](const PackedValue&, PackedWriter& aResult) {
    WriteRunSummaries({ { kClass,
                          { .m_count = 1'000'000'000,
                            .m_usual = std::chrono::hours(10),
                            .m_longest = std::chrono::hours(100) } } },
                      aResult);
  });
  DecodePackedResponse(
    dispatcher.Handle(
      EncodePackedCall("x", [](PackedWriter& aWriter) { aWriter.pack_nil(); })),
    read);
  CHECK(runs.at(kClass).m_count == 1'000);
  CHECK(runs.at(kClass).m_longest == std::chrono::hours(1));
}

} // namespace
} // namespace rattanweir
