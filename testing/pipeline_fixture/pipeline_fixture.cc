#include "testing/pipeline_fixture/pipeline_fixture.h"

#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/wait/wait.h"

#include <catch2/catch.hpp>

#include <exception>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick(400);

constexpr const char* kAccounts = R"(version: 1
maximum_instances: 1
client_accounts:
  - { id: a, rate_tokens_per_second: 100000, burst_tokens: 100000, home_region: east }
  - { id: b, rate_tokens_per_second: 100000, burst_tokens: 100000 }
  - { id: tiny, rate_tokens_per_second: 1, burst_tokens: 20, home_region: west }
)";
constexpr const char* kRoutes = R"(version: 1
routes:
  - { id: ask, path: /ask, idempotent: true, residency: any, cost: { default_max_tokens: 10 }, deadline: 30s, pool: engines }
  - { id: home, path: /home, idempotent: true, residency: home, cost: { fixed_tokens: 1 }, deadline: 30s, pool: engines }
  - { id: west, path: /west, idempotent: true, residency: [west], cost: { fixed_tokens: 1 }, deadline: 30s, pool: engines }
  - { id: none, path: /none, idempotent: true, residency: any, cost: { fixed_tokens: 1 }, deadline: 30s, pool: nobody }
  - { id: open, path: /open, open_to_all: true, idempotent: true, residency: any, cost: { fixed_tokens: 1 }, deadline: 30s, pool: engines }
  - { id: book, path: /book, idempotent: false, residency: any, cost: { fixed_tokens: 2 }, deadline: 30s, pool: desk }
  - { id: book-west, path: /book-west, idempotent: false, residency: [west], cost: { fixed_tokens: 2 }, deadline: 30s, pool: engines }
)";
constexpr const char* kServers = R"(version: 1
backend_servers:
  - { id: e1, pool: engines, kind: model_engine, region: east, availability_zone: east-a, address: "10.0.0.1:1", echoes_attempt_id: true, resumes_streams: true }
  - { id: e2, pool: engines, kind: model_engine, region: east, availability_zone: east-a, address: "10.0.0.1:2", echoes_attempt_id: true, resumes_streams: true }
  - { id: w1, pool: engines, kind: model_engine, region: west, availability_zone: west-a, address: "10.0.9.1:1" }
  - { id: d1, pool: desk, kind: plain_service, region: east, availability_zone: east-a, address: "10.0.0.1:3" }
)";
// SHA-256 hashes of the keys `key-NAME`, by NAME.
const std::map<std::string, std::string> kHashes = {
  { "a", "f10f781241e2246678b6b45c857069208152a53863e47fac33f607ab405006f4" },
  { "b", "a30534a53b23547377ddccbd1ac85a8a84c13db43493c16e55a6abc7b0eba634" },
  { "tiny",
    "b8f154e2d7f548b6f154668b5574c10997785cd84c2ed41d48fe391d3fb0a066" },
  { "lost",
    "3aceb06bccaa9bc95e6cf37a7f1213a8bb5a2bdf0e0867fa68c33337297bb855" },
};

InstanceRecord
Instance(const char* aId, const char* aRegion, const char* aPeerAddress)
{
  return { .m_id = InstanceId(aId),
           .m_region = RegionId(aRegion),
           .m_callerAddress = ParseEndpoint("10.0.8.1:1"),
           .m_peerAddress = ParseEndpoint(aPeerAddress) };
}

} // namespace

const HeaderFields kKeyA = { { "authorization", "Bearer key-a" } };

HeaderFields
With(HeaderFields aFields, const HeaderFields& aMore)
{
  aFields.insert(aFields.end(), aMore.begin(), aMore.end());
  return aFields;
}

HeaderFields
WestPeerHeaders(const char* aRoute)
{
  return { { "rattanweir-hop", "west-1" },
           { "rattanweir-route", aRoute },
           { "rattanweir-client-account", "a" },
           { "rattanweir-key", "a" },
           { "rattanweir-deadline-ms", "5000" } };
}

void
PauseProcess(PipelineFixture& aFixture)
{
  aFixture.m_clock.Advance(std::chrono::seconds(10));
  aFixture.m_rates.Tick();
}

void
FailEngines(PipelineFixture& aFixture, ResponseKind aKind, int aTimes)
{
  for (int time = 0; time < aTimes; ++time) {
    aFixture.Script(kEngineOne, { .m_kind = aKind });
    aFixture.Script(kEngineTwo, { .m_kind = aKind });
  }
}

const std::string&
SentField(const PipelineFixture& aFixture,
          std::size_t aIndex,
          const char* aName)
{
  const auto* field = FindHeader(
    aFixture.m_upstream.m_sent.at(aIndex).m_request.m_headers, aName);
  REQUIRE(field != nullptr);
  return *field;
}

PipelineTestRequest
Booking(const std::string& aKey, const char* aBody)
{
  return { .m_target = "/book",
           .m_headers = With(kKeyA, { { "idempotency-key", aKey } }),
           .m_body = aBody };
}

Task<bool>
ScriptedBorrower::Borrow(ClientAccountId, Tokens, SteadyTime, CancelSource&)
{
  ++m_borrowCount;
  if (m_onBorrow) {
    m_onBorrow();
  }
  co_return m_isGranted;
}

void
ScriptedBorrower::BorrowAhead(const ClientAccountId&)
{
  ++m_borrowAheadCount;
}

