#include "rattanweir/request/placement/placement.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const SteadyTime kNow{ std::chrono::hours(1) };

ServerCandidate
Server(const char* aId, unsigned aRunning = 0, unsigned aWaiting = 0)
{
  ServerCandidate server{ .m_incarnation = BackendServerId(aId),
                          .m_slots = 6,
                          .m_maxInFlight = 40 };
  server.m_state.m_queue = ReportedQueue{
    .m_running = aRunning, .m_waiting = aWaiting, .m_slots = 6, .m_at = kNow
  };
  return server;
}

PlacementInput
InputOf(std::vector<ServerCandidate> aServers,
        std::vector<RegionCandidate> aRegions = {})
{
  return { .m_now = kNow,
           .m_servers = std::move(aServers),
           .m_regions = std::move(aRegions),
           .m_meanServiceTime = milliseconds(60),
           .m_instancesInRegion = 3,
           .m_untilDeadline = seconds(3) };
}

// Returns the chosen server's id, the chosen region ("r" and its index), or the
// kind of decision.
std::string
Decide(const PlacementInput& aInput)
{
  struct Name
  {
    const PlacementInput& m_input;
    std::string operator()(const SendToServer& aServer) const
    {
      return m_input.m_servers[aServer.m_index].m_incarnation.Value();
    }
    std::string operator()(const SendToRegion& aRegion) const
    {
      return "r" + std::to_string(aRegion.m_index);
    }
    std::string operator()(const KeepQueued&) const { return "queued"; }
    std::string operator()(const Refuse& aRefusal) const
    {
      return aRefusal.m_reason == RefusalReason::NoServer ? "no server"
             : aRefusal.m_reason == RefusalReason::ServersUnreachable
               ? "unreachable"
             : aRefusal.m_reason == RefusalReason::DeadlineTooShort
               ? "past deadline"
               : "rate limits";
    }
  };
  return std::visit(Name{ aInput }, DecidePlacement(aInput));
}

TEST_CASE("a request past its maximum queue wait is not sent to another region")
{
  PlacementInput input = InputOf({}, { { .m_region = RegionId("south") } });
  input.m_maxQueueWait = milliseconds(300);
  CHECK(Decide(input) == "r0");
  input.m_waited = milliseconds(301);
  CHECK(Decide(input) != "r0");
}

TEST_CASE("the server with the shortest time to first byte is chosen")
{
  CHECK(Decide(InputOf({ Server("a", 6, 4), Server("b", 3) })) == "b");
}

TEST_CASE("dispatches and completions adjust the reported request count")
{
  ServerCandidate sent = Server("a", 6, 0);
  sent.m_state.m_inFlight = 6;
  sent.m_state.m_dispatchesSinceQueueReport = 6;
  ServerCandidate ended = Server("b", 6, 3);
  ended.m_state.m_endsSinceQueueReport = 3;
  CHECK(Decide(InputOf({ sent, ended })) == "b");
}

TEST_CASE("an expired report is replaced by an estimate from local requests")
{
  ServerCandidate old = Server("a", 0, 0);
  old.m_state.m_queue->m_at = kNow - seconds(5);
  old.m_state.m_inFlight = 4;
  CHECK(EstimateOccupancy(InputOf({}), old) == 12);
}

