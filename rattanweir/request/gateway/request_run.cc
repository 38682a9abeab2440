#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/request_run.h"

#include "rattanweir/process/logging/log.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/gateway/build_placement_input.h"
#include "rattanweir/request/gateway/gateway_admission.h"
#include "rattanweir/request/gateway/server_choices.h"
#include "rattanweir/request/gateway/server_dispatch.h"
#include "rattanweir/request/placement/placement_input.h"

#include <algorithm>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// While a request waits in line, the line is looked at this often even if
// nothing is known to have changed: reports age and cold servers warm up.
constexpr milliseconds kLookAgain{ 20 };
// Below this a repeated request has no chance.
constexpr milliseconds kMinTimeForRepeat{ 20 };
// Dispatches that a server states not to have run, beyond the route's
// attempts.
constexpr unsigned kUnrunDispatches = 2;
constexpr unsigned kServerErrors = 500;

std::string
MillisecondsText(nanoseconds aDuration)
{
  return std::to_string(duration_cast<milliseconds>(aDuration).count());
}

// The error of an exchange with a peer in the words for peers.
RequestError
AsPeerError(const RequestError& aError)
{
  switch (aError.Code()) {
    case ResultCode::BackendConnectFailed:
      return { ResultCode::PeerUnreachable, aError.what(), aError.HasRun() };
    case ResultCode::BackendReset:
      return { ResultCode::PeerLost, aError.what(), aError.HasRun() };
    default:
      return aError;
  }
}

// The refusal that a peer wrote, if the answer is one.
std::optional<RequestError>
PeerRefusal(const ResponseHead& aHead)
{
  const std::string* result = FindHeader(aHead.m_headers, kHopResultField);
  if (result == nullptr) {
    return std::nullopt;
  }
  const std::string* ranText = FindHeader(aHead.m_headers, kHopRanField);
  const auto ran = ranText == nullptr ? std::nullopt : RanFromText(*ranText);
  const auto number = ParseDecimal(*result);
  const auto code = number
                      ? ResultCodeFromNumber(static_cast<unsigned>(*number))
                      : std::nullopt;
  std::optional<milliseconds> retryAfter;
  if (const std::string* text =
        FindHeader(aHead.m_headers, kHopRetryAfterField)) {
    if (const auto parsed = ParseDecimal(*text)) {
      retryAfter = milliseconds(*parsed);
    }
  }
  return RequestError(code.value_or(ResultCode::InternalError),
                      "refused by the peer",
                      ran.value_or(Ran::Maybe),
                      retryAfter);
}

} // namespace

RequestRun::RequestRun(const RequestRunOptions& aOptions)
  : m_state(aOptions.m_state)
  , m_request(aOptions.m_request)
  , m_sink(aOptions.m_sink)
  , m_cancel(aOptions.m_cancel)
{
}

Task<void>
RequestRun::Run()
{
  // A forwarded request was counted where it came from.
  if (!m_request.m_forwardedBy) {
    m_state.m_retries.AddRequest(m_request.m_pool);
  }
  for (;;) {
    CheckNotEnded();
    co_await WaitForPlace();
    const PlacementInput input = BuildPlacementInput(Query());
    const Placement placement = DecidePlacement(input);
    if (const auto* refusal = std::get_if<Refuse>(&placement)) {
      ThrowRefusal(*refusal);
    }
    if (std::holds_alternative<KeepQueued>(placement)) {
      continue;
    }
    const Failure failure = co_await SendTo(input, placement);
    if (!failure) {
      co_return;
    }
    ThrowUnlessRepeated(*failure);
  }
}

void
RequestRun::ThrowRefusal(const Refuse& aRefusal) const
{
  if (m_lastFailure) {
    throw WithRan(*m_lastFailure);
  }
  throw RequestError(aRefusal.m_hasServers ? ResultCode::DeadlineTooShort
                                           : ResultCode::NoBackendServer,
                     aRefusal.m_hasServers ? "no server could begin in time"
                                           : "no backend server takes work",
                     Ran::No,
                     std::chrono::ceil<milliseconds>(aRefusal.m_retryAfter));
}

