#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/request/routing/entry_order.h"
#include "rattanweir/request/routing/request_router.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanweir {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSeed = 7;

struct SelectionFixture
{
  ManualClock m_clock;
  RandomEngine m_random{ kSeed };
  BackendSelector m_selector{ { .m_clock = m_clock, .m_random = m_random } };
  RequestRouter m_router{ { .m_backends = m_selector, .m_random = m_random } };

  BackendCandidate Candidate(std::uint32_t aInFlight) const
  {
    return { .m_id = BackendServerId(std::to_string(aInFlight)),
             .m_maximumInFlight = 4,
             .m_state = { .m_inFlight = aInFlight,
                          .m_loadInFlight = aInFlight } };
  }

  // Returns how often each index is chosen in 1000 draws.
  std::map<std::size_t, int> Draw(
    const std::vector<BackendCandidate>& aCandidates)
  {
    std::map<std::size_t, int> counts;
    for (int draw = 0; draw < 1000; ++draw) {
      const auto result = m_selector.Choose(aCandidates);
      ++counts[std::get<ChosenBackend>(result).m_index];
    }
    return counts;
  }
};

TEST_CASE("only the candidate with the highest cost is never chosen")
{
  SelectionFixture fixture;
  const auto counts = fixture.Draw(
    { fixture.Candidate(1), fixture.Candidate(3), fixture.Candidate(0) });
  REQUIRE_FALSE(counts.contains(1));
  REQUIRE(counts.at(0) > 200);
  REQUIRE(counts.at(2) > 500);
}

TEST_CASE("a report decays to the pool's mean, local requests do not decay")
{
  struct Row
  {
    std::optional<std::uint64_t> m_reported;
    seconds m_age;
    std::uint64_t m_loadSinceReport;
    std::uint64_t m_inFlight;
    std::uint64_t m_unanswered;
    double m_cost;
  };
  constexpr double kMean = 4;
  const Row rows[] = {
    { std::nullopt, seconds(0), 1, 2, 0, kMean },
    { std::nullopt, seconds(0), 1, 7, 0, 7 },
    { 8, seconds(0), 1, 2, 0, 9 },
    { 8, seconds(2), 2, 2, 0, 7 },
    { 0, seconds(2), 0, 0, 0, 2 },
    { 8, seconds(200), 1, 2, 0, kMean },
    { 8, seconds(200), 1, 20, 0, 20 },
    // Load whose response has not started counts 16 times more.
    { 8, seconds(0), 1, 2, 1, 25 },
  };
  for (const Row& row : rows) {
    SelectionFixture fixture;
    BackendState state{ .m_loadInFlight = row.m_inFlight,
                        .m_loadAwaitingResponse = row.m_unanswered,
                        .m_loadSinceReport = row.m_loadSinceReport };
    if (row.m_reported) {
      state.m_load = { .m_load = *row.m_reported,
                       .m_at = fixture.m_clock.SteadyNow() };
    }
    fixture.m_clock.Advance(row.m_age);
    REQUIRE(fixture.m_selector.CostOf(state, kMean) == Approx(row.m_cost));
  }
}

TEST_CASE("a server without a report is assumed to have the pool's mean load")
{
  SelectionFixture fixture;
  const auto reported = [&](std::uint64_t aLoad) {
    BackendCandidate candidate = fixture.Candidate(0);
    candidate.m_state.m_load = { .m_load = aLoad,
                                 .m_at = fixture.m_clock.SteadyNow() };
    return candidate;
  };
  const BackendCandidate unreported = fixture.Candidate(0);
  const auto counts = fixture.Draw({ reported(10), unreported, reported(90) });
  REQUIRE_FALSE(counts.contains(2));
  REQUIRE(counts.at(0) > counts.at(1));
}

