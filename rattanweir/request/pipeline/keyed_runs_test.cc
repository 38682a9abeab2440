#include "testing/pipeline_fixture/pipeline_fixture.h"

#include "rattanweir/request/exchange/header_fields.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using Code = ResultCode;

TEST_CASE("a key's request runs at most once and repeats get its response")
{
  PipelineFixture fixture;
  const std::string key = fixture.IssueKey();
  fixture.Script(kDesk,
                 { .m_kind = ResponseKind::Holds,
                   .m_headers = { { "x-place", "1" } },
                   .m_pieces = { "booked" } });
  Outcome& first = fixture.Start(fixture.m_entry, Booking(key));
  Outcome& repeat = fixture.Start(fixture.m_entry, Booking(key));
  Outcome& secondRepeat = fixture.Start(fixture.m_entry, Booking(key));
  first.m_cancel.Cancel(Code::CallerGone);
  fixture.RunUntil([&] { return first.m_isDone; });
  REQUIRE(first.m_code == Code::CallerGone);
  REQUIRE(first.m_ran == Ran::Maybe);
  REQUIRE_FALSE(repeat.m_isDone);
  REQUIRE(fixture.m_keyedRuns.RunningCount() == 1);
  fixture.m_upstream.ReleaseHeld();
  fixture.RunUntil([&] { return repeat.m_isDone && secondRepeat.m_isDone; });
  Outcome& after = fixture.SendRequest(Booking(key));
  for (const Outcome* outcome : { &repeat, &secondRepeat, &after }) {
    REQUIRE(outcome->m_code == Code::Ok);
    REQUIRE(outcome->m_body == "booked");
    REQUIRE(outcome->m_isComplete);
    REQUIRE(*FindHeader(outcome->m_head->m_headers, "x-place") == "1");
  }
  REQUIRE(*FindHeader(after.m_head->m_headers, "rattanweir-request") == "r4");
  REQUIRE(fixture.SendRequest(Booking(key, "{}")).m_code ==
          Code::IdempotencyKeyMismatch);
  REQUIRE(fixture.m_upstream.m_sent.size() == 1);
  REQUIRE(SentField(fixture, 0, "x-request-id") == key);
  REQUIRE(fixture.m_keyedRuns.RunningCount() == 0);
}

TEST_CASE("a key whose request failed can be reused only if it did not run")
{
  struct Row
  {
    const char* m_name;
    ScriptedResponse m_response;
    Code m_first;
    Ran m_ran;
    Code m_repeat;
    std::size_t m_sent;
  };
  const std::vector<ScriptedResponse> failing(
    4, { .m_kind = ResponseKind::ConnectFails });
  const Row rows[] = {
    { "reset after the request was sent",
      { .m_kind = ResponseKind::Resets },
      Code::BackendReset,
      Ran::Maybe,
      Code::BackendReset,
      1 },
    { "truncated response",
      { .m_pieces = { "boo" }, .m_isComplete = false },
      Code::AnswerIncomplete,
      Ran::Maybe,
      Code::AnswerIncomplete,
      1 },
    { "response to another attempt",
      { .m_attemptId = "other" },
      Code::AnswerMismatch,
      Ran::Maybe,
      Code::AnswerMismatch,
      1 },
    { "response larger than the maximum stored size",
      { .m_pieces = std::vector<std::string>(5, std::string(1U << 20U, 'x')) },
      Code::AnswerTooLarge,
      Ran::Maybe,
      Code::AnswerTooLarge,
      1 },
    { "connection fails",
      { .m_kind = ResponseKind::ConnectFails },
      Code::BackendConnectFailed,
      Ran::No,
      Code::Ok,
      1 },
    { "server reports that it did not run the request",
      { .m_status = 503, .m_headers = { { "x-not-run", "1" } } },
      Code::BackendRefused,
      Ran::No,
      Code::Ok,
      2 },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    PipelineFixture fixture;
    // Without retry budget, the first failure is the outcome.
    while (fixture.m_retryBudget.TryAcquire()) {
    }
    const std::string key = fixture.IssueKey();
    fixture.Script(kDesk, row.m_response);
    const Outcome& first = fixture.SendRequest(Booking(key));
    CHECK(first.m_code == row.m_first);
    CHECK(first.m_ran == row.m_ran);
    const Outcome& repeat = fixture.SendRequest(Booking(key));
    CHECK(repeat.m_code == row.m_repeat);
    CHECK(fixture.m_upstream.m_sent.size() == row.m_sent);
  }
}