void
RequestRun::CheckNotEnded() const
{
  if (const auto reason = m_cancel.Reason()) {
    throw RequestError(*reason, "the request was ended", m_report.m_ran);
  }
  if (TimeLeft() < milliseconds(1)) {
    throw RequestError(m_report.m_ran == Ran::No ? ResultCode::DeadlineTooShort
                                                 : ResultCode::DeadlineExceeded,
                       "no time is left before the deadline",
                       m_report.m_ran);
  }
}

// Returns once the request is due and there is something else to do than wait.
Task<void>
RequestRun::WaitForPlace()
{
  WaitQueue& queue = m_state.m_queues.QueueOf(m_request.m_pool);
  const Rank rank{ .m_priority = m_request.m_priority,
                   .m_arrivedAt = m_request.m_receivedAt };
  const auto hasPlace = [this] {
    return !std::holds_alternative<KeepQueued>(
      DecidePlacement(BuildPlacementInput(Query())));
  };
  if (!queue.HasBefore(rank) && hasPlace()) {
    co_return;
  }
  const SteadyTime began = m_state.m_clock.SteadyNow();
  const SteadyTime until =
    m_request.m_receivedAt +
    LongestWait(m_request.m_route.m_latencyObjective,
                m_request.m_deadline - m_request.m_receivedAt);
  const WaitQueue::Place place(queue, rank);
  while (!place.IsFirst() || !hasPlace()) {
    if (m_state.m_clock.SteadyNow() >= until) {
      ThrowWaitedTooLong();
    }
    co_await place.Wait(kLookAgain, m_cancel);
    m_report.m_waited = m_state.m_clock.SteadyNow() - began;
    CheckNotEnded();
  }
}

void
RequestRun::ThrowWaitedTooLong() const
{
  if (m_lastFailure) {
    throw WithRan(*m_lastFailure);
  }
  throw RequestError(ResultCode::TooManyRequests,
                     "every backend server is full",
                     Ran::No,
                     std::chrono::ceil<milliseconds>(
                       m_state.m_queues.SlotTimeOf(m_request.m_pool)));
}

PlaceQuery
RequestRun::Query() const
{
  return { .m_state = m_state,
           .m_request = m_request,
           .m_triedServers = m_triedServers,
           .m_triedPeers = m_triedPeers };
}

Task<RequestRun::Failure>
RequestRun::SendTo(const PlacementInput& aQuery, const Placement& aPlacement)
{
  m_report.m_began.reset();
  ++m_report.m_sent;
  try {
    if (const auto* server =
          std::get_if<rattanweir::SendToServer>(&aPlacement)) {
      m_report.m_estimate = server->m_estimate;
      co_await SendToServer(aQuery.m_servers[server->m_index]);
    } else {
      const auto& region = std::get<rattanweir::SendToRegion>(aPlacement);
      m_report.m_estimate = region.m_estimate;
      co_await SendToRegion(aQuery.m_regions[region.m_index].m_region);
    }
  } catch (const RequestError& error) {
    m_report.m_ran = std::max(m_report.m_ran, error.HasRun());
    m_report.m_runs += error.HasRun() == Ran::No ? 0 : 1;
    co_return error;
  }
  m_report.m_ran = Ran::Yes;
  ++m_report.m_runs;
  co_return std::nullopt;
}

double
RequestRun::StretchAt(const ServerChoice& aChoice) const
{
  const double waiting =
    EstimateOccupancy(BuildPlacementInput(Query()), aChoice) + 1 -
    aChoice.m_slots;
  return 1 + std::max(0.0, waiting) / aChoice.m_slots;
}

