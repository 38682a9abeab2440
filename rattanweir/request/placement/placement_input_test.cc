#include "rattanweir/request/placement/placement_input.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace rattanweir {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

const ChainLink kSharedPrefix{ .m_hash = 7, .m_tokens = Tokens(13'300) };
constexpr Tokens kPrompt{ 17'020 };
// Copy time per token; the shared prefix takes 16 ms.
constexpr std::chrono::duration<double, std::nano> kFastLink{ 1'200 };

std::vector<ServerCandidate>
Engines(std::size_t aCount)
{
  std::vector<ServerCandidate> engines;
  for (std::size_t number = 0; number < aCount; ++number) {
    engines.push_back(
      { .m_incarnation = BackendServerId("e" + std::to_string(number)),
        .m_slots = 12,
        .m_uncached = kPrompt,
        .m_maxInFlight = 40 });
  }
  return engines;
}

std::size_t
IndexOfPreferred(const std::vector<ServerCandidate>& aEngines)
{
  const auto preferred = std::min_element(
    aEngines.begin(),
    aEngines.end(),
    [](const ServerCandidate& aLeft, const ServerCandidate& aRight) {
      return aLeft.m_uncached < aRight.m_uncached;
    });
  return std::size_t(preferred - aEngines.begin());
}

// Returns the index of the chosen engine, or nullopt if the request stays
// queued.
std::optional<std::size_t>
Choose(const std::vector<ServerCandidate>& aEngines, milliseconds aWaited)
{
  const Placement placement =
    DecidePlacement({ .m_now = SteadyTime(std::chrono::hours(1)),
                      .m_servers = aEngines,
                      .m_meanServiceTime = milliseconds(60),
                      .m_waited = aWaited,
                      .m_maxQueueWait = milliseconds(600),
                      .m_untilDeadline = std::chrono::seconds(6) });
  const auto* server = std::get_if<SendToServer>(&placement);
  return server == nullptr ? std::nullopt : std::optional(server->m_index);
}

} // namespace

TEST_CASE("all instances prefer the same engine for a shared prefix")
{
  std::vector<ServerCandidate> engines = Engines(5);
  AssumeSharedPrefix(engines, kSharedPrefix, kPrompt);
  const std::size_t preferred = IndexOfPreferred(engines);
  CHECK(engines[preferred].m_uncached < Tokens(7'000));
  std::vector<ServerCandidate> reversed = Engines(5);
  std::reverse(reversed.begin(), reversed.end());
  AssumeSharedPrefix(reversed, kSharedPrefix, kPrompt);
  CHECK(reversed[IndexOfPreferred(reversed)].m_incarnation ==
        engines[preferred].m_incarnation);
}

TEST_CASE("an ejected engine is not preferred for a shared prefix")
{
  std::vector<ServerCandidate> engines = Engines(5);
  AssumeSharedPrefix(engines, kSharedPrefix, kPrompt);
  const std::size_t preferred = IndexOfPreferred(engines);
  std::vector<ServerCandidate> without = Engines(5);
  without[preferred].m_state.m_ejectedUntil = SteadyTime(std::chrono::hours(2));
  AssumeSharedPrefix(without, kSharedPrefix, kPrompt);
  CHECK(IndexOfPreferred(without) != preferred);
}

TEST_CASE("missing tokens are copied from the engine with most of the prompt")
{
  std::vector<ServerCandidate> engines = Engines(3);
  engines[1].m_uncached = kPrompt - kSharedPrefix.m_tokens;
  PlanCacheCopies(engines, kFastLink);
  CHECK_FALSE(engines[1].m_copyFrom);
  CHECK(engines[1].m_copyCost == milliseconds(0));
  for (const std::size_t other : { 0, 2 }) {
    CHECK(engines[other].m_copyFrom == engines[1].m_incarnation);
    CHECK(engines[other].m_uncached == engines[1].m_uncached);
    CHECK(engines[other].m_copyCost > milliseconds(15));
  }
}

TEST_CASE("no copy is planned over a link that is slower than prefill")
{
  std::vector<ServerCandidate> engines = Engines(2);
  engines[1].m_uncached = kPrompt - kSharedPrefix.m_tokens;
  PlanCacheCopies(engines, microseconds(20));
  CHECK_FALSE(engines[0].m_copyFrom);
  CHECK(engines[0].m_uncached == kPrompt);
}

TEST_CASE("no copy is planned from an ejected or draining engine")
{
  std::vector<ServerCandidate> engines = Engines(2);
  engines[1].m_uncached = kPrompt - kSharedPrefix.m_tokens;
  SECTION("ejected")
  {
    engines[1].m_state.m_ejectedUntil = SteadyTime(std::chrono::hours(2));
  }
  SECTION("draining")
  {
    engines[1].m_state.m_isDraining = true;
  }
  PlanCacheCopies(engines, kFastLink);
  CHECK_FALSE(engines[0].m_copyFrom);
}

TEST_CASE("a prefix not known to be cached is copied from another region")
{
  const BackendServerId remoteEngine("south-1");
  std::vector<ServerCandidate> engines = Engines(3);
  AssumeSharedPrefix(engines, kSharedPrefix, kPrompt);
  const std::size_t preferred = IndexOfPreferred(engines);
  PlanCacheCopies(engines, kFastLink);
  PlanCacheCopiesFromRegion(remoteEngine, engines, kSharedPrefix, kPrompt);
  // The others copy from the preferred engine, which is assumed to have the
  // prefix cached.
  CHECK(engines[preferred].m_copyFrom == remoteEngine);
  CHECK(engines[(preferred + 1) % 3].m_copyFrom ==
        engines[preferred].m_incarnation);
  // An engine that was sent the prefix is known to have it cached.
  std::vector<ServerCandidate> known = Engines(1);
  known[0].m_uncached = kPrompt - kSharedPrefix.m_tokens;
  PlanCacheCopiesFromRegion(remoteEngine, known, kSharedPrefix, kPrompt);
  CHECK_FALSE(known[0].m_copyFrom);
}

TEST_CASE("a slightly busy engine keeps the requests of its shared prefix")
{
  std::vector<ServerCandidate> engines = Engines(3);
  engines[1].m_uncached = kPrompt - kSharedPrefix.m_tokens;
  engines[1].m_state.m_startDelay = milliseconds(300);
  PlanCacheCopies(engines, kFastLink);
  CHECK(Choose(engines, milliseconds(0)) == 1);
}

TEST_CASE("a shared prefix is copied from an engine with a long queue")
{
  std::vector<ServerCandidate> engines = Engines(3);
  engines[1].m_uncached = kPrompt - Tokens(5'000);
  engines[1].m_state.m_startDelay = milliseconds(350);
  PlanCacheCopies(engines, kFastLink);
  const auto chosen = Choose(engines, milliseconds(0));
  REQUIRE(chosen);
  CHECK(*chosen != 1);
}

TEST_CASE(
  "a request waits a limited time for the engine that has its prefix cached")
{
  std::vector<ServerCandidate> engines = Engines(2);
  engines[1].m_uncached = kPrompt - kSharedPrefix.m_tokens;
  engines[1].m_state.m_startDelay = milliseconds(500);
  // The copy cost, including evictions, makes the other engine count as full.
  engines[0].m_state.m_startDelay = milliseconds(100);
  PlanCacheCopies(engines, kFastLink);
  CHECK_FALSE(Choose(engines, milliseconds(0)));
  CHECK(Choose(engines, milliseconds(500)) == 0);
}

TEST_CASE("an engine with a long queue receives no more requests")
{
  std::vector<ServerCandidate> engines = Engines(1);
  engines[0].m_state.m_startDelay = milliseconds(350);
  CHECK(Choose(engines, milliseconds(0)) == 0);
  engines[0].m_state.m_startDelay = milliseconds(450);
  CHECK_FALSE(Choose(engines, milliseconds(0)));
}

TEST_CASE("the capacity of an engine's cache is divided among the instances")
{
  CHECK(CacheShare(Tokens(300'000), 3) == Tokens(100'000));
  CHECK(CacheShare(Tokens(300'000), 1) == Tokens(300'000));
}

TEST_CASE("the maximum queue wait is below the latency objective")
{
  CHECK(MaxQueueWait(milliseconds(1'000), milliseconds(6'000)) ==
        milliseconds(600));
  CHECK(MaxQueueWait(milliseconds(1'000), milliseconds(200)) ==
        milliseconds(200));
}

} // namespace rattanweir
