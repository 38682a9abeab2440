#include "testing/pipeline_world/pipeline_world.h"

#include "rattanweir/request/pipeline/explain.h"

#include <catch2/catch.hpp>

#include <json/json.h>

#include <set>
#include <sstream>

namespace rattanweir {
namespace {

using Code = ResultCode;
using Arrange = std::function<void(PipelineWorld&)>;

TEST_CASE("what was not used of a reservation is given back")
{
  struct Row
  {
    const char* m_name;
    AnswerKind m_kind;
    std::vector<std::string> m_pieces;
    double m_used;
  };
  const Row rows[] = {
    { "all that was generated", AnswerKind::Answers, { R"({"tokens":4})" }, 6 },
    { "an answer that does not say", AnswerKind::Answers, { "{}" }, 12 },
    { "may have run", AnswerKind::Resets, {}, 12 },
    { "did not run", AnswerKind::ConnectFails, {}, 0 },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    PipelineWorld world;
    while (world.m_retries.Take()) {
    }
    const ClientAccountId account("a");
    // Drawn down, so that nothing given back is lost at the cap.
    const auto drawn = world.m_rates.Reserve(account, Tokens(1000));
    REQUIRE(std::holds_alternative<Reservation>(drawn));
    const double before = world.m_rates.Status(account).m_tokensAtHand;
    const ScriptedAnswer answer{ .m_kind = row.m_kind,
                                 .m_pieces = row.m_pieces };
    world.Script(kEngineOne, answer);
    world.Script(kEngineTwo, answer);
    world.Ask({});
    const double after = world.m_rates.Status(account).m_tokensAtHand;
    CHECK(before - after == Approx(row.m_used));
  }
}

TEST_CASE("a request that is short borrows and is then admitted")
{
  const Question short20{ .m_headers = { { "x-api-key", "key-tiny" } },
                          .m_body = R"({"prompt":"","max_tokens":20})" };
  for (const bool hasBorrowed : { false, true }) {
    PipelineWorld world;
    world.m_borrower.m_answer = hasBorrowed;
    world.m_borrower.m_onAsked = [&] {
      // As much as a lease would bring.
      world.Advance(std::chrono::seconds(24));
    };
    const Outcome& outcome = world.Ask(short20);
    CHECK(world.m_borrower.m_asked == 1);
    CHECK(outcome.m_code == (hasBorrowed ? Code::Ok : Code::RateExceeded));
    CHECK(world.m_upstream.m_sent.size() == (hasBorrowed ? 1 : 0));
  }
}

TEST_CASE("a request that the refill soon covers waits and is admitted")
{
  struct Row
  {
    const char* m_name;
    std::int64_t m_taken;
    const char* m_cost;
    const char* m_deadlineMs;
    Code m_code;
  };
  // Account b has 100 tokens a millisecond and a burst of 100,000; a request
  // waits for 500 ms at most.
  for (const Row& row : std::vector<Row>{
         { "in time", 80'000, "50000", "5000", Code::Ok },
         { "past the bound", 100'000, "60000", "5000", Code::RateExceeded },
         { "past its deadline",
           80'000,
           "50000",
           "200",
           Code::RateExceeded } }) {
    INFO(row.m_name);
    PipelineWorld world;
    REQUIRE(std::holds_alternative<Reservation>(
      world.m_rates.Reserve(ClientAccountId("b"), Tokens(row.m_taken))));
    Outcome& outcome = world.Start(
      world.m_entry,
      { .m_headers = { { "x-api-key", "key-b" },
                       { "rattanweir-deadline-ms", row.m_deadlineMs } },
        .m_body =
          R"({"prompt":"","max_tokens":)" + std::string(row.m_cost) + "}" });
    // What is refused is refused at once.
    REQUIRE(outcome.m_isDone == (row.m_code != Code::Ok));
    // A little longer than 300 ms: buckets fill slower by the clocks' drift.
    world.m_clock.Advance(std::chrono::milliseconds(310));
    world.RunUntil([&] { return outcome.m_isDone; });
    CHECK(outcome.m_code == row.m_code);
    CHECK(outcome.m_comeBackAfter.has_value() == (row.m_code != Code::Ok));
    CHECK(world.m_inFlight.Count() == 0);
  }
}

TEST_CASE("a request that waits for tokens ends with its withdrawn key")
{
  PipelineWorld world;
  const ClientAccountId account("b");
  REQUIRE(std::holds_alternative<Reservation>(
    world.m_rates.Reserve(account, Tokens(100'000))));
  Outcome& outcome =
    world.Start(world.m_entry,
                { .m_headers = { { "x-api-key", "key-b" } },
                  .m_body = R"({"prompt":"","max_tokens":40000})" });
  REQUIRE_FALSE(outcome.m_isDone);
  world.OfferKeys({ "a" });
  world.RunUntil([&] { return outcome.m_isDone; });
  CHECK(outcome.m_code == Code::KeyWithdrawn);
  CHECK(outcome.m_ran == Ran::No);
  CHECK(world.m_rates.Status(account).m_tokensAtHand == 0);
}

TEST_CASE("a backend server that says it drains gets no new work")
{
  PipelineWorld world;
  world.Script(kDesk, { .m_headers = { { "x-draining", "1" } } });
  REQUIRE(world.Ask({ .m_target = "/book" }).m_code == Code::Ok);
  REQUIRE(world.m_backends.LeavingByOwnSignal() ==
          std::vector{ BackendServerId("d1") });
  REQUIRE(world.Ask({ .m_target = "/book" }).m_code == Code::NoBackendServer);
}

TEST_CASE("prompts that begin alike go to one server until it fails")
{
  PipelineWorld world;
  const std::string prompt(4 * kPrefixBlockBytes, 'p');
  const Question question{ .m_body = R"({"max_tokens":10,"prompt":")" + prompt +
                                     "\"}" };
  const auto endpointsOf = [&](std::size_t aFrom) {
    std::set<std::string> endpoints;
    for (std::size_t at = aFrom; at < world.m_upstream.m_sent.size(); ++at) {
      endpoints.insert(world.m_upstream.m_sent[at].m_endpoint);
    }
    return endpoints;
  };
  for (int request = 0; request < 20; ++request) {
    REQUIRE(world.Ask(question).m_code == Code::Ok);
  }
  REQUIRE(endpointsOf(0).size() == 1);
  const bool wasFirst = *endpointsOf(0).begin() == kEngineOne;

  // Its cache is gone with it.
  world.Script(*endpointsOf(0).begin(), { .m_kind = AnswerKind::Resets });
  REQUIRE(world.Ask(question).m_code == Code::Ok);
  REQUIRE(endpointsOf(20).size() == 2);
  const auto holders = world.m_prefixes.HoldersOf(HashPrefix("", prompt));
  REQUIRE(holders.size() == 1);
  REQUIRE(holders[0].m_id == BackendServerId(wasFirst ? "e2" : "e1"));
}

Json::Value
JsonOf(const Outcome& aOutcome)
{
  REQUIRE(aOutcome.m_code == Code::Ok);
  Json::Value value;
  std::istringstream(aOutcome.m_body) >> value;
  return value;
}

TEST_CASE("callers are told the usable instances, the own region first")
{
  PipelineWorld world;
  const Question question{ .m_method = "GET", .m_target = "/v1/entries" };
  const auto regions = [&] {
    std::string text;
    const Json::Value answer = JsonOf(world.Ask(question));
    for (const auto& entry : answer["entries"]) {
      text += entry["region"].asString() + " ";
    }
    return text;
  };
  REQUIRE(regions() == "east east west ");
  world.m_membership.MarkUnreachable(InstanceId("east-2"));
  REQUIRE(regions() == "east west ");
  world.m_serving.m_isDraining = true;
  REQUIRE(regions() == "west ");
  const Json::Value answer = JsonOf(world.Ask(question));
  REQUIRE(answer["expires_in_ms"].asInt() >
          answer["come_back_after_ms"].asInt());
}

TEST_CASE("a key is issued where its request can be dispatched")
{
  PipelineWorld world;
  const auto issue = [&](const char* aRoute) -> Outcome& {
    return world.Ask(
      { .m_target = "/v1/idempotency-keys",
        .m_body = std::string(R"({"route":")") + aRoute + "\"}" });
  };
  const Json::Value own = JsonOf(issue("book"));
  REQUIRE(own["instance"] == "east-1");
  REQUIRE(own["address"] == "10.0.8.1:1");
  REQUIRE(world.Ask(Booking(own["idempotency_key"].asString())).m_code ==
          Code::Ok);
  world.Script(kWestPeer, { .m_pieces = { R"({"instance":"west-1"})" } });
  REQUIRE(JsonOf(issue("book-west"))["instance"] == "west-1");
  REQUIRE(world.m_upstream.m_sent.back().m_request.m_target ==
          "/rattanweir/idempotency-keys");
  REQUIRE(issue("nothing").m_code == Code::UnknownRoute);
  world.Script(kWestPeer, { .m_kind = AnswerKind::ConnectFails });
  REQUIRE(issue("book-west").m_code == Code::ResidencyUnavailable);
  // While it drains, another instance of the region has to own the key.
  world.m_serving.m_isDraining = true;
  world.Script(kEastPeer, { .m_pieces = { R"({"instance":"east-2"})" } });
  REQUIRE(JsonOf(issue("book"))["instance"] == "east-2");
  world.Script(kEastPeer, { .m_kind = AnswerKind::ConnectFails });
  REQUIRE(issue("book").m_code == Code::ResidencyUnavailable);
}

TEST_CASE("a peer gets a key only for what can be dispatched from here")
{
  PipelineWorld world;
  const auto issue = [&](const char* aHop, const char* aBody) -> Outcome& {
    return world.AskAsPeer({ .m_target = "/rattanweir/idempotency-keys",
                             .m_headers = { { "rattanweir-hop", aHop } },
                             .m_body = aBody });
  };
  const char* const book = R"({"route":"book","client_account":"a"})";
  const Json::Value issued = JsonOf(issue("west-1", book));
  REQUIRE(issued["instance"] == "east-1");
  // The entry forwards the keyed request to its owner: that is here.
  HeaderFields fields =
    With(FromWest("book"),
         { { "idempotency-key", issued["idempotency_key"].asString() } });
  REQUIRE(
    world.AskAsPeer({ .m_target = "/book", .m_headers = fields }).m_code ==
    Code::Ok);
  REQUIRE(
    world.AskAsPeer({ .m_target = "/book", .m_headers = fields }).m_code ==
    Code::Ok);
  REQUIRE(world.m_upstream.m_sent.size() == 1);
  REQUIRE(issue("east-1", book).m_code == Code::LoopRefused);
  REQUIRE(
    issue("west-1", R"({"route":"book-west","client_account":"a"})").m_code ==
    Code::ResidencyRefused);
  REQUIRE(issue("west-1", R"({"route":"book"})").m_code == Code::KeyNotGranted);
}

TEST_CASE("an explanation agrees with what a request then meets")
{
  struct Row
  {
    ExplainQuestion m_question;
    Arrange m_arrange;
    const char* m_result;
  };
  const ClientAccountId account("a");
  const auto cutOff = [](PipelineWorld& aWorld) {
    aWorld.m_membership.MarkUnreachable(InstanceId("west-1"));
  };
  const Row rows[] = {
    { { .m_route = RouteId("book"), .m_clientAccount = account },
      {},
      "served by d1" },
    { { .m_path = "/book/now", .m_clientAccount = account },
      {},
      "served by d1" },
    { { .m_path = "/west", .m_clientAccount = account },
      {},
      "forwarded to west-1" },
    { { .m_path = "/west", .m_clientAccount = account },
      cutOff,
      "residency_unavailable" },
    { { .m_path = "/none", .m_clientAccount = account },
      {},
      "no_backend_server" },
    { { .m_path = "/book" }, {}, "key_missing" },
    { { .m_path = "/x" }, {}, "unknown_route" },
    { { .m_path = "/book", .m_clientAccount = account },
      PauseProcess,
      "instance_paused" },
  };
  for (const Row& row : rows) {
    PipelineWorld world;
    if (row.m_arrange) {
      row.m_arrange(world);
    }
    const Explanation why = Explain(world.m_serving, row.m_question);
    CHECK(why.m_result == row.m_result);
    CHECK_FALSE(why.m_reasons.empty());
  }
}

} // namespace
} // namespace rattanweir
