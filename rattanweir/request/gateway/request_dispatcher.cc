#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/request_dispatcher.h"

#include "rattanweir/process/logging/log.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/gateway/build_placement_input.h"
#include "rattanweir/request/gateway/gateway_admission.h"
#include "rattanweir/request/gateway/observed_exchange.h"
#include "rattanweir/request/gateway/server_candidates.h"
#include "rattanweir/request/gateway/server_dispatch.h"
#include "rattanweir/request/placement/placement_input.h"

#include <algorithm>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// A retry with less time left could not complete.
constexpr milliseconds kMinTimeForRetry{ 20 };
// Dispatches beyond the route's attempts, for those that a server states not to
// have run.
constexpr unsigned kExtraDispatchesNotRun = 2;
// Dispatches for which no connection is made, beyond those.
constexpr unsigned kMaxUnsentDispatches = 8;
constexpr unsigned kMinServerErrorStatus = 500;
// The longest pause that a server gets at a time: after it, one request asks
// again.
constexpr std::chrono::seconds kMaxPause{ 60 };
constexpr std::chrono::seconds kMaxReturnSpread{ 1 };

// Converts the error of an exchange with a backend server to that of an
// exchange with a peer.
RequestError
ToPeerError(const RequestError& aError)
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

// Parses a peer's refusal; nullopt if the response is not a refusal.
std::optional<RequestError>
ParsePeerRefusal(const ResponseHead& aHead)
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

RunClass
RunClassOf(const AdmittedRequest& aRequest)
{
  return { .m_route = aRequest.m_route.m_id, .m_pool = aRequest.m_pool };
}

const char*
TextOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::NoServer:
      return "no backend server accepts requests";
    case RefusalReason::ServersUnreachable:
      return "this instance reaches none of the backend servers";
    case RefusalReason::DeadlineTooShort:
      return "no backend server can start the response before the deadline";
    case RefusalReason::RateLimitsReached:
      return "all backend servers are paused or have reached their rate limits";
  }
  return "";
}

} // namespace

RequestDispatcher::RequestDispatcher(const RequestDispatcherOptions& aOptions)
  : m_state(aOptions.m_state)
  , m_request(aOptions.m_request)
  , m_sink(aOptions.m_sink)
  , m_cancel(aOptions.m_cancel)
  , m_isBound(aOptions.m_request.m_softwareVersion.has_value())
  , m_version(aOptions.m_request.m_softwareVersion)
{
}

Task<void>
RequestDispatcher::Run()
{
  // The peer that forwarded a request has counted it.
  if (!m_request.m_forwardedBy) {
    m_state.m_retries.AddRequest(m_request.m_pool);
    DrawSpillover();
  }
  for (;;) {
    ThrowIfEnded();
    co_await WaitForDestination();
    ThrowIfQuarantined();
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
    ThrowUnlessRetried(*failure);
  }
}

void
RequestDispatcher::ThrowRefusal(const Refuse& aRefusal) const
{
  const std::optional<nanoseconds> pauseLeft = PauseLeft();
  const auto retryAfter = std::chrono::ceil<milliseconds>(
    std::max(aRefusal.m_retryAfter, pauseLeft.value_or(nanoseconds::zero())));
  if (m_lastFailure && (m_report.m_ran != Ran::No || !pauseLeft)) {
    throw WithRan(*m_lastFailure);
  }
  if (m_lastFailure) {
    throw RequestError(
      m_lastFailure->Code(), m_lastFailure->what(), Ran::No, retryAfter);
  }
  if (aRefusal.m_reason == RefusalReason::NoServer && RequiredVersion()) {
    throw RequestError(
      ResultCode::StreamNotResumable,
      "no server of the software version that began the stream is left",
      Ran::No);
  }
  throw RequestError(ResultCodeOf(aRefusal.m_reason),
                     TextOf(aRefusal.m_reason),
                     Ran::No,
                     retryAfter);
}

std::optional<nanoseconds>
RequestDispatcher::PauseLeft() const
{
  std::optional<nanoseconds> left;
  for (const RegisteredServer* server : m_state.m_registry.ServersOf(
         m_request.m_pool, m_state.m_fleet.Self().m_region)) {
    if (!server->AcceptsRequests()) {
      continue;
    }
    const auto until =
      m_state.m_backends.StateOf(server->m_incarnation).m_pausedUntil;
    if (!until) {
      return std::nullopt;
    }
    const nanoseconds remaining = *until - m_state.m_clock.SteadyNow();
    left = std::min(left.value_or(remaining), remaining);
  }
  return left;
}

void
RequestDispatcher::ThrowIfEnded() const
{
  if (const auto reason = m_cancel.Reason()) {
    throw RequestError(*reason, "the request was cancelled", m_report.m_ran);
  }
  if (TimeLeft() < milliseconds(1)) {
    throw RequestError(m_report.m_ran == Ran::No ? ResultCode::DeadlineTooShort
                                                 : ResultCode::DeadlineExceeded,
                       "no time is left before the deadline",
                       m_report.m_ran);
  }
  CheckServiceEnd(m_state, m_request, m_report.m_ran);
}

