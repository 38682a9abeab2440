#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/control/control_plane.h"

#include "rattanweir/connection/control/peer_call.h"

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

// A response with status 200 and a body in one chunk.
class ReadyExchange final : public UpstreamExchange
{
public:
  explicit ReadyExchange(std::string aBody)
    : m_body(std::move(aBody))
  {
  }

  Task<ResponseHead> ReadHead() override
  {
    co_return ResponseHead{ 200, {}, {} };
  }

  Task<std::optional<std::string>> ReadChunk() override
  {
    co_return std::exchange(m_body, std::nullopt);
  }

private:
  std::optional<std::string> m_body;
};

// Delivers calls to the handler of the addressed port, in the same process.
class FakeNetwork final : public Upstream
{
public:
  Task<std::unique_ptr<UpstreamExchange>> Send(Endpoint aEndpoint,
                                               OutboundRequest aRequest,
                                               CancelSource&) override
  {
    const auto handler = m_handlers.find(aEndpoint.m_port);
    if (handler == m_handlers.end() ||
        m_unreachablePorts.count(aEndpoint.m_port) != 0) {
      throw RequestError(ResultCode::BackendConnectFailed, "port unreachable");
    }
    co_return std::make_unique<ReadyExchange>(
      handler->second(*aRequest.m_body));
  }

  std::map<std::uint16_t, std::function<std::string(const std::string&)>>
    m_handlers;
  std::set<std::uint16_t> m_unreachablePorts;
};

InstanceRecord
MakeRecord(std::uint16_t aPort)
{
  return { .m_id = InstanceId("node-" + std::to_string(aPort)),
           .m_region = RegionId("ostland"),
           .m_zone = AvailabilityZoneId("ostland-a"),
           .m_peerAddress = { "127.0.0.1", aPort } };
}

SectionOffer
AccountsOffer(std::uint64_t aVersion)
{
  return { .m_kind = SectionKind::ClientAccounts,
           .m_version = SectionVersion(aVersion),
           .m_text = { .m_file = "client_accounts.yaml",
                       .m_text =
                         "maximum_instances: " + std::to_string(aVersion) +
                         "\nclient_accounts: []\n" } };
}

// The system clock plus an adjustable offset.
class OffsetClock final : public Clock
{
public:
  SteadyTime SteadyNow() const override
  {
    return SystemClock().SteadyNow() + m_offset;
  }
  WallTime WallNow() const override
  {
    return SystemClock().WallNow() + m_offset;
  }

  std::chrono::nanoseconds m_offset{ 0 };
};

class Node
{
public:
  Node(asio::io_context& aContext,
       FakeNetwork& aNetwork,
       std::uint16_t aPort,
       std::chrono::nanoseconds aInterval)
    : m_id(MakeRecord(aPort).m_id)
    , m_membership({ .m_clock = m_clock, .m_self = m_id })
    , m_rate({ .m_clock = m_clock,
               .m_self = m_id,
               .m_incarnation = Incarnation(aPort) })
    , m_control({ .m_executor = aContext.get_executor(),
                  .m_clock = m_clock,
                  .m_upstream = aNetwork,
                  .m_catalog = m_catalog,
                  .m_membership = m_membership,
                  .m_rate = m_rate,
                  .m_metrics = m_metrics,
                  .m_heartbeatInterval = aInterval,
                  .m_buildHeartbeat = [this] { return BuildHeartbeat(); },
                  .m_onBackendServersDraining =
                    [this](const std::vector<BackendServerId>& aIds) {
                      m_reportedDraining.insert(aIds.begin(), aIds.end());
                    },
                  .m_isolationTimeout = 200ms })
  {
    m_catalog.OnAccepted([this](SectionKind aKind) {
      if (aKind == SectionKind::ClientAccounts) {
        m_rate.Configure(m_catalog.ClientAccounts());
      }
    });
    aNetwork.m_handlers[aPort] = [this](const std::string& aRequest) {
      return m_control.HandleCall(aRequest);
    };
  }

  Heartbeat BuildHeartbeat() const
  {
    Heartbeat heartbeat{ .m_from = m_id,
                         .m_incarnation = Incarnation(1),
                         .m_isDraining = m_isDraining,
                         .m_isReady = true,
                         .m_drainingBackendServers = m_seenDraining };
    for (const SectionKind kind : kAllSectionKinds) {
      const auto version = m_catalog.Status(kind).m_inForce;
      if (version) {
        heartbeat.m_versions[kind] = *version;
      }
    }
    return heartbeat;
  }

  std::uint64_t AccountsVersion() const
  {
    const auto version =
      m_catalog.Status(SectionKind::ClientAccounts).m_inForce;
    return version ? version->Value() : 0;
  }

