#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/gateway_admission.h"
#include "testing/gateway_fixture/gateway_fixture.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::seconds;

const GatewayTestRequest kRead{ .m_target = "/read/1" };
const GatewayTestRequest kWrite{ .m_method = "POST", .m_target = "/write/1" };
const GatewayTestRequest kStream{ .m_method = "POST", .m_target = "/stream/1" };
const GatewayTestRequest kTalkRequest{ .m_method = "POST",
                                       .m_target = "/talk/1" };
const GatewayTestRequest kSouthOnly{ .m_target = "/south/1" };
const HeaderFields kFromSouth = { { kHopFromField, "south-1" },
                                  { kHopAccountField, "anna" },
                                  { kHopPoolField, "plain" },
                                  { kHopTimeLeftField, "900" } };

TEST_CASE(
  "a request that a server did not run is sent to another one, even a write")
{
  GatewayFixture fixture;
  fixture.Script(kServerOne, NotRunResponse());
  fixture.Script(kServerTwo, NotRunResponse(429));
  fixture.Script(kSouthPeer, SealedResponse("done"));
  const Outcome& outcome = fixture.SendRequest(kWrite);
  CHECK(outcome.m_code == ResultCode::Ok);
  CHECK(outcome.m_body == "done");
  CHECK(fixture.m_upstream.m_sent.size() == 3);
}

TEST_CASE("a request that no server ran is refused as not run")
{
  GatewayFixture fixture;
  fixture.ScriptAll(NotRunResponse(), 4);
  fixture.Script(kSouthPeer,
                 { .m_status = 503,
                   .m_headers = { { kHopResultField, "202" },
                                  { kHopRanField, "no" },
                                  { kHopRetryAfterField, "250" } } });
  const Outcome& outcome = fixture.SendRequest(kWrite);
  CHECK(outcome.m_code != ResultCode::Ok);
  CHECK(outcome.m_ran == Ran::No);
}

TEST_CASE("a write that may have run is never retried")
{
  struct Row
  {
    const char* m_name;
    ScriptedResponse m_response;
    ResultCode m_code;
  };
  const Row rows[] = {
    { "reset", { .m_kind = ResponseKind::Resets }, ResultCode::BackendReset },
    { "incomplete response",
      { .m_headers = { { "seal", "s" } }, .m_isComplete = false },
      ResultCode::AnswerIncomplete },
    { "response without a seal",
      { .m_pieces = { "x" } },
      ResultCode::AnswerMismatch },
    { "deadline",
      { .m_kind = ResponseKind::DeadlinePasses },
      ResultCode::DeadlineExceeded },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    GatewayFixture fixture;
    fixture.ScriptAll(row.m_response);
    const Outcome& outcome = fixture.SendRequest(kWrite);
    CHECK(outcome.m_code == row.m_code);
    CHECK(outcome.m_ran == Ran::Maybe);
    CHECK_FALSE(outcome.m_isComplete);
    CHECK(fixture.m_upstream.m_sent.size() == 1);
  }
}

TEST_CASE("a write is sent on a fresh connection, a read on any connection")
{
  GatewayFixture fixture;
  fixture.ScriptAll(SealedResponse("x"), 2);
  fixture.SendRequest(kWrite);
  fixture.SendRequest(kRead);
  CHECK(fixture.m_upstream.m_sent[0].m_request.m_needsFreshConnection);
  CHECK_FALSE(fixture.m_upstream.m_sent[1].m_request.m_needsFreshConnection);
}

TEST_CASE(
  "a read is retried at another server up to the route's maximum attempts")
{
  GatewayFixture fixture;
  fixture.ScriptAll({ .m_kind = ResponseKind::Resets });
  fixture.Script(kSouthPeer, SealedResponse("late"));
  const Outcome& outcome = fixture.SendRequest(kRead);
  CHECK(outcome.m_code == ResultCode::BackendReset);
  CHECK(fixture.m_upstream.m_sent.size() == 2);
  CHECK(fixture.SentTo(kServerOne) == 1);
  CHECK(fixture.SentTo(kServerTwo) == 1);
}

TEST_CASE(
  "a server error is retried for a read, and forwarded after the last attempt")
{
  GatewayFixture fixture;
  fixture.ScriptAll(SealedResponse("broken", 500));
  const Outcome& outcome = fixture.SendRequest(kRead);
  CHECK(fixture.m_upstream.m_sent.size() == 2);
  REQUIRE(outcome.m_head);
  CHECK(outcome.m_head->m_status == 500);
  CHECK(outcome.m_body == "broken");
  GatewayFixture other;
  other.ScriptAll(SealedResponse("broken", 500));
  const Outcome& write = other.SendRequest(kWrite);
  CHECK(other.m_upstream.m_sent.size() == 1);
  CHECK(write.m_head->m_status == 500);
}

