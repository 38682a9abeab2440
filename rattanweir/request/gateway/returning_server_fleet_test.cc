#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/server_candidates.h"
#include "testing/simulated_fleet/simulated_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <span>

namespace rattanweir {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

const PoolId kPool("p");
const BackendServerId kServer("s");
constexpr milliseconds kColdTime{ 3'000 };
// What the users' platform requires of all instances together in any second
// while the server is cold.
constexpr double kRate = 5.4;
constexpr double kMaxPerSecond = 1.5 * kRate + 3;
// How often each instance has a request for the server.
constexpr milliseconds kDemandInterval{ 300 };
// Instances with demand in turns have requests at this interval, for a part of
// each turn.
constexpr milliseconds kDenseInterval{ 120 };
constexpr milliseconds kTurn{ 3'000 };
constexpr milliseconds kActivePart{ 1'200 };

enum class Demand
{
  Steady,
  // Some instances have no request while the server is down, and several right
  // after its return.
  InTurns,
};

struct Arrival
{
  SteadyTime m_sentAt;
  SteadyTime m_arrivedAt;
};

struct SendingProcess : SimulatedProcess
{
  SendingProcess(const Clock& aClock, const FleetMember& aSelf)
    : SimulatedProcess(aClock, aSelf)
    , m_registry(
        { .m_clock = aClock,
          .m_regionOfZone = { { AvailabilityZoneId("z0"), RegionId("r0") } } })
    , m_backends({ .m_clock = aClock })
    , m_limiter({ .m_clock = aClock })
  {
  }

  void UpdateSelf()
  {
    m_fleet.Self().m_refusingServers = m_registry.RefusalsToAdvertise();
  }

  BackendRegistry m_registry;
  BackendView m_backends;
  ServerRateLimiter m_limiter;
  SteadyTime m_lastDemandAt;
  SteadyTime m_lastExchangeAt;
  std::set<BackendServerId> m_announcedRefusals;
};

// A fleet before one server that ends and starts again under its id and
// address.
class ReturningServerFleet
{
public:
  explicit ReturningServerFleet(const SimulatedFleetOptions& aOptions,
                                Demand aDemand = Demand::Steady)
    : m_fleet(aOptions)
    , m_demand(aDemand)
  {
    m_pool.m_id = kPool;
    m_pool.m_coldRequestsPerSecond = kRate;
    m_pool.m_coldDuration = kColdTime;
    m_fleet.OnStart([this](std::size_t aIndex, SendingProcess&) {
      PublishTo(aIndex, RecordOrigin::Published);
    });
    m_fleet.OnStep([this](std::size_t aIndex, SendingProcess& aProcess) {
      aProcess.m_registry.Tick();
      ExchangeRefusals(aIndex, aProcess);
      if (aIndex % m_fleet.Regions() == 0 && HasDemand(aIndex, aProcess)) {
        aProcess.m_lastDemandAt = m_fleet.Now();
        SendRequest(aIndex, aProcess);
      }
    });
  }

  // Starts the server cold, or warm if it has been running for long.
  void StartServer(milliseconds aColdTime)
  {
    m_isRunning = true;
    m_record.m_startedAtMs += 1'000;
    m_record.m_coldFor = aColdTime;
    m_coldUntil = m_fleet.Now() + aColdTime;
  }

  void EndServer() { m_isRunning = false; }

  // Publishes the current entry of the server to all instances.
  void Publish() { PublishToAll(RecordOrigin::Published); }

  // Restores the store from a copy that has the server's entry before this one,
  // which no longer names a cold time.
  void RestoreEarlierEntry()
  {
    const ServerRecord current = m_record;
    m_record.m_startedAtMs -= 1'000;
    m_record.m_coldFor = {};
    PublishToAll(RecordOrigin::Restored);
    m_record = current;
  }

  SimulatedFleet<SendingProcess>& Fleet() { return m_fleet; }

  // Returns the maximum number of requests that were sent and arrived within
  // one second while the server was cold.
  std::size_t MaxWhileCold() const
  {
    std::size_t maximum = 0;
    for (const Arrival& first : m_coldArrivals) {
      const auto isWithin = [&](const Arrival& aOther) {
        return aOther.m_sentAt >= first.m_sentAt &&
               aOther.m_arrivedAt < first.m_sentAt + seconds(1);
      };
      maximum = std::max<std::size_t>(
        maximum, std::ranges::count_if(m_coldArrivals, isWithin));
    }
    return maximum;
  }

  void ForgetArrivals() { m_coldArrivals.clear(); }
  std::size_t ArrivedWhileCold() const { return m_coldArrivals.size(); }
  std::size_t Arrived() const { return m_arrivals; }

private:
  void PublishToAll(RecordOrigin aOrigin)
  {
    for (std::size_t index = 0; index < m_fleet.Size(); ++index) {
      PublishTo(index, aOrigin);
    }
  }

  void PublishTo(std::size_t aIndex, RecordOrigin aOrigin)
  {
    const milliseconds maxDelay =
      milliseconds(100) + m_fleet.Faults().m_newsDelay;
    m_fleet.AfterIn(aIndex,
                    m_fleet.RandomDelay(maxDelay),
                    [aOrigin, record = m_record](SendingProcess& aProcess) {
                      aProcess.m_registry.Put(record, aOrigin);
                    });
  }

  bool HasDemand(std::size_t aIndex, const SendingProcess& aProcess) const
  {
    const auto sinceLast = m_fleet.Now() - aProcess.m_lastDemandAt;
    if (m_demand == Demand::Steady) {
      return sinceLast >= kDemandInterval;
    }
    const auto phase = milliseconds(aIndex * 397) % kTurn;
    const auto inTurn = (m_fleet.Now().time_since_epoch() + phase) % kTurn;
    return inTurn < kActivePart && sinceLast >= kDenseInterval;
  }

  // What the daemon does at intervals.
  void ExchangeRefusals(std::size_t aIndex, SendingProcess& aProcess)
  {
    constexpr milliseconds kInterval{ 100 };
    if (m_fleet.Now() - aProcess.m_lastExchangeAt < kInterval) {
      return;
    }
    aProcess.m_lastExchangeAt = m_fleet.Now();
    const RegionId& region = aProcess.m_fleet.Self().m_region;
    for (const FleetMember* peer : aProcess.m_fleet.LivePeersIn(region)) {
      aProcess.m_registry.RecordRefusalsOfPeer(
        peer->m_id, peer->m_refusingServers, [](const PoolId&) {
          return kColdTime;
        });
    }
    std::set<BackendServerId> refusing =
      aProcess.m_registry.RefusalsToAdvertise();
    const bool hasNews =
      !std::ranges::includes(aProcess.m_announcedRefusals, refusing);
    aProcess.m_announcedRefusals = std::move(refusing);
    if (!hasNews) {
      return;
    }
    aProcess.UpdateSelf();
    const FleetMember record = aProcess.m_fleet.AdvanceSelf();
    for (const FleetMember* peer : aProcess.m_fleet.LivePeersIn(region)) {
      m_fleet.Send(aIndex, peer->m_peerAddress, [record](SendingProcess& aTo) {
        aTo.m_fleet.Merge(std::span(&record, 1), record.m_id);
      });
    }
  }

  void SendRequest(std::size_t aIndex, SendingProcess& aProcess)
  {
    for (const RegisteredServer* known :
         aProcess.m_registry.ServersOf(kPool, RegionId("r0"))) {
      const BackendServerId incarnation = known->m_incarnation;
      if (!known->AcceptsRequests() ||
          aProcess.m_backends.StateOf(incarnation).m_ejectedUntil) {
        continue;
      }
      const auto query = ServerRateQueryFor({ .m_fleet = aProcess.m_fleet,
                                              .m_pool = m_pool,
                                              .m_server = *known,
                                              .m_now = m_fleet.Now() });
      if (query) {
        if (!aProcess.m_limiter.PermitFor(*query).m_isGranted) {
          continue;
        }
        aProcess.m_limiter.RecordRequest(*query);
      }
      aProcess.m_backends.AddDispatch(incarnation, 1);
      m_fleet.After(milliseconds(1) + m_fleet.RandomDelay(milliseconds(20)),
                    [this, aIndex, incarnation, sentAt = m_fleet.Now()] {
                      Receive(aIndex, incarnation, sentAt);
                    });
    }
  }

  void Receive(std::size_t aIndex,
               const BackendServerId& aIncarnation,
               SteadyTime aSentAt)
  {
    const SteadyTime now = m_fleet.Now();
    const bool isAccepted = m_isRunning;
    if (isAccepted) {
      ++m_arrivals;
      if (now < m_coldUntil) {
        m_coldArrivals.push_back({ .m_sentAt = aSentAt, .m_arrivedAt = now });
      }
    }
    m_fleet.AfterIn(
      aIndex,
      milliseconds(2),
      [aIncarnation, aSentAt, isAccepted](SendingProcess& aProcess) {
        const AttemptOutcome outcome =
          isAccepted ? AttemptOutcome::Succeeded : AttemptOutcome::Unreachable;
        aProcess.m_backends.EndDispatch(aIncarnation,
                                        { .m_load = 1, .m_outcome = outcome });
        if (isAccepted) {
          aProcess.m_registry.RecordResponse(aIncarnation, kColdTime, aSentAt);
        } else {
          aProcess.m_registry.RecordRefusedConnection(aIncarnation, kColdTime);
        }
      });
  }

  SimulatedFleet<SendingProcess> m_fleet;
  Demand m_demand;
  Pool m_pool;
  ServerRecord m_record{ .m_id = kServer,
                         .m_startedAtMs = 0,
                         .m_pool = kPool,
                         .m_endpoint = { .m_address = "10.9.0.1",
                                         .m_port = 80 },
                         .m_zone = AvailabilityZoneId("z0"),
                         .m_slots = 12 };
  bool m_isRunning = false;
  SteadyTime m_coldUntil;
  std::vector<Arrival> m_coldArrivals;
  std::size_t m_arrivals = 0;
};

// Lets the views settle before a warm server.
void
RunWarmServer(ReturningServerFleet& aServer)
{
  aServer.StartServer(milliseconds(0));
  aServer.Publish();
  aServer.Fleet().RestartAll(milliseconds(0));
  aServer.Fleet().RunFor(seconds(12));
  REQUIRE(aServer.Arrived() > 0);
}

// RATTANWEIR_COLD_SEEDS sets the number of random seeds that are run.
std::uint64_t
SeedCount()
{
  const char* text = std::getenv("RATTANWEIR_COLD_SEEDS");
  return text == nullptr ? 1 : std::stoull(text);
}

// Runs the schedule with each fleet and each seed.
void
ForEachFleet(const std::function<void(ReturningServerFleet&)>& aSchedule,
             Demand aDemand = Demand::Steady)
{
  for (const std::size_t instances : { 8U, 65U, 86U, 370U }) {
    for (const ViewFaults& faults : kAllViewFaults) {
      // The largest fleet takes most of the time of this test.
      if (instances > 100 && faults.m_name != kLateViews.m_name) {
        continue;
      }
      DYNAMIC_SECTION(instances << " instances, views " << faults.m_name)
      {
        for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
          INFO("seed " << seed);
          ReturningServerFleet server(
            { .m_instances = instances, .m_seed = seed, .m_faults = faults },
            aDemand);
          RunWarmServer(server);
          aSchedule(server);
        }
      }
    }
  }
}

TEST_CASE("a server that starts again under its id is not flooded before its "
          "new entry is known")
{
  ForEachFleet([](ReturningServerFleet& aServer) {
    SimulatedFleet<SendingProcess>& fleet = aServer.Fleet();
    for (const milliseconds downTime :
         { milliseconds(1'200), milliseconds(2'600) }) {
      aServer.EndServer();
      fleet.RunFor(downTime);
      aServer.StartServer(kColdTime);
      // The server writes its entry with its next heartbeat.
      fleet.RunFor(milliseconds(1'000));
      aServer.Publish();
      fleet.RunFor(seconds(12));
    }
    CHECK(static_cast<double>(aServer.MaxWhileCold()) <= kMaxPerSecond);
    CHECK(aServer.ArrivedWhileCold() > 0);
    const std::size_t before = aServer.Arrived();
    fleet.RunFor(seconds(2));
    // Two instances or more send all their requests again.
    CHECK(aServer.Arrived() - before >= 2 * (seconds(2) / kDemandInterval));
  });
}

// Guards against instances that had no request for a server while it was down
// and took the new process for the one before.
TEST_CASE("a server that starts again under its id is not flooded by instances "
          "that did not see it end")
{
  ForEachFleet(
    [](ReturningServerFleet& aServer) {
      SimulatedFleet<SendingProcess>& fleet = aServer.Fleet();
      for (const milliseconds downTime : { milliseconds(1'000),
                                           milliseconds(1'200),
                                           milliseconds(1'600),
                                           milliseconds(4'000) }) {
        aServer.EndServer();
        fleet.RunFor(downTime);
        aServer.StartServer(kColdTime);
        fleet.RunFor(milliseconds(500));
        aServer.Publish();
        fleet.RunFor(seconds(12));
      }
      CHECK(static_cast<double>(aServer.MaxWhileCold()) <= kMaxPerSecond);
      CHECK(aServer.ArrivedWhileCold() > 0);
    },
    Demand::InTurns);
}

TEST_CASE(
  "a cold server is not flooded after the store is restored from a copy "
  "with its earlier incarnation")
{
  ForEachFleet([](ReturningServerFleet& aServer) {
    SimulatedFleet<SendingProcess>& fleet = aServer.Fleet();
    const milliseconds newsTime =
      milliseconds(200) + fleet.Faults().m_newsDelay;
    // The instances that start now know the new incarnation only.
    aServer.EndServer();
    fleet.RestartAll(milliseconds(800));
    aServer.StartServer(seconds(30));
    fleet.RunFor(seconds(15) + newsTime);
    aServer.ForgetArrivals();
    aServer.RestoreEarlierEntry();
    fleet.RunFor(milliseconds(1'200) + newsTime);
    aServer.Publish();
    fleet.RunFor(seconds(5));
    CHECK(static_cast<double>(aServer.MaxWhileCold()) <= kMaxPerSecond);
    CHECK(aServer.ArrivedWhileCold() > 0);
  });
}

} // namespace
} // namespace rattanweir
