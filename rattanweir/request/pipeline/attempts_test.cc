#include "testing/pipeline_fixture/pipeline_fixture.h"

#include "rattanweir/request/exchange/header_fields.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using Code = ResultCode;
using Arrange = std::function<void(PipelineFixture&)>;

TEST_CASE("a request is sent to the backend server without the caller's key")
{
  PipelineFixture fixture;
  const Outcome& outcome = fixture.SendRequest(
    { .m_target = "/ask?key=key-a&q=1",
      .m_headers = With(kKeyA,
                        { { "rattanweir-hop", "east-1" },
                          { "rattanweir-client-account", "b" },
                          { "x-client-account", "b" },
                          { "cookie", "key-a" },
                          { "user-agent", "key-a" } }),
      .m_body = R"({"prompt":"x","api_key":"key-a"})" });
  REQUIRE(outcome.m_code == Code::Ok);
  REQUIRE(outcome.m_isComplete);
  REQUIRE(*FindHeader(outcome.m_head->m_headers, "rattanweir-request") == "r1");
  const OutboundRequest& sent = fixture.m_upstream.m_sent.at(0).m_request;
  REQUIRE(sent.m_target == "/ask?q=1");
  REQUIRE(*sent.m_body == R"({"prompt":"x"})");
  REQUIRE(SentField(fixture, 0, "x-client-account") == "a");
  REQUIRE(SentField(fixture, 0, "x-request-id") == "r1");
  REQUIRE(SentField(fixture, 0, "x-deadline-ms") == "30000");
  for (const HeaderField& field : sent.m_headers) {
    CHECK(field.m_value.find("key-a") == std::string::npos);
    CHECK_FALSE(HeaderNameStartsWith(field.m_name, "rattanweir-"));
  }
}

TEST_CASE("a request for another region is forwarded once, with the key's id")
{
  PipelineFixture fixture;
  const Outcome& outcome = fixture.SendRequest({ .m_target = "/west" });
  REQUIRE(outcome.m_code == Code::Ok);
  REQUIRE(fixture.m_upstream.m_sent.at(0).m_endpoint == kWestPeer);
  REQUIRE(SentField(fixture, 0, "rattanweir-hop") == "east-1");
  REQUIRE(SentField(fixture, 0, "rattanweir-route") == "west");
  REQUIRE(SentField(fixture, 0, "rattanweir-key") == "a");
  REQUIRE(SentField(fixture, 0, "rattanweir-client-account") == "a");
  REQUIRE(SentField(fixture, 0, "rattanweir-request") == "r1");
}

TEST_CASE("idempotent requests are retried on other destinations within limits")
{
  struct Row
  {
    const char* m_name;
    Arrange m_arrange;
    Code m_code;
    std::size_t m_sent;
    unsigned m_expectedRetries;
  };
  const Row rows[] = {
    { "the other engine responds",
      [](PipelineFixture& aFixture) {
        aFixture.Script(kEngineOne, { .m_kind = ResponseKind::Resets });
        aFixture.Script(kEngineTwo, {});
      },
      Code::Ok,
      0,
      0 },
    { "both engines fail and the peer responds",
      [](PipelineFixture& aFixture) {
        FailEngines(aFixture, ResponseKind::Resets);
      },
      Code::Ok,
      3,
      2 },
    { "responses to other attempts are dropped",
      [](PipelineFixture& aFixture) {
        aFixture.Script(kEngineOne, { .m_attemptId = "other" });
        aFixture.Script(kEngineTwo, { .m_attemptId = "other" });
      },
      Code::Ok,
      3,
      2 },
    { "servers that report that they did not run it",
      [](PipelineFixture& aFixture) {
        const ScriptedResponse refused{ .m_status = 503,
                                        .m_headers = { { "x-not-run", "1" } } };
        aFixture.Script(kEngineOne, refused);
        aFixture.Script(kEngineTwo, refused);
      },
      Code::Ok,
      3,
      2 },
    { "truncated responses",
      [](PipelineFixture& aFixture) {
        const ScriptedResponse cut{ .m_headers = { { "content-type",
                                                     "text/event-stream" } },
                                    .m_pieces = { "id: 0\nda" } };
        aFixture.Script(kEngineOne, cut);
        aFixture.Script(kEngineTwo, cut);
      },
      Code::Ok,
      3,
      2 },
    { "at most four attempts",
      [](PipelineFixture& aFixture) {
        FailEngines(aFixture, ResponseKind::Resets, 9);
        for (int attempt = 0; attempt < 9; ++attempt) {
          aFixture.Script(kWestPeer, { .m_kind = ResponseKind::Resets });
        }
      },
      Code::BackendReset,
      4,
      3 },
    { "no retry without retry budget",
      [](PipelineFixture& aFixture) {
        while (aFixture.m_retryBudget.TryAcquire()) {
        }
        FailEngines(aFixture, ResponseKind::Resets);
      },
      Code::BackendReset,
      1,
      0 },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    PipelineFixture fixture;
    row.m_arrange(fixture);
    const Outcome& outcome = fixture.SendRequest({});
    CHECK((outcome.m_code == row.m_code));
    CHECK(outcome.m_isComplete == (row.m_code == Code::Ok));
    if (row.m_sent == 0) {
      continue;
    }
    CHECK(fixture.m_upstream.m_sent.size() == row.m_sent);
    std::uint64_t retries = 0;
    for (const ResultInfo& info : AllResults()) {
      retries += fixture.m_metrics.Retries(info.m_code);
    }
    CHECK(retries == row.m_expectedRetries);
    CHECK(SentField(fixture, 0, "x-request-id") == "r1");
    if (row.m_sent > 1) {
      CHECK(SentField(fixture, 0, "x-attempt-id") !=
            SentField(fixture, 1, "x-attempt-id"));
    }
  }
}

