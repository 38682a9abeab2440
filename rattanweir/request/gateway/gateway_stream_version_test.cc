#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/gateway/gateway_admission.h"
#include "testing/gateway_fixture/gateway_fixture.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

const GatewayTestRequest kStream{ .m_target = "/stream/1" };

// Publishes the server with this version of its software.
void
PutVersion(GatewayFixture& aFixture, const char* aId, const char* aVersion)
{
  ServerRecord record = aFixture.RecordOf(aId);
  record.m_softwareVersion = aVersion;
  aFixture.m_registry.Put(record);
}

void
Remove(GatewayFixture& aFixture, const char* aId)
{
  aFixture.m_registry.Remove(BackendServerId(aId), RemovalReason::Published);
}

TEST_CASE(
  "within one answer a stream goes on only at the version that began it")
{
  GatewayFixture fixture;
  PutVersion(fixture, "e1", "v1");
  PutVersion(fixture, "e2", "v2");
  PutVersion(fixture, "t2", "v3");
  for (const char* server : { kEngineA, kEngineB, kSouthPeer }) {
    fixture.Script(server, SealedStream(1, 2, false));
  }
  const Outcome& outcome = fixture.SendRequest(kStream);
  CHECK(fixture.m_upstream.m_sent.size() == 1);
  CHECK(outcome.m_code == ResultCode::AnswerIncomplete);
}

TEST_CASE(
  "over a caller's tries a stream goes on only at the version that began "
  "it")
{
  GatewayFixture fixture;
  fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
  Remove(fixture, "e2");
  PutVersion(fixture, "e1", "v1");
  fixture.Script(kEngineA, SealedStream(1, 2, false));
  fixture.SendRequest(kStream);
  const std::string id = fixture.SentField(0, "id");
  Remove(fixture, "e1");
  PutVersion(fixture, "e2", "v2");
  fixture.Script(kEngineB, SealedStream(3, 2));
  fixture.SendRequest(
    { .m_target = "/stream/1",
      .m_headers = { { "resume-after", "2" }, { "resumes", id } } });
  CHECK(fixture.m_upstream.m_sent.size() == 1);
}

// Returns the request with which a caller takes up the stream after event 2.
GatewayTestRequest
Resumption(const std::string& aRequest)
{
  return { .m_target = "/stream/1",
           .m_headers = { { "resume-after", "2" }, { "resumes", aRequest } } };
}

// A fixture in which engines e1 (v1) and e2 (v2) serve and a stream of version
// v1 has broken off after event 2.
struct BrokenStream
{
  BrokenStream()
  {
    m_fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
    Remove(m_fixture, "e2");
    m_fixture.Script(kEngineA, SealedStream(1, 2, false));
    m_fixture.SendRequest(kStream);
    m_request = m_fixture.SentField(0, "id");
    PutVersion(m_fixture, "e2", "v2");
  }

  GatewayFixture m_fixture;
  std::string m_request;
};

TEST_CASE("a stream is taken up at its version, on later tries too")
{
  BrokenStream stream;
  GatewayFixture& fixture = stream.m_fixture;
  fixture.Script(kEngineA, SealedStream(3, 1, false));
  fixture.Script(kEngineA, SealedStream(4, 2));
  CHECK(fixture.SendRequest(Resumption(stream.m_request)).m_code ==
        ResultCode::AnswerIncomplete);
  fixture.Advance(std::chrono::milliseconds(50));
  CHECK(fixture.SendRequest(Resumption(stream.m_request)).m_code ==
        ResultCode::Ok);
  CHECK(fixture.SentTo(kEngineA) == 3);
  CHECK(fixture.SentTo(kEngineB) == 0);
}

// Guards against a stream that goes on at the version of another stream with
// the same content, because its own version was not certain.
TEST_CASE("a stream that began at an unknown version is not taken up, also "
          "beside one whose version is known")
{
  for (const bool hasTwin : { false, true }) {
    INFO("with a known twin: " << hasTwin);
    GatewayFixture fixture;
    fixture.m_fleet.MarkUnreachable(InstanceId("south-1"));
    if (hasTwin) {
      Remove(fixture, "e1");
      PutVersion(fixture, "e2", "v1");
      fixture.Script(kEngineB, SealedStream(1, 2));
      CHECK(fixture.SendRequest(kStream).m_code == ResultCode::Ok);
    }
    Remove(fixture, "e2");
    PutVersion(fixture, "e1", "");
    fixture.Script(kEngineA, SealedStream(1, 2, false));
    CHECK(fixture.SendRequest(kStream).m_code == ResultCode::AnswerIncomplete);
    const std::size_t sent = fixture.m_upstream.m_sent.size();
    PutVersion(fixture, "e2", "v1");
    fixture.ScriptAll(SealedStream(3, 2));
    const Outcome& outcome = fixture.SendRequest(
      { .m_target = "/stream/1", .m_headers = { { "resume-after", "2" } } });
    CHECK(outcome.m_code == ResultCode::StreamNotResumable);
    CHECK(fixture.m_upstream.m_sent.size() == sent);
  }
}

