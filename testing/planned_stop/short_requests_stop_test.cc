// Short requests while callers learn that an instance is stopping.

#include "rattanweir/base/asio/asio.h"

#include "testing/planned_stop/stopped_instance.h"

#include <catch2/catch.hpp>

namespace rattanweir::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBodyBytes = 34'000;
// From the first time on, a request's deadline lies after the instance's end.
// Until the second one, callers can't have learned of the stop.
constexpr milliseconds kFirstLateDeadline{ 1'600 };
constexpr milliseconds kLastSent{ 2'500 };
constexpr milliseconds kInterval{ 100 };

// Sends short requests on all routes after the signal, and checks that each is
// served.
Task<void>
StopAndSend(StoppedInstance& aInstance,
            milliseconds aPauseInBody,
            std::vector<Answer>& aAnswers)
{
  std::size_t sent = 0;
  for (milliseconds time = kFirstLateDeadline; time < kLastSent;
       time += kInterval) {
    for (const char* route : kRoutes) {
      aInstance.Start(time,
                      { .m_target = std::string(route) + "short",
                        .m_bodyBytes = kBodyBytes,
                        .m_pauseInBody = aPauseInBody },
                      aAnswers);
      ++sent;
    }
  }
  aInstance.Stop();
  co_await aInstance.WaitForExit();
  while (aAnswers.size() < sent) {
    co_await aInstance.Sleep(milliseconds(20));
  }
}

void
CheckAllServed(const StoppedInstance& aInstance,
               const std::vector<Answer>& aAnswers)
{
  for (const Answer& answer : aAnswers) {
    INFO(aInstance.Describe(answer));
    CHECK(answer.m_status == 200);
  }
}

// Guards against refusals by an instance that has served few requests.
TEST_CASE("short requests are served where three responses are known")
{
  for (const char* zone : { "north-a", "south-a" }) {
    INFO("server in " << zone);
    StoppedInstance instance({ .m_peerZone = zone, .m_serverZone = zone });
    std::vector<Answer> answers;
    instance.Run([&]() -> Task<void> {
      co_await instance.ServeShortRequests(3);
      co_await StopAndSend(instance, {}, answers);
    });
    CheckAllServed(instance, answers);
  }
}

// Guards against refusals by an instance that stops soon after its start.
TEST_CASE("short requests are served where a peer knows their durations")
{
  for (const char* zone : { "north-a", "south-a" }) {
    INFO("peer and server in " << zone);
    StoppedInstance instance({ .m_peerZone = zone, .m_serverZone = zone });
    std::vector<Answer> answers;
    instance.Run([&]() -> Task<void> {
      co_await instance.ServeShortRequests(12, instance.m_peerAddress);
      co_await StopAndSend(instance, {}, answers);
    });
    CheckAllServed(instance, answers);
  }
}

// Guards against refusals because of a silence that is no response's duration.
TEST_CASE("short requests are served after a silence of their server")
{
  StoppedInstance instance;
  std::vector<Answer> before;
  std::vector<Answer> answers;
  instance.Run([&]() -> Task<void> {
    co_await instance.ServeShortRequests(1);
    instance.m_server.FallSilent(milliseconds(1'500));
    for (const char* route : kRoutes) {
      const Call call{ .m_target = std::string(route) + "short" };
      instance.Start({}, call, before);
      instance.Start({}, call, before);
    }
    while (before.size() < 2 * std::size(kRoutes)) {
      co_await instance.Sleep(milliseconds(20));
    }
    co_await StopAndSend(instance, {}, answers);
  });
  CheckAllServed(instance, before);
  CheckAllServed(instance, answers);
}

// Guards against refusals of what is complete only after callers have learned.
TEST_CASE("short requests are served if their bodies arrive slowly")
{
  StoppedInstance instance;
  std::vector<Answer> answers;
  instance.Run([&]() -> Task<void> {
    co_await instance.ServeShortRequests(12);
    co_await StopAndSend(instance, milliseconds(900), answers);
  });
  CheckAllServed(instance, answers);
}

} // namespace
} // namespace rattanweir::testing
