#include "rattanweir/process/backend_view/backend_view.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const BackendServerId kServer("s");

TEST_CASE("dispatches count in flight and since the newest report")
{
  ManualClock clock;
  BackendView view({ .m_clock = clock });
  view.AddDispatch(kServer, 100);
  view.AddDispatch(kServer, 20);
  view.ReportLoad(kServer, 9);
  view.AddDispatch(kServer, 3);
  REQUIRE(view.StateOf(kServer).m_loadUnanswered == 123);
  view.StartResponse(kServer, 100);
  REQUIRE(view.StateOf(kServer).m_loadUnanswered == 23);
  REQUIRE(view.StateOf(kServer).m_loadInFlight == 123);
  view.EndDispatch(kServer, { .m_load = 100, .m_hasBegun = true });
  view.EndDispatch(kServer, { .m_load = 20 });
  const BackendState state = view.StateOf(kServer);
  REQUIRE(state.m_inFlight == 1);
  REQUIRE(state.m_loadInFlight == 3);
  REQUIRE(state.m_loadUnanswered == 3);
  REQUIRE(state.m_dispatchedSince == 3);
  REQUIRE(state.m_load->m_load == 9);
  REQUIRE(state.m_load->m_at == clock.SteadyNow());
}

TEST_CASE("consecutive failures eject for a back-off that doubles")
{
  ManualClock clock;
  BackendView view({ .m_clock = clock });
  const auto end = [&](AttemptOutcome aOutcome) {
    view.AddDispatch(kServer, 1);
    view.EndDispatch(kServer, { .m_load = 1, .m_outcome = aOutcome });
    return view.StateOf(kServer).m_ejectedUntil;
  };
  REQUIRE_FALSE(end(AttemptOutcome::Failed));
  REQUIRE_FALSE(end(AttemptOutcome::Failed));
  REQUIRE_FALSE(end(AttemptOutcome::Answered));
  REQUIRE_FALSE(end(AttemptOutcome::Failed));
  REQUIRE_FALSE(end(AttemptOutcome::Failed));
  REQUIRE_FALSE(end(AttemptOutcome::Neutral));
  REQUIRE(end(AttemptOutcome::Failed) == clock.SteadyNow() + seconds(1));
  clock.Advance(seconds(1));
  REQUIRE_FALSE(view.StateOf(kServer).m_ejectedUntil);
  REQUIRE(end(AttemptOutcome::Failed) == clock.SteadyNow() + seconds(2));
  for (int failure = 0; failure < 40; ++failure) {
    REQUIRE(end(AttemptOutcome::Failed) <= clock.SteadyNow() + seconds(30));
  }
  REQUIRE_FALSE(end(AttemptOutcome::Answered));
}

TEST_CASE("a server leaves by its own signal or a peer's word, for a time")
{
  ManualClock clock;
  BackendView view({ .m_clock = clock });
  REQUIRE_FALSE(view.StateOf(kServer).m_isDraining);
  view.MarkDrainingByPeer(kServer);
  REQUIRE(view.StateOf(kServer).m_isDraining);
  REQUIRE(view.DrainingByOwnSignal().empty());
  clock.Advance(minutes(9));
  view.MarkDraining(kServer);
  clock.Advance(minutes(9));
  REQUIRE(view.StateOf(kServer).m_isDraining);
  REQUIRE(view.DrainingByOwnSignal() == std::vector{ kServer });
  clock.Advance(minutes(1));
  REQUIRE_FALSE(view.StateOf(kServer).m_isDraining);
}

TEST_CASE("servers that are not listed are forgotten once idle")
{
  ManualClock clock;
  BackendView view({ .m_clock = clock });
  view.AddDispatch(kServer, 1);
  view.ReportLoad(kServer, 3);
  view.KeepOnly({});
  REQUIRE(view.StateOf(kServer).m_load);
  view.EndDispatch(kServer, { .m_load = 1 });
  view.KeepOnly({ kServer });
  REQUIRE(view.StateOf(kServer).m_load);
  view.KeepOnly({});
  REQUIRE_FALSE(view.StateOf(kServer).m_load);
}

TEST_CASE("an unreachable server is ejected at once")
{
  ManualClock clock;
  BackendView view({ .m_clock = clock });
  view.AddDispatch(kServer, 1);
  view.EndDispatch(kServer,
                   { .m_load = 1, .m_outcome = AttemptOutcome::Unreachable });
  CHECK(view.StateOf(kServer).m_ejectedUntil == clock.SteadyNow() + seconds(1));
}

TEST_CASE("failures and late starts fade when nothing new is observed")
{
  ManualClock clock;
  BackendView view({ .m_clock = clock,
                     .m_newestWeight = 0.5,
                     .m_observationHalfLife = seconds(2) });
  view.AddDispatch(kServer, 1);
  view.EndDispatch(kServer,
                   { .m_load = 1, .m_outcome = AttemptOutcome::Failed });
  view.ObserveStartDelay(kServer, seconds(4));
  CHECK(view.StateOf(kServer).m_failureShare == Approx(0.5));
  CHECK(view.StateOf(kServer).m_startDelay == seconds(2));
  clock.Advance(seconds(2));
  CHECK(view.StateOf(kServer).m_failureShare == Approx(0.25));
  CHECK(view.StateOf(kServer).m_startDelay == seconds(1));
}

TEST_CASE("dispatches and ends are counted since the newest queue report")
{
  ManualClock clock;
  BackendView view({ .m_clock = clock });
  view.AddDispatch(kServer, 1);
  view.ReportQueue(kServer, 3, 2, 6);
  view.AddDispatch(kServer, 1);
  view.EndDispatch(kServer, { .m_load = 1 });
  const BackendState state = view.StateOf(kServer);
  REQUIRE(state.m_queue);
  CHECK(state.m_queue->m_running == 3);
  CHECK(state.m_queue->m_waiting == 2);
  CHECK(state.m_dispatchesSinceQueue == 1);
  CHECK(state.m_endsSinceQueue == 1);
}

} // namespace
} // namespace rattanweir
