// Requests around a stop signal while their server falls silent and the
// configuration changes.

#include "rattanweir/base/asio/asio.h"

#include "testing/planned_stop/stopped_instance.h"

#include <catch2/catch.hpp>

namespace rattanweir::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kBodyBytes = 34'000;
// Requests are sent from this time before the signal on.
constexpr milliseconds kLead{ 2'000 };
// Callers use the address of a stopping instance for at most this time.
constexpr milliseconds kCallersLearn{ 3'000 };
// A request sent by then has its deadline before the instance's end.
constexpr milliseconds kLastToFit{ 1'400 };

// What a server has written is with its caller after this time.
constexpr milliseconds kDelivery{ 200 };
// An instance with the usual shutdown timeout cuts nothing before this time.
constexpr milliseconds kEnd{ 7'500 };

struct Silence
{
  milliseconds m_afterSignal;
  milliseconds m_duration;
};

// They prolong no response beyond 5.8 s.
constexpr Silence kSilences[] = {
  { milliseconds(-1'000), milliseconds(1'200) },
  { milliseconds(1'500), milliseconds(1'500) },
  { milliseconds(3'600), milliseconds(1'200) },
  { milliseconds(6'000), milliseconds(1'300) },
};

// Returns the times of the requests, in relation to the signal: more frequent
// where callers learn of the stop.
std::vector<milliseconds>
RequestTimes()
{
  std::vector<milliseconds> times;
  for (milliseconds time = -kLead; time < milliseconds(2'900);
       time += milliseconds(100)) {
    times.push_back(time);
  }
  for (milliseconds time(2'900); time < milliseconds(3'300);
       time += milliseconds(10)) {
    times.push_back(time);
  }
  for (milliseconds time(3'300); time <= milliseconds(4'000);
       time += milliseconds(100)) {
    times.push_back(time);
  }
  return times;
}

// Returns the target of a request: a quarter are short, half are streams that
// can't be repeated.
std::string
TargetOf(std::size_t aNumber)
{
  static const char* const kTargets[] = {
    "/stream/long", "/stream/short", "/stream/long", "/once/long",
    "/stream/long", "/read/short",   "/stream/long", "/read/long",
    "/stream/long", "/once/short",   "/stream/long", "/resume/long",
    "/stream/long", "/resume/short", "/stream/long", "/once/chunked-long",
  };
  return kTargets[aNumber % std::size(kTargets)];
}

// Publishes a version with a shorter idle timeout before the signal, and one
// with a longer route timeout after it.
Task<void>
ShortenIdleTimeout(StoppedInstance& aInstance)
{
  co_await aInstance.Sleep(kLead - milliseconds(400));
  aInstance.m_idleTimeout = seconds(1);
  aInstance.PublishConfiguration();
}

Task<void>
LengthenRouteTimeout(StoppedInstance& aInstance)
{
  co_await aInstance.Sleep(milliseconds(500));
  aInstance.m_routeTimeout = kRouteTimeout + seconds(1);
  aInstance.PublishConfiguration();
}

Task<void>
SilenceServer(StoppedInstance& aInstance,
              milliseconds aDelay,
              milliseconds aDuration)
{
  co_await aInstance.Sleep(aDelay);
  aInstance.m_server.FallSilent(aDuration);
}

// Starts the requests and silences that are due within the times, in relation
// to the signal. The call is made at the first of them.
void
StartBetween(StoppedInstance& aInstance,
             milliseconds aFrom,
             milliseconds aTo,
             std::vector<Answer>& aAnswers)
{
  const std::vector<milliseconds> times = RequestTimes();
  for (std::size_t number = 0; number < times.size(); ++number) {
    if (times[number] >= aFrom && times[number] < aTo) {
      aInstance.Start(
        times[number] - aFrom,
        { .m_target = TargetOf(number), .m_bodyBytes = kBodyBytes },
        aAnswers);
    }
  }
  for (const Silence& silence : kSilences) {
    if (silence.m_afterSignal >= aFrom && silence.m_afterSignal < aTo) {
      asio::co_spawn(aInstance.m_context,
                     SilenceServer(aInstance,
                                   silence.m_afterSignal - aFrom,
                                   silence.m_duration),
                     asio::detached);
    }
  }
}

void
CheckStopBesideSilences(const StoppedInstanceOptions& aOptions)
{
  StoppedInstance instance(aOptions);
  std::vector<Answer> answers;
  const std::size_t sent = RequestTimes().size();
  instance.Run([&]() -> Task<void> {
    co_await instance.ServeShortRequests(3);
    StartBetween(instance, -kLead, milliseconds::zero(), answers);
    asio::co_spawn(
      instance.m_context, ShortenIdleTimeout(instance), asio::detached);
    co_await instance.Sleep(kLead);
    instance.Stop();
    StartBetween(instance, milliseconds::zero(), seconds(10), answers);
    asio::co_spawn(
      instance.m_context, LengthenRouteTimeout(instance), asio::detached);
    co_await instance.WaitForExit();
    while (answers.size() < sent) {
      co_await instance.Sleep(milliseconds(20));
    }
  });
  for (const Answer& answer : answers) {
    INFO(instance.Describe(answer));
    const milliseconds sentAt = instance.SentAfterSignal(answer);
    const bool hasRun = instance.HasRun(answer);
    if (sentAt > kCallersLearn || instance.HasFinished(answer)) {
      CHECK((answer.m_status != 0 || !hasRun));
    }
    if (sentAt <= kLastToFit) {
      const bool isAtDeadline =
        answer.m_endedAt >= answer.m_sentAt + kRouteTimeout;
      CHECK((answer.m_status == 200 || !hasRun || isAtDeadline));
    }
    if (instance.HasFinishedInTime(answer, kDelivery, kEnd - kDelivery)) {
      CHECK(answer.m_status == 200);
    }
    CHECK((answer.m_status != 503 || !hasRun));
  }
}

// Guards against requests that are accepted late and cut, and against silences
// and configurations that end a response early.
TEST_CASE("silent servers and new configurations cut nothing at a stop")
{
  CheckStopBesideSilences({});
}

TEST_CASE("silent servers and new configurations cut nothing behind a peer")
{
  CheckStopBesideSilences(
    { .m_peerZone = "south-a", .m_serverZone = "south-a" });
}

// Guards against requests that are judged by a duration which only most
// responses keep to.
TEST_CASE("late requests are not cut where a few responses take long")
{
  constexpr std::size_t kLongOneIn = 12;
  constexpr int kShortBefore = 30;
  StoppedInstance instance;
  std::vector<Answer> before;
  std::vector<Answer> answers;
  std::size_t sent = 0;
  instance.Run([&]() -> Task<void> {
    instance.Start({}, { .m_target = "/read/long" }, before);
    co_await instance.Sleep(kLongRun);
    co_await instance.ServeShortRequests(kShortBefore);
    while (before.empty()) {
      co_await instance.Sleep(milliseconds(20));
    }
    for (milliseconds time(2'900); time <= milliseconds(3'200);
         time += milliseconds(5)) {
      // Half of the long ones have a declared length.
      std::string target =
        sent / kLongOneIn % 2 == 0 ? "/read/" : "/read/chunked-";
      target += sent % kLongOneIn == 0 ? "long" : "short";
      instance.Start(time, { .m_target = target }, answers);
      ++sent;
    }
    instance.Stop();
    co_await instance.WaitForExit();
    while (answers.size() < sent) {
      co_await instance.Sleep(milliseconds(20));
    }
  });
  CHECK(before.front().m_status == 200);
  for (const Answer& answer : answers) {
    INFO(instance.Describe(answer));
    const bool hasRun = instance.HasRun(answer);
    CHECK((answer.m_status != 0 || !hasRun));
    CHECK((answer.m_status == 200 || !hasRun));
  }
}

// Guards against long responses that are taken for a silence of their server.
TEST_CASE("late requests are not cut where all responses take long")
{
  constexpr std::size_t kBefore = 12;
  StoppedInstance instance;
  std::vector<Answer> before;
  std::vector<Answer> answers;
  std::size_t sent = 0;
  instance.Run([&]() -> Task<void> {
    for (std::size_t count = 0; count < kBefore; ++count) {
      instance.Start({}, { .m_target = "/read/long" }, before);
    }
    while (before.size() < kBefore) {
      co_await instance.Sleep(milliseconds(20));
    }
    for (milliseconds time(2'900); time <= milliseconds(3'200);
         time += milliseconds(20)) {
      instance.Start(time, { .m_target = "/read/long" }, answers);
      ++sent;
    }
    instance.Stop();
    co_await instance.WaitForExit();
    while (answers.size() < sent) {
      co_await instance.Sleep(milliseconds(20));
    }
  });
  for (const Answer& answer : answers) {
    INFO(instance.Describe(answer));
    CHECK((answer.m_status == 200 || !instance.HasRun(answer)));
  }
}

} // namespace
} // namespace rattanweir::testing
