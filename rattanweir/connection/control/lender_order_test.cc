#include "rattanweir/connection/control/lender_order.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>

namespace rattanweir {
namespace {

constexpr std::size_t kMaxLenders = 8;

// Returns the record of one instance. Consecutive numbers cycle through 11
// regions of two availability zones each.
InstanceRecord
MakeRecord(unsigned aNumber)
{
  const std::string region = "r" + std::to_string(aNumber % 11);
  const std::string zone = region + (aNumber / 11 % 2 == 0 ? "a" : "b");
  return { .m_id = InstanceId("i-" + std::to_string(aNumber)),
           .m_region = RegionId(region),
           .m_zone = AvailabilityZoneId(zone) };
}

struct Fixture
{
  explicit Fixture(unsigned aSelf, unsigned aInstances = 370)
    : m_membership({ .m_clock = m_clock, .m_self = MakeRecord(aSelf).m_id })
  {
    std::vector<InstanceRecord> list;
    for (unsigned number = 0; number < aInstances; ++number) {
      list.push_back(MakeRecord(number));
    }
    m_membership.ApplyList(list);
    for (const InstanceRecord& record : list) {
      m_membership.ApplyHeartbeat(
        { .m_from = record.m_id, .m_sequence = 1, .m_isReady = true });
    }
  }

  std::vector<InstanceId> Lenders(std::size_t aSkipped,
                                  std::size_t aMax,
                                  const std::string& aAccount = "parents") const
  {
    return LendersByDistance(m_membership,
                             { .m_clientAccount = ClientAccountId(aAccount),
                               .m_skipped = aSkipped,
                               .m_max = aMax });
  }

  int DistanceOf(const InstanceId& aPeer) const
  {
    const InstanceRecord self = *m_membership.Self();
    const InstanceRecord peer = m_membership.Find(aPeer)->m_record;
    return (peer.m_region == self.m_region ? 0 : 2) +
           (peer.m_zone == self.m_zone ? 0 : 1);
  }

  ManualClock m_clock;
  Membership m_membership;
};

TEST_CASE("lenders are ordered nearest first and contain each usable peer once")
{
  Fixture fixture(0);
  const auto all = fixture.Lenders(0, 1'000);
  REQUIRE(all.size() == 369);
  REQUIRE(std::set(all.begin(), all.end()).size() == 369);
  REQUIRE(
    std::is_sorted(all.begin(), all.end(), [&](auto& aLeft, auto& aRight) {
      return fixture.DistanceOf(aLeft) < fixture.DistanceOf(aRight);
    }));
  // With skipped lenders and a limit, the result is that part of the complete
  // order.
  for (const std::size_t skipped : { 0, 5, 16, 40, 365, 369, 400 }) {
    INFO(skipped);
    const std::size_t first = std::min<std::size_t>(skipped, all.size());
    const std::size_t last = std::min(first + kMaxLenders, all.size());
    REQUIRE(fixture.Lenders(skipped, kMaxLenders) ==
            std::vector(all.begin() + first, all.begin() + last));
  }
  fixture.m_membership.MarkUnreachable(all.front());
  REQUIRE(fixture.Lenders(0, 1).front() == all[1]);
  REQUIRE(Fixture(400).Lenders(0, kMaxLenders).empty());
}

TEST_CASE("different borrowers and accounts start with different lenders")
{
  std::set<InstanceId> firstOfBorrowers;
  // The 17 instances of one availability zone.
  for (unsigned self = 0; self < 370; self += 22) {
    firstOfBorrowers.insert(Fixture(self).Lenders(0, 1).front());
  }
  CHECK(firstOfBorrowers.size() >= 9);
  const Fixture fixture(0);
  std::set<InstanceId> firstOfAccounts;
  for (int account = 0; account < 100; ++account) {
    firstOfAccounts.insert(
      fixture.Lenders(0, 1, std::to_string(account)).front());
  }
  CHECK(firstOfAccounts.size() >= 14);
}

} // namespace
} // namespace rattanweir