std::optional<Endpoint>
RequestRun::EndpointOf(const std::optional<BackendServerId>& aServer) const
{
  const KnownServer* known =
    aServer ? m_state.m_registry.Find(*aServer) : nullptr;
  return known == nullptr ? std::nullopt
                          : std::optional(known->m_record.m_endpoint);
}

Task<void>
RequestRun::SendToServer(ServerChoice aChoice)
{
  const KnownServer* known = m_state.m_registry.Find(aChoice.m_incarnation);
  if (known == nullptr) {
    throw RequestError(ResultCode::NoBackendServer, "it is gone", Ran::No);
  }
  const KnownServer server = *known;
  m_triedServers.insert(server.m_incarnation);
  m_report.m_place = server.m_incarnation.Value();
  m_report.m_loadAge.reset();
  if (aChoice.m_state.m_queue) {
    m_report.m_loadAge =
      m_state.m_clock.SteadyNow() - aChoice.m_state.m_queue->m_at;
  }
  if (server.m_coldUntil > m_state.m_clock.SteadyNow()) {
    m_state.m_coldAllowance.Take(
      ColdQueryFor(m_state, *m_request.m_config, server));
  }
  const Pool* pool = m_request.m_config->FindPool(m_request.m_pool);
  ServerDispatch dispatch({ .m_clock = m_state.m_clock,
                            .m_backends = m_state.m_backends,
                            .m_queues = m_state.m_queues,
                            .m_server = server.m_incarnation,
                            .m_pool = m_request.m_pool,
                            .m_uncached = aChoice.m_uncached,
                            .m_queueingFactor = StretchAt(aChoice) });
  HeaderFields fields = m_state.m_protocol.BackendFields(
    { .m_id = m_request.m_info.m_id,
      .m_server = server.m_record.m_id,
      .m_clientAccount = m_request.m_clientAccount,
      .m_timeLeft = TimeLeft(),
      .m_priority = m_request.m_priority,
      .m_isForEngine = pool != nullptr && pool->m_engine.has_value(),
      .m_copyFrom = EndpointOf(aChoice.m_copyFrom),
      .m_resumeAfter = ResumeAfter() });
  OutboundRequest outbound = MakeOutbound(std::move(fields));
  outbound.m_needsFreshConnection = !m_request.m_route.IsRepeatable();
  try {
    const auto exchange = co_await m_state.m_backendUpstream.Send(
      server.m_record.m_endpoint, std::move(outbound), m_cancel);
    if (pool != nullptr && pool->m_engine) {
      m_state.m_parts.AddDispatch(
        server.m_incarnation,
        m_request.m_chain,
        CacheShare(pool->m_engine->m_cacheTokens, InstancesInRegion(m_state)));
    }
    std::function<void()> onBegin = [&] {
      m_report.m_began = dispatch.RecordResponseStart();
    };
    co_await ReadResponse(*exchange, server, std::move(onBegin));
    dispatch.EndWith(ResultCode::Ok);
  } catch (const RequestError& error) {
    dispatch.EndWith(error.Code());
    throw;
  }
}

Task<void>
RequestRun::ReadResponse(UpstreamExchange& aExchange,
                         const KnownServer& aServer,
                         std::function<void()> aOnBegin)
{
  ResponseHead head = co_await aExchange.ReadHead();
  const ResponseInfo facts = m_state.m_protocol.ReadResponse(head);
  NoteServerWords(aServer, facts);
  CheckResponse(head, facts);
  ResponsePass pass({ .m_sink = m_sink,
                      .m_progress = m_progress,
                      .m_onBegin = std::move(aOnBegin) });
  co_await pass.Run(aExchange, std::move(head));
}

