#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/server_candidates.h"
#include "testing/simulated_fleet/simulated_fleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>

namespace rattanweir {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

// What the users' platform requires: from kContactTime after a server first
// named its limit, it gets in any kWindow at most kMaxPerRate times what the
// limit allows plus kMaxExtra requests, from instances that had received such a
// response at least kToldTime before. An instance that has restarted does not
// count for kContactTime.
constexpr seconds kContactTime{ 5 };
constexpr seconds kWindow{ 4 };
constexpr milliseconds kToldTime{ 500 };
constexpr double kMaxPerRate = 1.5;
constexpr double kMaxExtra = 5;
// Fraction of a limit that has to be used while there is demand.
constexpr double kMinUsed = 0.6;
// How often each instance has a request for each server.
constexpr milliseconds kDemandInterval{ 100 };
constexpr double kOfferedPerSecond = seconds(1) / kDemandInterval;

struct Arrival
{
  SteadyTime m_sentAt;
  SteadyTime m_arrivedAt;
  // Sent by an instance to which the limit applies.
  bool m_counts = false;
};

// A limit that a server names from some time on; nullopt for none.
struct LimitPhase
{
  SteadyTime m_from;
  std::optional<double> m_rate;
  std::vector<Arrival> m_arrivals;
};

struct LimitedServer
{
  ServerRecord m_record;
  bool m_isRunning = true;
  // Responses reach one in this many instances.
  std::size_t m_reachedInstances = 1;
  std::vector<LimitPhase> m_phases;

  const std::optional<double>& Rate() const { return m_phases.back().m_rate; }
};

struct SendingProcess : SimulatedProcess
{
  SendingProcess(const Clock& aClock, const FleetMember& aSelf)
    : SimulatedProcess(aClock, aSelf)
    , m_startedAt(aClock.SteadyNow())
    , m_registry(
        { .m_clock = aClock,
          .m_regionOfZone = { { AvailabilityZoneId("z0"), RegionId("r0") } } })
    , m_limiter({ .m_clock = aClock })
    , m_limits({ .m_clock = aClock })
  {
  }

  void UpdateSelf() { m_fleet.Self().m_serverLimits = m_limits.ToAdvertise(); }

  void MergeLimitsOfPeers()
  {
    for (const FleetMember* peer :
         m_fleet.LivePeersIn(m_fleet.Self().m_region)) {
      for (const auto& [server, limit] : peer->m_serverLimits) {
        m_limits.Merge(server, limit);
      }
    }
  }

  SteadyTime m_startedAt;
  BackendRegistry m_registry;
  ServerRateLimiter m_limiter;
  ServerLimits m_limits;
  // When a response first named a limit, by incarnation of the server.
  std::map<BackendServerId, SteadyTime> m_toldAt;
  SteadyTime m_lastDemandAt;
};

// A fleet that sends to servers whatever its limiters permit.
class LimitedServerFleet
{
public:
  explicit LimitedServerFleet(const SimulatedFleetOptions& aOptions)
    : m_fleet(aOptions)
  {
    m_pool.m_id = PoolId("p");
    m_fleet.OnStart([this](std::size_t aIndex, SendingProcess&) {
      for (std::size_t server = 0; server < m_servers.size(); ++server) {
        PublishTo(aIndex, server);
      }
    });
    m_fleet.OnStep([this](std::size_t aIndex, SendingProcess& aProcess) {
      if (aIndex % m_fleet.Regions() == 0 &&
          m_fleet.Now() - aProcess.m_lastDemandAt >= kDemandInterval) {
        aProcess.m_lastDemandAt = m_fleet.Now();
        aProcess.MergeLimitsOfPeers();
        SendRequestsFrom(aIndex, aProcess);
      }
    });
  }

  // Starts a server, or starts it again under the same id.
  std::size_t StartServer(const std::string& aId,
                          std::optional<double> aRate,
                          std::size_t aReachedInstances = 1)
  {
    m_servers.push_back(
      { .m_record = { .m_id = BackendServerId(aId),
                      .m_startedAtMs = ++m_lastServerStart,
                      .m_pool = m_pool.m_id,
                      .m_endpoint = { .m_address = "10.9.0.1", .m_port = 80 },
                      .m_zone = AvailabilityZoneId("z0") },
        .m_reachedInstances = aReachedInstances });
    NameLimit(m_servers.size() - 1, aRate);
    for (std::size_t index = 0; index < m_fleet.Size(); ++index) {
      PublishTo(index, m_servers.size() - 1);
    }
    return m_servers.size() - 1;
  }

  void NameLimit(std::size_t aServer, std::optional<double> aRate)
  {
    m_servers[aServer].m_phases.push_back(
      { .m_from = m_fleet.Now(), .m_rate = aRate });
  }

