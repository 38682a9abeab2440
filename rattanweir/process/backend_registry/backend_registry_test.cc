#include "rattanweir/process/backend_registry/backend_registry.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PoolId kPool("pool");
const RegionId kRegion("north");
const AvailabilityZoneId kZone("north-a");

class Fixture
{
public:
  Fixture()
    : m_registry(
        { .m_clock = m_clock, .m_regionOfZone = { { kZone, kRegion } } })
  {
  }

  static ServerRecord Record(const char* aId, std::int64_t aStart = 1)
  {
    return { .m_id = BackendServerId(aId),
             .m_startedAtMs = aStart,
             .m_pool = kPool,
             .m_zone = kZone };
  }

  // Returns the incarnations that accept requests.
  std::vector<std::string> UsableIncarnations() const
  {
    std::vector<std::string> ids;
    for (const RegisteredServer* server :
         m_registry.ServersOf(kPool, kRegion)) {
      if (server->AcceptsRequests()) {
        ids.push_back(server->m_incarnation.Value());
      }
    }
    return ids;
  }

  ManualClock m_clock;
  BackendRegistry m_registry;
};

using Ids = std::vector<std::string>;

TEST_CASE("a draining server never accepts requests again in that incarnation")
{
  Fixture fixture;
  ServerRecord record = Fixture::Record("s");
  fixture.m_registry.Put(record);
  CHECK(fixture.UsableIncarnations() == Ids{ "s@1" });
  record.m_isDraining = true;
  fixture.m_registry.Put(record);
  CHECK(fixture.UsableIncarnations().empty());
  record.m_isDraining = false;
  fixture.m_registry.Put(record);
  CHECK(fixture.UsableIncarnations().empty());
  fixture.m_registry.Put(Fixture::Record("s", 2));
  CHECK(fixture.UsableIncarnations() == Ids{ "s@2" });
}

TEST_CASE("a server that was reported draining stays so, registered or not")
{
  Fixture fixture;
  const BackendServerId first("s@1");
  CHECK(fixture.m_registry.MarkDraining(first));
  CHECK_FALSE(fixture.m_registry.MarkDraining(first));
  fixture.m_registry.Put(Fixture::Record("s"));
  CHECK(fixture.UsableIncarnations().empty());
  fixture.m_registry.Put(Fixture::Record("s", 2));
  CHECK(fixture.UsableIncarnations() == Ids{ "s@2" });
  fixture.m_clock.Advance(std::chrono::minutes(2));
  fixture.m_registry.Tick();
  CHECK(fixture.m_registry.DrainingToAdvertise().empty());
  fixture.m_registry.Put(Fixture::Record("s"));
  CHECK(fixture.UsableIncarnations().empty());
}

TEST_CASE("an incarnation that was replaced while draining does not return")
{
  Fixture fixture;
  ServerRecord record = Fixture::Record("s");
  record.m_isDraining = true;
  fixture.m_registry.Put(record);
  fixture.m_registry.Put(Fixture::Record("s", 2));
  fixture.m_registry.Put(Fixture::Record("s"));
  CHECK(fixture.UsableIncarnations().empty());
}

TEST_CASE("Incarnations returns the current incarnation of each server")
{
  Fixture fixture;
  fixture.m_registry.Put(Fixture::Record("s", 1));
  fixture.m_registry.Put(Fixture::Record("s", 2));
  fixture.m_registry.Put(Fixture::Record("t", 5));
  CHECK(fixture.m_registry.Incarnations() ==
        std::set<BackendServerId>{ BackendServerId("s@2"),
                                   BackendServerId("t@5") });
}

TEST_CASE("a published removal takes effect immediately")
{
  Fixture fixture;
  fixture.m_registry.Put(Fixture::Record("s"));
  fixture.m_registry.Remove(BackendServerId("s"), RemovalReason::Published);
  CHECK(fixture.UsableIncarnations().empty());
}

