#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/entry_list.h"
#include "testing/gateway_fixture/gateway_fixture.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

TEST_CASE(
  "callers get the instances of their region, or of all regions if it has none")
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

TEST_CASE("callers get only instances of their zone if it has at least three")
{
  ManualClock clock;
  RandomEngine random{ 3 };
  FleetView fleet(
    { .m_clock = clock, .m_self = { .m_id = InstanceId("self") } });
  const auto addMember = [&](int aNumber, const char* aZone) {
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
  addMember(1, "r-a");
  addMember(2, "r-a");
  addMember(3, "r-b");
  addMember(4, "r-b");
  CHECK(entries() == 4);
  addMember(5, "r-a");
  CHECK(entries() == 3);
}

TEST_CASE("an instance of lower capacity is returned to fewer callers")
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
  int bothReturned = 0;
  constexpr int kResponses = 1'000;
  for (int response = 0; response < kResponses; ++response) {
    const auto entries =
      SelectEntryEndpoints(fleet, { .m_region = RegionId("r") }, random);
    CHECK(!entries.empty());
    bothReturned += entries.size() == 2 ? 1 : 0;
  }
  CHECK(bothReturned > kResponses / 6);
  CHECK(bothReturned < kResponses / 3);
}

TEST_CASE("instances that reach no server are left out while at least half do")
{
  ManualClock clock;
  RandomEngine random{ 3 };
  const RegionId region("r");
  FleetView fleet({ .m_clock = clock,
                    .m_self = { .m_id = InstanceId("self"),
                                .m_region = region,
                                .m_callerAddress = ParseEndpoint("10.0.0.9:1"),
                                .m_isReady = true } });
  std::uint64_t sequence = 0;
  const auto setMember = [&](int aNumber, bool aIsCutOff) {
    FleetMember row{ .m_id = InstanceId(std::to_string(aNumber)),
                     .m_incarnation = Incarnation(1),
                     .m_sequence = ++sequence,
                     .m_region = region,
                     .m_callerAddress = { .m_address = "10.0.0.1",
                                          .m_port = std::uint16_t(aNumber) },
                     .m_isReady = true };
    row.m_pools = { { PoolId("p"), {} }, { PoolId("q"), {} } };
    if (aIsCutOff) {
      row.m_unreachablePools = { PoolId("p"), PoolId("q") };
    } else {
      // The pool's servers may have failed.
      row.m_unreachablePools = { PoolId("q") };
    }
    fleet.Merge(std::span(&row, 1), row.m_id);
  };
  const auto entries = [&] {
    return SelectEntryEndpoints(fleet, { .m_region = region }, random).size();
  };
  for (int number = 1; number <= 5; ++number) {
    setMember(number, false);
  }
  CHECK(entries() == 6);
  setMember(1, true);
  CHECK(entries() == 5);
  setMember(2, true);
  setMember(3, true);
  CHECK(entries() == 3);
  setMember(4, true);
  CHECK(entries() == 6);
}

} // namespace
} // namespace rattanweir