void
RequestRun::NoteServerWords(const KnownServer& aServer,
                            const ResponseInfo& aInfo)
{
  if (aInfo.m_isMisdirected) {
    m_state.m_registry.MarkReplaced(aServer.m_incarnation);
    Log(LogLevel::Info,
        "server_replaced",
        { { "server", aServer.m_incarnation.Value() },
          { "address", aServer.m_record.m_endpoint.ToString() } });
    return;
  }
  if (aInfo.m_queue) {
    m_state.m_backends.ReportQueue(aServer.m_incarnation,
                                   aInfo.m_queue->m_running,
                                   aInfo.m_queue->m_waiting,
                                   aInfo.m_queue->m_slots);
  }
  if (aInfo.m_coldRemaining) {
    m_state.m_registry.MarkCold(aServer.m_incarnation, *aInfo.m_coldRemaining);
  }
}

// Throws what the head says other than an answer that is passed on.
void
RequestRun::CheckResponse(const ResponseHead& aHead,
                          const ResponseInfo& aInfo) const
{
  if (aInfo.m_request && *aInfo.m_request != m_request.m_info.m_id) {
    throw RequestError(ResultCode::AnswerMismatch,
                       "the answer is to another request");
  }
  if (aInfo.m_isNotRun || aInfo.m_isMisdirected) {
    throw RequestError(ResultCode::BackendRefused,
                       "the server did not run it: status " +
                         std::to_string(aHead.m_status),
                       Ran::No);
  }
  const bool isSuccess = aHead.m_status >= 200 && aHead.m_status < 300;
  if (isSuccess && (!aInfo.m_isSealed || aInfo.m_isEncoded)) {
    throw RequestError(ResultCode::AnswerMismatch,
                       "the answer is not a backend server's");
  }
  const bool mayRepeat = m_request.m_route.IsRepeatable() &&
                         m_report.m_runs + 1 < m_request.m_route.m_attempts &&
                         !m_request.m_forwardedBy;
  if (aHead.m_status >= kServerErrors && mayRepeat) {
    throw RequestError(ResultCode::BackendFailed,
                       "the server answered " + std::to_string(aHead.m_status),
                       Ran::Yes);
  }
}

Task<void>
RequestRun::SendToRegion(RegionId aRegion)
{
  std::vector<const FleetMember*> peers;
  for (const FleetMember* peer : m_state.m_fleet.Serving()) {
    if (peer->m_region == aRegion && !m_triedPeers.contains(peer->m_id)) {
      peers.push_back(peer);
    }
  }
  if (peers.empty()) {
    throw RequestError(ResultCode::PeerUnreachable, "no peer there", Ran::No);
  }
  const FleetMember peer = *peers[UniformIndex(m_state.m_random, peers.size())];
  m_triedPeers.insert(peer.m_id);
  m_report.m_place = peer.m_id.Value();
  m_report.m_loadAge.reset();
  m_state.m_metrics.Count("rattanweir_forwarded_total");
  HeaderFields fields = {
    { kHopFromField, m_state.m_fleet.Self().m_id.Value() },
    { kHopAccountField, m_request.m_clientAccount.Value() },
    { kHopPoolField, m_request.m_pool.Value() },
    { kHopTimeLeftField, MillisecondsText(TimeLeft()) },
  };
  const auto resumeAfter = ResumeAfter();
  OutboundRequest outbound =
    MakeOutbound(m_state.m_protocol.PeerFields(resumeAfter));
  std::move(
    fields.begin(), fields.end(), std::back_inserter(outbound.m_headers));
  RegionDispatch dispatch({ .m_clock = m_state.m_clock,
                            .m_regions = m_state.m_regions,
                            .m_key = RegionKey(aRegion, m_request.m_pool) });
  bool isPeersWord = false;
  try {
    const auto exchange = co_await m_state.m_peerUpstream.Send(
      peer.m_peerAddress, std::move(outbound), m_cancel);
    ResponseHead head = co_await exchange->ReadHead();
    if (const auto refusal = PeerRefusal(head)) {
      isPeersWord = true;
      throw RequestError(*refusal);
    }
    CheckResponse(head, m_state.m_protocol.ReadResponse(head));
    ResponsePass pass(
      { .m_sink = m_sink, .m_progress = m_progress, .m_onBegin = [&] {
         m_report.m_began =
           dispatch.RecordResponseStart(PromptTokens(m_request));
       } });
    co_await pass.Run(*exchange, std::move(head));
    dispatch.EndWith(ResultCode::Ok);
  } catch (const RequestError& error) {
    dispatch.EndWith(error.Code());
    if (error.Code() == ResultCode::BackendConnectFailed) {
      m_state.m_fleet.MarkUnreachable(peer.m_id);
      Log(LogLevel::Warning,
          "peer_unreachable",
          { { "peer", peer.m_id.Value() }, { "detail", error.what() } });
    }
    if (isPeersWord) {
      throw;
    }
    throw AsPeerError(error);
  }
}