// What was admitted may have been quarantined while it waited.
void
RequestDispatcher::ThrowIfQuarantined() const
{
  const QuarantinedGroup* group =
    m_state.m_quarantine.FindGroup(m_request.m_suspects);
  if (group == nullptr || m_request.m_isQuarantineTrial) {
    return;
  }
  if (m_lastFailure) {
    throw WithRan(*m_lastFailure);
  }
  throw QuarantineError(*group, m_report.m_ran);
}

// Returns once no queued request precedes this one and the placement decision
// is not KeepQueued.
Task<void>
RequestDispatcher::WaitForDestination()
{
  if (m_state.m_performance.IsProfiled(m_request.m_pool)) {
    co_return co_await WaitInShortage();
  }
  WaitQueue& queue = m_state.m_queues.QueueOf(m_request.m_pool);
  const SchedulingKey schedulingKey{ .m_priority = m_request.m_priority,
                                     .m_arrivedAt = m_request.m_receivedAt };
  PlacementInput input = BuildPlacementInput(Query());
  input.m_requestsAhead = queue.SizeUpToPriority(m_request.m_priority);
  const Placement placement = DecidePlacement(input);
  if (const auto* refusal = std::get_if<Refuse>(&placement)) {
    ThrowRefusal(*refusal);
  }
  if (!queue.HasWaiterAheadOf(schedulingKey) &&
      !std::holds_alternative<KeepQueued>(placement)) {
    co_return;
  }
  const auto canProceed = [this] {
    return !std::holds_alternative<KeepQueued>(
      DecidePlacement(BuildPlacementInput(Query())));
  };
  const SteadyTime waitStart = m_state.m_clock.SteadyNow();
  const SteadyTime waitDeadline =
    m_request.m_receivedAt +
    MaxQueueWait(m_request.m_route.m_latencyObjective,
                 m_request.m_deadline - m_request.m_receivedAt);
  const WaitQueue::Waiter waiter(queue, schedulingKey);
  while (!waiter.IsFirst() || !canProceed()) {
    if (m_state.m_clock.SteadyNow() >= waitDeadline) {
      ThrowWaitedTooLong();
    }
    co_await waiter.Wait(kQueueRecheckInterval, m_cancel);
    m_report.m_queueWait = m_state.m_clock.SteadyNow() - waitStart;
    ThrowIfEnded();
  }
}

void
RequestDispatcher::ThrowWaitedTooLong() const
{
  if (m_lastFailure) {
    throw WithRan(*m_lastFailure);
  }
  throw RequestError(ResultCode::TooManyRequests,
                     "all backend servers are at capacity",
                     Ran::No,
                     std::chrono::ceil<milliseconds>(
                       m_state.m_queues.SlotTimeOf(m_request.m_pool)));
}

PlacementQuery
RequestDispatcher::Query() const
{
  return { .m_state = m_state,
           .m_request = m_request,
           .m_triedServers = m_triedServers,
           .m_triedPeers = m_triedPeers,
           .m_softwareVersion = RequiredVersion(),
           .m_spillover = m_spillover };
}

Task<RequestDispatcher::Failure>
RequestDispatcher::SendTo(const PlacementInput& aInput,
                          const Placement& aPlacement)
{
  m_report.m_timeToFirstByte.reset();
  m_progress.m_eventsInAttempt = 0;
  m_wasTurnedAway = false;
  m_report.m_knownRuns =
    m_state.m_serviceEnd.Decide(ServiceEndQueryFor(m_request)).m_runs;
  ++m_report.m_dispatches;
  m_state.m_backlogs.Of(m_request.m_pool).RecordDispatch();
  const SteadyTime sentAt = m_state.m_clock.SteadyNow();
  try {
    if (const auto* server =
          std::get_if<rattanweir::SendToServer>(&aPlacement)) {
      m_report.m_estimatedStartDelay = server->m_estimate;
      const ServerCandidate& candidate = aInput.m_servers[server->m_index];
      std::optional<StartExpectation> expectation;
      if (candidate.m_profile) {
        expectation.emplace(StartExpectation{
          .m_performance = m_state.m_performance,
          .m_estimate = server->m_estimate,
          .m_withoutExcessDelay = EstimateWithoutExcessDelay(aInput, candidate),
          .m_tokens = candidate.m_uncached });
      }
      co_await SendToServer(candidate, std::move(expectation));
    } else {
      const auto& region = std::get<rattanweir::SendToRegion>(aPlacement);
      m_report.m_estimatedStartDelay = region.m_estimate;
      const RegionCandidate& candidate = aInput.m_regions[region.m_index];
      std::optional<StartExpectation> expectation;
      if (candidate.m_profile) {
        expectation.emplace(
          StartExpectation{ .m_performance = m_state.m_performance,
                            .m_estimate = region.m_estimate,
                            .m_withoutExcessDelay = region.m_estimate,
                            .m_tokens = candidate.m_uncached });
      }
      co_await SendToRegion(candidate.m_region, std::move(expectation));
    }
  } catch (const RequestError& error) {
    m_report.m_ran = std::max(m_report.m_ran, error.HasRun());
    m_report.m_possibleRuns += error.HasRun() == Ran::No ? 0 : 1;
    m_report.m_running = m_state.m_clock.SteadyNow() - sentAt;
    m_report.m_events = m_progress.m_eventsInAttempt;
    if (m_run) {
      m_report.m_sinceLastBytes = m_run->SinceLastBytes();
      RecordUnfinishedRun(error.Code());
      m_run.reset();
    }
    co_return error;
  }
  m_report.m_ran = Ran::Yes;
  ++m_report.m_possibleRuns;
  m_state.m_serviceEnd.RecordRun(RunClassOf(m_request),
                                 m_state.m_clock.SteadyNow() - sentAt -
                                   m_run->SilentTime());
  m_run.reset();
  co_return std::nullopt;
}

