// A stop signal to one instance of the users' platform.

#include "rattanweir/base/asio/asio.h"

#include "testing/planned_stop/stopped_instance.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

namespace rattanweir::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against requests that a stopping instance accepts and cuts at its end.
TEST_CASE("what arrives late in a planned stop is answered whole or not run")
{
  for (const int shortRequests : { 1, 12 }) {
    INFO("after " << shortRequests << " short requests on each route");
    StoppedInstance instance;
    std::vector<Answer> answers;
    instance.Run([&]() -> Task<void> {
      co_await instance.ServeShortRequests(shortRequests);
      instance.m_process->Signal(SIGTERM);
      for (const char* route : kRoutes) {
        for (const int delay : { 3'020, 3'060, 3'100, 3'140 }) {
          instance.Start(milliseconds(delay),
                         { .m_target = std::string(route) + "long" },
                         answers);
        }
      }
      co_await instance.WaitForExit();
      co_await instance.Sleep(milliseconds(200));
    });
    REQUIRE(answers.size() == 16);
    for (const Answer& answer : answers) {
      INFO(answer.m_id);
      CHECK((answer.m_status != 0 || !instance.HasRun(answer)));
      CHECK((answer.m_status != 503 || !instance.HasRun(answer)));
    }
  }
}

// Guards against long responses that are taken for short ones, because several
// of them were in progress at one server.
TEST_CASE("a request is not cut after long responses that ran side by side")
{
  StoppedInstance instance;
  std::vector<Answer> before;
  std::vector<Answer> answers;
  instance.Run([&]() -> Task<void> {
    for (int count = 0; count < 10; ++count) {
      instance.Start(
        milliseconds(30 * count), { .m_target = "/read/long" }, before);
    }
    co_await instance.Sleep(kLongRun + milliseconds(800));
    instance.Stop();
    for (const int delay : { 3'020, 3'060, 3'100, 3'140 }) {
      instance.Start(
        milliseconds(delay), { .m_target = "/read/long" }, answers);
    }
    co_await instance.WaitForExit();
    co_await instance.Sleep(milliseconds(200));
  });
  REQUIRE(before.size() == 10);
  CHECK(std::ranges::count(before, 200U, &Answer::m_status) == 10);
  REQUIRE(answers.size() == 4);
  for (const Answer& answer : answers) {
    INFO(instance.Describe(answer));
    CHECK((answer.m_status == 200 || !instance.HasRun(answer)));
  }
}

// Guards against a view of a route's durations that lacks its longest ones.
TEST_CASE("a request is not cut after responses that their deadline ended")
{
  StoppedInstance instance;
  std::vector<Answer> before;
  std::vector<Answer> answers;
  instance.Run([&]() -> Task<void> {
    co_await instance.ServeShortRequests(12);
    for (int count = 0; count < 2; ++count) {
      instance.Start(
        milliseconds(30 * count), { .m_target = "/read/hang" }, before);
    }
    co_await instance.Sleep(kRouteTimeout + milliseconds(500));
    co_await instance.ServeShortRequests(2);
    instance.Stop();
    for (const int delay : { 3'020, 3'060, 3'100, 3'140 }) {
      instance.Start(
        milliseconds(delay), { .m_target = "/read/hang" }, answers);
    }
    co_await instance.WaitForExit();
    co_await instance.Sleep(milliseconds(200));
  });
  REQUIRE(before.size() == 2);
  CHECK(std::ranges::count(before, 504U, &Answer::m_status) == 2);
  REQUIRE(answers.size() == 4);
  for (const Answer& answer : answers) {
    INFO(instance.Describe(answer));
    CHECK((answer.m_status == 200 || !instance.HasRun(answer)));
  }
}

