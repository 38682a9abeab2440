#include "testing/pipeline_fixture/pipeline_fixture.h"

#include "rattanweir/request/pipeline/explain.h"

#include <catch2/catch.hpp>

#include <json/json.h>

#include <set>
#include <sstream>

namespace rattanweir {
namespace {

using Code = ResultCode;
using Arrange = std::function<void(PipelineFixture&)>;

TEST_CASE("unused tokens of a reservation are returned")
{
  struct Row
  {
    const char* m_name;
    ResponseKind m_kind;
    std::vector<std::string> m_pieces;
    double m_used;
  };
  const Row rows[] = {
    { "response that reports its tokens",
      ResponseKind::Responds,
      { R"({"tokens":4})" },
      6 },
    { "response that reports no tokens", ResponseKind::Responds, { "{}" }, 12 },
    { "may have run", ResponseKind::Resets, {}, 12 },
    { "did not run", ResponseKind::ConnectFails, {}, 0 },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    PipelineFixture fixture;
    while (fixture.m_retryBudget.TryAcquire()) {
    }
    const ClientAccountId account("a");
    // Consume tokens first, so that the bucket has capacity for returned ones.
    const auto consumed = fixture.m_rates.Reserve(account, Tokens(1000));
    REQUIRE(std::holds_alternative<Reservation>(consumed));
    const double before = fixture.m_rates.Status(account).m_availableTokens;
    const ScriptedResponse response{ .m_kind = row.m_kind,
                                     .m_pieces = row.m_pieces };
    fixture.Script(kEngineOne, response);
    fixture.Script(kEngineTwo, response);
    fixture.SendRequest({});
    const double after = fixture.m_rates.Status(account).m_availableTokens;
    CHECK(before - after == Approx(row.m_used));
  }
}

TEST_CASE("a request that lacks tokens borrows and is then admitted")
{
  const PipelineTestRequest twentyTokens{
    .m_headers = { { "x-api-key", "key-tiny" } },
    .m_body = R"({"prompt":"","max_tokens":20})"
  };
  for (const bool hasBorrowed : { false, true }) {
    PipelineFixture fixture;
    fixture.m_borrower.m_isGranted = hasBorrowed;
    fixture.m_borrower.m_onBorrow = [&] {
      // Refills the bucket by as many tokens as a lease would add.
      fixture.Advance(std::chrono::seconds(24));
    };
    const Outcome& outcome = fixture.SendRequest(twentyTokens);
    CHECK(fixture.m_borrower.m_borrowCount == 1);
    CHECK(outcome.m_code == (hasBorrowed ? Code::Ok : Code::RateExceeded));
    CHECK(fixture.m_upstream.m_sent.size() == (hasBorrowed ? 1 : 0));
  }
}

TEST_CASE("a request waits for a refill within the limit and is admitted")
{
  struct Row
  {
    const char* m_name;
    std::int64_t m_reservedBefore;
    const char* m_cost;
    const char* m_deadlineMs;
    Code m_code;
  };
  // Account b has a rate of 100 tokens per millisecond and a burst of 100,000;
  // a request waits for at most 500 ms.
  for (const Row& row : std::vector<Row>{
         { "within the limit", 80'000, "50000", "5000", Code::Ok },
         { "beyond the maximum wait",
           100'000,
           "60000",
           "5000",
           Code::RateExceeded },
         { "beyond the deadline",
           80'000,
           "50000",
           "200",
           Code::RateExceeded } }) {
    INFO(row.m_name);
    PipelineFixture fixture;
    REQUIRE(std::holds_alternative<Reservation>(fixture.m_rates.Reserve(
      ClientAccountId("b"), Tokens(row.m_reservedBefore))));
    Outcome& outcome = fixture.Start(
      fixture.m_entry,
      { .m_headers = { { "x-api-key", "key-b" },
                       { "rattanweir-deadline-ms", row.m_deadlineMs } },
        .m_body =
          R"({"prompt":"","max_tokens":)" + std::string(row.m_cost) + "}" });
    // Refusals are immediate.
    REQUIRE(outcome.m_isDone == (row.m_code != Code::Ok));
    // Slightly more than 300 ms: buckets refill slower, to allow for clock
    // drift.
    fixture.m_clock.Advance(std::chrono::milliseconds(310));
    fixture.RunUntil([&] { return outcome.m_isDone; });
    CHECK(outcome.m_code == row.m_code);
    CHECK(outcome.m_retryAfter.has_value() == (row.m_code != Code::Ok));
    CHECK(fixture.m_inFlight.Count() == 0);
  }
}

TEST_CASE("a request that waits for tokens ends when its key is withdrawn")
{
  PipelineFixture fixture;
  const ClientAccountId account("b");
  REQUIRE(std::holds_alternative<Reservation>(
    fixture.m_rates.Reserve(account, Tokens(100'000))));
  Outcome& outcome =
    fixture.Start(fixture.m_entry,
                  { .m_headers = { { "x-api-key", "key-b" } },
                    .m_body = R"({"prompt":"","max_tokens":40000})" });
  REQUIRE_FALSE(outcome.m_isDone);
  fixture.OfferKeys({ "a" });
  fixture.RunUntil([&] { return outcome.m_isDone; });
  CHECK(outcome.m_code == Code::KeyWithdrawn);
  CHECK(outcome.m_ran == Ran::No);
  CHECK(fixture.m_rates.Status(account).m_availableTokens == 0);
}

TEST_CASE("a backend server that reports draining gets no new requests")
{
  PipelineFixture fixture;
  fixture.Script(kDesk, { .m_headers = { { "x-draining", "1" } } });
  REQUIRE(fixture.SendRequest({ .m_target = "/book" }).m_code == Code::Ok);
  REQUIRE(fixture.m_backends.DrainingByOwnSignal() ==
          std::vector{ BackendServerId("d1") });
  REQUIRE(fixture.SendRequest({ .m_target = "/book" }).m_code ==
          Code::NoBackendServer);
}

TEST_CASE("prompts with a shared prefix go to one server until it fails")
{
  PipelineFixture fixture;
  const std::string prompt(4 * kPrefixBlockBytes, 'p');
  const PipelineTestRequest promptRequest{
    .m_body = R"({"max_tokens":10,"prompt":")" + prompt + "\"}"
  };
  const auto endpointsOf = [&](std::size_t aFrom) {
    std::set<std::string> endpoints;
    for (std::size_t at = aFrom; at < fixture.m_upstream.m_sent.size(); ++at) {
      endpoints.insert(fixture.m_upstream.m_sent[at].m_endpoint);
    }
    return endpoints;
  };
  for (int request = 0; request < 20; ++request) {
    REQUIRE(fixture.SendRequest(promptRequest).m_code == Code::Ok);
  }
  REQUIRE(endpointsOf(0).size() == 1);
  const bool wasFirst = *endpointsOf(0).begin() == kEngineOne;

  // A server that fails is assumed to have lost its prefix cache.
  fixture.Script(*endpointsOf(0).begin(), { .m_kind = ResponseKind::Resets });
  REQUIRE(fixture.SendRequest(promptRequest).m_code == Code::Ok);
  REQUIRE(endpointsOf(20).size() == 2);
  const auto holders = fixture.m_prefixes.FindHolders(HashPrefix("", prompt));
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

TEST_CASE("callers get the usable instances, the local region first")
{
  PipelineFixture fixture;
  const PipelineTestRequest request{ .m_method = "GET",
                                     .m_target = "/v1/entries" };
  const auto regions = [&] {
    std::string text;
    const Json::Value response = JsonOf(fixture.SendRequest(request));
    for (const auto& entry : response["entries"]) {
      text += entry["region"].asString() + " ";
    }
    return text;
  };
  REQUIRE(regions() == "east east west ");
  fixture.m_membership.MarkUnreachable(InstanceId("east-2"));
  REQUIRE(regions() == "east west ");
  fixture.m_serving.m_isDraining = true;
  REQUIRE(regions() == "west ");
  const Json::Value response = JsonOf(fixture.SendRequest(request));
  REQUIRE(response["expires_in_ms"].asInt() >
          response["come_back_after_ms"].asInt());
}

TEST_CASE("a key is issued where its request can be dispatched")
{
  PipelineFixture fixture;
  const auto issue = [&](const char* aRoute) -> Outcome& {
    return fixture.SendRequest(
      { .m_target = "/v1/idempotency-keys",
        .m_body = std::string(R"({"route":")") + aRoute + "\"}" });
  };
  const Json::Value issued = JsonOf(issue("book"));
  REQUIRE(issued["instance"] == "east-1");
  REQUIRE(issued["address"] == "10.0.8.1:1");
  REQUIRE(
    fixture.SendRequest(Booking(issued["idempotency_key"].asString())).m_code ==
    Code::Ok);
  fixture.Script(kWestPeer, { .m_pieces = { R"({"instance":"west-1"})" } });
  REQUIRE(JsonOf(issue("book-west"))["instance"] == "west-1");
  REQUIRE(fixture.m_upstream.m_sent.back().m_request.m_target ==
          "/rattanweir/idempotency-keys");
  REQUIRE(issue("nothing").m_code == Code::UnknownRoute);
  fixture.Script(kWestPeer, { .m_kind = ResponseKind::ConnectFails });
  REQUIRE(issue("book-west").m_code == Code::ResidencyUnavailable);
  // While the instance drains, another instance of the region must own the key.
  fixture.m_serving.m_isDraining = true;
  fixture.Script(kEastPeer, { .m_pieces = { R"({"instance":"east-2"})" } });
  REQUIRE(JsonOf(issue("book"))["instance"] == "east-2");
  fixture.Script(kEastPeer, { .m_kind = ResponseKind::ConnectFails });
  REQUIRE(issue("book").m_code == Code::ResidencyUnavailable);
}

TEST_CASE("a peer gets a key only for requests that can be dispatched locally")
{
  PipelineFixture fixture;
  const auto issue = [&](const char* aHop, const char* aBody) -> Outcome& {
    return fixture.SendPeerRequest(
      { .m_target = "/rattanweir/idempotency-keys",
        .m_headers = { { "rattanweir-hop", aHop } },
        .m_body = aBody });
  };
  const char* const book = R"({"route":"book","client_account":"a"})";
  const Json::Value issued = JsonOf(issue("west-1", book));
  REQUIRE(issued["instance"] == "east-1");
  // A peer forwards the keyed request to its owner, the local instance.
  HeaderFields fields =
    With(WestPeerHeaders("book"),
         { { "idempotency-key", issued["idempotency_key"].asString() } });
  REQUIRE(fixture.SendPeerRequest({ .m_target = "/book", .m_headers = fields })
            .m_code == Code::Ok);
  REQUIRE(fixture.SendPeerRequest({ .m_target = "/book", .m_headers = fields })
            .m_code == Code::Ok);
  REQUIRE(fixture.m_upstream.m_sent.size() == 1);
  REQUIRE(issue("east-1", book).m_code == Code::LoopRefused);
  REQUIRE(
    issue("west-1", R"({"route":"book-west","client_account":"a"})").m_code ==
    Code::ResidencyRefused);
  REQUIRE(issue("west-1", R"({"route":"book"})").m_code == Code::KeyNotGranted);
}

TEST_CASE("an explanation agrees with the outcome of a request")
{
  struct Row
  {
    ExplainQuery m_query;
    Arrange m_arrange;
    const char* m_result;
  };
  const ClientAccountId account("a");
  const auto disconnectWest = [](PipelineFixture& aFixture) {
    aFixture.m_membership.MarkUnreachable(InstanceId("west-1"));
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
      disconnectWest,
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
    PipelineFixture fixture;
    if (row.m_arrange) {
      row.m_arrange(fixture);
    }
    const Explanation explanation = Explain(fixture.m_serving, row.m_query);
    CHECK(explanation.m_result == row.m_result);
    CHECK_FALSE(explanation.m_reasons.empty());
  }
}

} // namespace
} // namespace rattanweir
