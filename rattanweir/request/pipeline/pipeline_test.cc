#include "testing/pipeline_world/pipeline_world.h"

#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/pipeline/explain.h"

#include <catch2/catch.hpp>

#include <json/json.h>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Code = ResultCode;
using Arrange = std::function<void(PipelineWorld&)>;

constexpr AnswerKind kConnectFails = AnswerKind::ConnectFails;
constexpr AnswerKind kResets = AnswerKind::Resets;

const HeaderFields kKeyA = { { "authorization", "Bearer key-a" } };

HeaderFields
With(HeaderFields aFields, const HeaderFields& aMore)
{
  aFields.insert(aFields.end(), aMore.begin(), aMore.end());
  return aFields;
}

// What a peer sends with a request of client account a.
HeaderFields
FromWest(const char* aRoute)
{
  return { { "rattanweir-hop", "west-1" },
           { "rattanweir-route", aRoute },
           { "rattanweir-client-account", "a" },
           { "rattanweir-key", "a" },
           { "rattanweir-deadline-ms", "5000" } };
}

void
PauseProcess(PipelineWorld& aWorld)
{
  aWorld.m_clock.Advance(seconds(10));
  aWorld.m_rates.Tick();
}

void
FailEngines(PipelineWorld& aWorld, AnswerKind aKind, int aTimes = 1)
{
  for (int time = 0; time < aTimes; ++time) {
    aWorld.Script(kEngineOne, { .m_kind = aKind });
    aWorld.Script(kEngineTwo, { .m_kind = aKind });
  }
}

const std::string&
SentField(const PipelineWorld& aWorld, std::size_t aIndex, const char* aName)
{
  const auto* field =
    FindHeader(aWorld.m_upstream.m_sent.at(aIndex).m_request.m_headers, aName);
  REQUIRE(field != nullptr);
  return *field;
}

struct RefusalRow
{
  const char* m_name;
  Arrange m_arrange;
  Question m_question;
  Code m_code;
  Ran m_ran;
  std::size_t m_sent = 0;
};

void
CheckRefusals(const std::vector<RefusalRow>& aRows, bool aIsFromPeer)
{
  for (const RefusalRow& row : aRows) {
    INFO(row.m_name);
    PipelineWorld world;
    if (row.m_arrange) {
      row.m_arrange(world);
    }
    const Outcome& outcome =
      aIsFromPeer ? world.AskAsPeer(row.m_question) : world.Ask(row.m_question);
    CHECK(outcome.m_code == row.m_code);
    CHECK(outcome.m_ran == row.m_ran);
    CHECK(world.m_upstream.m_sent.size() == row.m_sent);
    CHECK(outcome.m_comeBackAfter.has_value() ==
          InfoOf(row.m_code).m_comeBackAfter.has_value());
    // What says "not run" was seen by nobody, or refused by who saw it.
    CHECK((row.m_ran != Ran::No || row.m_sent == 0 ||
           row.m_code == Code::BackendRefused));
    CHECK_FALSE(outcome.m_isWhole);
    CHECK(world.m_inFlight.Count() == 0);
  }
}

