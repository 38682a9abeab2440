#include "testing/pipeline_fixture/pipeline_fixture.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using Code = ResultCode;
using Arrange = std::function<void(PipelineFixture&)>;

struct RefusalRow
{
  const char* m_name;
  Arrange m_arrange;
  PipelineTestRequest m_request;
  Code m_code;
  Ran m_ran;
  std::size_t m_sent = 0;
};

void
CheckRefusals(const std::vector<RefusalRow>& aRows, bool aIsFromPeer)
{
  for (const RefusalRow& row : aRows) {
    INFO(row.m_name);
    PipelineFixture fixture;
    if (row.m_arrange) {
      row.m_arrange(fixture);
    }
    const Outcome& outcome = aIsFromPeer
                               ? fixture.SendPeerRequest(row.m_request)
                               : fixture.SendRequest(row.m_request);
    CHECK(outcome.m_code == row.m_code);
    CHECK(outcome.m_ran == row.m_ran);
    CHECK(fixture.m_upstream.m_sent.size() == row.m_sent);
    CHECK(outcome.m_retryAfter.has_value() ==
          InfoOf(row.m_code).m_retryAfter.has_value());
    // Ran::No requires that no server received the request, or that the server
    // refused it.
    CHECK((row.m_ran != Ran::No || row.m_sent == 0 ||
           row.m_code == Code::BackendRefused));
    CHECK_FALSE(outcome.m_isComplete);
    CHECK(fixture.m_inFlight.Count() == 0);
  }
}

TEST_CASE("every refusal of a caller's request reports whether it may have run")
{
  const PipelineTestRequest ask;
  const PipelineTestRequest book{ .m_target = "/book" };
  const auto to = [](const char* aTarget) {
    return PipelineTestRequest{ .m_target = aTarget };
  };
  CheckRefusals(
    {
      { "not ready",
        [](PipelineFixture& aFixture) { aFixture.m_serving.m_isReady = false; },
        ask,
        Code::InstanceNotReady,
        Ran::No },
      { "paused", PauseProcess, ask, Code::InstancePaused, Ran::No },
      { "no such path", {}, to("/nothing"), Code::UnknownRoute, Ran::No },
      { "a path reserved for peers",
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
      { "client account not configured",
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
      { "no time left",
        {},
        { .m_headers = With(kKeyA, { { "rattanweir-deadline-ms", "0" } }) },
        Code::DeadlineTooShort,
        Ran::No },
      { "no home region",
        {},
        { .m_target = "/home", .m_headers = { { "x-api-key", "key-b" } } },
        Code::ResidencyUnavailable,
        Ran::No },
      { "only permitted region unreachable",
        [](PipelineFixture& aFixture) {
          aFixture.m_membership.MarkUnreachable(InstanceId("west-1"));
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
        [](PipelineFixture& aFixture) {
          aFixture.m_borrower.m_onBorrow = [&] { aFixture.OfferKeys({ "a" }); };
        },
        { .m_headers = { { "x-api-key", "key-tiny" } },
          .m_body = R"({"prompt":"","max_tokens":20})" },
        Code::KeyWithdrawn,
        Ran::No },
      { "paused while short of tokens",
        [](PipelineFixture& aFixture) {
          aFixture.m_borrower.m_onBorrow = [&] { PauseProcess(aFixture); };
        },
        { .m_headers = { { "x-api-key", "key-tiny" } },
          .m_body = R"({"prompt":"","max_tokens":20})" },
        Code::RateExceeded,
        Ran::No },
      { "no engine and no peer accepts connections",
        [](PipelineFixture& aFixture) {
          FailEngines(aFixture, ResponseKind::ConnectFails, 4);
          aFixture.Script(kWestPeer, { .m_kind = ResponseKind::ConnectFails });
        },
        ask,
        Code::BackendConnectFailed,
        Ran::No },
      { "engines reset",
        [](PipelineFixture& aFixture) {
          FailEngines(aFixture, ResponseKind::Resets, 4);
          aFixture.Script(kWestPeer, { .m_kind = ResponseKind::Resets });
        },
        ask,
        Code::BackendReset,
        Ran::Maybe,
        4 },
      { "deadline exceeded at the engine",
        [](PipelineFixture& aFixture) {
          FailEngines(aFixture, ResponseKind::DeadlinePasses);
        },
        ask,
        Code::DeadlineExceeded,
        Ran::Maybe,
        1 },
      { "connections to the desk fail",
        [](PipelineFixture& aFixture) {
          for (int attempt = 0; attempt < 4; ++attempt) {
            aFixture.Script(kDesk, { .m_kind = ResponseKind::ConnectFails });
          }
        },
        book,
        Code::BackendConnectFailed,
        Ran::No },
      { "desk resets",
        [](PipelineFixture& aFixture) {
          aFixture.Script(kDesk, { .m_kind = ResponseKind::Resets });
        },
        book,
        Code::BackendReset,
        Ran::Maybe,
        1 },
      { "desk reports that it did not run the request",
        [](PipelineFixture& aFixture) {
          aFixture.Script(
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

TEST_CASE("a peer's request is admitted by this instance's own configuration")
{
  const auto forwarded = [](const char* aRoute, const HeaderFields& aMore) {
    return PipelineTestRequest{ .m_headers =
                                  With(aMore, WestPeerHeaders(aRoute)) };
  };
  const auto withHop = [](const char* aHop) {
    HeaderFields fields = WestPeerHeaders("ask");
    fields.front().m_value = aHop;
    return PipelineTestRequest{ .m_headers = fields };
  };
  CheckRefusals(
    {
      { "sent by this instance",
        {},
        withHop("east-1"),
        Code::LoopRefused,
        Ran::No },
      { "two hops", {}, withHop("west-1,west-2"), Code::LoopRefused, Ran::No },
      { "no hop", {}, withHop(""), Code::MalformedRequest, Ran::No },
      { "unknown route", {}, forwarded("x", {}), Code::UnknownRoute, Ran::No },
      { "key withdrawn here",
        [](PipelineFixture& aFixture) { aFixture.OfferKeys({ "b" }); },
        forwarded("ask", {}),
        Code::KeyNotGranted,
        Ran::No },
      { "another account's key",
        {},
        forwarded("ask", { { "rattanweir-key", "b" } }),
        Code::KeyNotGranted,
        Ran::No },
      { "home region moved by a newer configuration",
        [](PipelineFixture& aFixture) {
          aFixture.Offer(SectionKind::ClientAccounts, R"(version: 1
maximum_instances: 1
client_accounts:
  - { id: a, rate_tokens_per_second: 1, burst_tokens: 20, home_region: west }
)");
        },
        forwarded("home", {}),
        Code::ResidencyRefused,
        Ran::No },
      { "route restricted to another region",
        {},
        forwarded("west", {}),
        Code::ResidencyRefused,
        Ran::No },
      { "not ready",
        [](PipelineFixture& aFixture) { aFixture.m_serving.m_isReady = false; },
        forwarded("ask", {}),
        Code::InstanceNotReady,
        Ran::No },
      { "paused",
        PauseProcess,
        forwarded("ask", {}),
        Code::InstancePaused,
        Ran::No },
      // Not forwarded again, although west-1 has backend servers.
      { "no local engine accepts connections",
        [](PipelineFixture& aFixture) {
          FailEngines(aFixture, ResponseKind::ConnectFails, 4);
        },
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

} // namespace
} // namespace rattanweir