TEST_CASE("an unreachable server does not count as an attempt")
{
  GatewayFixture fixture;
  fixture.Script(kServerOne, { .m_kind = ResponseKind::ConnectFails });
  fixture.Script(kServerTwo, { .m_kind = ResponseKind::ConnectFails });
  fixture.Script(kSouthPeer, SealedResponse("done"));
  const Outcome& outcome = fixture.SendRequest(kWrite);
  CHECK(outcome.m_code == ResultCode::Ok);
  CHECK(fixture.m_backends.StateOf(BackendServerId("s1@1")).m_ejectedUntil);
}

TEST_CASE("retries stay within the retry budget that the fleet shares")
{
  GatewayFixture fixture;
  fixture.m_retries.SetFleetSize(20);
  fixture.ScriptAll({ .m_kind = ResponseKind::Resets }, 40);
  std::size_t started = 0;
  for (int request = 0; request < 10; ++request) {
    Outcome& outcome = fixture.Start(kRead);
    ++started;
    // Ejections expire in the meantime.
    fixture.Advance(seconds(1));
    CHECK(outcome.m_isDone);
  }
  const std::size_t retryCount = fixture.m_upstream.m_sent.size() - started;
  // The budget is half of the requests plus this instance's share, 1/20, of the
  // fleet's 20 extra retries.
  CHECK(retryCount <= started / 2 + 1);
}

TEST_CASE("a request adds to the retry budget only at its entry instance")
{
  GatewayFixture fixture;
  fixture.ScriptAll(SealedResponse("x"), 20);
  const double before = fixture.m_retries.Available(PoolId("plain"));
  for (int request = 0; request < 10; ++request) {
    fixture.SendPeerRequest(kRead, kFromSouth);
  }
  CHECK(fixture.m_retries.Available(PoolId("plain")) == before);
  fixture.SendRequest(kRead);
  CHECK(fixture.m_retries.Available(PoolId("plain")) > before);
}

TEST_CASE("a broken stream is resumed at another engine after the last event")
{
  GatewayFixture fixture;
  fixture.Script(kEngineA, SealedStream(1, 3, false));
  fixture.Script(kEngineB, SealedStream(1, 3, false));
  const Outcome* outcome = &fixture.Start(kStream);
  // The first engine breaks off after event 3. The other one repeats events
  // 1 to 3, which must not reach the caller.
  CHECK(outcome->m_code == ResultCode::AnswerMismatch);
  CHECK(fixture.SentField(1, "resume-after") == "3");
  CHECK(outcome->m_body ==
        StreamEventText(1) + StreamEventText(2) + StreamEventText(3));
  CHECK_FALSE(outcome->m_isComplete);

  GatewayFixture resumed;
  resumed.m_registry.Remove(BackendServerId("e2"), RemovalReason::Published);
  resumed.Script(kEngineA, SealedStream(1, 2, false));
  ScriptedResponse rest = SealedStream(3, 2);
  rest.m_headers.push_back({ kHopVersionField, "v1" });
  resumed.Script(kSouthPeer, rest);
  outcome = &resumed.SendRequest(kStream);
  CHECK(outcome->m_isComplete);
  CHECK(outcome->m_body == StreamEventText(1) + StreamEventText(2) +
                             StreamEventText(3) + StreamEventText(4));
}

TEST_CASE(
  "a stream that cannot be resumed is sent once and reported incomplete")
{
  GatewayFixture fixture;
  fixture.ScriptAll(SealedStream(1, 2, false));
  const Outcome& outcome = fixture.SendRequest(kTalkRequest);
  CHECK(outcome.m_code == ResultCode::AnswerIncomplete);
  CHECK_FALSE(outcome.m_isComplete);
  CHECK(fixture.m_upstream.m_sent.size() == 1);
}

TEST_CASE("a stream that ends within an event is incomplete")
{
  GatewayFixture fixture;
  ScriptedResponse truncated = SealedStream(1, 1);
  truncated.m_pieces.emplace_back("id: 2\nda");
  fixture.ScriptAll(truncated);
  const Outcome& outcome = fixture.SendRequest(kTalkRequest);
  CHECK_FALSE(outcome.m_isComplete);
  CHECK(outcome.m_body == StreamEventText(1));
}

TEST_CASE("a request that may have run at a peer is not retried")
{
  GatewayFixture fixture;
  fixture.Script(
    kSouthPeer,
    { .m_status = 502,
      .m_headers = { { kHopResultField, "402" }, { kHopRanField, "maybe" } } });
  const Outcome& outcome = fixture.SendRequest(kSouthOnly);
  CHECK(outcome.m_code == ResultCode::BackendReset);
  CHECK(outcome.m_ran == Ran::Maybe);
}

const ScriptedResponse kPeerRefusal{ .m_status = 503,
                                     .m_headers = { { kHopResultField, "302" },
                                                    { kHopRanField, "no" } },
                                     .m_pieces = { "all is lost" } };

