// End-to-end tests with one instance in each of three regions, in which links,
// processes and the platform fail. The region nordland has no backend servers.

#include "testing/harness/caller.h"
#include "testing/harness/fleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <latch>
#include <stop_token>
#include <thread>

namespace rattanweir::testing {

namespace {

const FleetOptions kThreeRegions{
  .m_regions = { "ostland", "vestland", "nordland" },
  .m_serverRegions = { "ostland", "vestland" },
};

std::size_t
RunsOfBookings(Fleet& aFleet)
{
  return aFleet.CountRecords("service-ostland", "run") +
         aFleet.CountRecords("service-vestland", "run");
}

void
SwitchServices(Fleet& aFleet, const std::string& aJson)
{
  aFleet.Switch("service-ostland", aJson);
  aFleet.Switch("service-vestland", aJson);
}

} // namespace

TEST_CASE("A region without servers forwards; bound data stays in its region")
{
  Fleet fleet(kThreeRegions);
  WaitUntilAllServe(fleet);
  for (const CallKind kind :
       { CallKind::Stream, CallKind::Text, CallKind::Booking }) {
    WaitUntilServed(fleet, "nordland-1", { .m_kind = kind });
  }
  for (const std::string& instance : fleet.Instances()) {
    WaitUntilServed(fleet,
                    instance,
                    { .m_clientAccount = "teachers",
                      .m_path = "/v1/home",
                      .m_permittedRegions = { "vestland" } });
    WaitUntilServed(
      fleet,
      instance,
      { .m_path = "/v1/home", .m_permittedRegions = { "ostland" } });
  }
  CHECK(fleet.Link("ostland-1").Hops().size() +
          fleet.Link("vestland-1").Hops().size() >=
        5);
  CHECK(Describe(fleet.StopAndCheckHistory()) == "");
}

TEST_CASE("An isolated region serves what may run there and refuses the rest")
{
  for (const LinkState state : { LinkState::Cut, LinkState::BlackHole }) {
    CAPTURE(static_cast<int>(state));
    Fleet fleet(kThreeRegions);
    WaitUntilAllServe(fleet);
    const CallOptions homeCall{ .m_clientAccount = "teachers",
                                .m_path = "/v1/home",
                                .m_permittedRegions = { "vestland" } };
    WaitUntilServed(fleet, "ostland-1", homeCall);
    for (const std::string& instance : fleet.Instances()) {
      fleet.Link(instance).Set(state);
    }
    CHECK(IsServed(fleet, "ostland-1", {}));
    CHECK(IsServed(fleet, "vestland-1", homeCall));
    Caller cutOff(fleet, "ostland-1");
    const CallerRecord refused = cutOff.Call(homeCall);
    CHECK(refused.m_status >= 500);
    WaitUntil("the other regions to be known as unreachable", [&] {
      return cutOff.Call(homeCall).m_ran == "no" &&
             cutOff.LastResult() == "300";
    });
    for (const std::string& instance : fleet.Instances()) {
      fleet.Link(instance).Set(LinkState::Open);
    }
    WaitUntilServed(fleet, "ostland-1", homeCall);
    CHECK(Describe(fleet.StopAndCheckHistory()) == "");
  }
}

struct OwnerCase
{
  std::string m_name;
  // Switches of the services, set before the call.
  std::string m_switch;
  // Service record after which the owner is killed; empty to kill the owner
  // before the call.
  std::string m_killAt;
  std::size_t m_maxRuns;
};

TEST_CASE("A booking whose key's owner is killed never runs twice")
{
  const std::vector<OwnerCase> cases = {
    { "before dispatch", "[]", "", 0 },
    { "during dispatch", R"([{"name":"delay","value":700}])", "received", 1 },
    { "after the run", R"([{"name":"answer_late","value":700}])", "run", 1 },
  };
  for (const OwnerCase& each : cases) {
    CAPTURE(each.m_name);
    Fleet fleet(kThreeRegions);
    WaitUntilAllServe(fleet);
    SwitchServices(fleet, each.m_switch);
    const CallOptions booking{ .m_kind = CallKind::Booking,
                               .m_idempotencyKey =
                                 Caller(fleet, "ostland-1").IssueKey(),
                               .m_marker = fleet.NewMarker() };
    REQUIRE_FALSE(booking.m_idempotencyKey.empty());
    if (each.m_killAt.empty()) {
      fleet.Instance("ostland-1").Signal(SIGKILL);
    }
    std::jthread killer([&] {
      if (!each.m_killAt.empty()) {
        WaitUntil("the service to reach the kill point", [&] {
          return fleet.CountRecords("service-ostland", each.m_killAt) +
                   fleet.CountRecords("service-vestland", each.m_killAt) >
                 0;
        });
        fleet.Instance("ostland-1").Signal(SIGKILL);
      }
    });
    const CallerRecord first = Caller(fleet, "vestland-1").Call(booking);
    killer.join();
    CHECK(first.m_status != 200);
    CHECK_FALSE(first.m_ran.empty());
    CHECK(fleet.Instance("ostland-1").WaitForExit() == -SIGKILL);
    fleet.Restart("ostland-1");
    WaitUntilAllServe(fleet);
    SwitchServices(fleet,
                   R"([{"name":"delay","times":0},)"
                   R"({"name":"answer_late","times":0}])");
    for (const std::string instance : { "vestland-1", "ostland-1" }) {
      Caller repeat(fleet, instance);
      WaitUntil("the new process to report an unknown outcome", [&] {
        repeat.Call(booking);
        return repeat.LastResult() == "406";
      });
    }
    CHECK(RunsOfBookings(fleet) <= each.m_maxRuns);
    CHECK(Describe(fleet.StopAndCheckHistory()) == "");
  }
}

TEST_CASE("A key's owner that is paused past the deadline runs nothing late")
{
  Fleet fleet(kThreeRegions);
  WaitUntilAllServe(fleet);
  Caller entry(fleet, "vestland-1");
  const CallOptions booking{ .m_kind = CallKind::Booking,
                             .m_idempotencyKey =
                               Caller(fleet, "ostland-1").IssueKey(),
                             .m_marker = fleet.NewMarker() };
  fleet.Instance("ostland-1").Signal(SIGSTOP);
  const CallerRecord frozen = entry.Call(booking);
  CHECK(frozen.m_status != 200);
  fleet.Instance("ostland-1").Signal(SIGCONT);
  WaitUntilServed(fleet, "ostland-1", {});
  entry.Call(booking);
  CHECK(RunsOfBookings(fleet) <= 1);
  CHECK(Describe(fleet.StopAndCheckHistory()) == "");
}

TEST_CASE("A resumed instance does not act on outdated configuration")
{
  constexpr int kCallers = 4;
  FleetOptions options = kThreeRegions;
  options.m_hasPlatform = true;
  Fleet fleet(options);
  WaitUntilAllServe(fleet);
  fleet.Instance("ostland-1").Signal(SIGSTOP);
  // Cuts the link to the platform, so that the instance can receive the changes
  // only from its peers.
  fleet.PlatformLink("ostland-1").Set(LinkState::Cut);
  fleet.WithdrawKey("teachers-key");
  fleet.MarkDraining("engine-ostland");
  const std::int64_t published = WallMicroseconds();
  WaitUntil("the time limit for changes to pass", [&] {
    return WallMicroseconds() > published + kMaxChangeDelay.count();
  });
  // These requests are sent while the instance is paused, so that they are the
  // first input after it resumes.
  std::latch started(kCallers + 1);
  std::vector<std::jthread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      started.arrive_and_wait();
      Caller(fleet, "ostland-1")
        .Call({ .m_clientAccount = i % 2 == 0 ? "teachers" : "parents" });
    });
  }
  started.arrive_and_wait();
  fleet.Instance("ostland-1").Signal(SIGCONT);
  callers.clear();
  WaitUntilServed(fleet, "ostland-1", {});
  CHECK(Describe(fleet.StopAndCheckHistory()) == "");
}

