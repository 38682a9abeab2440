// Tracks one dispatch of the product's own interface to a backend server in the
// BackendView, from construction to destruction.
//
//   Dispatch dispatch(view, clock, server.m_id, load);
//   dispatch.StartResponse(); dispatch.ApplySignals(head); ...
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
  // `aView` and `aClock` must outlive the dispatch. `aLoad` is the load that
  // the request adds, in the unit in which the server reports its load.
  Dispatch(BackendView& aView,
           const Clock& aClock,
           BackendServerId aId,
           std::uint64_t aLoad);
  // Ends the dispatch. Unless EndWith was called, the dispatch does not affect
  // the server's health.
  ~Dispatch();
  Dispatch(const Dispatch&) = delete;
  Dispatch& operator=(const Dispatch&) = delete;

  // Records that the response head was received. Call once.
  void StartResponse();

  // Updates the load and the draining state from the response head.
  void ApplySignals(const ResponseHead& aHead);

  // Records the result of the attempt for the server's health.
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