TEST_CASE("a lapsed entry is removed only after the grace period")
{
  Fixture fixture;
  fixture.m_registry.Put(Fixture::Record("returns"));
  fixture.m_registry.Put(Fixture::Record("absent"));
  fixture.m_registry.KeepOnly({}, RemovalReason::Lapsed);
  CHECK(fixture.UsableIncarnations() == Ids{ "absent@1", "returns@1" });
  fixture.m_registry.Put(Fixture::Record("returns"));
  fixture.m_clock.Advance(milliseconds(2'600));
  fixture.m_registry.Tick();
  CHECK(fixture.UsableIncarnations() == Ids{ "returns@1" });
}

TEST_CASE(
  "servers of an evacuated zone accept no requests and are cold afterwards")
{
  Fixture fixture;
  const auto coldTime = [](const PoolId&) { return seconds(3); };
  fixture.m_registry.Put(Fixture::Record("s"));
  fixture.m_registry.SetEvacuatedZones({ kZone }, coldTime);
  CHECK(fixture.UsableIncarnations().empty());
  CHECK(fixture.m_registry.RegionsOf(kPool).empty());
  fixture.m_registry.Put(Fixture::Record("t"));
  CHECK(fixture.UsableIncarnations().empty());
  fixture.m_registry.SetEvacuatedZones({}, coldTime);
  CHECK(fixture.UsableIncarnations() == Ids{ "s@1", "t@1" });
  const RegisteredServer* server =
    fixture.m_registry.Find(BackendServerId("s@1"));
  CHECK(server->m_coldUntil == fixture.m_clock.SteadyNow() + seconds(3));
}

TEST_CASE("a server in an unknown zone is rejected")
{
  Fixture fixture;
  ServerRecord record = Fixture::Record("s");
  record.m_zone = AvailabilityZoneId("unknown");
  CHECK_FALSE(fixture.m_registry.Put(record));
  CHECK(fixture.m_registry.Size() == 0);
}

TEST_CASE("renewing an entry does not shorten the cold time")
{
  Fixture fixture;
  ServerRecord record = Fixture::Record("s");
  record.m_coldFor = seconds(3);
  fixture.m_registry.Put(record);
  const SteadyTime until = fixture.m_clock.SteadyNow() + seconds(3);
  fixture.m_clock.Advance(seconds(1));
  fixture.m_registry.Put(Fixture::Record("s"));
  CHECK(fixture.m_registry.Find(BackendServerId("s@1"))->m_coldUntil == until);
}

TEST_CASE("a region is found by the software version of its servers")
{
  Fixture fixture;
  ServerRecord record = Fixture::Record("s");
  record.m_softwareVersion = "v1";
  fixture.m_registry.Put(record);
  CHECK(fixture.m_registry.RegionsOf(kPool).size() == 1);
  CHECK(fixture.m_registry.RegionsOf(kPool, "v1").size() == 1);
  CHECK(fixture.m_registry.RegionsOf(kPool, "v1.1").empty());
  const std::string unusable[] = {
    "", "v 1", "v1\n", "\x80", std::string(200, 'v')
  };
  for (const std::string& version : unusable) {
    record.m_softwareVersion = version;
    fixture.m_registry.Put(record);
    CHECK(fixture.m_registry.RegionsOf(kPool, version).empty());
    CHECK(fixture.m_registry.RegionsOf(kPool).size() == 1);
  }
}

TEST_CASE("a server that has started anew supersedes its earlier incarnation")
{
  Fixture fixture;
  fixture.m_registry.Put(Fixture::Record("s", 1));
  const RegisteredServer first =
    *fixture.m_registry.Find(BackendServerId("s@1"));
  CHECK_FALSE(fixture.m_registry.IsSuperseded(first));
  fixture.m_registry.Put(Fixture::Record("s", 2));
  CHECK(fixture.m_registry.IsSuperseded(first));
  fixture.m_registry.Remove(BackendServerId("s"), RemovalReason::Published);
  CHECK_FALSE(fixture.m_registry.IsSuperseded(first));
}

TEST_CASE("refusals for want of a path leave a server as cold as it was")
{
  Fixture fixture;
  fixture.m_registry.Put(Fixture::Record("warm"));
  fixture.m_registry.Put(Fixture::Record("cold"));
  const BackendServerId warm("warm@1");
  const BackendServerId cold("cold@1");
  fixture.m_registry.MarkCold(cold, seconds(2));
  const SteadyTime coldUntil = fixture.m_registry.Find(cold)->m_coldUntil;
  for (const BackendServerId& server : { warm, cold }) {
    fixture.m_registry.RecordRefusedConnection(server, seconds(3));
    fixture.m_registry.RecordRefusedConnection(server, seconds(3));
  }
  REQUIRE(fixture.m_registry.Find(warm)->m_coldUntil >
          fixture.m_clock.SteadyNow());
  fixture.m_registry.ForgiveRefusals(kRegion);
  CHECK(fixture.m_registry.Find(warm)->m_coldUntil <=
        fixture.m_clock.SteadyNow());
  CHECK(fixture.m_registry.Find(cold)->m_coldUntil == coldUntil);
  // The next response is not that of a server that has just started.
  fixture.m_registry.RecordResponse(
    warm, seconds(3), fixture.m_clock.SteadyNow());
  CHECK(fixture.m_registry.Find(warm)->m_coldUntil <=
        fixture.m_clock.SteadyNow());
}

constexpr auto kColdTimeOfPool = [](const PoolId&) {
  return std::chrono::nanoseconds(seconds(3));
};

// Guards against an instance that did not see a server end and took its
// new process for the one before.
TEST_CASE("a refusal that a peer tells of makes a server cold, once for each "
          "time that the peer lists it")
{
  Fixture fixture;
  fixture.m_registry.Put(Fixture::Record("s"));
  const BackendServerId server("s@1");
  const InstanceId peer("p");
  const auto isCold = [&] {
    return fixture.m_registry.Find(server)->m_coldUntil >
           fixture.m_clock.SteadyNow();
  };
  const auto tell = [&](const InstanceId& aPeer) {
    return fixture.m_registry.RecordRefusalsOfPeer(
      aPeer, { server, BackendServerId("gone@1") }, kColdTimeOfPool);
  };
  const SteadyTime before = fixture.m_clock.SteadyNow();
  fixture.m_clock.Advance(milliseconds(100));
  CHECK(tell(peer) == std::vector<BackendServerId>{ server });
  CHECK(isCold());
  // What a peer told is not told again.
  fixture.m_clock.Advance(seconds(1));
  CHECK(fixture.m_registry.RefusalsToAdvertise().empty());
  fixture.m_registry.RecordRefusedConnection(server, seconds(3));
  fixture.m_clock.Advance(seconds(1));
  CHECK(fixture.m_registry.RefusalsToAdvertise().empty());
  // A response to what was sent before the end is that of the process before.
  fixture.m_registry.RecordResponse(server, seconds(3), before);
  CHECK(fixture.m_registry.Find(server)->m_hasRefused);
  fixture.m_registry.RecordResponse(
    server, seconds(3), fixture.m_clock.SteadyNow());
  CHECK(fixture.m_registry.Find(server)->m_coldUntil ==
        fixture.m_clock.SteadyNow() + seconds(3));
  // The records of peers stand for longer than the server is cold.
  fixture.m_clock.Advance(seconds(5));
  CHECK(tell(peer).empty());
  CHECK_FALSE(isCold());
  fixture.m_registry.RecordRefusalsOfPeer(peer, {}, kColdTimeOfPool);
  CHECK(tell(peer).size() == 1);
  CHECK(tell(InstanceId("q")).empty());
  // The new entry says more than the guess.
  ServerRecord next = Fixture::Record("s", 2);
  next.m_coldFor = seconds(1);
  fixture.m_registry.Put(next);
  CHECK(fixture.m_registry.Find(BackendServerId("s@2"))->m_coldUntil ==
        fixture.m_clock.SteadyNow() + seconds(1));
  CHECK(tell(InstanceId("r")).empty());
}

TEST_CASE("a refused connection is advertised for a while, unless it was "
          "refused for want of a path")
{
  Fixture fixture;
  fixture.m_registry.Put(Fixture::Record("s"));
  const std::set<BackendServerId> server = { BackendServerId("s@1") };
  fixture.m_registry.RecordRefusedConnection(*server.begin(), seconds(3));
  CHECK(fixture.m_registry.RefusalsToAdvertise().empty());
  fixture.m_clock.Advance(milliseconds(100));
  CHECK(fixture.m_registry.RefusalsToAdvertise() == server);
  // Renewing the entry changes nothing.
  fixture.m_registry.Put(Fixture::Record("s"));
  CHECK(fixture.m_registry.RefusalsToAdvertise() == server);
  fixture.m_clock.Advance(seconds(4));
  CHECK(fixture.m_registry.RefusalsToAdvertise().empty());
  fixture.m_registry.RecordRefusedConnection(*server.begin(), seconds(3));
  fixture.m_clock.Advance(milliseconds(100));
  CHECK(fixture.m_registry.RefusalsToAdvertise() == server);
  fixture.m_registry.ForgiveRefusals(kRegion);
  CHECK(fixture.m_registry.RefusalsToAdvertise().empty());
}

} // namespace
} // namespace rattanweir
