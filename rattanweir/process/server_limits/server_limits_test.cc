#include "rattanweir/process/server_limits/server_limits.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;

const BackendServerId kServer("s@1");
const BackendServerId kNextIncarnation("s@2");

struct Fixture
{
  bool Respond(std::optional<RequestRate> aNamed,
               milliseconds aSentBefore = milliseconds(0))
  {
    return m_limits.RecordResponse(
      kServer,
      { .m_named = aNamed, .m_sentAt = m_clock.SteadyNow() - aSentBefore });
  }

  ManualClock m_clock;
  ServerLimits m_limits{ { .m_clock = m_clock } };
};

TEST_CASE("a limit holds from the response that names it to one without")
{
  Fixture fixture;
  CHECK_FALSE(fixture.Respond(std::nullopt));
  CHECK_FALSE(fixture.m_limits.RateOf(kServer));
  CHECK(fixture.Respond(RequestRate(2.5)));
  CHECK_FALSE(fixture.Respond(RequestRate(2.5)));
  CHECK(fixture.m_limits.RateOf(kServer) == RequestRate(2.5));
  CHECK_FALSE(fixture.m_limits.RateOf(kNextIncarnation));
  CHECK(fixture.Respond(RequestRate(7)));
  CHECK(fixture.Respond(std::nullopt));
  CHECK_FALSE(fixture.m_limits.RateOf(kServer));
}

TEST_CASE("a response to a request that was sent before the limit was known "
          "neither ends nor raises it")
{
  Fixture fixture;
  fixture.Respond(RequestRate(2.5));
  fixture.m_clock.Advance(milliseconds(10));
  CHECK_FALSE(fixture.Respond(std::nullopt, milliseconds(20)));
  CHECK_FALSE(fixture.Respond(RequestRate(7), milliseconds(20)));
  CHECK(fixture.Respond(RequestRate(1), milliseconds(20)));
  CHECK(fixture.m_limits.RateOf(kServer) == RequestRate(1));
}

TEST_CASE("the limits of servers that are gone are removed")
{
  Fixture fixture;
  fixture.Respond(RequestRate(2.5));
  fixture.m_limits.KeepOnly({ kNextIncarnation });
  CHECK_FALSE(fixture.m_limits.RateOf(kServer));
}

TEST_CASE("the newest limit that any instance has heard of wins")
{
  Fixture fixture;
  ServerLimits peer({ .m_clock = fixture.m_clock });
  const auto exchange = [&] {
    for (const auto& [server, limit] : fixture.m_limits.ToAdvertise()) {
      peer.Merge(server, limit);
    }
    for (const auto& [server, limit] : peer.ToAdvertise()) {
      fixture.m_limits.Merge(server, limit);
    }
  };
  fixture.Respond(RequestRate(2.5));
  exchange();
  CHECK(peer.RateOf(kServer) == RequestRate(2.5));
  fixture.m_clock.Advance(milliseconds(100));
  peer.RecordResponse(kServer, { .m_sentAt = fixture.m_clock.SteadyNow() });
  exchange();
  CHECK_FALSE(fixture.m_limits.RateOf(kServer));
  CHECK(fixture.m_limits.ToAdvertise() == peer.ToAdvertise());
  CHECK(fixture.Respond(RequestRate(1)));
  peer.RecordResponse(
    kServer,
    { .m_named = RequestRate(3), .m_sentAt = fixture.m_clock.SteadyNow() });
  exchange();
  CHECK(peer.RateOf(kServer) == RequestRate(1));
  CHECK(fixture.m_limits.RateOf(kServer) == RequestRate(1));
}

TEST_CASE("the end of a limit is advertised for a minute")
{
  Fixture fixture;
  fixture.Respond(RequestRate(1));
  fixture.Respond(std::nullopt);
  CHECK(fixture.m_limits.ToAdvertise().size() == 1);
  fixture.m_clock.Advance(std::chrono::seconds(61));
  CHECK(fixture.m_limits.ToAdvertise().empty());
}

} // namespace
} // namespace rattanweir