  void StopServer(std::size_t aServer)
  {
    m_servers[aServer].m_isRunning = false;
    m_servers[aServer].m_phases.push_back({ .m_from = m_fleet.Now() });
    for (std::size_t index = 0; index < m_fleet.Size(); ++index) {
      if (SendingProcess* process = m_fleet.Find(index)) {
        process->m_registry.Remove(m_servers[aServer].m_record.m_id,
                                   RemovalReason::Published);
      }
    }
  }

  SimulatedFleet<SendingProcess>& Fleet() { return m_fleet; }
  const std::vector<LimitedServer>& Servers() const { return m_servers; }

private:
  void PublishTo(std::size_t aIndex, std::size_t aServer)
  {
    const milliseconds maxDelay =
      milliseconds(100) + m_fleet.Faults().m_newsDelay;
    m_fleet.AfterIn(aIndex,
                    m_fleet.RandomDelay(maxDelay),
                    [this, aServer](SendingProcess& aProcess) {
                      if (m_servers[aServer].m_isRunning) {
                        aProcess.m_registry.Put(m_servers[aServer].m_record);
                      }
                    });
  }

  void SendRequestsFrom(std::size_t aIndex, SendingProcess& aProcess)
  {
    for (const RegisteredServer* known :
         aProcess.m_registry.ServersOf(m_pool.m_id, RegionId("r0"))) {
      const auto query = ServerRateQueryFor(
        { .m_fleet = aProcess.m_fleet,
          .m_pool = m_pool,
          .m_server = *known,
          .m_namedLimit = aProcess.m_limits.RateOf(known->m_incarnation),
          .m_now = m_fleet.Now() });
      if (query) {
        if (!aProcess.m_limiter.PermitFor(*query).m_isGranted) {
          continue;
        }
        aProcess.m_limiter.RecordRequest(*query);
      }
      SendTo(aIndex, aProcess, *known);
    }
  }

  void SendTo(std::size_t aIndex,
              const SendingProcess& aProcess,
              const RegisteredServer& aServer)
  {
    const SteadyTime sentAt = m_fleet.Now();
    const auto told = aProcess.m_toldAt.find(aServer.m_incarnation);
    const bool counts = told != aProcess.m_toldAt.end() &&
                        sentAt - told->second >= kToldTime &&
                        sentAt - aProcess.m_startedAt >= kContactTime;
    m_fleet.After(milliseconds(1) + m_fleet.RandomDelay(milliseconds(20)),
                  [this, aIndex, counts, sentAt, id = aServer.m_record.m_id] {
                    Receive(aIndex, id, sentAt, counts);
                  });
  }

  void Receive(std::size_t aIndex,
               const BackendServerId& aId,
               SteadyTime aSentAt,
               bool aCounts)
  {
    for (LimitedServer& server : m_servers) {
      if (!server.m_isRunning || server.m_record.m_id != aId) {
        continue;
      }
      server.m_phases.back().m_arrivals.push_back(
        { .m_sentAt = aSentAt,
          .m_arrivedAt = m_fleet.Now(),
          .m_counts = aCounts });
      if (aIndex / m_fleet.Regions() % server.m_reachedInstances == 0) {
        Respond(aIndex, server, aSentAt);
      }
    }
  }

  void Respond(std::size_t aIndex,
               const LimitedServer& aServer,
               SteadyTime aSentAt)
  {
    const std::optional<double> rate = aServer.Rate();
    const BackendServerId incarnation(
      aServer.m_record.m_id.Value() + "@" +
      std::to_string(aServer.m_record.m_startedAtMs));
    m_fleet.AfterIn(
      aIndex,
      milliseconds(5) + m_fleet.RandomDelay(milliseconds(200)),
      [this, rate, incarnation, aSentAt](SendingProcess& aProcess) {
        LimitStatement statement{ .m_sentAt = aSentAt };
        if (rate) {
          statement.m_named = RequestRate(*rate);
          aProcess.m_toldAt.try_emplace(incarnation, m_fleet.Now());
        }
        aProcess.m_limits.RecordResponse(incarnation, statement);
      });
  }

