#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/server_dispatch.h"

#include <algorithm>

namespace rattanweir {
namespace {

AttemptOutcome
OutcomeOf(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::Ok:
      return AttemptOutcome::Succeeded;
    case ResultCode::BackendConnectFailed:
      return AttemptOutcome::Unreachable;
    case ResultCode::BackendReset:
    case ResultCode::AnswerIncomplete:
    case ResultCode::AnswerMismatch:
    case ResultCode::AnswerTooLarge:
    case ResultCode::BackendFailed:
    case ResultCode::DeadlineExceeded:
      return AttemptOutcome::Failed;
    default:
      return AttemptOutcome::Neutral;
  }
}

} // namespace

ServerDispatch::ServerDispatch(ServerDispatchOptions aOptions)
  : m_options(std::move(aOptions))
  , m_sentAt(m_options.m_clock.SteadyNow())
{
  m_options.m_backends.AddDispatch(m_options.m_server, Load());
}

ServerDispatch::~ServerDispatch()
{
  m_options.m_backends.EndDispatch(
    m_options.m_server,
    { .m_load = Load(),
      .m_hasResponseStarted = m_hasResponseStarted,
      .m_outcome = m_outcome });
  if (m_isComplete) {
    const std::chrono::duration<double> elapsed =
      m_options.m_clock.SteadyNow() - m_sentAt;
    const auto slotTime = std::chrono::duration_cast<std::chrono::nanoseconds>(
      elapsed / m_options.m_queueingFactor);
    m_options.m_queues.ObserveSlotTime(m_options.m_pool, slotTime);
    // A server that was busy makes the request wait, for longer than the factor
    // tells where its report is old.
    if (m_options.m_expectation && m_options.m_queueingFactor <= 1) {
      m_options.m_expectation->m_performance.RecordSlotTime(m_options.m_pool,
                                                            slotTime);
    }
  }
  m_options.m_queues.QueueOf(m_options.m_pool).Wake();
}

std::chrono::nanoseconds
ServerDispatch::RecordResponseStart()
{
  const auto elapsed = m_options.m_clock.SteadyNow() - m_sentAt;
  if (m_hasResponseStarted) {
    return elapsed;
  }
  m_hasResponseStarted = true;
  m_options.m_backends.StartResponse(m_options.m_server, Load());
  if (const auto& expected = m_options.m_expectation) {
    expected->m_performance.RecordStart(m_options.m_pool,
                                        m_options.m_server,
                                        { .m_tokens = expected->m_tokens,
                                          .m_estimate = expected->m_estimate,
                                          .m_observed = elapsed });
    m_options.m_backends.ObserveStartDelay(
      m_options.m_server,
      std::max(std::chrono::nanoseconds::zero(),
               elapsed - expected->m_withoutExcessDelay));
  } else if (m_options.m_uncached > Tokens(0)) {
    m_options.m_backends.ObserveStartDelay(
      m_options.m_server,
      std::max(std::chrono::nanoseconds::zero(),
               elapsed - PrefillTime(m_options.m_uncached)));
  }
  return elapsed;
}

std::uint64_t
ServerDispatch::Load() const
{
  return static_cast<std::uint64_t>(
    std::max<std::int64_t>(0, m_options.m_uncached.Value()));
}

void
ServerDispatch::EndWith(ResultCode aCode)
{
  m_outcome = OutcomeOf(aCode);
  m_isComplete = aCode == ResultCode::Ok;
}

RegionDispatch::RegionDispatch(RegionDispatchOptions aOptions)
  : m_options(std::move(aOptions))
  , m_sentAt(m_options.m_clock.SteadyNow())
{
  m_options.m_regions.AddDispatch(m_options.m_key, 1);
}

RegionDispatch::~RegionDispatch()
{
  m_options.m_regions.EndDispatch(
    m_options.m_key,
    { .m_load = 1,
      .m_hasResponseStarted = m_hasResponseStarted,
      .m_outcome = m_outcome });
}

std::chrono::nanoseconds
RegionDispatch::RecordResponseStart(Tokens aPromptTokens)
{
  const auto elapsed = m_options.m_clock.SteadyNow() - m_sentAt;
  if (m_hasResponseStarted) {
    return elapsed;
  }
  m_hasResponseStarted = true;
  m_options.m_regions.StartResponse(m_options.m_key, 1);
  if (const auto& expected = m_options.m_expectation) {
    expected->m_performance.RecordRegionStart(
      m_options.m_pool,
      m_options.m_key,
      { .m_tokens = expected->m_tokens,
        .m_estimate = expected->m_estimate,
        .m_observed = elapsed });
  }
  const auto expected = m_options.m_hopLatency + PrefillTime(aPromptTokens);
  m_options.m_regions.ObserveStartDelay(
    m_options.m_key,
    std::max(std::chrono::nanoseconds::zero(), elapsed - expected));
  return elapsed;
}

void
RegionDispatch::EndWith(ResultCode aCode)
{
  // A refusal by the peer does not indicate a fault of the path to the region.
  m_outcome = aCode == ResultCode::Ok ? AttemptOutcome::Succeeded
                                      : AttemptOutcome::Neutral;
}

} // namespace rattanweir