TEST_CASE("every refusal of a caller's request says truly whether it ran")
{
  const Question ask;
  const Question book{ .m_target = "/book" };
  const auto to = [](const char* aTarget) {
    return Question{ .m_target = aTarget };
  };
  CheckRefusals(
    {
      { "not ready",
        [](PipelineWorld& aWorld) { aWorld.m_serving.m_isReady = false; },
        ask,
        Code::InstanceNotReady,
        Ran::No },
      { "paused", PauseProcess, ask, Code::InstancePaused, Ran::No },
      { "no such path", {}, to("/nothing"), Code::UnknownRoute, Ran::No },
      { "an instance's own path",
        {},
        to("/rattanweir/control"),
        Code::UnknownRoute,
        Ran::No },
      { "no key", {}, { .m_headers = {} }, Code::KeyMissing, Ran::No },
      { "unknown key",
        {},
        { .m_headers = { { "x-api-key", "key-x" } } },
        Code::KeyNotGranted,
        Ran::No },
      { "account gone",
        {},
        { .m_headers = { { "x-api-key", "key-lost" } } },
        Code::ClientAccountUnknown,
        Ran::No },
      { "two keys",
        {},
        { .m_headers = With(kKeyA, { { "x-api-key", "key-b" } }) },
        Code::MalformedRequest,
        Ran::No },
      { "bad body", {}, { .m_body = "{" }, Code::MalformedRequest, Ran::No },
      { "HEAD", {}, { .m_method = "HEAD" }, Code::MalformedRequest, Ran::No },
      { "bad deadline",
        {},
        { .m_headers = With(kKeyA, { { "rattanweir-deadline-ms", "x" } }) },
        Code::MalformedRequest,
        Ran::No },
      { "no time",
        {},
        { .m_headers = With(kKeyA, { { "rattanweir-deadline-ms", "0" } }) },
        Code::DeadlineTooShort,
        Ran::No },
      { "no home",
        {},
        { .m_target = "/home", .m_headers = { { "x-api-key", "key-b" } } },
        Code::ResidencyUnavailable,
        Ran::No },
      { "home cut off",
        [](PipelineWorld& aWorld) {
          aWorld.m_membership.MarkUnreachable(InstanceId("west-1"));
        },
        to("/west"),
        Code::ResidencyUnavailable,
        Ran::No },
      { "no backend server", {}, to("/none"), Code::NoBackendServer, Ran::No },
      { "over the burst",
        {},
        { .m_headers = { { "x-api-key", "key-tiny" } },
          .m_body = R"({"prompt":"","max_tokens":21})" },
        Code::RequestExceedsBurst,
        Ran::No },
      { "over the rate",
        {},
        { .m_headers = { { "x-api-key", "key-tiny" } },
          .m_body = R"({"prompt":"","max_tokens":20})" },
        Code::RateExceeded,
        Ran::No },
      { "key withdrawn while short of tokens",
        [](PipelineWorld& aWorld) {
          aWorld.m_borrower.m_onAsked = [&] { aWorld.OfferKeys({ "a" }); };
        },
        { .m_headers = { { "x-api-key", "key-tiny" } },
          .m_body = R"({"prompt":"","max_tokens":20})" },
        Code::KeyWithdrawn,
        Ran::No },
      { "paused while short of tokens",
        [](PipelineWorld& aWorld) {
          aWorld.m_borrower.m_onAsked = [&] { PauseProcess(aWorld); };
        },
        { .m_headers = { { "x-api-key", "key-tiny" } },
          .m_body = R"({"prompt":"","max_tokens":20})" },
        Code::RateExceeded,
        Ran::No },
      { "no engine and no peer connects",
        [](PipelineWorld& aWorld) {
          FailEngines(aWorld, kConnectFails, 4);
          aWorld.Script(kWestPeer, { .m_kind = kConnectFails });
        },
        ask,
        Code::BackendConnectFailed,
        Ran::No },
      { "engines reset",
        [](PipelineWorld& aWorld) {
          FailEngines(aWorld, kResets, 4);
          aWorld.Script(kWestPeer, { .m_kind = kResets });
        },
        ask,
        Code::BackendReset,
        Ran::Maybe,
        4 },
      { "deadline at the engine",
        [](PipelineWorld& aWorld) {
          FailEngines(aWorld, AnswerKind::DeadlinePasses);
        },
        ask,
        Code::DeadlineExceeded,
        Ran::Maybe,
        1 },
      { "desk does not connect",
        [](PipelineWorld& aWorld) {
          for (int time = 0; time < 4; ++time) {
            aWorld.Script(kDesk, { .m_kind = kConnectFails });
          }
        },
        book,
        Code::BackendConnectFailed,
        Ran::No },
      { "desk resets",
        [](PipelineWorld& aWorld) {
          aWorld.Script(kDesk, { .m_kind = kResets });
        },
        book,
        Code::BackendReset,
        Ran::Maybe,
        1 },
      { "desk did not run it by its own word",
        [](PipelineWorld& aWorld) {
          aWorld.Script(
            kDesk, { .m_status = 503, .m_headers = { { "x-not-run", "1" } } });
        },
        book,
        Code::BackendRefused,
        Ran::No,
        1 },
      { "malformed idempotency key",
        {},
        { .m_target = "/book",
          .m_headers = With(kKeyA, { { "idempotency-key", "x" } }) },
        Code::IdempotencyKeyMalformed,
        Ran::No },
    },
    false);
}