TEST_CASE("a stream whose version is not known, or gone, is refused at once")
{
  BrokenStream stream;
  GatewayFixture& fixture = stream.m_fixture;
  const std::size_t before = fixture.m_upstream.m_sent.size();
  const GatewayTestRequest requests[] = {
    Resumption("other"),
    Resumption(""),
    { .m_target = "/stream/2", .m_headers = { { "resume-after", "2" } } },
  };
  const auto checkRefusal = [&](const GatewayTestRequest& aRequest) {
    const Outcome& outcome = fixture.SendRequest(aRequest);
    CHECK(outcome.m_code == ResultCode::StreamNotResumable);
    CHECK(outcome.m_ran == Ran::No);
    CHECK_FALSE(outcome.m_retryAfter);
  };
  for (const GatewayTestRequest& request : requests) {
    checkRefusal(request);
  }
  Remove(fixture, "e1");
  checkRefusal(Resumption(stream.m_request));
  CHECK(fixture.m_upstream.m_sent.size() == before);
}

TEST_CASE("a caller that does not name its stream takes it up with the same "
          "request, unless that began streams of two versions")
{
  BrokenStream stream;
  GatewayFixture& fixture = stream.m_fixture;
  const GatewayTestRequest unnamed{ .m_target = "/stream/1",
                                    .m_headers = { { "resume-after", "2" } } };
  fixture.Script(kEngineA, SealedStream(3, 2));
  CHECK(fixture.SendRequest(unnamed).m_code == ResultCode::Ok);
  CHECK(fixture.SentTo(kEngineB) == 0);
  Remove(fixture, "e1");
  fixture.Script(kEngineB, SealedStream(1, 2, false));
  fixture.SendRequest(kStream);
  PutVersion(fixture, "e1", "v1");
  CHECK(fixture.SendRequest(unnamed).m_code == ResultCode::StreamNotResumable);
}

TEST_CASE("a stream of a server without a version is not taken up")
{
  for (const char* version : { "", "v 1", "v1\r\nx: y" }) {
    INFO(version);
    GatewayFixture fixture;
    PutVersion(fixture, "e1", version);
    PutVersion(fixture, "e2", version);
    PutVersion(fixture, "t2", version);
    fixture.ScriptAll(SealedStream(1, 2, false), 2);
    fixture.SendRequest(kStream);
    const std::string id = fixture.SentField(0, "id");
    CHECK(fixture.m_upstream.m_sent.size() == 1);
    CHECK(fixture.SendRequest(Resumption(id)).m_code ==
          ResultCode::StreamNotResumable);
  }
}

TEST_CASE(
  "an answer of a peer is forwarded only if its version is the stream's")
{
  struct Row
  {
    const char* m_name;
    HeaderFields m_fields;
    ResultCode m_code;
  };
  const Row rows[] = {
    { "the version", { { kHopVersionField, "v1" } }, ResultCode::Ok },
    { "another one",
      { { kHopVersionField, "v2" } },
      ResultCode::AnswerMismatch },
    { "none, from an earlier release", {}, ResultCode::AnswerMismatch },
  };
  for (const Row& row : rows) {
    INFO(row.m_name);
    GatewayFixture fixture;
    Remove(fixture, "e2");
    fixture.Script(kEngineA, SealedStream(1, 2, false));
    ScriptedResponse rest = SealedStream(3, 2);
    rest.m_headers.insert(
      rest.m_headers.end(), row.m_fields.begin(), row.m_fields.end());
    fixture.Script(kSouthPeer, rest);
    const Outcome& outcome = fixture.SendRequest(kStream);
    CHECK(fixture.SentField(1, kHopVersionField) == "v1");
    CHECK(outcome.m_code == row.m_code);
    CHECK(FindHeader(outcome.m_head->m_headers, kHopVersionField) == nullptr);
    const bool isWhole =
      outcome.m_body.find(StreamEventText(3)) != std::string::npos;
    CHECK(isWhole == (row.m_code == ResultCode::Ok));
  }
}

TEST_CASE(
  "a forwarded stream is sent only to servers of its version, which the "
  "response names")
{
  GatewayFixture fixture;
  PutVersion(fixture, "e2", "v2");
  fixture.ScriptAll(SealedStream(3, 2), 2);
  HeaderFields hop = { { kHopFromField, "south-1" },
                       { kHopAccountField, "anna" },
                       { kHopPoolField, "engines" },
                       { kHopTimeLeftField, "900" } };
  CHECK(fixture.SendPeerRequest(Resumption("7"), hop).m_code ==
        ResultCode::StreamNotResumable);
  hop.push_back({ kHopVersionField, "v2" });
  const Outcome& outcome = fixture.SendPeerRequest(Resumption("7"), hop);
  CHECK(outcome.m_code == ResultCode::Ok);
  CHECK(fixture.SentTo(kEngineB) == 1);
  CHECK(fixture.SentTo(kEngineA) == 0);
  const std::string* version =
    FindHeader(outcome.m_head->m_headers, kHopVersionField);
  REQUIRE(version != nullptr);
  CHECK(*version == "v2");
}

} // namespace
} // namespace rattanweir
