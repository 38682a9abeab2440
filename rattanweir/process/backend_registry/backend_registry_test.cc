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
      if (server->TakesWork()) {
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
  Registry world;
  ServerRecord record = Registry::Record("s");
  world.m_registry.Put(record);
  CHECK(world.Usable() == Ids{ "s@1" });
  record.m_isLeaving = true;
  world.m_registry.Put(record);
  CHECK(world.Usable().empty());
  record.m_isLeaving = false;
  world.m_registry.Put(record);
  CHECK(world.Usable().empty());
  world.m_registry.Put(Registry::Record("s", 2));
  CHECK(world.Usable() == Ids{ "s@2" });
}

TEST_CASE("the incarnations that are known are listed")
{
  Registry world;
  world.m_registry.Put(Registry::Record("s", 1));
  world.m_registry.Put(Registry::Record("s", 2));
  world.m_registry.Put(Registry::Record("t", 5));
  CHECK(world.m_registry.Incarnations() ==
        std::set<BackendServerId>{ BackendServerId("s@2"),
                                   BackendServerId("t@5") });
}

TEST_CASE("a removal that is published counts at once")
{
  Registry world;
  world.m_registry.Put(Registry::Record("s"));
  world.m_registry.Remove(BackendServerId("s"), Removal::Published);
  CHECK(world.Usable().empty());
}

TEST_CASE("an entry that lapsed while the list was away has time to return")
{
  Registry world;
  world.m_registry.Put(Registry::Record("back"));
  world.m_registry.Put(Registry::Record("gone"));
  world.m_registry.KeepOnly({}, Removal::Lapsed);
  CHECK(world.Usable() == Ids{ "back@1", "gone@1" });
  world.m_registry.Put(Registry::Record("back"));
  world.m_clock.Advance(milliseconds(2'600));
  world.m_registry.Tick();
  CHECK(world.Usable() == Ids{ "back@1" });
}

TEST_CASE("servers of an evacuated zone get nothing and come back cold")
{
  Registry world;
  const auto coldTime = [](const PoolId&) { return seconds(3); };
  world.m_registry.Put(Registry::Record("s"));
  world.m_registry.SetEvacuatedZones({ kZone }, coldTime);
  CHECK(world.Usable().empty());
  CHECK(world.m_registry.RegionsOf(kPool).empty());
  world.m_registry.Put(Registry::Record("t"));
  CHECK(world.Usable().empty());
  world.m_registry.SetEvacuatedZones({}, coldTime);
  CHECK(world.Usable() == Ids{ "s@1", "t@1" });
  const KnownServer* server = world.m_registry.Find(BackendServerId("s@1"));
  CHECK(server->m_coldUntil == world.m_clock.SteadyNow() + seconds(3));
}

TEST_CASE("a server in an unknown zone is not taken")
{
  Registry world;
  ServerRecord record = Registry::Record("s");
  record.m_zone = AvailabilityZoneId("elsewhere");
  CHECK_FALSE(world.m_registry.Put(record));
  CHECK(world.m_registry.Size() == 0);
}

TEST_CASE("a renewed entry does not shorten the cold time")
{
  Registry world;
  ServerRecord record = Registry::Record("s");
  record.m_coldFor = seconds(3);
  world.m_registry.Put(record);
  const SteadyTime until = world.m_clock.SteadyNow() + seconds(3);
  world.m_clock.Advance(seconds(1));
  world.m_registry.Put(Registry::Record("s"));
  CHECK(world.m_registry.Find(BackendServerId("s@1"))->m_coldUntil == until);
}

} // namespace
} // namespace rattanweir
