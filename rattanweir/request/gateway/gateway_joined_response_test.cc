#include "rattanweir/base/asio/asio.h"

#include "testing/gateway_fixture/gateway_fixture.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

const GatewayTestRequest kStream{ .m_method = "POST", .m_target = "/stream/1" };

// Returns a response that breaks off after its first piece.
ScriptedResponse
BrokenResponse(unsigned aStatus, const char* aMediaType)
{
  return { .m_status = aStatus,
           .m_headers = { { "seal", "first" }, { "content-type", aMediaType } },
           .m_pieces = { R"({"first":)" },
           .m_isComplete = false };
}

ScriptedResponse
StreamWithStatus(ScriptedResponse aStream, unsigned aStatus)
{
  aStream.m_status = aStatus;
  return aStream;
}

// Guards against responses that are joined from two runs: the head of an error
// with the events of another run.
TEST_CASE("a response that breaks off is not completed by another run")
{
  struct Row
  {
    const char* m_name;
    ScriptedResponse m_first;
    ScriptedResponse m_second;
  };
  const Row rows[] = {
    { "error", BrokenResponse(404, "application/json"), SealedStream(0, 3) },
    { "conflict", BrokenResponse(409, "application/json"), SealedStream(0, 3) },
    { "redirect", BrokenResponse(302, "text/plain"), SealedStream(0, 3) },
    { "error sent as events",
      BrokenResponse(404, "text/event-stream"),
      SealedStream(0, 3) },
    { "success that is no stream",
      BrokenResponse(200, "application/json"),
      SealedStream(0, 3) },
    { "created", BrokenResponse(201, "application/json"), SealedStream(0, 3) },
    { "two errors",
      BrokenResponse(404, "application/json"),
      BrokenResponse(404, "application/json") },
    { "stream, then a success that is no stream",
      SealedStream(0, 2, false),
      SealedResponse(R"({"second":1})") },
    { "stream, then an error",
      SealedStream(0, 2, false),
      SealedResponse("second", 404) },
    { "stream, then a stream with another status",
      SealedStream(0, 2, false),
      StreamWithStatus(SealedStream(2, 2), 206) },
    { "stream, then an error that breaks off, then a stream",
      SealedStream(0, 2, false),
      BrokenResponse(404, "application/json") },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    GatewayFixture fixture;
    fixture.Script(kEngineA, row.m_first);
    fixture.Script(kEngineB, row.m_second);
    const Outcome& outcome = fixture.SendRequest(kStream);
    CHECK(outcome.m_code != ResultCode::Ok);
    CHECK_FALSE(outcome.m_isComplete);
    REQUIRE(outcome.m_head);
    CHECK(outcome.m_head->m_status == row.m_first.m_status);
    CHECK(outcome.m_body.find("second") == std::string::npos);
    const bool isStream = row.m_first.m_pieces.size() > 1;
    CHECK(outcome.m_body.size() == (isStream
                                      ? 2 * StreamEventText(0).size()
                                      : row.m_first.m_pieces.front().size()));
  }
}

TEST_CASE("a stream that breaks off goes on, and an error that did not begin "
          "is replaced")
{
  ScriptedResponse empty = BrokenResponse(404, "application/json");
  empty.m_pieces.clear();
  for (const ScriptedResponse& first :
       { SealedStream(0, 0, false), SealedStream(0, 2, false), empty }) {
    GatewayFixture fixture;
    const int next = first.m_pieces.size() == 2 ? 2 : 0;
    fixture.Script(kEngineA, first);
    fixture.Script(kEngineB, SealedStream(next, 4 - next));
    const Outcome& outcome = fixture.SendRequest(kStream);
    CHECK(outcome.m_code == ResultCode::Ok);
    CHECK(outcome.m_isComplete);
    CHECK(outcome.m_body == StreamEventText(0) + StreamEventText(1) +
                              StreamEventText(2) + StreamEventText(3));
  }
}

// Guards against a stream that looks complete because its second run ended
// before it went on.
TEST_CASE("a resumed stream that is closed before its next event is not "
          "complete")
{
  for (const bool isCloseDelimited : { false, true }) {
    GatewayFixture fixture;
    ScriptedResponse rest = SealedStream(2, 0);
    rest.m_isCloseDelimited = isCloseDelimited;
    fixture.Script(kEngineA, SealedStream(0, 2, false));
    fixture.Script(kEngineB, rest);
    const Outcome& outcome = fixture.SendRequest(kStream);
    CHECK(outcome.m_body == StreamEventText(0) + StreamEventText(1));
    CHECK(outcome.m_isComplete == !isCloseDelimited);
  }
}

} // namespace
} // namespace rattanweir
