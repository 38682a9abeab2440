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

struct Choosing
{
  ManualClock m_clock;
  RandomEngine m_random{ kSeed };
  BackendSelector m_backends{ { .m_clock = m_clock, .m_random = m_random } };
  RequestRouter m_places{ { .m_backends = m_backends, .m_random = m_random } };

  BackendCandidate Candidate(std::uint32_t aInFlight) const
  {
    return { .m_id = BackendServerId(std::to_string(aInFlight)),
             .m_maximumInFlight = 4,
             .m_state = { .m_inFlight = aInFlight,
                          .m_loadInFlight = aInFlight } };
  }

  // How often each index is chosen.
  std::map<std::size_t, int> Draw(
    const std::vector<BackendCandidate>& aCandidates)
  {
    std::map<std::size_t, int> counts;
    for (int draw = 0; draw < 1000; ++draw) {
      const auto result = m_backends.Choose(aCandidates);
      ++counts[std::get<ChosenBackend>(result).m_index];
    }
    return counts;
  }
};

TEST_CASE("the costliest of the pool is never chosen, the others are")
{
  Choosing choosing;
  const auto counts = choosing.Draw(
    { choosing.Candidate(1), choosing.Candidate(3), choosing.Candidate(0) });
  REQUIRE_FALSE(counts.contains(1));
  REQUIRE(counts.at(0) > 200);
  REQUIRE(counts.at(2) > 500);
}

TEST_CASE("a report fades into the pool's mean, own requests do not fade")
{
  struct Row
  {
    std::optional<std::uint64_t> m_reported;
    seconds m_age;
    std::uint64_t m_since;
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
    // What waits for its answer to begin counts 16 times more.
    { 8, seconds(0), 1, 2, 1, 25 },
  };
  for (const Row& row : rows) {
    Choosing choosing;
    BackendState state{ .m_loadInFlight = row.m_inFlight,
                        .m_loadUnanswered = row.m_unanswered,
                        .m_dispatchedSince = row.m_since };
    if (row.m_reported) {
      state.m_load = { .m_load = *row.m_reported,
                       .m_at = choosing.m_clock.SteadyNow() };
    }
    choosing.m_clock.Advance(row.m_age);
    REQUIRE(choosing.m_backends.CostOf(state, kMean) == Approx(row.m_cost));
  }
}

TEST_CASE("a server that was not heard of counts as loaded as the pool")
{
  Choosing choosing;
  const auto reported = [&](std::uint64_t aLoad) {
    BackendCandidate candidate = choosing.Candidate(0);
    candidate.m_state.m_load = { .m_load = aLoad,
                                 .m_at = choosing.m_clock.SteadyNow() };
    return candidate;
  };
  const BackendCandidate unheard = choosing.Candidate(0);
  const auto counts = choosing.Draw({ reported(10), unheard, reported(90) });
  REQUIRE_FALSE(counts.contains(2));
  REQUIRE(counts.at(0) > counts.at(1));
}

TEST_CASE("leaving, full and ejected servers get no work")
{
  Choosing choosing;
  const auto until = choosing.m_clock.SteadyNow() + seconds(1);
  BackendCandidate listed = choosing.Candidate(0);
  listed.m_isDraining = true;
  BackendCandidate signalled = choosing.Candidate(0);
  signalled.m_state.m_isDraining = true;
  BackendCandidate ejected = choosing.Candidate(0);
  ejected.m_state.m_ejectedUntil = until;
  BackendCandidate longer = choosing.Candidate(0);
  longer.m_state.m_ejectedUntil = until + seconds(1);
  const BackendCandidate full = choosing.Candidate(4);
  const BackendCandidate idle = choosing.Candidate(0);

  const auto choose = [&](std::vector<BackendCandidate> aCandidates) {
    return choosing.m_backends.Choose(aCandidates);
  };
  REQUIRE(std::holds_alternative<NoBackendAvailable>(choose({})));
  REQUIRE(
    std::holds_alternative<NoBackendAvailable>(choose({ listed, signalled })));
  REQUIRE(std::holds_alternative<AllBackendsFull>(choose({ full, listed })));
  REQUIRE(choosing.Draw({ listed, ejected, idle, idle, full }).count(1) == 0);
  // Half of the pool stays in use, those back soonest first.
  const auto counts = choosing.Draw({ longer, ejected, longer, ejected });
  REQUIRE(counts.size() == 2);
  REQUIRE(counts.contains(1));
  REQUIRE(counts.contains(3));
  REQUIRE(choosing.Draw({ ejected }).size() == 1);
}

