// Serves one admitted request of the product's own interface, from the rate
// reservation to its settlement.
//
//   AttemptsReport report;
//   co_await RunRequest(serving, plan, options, sink, cancel, report);

#pragma once

#include "rattanweir/request/pipeline/attempts.h"

namespace rattanweir {

struct RunOptions
{
  // False if another instance reserves the rate for this request.
  bool m_reservesRate = true;
  // If set, makes a single attempt at this peer.
  std::optional<PeerView> m_onlyPeer;
};

// Reserves the tokens, makes the attempts and settles the reservation.
// Registers the request as in flight before the reservation, so that a request
// that waits for tokens can be cancelled. All references must outlive the task.
// Throws RequestError; `aReport` is set also if an attempt failed.
Task<void>
RunRequest(ServingContext& aServing,
           const RequestPlan& aPlan,
           RunOptions aOptions,
           ResponseSink& aSink,
           CancelSource& aCancel,
           AttemptsReport& aReport);

} // namespace rattanweir