PipelineFixture::PipelineFixture()
  : m_rates({ .m_clock = m_clock,
              .m_self = InstanceId("east-1"),
              .m_incarnation = Incarnation(1) })
  , m_idempotencyLedger({ .m_clock = m_clock,
                          .m_self = InstanceId("east-1"),
                          .m_incarnation = Incarnation(1) })
  , m_rateQueue({ .m_executor = m_context.get_executor(),
                  .m_clock = m_clock,
                  .m_rates = m_rates })
  , m_serving{ .m_executor = m_context.get_executor(),
               .m_clock = m_clock,
               .m_random = m_random,
               .m_self = InstanceId("east-1"),
               .m_region = RegionId("east"),
               .m_catalog = m_catalog,
               .m_membership = m_membership,
               .m_rates = m_rates,
               .m_rateQueue = m_rateQueue,
               .m_idempotencyLedger = m_idempotencyLedger,
               .m_backends = m_backends,
               .m_prefixes = m_prefixes,
               .m_inFlight = m_inFlight,
               .m_peerAttempts = m_peerAttempts,
               .m_retryBudget = m_retryBudget,
               .m_metrics = m_metrics,
               .m_upstream = m_upstream,
               .m_borrower = m_borrower,
               .m_callerAddress = ParseEndpoint("10.0.8.1:1"),
               .m_isReady = true }
  , m_peer({ .m_serving = m_serving,
             .m_keyedRuns = m_keyedRuns,
             .m_control = [](const std::string& aBody) { return aBody; } })
{
  m_catalog.OnAccepted([this](SectionKind) {
    m_inFlight.CancelWithdrawn([this](const InFlightRequest& aRequest) {
      return IsStillAuthorized(m_catalog, aRequest);
    });
  });
  Offer(SectionKind::ClientAccounts, kAccounts);
  Offer(SectionKind::Routes, kRoutes);
  Offer(SectionKind::BackendServers, kServers);
  OfferKeys({ "a", "b", "tiny", "lost" });
  m_membership.ApplyList({ Instance("east-1", "east", "10.0.1.1:2"),
                           Instance("east-2", "east", kEastPeer),
                           Instance("west-1", "west", kWestPeer) });
  ReceiveHeartbeat("east-2", Incarnation(2));
  ReceiveHeartbeat("west-1", Incarnation(3));
  m_rates.Configure(m_catalog.ClientAccounts());
  // Fills the token buckets.
  Advance(std::chrono::seconds(2));
}

void
PipelineFixture::Advance(std::chrono::nanoseconds aDuration)
{
  const SteadyTime end = m_clock.SteadyNow() + aDuration;
  while (m_clock.SteadyNow() < end) {
    m_clock.Advance(kTick);
    m_rates.Tick();
  }
  REQUIRE_FALSE(m_rates.IsPaused());
}

void
PipelineFixture::Script(const std::string& aEndpoint,
                        ScriptedResponse aResponse)
{
  m_upstream.m_scripts[aEndpoint].push_back(std::move(aResponse));
}

Outcome&
PipelineFixture::SendRequest(const PipelineTestRequest& aRequest)
{
  Outcome& outcome = Start(m_entry, aRequest);
  RunUntil([&] { return outcome.m_isDone; });
  return outcome;
}

Outcome&
PipelineFixture::SendPeerRequest(const PipelineTestRequest& aRequest)
{
  Outcome& outcome = Start(m_peer, aRequest);
  RunUntil([&] { return outcome.m_isDone; });
  return outcome;
}

Outcome&
PipelineFixture::Start(RequestHandler& aHandler,
                       const PipelineTestRequest& aRequest)
{
  InboundRequest request{
    .m_method = aRequest.m_method,
    .m_target = aRequest.m_target,
    .m_headers = aRequest.m_headers,
    .m_body = aRequest.m_body,
    .m_begunAt = m_clock.SteadyNow(),
    .m_receivedAt = m_clock.SteadyNow(),
    .m_id = RequestId("r" + std::to_string(m_nextRequest++)),
  };
  Outcome& outcome = m_outcomes.emplace_back();
  asio::co_spawn(m_context,
                 HandleAndRecord(aHandler, std::move(request), outcome),
                 asio::detached);
  m_context.restart();
  m_context.poll();
  return outcome;
}

void
PipelineFixture::RunUntil(const std::function<bool()>& aCondition)
{
  m_context.restart();
  while (!aCondition()) {
    REQUIRE(m_context.run_one() > 0);
  }
}

void
PipelineFixture::Offer(SectionKind aKind, const std::string& aText)
{
  const SectionOffer offer{ .m_kind = aKind,
                            .m_version = SectionVersion(++m_nextVersion),
                            .m_text = { .m_file = "test", .m_text = aText } };
  REQUIRE(m_catalog.Offer(offer) == OfferOutcome::Accepted);
}

void
PipelineFixture::OfferKeys(const std::vector<std::string>& aNames)
{
  std::string text = "version: 1\nkeys:\n";
  for (const std::string& name : aNames) {
    text += "  - { id: ";
    text += name;
    text += ", client_account: ";
    text += name;
    text += ", sha256: ";
    text += kHashes.at(name);
    text += " }\n";
  }
  Offer(SectionKind::Keys, aNames.empty() ? "version: 1\nkeys: []\n" : text);
}

void
PipelineFixture::ReceiveHeartbeat(const std::string& aId,
                                  Incarnation aIncarnation)
{
  REQUIRE(
    m_membership.ApplyHeartbeat({ .m_from = InstanceId(aId),
                                  .m_incarnation = aIncarnation,
                                  .m_sequence = ++m_nextVersion,
                                  .m_isReady = true,
                                  .m_interval = std::chrono::seconds(1) }));
}

std::string
PipelineFixture::IssueKey()
{
  return m_idempotencyLedger
    .Issue(
      { .m_route = RouteId("book"), .m_clientAccount = ClientAccountId("a") })
    .m_key.ToString();
}

} // namespace rattanweir