void
RequestDispatcher::RecordUnfinishedRun(ResultCode aCode)
{
  if (aCode == ResultCode::DeadlineExceeded ||
      aCode == ResultCode::CallerGone) {
    m_state.m_serviceEnd.RecordUnfinishedRun(
      RunClassOf(m_request), m_report.m_running - m_run->SilentTime());
  }
}

double
RequestDispatcher::QueueingFactorAt(const ServerCandidate& aCandidate) const
{
  const double waiting =
    EstimateOccupancy(BuildPlacementInput(Query()), aCandidate) + 1 -
    aCandidate.m_slots;
  return 1 + std::max(0.0, waiting) / aCandidate.m_slots;
}

std::optional<Endpoint>
RequestDispatcher::EndpointOf(
  const std::optional<BackendServerId>& aServer) const
{
  const RegisteredServer* known =
    aServer ? m_state.m_registry.Find(*aServer) : nullptr;
  return known == nullptr ? std::nullopt
                          : std::optional(known->m_record.m_endpoint);
}

Task<void>
RequestDispatcher::SendToServer(ServerCandidate aCandidate,
                                std::optional<StartExpectation> aExpectation)
{
  const RegisteredServer* known =
    m_state.m_registry.Find(aCandidate.m_incarnation);
  if (known == nullptr) {
    throw RequestError(
      ResultCode::NoBackendServer, "the backend server was removed", Ran::No);
  }
  const RegisteredServer server = *known;
  m_triedServers.insert(server.m_incarnation);
  m_report.m_destination = server.m_incarnation.Value();
  m_report.m_loadAge.reset();
  if (aCandidate.m_state.m_queue) {
    m_report.m_loadAge =
      m_state.m_clock.SteadyNow() - aCandidate.m_state.m_queue->m_at;
  }
  const Pool* pool = m_request.m_config->FindPool(m_request.m_pool);
  if (pool != nullptr) {
    RecordLimitedRequest(*pool, server);
  }
  ServerDispatch dispatch({ .m_clock = m_state.m_clock,
                            .m_backends = m_state.m_backends,
                            .m_queues = m_state.m_queues,
                            .m_server = server.m_incarnation,
                            .m_pool = m_request.m_pool,
                            .m_uncached = aCandidate.m_uncached,
                            .m_queueingFactor = QueueingFactorAt(aCandidate),
                            .m_expectation = aExpectation });
  OutboundRequest outbound = MakeServerRequest(aCandidate, server, pool);
  const SteadyTime sentAt = m_state.m_clock.SteadyNow();
  m_run.emplace(m_state.m_silence, server.m_incarnation);
  try {
    const auto sent = co_await m_state.m_backendUpstream.Send(
      server.m_record.m_endpoint, std::move(outbound), m_cancel);
    ObservedExchange exchange(*sent, *m_run);
    if (pool != nullptr && pool->m_engine) {
      m_state.m_parts.AddDispatch(
        server.m_incarnation,
        m_request.m_partChain,
        CacheShare(pool->m_engine->m_cacheTokens, InstancesInRegion(m_state)));
    }
    std::function<void()> onFirstByte = [&] {
      m_report.m_timeToFirstByte = dispatch.RecordResponseStart();
    };
    co_await ReadResponse(exchange, server, sentAt, std::move(onFirstByte));
    if (!m_wasTurnedAway) {
      dispatch.EndWith(ResultCode::Ok);
    }
  } catch (const RequestError& error) {
    RecordFailure(server, error);
    // Turning a request away is no failure.
    if (!m_wasTurnedAway) {
      dispatch.EndWith(error.Code());
    }
    throw;
  }
}

