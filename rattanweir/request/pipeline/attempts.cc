#include "rattanweir/request/pipeline/attempts.h"

#include "rattanweir/base/random/random.h"
#include "rattanweir/request/pipeline/admission.h"
#include "rattanweir/request/pipeline/dispatch.h"
#include "rattanweir/request/wait/wait.h"

#include <algorithm>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr std::size_t kAttemptIdBytes = 8;
// Base delay before the destinations are tried again. Doubled for each attempt,
// plus random jitter of up to the same duration.
constexpr milliseconds kFirstRetryDelay(10);

std::optional<BackendServer>
FindLocalServer(const ServingContext& aServing,
                const PoolId& aPool,
                const BackendServerId& aId)
{
  for (const BackendServer* server :
       aServing.m_catalog.BackendServersOf(aPool, aServing.m_region)) {
    if (server->m_id == aId) {
      return *server;
    }
  }
  return std::nullopt;
}

// Returns the load that the request adds, in the unit of the server's reports:
// tokens at a model engine, otherwise requests.
std::uint64_t
RequestLoad(const RequestPlan& aPlan, BackendServerKind aKind)
{
  const std::int64_t tokens = aPlan.m_cost.Value();
  const bool countsTokens =
    aKind == BackendServerKind::ModelEngine && tokens > 0;
  return countsTokens ? static_cast<std::uint64_t>(tokens) : 1;
}

// Returns whether the server has probably restarted, with an empty prefix
// cache.
bool
HasProbablyRestarted(ResultCode aCode)
{
  return aCode == ResultCode::BackendConnectFailed ||
         aCode == ResultCode::BackendReset;
}

// Replaces the result code of a backend server's failure by that of a peer's.
RequestError
ToPeerError(const RequestError& aError)
{
  switch (aError.Code()) {
    case ResultCode::BackendConnectFailed:
      return RequestError(
        ResultCode::PeerUnreachable, aError.what(), aError.HasRun());
    case ResultCode::BackendReset:
      return RequestError(ResultCode::PeerLost, aError.what(), aError.HasRun());
    default:
      return aError;
  }
}

} // namespace

Attempts::Attempts(const AttemptsOptions& aOptions)
  : m_options(aOptions)
  , m_serving(aOptions.m_serving)
  , m_plan(aOptions.m_plan)
  , m_backendSelector(
      { .m_clock = m_serving.m_clock, .m_random = m_serving.m_random })
  , m_requestRouter(
      { .m_backends = m_backendSelector, .m_random = m_serving.m_random })
{
  m_progress.m_nextOffset = m_plan.m_resumeOffset;
}

Task<void>
Attempts::Run()
{
  m_serving.m_retryBudget.AddFirstAttempt();
  for (;;) {
    CheckBeforeDispatch();
    RoutingDecision decision = co_await ChooseDestination();
    if (const auto* noDestination = std::get_if<NoDestination>(&decision)) {
      if (m_lastFailure) {
        throw WithAccumulatedRan(*m_lastFailure);
      }
      throw RequestError(
        noDestination->m_code, noDestination->m_detail, Ran::No);
    }
    // The request may have been cancelled, or the instance paused, during the
    // retry delay.
    CheckBeforeDispatch();
    if (m_lastFailure) {
      m_serving.m_metrics.CountRetry(m_lastFailure->Code());
    }
    Failure failure = co_await Attempt(std::move(decision));
    if (!failure) {
      co_return;
    }
    ThrowUnlessRetryAllowed(*failure);
  }
}

Task<void>
Attempts::RunAtPeer(PeerView aPeer)
{
  CheckBeforeDispatch();
  RoutingDecision decision = ForwardToPeer{ std::move(aPeer) };
  const Failure failure = co_await Attempt(std::move(decision));
  if (failure) {
    throw WithAccumulatedRan(*failure);
  }
}

AttemptsReport
Attempts::Report() const
{
  AttemptsReport report = m_report;
  report.m_generatedTokens = m_progress.m_generatedTokens;
  return report;
}

void
Attempts::CheckBeforeDispatch() const
{
  const Ran ran = m_report.m_ran;
  if (const auto reason = m_options.m_cancel.Reason()) {
    throw RequestError(*reason, "the request was cancelled", ran);
  }
  if (m_serving.m_rates.IsPaused()) {
    throw RequestError(
      ResultCode::InstancePaused, "the process was paused", ran);
  }
  if (!IsStillAuthorized(m_serving.m_catalog, ToInFlightRequest(m_plan))) {
    throw RequestError(ResultCode::KeyWithdrawn, "the key was withdrawn", ran);
  }
  if (TimeLeft() < milliseconds(1)) {
    const ResultCode code = ran == Ran::No ? ResultCode::DeadlineTooShort
                                           : ResultCode::DeadlineExceeded;
    throw RequestError(code, "less than 1 ms remains before the deadline", ran);
  }
}