OutboundRequest
RequestRun::MakeOutbound(HeaderFields aAddedFields) const
{
  OutboundRequest outbound{ .m_method = m_request.m_method,
                            .m_target = m_request.m_target,
                            .m_headers = m_request.m_info.m_forwardedFields,
                            .m_body = m_request.m_body,
                            .m_deadline = m_request.m_deadline };
  std::move(aAddedFields.begin(),
            aAddedFields.end(),
            std::back_inserter(outbound.m_headers));
  return outbound;
}

std::optional<std::string>
RequestRun::ResumeAfter() const
{
  return m_progress.m_lastEvent ? std::to_string(*m_progress.m_lastEvent)
                                : m_request.m_info.m_resumeAfter;
}

void
RequestRun::ThrowUnlessRepeated(const RequestError& aFailure)
{
  const FleetRoute& route = m_request.m_route;
  const bool hasRun = aFailure.HasRun() != Ran::No;
  const bool isOurs = aFailure.Code() == ResultCode::CallerGone ||
                      aFailure.Code() == ResultCode::CallerTooSlow ||
                      aFailure.Code() == ResultCode::DeadlineExceeded ||
                      aFailure.Code() == ResultCode::InstanceDraining;
  const bool mayRunAgain = route.IsRepeatable() &&
                           m_report.m_runs < route.m_attempts &&
                           !m_request.m_forwardedBy &&
                           (!m_progress.m_hasHead || route.m_resumesStreams) &&
                           !m_progress.m_isUnnumbered;
  const bool mayBeSent = m_report.m_sent < route.m_attempts + kUnrunDispatches;
  const bool isPermitted = !isOurs && mayBeSent && (!hasRun || mayRunAgain) &&
                           TimeLeft() >= kMinTimeForRepeat;
  // A request that reached no server is no repeat for the next one.
  const bool isRepeat = aFailure.Code() != ResultCode::BackendConnectFailed &&
                        aFailure.Code() != ResultCode::PeerUnreachable;
  if (!isPermitted ||
      (isRepeat && !m_state.m_retries.TakeRetry(m_request.m_pool))) {
    throw WithRan(aFailure);
  }
  m_state.m_metrics.CountRetry(aFailure.Code());
  Log(LogLevel::Info,
      "request_repeated",
      { { "request", m_request.m_info.m_id.Value() },
        { "reason", std::string(InfoOf(aFailure.Code()).m_name) },
        { "ran", std::string(RanText(aFailure.HasRun())) },
        { "place", m_report.m_place },
        { "runs", std::to_string(m_report.m_runs) },
        { "time_left_ms", MillisecondsText(TimeLeft()) },
        { "detail", aFailure.what() } });
  m_lastFailure = aFailure;
}

RequestError
RequestRun::WithRan(const RequestError& aError) const
{
  return { aError.Code(),
           aError.what(),
           std::max(aError.HasRun(), m_report.m_ran),
           aError.RetryAfter() };
}

nanoseconds
RequestRun::TimeLeft() const
{
  return m_request.m_deadline - m_state.m_clock.SteadyNow();
}

} // namespace rattanweir