OutboundRequest
RequestDispatcher::MakeServerRequest(const ServerCandidate& aCandidate,
                                     const RegisteredServer& aServer,
                                     const Pool* aPool) const
{
  HeaderFields fields = m_state.m_protocol.BackendFields(
    { .m_id = m_request.m_info.m_id,
      .m_server = aServer.m_record.m_id,
      .m_clientAccount = m_request.m_clientAccount,
      .m_timeLeft = TimeLeft(),
      .m_priority = m_request.m_priority,
      .m_isForEngine = aPool != nullptr && aPool->m_engine.has_value(),
      .m_copyFrom = EndpointOf(aCandidate.m_copyFrom),
      .m_resumeAfter = ResumeAfter() });
  OutboundRequest outbound = MakeOutbound(std::move(fields));
  outbound.m_needsFreshConnection = NeedsFreshConnection();
  return outbound;
}

void
RequestDispatcher::RecordFailure(const RegisteredServer& aServer,
                                 const RequestError& aError)
{
  const Pool* pool = m_request.m_config->FindPool(m_request.m_pool);
  const bool isRefused =
    dynamic_cast<const ConnectionRefused*>(&aError) != nullptr;
  if (isRefused && pool != nullptr && !m_state.m_reach.HasLostLinks()) {
    m_state.m_registry.RecordRefusedConnection(aServer.m_incarnation,
                                               pool->m_coldDuration);
  }
  if (IsBrokenOff(aError)) {
    m_state.m_quarantine.RecordBreak(m_request.m_suspects,
                                     { .m_incarnation = aServer.m_incarnation,
                                       .m_software = aServer.Software() });
  }
}

// Returns whether the server broke the connection before it was past the start
// of its answer.
bool
RequestDispatcher::IsBrokenOff(const RequestError& aError) const
{
  return m_progress.m_eventsInAttempt <= 1 &&
         (aError.Code() == ResultCode::BackendReset ||
          aError.Code() == ResultCode::AnswerIncomplete);
}

std::function<void()>
RequestDispatcher::AnswerRecorder(SteadyTime aSentAt)
{
  return [this, aSentAt] {
    m_state.m_quarantine.RecordAnswer(m_request.m_suspects, aSentAt);
  };
}

void
RequestDispatcher::RecordLimitedRequest(const Pool& aPool,
                                        const RegisteredServer& aServer)
{
  const ServerRateInput input = ServerRateInputOf(m_state, aPool, aServer);
  const std::optional<ServerRateQuery> query = ServerRateQueryFor(input);
  if (!query) {
    return;
  }
  const bool isCold = input.HasColdLimit();
  m_state.m_metrics.Count(isCold ? "rattanweir_cold_server_requests_total"
                                 : "rattanweir_limited_server_requests_total");
  if (!m_state.m_rateLimiter.RecordRequest(*query)) {
    return;
  }
  Log(LogLevel::Info,
      isCold ? "cold_server_used" : "limited_server_used",
      { { "server", aServer.m_incarnation.Value() },
        { "instances", std::to_string(query->m_instances.size()) },
        { "per_second", std::to_string(query->m_rate.Value()) },
        { "cold_ms",
          MillisecondsText(isCold ? aServer.m_coldUntil - input.m_now
                                  : nanoseconds::zero()) } });
}

Task<void>
RequestDispatcher::ReadResponse(UpstreamExchange& aExchange,
                                const RegisteredServer& aServer,
                                SteadyTime aSentAt,
                                std::function<void()> aOnFirstByte)
{
  ResponseHead head = co_await aExchange.ReadHead();
  const ResponseInfo info = m_state.m_protocol.ReadResponse(head);
  CheckRequest(info);
  RecordServerState(aServer, info, aSentAt);
  CheckResponse(head, info);
  if (info.m_isDraining && m_request.m_forwardedBy) {
    head.m_headers.push_back(
      { kHopDrainingField, aServer.m_incarnation.Value() });
  }
  if (m_request.m_forwardedBy) {
    TakeVersion(head);
    if (const auto version = VersionOf(aServer)) {
      head.m_headers.push_back({ kHopVersionField, *version });
    }
  }
  ResponseForwarder forwarder(
    { .m_sink = m_sink,
      .m_progress = m_progress,
      .m_buffers = &m_state.m_responseBuffers,
      .m_holdsBack = HoldsBack(),
      .m_onFirstByte = std::move(aOnFirstByte),
      .m_onFirstEvent = [&] { BindToVersion(VersionOf(aServer)); },
      .m_onAnswered = AnswerRecorder(aSentAt) });
  co_await forwarder.Run(aExchange, std::move(head));
}