TEST_CASE("a peer's request is judged by this instance's own configuration")
{
  const auto forwarded = [](const char* aRoute, const HeaderFields& aMore) {
    return Question{ .m_headers = With(aMore, FromWest(aRoute)) };
  };
  const auto withHop = [](const char* aHop) {
    HeaderFields fields = FromWest("ask");
    fields.front().m_value = aHop;
    return Question{ .m_headers = fields };
  };
  CheckRefusals(
    {
      { "itself in the hops",
        {},
        withHop("east-1"),
        Code::LoopRefused,
        Ran::No },
      { "two hops", {}, withHop("west-1,west-2"), Code::LoopRefused, Ran::No },
      { "no hop", {}, withHop(""), Code::MalformedRequest, Ran::No },
      { "no route", {}, forwarded("x", {}), Code::UnknownRoute, Ran::No },
      { "key withdrawn here",
        [](PipelineWorld& aWorld) { aWorld.OfferKeys({ "b" }); },
        forwarded("ask", {}),
        Code::KeyNotGranted,
        Ran::No },
      { "another account's key",
        {},
        forwarded("ask", { { "rattanweir-key", "b" } }),
        Code::KeyNotGranted,
        Ran::No },
      { "home is elsewhere by this version",
        [](PipelineWorld& aWorld) {
          aWorld.Offer(SectionKind::ClientAccounts, R"(version: 1
maximum_instances: 1
client_accounts:
  - { id: a, rate_tokens_per_second: 1, burst_tokens: 20, home_region: west }
)");
        },
        forwarded("home", {}),
        Code::ResidencyRefused,
        Ran::No },
      { "route is bound elsewhere",
        {},
        forwarded("west", {}),
        Code::ResidencyRefused,
        Ran::No },
      { "not ready",
        [](PipelineWorld& aWorld) { aWorld.m_serving.m_isReady = false; },
        forwarded("ask", {}),
        Code::InstanceNotReady,
        Ran::No },
      { "paused",
        PauseProcess,
        forwarded("ask", {}),
        Code::InstancePaused,
        Ran::No },
      // It is never sent on, although west-1 has backend servers.
      { "no engine connects here",
        [](PipelineWorld& aWorld) { FailEngines(aWorld, kConnectFails, 4); },
        forwarded("ask", {}),
        Code::BackendConnectFailed,
        Ran::No },
      { "an idempotency key of a third instance",
        {},
        forwarded("book",
                  { { "idempotency-key",
                      IdempotencyKey{ InstanceId("north-1"),
                                      Incarnation(1),
                                      "0123456789abcdef0123456789abcdef" }
                        .ToString() } }),
        Code::IdempotencyOutcomeUnknown,
        Ran::Maybe },
    },
    true);
}

TEST_CASE("a request reaches the backend server without the caller's key")
{
  PipelineWorld world;
  const Outcome& outcome =
    world.Ask({ .m_target = "/ask?key=key-a&q=1",
                .m_headers = With(kKeyA,
                                  { { "rattanweir-hop", "east-1" },
                                    { "rattanweir-client-account", "b" },
                                    { "x-client-account", "b" },
                                    { "cookie", "key-a" },
                                    { "user-agent", "key-a" } }),
                .m_body = R"({"prompt":"x","api_key":"key-a"})" });
  REQUIRE(outcome.m_code == Code::Ok);
  REQUIRE(outcome.m_isWhole);
  REQUIRE(*FindHeader(outcome.m_head->m_headers, "rattanweir-request") == "r1");
  const OutboundRequest& sent = world.m_upstream.m_sent.at(0).m_request;
  REQUIRE(sent.m_target == "/ask?q=1");
  REQUIRE(*sent.m_body == R"({"prompt":"x"})");
  REQUIRE(SentField(world, 0, "x-client-account") == "a");
  REQUIRE(SentField(world, 0, "x-request-id") == "r1");
  REQUIRE(SentField(world, 0, "x-deadline-ms") == "30000");
  for (const HeaderField& field : sent.m_headers) {
    CHECK(field.m_value.find("key-a") == std::string::npos);
    CHECK_FALSE(HeaderNameStartsWith(field.m_name, "rattanweir-"));
  }
}

