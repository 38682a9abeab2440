// One dispatch at a backend server, held in the view until it has ended.
//
//   Dispatch dispatch(view, clock, server.m_id, load);
//   dispatch.StartResponse(); dispatch.TakeSignals(head); ...
//   dispatch.EndWith(ResultCode::Ok);

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/result/result_code.h"
#include "rattanweir/process/backend_view/backend_view.h"
#include "rattanweir/request/exchange/exchange.h"

namespace rattanweir {

class Dispatch
{
public:
  // View and clock must outlive it. `aLoad` is what the request adds to the
  // load that the server reports, in the unit of its reports.
  Dispatch(BackendView& aView,
           const Clock& aClock,
           BackendServerId aId,
           std::uint64_t aLoad);
  // Without EndWith it says nothing about the server's health.
  ~Dispatch();
  Dispatch(const Dispatch&) = delete;
  Dispatch& operator=(const Dispatch&) = delete;

  // Once, when the head of the answer has come.
  void StartResponse();

  // Takes load and draining from an answer of this server.
  void ApplySignals(const ResponseHead& aHead);

  // How the attempt ended, for the server's health.
  void EndWith(ResultCode aCode);

private:
  BackendView& m_view;
  const Clock& m_clock;
  BackendServerId m_id;
  std::uint64_t m_load;
  SteadyTime m_startedAt;
  bool m_hasResponseStarted = false;
  AttemptOutcome m_outcome = AttemptOutcome::Neutral;
};

} // namespace rattanweir