void
RequestDispatcher::RecordServerState(const RegisteredServer& aServer,
                                     const ResponseInfo& aInfo,
                                     SteadyTime aSentAt)
{
  if (aInfo.m_isMisdirected) {
    m_state.m_registry.MarkReplaced(aServer.m_incarnation);
    Log(LogLevel::Info,
        "server_replaced",
        { { "server", aServer.m_incarnation.Value() },
          { "address", aServer.m_record.m_endpoint.ToString() } });
    return;
  }
  if (const Pool* pool = m_request.m_config->FindPool(m_request.m_pool)) {
    m_state.m_registry.RecordResponse(
      aServer.m_incarnation, pool->m_coldDuration, aSentAt);
  }
  m_state.m_quarantine.RecordResponse(aServer.m_incarnation, aSentAt);
  if (aInfo.m_isDraining) {
    MarkDraining(m_state, aServer.m_incarnation, "response");
  }
  RecordLoad(aServer, aInfo);
  RecordPause(aServer, aInfo, aSentAt);
  if (aInfo.m_coldRemaining) {
    m_state.m_registry.MarkCold(aServer.m_incarnation, *aInfo.m_coldRemaining);
  }
  RecordServerLimit(aServer, aInfo, aSentAt);
  RecordRoom(aServer, aInfo);
}

void
RequestDispatcher::RecordLoad(const RegisteredServer& aServer,
                              const ResponseInfo& aInfo)
{
  if (aInfo.m_queue) {
    m_state.m_backends.ReportQueue(aServer.m_incarnation,
                                   aInfo.m_queue->m_running,
                                   aInfo.m_queue->m_waiting,
                                   aInfo.m_queue->m_slots);
  }
  if (aInfo.m_pace) {
    m_state.m_performance.RecordPace(
      m_request.m_pool, aServer.m_incarnation, *aInfo.m_pace);
  }
  if (!aInfo.m_hasInvalidLoad) {
    return;
  }
  m_state.m_metrics.Count("rattanweir_server_loads_invalid_total");
  if (m_state.m_performance.RecordInvalidLoad(aServer.m_incarnation)) {
    Log(LogLevel::Warning,
        "server_load_invalid",
        { { "server", aServer.m_incarnation.Value() },
          { "pool", m_request.m_pool.Value() } });
  }
}

void
RequestDispatcher::RecordRoom(const RegisteredServer& aServer,
                              const ResponseInfo& aInfo)
{
  if (aInfo.m_maxRefusals &&
      m_state.m_rooms.RecordStatement(m_request.m_pool, *aInfo.m_maxRefusals)) {
    Log(LogLevel::Info,
        "pool_bears_few_refusals",
        { { "pool", m_request.m_pool.Value() },
          { "server", aServer.m_incarnation.Value() },
          { "per_second", std::to_string(aInfo.m_maxRefusals->Value()) } });
  }
  if (!aInfo.m_isNotRun || aInfo.m_pause ||
      !m_state.m_rooms.IsLimited(m_request.m_pool)) {
    return;
  }
  RoomRefusal refusal{ .m_server = aServer.m_incarnation,
                       .m_pool = m_request.m_pool,
                       .m_slots = std::max(1U, aServer.m_record.m_slots),
                       .m_instances = InstancesInRegion(m_state) };
  if (aInfo.m_queue) {
    refusal.m_atServer = aInfo.m_queue->m_running + aInfo.m_queue->m_waiting;
  }
  m_state.m_rooms.RecordRefusal(refusal);
  m_state.m_metrics.Count("rattanweir_room_refusals_total");
  Log(LogLevel::Info,
      "server_refused_for_room",
      { { "server", aServer.m_incarnation.Value() },
        { "at_server",
          refusal.m_atServer ? std::to_string(*refusal.m_atServer) : "none" },
        { "instances", std::to_string(refusal.m_instances) } });
}

void
RequestDispatcher::RecordPause(const RegisteredServer& aServer,
                               const ResponseInfo& aInfo,
                               SteadyTime aSentAt)
{
  if (!aInfo.m_pause) {
    m_state.m_backends.RecordNoPause(aServer.m_incarnation, aSentAt);
    return;
  }
  m_wasTurnedAway = true;
  const nanoseconds pause = std::min<nanoseconds>(*aInfo.m_pause, kMaxPause);
  // Instances that were turned away together return one after the other.
  const nanoseconds spread = ScaleDuration(
    std::min<nanoseconds>(pause, kMaxReturnSpread),
    std::uniform_real_distribution<double>(0, 1)(m_state.m_random));
  m_state.m_backends.Pause(aServer.m_incarnation, pause + spread);
  m_state.m_metrics.Count("rattanweir_server_pauses_total");
  Log(LogLevel::Info,
      "server_paused",
      { { "server", aServer.m_incarnation.Value() },
        { "pause_ms", MillisecondsText(pause + spread) } });
}