TEST_CASE("a cache is preferred until its server has more load")
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
    { "more is waiting there than is saved", 100, 60, 100, 50, 1, 0, 0 },
    { "less is waiting there than is saved", 100, 40, 100, 50, 1, 1000, 1000 },
    { "loaded above the pool", 400, 0, 100, 50, 1, 0, 0 },
    { "loaded above the pool, large saving", 9000, 0, 100, 900, 1, 0, 0 },
    { "a little above the pool", 130, 0, 100, 50, 1, 1000, 1000 },
    { "the others are full", 400, 0, 100, 50, 4, 1000, 1000 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.m_name, kSeed);
    Choosing choosing;
    const auto report = [&](std::uint64_t aLoad) {
      return ReportedLoad{ .m_load = aLoad,
                           .m_at = choosing.m_clock.SteadyNow() };
    };
    BackendCandidate other = choosing.Candidate(row.m_othersInFlight);
    other.m_state.m_load = report(row.m_othersReported);
    std::vector<BackendCandidate> candidates(6, other);
    candidates[3].m_id = BackendServerId("holder");
    candidates[3].m_state = { .m_inFlight = 1,
                              .m_loadInFlight = 1,
                              .m_loadUnanswered = row.m_holderUnanswered,
                              .m_load = report(row.m_holderReported) };
    candidates[3].m_savedLoad = row.m_savedLoad;
    const auto counts = choosing.Draw(candidates);
    const int toHolder = counts.contains(3) ? counts.at(3) : 0;
    REQUIRE(toHolder >= row.m_min);
    REQUIRE(toHolder <= row.m_max);
  }
}