TEST_CASE("a request for another region is forwarded once, by key id")
{
  PipelineWorld world;
  const Outcome& outcome = world.Ask({ .m_target = "/west" });
  REQUIRE(outcome.m_code == Code::Ok);
  REQUIRE(world.m_upstream.m_sent.at(0).m_endpoint == kWestPeer);
  REQUIRE(SentField(world, 0, "rattanweir-hop") == "east-1");
  REQUIRE(SentField(world, 0, "rattanweir-route") == "west");
  REQUIRE(SentField(world, 0, "rattanweir-key") == "a");
  REQUIRE(SentField(world, 0, "rattanweir-client-account") == "a");
  REQUIRE(SentField(world, 0, "rattanweir-request") == "r1");
}

TEST_CASE("idempotent requests are tried elsewhere, within bounds")
{
  struct Row
  {
    const char* m_name;
    Arrange m_arrange;
    Code m_code;
    std::size_t m_sent;
    unsigned m_retries;
  };
  const Row rows[] = {
    { "the other engine answers",
      [](PipelineWorld& aWorld) {
        aWorld.Script(kEngineOne, { .m_kind = kResets });
        aWorld.Script(kEngineTwo, {});
      },
      Code::Ok,
      0,
      0 },
    { "both engines gone, the peer answers",
      [](PipelineWorld& aWorld) { FailEngines(aWorld, kResets); },
      Code::Ok,
      3,
      2 },
    { "answers to other attempts are dropped",
      [](PipelineWorld& aWorld) {
        aWorld.Script(kEngineOne, { .m_attemptId = "other" });
        aWorld.Script(kEngineTwo, { .m_attemptId = "other" });
      },
      Code::Ok,
      3,
      2 },
    { "servers that did not run it",
      [](PipelineWorld& aWorld) {
        const ScriptedAnswer refused{ .m_status = 503,
                                      .m_headers = { { "x-not-run", "1" } } };
        aWorld.Script(kEngineOne, refused);
        aWorld.Script(kEngineTwo, refused);
      },
      Code::Ok,
      3,
      2 },
    { "short answers",
      [](PipelineWorld& aWorld) {
        const ScriptedAnswer cut{ .m_headers = { { "content-type",
                                                   "text/event-stream" } },
                                  .m_pieces = { "id: 0\nda" } };
        aWorld.Script(kEngineOne, cut);
        aWorld.Script(kEngineTwo, cut);
      },
      Code::Ok,
      3,
      2 },
    { "no more than four attempts",
      [](PipelineWorld& aWorld) {
        FailEngines(aWorld, kResets, 9);
        for (int time = 0; time < 9; ++time) {
          aWorld.Script(kWestPeer, { .m_kind = kResets });
        }
      },
      Code::BackendReset,
      4,
      3 },
    { "no retry without budget",
      [](PipelineWorld& aWorld) {
        while (aWorld.m_retries.Take()) {
        }
        FailEngines(aWorld, kResets);
      },
      Code::BackendReset,
      1,
      0 },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    PipelineWorld world;
    row.m_arrange(world);
    const Outcome& outcome = world.Ask({});
    CHECK((outcome.m_code == row.m_code));
    CHECK(outcome.m_isWhole == (row.m_code == Code::Ok));
    if (row.m_sent == 0) {
      continue;
    }
    CHECK(world.m_upstream.m_sent.size() == row.m_sent);
    std::uint64_t retries = 0;
    for (const ResultInfo& info : AllResults()) {
      retries += world.m_metrics.Retries(info.m_code);
    }
    CHECK(retries == row.m_retries);
    CHECK(SentField(world, 0, "x-request-id") == "r1");
    if (row.m_sent > 1) {
      CHECK(SentField(world, 0, "x-attempt-id") !=
            SentField(world, 1, "x-attempt-id"));
    }
  }
}