Task<RoutingDecision>
Attempts::ChooseDestination()
{
  const bool isResumed = m_progress.m_nextOffset > 0;
  RoutingDecision decision = m_requestRouter.Choose(
    BuildRoutingInput(m_serving, m_plan, m_tried, isResumed));
  if (!std::holds_alternative<NoDestination>(decision) || !m_lastFailure) {
    co_return decision;
  }
  // Every destination was tried; all may be tried again after a delay.
  m_tried = {};
  const auto delay = kFirstRetryDelay * (1U << m_report.m_attempts);
  const auto jitter = milliseconds(
    UniformIndex(m_serving.m_random, static_cast<std::size_t>(delay.count())));
  const nanoseconds bounded = std::min<nanoseconds>(delay + jitter, TimeLeft());
  co_await WaitFor(m_serving.m_executor, bounded, m_options.m_cancel);
  co_return m_requestRouter.Choose(
    BuildRoutingInput(m_serving, m_plan, m_tried, isResumed));
}

Task<Attempts::Failure>
Attempts::Attempt(RoutingDecision aDecision)
{
  ++m_report.m_attempts;
  m_options.m_registration.MarkDispatched();
  try {
    if (auto* forward = std::get_if<ForwardToPeer>(&aDecision)) {
      m_tried.m_peers.insert(forward->m_peer.m_record.m_id);
      co_await AttemptAtPeer(std::move(forward->m_peer));
    } else {
      BackendServerId id =
        std::move(std::get<ServeLocally>(aDecision).m_backendServer);
      m_tried.m_backendServers.insert(id);
      co_await AttemptAtServer(std::move(id));
    }
  } catch (const RequestError& error) {
    m_report.m_ran = std::max(m_report.m_ran, error.HasRun());
    co_return error;
  }
  m_report.m_ran = Ran::Yes;
  co_return std::nullopt;
}

Task<void>
Attempts::AttemptAtServer(BackendServerId aId)
{
  const auto server = FindLocalServer(m_serving, m_plan.m_route.m_pool, aId);
  if (!server) {
    throw RequestError(ResultCode::NoBackendServer,
                       "the backend server is no longer configured",
                       Ran::No);
  }
  const AttemptId attempt(RandomHex(kAttemptIdBytes));
  HeaderFields fields = {
    { "x-request-id", m_plan.m_idempotencyKey.value_or(m_plan.m_id.Value()) },
    { "x-attempt-id", attempt.Value() },
    { "x-deadline-ms", MillisecondsLeft() },
  };
  if (!m_plan.m_clientAccount.IsEmpty()) {
    fields.push_back({ "x-client-account", m_plan.m_clientAccount.Value() });
  }
  if (m_progress.m_nextOffset > 0) {
    fields.push_back(
      { "x-resume-offset", std::to_string(m_progress.m_nextOffset) });
  }
  const ResponseOrigin origin =
    BackendServerOrigin{ .m_attempt = attempt,
                         .m_kind = server->m_kind,
                         .m_echoesAttemptId = server->m_echoesAttemptId };
  Dispatch dispatch(m_serving.m_backends,
                    m_serving.m_clock,
                    aId,
                    RequestLoad(m_plan, server->m_kind));
  try {
    const auto exchange =
      co_await Send(server->m_endpoint, std::move(fields), m_options.m_cancel);
    m_serving.m_prefixes.AddDispatch(m_plan.m_promptPrefix, aId);
    const ResponseHead head = co_await exchange->ReadHead();
    dispatch.StartResponse();
    if (!IsMismatched(head, origin)) {
      dispatch.ApplySignals(head);
    }
    co_await Relay(*exchange, head, origin);
    dispatch.EndWith(ResultCode::Ok);
  } catch (const RequestError& error) {
    dispatch.EndWith(error.Code());
    if (HasProbablyRestarted(error.Code())) {
      m_serving.m_prefixes.RemoveServer(aId);
    }
    throw;
  }
}