  SimulatedFleet<SendingProcess> m_fleet;
  Pool m_pool;
  std::vector<LimitedServer> m_servers;
  std::int64_t m_lastServerStart = 0;
};

// Lets servers name limits, change and end them and come back, while the
// instances run and while all, most or each of them restart.
void
RunLimitedServers(LimitedServerFleet& aServers)
{
  SimulatedFleet<SendingProcess>& fleet = aServers.Fleet();
  fleet.RestartAll(milliseconds(0));
  fleet.RunFor(seconds(12));
  aServers.StartServer("low", 0.4);
  aServers.StartServer("medium", 2.5);
  aServers.StartServer("high", 12);
  aServers.StartServer("reaches-some", 2.5, 3);
  const std::size_t changing = aServers.StartServer("changing", 12);
  const std::size_t ending = aServers.StartServer("ending", 1);
  const std::size_t returning = aServers.StartServer("returning", 1);
  fleet.RunFor(seconds(10));
  aServers.NameLimit(changing, 1);
  aServers.NameLimit(ending, std::nullopt);
  aServers.StopServer(returning);
  fleet.RunFor(milliseconds(300));
  aServers.StartServer("returning", std::nullopt);
  fleet.RunFor(seconds(10));
  aServers.NameLimit(changing, 6);
  aServers.NameLimit(ending, 2.5);
  fleet.RunFor(seconds(10));
  fleet.RestartMost(milliseconds(800));
  fleet.RunFor(seconds(10));
  fleet.RestartInTurn(milliseconds(20));
  fleet.RunFor(seconds(10));
  fleet.RestartAll(milliseconds(800));
  fleet.RunFor(seconds(14));
}

// Returns the number of counted requests that were sent and arrived in the
// kWindow that has most of them, from kContactTime after the start of the
// phase.
std::size_t
MaxInWindow(const LimitPhase& aPhase)
{
  std::vector<const Arrival*> counted;
  for (const Arrival& arrival : aPhase.m_arrivals) {
    if (arrival.m_counts &&
        arrival.m_arrivedAt >= aPhase.m_from + kContactTime) {
      counted.push_back(&arrival);
    }
  }
  std::size_t maximum = 0;
  std::size_t last = 0;
  for (std::size_t first = 0; first < counted.size(); ++first) {
    while (last < counted.size() &&
           counted[last]->m_arrivedAt < counted[first]->m_arrivedAt + kWindow) {
      ++last;
    }
    maximum = std::max(maximum, last - first);
  }
  return maximum;
}

// Returns the requests per second after the first kContactTime of a phase.
double
ArrivalRate(const LimitPhase& aPhase, SteadyTime aEnd)
{
  const SteadyTime from = aPhase.m_from + kContactTime;
  const auto count =
    std::ranges::count_if(aPhase.m_arrivals, [&](const Arrival& aArrival) {
      return aArrival.m_arrivedAt >= from;
    });
  return static_cast<double>(count) / duration<double>(aEnd - from).count();
}

void
CheckPhase(const LimitPhase& aPhase, SteadyTime aEnd)
{
  INFO("limit " << (aPhase.m_rate ? std::to_string(*aPhase.m_rate) : "none")
                << " for " << duration<double>(aEnd - aPhase.m_from).count()
                << " s");
  const double rate = ArrivalRate(aPhase, aEnd);
  if (!aPhase.m_rate) {
    // Two instances or more, not one only, send all their requests again.
    CHECK(rate >= 2 * kOfferedPerSecond);
    return;
  }
  CHECK(static_cast<double>(MaxInWindow(aPhase)) <=
        kMaxPerRate * *aPhase.m_rate * duration<double>(kWindow).count() +
          kMaxExtra);
  CHECK(rate >= kMinUsed * *aPhase.m_rate);
}

// RATTANWEIR_LIMIT_SEEDS sets the number of random seeds that are run.
std::uint64_t
SeedCount()
{
  const char* text = std::getenv("RATTANWEIR_LIMIT_SEEDS");
  return text == nullptr ? 1 : std::stoull(text);
}

void
CheckLimitedServers(const SimulatedFleetOptions& aOptions)
{
  LimitedServerFleet servers(aOptions);
  RunLimitedServers(servers);
  for (const LimitedServer& server : servers.Servers()) {
    INFO("seed " << aOptions.m_seed << ", server "
                 << server.m_record.m_id.Value());
    for (std::size_t index = 0; index < server.m_phases.size(); ++index) {
      const bool isLast = index + 1 == server.m_phases.size();
      if (isLast && !server.m_isRunning) {
        continue;
      }
      CheckPhase(server.m_phases[index],
                 isLast ? servers.Fleet().Now()
                        : server.m_phases[index + 1].m_from);
    }
  }
}

TEST_CASE("a server that names a limit is kept to it by instances whose views "
          "differ")
{
  for (const std::size_t instances : { 8U, 65U, 86U, 370U }) {
    for (const ViewFaults& faults : kAllViewFaults) {
      DYNAMIC_SECTION(instances << " instances, views " << faults.m_name)
      {
        for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
          CheckLimitedServers(
            { .m_instances = instances, .m_seed = seed, .m_faults = faults });
        }
      }
    }
  }
}

} // namespace
} // namespace rattanweir
