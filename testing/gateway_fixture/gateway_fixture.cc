#include "rattanweir/base/asio/asio.h"

#include "testing/gateway_fixture/gateway_fixture.h"

#include "rattanweir/request/exchange/header_fields.h"

#include <catch2/catch.hpp>

#include <sstream>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RegionId kNorth("north");
const RegionId kSouth("south");
const AvailabilityZoneId kNorthZone("north-a");
const AvailabilityZoneId kSouthZone("south-a");
const PoolId kPlain("plain");
const PoolId kEngines("engines");
// Length of a prompt's shared guide, and of its remaining text.
constexpr Tokens kGuideTokens{ 13'300 };
constexpr Tokens kUniqueTokens{ 100 };

std::string
ValueOf(const HeaderFields& aFields, const char* aName)
{
  const std::string* value = FindHeader(aFields, aName);
  return value == nullptr ? "" : *value;
}

FleetRoute
RouteOf(const char* aName, RequestKind aKind, const PoolId& aPool)
{
  return { .m_id = RouteId(aName),
           .m_host = "a.example",
           .m_pathPrefix = std::string("/") + aName + "/",
           .m_kind = aKind,
           .m_pools = { { .m_pool = aPool } },
           .m_maxAttempts = 2,
           .m_timeout = seconds(4),
           .m_latencyObjective = milliseconds(500) };
}

FleetMember
Member(const char* aId, const RegionId& aRegion, const char* aPeerAddress)
{
  return { .m_id = InstanceId(aId),
           .m_incarnation = Incarnation(1),
           .m_sequence = 1,
           .m_region = aRegion,
           .m_callerAddress = ParseEndpoint("10.9.0.1:1"),
           .m_peerAddress = ParseEndpoint(aPeerAddress),
           .m_isReady = true };
}

} // namespace