TEST_CASE("a refusal after an attempt that may have run says maybe")
{
  PipelineWorld world;
  world.Script(kEngineOne, { .m_kind = kResets });
  world.Script(kEngineTwo, { .m_kind = kResets });
  for (int time = 0; time < 4; ++time) {
    world.Script(kEngineOne, { .m_kind = kConnectFails });
    world.Script(kEngineTwo, { .m_kind = kConnectFails });
    world.Script(kWestPeer, { .m_kind = kConnectFails });
  }
  const Outcome& outcome = world.Ask({});
  REQUIRE(outcome.m_code == Code::BackendConnectFailed);
  REQUIRE(outcome.m_ran == Ran::Maybe);
}

TEST_CASE("a broken stream goes on elsewhere at its offset")
{
  const std::string whole =
    StreamEventText(0) + StreamEventText(1) + StreamEventText(2) + kStreamEnd;
  PipelineWorld world;
  ScriptedAnswer broken = ScriptedStream(0, 2, false);
  broken.m_pieces.emplace_back("id: 2\nda");
  broken.m_isWhole = false;
  // Whichever engine is asked first breaks off; the other one goes on.
  world.Script(kEngineOne, broken);
  world.Script(kEngineTwo, broken);
  const Outcome& first = world.Ask({});
  REQUIRE(first.m_code == Code::AnswerMismatch);
  REQUIRE_FALSE(first.m_isWhole);
  REQUIRE(first.m_body == StreamEventText(0) + StreamEventText(1));
  REQUIRE(SentField(world, 1, "x-resume-offset") == "2");

  const std::size_t sent = world.m_upstream.m_sent.size();
  const std::string next =
    world.m_upstream.m_scripts[kEngineOne].empty() ? kEngineTwo : kEngineOne;
  world.m_upstream.m_scripts.clear();
  world.Offer(SectionKind::BackendServers, R"(version: 1
backend_servers:
  - { id: e1, pool: engines, kind: model_engine, region: east, availability_zone: east-a, address: "10.0.0.1:1", echoes_attempt_id: true, resumes_streams: true }
)");
  world.Script(kEngineOne, broken);
  world.Script(kEngineOne, ScriptedStream(2, 1, true));
  const Outcome& second = world.Ask({});
  REQUIRE(second.m_code == Code::Ok);
  REQUIRE(second.m_isWhole);
  REQUIRE(second.m_body == whole);
  REQUIRE(SentField(world, sent + 1, "x-resume-offset") == "2");
}

TEST_CASE("a stream that ends early is never whole")
{
  PipelineWorld world;
  world.Offer(SectionKind::BackendServers, R"(version: 1
backend_servers:
  - { id: e1, pool: engines, kind: model_engine, region: east, availability_zone: east-a, address: "10.0.0.1:1" }
)");
  // Ends as HTTP, but without its last event, and cannot be resumed.
  world.Script(kEngineOne, ScriptedStream(0, 2, false));
  const Outcome& outcome = world.Ask({});
  REQUIRE(outcome.m_code == Code::AnswerIncomplete);
  REQUIRE(outcome.m_ran == Ran::Maybe);
  REQUIRE_FALSE(outcome.m_isWhole);
}

TEST_CASE("a withdrawn key ends what may be ended")
{
  struct Row
  {
    const char* m_target;
    bool m_hasBegun;
    Code m_code;
  };
  const Row rows[] = {
    { "/ask", false, Code::KeyWithdrawn },
    { "/ask", true, Code::KeyWithdrawn },
    { "/book", false, Code::Ok },
  };
  for (const Row& row : rows) {
    INFO(row.m_target << " " << row.m_hasBegun);
    PipelineWorld world;
    ScriptedAnswer held{ .m_kind = AnswerKind::Holds };
    if (row.m_hasBegun) {
      held = ScriptedStream(0, 2, true);
      held.m_pieces.pop_back();
      held.m_holdsAfterPieces = true;
    }
    for (const char* const endpoint : { kEngineOne, kEngineTwo, kDesk }) {
      world.Script(endpoint, held);
    }
    Outcome& outcome = world.Start(world.m_entry, { .m_target = row.m_target });
    REQUIRE_FALSE(outcome.m_isDone);
    world.OfferKeys({ "b" });
    if (row.m_code == Code::Ok) {
      world.m_upstream.ReleaseHeld();
    }
    world.RunUntil([&] { return outcome.m_isDone; });
    CHECK(outcome.m_code == row.m_code);
    CHECK(outcome.m_ran == (row.m_code == Code::Ok ? Ran::Yes : Ran::Maybe));
    CHECK(outcome.m_isWhole == (row.m_code == Code::Ok));
    CHECK(outcome.m_body.empty() ==
          (!row.m_hasBegun && row.m_code != Code::Ok));
    CHECK(world.Ask({ .m_target = row.m_target }).m_code ==
          Code::KeyNotGranted);
  }
}

