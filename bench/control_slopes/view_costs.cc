#include "bench/control_slopes/view_costs.h"

#include "bench/control_slopes/measure.h"
#include "bench/control_slopes/slope_table.h"
#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/process/heartbeat_targets/heartbeat_targets.h"
#include "rattanweir/process/membership/membership.h"
#include "rattanweir/request/routing/backend_selector.h"

#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rattanweir {
namespace {

constexpr std::size_t kRegions = 11;
constexpr std::size_t kCalls = 200;
const std::vector<std::size_t> kCounts{ 10, 100, 1'000, 10'000 };

InstanceRecord
MakeInstanceRecord(std::size_t aNumber)
{
  const std::string region = "region-" + std::to_string(aNumber % kRegions);
  return { .m_id = InstanceId("instance-" + std::to_string(aNumber)),
           .m_region = RegionId(region),
           .m_zone = AvailabilityZoneId(region + "-a"),
           .m_callerAddress = { "10.100.100.100", 8080 },
           .m_peerAddress = { "10.100.100.100", 8081 } };
}

// A membership view of `aCount` peers, with one heartbeat received from each.
struct PeersFixture
{
  explicit PeersFixture(std::size_t aCount)
  {
    std::vector<InstanceRecord> list;
    for (std::size_t number = 0; number <= aCount; ++number) {
      list.push_back(MakeInstanceRecord(number));
    }
    m_bytesBefore = BytesInUse();
    m_membership = std::make_unique<Membership>(MembershipOptions{
      .m_clock = m_clock, .m_self = MakeInstanceRecord(0).m_id });
    m_membership->ApplyList(list);
    for (const InstanceRecord& record : list) {
      Heartbeat heartbeat{ .m_from = record.m_id,
                           .m_incarnation = Incarnation(1),
                           .m_sequence = 1,
                           .m_isReady = true };
      for (const SectionKind kind : kAllSectionKinds) {
        heartbeat.m_versions[kind] = SectionVersion(1);
      }
      m_membership->ApplyHeartbeat(heartbeat);
    }
  }

  ManualClock m_clock;
  double m_bytesBefore = 0;
  std::unique_ptr<Membership> m_membership;
};

double
PeerBytes(std::size_t aCount)
{
  const PeersFixture fixture(aCount);
  return BytesInUse() - fixture.m_bytesBefore;
}

double
UsablePeersTime(std::size_t aCount)
{
  const PeersFixture fixture(aCount);
  const std::vector<RegionId> regions{ RegionId("region-1"),
                                       RegionId("region-2") };
  std::size_t found = 0;
  const double time = CpuNanosecondsPerCall(kCalls, [&] {
    for (std::size_t call = 0; call < kCalls; ++call) {
      found += fixture.m_membership->UsablePeersIn(regions).size();
    }
  });
  return found > 0 ? time : 0;
}

double
TargetsTime(std::size_t aCount)
{
  const PeersFixture fixture(aCount);
  const InstanceRecord self = MakeInstanceRecord(0);
  return CpuNanosecondsPerCall(1, [&] {
    ChooseHeartbeatTargets(self, fixture.m_membership->Peers(), {});
  });
}

double
ChoiceTime(std::size_t aCount)
{
  const ManualClock clock;
  RandomEngine random(1);
  BackendSelector selector({ .m_clock = clock, .m_random = random });
  std::vector<BackendCandidate> candidates;
  for (std::size_t number = 0; number < aCount; ++number) {
    BackendCandidate candidate{ .m_id = BackendServerId("runner-" +
                                                        std::to_string(number)),
                                .m_maximumInFlight = 64 };
    candidate.m_state.m_load =
      ReportedLoad{ .m_load = number % 1'000, .m_at = clock.SteadyNow() };
    candidates.push_back(candidate);
  }
  return CpuNanosecondsPerCall(kCalls, [&] {
    for (std::size_t call = 0; call < kCalls; ++call) {
      selector.Choose(candidates);
    }
  });
}

void
PrintRow(const std::string& aTitle,
         const std::function<double(std::size_t)>& aMeasure)
{
  SlopeTable table(aTitle);
  for (const std::size_t count : kCounts) {
    table.Add(static_cast<double>(count), aMeasure(count));
  }
  table.Print();
}

} // namespace

void
PrintViewCosts()
{
  std::printf("\n| for a number of items | 10 | 100 | 1000 | 10000 | slope, an "
              "item | at none | spread |\n"
              "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  PrintRow("peers, bytes", PeerBytes);
  PrintRow("usable peers of two regions of 11, peers, ns", UsablePeersTime);
  PrintRow("choice of heartbeat targets, peers, ns", TargetsTime);
  PrintRow("choice of a backend server, servers of its pool, ns", ChoiceTime);
}

} // namespace rattanweir