void
RequestDispatcher::RecordServerLimit(const RegisteredServer& aServer,
                                     const ResponseInfo& aInfo,
                                     SteadyTime aSentAt)
{
  // Only the server's own response can end a limit.
  const bool canEndLimit = aInfo.m_isSealed || aInfo.m_isNotRun;
  if (aInfo.m_hasInvalidRequestLimit ||
      (!aInfo.m_requestLimit && !canEndLimit)) {
    return;
  }
  if (!m_state.m_serverLimits.RecordResponse(
        aServer.m_incarnation,
        { .m_named = aInfo.m_requestLimit, .m_sentAt = aSentAt })) {
    return;
  }
  const std::optional<RequestRate>& named = aInfo.m_requestLimit;
  Log(LogLevel::Info,
      named ? "server_limit_named" : "server_limit_ended",
      { { "server", aServer.m_incarnation.Value() },
        { "per_second", named ? std::to_string(named->Value()) : "none" } });
}

// Throws RequestError if the response may belong to another request: a faulty
// server may write one again, later, on a connection that is in use again.
void
RequestDispatcher::CheckRequest(const ResponseInfo& aInfo) const
{
  if (aInfo.m_request && *aInfo.m_request != m_request.m_info.m_id) {
    throw RequestError(ResultCode::AnswerMismatch,
                       "the response belongs to another request");
  }
  const bool saysNotRun = aInfo.m_isNotRun || aInfo.m_isMisdirected;
  if (saysNotRun && !aInfo.m_request && !NeedsFreshConnection()) {
    throw RequestError(ResultCode::AnswerMismatch,
                       "the refusal does not name the request");
  }
}

// Throws RequestError unless the response is to be forwarded.
void
RequestDispatcher::CheckResponse(const ResponseHead& aHead,
                                 const ResponseInfo& aInfo) const
{
  if (aInfo.m_isNotRun || aInfo.m_isMisdirected) {
    throw RequestError(ResultCode::BackendRefused,
                       "the backend server did not run the request: status " +
                         std::to_string(aHead.m_status),
                       Ran::No);
  }
  const bool isSuccess = aHead.m_status >= 200 && aHead.m_status < 300;
  if (isSuccess && (!aInfo.m_isSealed || aInfo.m_isEncoded)) {
    throw RequestError(
      ResultCode::AnswerMismatch,
      "the response was not sent by a backend server, or was re-encoded");
  }
  const bool mayRetry =
    m_request.m_route.IsRetryable() &&
    m_report.m_possibleRuns + 1 < m_request.m_route.m_maxAttempts &&
    !m_request.m_forwardedBy &&
    m_state.m_serviceEnd.MayDispatch(ServiceEndQueryFor(m_request));
  if (aHead.m_status >= kMinServerErrorStatus && mayRetry) {
    throw RequestError(ResultCode::BackendFailed,
                       "the backend server failed: status " +
                         std::to_string(aHead.m_status),
                       Ran::Yes);
  }
}

FleetMember
RequestDispatcher::ChoosePeer(const RegionId& aRegion) const
{
  const std::vector<const FleetMember*> peers =
    PeersFor(m_state, m_request.m_pool, aRegion, m_triedPeers);
  if (peers.empty()) {
    throw RequestError(ResultCode::PeerUnreachable,
                       "no peer is available in the region",
                       Ran::No);
  }
  return *peers[UniformIndex(m_state.m_random, peers.size())];
}

Task<void>
RequestDispatcher::SendToRegion(RegionId aRegion,
                                std::optional<StartExpectation> aExpectation)
{
  const FleetMember peer = ChoosePeer(aRegion);
  m_triedPeers.insert(peer.m_id);
  m_report.m_destination = peer.m_id.Value();
  m_report.m_loadAge.reset();
  const bool isLocal = aRegion == m_state.m_fleet.Self().m_region;
  m_state.m_metrics.Count(isLocal ? "rattanweir_forwarded_in_region_total"
                                  : "rattanweir_forwarded_total");
  OutboundRequest outbound =
    MakeOutbound(m_state.m_protocol.PeerFields(ResumeAfter()));
  HeaderFields added = HopFields(aRegion);
  std::move(added.begin(), added.end(), std::back_inserter(outbound.m_headers));
  RegionDispatch dispatch({ .m_clock = m_state.m_clock,
                            .m_regions = m_state.m_regions,
                            .m_key = RegionKey(aRegion, m_request.m_pool),
                            .m_hopLatency = HopLatency(isLocal),
                            .m_pool = m_request.m_pool,
                            .m_expectation = aExpectation });
  bool isPeerRefusal = false;
  const SteadyTime sentAt = m_state.m_clock.SteadyNow();
  m_run.emplace(m_state.m_silence, RegionKey(aRegion, m_request.m_pool));
  try {
    const auto sent = co_await m_state.m_peerUpstream.Send(
      peer.m_peerAddress, std::move(outbound), m_cancel);
    ObservedExchange exchange(*sent, *m_run);
    ResponseHead head = co_await exchange.ReadHead();
    if (const auto refusal = ParsePeerRefusal(head)) {
      isPeerRefusal = true;
      throw RequestError(*refusal);
    }
    TakeDrainingServer(peer.m_id, head);
    const std::optional<std::string> version = TakeVersion(head);
    const ResponseInfo info = m_state.m_protocol.ReadResponse(head);
    CheckRequest(info);
    CheckResponse(head, info);
    ResponseForwarder forwarder(
      { .m_sink = m_sink,
        .m_progress = m_progress,
        .m_buffers = &m_state.m_responseBuffers,
        .m_holdsBack = HoldsBack(),
        .m_onFirstByte =
          [&] {
            m_report.m_timeToFirstByte =
              dispatch.RecordResponseStart(EnginePromptTokens(m_request));
          },
        .m_onFirstEvent = [&] { BindToVersion(version); },
        .m_onAnswered = AnswerRecorder(sentAt) });
    co_await forwarder.Run(exchange, std::move(head));
    dispatch.EndWith(ResultCode::Ok);
  } catch (const RequestError& error) {
    dispatch.EndWith(error.Code());
    RecordPeerFailure(peer, error, isPeerRefusal);
    if (isPeerRefusal) {
      throw;
    }
    throw ToPeerError(error);
  }
}

