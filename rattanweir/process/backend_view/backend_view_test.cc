#include "rattanweir/process/backend_view/backend_view.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const BackendServerId kServer("s");

TEST_CASE("load is counted in flight and since the latest report")
{
  ManualClock clock;
  BackendView view({ .m_clock = clock });
  view.AddDispatch(kServer, 100);
  view.AddDispatch(kServer, 20);
  view.ReportLoad(kServer, 9);
  view.AddDispatch(kServer, 3);
  REQUIRE(view.StateOf(kServer).m_loadAwaitingResponse == 123);
  view.StartResponse(kServer, 100);
  REQUIRE(view.StateOf(kServer).m_loadAwaitingResponse == 23);
  REQUIRE(view.StateOf(kServer).m_loadInFlight == 123);
  view.EndDispatch(kServer, { .m_load = 100, .m_hasResponseStarted = true });
  view.EndDispatch(kServer, { .m_load = 20 });
  const BackendState state = view.StateOf(kServer);
  REQUIRE(state.m_inFlight == 1);
  REQUIRE(state.m_loadInFlight == 3);
  REQUIRE(state.m_loadAwaitingResponse == 3);
  REQUIRE(state.m_loadSinceReport == 3);
  REQUIRE(state.m_load->m_load == 9);
  REQUIRE(state.m_load->m_at == clock.SteadyNow());
}

TEST_CASE("consecutive failures eject a server with a doubling back-off")
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
  REQUIRE_FALSE(end(AttemptOutcome::Succeeded));
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
  REQUIRE_FALSE(end(AttemptOutcome::Succeeded));
}

TEST_CASE("a draining signal from the server or a peer expires")
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

TEST_CASE("unlisted servers are removed once they have no request in flight")
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

TEST_CASE("an unreachable server is ejected immediately")
{
  ManualClock clock;
  BackendView view({ .m_clock = clock });
  view.AddDispatch(kServer, 1);
  view.EndDispatch(kServer,
                   { .m_load = 1, .m_outcome = AttemptOutcome::Unreachable });
  CHECK(view.StateOf(kServer).m_ejectedUntil == clock.SteadyNow() + seconds(1));
}

TEST_CASE("the failure rate and the start delay decay without new samples")
{
  ManualClock clock;
  BackendView view({ .m_clock = clock,
                     .m_newestSampleWeight = 0.5,
                     .m_observationHalfLife = seconds(2) });
  view.AddDispatch(kServer, 1);
  view.EndDispatch(kServer,
                   { .m_load = 1, .m_outcome = AttemptOutcome::Failed });
  view.ObserveStartDelay(kServer, seconds(4));
  CHECK(view.StateOf(kServer).m_failureRate == Approx(0.5));
  CHECK(view.StateOf(kServer).m_startDelay == seconds(2));
  clock.Advance(seconds(2));
  CHECK(view.StateOf(kServer).m_failureRate == Approx(0.25));
  CHECK(view.StateOf(kServer).m_startDelay == seconds(1));
}

TEST_CASE("dispatches and ends are counted since the latest queue report")
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
  CHECK(state.m_dispatchesSinceQueueReport == 1);
  CHECK(state.m_endsSinceQueueReport == 1);
}

TEST_CASE("a restored path ends an ejection")
{
  ManualClock clock;
  BackendView view({ .m_clock = clock });
  const BackendServerId server("s");
  for (int failure = 0; failure < 6; ++failure) {
    view.AddDispatch(server, 1);
    view.EndDispatch(server,
                     { .m_load = 1, .m_outcome = AttemptOutcome::Unreachable });
  }
  REQUIRE(view.StateOf(server).m_ejectedUntil);
  view.RecordRestoredPath(server);
  CHECK_FALSE(view.StateOf(server).m_ejectedUntil);
  CHECK(view.StateOf(server).m_failureRate == 0);
  // The next failure counts like a first one.
  view.AddDispatch(server, 1);
  view.EndDispatch(server,
                   { .m_load = 1, .m_outcome = AttemptOutcome::Unreachable });
  CHECK(*view.StateOf(server).m_ejectedUntil <=
        clock.SteadyNow() + std::chrono::seconds(1));
}

} // namespace
} // namespace rattanweir
