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

class Registry
{
public:
  Registry()
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

  // The servers that take work.
  std::vector<std::string> Usable() const
  {
    std::vector<std::string> ids;
    for (const KnownServer* server : m_registry.ServersOf(kPool, kRegion)) {
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

TEST_CASE("a server that leaves gets no work again in that incarnation")
{
  Registry fixture;
  ServerRecord record = Registry::Record("s");
  fixture.m_registry.Put(record);
  CHECK(fixture.Usable() == Ids{ "s@1" });
  record.m_isDraining = true;
  fixture.m_registry.Put(record);
  CHECK(fixture.Usable().empty());
  record.m_isDraining = false;
  fixture.m_registry.Put(record);
  CHECK(fixture.Usable().empty());
  fixture.m_registry.Put(Registry::Record("s", 2));
  CHECK(fixture.Usable() == Ids{ "s@2" });
}

TEST_CASE("the incarnations that are known are listed")
{
  Registry fixture;
  fixture.m_registry.Put(Registry::Record("s", 1));
  fixture.m_registry.Put(Registry::Record("s", 2));
  fixture.m_registry.Put(Registry::Record("t", 5));
  CHECK(fixture.m_registry.Incarnations() ==
        std::set<BackendServerId>{ BackendServerId("s@2"),
                                   BackendServerId("t@5") });
}

TEST_CASE("a removal that is published counts at once")
{
  Registry fixture;
  fixture.m_registry.Put(Registry::Record("s"));
  fixture.m_registry.Remove(BackendServerId("s"), Removal::Published);
  CHECK(fixture.Usable().empty());
}

TEST_CASE("an entry that lapsed while the list was away has time to return")
{
  Registry fixture;
  fixture.m_registry.Put(Registry::Record("back"));
  fixture.m_registry.Put(Registry::Record("gone"));
  fixture.m_registry.KeepOnly({}, Removal::Lapsed);
  CHECK(fixture.Usable() == Ids{ "back@1", "gone@1" });
  fixture.m_registry.Put(Registry::Record("back"));
  fixture.m_clock.Advance(milliseconds(2'600));
  fixture.m_registry.Tick();
  CHECK(fixture.Usable() == Ids{ "back@1" });
}

TEST_CASE("servers of an evacuated zone get nothing and come back cold")
{
  Registry fixture;
  const auto coldTime = [](const PoolId&) { return seconds(3); };
  fixture.m_registry.Put(Registry::Record("s"));
  fixture.m_registry.SetEvacuatedZones({ kZone }, coldTime);
  CHECK(fixture.Usable().empty());
  CHECK(fixture.m_registry.RegionsOf(kPool).empty());
  fixture.m_registry.Put(Registry::Record("t"));
  CHECK(fixture.Usable().empty());
  fixture.m_registry.SetEvacuatedZones({}, coldTime);
  CHECK(fixture.Usable() == Ids{ "s@1", "t@1" });
  const KnownServer* server = fixture.m_registry.Find(BackendServerId("s@1"));
  CHECK(server->m_coldUntil == fixture.m_clock.SteadyNow() + seconds(3));
}

TEST_CASE("a server in an unknown zone is not taken")
{
  Registry fixture;
  ServerRecord record = Registry::Record("s");
  record.m_zone = AvailabilityZoneId("elsewhere");
  CHECK_FALSE(fixture.m_registry.Put(record));
  CHECK(fixture.m_registry.Size() == 0);
}

TEST_CASE("a renewed entry does not shorten the cold time")
{
  Registry fixture;
  ServerRecord record = Registry::Record("s");
  record.m_coldFor = seconds(3);
  fixture.m_registry.Put(record);
  const SteadyTime until = fixture.m_clock.SteadyNow() + seconds(3);
  fixture.m_clock.Advance(seconds(1));
  fixture.m_registry.Put(Registry::Record("s"));
  CHECK(fixture.m_registry.Find(BackendServerId("s@1"))->m_coldUntil == until);
}

} // namespace
} // namespace rattanweir