// Returns the engine that the first stream of a new fixture is sent to.
std::string
FirstEngine()
{
  GatewayFixture fixture;
  fixture.ScriptAll(SealedStream(1, 1));
  fixture.SendRequest(kStream);
  return fixture.m_upstream.m_sent.at(0).m_endpoint;
}

// A response that a server wrote to an earlier request, once more.
ScriptedResponse
EarlierRefusal()
{
  ScriptedResponse refusal = NotRunResponse();
  refusal.m_headers.push_back({ "id", "earlier" });
  return refusal;
}

TEST_CASE("an earlier refusal once more does not say that this request has not "
          "run")
{
  GatewayFixture fixture;
  fixture.ScriptAll(EarlierRefusal(), 4);
  const Outcome& write = fixture.SendRequest(kWrite);
  CHECK(write.m_code == ResultCode::AnswerMismatch);
  CHECK(write.m_ran == Ran::Maybe);
  CHECK(fixture.m_upstream.m_sent.size() == 1);

  GatewayFixture other;
  ScriptedResponse misdirected{ .m_status = 421,
                                .m_headers = { { "id", "earlier" } } };
  other.ScriptAll(misdirected, 4);
  CHECK(other.SendRequest(kWrite).m_ran == Ran::Maybe);
  CHECK(other.m_registry.Find(BackendServerId("s1@1")) != nullptr);
  CHECK(other.m_registry.Find(BackendServerId("s2@1")) != nullptr);
}

TEST_CASE("a refusal on a kept connection that names no request does not say "
          "that this request has not run")
{
  GatewayFixture fixture;
  ScriptedResponse refusal = NotRunResponse();
  refusal.m_namesRequest = false;
  fixture.ScriptAll(refusal, 4);
  fixture.Script(kSouthPeer, kPeerRefusal);
  const Outcome& outcome = fixture.SendRequest(kRead);
  CHECK(outcome.m_code != ResultCode::Ok);
  CHECK(outcome.m_ran == Ran::Maybe);

  // On a connection of its own it can only belong to this request.
  GatewayFixture fresh;
  fresh.ScriptAll(refusal, 4);
  fresh.Script(kSouthPeer, SealedResponse("done"));
  CHECK(fresh.SendRequest(kWrite).m_code == ResultCode::Ok);
}

TEST_CASE("what an earlier response says of its server is not believed again")
{
  GatewayFixture fixture;
  ScriptedResponse earlier = EarlierRefusal();
  earlier.m_headers.push_back({ "pause-ms", "5000" });
  earlier.m_headers.push_back({ "limit", "1" });
  earlier.m_headers.push_back({ "leaving", "1" });
  earlier.m_headers.push_back({ "max-refusals", "3" });
  fixture.ScriptAll(earlier, 4);
  fixture.SendRequest(kWrite);
  for (const char* id : { "s1@1", "s2@1" }) {
    const BackendServerId server(id);
    CHECK_FALSE(fixture.m_backends.StateOf(server).m_pausedUntil);
    CHECK_FALSE(fixture.m_serverLimits.RateOf(server));
    CHECK_FALSE(fixture.m_registry.IsReportedDraining(server));
  }
  CHECK_FALSE(fixture.m_rooms.IsLimited(PoolId("plain")));
}

TEST_CASE("a stream that broke off never goes on with an error of the next "
          "server, and does not look complete")
{
  struct Row
  {
    const char* m_name;
    ScriptedResponse m_next;
  };
  ScriptedResponse plainText = SealedResponse("all is lost");
  plainText.m_headers.push_back({ "content-type", "text/plain" });
  ScriptedResponse errorEvent = SealedStream(1, 0);
  errorEvent.m_pieces = { "event: error\ndata: all is lost\n\n" };
  const Row rows[] = {
    { "a server error", SealedResponse("all is lost", 500) },
    { "a client error", SealedResponse("all is lost", 404) },
    { "another media type", plainText },
    { "an error as event", errorEvent },
    { "a refusal", NotRunResponse() },
    { "a reset", { .m_kind = ResponseKind::Resets } },
    { "no connection", { .m_kind = ResponseKind::ConnectFails } },
  };
  const std::string begun = StreamEventText(1) + StreamEventText(2);
  for (const Row& row : rows) {
    CAPTURE(row.m_name);
    GatewayFixture fixture;
    fixture.Script(FirstEngine(), SealedStream(1, 2, false));
    fixture.ScriptAll(row.m_next, 6);
    fixture.Script(kSouthPeer, kPeerRefusal);
    const Outcome& outcome = fixture.SendRequest(kStream);
    CHECK(outcome.m_code != ResultCode::Ok);
    CHECK_FALSE(outcome.m_isComplete);
    CHECK(outcome.m_body == begun);
    CHECK(outcome.m_head->m_status == 200);
  }
}

} // namespace
} // namespace rattanweir