// A booking under this key, with this body.
Question
Booking(const std::string& aKey, const char* aBody = R"({"place":1})")
{
  return { .m_target = "/book",
           .m_headers = With(kKeyA, { { "idempotency-key", aKey } }),
           .m_body = aBody };
}

TEST_CASE("a key's request runs at most once and repeats get its answer")
{
  PipelineWorld world;
  const std::string key = world.IssueKey();
  world.Script(kDesk,
               { .m_kind = AnswerKind::Holds,
                 .m_headers = { { "x-place", "1" } },
                 .m_pieces = { "booked" } });
  Outcome& first = world.Start(world.m_entry, Booking(key));
  Outcome& repeat = world.Start(world.m_entry, Booking(key));
  Outcome& gone = world.Start(world.m_entry, Booking(key));
  first.m_cancel.Cancel(Code::CallerGone);
  world.RunUntil([&] { return first.m_isDone; });
  REQUIRE(first.m_code == Code::CallerGone);
  REQUIRE(first.m_ran == Ran::Maybe);
  REQUIRE_FALSE(repeat.m_isDone);
  REQUIRE(world.m_keyedRuns.RunningCount() == 1);
  world.m_upstream.ReleaseHeld();
  world.RunUntil([&] { return repeat.m_isDone && gone.m_isDone; });
  Outcome& after = world.Ask(Booking(key));
  for (const Outcome* outcome : { &repeat, &gone, &after }) {
    REQUIRE(outcome->m_code == Code::Ok);
    REQUIRE(outcome->m_body == "booked");
    REQUIRE(outcome->m_isWhole);
    REQUIRE(*FindHeader(outcome->m_head->m_headers, "x-place") == "1");
  }
  REQUIRE(*FindHeader(after.m_head->m_headers, "rattanweir-request") == "r4");
  REQUIRE(world.Ask(Booking(key, "{}")).m_code == Code::IdempotencyKeyMismatch);
  REQUIRE(world.m_upstream.m_sent.size() == 1);
  REQUIRE(SentField(world, 0, "x-request-id") == key);
  REQUIRE(world.m_keyedRuns.RunningCount() == 0);
}

TEST_CASE("a key whose request failed is used again only if it did not run")
{
  struct Row
  {
    const char* m_name;
    ScriptedAnswer m_answer;
    Code m_first;
    Ran m_ran;
    Code m_repeat;
    std::size_t m_sent;
  };
  const std::vector<ScriptedAnswer> failing(4, { .m_kind = kConnectFails });
  const Row rows[] = {
    { "reset after bytes",
      { .m_kind = kResets },
      Code::BackendReset,
      Ran::Maybe,
      Code::BackendReset,
      1 },
    { "broken answer",
      { .m_pieces = { "boo" }, .m_isWhole = false },
      Code::AnswerIncomplete,
      Ran::Maybe,
      Code::AnswerIncomplete,
      1 },
    { "answer to another attempt",
      { .m_attemptId = "other" },
      Code::AnswerMismatch,
      Ran::Maybe,
      Code::AnswerMismatch,
      1 },
    { "no connection",
      { .m_kind = kConnectFails },
      Code::BackendConnectFailed,
      Ran::No,
      Code::Ok,
      1 },
    { "not run by its own word",
      { .m_status = 503, .m_headers = { { "x-not-run", "1" } } },
      Code::BackendRefused,
      Ran::No,
      Code::Ok,
      2 },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    PipelineWorld world;
    // Without a budget the first failure is the outcome.
    while (world.m_retries.Take()) {
    }
    const std::string key = world.IssueKey();
    world.Script(kDesk, row.m_answer);
    const Outcome& first = world.Ask(Booking(key));
    CHECK(first.m_code == row.m_first);
    CHECK(first.m_ran == row.m_ran);
    const Outcome& repeat = world.Ask(Booking(key));
    CHECK(repeat.m_code == row.m_repeat);
    CHECK(world.m_upstream.m_sent.size() == row.m_sent);
  }
}

