#include "rattanweir/process/server_room/server_room.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PoolId kPool("p");
const BackendServerId kServer("s@1");
constexpr unsigned kSlots = 12;

struct Bench
{
  explicit Bench(std::size_t aInstances)
  {
    for (std::size_t index = 0; index < aInstances; ++index) {
      m_instances.emplace_back("i" + std::to_string(index));
    }
  }

  std::optional<RoomShare> Share(std::size_t aInstance = 0,
                                 const BackendServerId& aServer = kServer)
  {
    return m_rooms.ShareOf({ .m_server = aServer,
                             .m_pool = kPool,
                             .m_slots = kSlots,
                             .m_self = m_instances[aInstance],
                             .m_instances = m_instances });
  }

  RoomRefusal Refusal(std::optional<unsigned> aAtServer = std::nullopt) const
  {
    return { .m_server = kServer,
             .m_pool = kPool,
             .m_slots = kSlots,
             .m_atServer = aAtServer,
             .m_instances = m_instances.size() };
  }

  ManualClock m_clock;
  RandomEngine m_random{ 1 };
  ServerRooms m_rooms{ { .m_clock = m_clock, .m_random = m_random } };
  std::vector<InstanceId> m_instances;
};

TEST_CASE("servers that state nothing are not limited")
{
  Bench bench(3);
  CHECK_FALSE(bench.Share());
  bench.m_rooms.RecordRefusal(bench.Refusal());
  CHECK_FALSE(bench.Share());
  CHECK(bench.m_rooms.RefusalsToAdvertise().empty());
}

TEST_CASE("the instances' shares are the server's room, in a large region of "
          "some of them")
{
  for (const std::size_t instances : { 1U, 3U, 5U, 12U, 22U }) {
    CAPTURE(instances);
    Bench bench(instances);
    bench.m_rooms.RecordStatement(kPool, RequestRate(10));
    std::size_t sum = 0;
    std::size_t holders = 0;
    for (std::size_t index = 0; index < instances; ++index) {
      const unsigned share = bench.Share(index)->m_maxInFlight;
      sum += share;
      holders += share > 0 ? 1 : 0;
    }
    CHECK(sum == kSlots);
    CHECK(holders == std::min<std::size_t>(instances, 6));
  }
}

TEST_CASE("a refusal lowers the room, which comes back step by step, and makes "
          "the instance pause")
{
  Bench bench(4);
  bench.m_rooms.RecordStatement(kPool, RequestRate(8));
  CHECK(bench.Share()->m_room == 12);
  bench.m_rooms.RecordRefusal(bench.Refusal(8));
  CHECK(bench.Share()->m_room == 6);
  // Four instances that each provoke a refusal a second stay at half of 8.
  CHECK(bench.Share()->m_pause >= milliseconds(750));
  CHECK(bench.Share()->m_pause <= milliseconds(1'250));
  bench.m_clock.Advance(seconds(2));
  CHECK(bench.Share()->m_room == 10);
  CHECK(bench.Share()->m_pause == std::chrono::nanoseconds::zero());
  bench.m_clock.Advance(seconds(5));
  CHECK(bench.Share()->m_room == 12);
}

TEST_CASE("peers are told of a refusal, and pause at different times")
{
  Bench bench(20);
  bench.m_rooms.RecordStatement(kPool, RequestRate(10));
  bench.m_rooms.RecordRefusal(bench.Refusal());
  const auto told = bench.m_rooms.RefusalsToAdvertise();
  REQUIRE(told.contains(kServer));
  CHECK(bench.m_rooms.StatementsToAdvertise().at(kPool) == RequestRate(10));

  Bench peer(20);
  peer.m_rooms.MergeStatement(kPool, RequestRate(10));
  peer.m_rooms.MergeRefusal(InstanceId("i1"), peer.Refusal(), told.at(kServer));
  CHECK(peer.Share()->m_room == 9);
  const auto pause = peer.Share()->m_pause;
  CHECK(pause > std::chrono::nanoseconds::zero());
  // The same report again changes nothing, and is not passed on.
  peer.m_rooms.MergeRefusal(InstanceId("i1"), peer.Refusal(), told.at(kServer));
  CHECK(peer.Share()->m_pause == pause);
  CHECK(peer.m_rooms.RefusalsToAdvertise().empty());
  CHECK(peer.m_rooms.StatementsToAdvertise().empty());

  bench.m_clock.Advance(seconds(4));
  CHECK(bench.m_rooms.RefusalsToAdvertise().empty());
}

TEST_CASE("a server that appears meanwhile is approached slowly")
{
  Bench bench(3);
  bench.m_rooms.RecordStatement(kPool, RequestRate(10));
  bench.Share();
  bench.m_clock.Advance(seconds(3));
  bench.m_rooms.RecordStatement(kPool, RequestRate(10));
  const BackendServerId returned("s@2");
  CHECK(bench.Share(0, returned)->m_room == 3);
  bench.m_clock.Advance(seconds(2));
  CHECK(bench.Share(0, returned)->m_room == 7);
  CHECK(bench.Share()->m_room == 12);
}

TEST_CASE("a statement ends when no server makes it any more")
{
  Bench bench(3);
  bench.m_rooms.RecordStatement(kPool, RequestRate(10));
  bench.m_clock.Advance(seconds(8));
  CHECK(bench.Share());
  bench.m_clock.Advance(seconds(1));
  CHECK_FALSE(bench.Share());
}

TEST_CASE("a server that bears no refusal at all is left alone for the longest "
          "pause")
{
  Bench bench(3);
  bench.m_rooms.RecordStatement(kPool, RequestRate(0));
  bench.m_rooms.RecordRefusal(bench.Refusal());
  CHECK(bench.Share()->m_pause >= milliseconds(2'250));
  CHECK(bench.Share()->m_pause <= milliseconds(3'750));
}

} // namespace
} // namespace rattanweir
