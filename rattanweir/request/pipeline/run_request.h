// Serves one admitted request from its rate reservation to its settlement.
//
//   AttemptsReport report;
//   co_await RunRequest(serving, plan, options, sink, cancel, report);

#pragma once

#include "rattanweir/request/pipeline/attempts.h"

namespace rattanweir {

struct RunOptions
{
  // Off where the instance that forwarded the request has reserved already.
  bool m_reservesRate = true;
  // Set to run at this peer alone.
  std::optional<PeerView> m_onlyPeer;
};

// The request is in the in-flight registry from before its reservation. Plan,
// sink, cancel and report must outlive the task; the report is filled in also
// when it throws RequestError.
Task<void>
RunRequest(ServingContext& aServing,
           const RequestPlan& aPlan,
           RunOptions aOptions,
           ResponseSink& aSink,
           CancelSource& aCancel,
           AttemptsReport& aReport);

} // namespace rattanweir
