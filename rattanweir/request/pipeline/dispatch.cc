#include "rattanweir/request/pipeline/dispatch.h"

#include "rattanweir/request/relay/response_relay.h"

#include <chrono>
#include <utility>

namespace rattanweir {
namespace {

// A server that gave no whole answer in this time counts as hung.
constexpr std::chrono::seconds kHungAfter(20);

AttemptOutcome
OutcomeOf(ResultCode aCode, std::chrono::nanoseconds aLasted)
{
  switch (aCode) {
    case ResultCode::Ok:
      return AttemptOutcome::Succeeded;
    // A deadline tells of the server only if it had time enough.
    case ResultCode::DeadlineExceeded:
      return aLasted >= kHungAfter ? AttemptOutcome::Failed
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
  , m_begin(aClock.SteadyNow())
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
Dispatch::TakeSignals(const ResponseHead& aHead)
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
  m_outcome = OutcomeOf(aCode, m_clock.SteadyNow() - m_begin);
}

} // namespace rattanweir
