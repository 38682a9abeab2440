// Soak test with callers in three regions, while links, processes and backend
// servers fail on a schedule generated from a seed. RATTANWEIR_SOAK_SEEDS sets
// the number of seeds, RATTANWEIR_SOAK_FIRST_SEED the first one.

#include "rattanweir/base/random/random.h"
#include "testing/harness/caller.h"
#include "testing/harness/fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <stop_token>
#include <thread>

namespace rattanweir::testing {

namespace {

constexpr std::uint64_t kDefaultSeeds = 2;
constexpr int kFaultsPerSeed = 6;
constexpr std::size_t kCallsPerFault = 60;
constexpr int kCallersPerInstance = 4;
constexpr std::size_t kMaxTokensPerCall = 40;
constexpr int kMaxBookingAttempts = 3;
const std::vector<std::string> kInstances = { "ostland-1",
                                              "vestland-1",
                                              "nordland-1" };
const std::vector<std::string> kServerRegions = { "ostland", "vestland" };

struct Account
{
  std::string m_id;
  std::set<std::string> m_home;
};

const std::vector<Account> kAccounts = { { "parents", { "ostland" } },
                                         { "teachers", { "vestland" } },
                                         { "small", {} } };

template<class Value>
const Value&
Pick(RandomEngine& aEngine, const std::vector<Value>& aValues)
{
  return aValues[UniformIndex(aEngine, aValues.size())];
}

// A fault and the way to end it.
struct Fault
{
  std::string m_name;
  std::function<void(Fleet&, const std::string&)> m_start;
  std::function<void(Fleet&, const std::string&)> m_end;
};

void
SetLink(Fleet& aFleet, const std::string& aInstance, LinkState aState)
{
  aFleet.Link(aInstance).Set(aState);
}

void
SwitchAll(Fleet& aFleet, const std::string& aJson)
{
  for (const std::string& region : kServerRegions) {
    aFleet.Switch("engine-" + region, aJson);
    aFleet.Switch("service-" + region, aJson);
  }
}

Fault
LinkFault(const std::string& aName, LinkState aState)
{
  return { aName,
           [aState](Fleet& aFleet, const std::string& aInstance) {
             SetLink(aFleet, aInstance, aState);
           },
           [](Fleet& aFleet, const std::string& aInstance) {
             SetLink(aFleet, aInstance, LinkState::Open);
           } };
}

Fault
ServerFault(const std::string& aSwitch, int aValue)
{
  const std::string name = R"([{"name":")" + aSwitch + R"(",)";
  const std::string on = name + R"("value":)" + std::to_string(aValue) + "}]";
  const std::string off = name + R"("times":0}])";
  return { aSwitch,
           [on](Fleet& aFleet, const std::string&) { SwitchAll(aFleet, on); },
           [off](Fleet& aFleet, const std::string&) {
             SwitchAll(aFleet, off);
           } };
}

const std::vector<Fault> kFaults = {
  LinkFault("link cut", LinkState::Cut),
  LinkFault("link black hole", LinkState::BlackHole),
  { "paused",
    [](Fleet& aFleet, const std::string& aInstance) {
      aFleet.Instance(aInstance).Signal(SIGSTOP);
    },
    [](Fleet& aFleet, const std::string& aInstance) {
      aFleet.Instance(aInstance).Signal(SIGCONT);
    } },
  { "killed",
    [](Fleet& aFleet, const std::string& aInstance) {
      aFleet.Instance(aInstance).Signal(SIGKILL);
      aFleet.Instance(aInstance).WaitForExit();
    },
    [](Fleet& aFleet, const std::string& aInstance) {
      aFleet.Restart(aInstance);
    } },
  ServerFault("break_after", 5),
  ServerFault("reset_after_run", 1),
  ServerFault("reset_before_run", 1),
  ServerFault("refuse_not_run", 1),
  ServerFault("wrong_attempt_id", 1),
  ServerFault("short_answer", 1),
};

// Sends a booking to a random instance, and repeats it under the same
// idempotency key, each time at a random instance, until a complete response
// arrives or the attempts are used up.
void
Book(Fleet& aFleet, RandomEngine& aEngine)
{
  CallOptions booking{ .m_kind = CallKind::Booking,
                       .m_marker = aFleet.NewMarker() };
  booking.m_idempotencyKey =
    Caller(aFleet, Pick(aEngine, kInstances)).IssueKey();
  if (booking.m_idempotencyKey.empty()) {
    return;
  }
  for (int i = 0; i < kMaxBookingAttempts; ++i) {
    const CallerRecord call =
      Caller(aFleet, Pick(aEngine, kInstances)).Call(booking);
    if (call.m_status == 200 && call.m_isComplete) {
      return;
    }
  }
}

void
CallUntilStopped(Fleet& aFleet,
                 const std::string& aInstance,
                 std::uint64_t aSeed,
                 const std::stop_token& aStop)
{
  RandomEngine engine(aSeed);
  Caller caller(aFleet, aInstance);
  while (!aStop.stop_requested()) {
    if (UniformIndex(engine, 4) == 0) {
      Book(aFleet, engine);
      continue;
    }
    const Account& account = Pick(engine, kAccounts);
    const bool usesHomeRoute =
      !account.m_home.empty() && UniformIndex(engine, 2) == 0;
    CallOptions call{
      .m_kind =
        UniformIndex(engine, 2) == 0 ? CallKind::Stream : CallKind::Text,
      .m_clientAccount = account.m_id,
      .m_path = usesHomeRoute ? "/v1/home" : "",
      .m_prompt = "prompt " + std::to_string(UniformIndex(engine, 5)),
      .m_maxTokens = 1 + UniformIndex(engine, kMaxTokensPerCall)
    };
    if (usesHomeRoute) {
      call.m_permittedRegions = account.m_home;
    }
    caller.Call(call);
  }
}

void
WaitForCalls(const Fleet& aFleet)
{
  const std::size_t before = aFleet.CallCount();
  WaitUntil("more calls to complete",
            [&] { return aFleet.CallCount() >= before + kCallsPerFault; });
}

std::string
RunSeed(std::uint64_t aSeed)
{
  Fleet fleet({ .m_regions = { "ostland", "vestland", "nordland" },
                .m_serverRegions = kServerRegions,
                .m_tokenInterval = "1ms",
                .m_bookingDeadline = "2s" });
  WaitUntilAllServe(fleet);
  std::vector<std::jthread> callers;
  for (const std::string& instance : kInstances) {
    for (int i = 0; i < kCallersPerInstance; ++i) {
      callers.emplace_back(
        [&fleet, &instance, aSeed, i](const std::stop_token& aStop) {
          CallUntilStopped(
            fleet, instance, aSeed * kCallersPerInstance + i, aStop);
        });
    }
  }
  RandomEngine engine(aSeed);
  std::uint64_t version = 1;
  for (int i = 0; i < kFaultsPerSeed; ++i) {
    const Fault& fault = Pick(engine, kFaults);
    const std::string& instance = Pick(engine, kInstances);
    std::cout << "seed " << aSeed << ": " << fault.m_name << " at " << instance
              << std::endl;
    fault.m_start(fleet, instance);
    fleet.PublishKeys(++version);
    WaitForCalls(fleet);
    fault.m_end(fleet, instance);
    WaitForCalls(fleet);
    for (const std::string& each : kInstances) {
      fleet.VersionOf(each, "keys");
    }
  }
  callers.clear();
  WaitUntil("every instance to serve and report the latest version", [&] {
    return std::all_of(
      kInstances.begin(), kInstances.end(), [&](const std::string& aInstance) {
        const CallerRecord call = Caller(fleet, aInstance).Call({});
        return call.m_status == 200 && IsExpectedResponse(call) &&
               fleet.VersionOf(aInstance, "keys") == version;
      });
  });
  std::cout << "seed " << aSeed << ": " << fleet.CallCount() << " calls, "
            << fleet.ServedCount() << " served" << std::endl;
  return Describe(fleet.StopAndCheckHistory());
}

} // namespace

TEST_CASE("No schedule of faults violates a guarantee")
{
  const char* const setting = std::getenv("RATTANWEIR_SOAK_SEEDS");
  const std::uint64_t seeds =
    setting == nullptr ? kDefaultSeeds : std::stoull(setting);
  const char* const first = std::getenv("RATTANWEIR_SOAK_FIRST_SEED");
  const std::uint64_t begin = first == nullptr ? 1 : std::stoull(first);
  for (std::uint64_t seed = begin; seed < begin + seeds; ++seed) {
    CAPTURE(seed);
    CHECK(RunSeed(seed) == "");
  }
}

} // namespace rattanweir::testing