void
RequestDispatcher::RecordPeerFailure(const FleetMember& aPeer,
                                     const RequestError& aError,
                                     bool aIsRefusal)
{
  if (aIsRefusal && aError.Code() == ResultCode::ServersUnreachable) {
    m_state.m_fleet.MarkPoolUnreachable(aPeer.m_id, m_request.m_pool);
  }
  const bool isLackOfCapacity = aError.Code() == ResultCode::TooManyRequests ||
                                aError.Code() == ResultCode::DeadlineTooShort ||
                                aError.Code() == ResultCode::NoBackendServer;
  if (aIsRefusal && isLackOfCapacity) {
    m_state.m_metrics.Count("rattanweir_forwards_refused_total");
    m_state.m_split.RecordRefusal(m_request.m_pool, aPeer.m_region);
  }
  m_spillover.reset();
  if (!aIsRefusal && aError.Code() == ResultCode::BackendConnectFailed) {
    m_state.m_fleet.MarkUnreachable(aPeer.m_id);
    Log(LogLevel::Warning,
        "peer_unreachable",
        { { "peer", aPeer.m_id.Value() }, { "detail", aError.what() } });
  }
}

HeaderFields
RequestDispatcher::HopFields(const RegionId& aRegion) const
{
  HeaderFields fields = {
    { kHopFromField, m_state.m_fleet.Self().m_id.Value() },
    { kHopAccountField, m_request.m_clientAccount.Value() },
    { kHopPoolField, m_request.m_pool.Value() },
    { kHopTimeLeftField, MillisecondsText(TimeLeft()) },
  };
  if (m_request.m_isQuarantineTrial) {
    fields.push_back({ kHopTrialField, "1" });
  }
  if (RequiredVersion()) {
    fields.push_back({ kHopVersionField, *RequiredVersion() });
  }
  for (const RegisteredServer* server :
       m_state.m_registry.ServersOf(m_request.m_pool, aRegion)) {
    if (m_state.m_registry.IsReportedDraining(server->m_incarnation)) {
      fields.push_back({ kHopDrainingField, server->m_incarnation.Value() });
    }
  }
  return fields;
}

void
RequestDispatcher::TakeDrainingServer(const InstanceId& aPeer,
                                      ResponseHead& aHead)
{
  const std::string* server = FindHeader(aHead.m_headers, kHopDrainingField);
  if (server == nullptr) {
    return;
  }
  MarkDraining(m_state, BackendServerId(*server), aPeer.Value());
  std::erase_if(aHead.m_headers, [](const HeaderField& aField) {
    return IsSameHeaderName(aField.m_name, kHopDrainingField);
  });
}

void
RequestDispatcher::BindToVersion(const std::optional<std::string>& aVersion)
{
  if (m_isBound) {
    if (!aVersion || aVersion != m_version) {
      throw RequestError(
        ResultCode::AnswerMismatch,
        "the stream began at another software version than the server's");
    }
    return;
  }
  m_isBound = true;
  m_version = aVersion;
  RecordOrigin();
}

void
RequestDispatcher::RecordOrigin() const
{
  const bool mayBeResumed = m_request.m_route.m_kind == RequestKind::Stream &&
                            m_request.m_route.m_resumesStreams;
  if (!mayBeResumed || m_request.m_forwardedBy) {
    return;
  }
  // Streams of unknown versions are recorded too: another one with the same
  // content must not stand for them.
  const StreamOrigin origin{ .m_pool = m_request.m_pool,
                             .m_version = m_version.value_or("") };
  for (const StreamKey key :
       { StreamKeyOf(m_request.m_clientAccount, m_request.m_info.m_id),
         ContentKeyOf(m_request) }) {
    m_state.m_streamOrigins.Record(key, origin, TimeLeft() + kOriginMargin);
  }
}