  InstanceId m_id;
  OffsetClock m_clock;
  Catalog m_catalog;
  Membership m_membership;
  RateLedger m_rate;
  Metrics m_metrics;
  bool m_isDraining = false;
  std::vector<BackendServerId> m_seenDraining;
  std::set<BackendServerId> m_reportedDraining;
  ControlPlane m_control;
};

class Fleet
{
public:
  explicit Fleet(std::uint16_t aNodes,
                 std::chrono::nanoseconds aInterval = 20ms)
  {
    for (std::uint16_t port = 1; port <= aNodes; ++port) {
      m_list.push_back(MakeRecord(port));
      m_nodes.push_back(
        std::make_unique<Node>(m_context, m_network, port, aInterval));
    }
    for (const auto& node : m_nodes) {
      node->m_membership.ApplyList(m_list);
    }
  }

  ~Fleet()
  {
    for (const auto& node : m_nodes) {
      node->m_control.Stop();
    }
    m_context.run_for(1s);
  }

  void Start()
  {
    for (const auto& node : m_nodes) {
      node->m_control.Start();
    }
  }

  Node& At(std::size_t aIndex) { return *m_nodes.at(aIndex); }

  // Runs until the condition holds. Returns false if it does not within 20 s.
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      m_context.run_one_for(100ms);
    }
    return aCondition();
  }

  bool AllHaveAccounts(std::uint64_t aVersion)
  {
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& aNode) {
      return aNode->AccountsVersion() == aVersion;
    });
  }

  asio::io_context m_context;
  FakeNetwork m_network;
  std::vector<InstanceRecord> m_list;
  std::vector<std::unique_ptr<Node>> m_nodes;
};

TEST_CASE("every instance adopts the newest version that any instance offers")
{
  Fleet fleet(5);
  fleet.At(0).m_catalog.Offer(AccountsOffer(2));
  fleet.At(3).m_catalog.Offer(AccountsOffer(1));
  fleet.Start();
  REQUIRE(fleet.RunUntil([&] { return fleet.AllHaveAccounts(2); }));
  fleet.At(4).m_catalog.Offer(AccountsOffer(3));
  REQUIRE(fleet.RunUntil([&] { return fleet.AllHaveAccounts(3); }));
}

TEST_CASE("a new version reaches all instances without waiting for an interval")
{
  Fleet fleet(5, 1h);
  fleet.Start();
  REQUIRE(fleet.RunUntil([&] {
    return std::all_of(
      fleet.m_nodes.begin(), fleet.m_nodes.end(), [](const auto& aNode) {
        return aNode->m_control.HasCaughtUp();
      });
  }));
  fleet.At(2).m_catalog.Offer(AccountsOffer(1));
  REQUIRE(fleet.RunUntil([&] { return fleet.AllHaveAccounts(1); }));
}

TEST_CASE("an instance with a stale section fetches it before it has caught up")
{
  Fleet fleet(3);
  fleet.At(0).m_catalog.Offer(AccountsOffer(7));
  fleet.At(1).m_catalog.Offer(AccountsOffer(7));
  fleet.At(2).m_catalog.Offer(AccountsOffer(3));
  fleet.Start();
  REQUIRE_FALSE(fleet.At(2).m_control.HasCaughtUp());
  REQUIRE(fleet.RunUntil([&] { return fleet.At(2).m_control.HasCaughtUp(); }));
  REQUIRE(fleet.At(2).AccountsVersion() == 7);
}

TEST_CASE("an instance without reachable peers has caught up after a timeout")
{
  Fleet fleet(2);
  fleet.m_network.m_unreachablePorts = { 1, 2 };
  fleet.Start();
  REQUIRE(fleet.RunUntil([&] { return fleet.At(0).m_control.HasCaughtUp(); }));
}

TEST_CASE("an instance that is not listed does not catch up")
{
  Fleet fleet(2);
  fleet.At(0).m_membership.ApplyList({ MakeRecord(2) });
  fleet.Start();
  REQUIRE(fleet.RunUntil([&] { return fleet.At(1).m_control.HasCaughtUp(); }));
  REQUIRE_FALSE(fleet.At(0).m_control.HasCaughtUp());
}

TEST_CASE("heartbeats report draining instances and draining backend servers")
{
  Fleet fleet(3);
  fleet.Start();
  const RegionId region("ostland");
  REQUIRE(fleet.RunUntil([&] {
    return fleet.At(1).m_membership.UsablePeersIn(region).size() == 2;
  }));
  fleet.At(0).m_isDraining = true;
  fleet.At(0).m_seenDraining = { BackendServerId("engine-1") };
  fleet.At(0).m_control.SendHeartbeatsNow();
  REQUIRE(fleet.RunUntil([&] {
    return fleet.At(1).m_membership.UsablePeersIn(region).size() == 1 &&
           fleet.At(2).m_reportedDraining.count(BackendServerId("engine-1")) ==
             1;
  }));
}