TEST_CASE("a key of another instance goes to its owner or nowhere")
{
  const auto keyOf = [](const char* aOwner, std::uint64_t aIncarnation) {
    return IdempotencyKey{ InstanceId(aOwner),
                           Incarnation(aIncarnation),
                           "0123456789abcdef0123456789abcdef" }
      .ToString();
  };
  struct Row
  {
    const char* m_name;
    std::string m_key;
    ScriptedAnswer m_answer;
    Code m_code;
    Ran m_ran;
    std::size_t m_sent;
  };
  const Row rows[] = {
    { "owner answers", keyOf("west-1", 3), {}, Code::Ok, Ran::Yes, 1 },
    { "owner replaced",
      keyOf("west-1", 4),
      {},
      Code::IdempotencyOutcomeUnknown,
      Ran::Maybe,
      0 },
    { "owner not listed",
      keyOf("north-1", 1),
      {},
      Code::IdempotencyOutcomeUnknown,
      Ran::Maybe,
      0 },
    { "own earlier incarnation",
      keyOf("east-1", 9),
      {},
      Code::IdempotencyOutcomeUnknown,
      Ran::Maybe,
      0 },
    { "owner not reached",
      keyOf("west-1", 3),
      { .m_kind = kConnectFails },
      Code::PeerLost,
      Ran::Maybe,
      0 },
    { "owner lost",
      keyOf("west-1", 3),
      { .m_kind = kResets },
      Code::PeerLost,
      Ran::Maybe,
      1 },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    PipelineWorld world;
    world.Script(kWestPeer, row.m_answer);
    const Outcome& outcome = world.Ask(Booking(row.m_key));
    CHECK(outcome.m_code == row.m_code);
    CHECK(outcome.m_ran == row.m_ran);
    CHECK(world.m_upstream.m_sent.size() == row.m_sent);
    for (const auto& sent : world.m_upstream.m_sent) {
      CHECK(sent.m_endpoint == kWestPeer);
    }
  }
}

TEST_CASE("a non-idempotent request without a key is dispatched once")
{
  PipelineWorld world;
  world.Script(kDesk, { .m_kind = kConnectFails });
  const Outcome& retried = world.Ask({ .m_target = "/book" });
  REQUIRE(retried.m_code == Code::Ok);
  REQUIRE(world.m_upstream.m_connects == 2);
  REQUIRE(world.m_upstream.m_sent.at(0).m_request.m_needsFreshConnection);
  world.Script(kDesk, { .m_pieces = { "boo" }, .m_isWhole = false });
  const Outcome& broken = world.Ask({ .m_target = "/book" });
  REQUIRE(broken.m_code == Code::AnswerIncomplete);
  REQUIRE(world.m_upstream.m_sent.size() == 2);
}

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
    { "may have run", kResets, {}, 12 },
    { "did not run", kConnectFails, {}, 0 },
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
      // What a lease would bring.
      for (int tick = 0; tick < 60; ++tick) {
        world.m_clock.Advance(milliseconds(400));
        world.m_rates.Tick();
      }
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
    world.m_clock.Advance(milliseconds(310));
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
  world.Script(kWestPeer, { .m_kind = kConnectFails });
  REQUIRE(issue("book-west").m_code == Code::ResidencyUnavailable);
  // While it drains, another instance of the region has to own the key.
  world.m_serving.m_isDraining = true;
  world.Script(kEastPeer, { .m_pieces = { R"({"instance":"east-2"})" } });
  REQUIRE(JsonOf(issue("book"))["instance"] == "east-2");
  world.Script(kEastPeer, { .m_kind = kConnectFails });
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