TEST_CASE("instances prefer the same server for a beginning, without a message")
{
  Choosing choosing;
  std::vector<BackendCandidate> pool;
  pool.reserve(8);
  for (int server = 0; server < 8; ++server) {
    pool.push_back({ .m_id = BackendServerId("s" + std::to_string(server)) });
  }
  const auto home = [&](const PromptPrefix& aPrefix, const char* aSentTo) {
    PrefixView view({ .m_clock = choosing.m_clock });
    view.AddDispatch(aPrefix, BackendServerId(aSentTo));
    SetSavedLoads(pool, view, aPrefix);
    const auto best = std::max_element(
      pool.begin(), pool.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.m_savedLoad < aRight.m_savedLoad;
      });
    REQUIRE(best->m_savedLoad > 0);
    return best - pool.begin();
  };
  std::map<std::ptrdiff_t, int> homes;
  for (int prompt = 0; prompt < 400; ++prompt) {
    const auto prefix =
      HashPrefix(std::to_string(prompt), std::string(6'000, 'x'));
    // The two instances sent it to servers that have gone since.
    const auto first = home(prefix, "gone");
    REQUIRE(home(prefix, "away") == first);
    ++homes[first];
    // Its home leaves or fails: another one, the same for all; and back.
    pool[first].m_isDraining = prompt % 2 == 0;
    if (prompt % 2 == 1) {
      pool[first].m_state.m_ejectedUntil = choosing.m_clock.SteadyNow();
    }
    REQUIRE(home(prefix, "gone") != first);
    REQUIRE(home(prefix, "gone") == home(prefix, "away"));
    pool[first].m_isDraining = false;
    pool[first].m_state.m_ejectedUntil.reset();
    REQUIRE(home(prefix, "gone") == first);
  }
  REQUIRE(homes.size() == 8);
  // One that did not see the prompt yet expects its first four blocks there.
  const auto unseen = HashPrefix("unseen", std::string(9'000, 'x'));
  const auto server = home(unseen, "gone");
  SetSavedLoads(pool, PrefixView({ .m_clock = choosing.m_clock }), unseen);
  for (std::size_t index = 0; index < pool.size(); ++index) {
    const double saved =
      static_cast<std::ptrdiff_t>(index) == server ? 0.8 * 1024 : 0;
    REQUIRE(pool[index].m_savedLoad == Approx(saved));
  }
  for (const auto& [server, count] : homes) {
    REQUIRE(count > 25);
  }
}

TEST_CASE("no cache brings work to a server that takes none")
{
  Choosing choosing;
  const BackendCandidate idle = choosing.Candidate(0);
  const auto holder = [&](auto aSpoil) {
    BackendCandidate candidate = choosing.Candidate(0);
    candidate.m_savedLoad = 1e6;
    aSpoil(candidate);
    return candidate;
  };
  const BackendCandidate spoilt[] = {
    holder([](auto& aIt) { aIt.m_isDraining = true; }),
    holder([](auto& aIt) { aIt.m_state.m_isDraining = true; }),
    holder([](auto& aIt) { aIt.m_state.m_inFlight = aIt.m_maximumInFlight; }),
    holder([&](auto& aIt) {
      aIt.m_state.m_ejectedUntil = choosing.m_clock.SteadyNow() + seconds(1);
    }),
  };
  for (const BackendCandidate& candidate : spoilt) {
    REQUIRE_FALSE(choosing.Draw({ idle, candidate, idle }).contains(1));
  }
  // With most of the pool ejected, half of it stays in use, and the cache
  // decides within that half only.
  BackendCandidate later = spoilt[3];
  *later.m_state.m_ejectedUntil += seconds(1);
  BackendCandidate latest = later;
  *latest.m_state.m_ejectedUntil += seconds(1);
  latest.m_savedLoad = 2e6;
  later.m_savedLoad = 0;
  const auto counts = choosing.Draw({ latest, spoilt[3], latest, later });
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

TEST_CASE("a request is served here, elsewhere or nowhere")
{
  Choosing choosing;
  const auto all = PermittedRegions::All();
  const auto east = PermittedRegions::Only({ RegionId("east") });
  const auto west = PermittedRegions::Only({ RegionId("west") });
  const auto idle = choosing.Candidate(0);
  const auto full = choosing.Candidate(4);
  const PeerView peer = Peer("w", "west", 0);
  struct Row
  {
    PermittedRegions m_regions;
    std::vector<BackendCandidate> m_candidates;
    std::vector<PeerView> m_peers;
    std::variant<bool, ResultCode> m_isHere;
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
    // Never to a peer of the own region: it has the same backend servers.
    { all, {}, { Peer("e", "east", 0) }, ResultCode::NoBackendServer },
  };
  for (const Row& row : rows) {
    const RoutingDecision place =
      choosing.m_places.Choose({ .m_regions = row.m_regions,
                                 .m_localRegion = RegionId("east"),
                                 .m_candidates = row.m_candidates,
                                 .m_peers = row.m_peers });
    if (const auto* code = std::get_if<ResultCode>(&row.m_isHere)) {
      REQUIRE(std::get<NoDestination>(place).m_code == *code);
      continue;
    }
    REQUIRE(std::holds_alternative<ServeLocally>(place) ==
            std::get<bool>(row.m_isHere));
    REQUIRE(std::holds_alternative<ForwardToPeer>(place) !=
            std::get<bool>(row.m_isHere));
  }
}

TEST_CASE("the peer with fewer requests is drawn more often")
{
  Choosing choosing;
  int idleOnes = 0;
  for (int draw = 0; draw < 1000; ++draw) {
    const RoutingDecision place = choosing.m_places.Choose(
      { .m_localRegion = RegionId("east"),
        .m_peers = { Peer("busy", "west", 50), Peer("idle", "west", 1) } });
    const auto& peer = std::get<ForwardToPeer>(place).m_peer;
    idleOnes += peer.m_record.m_id == InstanceId("idle") ? 1 : 0;
  }
  REQUIRE(idleOnes > 650);
  REQUIRE(idleOnes < 850);
}

TEST_CASE("entries of the own region go first, stable for an account")
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
    // Without its first instance an account moves to its second.
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