TEST_CASE("a paused instance resumes once a peer lists it")
{
  Fleet fleet(2);
  fleet.At(0).m_catalog.Offer(AccountsOffer(1));
  fleet.Start();
  REQUIRE(fleet.RunUntil([&] { return fleet.At(0).m_control.HasCaughtUp(); }));
  fleet.At(0).m_clock.m_offset = 30s;
  fleet.At(0).m_rate.Tick();
  REQUIRE(fleet.At(0).m_rate.IsPaused());
  REQUIRE(fleet.RunUntil([&] { return !fleet.At(0).m_rate.IsPaused(); }));
}

TEST_CASE("a paused instance that was replaced stays paused")
{
  Fleet fleet(2);
  fleet.At(0).m_catalog.Offer(AccountsOffer(1));
  fleet.Start();
  REQUIRE(fleet.RunUntil([&] { return fleet.At(0).m_control.HasCaughtUp(); }));
  fleet.At(1).m_membership.ApplyList({ MakeRecord(2), MakeRecord(3) });
  fleet.At(0).m_clock.m_offset = 30s;
  fleet.At(0).m_rate.Tick();
  const std::uint64_t before =
    fleet.At(0).m_metrics.Counter("rattanweir_heartbeats_total");
  REQUIRE(fleet.RunUntil([&] {
    return fleet.At(0).m_metrics.Counter("rattanweir_heartbeats_total") >=
           before + 20;
  }));
  REQUIRE(fleet.At(0).m_rate.IsPaused());
}

TEST_CASE("a peer lends a share only to a listed instance")
{
  Fleet fleet(2);
  const auto offer = [](Node& aNode) {
    aNode.m_catalog.Offer(
      { .m_kind = SectionKind::ClientAccounts,
        .m_version = SectionVersion(1),
        .m_text = { .m_file = "client_accounts.yaml",
                    .m_text = "maximum_instances: 2\n"
                              "client_accounts:\n"
                              "  - id: parents\n"
                              "    rate_tokens_per_second: 1000\n"
                              "    burst_tokens: 1000\n" } });
  };
  offer(fleet.At(0));
  offer(fleet.At(1));
  fleet.Start();
  const ClientAccountId account("parents");
  // A new process does not use its own share for the first lease term.
  REQUIRE(fleet.RunUntil([&] {
    return fleet.At(0).m_rate.Status(account).m_availableTokens >= 499 &&
           fleet.At(1).m_rate.Status(account).m_availableTokens >= 499;
  }));

  const auto borrow = [&] {
    std::optional<bool> result;
    CancelSource cancel;
    asio::co_spawn(
      fleet.m_context,
      fleet.At(0).m_control.Borrower().Borrow(
        account, Tokens(800), SystemClock().SteadyNow() + 5s, cancel),
      [&](const std::exception_ptr&, bool aResult) { result = aResult; });
    REQUIRE(fleet.RunUntil([&] { return result.has_value(); }));
    return *result;
  };
  fleet.At(1).m_membership.ApplyList({ MakeRecord(2), MakeRecord(3) });
  REQUIRE_FALSE(borrow());
  fleet.At(1).m_membership.ApplyList(fleet.m_list);
  REQUIRE(fleet.RunUntil(borrow));
  REQUIRE(std::holds_alternative<Reservation>(
    fleet.At(0).m_rate.Reserve(account, Tokens(800), ReserveAttempt::Retry)));
  REQUIRE(fleet.At(0).m_rate.Status(account).m_borrowedFraction > 0);
  REQUIRE(fleet.At(1).m_rate.Status(account).m_lentFraction > 0);
}

TEST_CASE("a response of another instance at the peer's address is rejected")
{
  Fleet fleet(3);
  fleet.m_network.m_handlers[2] = fleet.m_network.m_handlers[3];
  fleet.Start();
  REQUIRE(fleet.RunUntil([&] {
    return fleet.At(0).m_metrics.Counter(
             "rattanweir_heartbeat_failures_total") > 3;
  }));
  const PeerView peer = *fleet.At(0).m_membership.Find(InstanceId("node-2"));
  REQUIRE(
    (!peer.m_heartbeat || peer.m_heartbeat->m_from == peer.m_record.m_id));
}

} // namespace
} // namespace rattanweir