Task<void>
Attempts::AttemptAtPeer(PeerView aPeer)
{
  HeaderFields fields = {
    { kHopField, m_serving.m_self.Value() },
    { kRequestField, m_plan.m_id.Value() },
    { kRouteField, m_plan.m_route.m_id.Value() },
    { kDeadlineField, MillisecondsLeft() },
  };
  if (m_plan.m_key) {
    fields.push_back({ kKeyField, m_plan.m_key->Value() });
    fields.push_back({ kClientAccountField, m_plan.m_clientAccount.Value() });
  }
  if (m_plan.m_idempotencyKey) {
    fields.push_back({ kIdempotencyKeyField, *m_plan.m_idempotencyKey });
  }
  if (m_progress.m_nextOffset > 0) {
    fields.push_back(
      { kResumeOffsetField, std::to_string(m_progress.m_nextOffset) });
  }
  m_serving.m_metrics.Count("rattanweir_forwarded_total");
  const InstanceRecord& record = aPeer.m_record;
  const ResponseOrigin origin = PeerOrigin{ .m_request = m_plan.m_id };
  // Cancelled together with the request, or alone when the peer is lost.
  CancelSource cancel;
  const auto linked = m_options.m_cancel.OnCancel(
    [&] { cancel.Cancel(*m_options.m_cancel.Reason()); });
  const auto entry = m_serving.m_peerAttempts.Add(record.m_id, cancel);
  try {
    const auto exchange =
      co_await Send(record.m_peerAddress, std::move(fields), cancel);
    const ResponseHead head = co_await exchange->ReadHead();
    co_await Relay(*exchange, head, origin);
  } catch (const RequestError& error) {
    if (error.Code() == ResultCode::BackendConnectFailed) {
      m_serving.m_membership.MarkUnreachable(record.m_id);
    }
    throw ToPeerError(error);
  }
}

Task<std::unique_ptr<UpstreamExchange>>
Attempts::Send(Endpoint aEndpoint, HeaderFields aFields, CancelSource& aCancel)
{
  m_serving.m_metrics.Count("rattanweir_attempts_total");
  OutboundRequest outbound{
    .m_method = m_plan.m_method,
    .m_target = m_plan.m_target,
    .m_headers = m_plan.m_headers,
    .m_body = m_plan.m_body,
    .m_deadline = m_plan.m_deadline,
    .m_needsFreshConnection = !m_plan.m_route.m_isIdempotent,
  };
  std::move(
    aFields.begin(), aFields.end(), std::back_inserter(outbound.m_headers));
  co_return co_await m_serving.m_upstream.Send(
    std::move(aEndpoint), std::move(outbound), aCancel);
}

Task<void>
Attempts::Relay(UpstreamExchange& aExchange,
                ResponseHead aHead,
                ResponseOrigin aOrigin)
{
  co_await CheckResponseHead(aExchange, aHead, aOrigin);
  RelayOptions options{
    .m_origin = std::move(aOrigin),
    .m_addedFields = { { kRequestField, m_plan.m_id.Value() } },
    .m_addsOffsetsField = m_plan.m_forwardedBy.has_value(),
  };
  co_await RelayResponse(aExchange,
                         std::move(aHead),
                         std::move(options),
                         m_options.m_sink,
                         m_progress);
}

void
Attempts::ThrowUnlessRetryAllowed(const RequestError& aFailure)
{
  if (aFailure.Code() == ResultCode::AnswerMismatch) {
    m_serving.m_metrics.Count("rattanweir_answers_dropped_total");
  }
  const FailedAttempt failed{
    .m_code = aFailure.Code(),
    .m_ran = aFailure.HasRun(),
    .m_isIdempotent = m_plan.m_route.m_isIdempotent,
    .m_hasResponseStarted = m_progress.m_hasHead,
    .m_canResume = m_progress.m_hasOffsets,
    .m_timeLeft = TimeLeft(),
    .m_attempts = m_report.m_attempts,
  };
  const RetryDecision decision = DecideRetry(failed, m_serving.m_retryBudget);
  if (std::holds_alternative<NoRetry>(decision)) {
    throw WithAccumulatedRan(aFailure);
  }
  m_lastFailure = aFailure;
}

RequestError
Attempts::WithAccumulatedRan(const RequestError& aError) const
{
  return { aError.Code(),
           aError.what(),
           std::max(aError.HasRun(), m_report.m_ran),
           aError.RetryAfter() };
}

std::chrono::nanoseconds
Attempts::TimeLeft() const
{
  return m_plan.m_deadline - m_serving.m_clock.SteadyNow();
}

std::string
Attempts::MillisecondsLeft() const
{
  return std::to_string(duration_cast<milliseconds>(TimeLeft()).count());
}

} // namespace rattanweir