std::optional<std::string>
RequestDispatcher::VersionOf(const RegisteredServer& aServer) const
{
  // A process that has started since under the same id may have answered.
  return m_state.m_registry.IsSuperseded(aServer) ? std::nullopt
                                                  : aServer.UsableVersion();
}

std::optional<std::string>
RequestDispatcher::TakeVersion(ResponseHead& aHead)
{
  const std::string* field = FindHeader(aHead.m_headers, kHopVersionField);
  if (field == nullptr) {
    return std::nullopt;
  }
  std::string version = *field;
  std::erase_if(aHead.m_headers, [](const HeaderField& aField) {
    return IsSameHeaderName(aField.m_name, kHopVersionField);
  });
  return version;
}

OutboundRequest
RequestDispatcher::MakeOutbound(HeaderFields aAddedFields) const
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
RequestDispatcher::ResumeAfter() const
{
  const std::optional<std::uint64_t> last = m_progress.LastEventId();
  return last ? std::to_string(*last) : m_request.m_info.m_resumeAfter;
}

void
RequestDispatcher::ThrowUnlessRetried(const RequestError& aFailure)
{
  const FleetRoute& route = m_request.m_route;
  const bool hasRun = aFailure.HasRun() != Ran::No;
  // A peer that is stopping refuses with InstanceDraining; another one may
  // serve the request.
  const bool isNonRetryable =
    m_cancel.Reason() || aFailure.Code() == ResultCode::CallerGone ||
    aFailure.Code() == ResultCode::CallerTooSlow ||
    aFailure.Code() == ResultCode::DeadlineExceeded ||
    aFailure.Code() == ResultCode::PromptQuarantined ||
    aFailure.Code() == ResultCode::RequestQuarantined ||
    aFailure.Code() == ResultCode::StreamNotResumable;
  // What a server broke off may crash the next one as well. Breaks in other
  // regions are counted here, since only the peers there have recorded them.
  m_brokenOff += IsBrokenOff(aFailure) ? 1 : 0;
  const bool mayCrashAnother =
    IsBrokenOff(aFailure) &&
    (m_brokenOff > 1 || !m_state.m_quarantine.MayRetry(m_request.m_suspects));
  const bool mayRunAgain =
    route.IsRetryable() && m_report.m_possibleRuns < route.m_maxAttempts &&
    !m_request.m_forwardedBy && m_progress.MayGoOn(route.m_resumesStreams) &&
    (!m_isBound || m_version);
  // If no connection was made, no server has received the request.
  const bool isUnsent =
    aFailure.Code() == ResultCode::BackendConnectFailed ||
    aFailure.Code() == ResultCode::PeerUnreachable ||
    aFailure.Code() == ResultCode::ServersUnreachable ||
    (aFailure.Code() == ResultCode::InstanceDraining && !hasRun);
  m_unsentDispatches += isUnsent ? 1 : 0;
  const bool hasDispatchesLeft = m_unsentDispatches <= kMaxUnsentDispatches &&
                                 m_report.m_dispatches - m_unsentDispatches <
                                   route.m_maxAttempts + kExtraDispatchesNotRun;
  const bool isPermitted = !isNonRetryable && !mayCrashAnother &&
                           hasDispatchesLeft && (!hasRun || mayRunAgain) &&
                           TimeLeft() >= kMinTimeForRetry;
  if (!isPermitted ||
      (!isUnsent && !m_state.m_retries.TryConsumeRetry(m_request.m_pool))) {
    throw WithRan(aFailure);
  }
  m_state.m_metrics.CountRetry(aFailure.Code());
  Log(LogLevel::Info,
      "request_repeated",
      { { "request", m_request.m_info.m_id.Value() },
        { "reason", std::string(InfoOf(aFailure.Code()).m_name) },
        { "ran", std::string(RanText(aFailure.HasRun())) },
        { "place", m_report.m_destination },
        { "runs", std::to_string(m_report.m_possibleRuns) },
        { "time_left_ms", MillisecondsText(TimeLeft()) },
        { "detail", aFailure.what() } });
  m_lastFailure = aFailure;
}

bool
RequestDispatcher::HoldsBack() const
{
  return m_state.m_serviceEnd.IsAnnounced() &&
         m_request.m_route.m_kind != RequestKind::Stream;
}

RequestError
RequestDispatcher::WithRan(const RequestError& aError) const
{
  return { aError.Code(),
           aError.what(),
           std::max(aError.HasRun(), m_report.m_ran),
           aError.RetryAfter() };
}

nanoseconds
RequestDispatcher::TimeLeft() const
{
  return m_request.m_deadline - m_state.m_clock.SteadyNow();
}

} // namespace rattanweir