TEST_CASE("draining, full and ejected servers receive no requests")
{
  SelectionFixture fixture;
  const auto until = fixture.m_clock.SteadyNow() + seconds(1);
  BackendCandidate listed = fixture.Candidate(0);
  listed.m_isDraining = true;
  BackendCandidate signalled = fixture.Candidate(0);
  signalled.m_state.m_isDraining = true;
  BackendCandidate ejected = fixture.Candidate(0);
  ejected.m_state.m_ejectedUntil = until;
  BackendCandidate longer = fixture.Candidate(0);
  longer.m_state.m_ejectedUntil = until + seconds(1);
  const BackendCandidate full = fixture.Candidate(4);
  const BackendCandidate idle = fixture.Candidate(0);

  const auto choose = [&](std::vector<BackendCandidate> aCandidates) {
    return fixture.m_selector.Choose(aCandidates);
  };
  REQUIRE(std::holds_alternative<NoBackendAvailable>(choose({})));
  REQUIRE(
    std::holds_alternative<NoBackendAvailable>(choose({ listed, signalled })));
  REQUIRE(std::holds_alternative<AllBackendsFull>(choose({ full, listed })));
  REQUIRE(fixture.Draw({ listed, ejected, idle, idle, full }).count(1) == 0);
  // Half of the pool stays in use: those whose ejection ends first.
  const auto counts = fixture.Draw({ longer, ejected, longer, ejected });
  REQUIRE(counts.size() == 2);
  REQUIRE(counts.contains(1));
  REQUIRE(counts.contains(3));
  REQUIRE(fixture.Draw({ ejected }).size() == 1);
}

TEST_CASE(
  "a server with the prefix cached is preferred unless it has more load")
{
  struct Row
  {
    const char* m_name;
    std::uint64_t m_holderReported;
    std::uint64_t m_holderUnanswered;
    std::uint64_t m_othersReported;
    double m_savedLoad;
    std::size_t m_othersInFlight;
    // Of 1000 draws from a pool of six.
    int m_min;
    int m_max;
  };
  const Row rows[] = {
    { "equal loads", 100, 0, 100, 50, 1, 1000, 1000 },
    { "nothing saved", 100, 0, 100, 0, 1, 120, 220 },
    { "more load unanswered than saved", 100, 60, 100, 50, 1, 0, 0 },
    { "less load unanswered than saved", 100, 40, 100, 50, 1, 1000, 1000 },
    { "load above the pool", 400, 0, 100, 50, 1, 0, 0 },
    { "load above the pool, large saving", 9000, 0, 100, 900, 1, 0, 0 },
    { "load slightly above the pool", 130, 0, 100, 50, 1, 1000, 1000 },
    { "the others are full", 400, 0, 100, 50, 4, 1000, 1000 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.m_name, kSeed);
    SelectionFixture fixture;
    const auto report = [&](std::uint64_t aLoad) {
      return ReportedLoad{ .m_load = aLoad,
                           .m_at = fixture.m_clock.SteadyNow() };
    };
    BackendCandidate other = fixture.Candidate(row.m_othersInFlight);
    other.m_state.m_load = report(row.m_othersReported);
    std::vector<BackendCandidate> candidates(6, other);
    candidates[3].m_id = BackendServerId("holder");
    candidates[3].m_state = { .m_inFlight = 1,
                              .m_loadInFlight = 1,
                              .m_loadAwaitingResponse = row.m_holderUnanswered,
                              .m_load = report(row.m_holderReported) };
    candidates[3].m_savedLoad = row.m_savedLoad;
    const auto counts = fixture.Draw(candidates);
    const int toHolder = counts.contains(3) ? counts.at(3) : 0;
    REQUIRE(toHolder >= row.m_min);
    REQUIRE(toHolder <= row.m_max);
  }
}