TEST_CASE("a request under another instance's key is sent only to the owner")
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
    ScriptedResponse m_response;
    Code m_code;
    Ran m_ran;
    std::size_t m_sent;
  };
  const Row rows[] = {
    { "owner responds", keyOf("west-1", 3), {}, Code::Ok, Ran::Yes, 1 },
    { "owner restarted with another incarnation",
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
    { "earlier incarnation of the local instance",
      keyOf("east-1", 9),
      {},
      Code::IdempotencyOutcomeUnknown,
      Ran::Maybe,
      0 },
    { "owner unreachable",
      keyOf("west-1", 3),
      { .m_kind = ResponseKind::ConnectFails },
      Code::PeerLost,
      Ran::Maybe,
      0 },
    { "connection to the owner reset",
      keyOf("west-1", 3),
      { .m_kind = ResponseKind::Resets },
      Code::PeerLost,
      Ran::Maybe,
      1 },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    PipelineFixture fixture;
    fixture.Script(kWestPeer, row.m_response);
    const Outcome& outcome = fixture.SendRequest(Booking(row.m_key));
    CHECK(outcome.m_code == row.m_code);
    CHECK(outcome.m_ran == row.m_ran);
    CHECK(fixture.m_upstream.m_sent.size() == row.m_sent);
    for (const auto& sent : fixture.m_upstream.m_sent) {
      CHECK(sent.m_endpoint == kWestPeer);
    }
  }
}

TEST_CASE("under a key, only its owner reports that the request did not run")
{
  const auto unready = [](PipelineFixture& aFixture) {
    aFixture.m_serving.m_isReady = false;
  };
  const auto withdrawn = [](PipelineFixture& aFixture) {
    aFixture.OfferKeys({});
  };
  const auto west = IdempotencyKey{ InstanceId("west-1"),
                                    Incarnation(3),
                                    "0123456789abcdef0123456789abcdef" }
                      .ToString();
  PipelineTestRequest expired = Booking(west);
  expired.m_headers.push_back({ "rattanweir-deadline-ms", "0" });
  PipelineTestRequest unrouted = Booking(west);
  unrouted.m_target = "/nothing";
  struct Row
  {
    std::function<void(PipelineFixture&)> m_arrange;
    PipelineTestRequest m_request;
    Code m_code;
    Ran m_ran;
  };
  const Row rows[] = {
    { unready, Booking(west), Code::InstanceNotReady, Ran::Maybe },
    { PauseProcess, Booking(west), Code::InstancePaused, Ran::Maybe },
    { withdrawn, Booking(west), Code::KeyNotGranted, Ran::Maybe },
    { {}, expired, Code::DeadlineTooShort, Ran::Maybe },
    // Neither request can have been admitted before.
    { {}, unrouted, Code::UnknownRoute, Ran::No },
    { unready, Booking("no-key"), Code::InstanceNotReady, Ran::No },
  };
  for (const Row& row : rows) {
    PipelineFixture fixture;
    if (row.m_arrange) {
      row.m_arrange(fixture);
    }
    const Outcome& outcome = fixture.SendRequest(row.m_request);
    CHECK(outcome.m_code == row.m_code);
    CHECK(outcome.m_ran == row.m_ran);
  }
  // A peer that forwards the request to the owner gets the same outcome.
  PipelineFixture fixture;
  const std::string localKey = fixture.IssueKey();
  unready(fixture);
  const HeaderFields fields =
    With(WestPeerHeaders("book"), { { "idempotency-key", localKey } });
  const Outcome& refused =
    fixture.SendPeerRequest({ .m_target = "/book", .m_headers = fields });
  CHECK(refused.m_code == Code::InstanceNotReady);
  CHECK(refused.m_ran == Ran::Maybe);
}

TEST_CASE("a non-idempotent request without a key is dispatched once")
{
  PipelineFixture fixture;
  fixture.Script(kDesk, { .m_kind = ResponseKind::ConnectFails });
  const Outcome& retried = fixture.SendRequest({ .m_target = "/book" });
  REQUIRE(retried.m_code == Code::Ok);
  REQUIRE(fixture.m_upstream.m_connects == 2);
  REQUIRE(fixture.m_upstream.m_sent.at(0).m_request.m_needsFreshConnection);
  fixture.Script(kDesk, { .m_pieces = { "boo" }, .m_isComplete = false });
  const Outcome& broken = fixture.SendRequest({ .m_target = "/book" });
  REQUIRE(broken.m_code == Code::AnswerIncomplete);
  REQUIRE(fixture.m_upstream.m_sent.size() == 2);
}

} // namespace
} // namespace rattanweir