TEST_CASE("An account gets at most its rate and burst over all instances")
{
  constexpr std::size_t kServedEachStep = 60;
  Fleet fleet(kThreeRegions);
  WaitUntilAllServe(fleet);
  const auto waitForServed = [&] {
    const std::size_t before = fleet.ServedCount();
    WaitUntil("requests to be served under load",
              [&] { return fleet.ServedCount() >= before + kServedEachStep; });
  };
  std::vector<std::jthread> callers;
  callers.reserve(6);
  for (const std::string& instance : fleet.Instances()) {
    for (int i = 0; i < 2; ++i) {
      callers.emplace_back([&fleet, instance](const std::stop_token& aStop) {
        Caller caller(fleet, instance);
        while (!aStop.stop_requested()) {
          caller.Call({ .m_kind = CallKind::Text, .m_clientAccount = "small" });
        }
      });
    }
  }
  waitForServed();
  fleet.Instance("nordland-1").Signal(SIGSTOP);
  waitForServed();
  fleet.Instance("nordland-1").Signal(SIGCONT);
  fleet.Instance("vestland-1").Signal(SIGKILL);
  fleet.Restart("vestland-1");
  waitForServed();
  waitForServed();
  callers.clear();
  CHECK(fleet.CallCount() > fleet.ServedCount());
  CHECK(Describe(fleet.StopAndCheckHistory()) == "");
}

TEST_CASE("A draining server gets no new requests, also from other regions")
{
  Fleet fleet(kThreeRegions);
  WaitUntilAllServe(fleet);
  WaitUntilServed(fleet, "nordland-1", {});
  fleet.MarkDraining("engine-ostland");
  WaitUntil("all requests to go to vestland", [&] {
    const std::size_t before = fleet.CountRecords("engine-ostland", "run");
    for (const std::string& instance : fleet.Instances()) {
      IsServed(fleet, instance, {});
    }
    return fleet.CountRecords("engine-ostland", "run") == before;
  });
  CHECK(IsServed(fleet, "ostland-1", {}));
  CHECK(Describe(fleet.StopAndCheckHistory()) == "");
}

TEST_CASE("No version in force reverts while the platform is down or stale")
{
  FleetOptions options = kThreeRegions;
  options.m_hasPlatform = true;
  Fleet fleet(options);
  WaitUntilAllServe(fleet);
  const auto hasVersion = [&](const std::string& aInstance, int aVersion) {
    WaitUntil(aInstance + " to report the published version", [&] {
      return fleet.VersionOf(aInstance, "keys") ==
             static_cast<std::uint64_t>(aVersion);
    });
  };
  fleet.PublishKeys(2);
  for (const std::string& instance : fleet.Instances()) {
    hasVersion(instance, 2);
  }
  fleet.Switch("platform", R"([{"name":"down"}])");
  WaitUntilServed(fleet, "ostland-1", {});
  WaitUntilServed(fleet, "nordland-1", {});
  fleet.Switch("platform",
               R"([{"name":"down","times":0},{"name":"stale","value":1}])");
  fleet.Instance("vestland-1").Signal(SIGKILL);
  fleet.Instance("vestland-1").WaitForExit();
  fleet.Restart("vestland-1");
  WaitUntilAllServe(fleet);
  CHECK(fleet.VersionOf("vestland-1", "keys") == 2);
  WaitUntilServed(fleet, "vestland-1", {});
  CHECK(Describe(fleet.StopAndCheckHistory()) == "");
}

} // namespace rattanweir::testing