TEST_CASE("instances prefer the same server for a prefix without communication")
{
  SelectionFixture fixture;
  std::vector<BackendCandidate> pool;
  pool.reserve(8);
  for (int server = 0; server < 8; ++server) {
    pool.push_back({ .m_id = BackendServerId("s" + std::to_string(server)) });
  }
  const auto preferredIndex = [&](const PromptPrefix& aPrefix,
                                  const char* aSentTo) {
    PrefixView view({ .m_clock = fixture.m_clock });
    view.AddDispatch(aPrefix, BackendServerId(aSentTo));
    SetSavedLoads(pool, view, aPrefix);
    const auto best = std::max_element(
      pool.begin(), pool.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.m_savedLoad < aRight.m_savedLoad;
      });
    REQUIRE(best->m_savedLoad > 0);
    return best - pool.begin();
  };
  std::map<std::ptrdiff_t, int> preferredCounts;
  for (int prompt = 0; prompt < 400; ++prompt) {
    const auto prefix =
      HashPrefix(std::to_string(prompt), std::string(6'000, 'x'));
    // The two instances dispatched the prefix to servers that were since
    // removed.
    const auto first = preferredIndex(prefix, "removed-1");
    REQUIRE(preferredIndex(prefix, "removed-2") == first);
    ++preferredCounts[first];
    // While the preferred server is draining or ejected, all instances prefer
    // the same other server.
    pool[first].m_isDraining = prompt % 2 == 0;
    if (prompt % 2 == 1) {
      pool[first].m_state.m_ejectedUntil = fixture.m_clock.SteadyNow();
    }
    REQUIRE(preferredIndex(prefix, "removed-1") != first);
    REQUIRE(preferredIndex(prefix, "removed-1") ==
            preferredIndex(prefix, "removed-2"));
    pool[first].m_isDraining = false;
    pool[first].m_state.m_ejectedUntil.reset();
    REQUIRE(preferredIndex(prefix, "removed-1") == first);
  }
  REQUIRE(preferredCounts.size() == 8);
  // An instance that has not seen the prompt expects its first four blocks to
  // be cached at the preferred server.
  const auto uncachedPrefix = HashPrefix("unseen", std::string(9'000, 'x'));
  const auto server = preferredIndex(uncachedPrefix, "removed-1");
  SetSavedLoads(
    pool, PrefixView({ .m_clock = fixture.m_clock }), uncachedPrefix);
  for (std::size_t index = 0; index < pool.size(); ++index) {
    const double saved =
      static_cast<std::ptrdiff_t>(index) == server ? 0.8 * 1024 : 0;
    REQUIRE(pool[index].m_savedLoad == Approx(saved));
  }
  for (const auto& [server, count] : preferredCounts) {
    REQUIRE(count > 25);
  }
}

TEST_CASE("a cached prefix does not override draining, full or ejected")
{
  SelectionFixture fixture;
  const BackendCandidate idle = fixture.Candidate(0);
  const auto holder = [&](auto aDisable) {
    BackendCandidate candidate = fixture.Candidate(0);
    candidate.m_savedLoad = 1e6;
    aDisable(candidate);
    return candidate;
  };
  const BackendCandidate unavailable[] = {
    holder([](auto& aCandidate) { aCandidate.m_isDraining = true; }),
    holder([](auto& aCandidate) { aCandidate.m_state.m_isDraining = true; }),
    holder([](auto& aCandidate) {
      aCandidate.m_state.m_inFlight = aCandidate.m_maximumInFlight;
    }),
    holder([&](auto& aCandidate) {
      aCandidate.m_state.m_ejectedUntil =
        fixture.m_clock.SteadyNow() + seconds(1);
    }),
  };
  for (const BackendCandidate& candidate : unavailable) {
    REQUIRE_FALSE(fixture.Draw({ idle, candidate, idle }).contains(1));
  }
  // With most of the pool ejected, half of the pool stays in use, and a cached
  // prefix is preferred within that half only.
  BackendCandidate later = unavailable[3];
  *later.m_state.m_ejectedUntil += seconds(1);
  BackendCandidate latest = later;
  *latest.m_state.m_ejectedUntil += seconds(1);
  latest.m_savedLoad = 2e6;
  later.m_savedLoad = 0;
  const auto counts = fixture.Draw({ latest, unavailable[3], latest, later });
  REQUIRE(counts == std::map<std::size_t, int>{ { 1, 1000 } });
}

PeerView
Peer(const char* aId, const char* aRegion, std::uint32_t aInFlight)
{
  PeerView peer;
  peer.m_record.m_id = InstanceId(aId);
  peer.m_record.m_region = RegionId(aRegion);
  peer.m_heartbeat = Heartbeat{ .m_requestsInFlight = aInFlight };
  return peer;
}

TEST_CASE("a request is served locally, forwarded or rejected")
{
  SelectionFixture fixture;
  const auto all = PermittedRegions::All();
  const auto east = PermittedRegions::Only({ RegionId("east") });
  const auto west = PermittedRegions::Only({ RegionId("west") });
  const auto idle = fixture.Candidate(0);
  const auto full = fixture.Candidate(4);
  const PeerView peer = Peer("w", "west", 0);
  struct Row
  {
    PermittedRegions m_regions;
    std::vector<BackendCandidate> m_candidates;
    std::vector<PeerView> m_peers;
    std::variant<bool, ResultCode> m_expected;
  };
  const Row rows[] = {
    { all, { idle }, { peer }, true },
    { all, { full }, { peer }, false },
    { all, {}, { peer }, false },
    { west, { idle }, { peer }, false },
    { west, { idle }, {}, ResultCode::ResidencyUnavailable },
    { east, { idle }, { peer }, true },
    { east, {}, { peer }, ResultCode::ResidencyUnavailable },
    { east, { full }, { peer }, ResultCode::TooManyRequests },
    { all, { full }, {}, ResultCode::TooManyRequests },
    { all, {}, {}, ResultCode::NoBackendServer },
    // A peer of the local region is never chosen: it has the same backend
    // servers.
    { all, {}, { Peer("e", "east", 0) }, ResultCode::NoBackendServer },
  };
  for (const Row& row : rows) {
    const RoutingDecision decision =
      fixture.m_router.Choose({ .m_regions = row.m_regions,
                                .m_localRegion = RegionId("east"),
                                .m_candidates = row.m_candidates,
                                .m_peers = row.m_peers });
    if (const auto* code = std::get_if<ResultCode>(&row.m_expected)) {
      REQUIRE(std::get<NoDestination>(decision).m_code == *code);
      continue;
    }
    REQUIRE(std::holds_alternative<ServeLocally>(decision) ==
            std::get<bool>(row.m_expected));
    REQUIRE(std::holds_alternative<ForwardToPeer>(decision) !=
            std::get<bool>(row.m_expected));
  }
}

TEST_CASE("the peer with fewer requests in flight is chosen more often")
{
  SelectionFixture fixture;
  int idleCount = 0;
  for (int draw = 0; draw < 1000; ++draw) {
    const RoutingDecision decision = fixture.m_router.Choose(
      { .m_localRegion = RegionId("east"),
        .m_peers = { Peer("busy", "west", 50), Peer("idle", "west", 1) } });
    const auto& peer = std::get<ForwardToPeer>(decision).m_peer;
    idleCount += peer.m_record.m_id == InstanceId("idle") ? 1 : 0;
  }
  REQUIRE(idleCount > 650);
  REQUIRE(idleCount < 850);
}

TEST_CASE("instances of the local region come first, in a stable order")
{
  std::vector<InstanceRecord> instances;
  instances.reserve(8);
  for (int index = 0; index < 8; ++index) {
    instances.push_back({ .m_id = InstanceId("i" + std::to_string(index)),
                          .m_region = RegionId(index < 3 ? "east" : "west") });
  }
  std::map<InstanceId, int> firsts;
  for (int account = 0; account < 300; ++account) {
    const std::string name = "account-" + std::to_string(account);
    const auto order = OrderEntries(instances, RegionId("east"), name);
    REQUIRE(order.size() == 8);
    for (std::size_t index = 0; index < order.size(); ++index) {
      REQUIRE((order[index].m_region == RegionId("east")) == (index < 3));
    }
    ++firsts[order.front().m_id];
    // If its first instance is removed, an account moves to its second.
    auto fewer = instances;
    std::erase_if(fewer, [&](const InstanceRecord& aRecord) {
      return aRecord.m_id == order.front().m_id;
    });
    REQUIRE(OrderEntries(fewer, RegionId("east"), name).front().m_id ==
            order[1].m_id);
  }
  REQUIRE(firsts.size() == 3);
  for (const auto& [id, count] : firsts) {
    REQUIRE(count > 50);
  }
}

} // namespace
} // namespace rattanweir