TEST_CASE("an engine with the prompt cached is chosen unless it is busier")
{
  ServerCandidate holder = Server("holder");
  ServerCandidate other = Server("other");
  other.m_uncached = Tokens(13'300);
  CHECK(Decide(InputOf({ holder, other })) == "holder");
  holder.m_state.m_loadAwaitingResponse = 14'000;
  CHECK(Decide(InputOf({ holder, other })) == "other");
}

TEST_CASE("healthy servers are preferred to failing, slow and ejected ones")
{
  ServerCandidate failing = Server("failing");
  failing.m_state.m_failureRate = 0.4;
  ServerCandidate slow = Server("slow");
  slow.m_state.m_startDelay = milliseconds(300);
  ServerCandidate ejected = Server("ejected");
  ejected.m_state.m_ejectedUntil = kNow + seconds(1);
  CHECK(Decide(InputOf({ ejected, failing, slow, Server("healthy", 6) })) ==
        "healthy");
  CHECK(Decide(InputOf({ ejected, failing, slow })) == "slow");
}

TEST_CASE("another region is used if the local wait outweighs the transfer")
{
  const RegionCandidate idleRegion{ .m_region = RegionId("south") };
  CHECK(Decide(InputOf({ Server("a", 6, 6) }, { idleRegion })) == "a");
  CHECK(Decide(InputOf({ Server("a", 6, 17) }, { idleRegion })) == "r0");
  RegionCandidate busy = idleRegion;
  busy.m_startDelay = milliseconds(400);
  CHECK(Decide(InputOf({ Server("a", 6, 17) }, { busy })) == "a");
  CHECK(Decide(InputOf({}, { busy, idleRegion })) == "r1");
}

TEST_CASE("observed delays and missing cache count against a region")
{
  RegionCandidate slow{ .m_region = RegionId("south") };
  slow.m_state.m_startDelay = milliseconds(300);
  CHECK(Decide(InputOf({ Server("a", 6, 17) }, { slow })) == "a");
  RegionCandidate cold{ .m_region = RegionId("south") };
  cold.m_uncached = Tokens(12'000);
  CHECK(Decide(InputOf({ Server("a", 6, 17) }, { cold })) == "a");
}

TEST_CASE("another region is used only if it is better by the margin")
{
  const RegionCandidate idleRegion{ .m_region = RegionId("south") };
  PlacementInput input = InputOf({ Server("a", 6, 17) }, { idleRegion });
  input.m_regionMargin = milliseconds(100);
  CHECK(Decide(input) == "a");
}

TEST_CASE("a request stays queued if servers are full or at their cold limit")
{
  ServerCandidate cold = Server("cold");
  cold.m_isRateLimitReached = true;
  CHECK(Decide(InputOf({ cold, Server("full", 6, 18) })) == "queued");
  ServerCandidate connected = Server("connected");
  connected.m_state.m_inFlight = 40;
  connected.m_state.m_queue.reset();
  CHECK(Decide(InputOf({ connected })) == "queued");
}

TEST_CASE("a request is refused at once if only rate limits hold it for longer "
          "than it may wait")
{
  ServerCandidate limited = Server("limited");
  limited.m_isRateLimitReached = true;
  limited.m_rateLimitedFor = milliseconds(800);
  limited.m_rateInterval = milliseconds(100);
  PlacementInput input = InputOf({ limited });
  input.m_maxQueueWait = milliseconds(300);
  const Placement refused = DecidePlacement(input);
  REQUIRE(std::holds_alternative<Refuse>(refused));
  CHECK(std::get<Refuse>(refused).m_reason == RefusalReason::RateLimitsReached);
  CHECK(std::get<Refuse>(refused).m_retryAfter == milliseconds(800));
  // It waits for a permit that comes in time, unless others get it before.
  input.m_servers[0].m_rateLimitedFor = milliseconds(50);
  CHECK(Decide(input) == "queued");
  input.m_requestsAhead = 3;
  CHECK(Decide(input) == "rate limits");
  // Another server may free a slot earlier.
  input.m_servers.push_back(Server("full", 6, 18));
  CHECK(Decide(input) == "queued");
}

TEST_CASE("a just started instance queues requests until it discovers servers")
{
  PlacementInput input = InputOf({});
  input.m_isDiscovering = true;
  CHECK(Decide(input) == "queued");
}

TEST_CASE("a request that cannot meet its deadline is refused immediately")
{
  PlacementInput late = InputOf({ Server("a", 6, 17) });
  late.m_untilDeadline = milliseconds(100);
  CHECK(Decide(late) == "past deadline");
  CHECK(Decide(InputOf({})) == "no server");
}

TEST_CASE("servers that can't be reached are left to peers that reach them")
{
  ServerCandidate lost = Server("lost");
  lost.m_isLeftToPeers = true;
  const RegionCandidate local{ .m_region = RegionId("north"),
                               .m_isLocal = true };
  const RegionCandidate other{ .m_region = RegionId("south") };
  CHECK(Decide(InputOf({ lost, Server("busy", 6, 6) })) == "busy");
  CHECK(Decide(InputOf({ lost }, { other, local })) == "r1");
  CHECK(Decide(InputOf({ lost }, { other })) == "r0");

  // A peer's server is not better than one that can be reached.
  CHECK(Decide(InputOf({ lost, Server("near") }, { local })) == "near");
  CHECK(Decide(InputOf({ lost, Server("full", 6, 18) }, { local })) == "r0");
}

TEST_CASE(
  "time that went into connections that were never made is no reason to "
  "stay in the region")
{
  ServerCandidate lost = Server("lost");
  lost.m_isLeftToPeers = true;
  PlacementInput input =
    InputOf({ lost }, { { .m_region = RegionId("south") } });
  input.m_maxQueueWait = milliseconds(300);
  input.m_waited = milliseconds(800);
  CHECK(Decide(input) == "r0");
}

TEST_CASE("a request that nobody can take to a server is refused at once")
{
  ServerCandidate lost = Server("lost");
  lost.m_isLeftToPeers = true;
  PlacementInput input = InputOf({ lost });
  // The server may have failed, and not the links.
  CHECK(Decide(input) == "lost");
  input.m_hasLostLinks = true;
  CHECK(Decide(input) == "unreachable");
  input.m_hasLostLinks = false;
  input.m_isForwarded = true;
  CHECK(Decide(input) == "unreachable");
}

} // namespace
} // namespace rattanweir
