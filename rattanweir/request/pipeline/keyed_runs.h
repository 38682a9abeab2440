// Runs requests of the product's own interface under idempotency keys that this
// instance issued.
//
//   KeyedRuns runs(serving);
//   co_await runs.Serve(plan, key, sink, cancel, report);
//
// The first request with a key runs to completion in a separate task, also if
// its caller disconnects. Its caller and every repeat receive the same complete
// response. A key can be used again if its request was not run. Not
// thread-safe.

#pragma once

#include "rattanweir/process/idempotency/idempotency_key.h"
#include "rattanweir/request/pipeline/run_request.h"

#include <memory>

namespace rattanweir {

class PendingOutcome;

class KeyedRuns
{
public:
  // `aServing` must outlive the object and its runs.
  explicit KeyedRuns(ServingContext& aServing);

  // Writes the complete response. Throws RequestError if the run failed, or if
  // the deadline passes or the caller cancels while the run continues.
  Task<void> Serve(RequestPlan aPlan,
                   IdempotencyKey aKey,
                   ResponseSink& aSink,
                   CancelSource& aCancel,
                   AttemptsReport& aReport);

  // Returns the number of unfinished runs. The process waits for them when it
  // shuts down.
  std::size_t RunningCount() const { return m_running; }

private:
  // Waits for the outcome. Throws RequestError with Ran::Maybe if the deadline
  // passes or the caller cancels first.
  Task<StoredOutcome> Wait(std::shared_ptr<PendingOutcome> aPending,
                           SteadyTime aDeadline,
                           CancelSource& aCancel);
  // Runs the request and stores its outcome under the key.
  Task<void> Run(RequestPlan aPlan,
                 IdempotencyKey aKey,
                 std::shared_ptr<PendingOutcome> aPending);
  Task<StoredOutcome> RunToOutcome(const RequestPlan& aPlan,
                                   AttemptsReport& aReport);

  ServingContext& m_serving;
  std::size_t m_running = 0;
};

} // namespace rattanweir
