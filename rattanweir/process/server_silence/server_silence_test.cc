#include "rattanweir/process/server_silence/server_silence.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

#include <deque>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

const BackendServerId kServer("s1");
const BackendServerId kOtherServer("s2");

TEST_CASE("time in which none of a server's requests gets a byte is silence")
{
  ManualClock clock;
  ServerSilence silence({ .m_clock = clock });
  ServerSilence::Run first(silence, kServer);
  clock.Advance(milliseconds(100));
  ServerSilence::Run second(silence, kServer);
  first.RecordBytes();
  clock.Advance(milliseconds(1'300));
  second.RecordBytes();
  CHECK(first.SilentTime() == milliseconds(1'300));
  CHECK(second.SilentTime() == milliseconds(1'300));
  CHECK(first.SinceLastBytes() == milliseconds(1'300));
  CHECK(second.SinceLastBytes() == nanoseconds::zero());
}

TEST_CASE("a long response of one request is no silence of its server")
{
  ManualClock clock;
  ServerSilence silence({ .m_clock = clock });
  ServerSilence::Run slow(silence, kServer);
  const ServerSilence::Run elsewhere(silence, kOtherServer);
  clock.Advance(milliseconds(4'700));
  slow.RecordBytes();
  CHECK(slow.SilentTime() == nanoseconds::zero());
}

TEST_CASE("long responses at the same time are no silence of their server")
{
  ManualClock clock;
  ServerSilence silence({ .m_clock = clock });
  ServerSilence::Run first(silence, kServer);
  const ServerSilence::Run second(silence, kServer);
  clock.Advance(milliseconds(4'700));
  first.RecordBytes();
  CHECK(first.SilentTime() == nanoseconds::zero());
  CHECK(second.SilentTime() == nanoseconds::zero());
}

TEST_CASE("long responses that overlap are no silence of their server")
{
  ManualClock clock;
  ServerSilence silence({ .m_clock = clock });
  std::deque<ServerSilence::Run> runs;
  for (int count = 0; count < 12; ++count) {
    runs.emplace_back(silence, kServer);
    clock.Advance(milliseconds(900));
    if (runs.size() == 5) {
      runs.front().RecordBytes();
      CHECK(runs.front().SilentTime() == nanoseconds::zero());
      runs.pop_front();
    }
  }
}

TEST_CASE("a server that answers another request is not silent")
{
  ManualClock clock;
  ServerSilence silence({ .m_clock = clock });
  ServerSilence::Run slow(silence, kServer);
  ServerSilence::Run alsoSlow(silence, kServer);
  for (int count = 0; count < 10; ++count) {
    clock.Advance(milliseconds(400));
    ServerSilence::Run quick(silence, kServer);
    clock.Advance(milliseconds(50));
    quick.RecordBytes();
  }
  slow.RecordBytes();
  CHECK(slow.SilentTime() == nanoseconds::zero());
  CHECK(alsoSlow.SilentTime() == nanoseconds::zero());
}

TEST_CASE("a request that begins within a silence counts the rest of it")
{
  ManualClock clock;
  ServerSilence silence({ .m_clock = clock });
  const ServerSilence::Run first(silence, kServer);
  const ServerSilence::Run second(silence, kServer);
  clock.Advance(milliseconds(700));
  ServerSilence::Run third(silence, kServer);
  clock.Advance(milliseconds(600));
  third.RecordBytes();
  CHECK(first.SilentTime() == milliseconds(1'300));
  CHECK(third.SilentTime() == milliseconds(600));
}

TEST_CASE("requests that have ended do not make a silence")
{
  ManualClock clock;
  ServerSilence silence({ .m_clock = clock });
  ServerSilence::Run slow(silence, kServer);
  {
    const ServerSilence::Run ended(silence, kServer);
    clock.Advance(milliseconds(300));
  }
  clock.Advance(milliseconds(1'000));
  slow.RecordBytes();
  CHECK(slow.SilentTime() == nanoseconds::zero());
}

TEST_CASE(
  "long responses of two requests at once are no silence of their server")
{
  ManualClock clock;
  ServerSilence silence({ .m_clock = clock });
  ServerSilence::Run first(silence, kServer);
  clock.Advance(milliseconds(300));
  ServerSilence::Run second(silence, kServer);
  clock.Advance(milliseconds(4'400));
  first.RecordBytes();
  clock.Advance(milliseconds(300));
  second.RecordBytes();
  CHECK(first.SilentTime() == nanoseconds::zero());
  CHECK(second.SilentTime() == nanoseconds::zero());
}

} // namespace
} // namespace rattanweir