// Guards against streams that are cut because their body arrives slowly and
// their server falls silent.
TEST_CASE("a stream whose body is complete late is answered whole or not run")
{
  StoppedInstance instance;
  std::vector<Answer> answers;
  instance.Run([&]() -> Task<void> {
    co_await instance.ServeShortRequests(12);
    instance.Stop();
    instance.Start(milliseconds(2'500),
                   { .m_target = "/stream/short",
                     .m_bodyBytes = 2,
                     .m_pauseInBody = seconds(4) },
                   answers);
    co_await instance.Sleep(milliseconds(6'480));
    instance.m_server.FallSilent(milliseconds(1'300));
    co_await instance.WaitForExit();
    co_await instance.Sleep(milliseconds(200));
  });
  REQUIRE(answers.size() == 1);
  INFO(instance.Describe(answers[0]));
  CHECK((answers[0].m_status == 200 || !instance.HasRun(answers[0])));
}

// Guards against needless refusals: callers use an instance's address for up to
// three seconds after its stop signal.
TEST_CASE("short requests are served while callers learn of a planned stop")
{
  StoppedInstance instance;
  std::vector<Answer> answers;
  std::size_t sent = 0;
  instance.Run([&]() -> Task<void> {
    co_await instance.ServeShortRequests(10);
    instance.m_process->Signal(SIGTERM);
    for (int delay = 100; delay <= 2'500; delay += 100) {
      for (const char* route : kRoutes) {
        instance.Start(milliseconds(delay),
                       { .m_target = std::string(route) + "short" },
                       answers);
        ++sent;
      }
    }
    co_await instance.WaitForExit();
    co_await instance.Sleep(milliseconds(200));
  });
  REQUIRE(answers.size() == sent);
  CHECK(std::ranges::count(answers, 200U, &Answer::m_status) ==
        static_cast<std::ptrdiff_t>(sent));
}

// Guards against connections that were opened as an instance stops to listen
// and end without an answer.
TEST_CASE("what is sent when a stopping instance ceases to listen is answered")
{
  constexpr milliseconds kFirst{ 3'000 };
  constexpr milliseconds kLast{ 3'300 };
  constexpr int kPerMillisecond = 4;
  StoppedInstance instance;
  std::vector<Answer> answers;
  std::size_t started = 0;
  instance.Run([&]() -> Task<void> {
    co_await instance.ServeShortRequests(10);
    instance.Stop();
    for (milliseconds delay = kFirst; delay < kLast; ++delay) {
      for (int count = 0; count < kPerMillisecond; ++count) {
        instance.Start(delay, { .m_target = "/read/short" }, answers);
        ++started;
      }
    }
    co_await instance.WaitForExit();
    co_await instance.Sleep(milliseconds(200));
  });
  REQUIRE(answers.size() == started);
  for (const Answer& answer : answers) {
    INFO(answer.m_id);
    CHECK((answer.m_status != 0 || !answer.m_isSent));
  }
}

// Guards against needless refusals where the shutdown timeout is long.
TEST_CASE("late requests are served if their deadline lies before the end")
{
  StoppedInstance instance({ .m_shutdownSeconds = 30 });
  std::vector<Answer> answers;
  instance.Run([&]() -> Task<void> {
    instance.m_process->Signal(SIGTERM);
    for (const char* route : kRoutes) {
      instance.Start(milliseconds(3'000),
                     { .m_target = std::string(route) + "long" },
                     answers);
    }
    co_await instance.WaitForExit();
    co_await instance.Sleep(milliseconds(200));
  });
  REQUIRE(answers.size() == 4);
  for (const Answer& answer : answers) {
    CHECK(answer.m_status == 200);
  }
}

TEST_CASE("signals and changes during a stop neither prolong nor cut it short")
{
  StoppedInstance instance({ .m_shutdownSeconds = 4 });
  std::vector<Answer> answers;
  SteadyTime signalledAt;
  SteadyTime endedAt;
  instance.Run([&]() -> Task<void> {
    co_await instance.ServeShortRequests(10);
    instance.Start({}, { .m_target = "/once/hang" }, answers);
    co_await instance.Sleep(milliseconds(100));
    signalledAt = SystemClock().SteadyNow();
    instance.m_process->Signal(SIGTERM);
    for (int delay = 100; delay <= 1'000; delay += 100) {
      instance.Start(
        milliseconds(delay), { .m_target = "/read/short" }, answers);
    }
    for (const int signal : { SIGTERM, SIGHUP, SIGTERM, SIGINT }) {
      co_await instance.Sleep(milliseconds(200));
      instance.m_process->Signal(signal);
      instance.PublishConfiguration();
    }
    co_await instance.WaitForExit();
    endedAt = SystemClock().SteadyNow();
    co_await instance.Sleep(milliseconds(200));
  });
  CHECK(endedAt - signalledAt > milliseconds(3'300));
  CHECK(endedAt - signalledAt < milliseconds(4'000));
  REQUIRE(answers.size() == 11);
  CHECK(std::ranges::count(answers, 200U, &Answer::m_status) == 10);
  CHECK(std::ranges::count(answers, 502U, &Answer::m_status) == 1);
}

TEST_CASE("an instance that is still starting does not wait for its timeout")
{
  StoppedInstance instance({ .m_shutdownSeconds = 30 });
  instance.m_store.m_isDown = true;
  const SteadyTime signalledAt = SystemClock().SteadyNow();
  instance.m_process->Signal(SIGTERM);
  instance.Run([&]() -> Task<void> { co_await instance.WaitForExit(); });
  CHECK(SystemClock().SteadyNow() - signalledAt < seconds(10));
}

// Guards against connections that end without an answer.
TEST_CASE("a stopping instance answers what it cannot wait for")
{
  constexpr std::size_t kRequestsPerRoute = 50;
  for (const int shutdownSeconds : { 2, 4 }) {
    INFO("shutdown timeout " << shutdownSeconds << " s");
    StoppedInstance instance({ .m_shutdownSeconds = shutdownSeconds });
    std::vector<Answer> answers;
    instance.Run([&]() -> Task<void> {
      for (const char* route : kRoutes) {
        for (std::size_t count = 0; count < kRequestsPerRoute; ++count) {
          instance.Start(
            {}, { .m_target = std::string(route) + "hang" }, answers);
        }
      }
      co_await instance.Sleep(milliseconds(500));
      instance.m_process->Signal(SIGTERM);
      co_await instance.WaitForExit();
      co_await instance.Sleep(milliseconds(200));
    });
    REQUIRE(answers.size() == 4 * kRequestsPerRoute);
    for (const Answer& answer : answers) {
      CHECK(instance.HasRun(answer));
      CHECK(answer.m_status == 502);
    }
  }
}

} // namespace
} // namespace rattanweir::testing
