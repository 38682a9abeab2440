#include "rattanweir/request/pipeline/dispatch.h"

#include "rattanweir/request/relay/response_relay.h"

#include <chrono>
#include <utility>

namespace rattanweir {
namespace {

// A server that returns no complete response within this time counts as hung.
constexpr std::chrono::seconds kHungTimeout(20);

AttemptOutcome
ClassifyOutcome(ResultCode aCode, std::chrono::nanoseconds aDuration)
{
  switch (aCode) {
    case ResultCode::Ok:
      return AttemptOutcome::Succeeded;
    // Counts against the server only if the server had enough time.
    case ResultCode::DeadlineExceeded:
      return aDuration >= kHungTimeout ? AttemptOutcome::Failed
                                       : AttemptOutcome::Neutral;
    case ResultCode::BackendConnectFailed:
    case ResultCode::BackendReset:
    case ResultCode::AnswerIncomplete:
    case ResultCode::AnswerMismatch:
      return AttemptOutcome::Failed;
    default:
      return AttemptOutcome::Neutral;
  }
}

} // namespace

Dispatch::Dispatch(BackendView& aView,
                   const Clock& aClock,
                   BackendServerId aId,
                   std::uint64_t aLoad)
  : m_view(aView)
  , m_clock(aClock)
  , m_id(std::move(aId))
  , m_load(aLoad)
  , m_startedAt(aClock.SteadyNow())
{
  m_view.AddDispatch(m_id, m_load);
}

Dispatch::~Dispatch()
{
  m_view.EndDispatch(m_id,
                     { .m_load = m_load,
                       .m_hasResponseStarted = m_hasResponseStarted,
                       .m_outcome = m_outcome });
}

void
Dispatch::StartResponse()
{
  m_hasResponseStarted = true;
  m_view.StartResponse(m_id, m_load);
}

void
Dispatch::ApplySignals(const ResponseHead& aHead)
{
  const BackendSignals signals = ReadBackendSignals(aHead);
  if (signals.m_load) {
    m_view.ReportLoad(m_id, *signals.m_load);
  }
  if (signals.m_isDraining) {
    m_view.MarkDraining(m_id);
  }
}

void
Dispatch::EndWith(ResultCode aCode)
{
  m_outcome = ClassifyOutcome(aCode, m_clock.SteadyNow() - m_startedAt);
}

} // namespace rattanweir