FleetConfigData
GatewayTestConfig(std::uint64_t aVersion, bool aHasKey)
{
  FleetConfigData rows{
    .m_version = SectionVersion(aVersion),
    .m_pools = { { .m_id = kPlain,
                   .m_maximumConnections = 100,
                   .m_coldDuration = seconds(3),
                   .m_coldRequestsPerSecond = 10 },
                 { .m_id = kEngines,
                   .m_maximumConnections = 100,
                   .m_engine =
                     EngineProfile{ .m_slots = 8,
                                    .m_cacheTokens = Tokens(100'000),
                                    .m_cacheCopyTimePerToken =
                                      std::chrono::nanoseconds(1'200) } } },
    .m_accounts = { { .m_id = ClientAccountId("anna"),
                      .m_ratePerSecond = 100,
                      .m_burst = 100 } },
    .m_hasAccounts = true,
  };
  if (aHasKey) {
    rows.m_keys.emplace("key-anna", ClientAccountId("anna"));
  }
  rows.m_routes = {
    RouteOf("read", RequestKind::Idempotent, kPlain),
    RouteOf("write", RequestKind::NonIdempotent, kPlain),
    RouteOf("stream", RequestKind::Stream, kEngines),
    RouteOf("talk", RequestKind::Stream, kEngines),
    RouteOf("south", RequestKind::NonIdempotent, kPlain),
    RouteOf("open", RequestKind::Idempotent, kPlain),
  };
  rows.m_routes[2].m_resumesStreams = true;
  rows.m_routes[4].m_homeRegions = { kSouth };
  rows.m_routes[5].m_isOpenToAll = true;
  return rows;
}

std::string
PlainProtocol::ReadRequestId(const InboundRequest& aRequest) const
{
  return ValueOf(aRequest.m_headers, "id");
}

RequestInfo
PlainProtocol::ReadRequest(const InboundRequest& aRequest) const
{
  RequestInfo info{ .m_id = RequestId(ReadRequestId(aRequest)),
                    .m_host = ValueOf(aRequest.m_headers, "host") };
  if (const auto* key = FindHeader(aRequest.m_headers, "key")) {
    info.m_presentedKey = *key;
  }
  if (const auto* timeout = FindHeader(aRequest.m_headers, "patience-ms")) {
    info.m_callerTimeout = milliseconds(std::stoll(*timeout));
  }
  if (const auto* resume = FindHeader(aRequest.m_headers, "resume-after")) {
    info.m_resumeAfter = *resume;
  }
  if (const auto* resumes = FindHeader(aRequest.m_headers, "resumes")) {
    info.m_resumes = RequestId(*resumes);
  }
  if (const auto* guide = FindHeader(aRequest.m_headers, "guide")) {
    info.m_parts = { { .m_id = *guide, .m_tokens = kGuideTokens } };
    info.m_promptTokens = kGuideTokens + kUniqueTokens;
  }
  if (const auto* parts = FindHeader(aRequest.m_headers, "parts")) {
    std::istringstream names(*parts);
    for (std::string name; std::getline(names, name, ',');) {
      info.m_parts.push_back({ .m_id = name, .m_tokens = kUniqueTokens });
    }
    info.m_promptTokens = kUniqueTokens;
  }
  for (const HeaderField& field : aRequest.m_headers) {
    if (field.m_name != "key" && field.m_name != "resume-after") {
      info.m_forwardedFields.push_back(field);
    }
  }
  return info;
}

HeaderFields
PlainProtocol::BackendFields(const DispatchInfo& aInfo) const
{
  HeaderFields fields = {
    { "server", aInfo.m_server.Value() },
    { "account", aInfo.m_clientAccount.Value() },
    { "left-ms",
      std::to_string(
        std::chrono::duration_cast<milliseconds>(aInfo.m_timeLeft).count()) },
  };
  if (aInfo.m_copyFrom) {
    fields.push_back({ "copy-from", aInfo.m_copyFrom->ToString() });
  }
  if (aInfo.m_resumeAfter) {
    fields.push_back({ "resume-after", *aInfo.m_resumeAfter });
  }
  return fields;
}

HeaderFields
PlainProtocol::PeerFields(const std::optional<std::string>& aResumeAfter) const
{
  return aResumeAfter ? HeaderFields{ { "resume-after", *aResumeAfter } }
                      : HeaderFields{};
}

ResponseInfo
PlainProtocol::ReadResponse(const ResponseHead& aHead) const
{
  ResponseInfo info{
    .m_isNotRun = FindHeader(aHead.m_headers, "not-run") != nullptr,
    .m_isMisdirected = aHead.m_status == 421,
    .m_isSealed = FindHeader(aHead.m_headers, "seal") != nullptr,
    .m_hasInvalidLoad = FindHeader(aHead.m_headers, "bad-load") != nullptr,
  };
  if (const auto* pace = FindHeader(aHead.m_headers, "pace")) {
    info.m_pace = Pace(std::stod(*pace));
  }
  if (const auto* id = FindHeader(aHead.m_headers, "id")) {
    info.m_request = RequestId(*id);
  }
  if (const auto* limit = FindHeader(aHead.m_headers, "limit")) {
    info.m_requestLimit = RequestRate(std::stod(*limit));
  }
  if (const auto* refusals = FindHeader(aHead.m_headers, "max-refusals")) {
    info.m_maxRefusals = RequestRate(std::stod(*refusals));
  }
  info.m_isDraining = FindHeader(aHead.m_headers, "leaving") != nullptr;
  if (const auto* pause = FindHeader(aHead.m_headers, "pause-ms")) {
    info.m_pause = milliseconds(std::stoll(*pause));
  }
  return info;
}

Refusal
PlainProtocol::FormatRefusal(const RequestError& aError) const
{
  return RefusalResponse(aError, RequestId());
}

void
LocalStreamOrigins::Record(StreamKey aKey,
                           const StreamOrigin& aOrigin,
                           std::chrono::nanoseconds aLifetime)
{
  m_origins.Record(aKey, aOrigin, aLifetime);
}

Task<std::optional<StreamOrigin>>
LocalStreamOrigins::Find(StreamKey aKey, SteadyTime)
{
  co_return m_origins.Find(aKey).m_origin;
}

Task<std::optional<StreamOrigin>>
LocalStreamOrigins::FindCommon(StreamKey aKey,
                               std::chrono::nanoseconds /*aMaxAge*/,
                               SteadyTime aDeadline)
{
  return Find(aKey, aDeadline);
}

ScriptedResponse
SealedResponse(std::string aBody, unsigned aStatus)
{
  return { .m_status = aStatus,
           .m_headers = { { "seal", "s" } },
           .m_pieces = { std::move(aBody) } };
}

ScriptedResponse
NotRunResponse(unsigned aStatus)
{
  return { .m_status = aStatus, .m_headers = { { "not-run", "1" } } };
}

ScriptedResponse
SealedStream(int aFirst, int aCount, bool aIsComplete)
{
  ScriptedResponse response = ScriptedStream(aFirst, aCount, false);
  response.m_headers.push_back({ "seal", "s" });
  response.m_isComplete = aIsComplete;
  return response;
}

GatewayFixture::GatewayFixture()
  : m_fleet(
      { .m_clock = m_clock, .m_self = Member("north-1", kNorth, "10.1.0.9:9") })
  , m_registry(
      { .m_clock = m_clock,
        .m_regionOfZone = { { kNorthZone, kNorth }, { kSouthZone, kSouth } } })
  , m_retries({ .m_clock = m_clock,
                .m_limits = { .m_ratio = 0.5, .m_extra = 20 },
                .m_usedFraction = 1 })
  , m_queues(m_context.get_executor())
  , m_state{ .m_executor = m_context.get_executor(),
             .m_clock = m_clock,
             .m_random = m_random,
             .m_protocol = m_protocol,
             .m_config = m_config,
             .m_fleet = m_fleet,
             .m_registry = m_registry,
             .m_backends = m_backends,
             .m_reach = m_reach,
             .m_regions = m_regions,
             .m_parts = m_parts,
             .m_rates = m_rates,
             .m_retries = m_retries,
             .m_rateLimiter = m_rateLimiter,
             .m_serverLimits = m_serverLimits,
             .m_rooms = m_rooms,
             .m_quarantine = m_quarantine,
             .m_streamOrigins = m_streamOrigins,
             .m_serviceEnd = m_serviceEnd,
             .m_silence = m_silence,
             .m_queues = m_queues,
             .m_residencyConflicts = m_residencyConflicts,
             .m_performance = m_performance,
             .m_backlogs = m_backlogs,
             .m_arrivals = m_arrivals,
             .m_split = m_split,
             .m_metrics = m_metrics,
             .m_backendUpstream = m_upstream,
             .m_peerUpstream = m_upstream }
  , m_peer(m_state, [](const std::string& aCall) { return aCall; })
{
  m_config.OnAccepted(
    [this](const FleetConfig& aConfig) { m_rates.Configure(aConfig); });
  Configure();
  for (const char* id : { "s1", "s2", "e1", "e2", "t1", "t2" }) {
    m_registry.Put(RecordOf(id));
  }
  const FleetMember rows[] = { Member("south-1", kSouth, kSouthPeer) };
  m_fleet.Merge(rows, rows[0].m_id);
}

GatewayFixture::~GatewayFixture()
{
  for (Outcome& outcome : m_outcomes) {
    outcome.m_cancel.Cancel(ResultCode::CallerGone);
  }
  m_context.restart();
  m_context.poll();
}

ServerRecord
GatewayFixture::RecordOf(const char* aId) const
{
  static const std::map<std::string, const char*> kAddresses = {
    { "s1", kServerOne }, { "s2", kServerTwo },   { "e1", kEngineA },
    { "e2", kEngineB },   { "t1", "10.2.0.1:1" }, { "t2", kSouthEngine },
  };
  const std::string id(aId);
  const bool isEngine = id.front() == 'e' || id == "t2";
  return { .m_id = BackendServerId(id),
           .m_startedAtMs = 1,
           .m_pool = isEngine ? kEngines : kPlain,
           .m_endpoint = ParseEndpoint(kAddresses.at(id)),
           .m_zone = id.front() == 't' ? kSouthZone : kNorthZone,
           .m_slots = 4,
           .m_softwareVersion = "v1" };
}

void
GatewayFixture::Configure(bool aHasKey)
{
  m_config.Offer(
    std::make_shared<FleetConfig>(GatewayTestConfig(++m_version, aHasKey)));
}

void
GatewayFixture::Script(const std::string& aEndpoint, ScriptedResponse aResponse)
{
  m_upstream.m_scripts[aEndpoint].push_back(std::move(aResponse));
}

void
GatewayFixture::ScriptAll(const ScriptedResponse& aResponse, int aTimes)
{
  for (int time = 0; time < aTimes; ++time) {
    for (const char* endpoint :
         { kServerOne, kServerTwo, kEngineA, kEngineB }) {
      Script(endpoint, aResponse);
    }
  }
}

InboundRequest
GatewayFixture::BuildInboundRequest(const GatewayTestRequest& aRequest)
{
  InboundRequest request{ .m_method = aRequest.m_method,
                          .m_target = aRequest.m_target,
                          .m_headers = aRequest.m_headers,
                          .m_begunAt = m_clock.SteadyNow(),
                          .m_receivedAt = m_clock.SteadyNow() };
  request.m_headers.push_back({ "host", aRequest.m_host });
  request.m_headers.push_back({ "id", std::to_string(++m_nextRequest) });
  if (!aRequest.m_key.empty()) {
    request.m_headers.push_back({ "key", aRequest.m_key });
  }
  return request;
}

Outcome&
GatewayFixture::StartAt(RequestHandler& aHandler, InboundRequest aRequest)
{
  Outcome& outcome = m_outcomes.emplace_back();
  asio::co_spawn(m_context,
                 HandleAndRecord(aHandler, std::move(aRequest), outcome),
                 asio::detached);
  m_context.restart();
  m_context.poll();
  return outcome;
}

Outcome&
GatewayFixture::Start(const GatewayTestRequest& aRequest)
{
  return StartAt(m_entry, BuildInboundRequest(aRequest));
}

Outcome&
GatewayFixture::Finish(Outcome& aOutcome)
{
  REQUIRE(aOutcome.m_isDone);
  return aOutcome;
}

Outcome&
GatewayFixture::SendRequest(const GatewayTestRequest& aRequest)
{
  return Finish(Start(aRequest));
}

Outcome&
GatewayFixture::SendPeerRequest(const GatewayTestRequest& aRequest,
                                const HeaderFields& aHopFields)
{
  InboundRequest request = BuildInboundRequest(aRequest);
  request.m_headers.insert(
    request.m_headers.end(), aHopFields.begin(), aHopFields.end());
  return Finish(StartAt(m_peer, std::move(request)));
}

void
GatewayFixture::Advance(milliseconds aDuration)
{
  // Waiting requests are rechecked at least at this interval.
  constexpr milliseconds kStep{ 25 };
  for (milliseconds passed{}; passed < aDuration; passed += kStep) {
    m_clock.Advance(kStep);
    m_queues.WakeAll();
    m_context.restart();
    m_context.poll();
  }
}

std::size_t
GatewayFixture::SentTo(const std::string& aEndpoint) const
{
  std::size_t count = 0;
  for (const ScriptedUpstream::Sent& sent : m_upstream.m_sent) {
    count += sent.m_endpoint == aEndpoint ? 1 : 0;
  }
  return count;
}

std::string
GatewayFixture::SentField(std::size_t aIndex, const char* aName) const
{
  REQUIRE(aIndex < m_upstream.m_sent.size());
  return ValueOf(m_upstream.m_sent[aIndex].m_request.m_headers, aName);
}

} // namespace rattanweir
