#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/entry_list.h"
#include "testing/gateway_fixture/gateway_fixture.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

TEST_CASE("callers are named instances of their region, else of all")
{
  GatewayFixture fixture;
  const auto entries = [&](const char* aRegion) {
    return SelectEntryEndpoints(fixture.m_fleet,
                                { .m_region = RegionId(aRegion) },
                                fixture.m_random)
      .size();
  };
  CHECK(entries("north") == 1);
  CHECK(entries("south") == 1);
  CHECK(entries("elsewhere") == 2);
  fixture.m_fleet.Self().m_isDraining = true;
  CHECK(entries("north") == 1);
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  CHECK(entries("north") == 0);
}

TEST_CASE("callers are named instances of their zone if it has enough")
{
  ManualClock clock;
  RandomEngine random{ 3 };
  FleetView fleet(
    { .m_clock = clock, .m_self = { .m_id = InstanceId("self") } });
  const auto join = [&](int aNumber, const char* aZone) {
    const FleetMember row[] = { { .m_id = InstanceId(std::to_string(aNumber)),
                                  .m_incarnation = Incarnation(1),
                                  .m_sequence = 1,
                                  .m_region = RegionId("r"),
                                  .m_zone = AvailabilityZoneId(aZone),
                                  .m_callerAddress = { .m_address = "10.0.0.1",
                                                       .m_port = 1 },
                                  .m_isReady = true } };
    fleet.Merge(row, row[0].m_id);
  };
  const auto entries = [&] {
    return SelectEntryEndpoints(
             fleet,
             { .m_region = RegionId("r"), .m_zone = AvailabilityZoneId("r-a") },
             random)
      .size();
  };
  join(1, "r-a");
  join(2, "r-a");
  join(3, "r-b");
  join(4, "r-b");
  CHECK(entries() == 4);
  join(5, "r-a");
  CHECK(entries() == 3);
}

TEST_CASE("a weak instance is named to fewer callers than a strong one")
{
  ManualClock clock;
  RandomEngine random{ 3 };
  FleetView fleet({ .m_clock = clock,
                    .m_self = { .m_id = InstanceId("strong"),
                                .m_region = RegionId("r"),
                                .m_callerAddress = ParseEndpoint("10.0.0.1:1"),
                                .m_isReady = true,
                                .m_capacity = 0.5 } });
  const FleetMember weak[] = { { .m_id = InstanceId("weak"),
                                 .m_incarnation = Incarnation(1),
                                 .m_sequence = 1,
                                 .m_region = RegionId("r"),
                                 .m_callerAddress = ParseEndpoint("10.0.0.2:1"),
                                 .m_isReady = true,
                                 .m_capacity = 0.125 } };
  fleet.Merge(weak, weak[0].m_id);
  int named = 0;
  constexpr int kResponses = 1'000;
  for (int response = 0; response < kResponses; ++response) {
    const auto entries =
      SelectEntryEndpoints(fleet, { .m_region = RegionId("r") }, random);
    CHECK(!entries.empty());
    named += entries.size() == 2 ? 1 : 0;
  }
  CHECK(named > kResponses / 6);
  CHECK(named < kResponses / 3);
}

} // namespace
} // namespace rattanweir
