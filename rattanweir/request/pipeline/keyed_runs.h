// Runs requests under idempotency keys that this instance issued.
//
//   KeyedRuns runs(serving);
//   co_await runs.Serve(plan, key, sink, cancel, report);
//
// The first use of a key runs to its end in a task of its own, whether or not
// its caller stays. Its caller and every repeat get the same whole answer. A
// key whose request was sent to no backend server may be used again.

#pragma once

#include "rattanweir/process/idempotency/idempotency_key.h"
#include "rattanweir/request/pipeline/run_request.h"

#include <memory>

namespace rattanweir {

class OutcomeWait;

class KeyedRuns
{
public:
  explicit KeyedRuns(Serving& aServing);

  // Writes the whole answer, or throws RequestError.
  Task<void> Serve(RequestPlan aPlan,
                   IdempotencyKey aKey,
                   ResponseSink& aSink,
                   CancelSource& aCancel,
                   AttemptsReport& aReport);

  // Runs that have not ended; the process waits for them when it shuts down.
  std::size_t RunningCount() const { return m_running; }

private:
  Task<StoredOutcome> Wait(std::shared_ptr<OutcomeWait> aWait,
                           SteadyTime aDeadline,
                           CancelSource& aCancel);
  Task<void> Run(RequestPlan aPlan,
                 IdempotencyKey aKey,
                 std::shared_ptr<OutcomeWait> aWait);
  Task<StoredOutcome> RunToOutcome(const RequestPlan& aPlan,
                                   AttemptsReport& aReport);

  Serving& m_serving;
  std::size_t m_running = 0;
};

} // namespace rattanweir