TEST_CASE("a refusal after an attempt that may have run reports Ran::Maybe")
{
  PipelineFixture fixture;
  fixture.Script(kEngineOne, { .m_kind = ResponseKind::Resets });
  fixture.Script(kEngineTwo, { .m_kind = ResponseKind::Resets });
  for (int attempt = 0; attempt < 4; ++attempt) {
    fixture.Script(kEngineOne, { .m_kind = ResponseKind::ConnectFails });
    fixture.Script(kEngineTwo, { .m_kind = ResponseKind::ConnectFails });
    fixture.Script(kWestPeer, { .m_kind = ResponseKind::ConnectFails });
  }
  const Outcome& outcome = fixture.SendRequest({});
  REQUIRE(outcome.m_code == Code::BackendConnectFailed);
  REQUIRE(outcome.m_ran == Ran::Maybe);
}

TEST_CASE("an attempt at a peer that becomes stale ends before its deadline")
{
  struct Row
  {
    const char* m_target;
    Code m_code;
    Ran m_ran;
  };
  const Row rows[] = {
    // Retried, as the engines of the local region respond by then.
    { "/ask", Code::Ok, Ran::Yes },
    { "/west", Code::PeerLost, Ran::Maybe },
    { "/book-west", Code::PeerLost, Ran::Maybe },
  };
  for (const Row& row : rows) {
    INFO(row.m_target);
    PipelineFixture fixture;
    fixture.Script(kWestPeer, { .m_kind = ResponseKind::Holds });
    FailEngines(fixture, ResponseKind::ConnectFails);
    Outcome& outcome =
      fixture.Start(fixture.m_entry, { .m_target = row.m_target });
    CancelAttemptsToLostPeers(fixture.m_serving);
    REQUIRE_FALSE(outcome.m_isDone);
    fixture.Advance(std::chrono::seconds(5));
    CancelAttemptsToLostPeers(fixture.m_serving);
    fixture.RunUntil([&] { return outcome.m_isDone; });
    CHECK(outcome.m_code == row.m_code);
    CHECK(outcome.m_ran == row.m_ran);
    CHECK(fixture.m_metrics.Retries(Code::PeerLost) ==
          (row.m_code == Code::Ok ? 1 : 0));
  }
}

TEST_CASE("an interrupted stream is resumed at its offset on another server")
{
  const std::string completeBody =
    StreamEventText(0) + StreamEventText(1) + StreamEventText(2) + kStreamEnd;
  PipelineFixture fixture;
  ScriptedResponse broken = ScriptedStream(0, 2, false);
  broken.m_pieces.emplace_back("id: 2\nda");
  broken.m_isComplete = false;
  // Both engines are scripted alike: the first to be chosen breaks off and the
  // other is asked to resume.
  fixture.Script(kEngineOne, broken);
  fixture.Script(kEngineTwo, broken);
  const Outcome& first = fixture.SendRequest({});
  REQUIRE(first.m_code == Code::AnswerMismatch);
  REQUIRE_FALSE(first.m_isComplete);
  REQUIRE(first.m_body == StreamEventText(0) + StreamEventText(1));
  REQUIRE(SentField(fixture, 1, "x-resume-offset") == "2");

  const std::size_t sent = fixture.m_upstream.m_sent.size();
  const std::string next =
    fixture.m_upstream.m_scripts[kEngineOne].empty() ? kEngineTwo : kEngineOne;
  fixture.m_upstream.m_scripts.clear();
  fixture.Offer(SectionKind::BackendServers, R"(version: 1
backend_servers:
  - { id: e1, pool: engines, kind: model_engine, region: east, availability_zone: east-a, address: "10.0.0.1:1", echoes_attempt_id: true, resumes_streams: true }
)");
  fixture.Script(kEngineOne, broken);
  fixture.Script(kEngineOne, ScriptedStream(2, 1, true));
  const Outcome& second = fixture.SendRequest({});
  REQUIRE(second.m_code == Code::Ok);
  REQUIRE(second.m_isComplete);
  REQUIRE(second.m_body == completeBody);
  REQUIRE(SentField(fixture, sent + 1, "x-resume-offset") == "2");
}

TEST_CASE("a stream that ends early is never relayed as complete")
{
  PipelineFixture fixture;
  fixture.Offer(SectionKind::BackendServers, R"(version: 1
backend_servers:
  - { id: e1, pool: engines, kind: model_engine, region: east, availability_zone: east-a, address: "10.0.0.1:1" }
)");
  // A complete HTTP message without the last event; cannot be resumed.
  fixture.Script(kEngineOne, ScriptedStream(0, 2, false));
  const Outcome& outcome = fixture.SendRequest({});
  REQUIRE(outcome.m_code == Code::AnswerIncomplete);
  REQUIRE(outcome.m_ran == Ran::Maybe);
  REQUIRE_FALSE(outcome.m_isComplete);
}

TEST_CASE(
  "a withdrawn key cancels dispatched requests only if they are idempotent")
{
  struct Row
  {
    const char* m_target;
    bool m_hasResponseStarted;
    Code m_code;
  };
  const Row rows[] = {
    { "/ask", false, Code::KeyWithdrawn },
    { "/ask", true, Code::KeyWithdrawn },
    { "/book", false, Code::Ok },
  };
  for (const Row& row : rows) {
    INFO(row.m_target << " " << row.m_hasResponseStarted);
    PipelineFixture fixture;
    ScriptedResponse held{ .m_kind = ResponseKind::Holds };
    if (row.m_hasResponseStarted) {
      held = ScriptedStream(0, 2, true);
      held.m_pieces.pop_back();
      held.m_holdsAfterPieces = true;
    }
    for (const char* const endpoint : { kEngineOne, kEngineTwo, kDesk }) {
      fixture.Script(endpoint, held);
    }
    Outcome& outcome =
      fixture.Start(fixture.m_entry, { .m_target = row.m_target });
    REQUIRE_FALSE(outcome.m_isDone);
    fixture.OfferKeys({ "b" });
    if (row.m_code == Code::Ok) {
      fixture.m_upstream.ReleaseHeld();
    }
    fixture.RunUntil([&] { return outcome.m_isDone; });
    CHECK(outcome.m_code == row.m_code);
    CHECK(outcome.m_ran == (row.m_code == Code::Ok ? Ran::Yes : Ran::Maybe));
    CHECK(outcome.m_isComplete == (row.m_code == Code::Ok));
    CHECK(outcome.m_body.empty() ==
          (!row.m_hasResponseStarted && row.m_code != Code::Ok));
    CHECK(fixture.SendRequest({ .m_target = row.m_target }).m_code ==
          Code::KeyNotGranted);
  }
}

} // namespace
} // namespace rattanweir
