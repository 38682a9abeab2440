// Logs a completed request of the product's own interface.

#pragma once

#include "rattanweir/request/pipeline/run_request.h"

#include <string>

namespace rattanweir {

// The attributes of a request that its log record contains.
struct RequestRecord
{
  RequestId m_request;
  RouteId m_route;
  ClientAccountId m_clientAccount;
  SteadyTime m_receivedAt;
  AttemptsReport m_report;
};

// Awaits the task that serves a request, then logs its result and updates the
// request metrics. Logs neither the API key nor the body. Rethrows a
// RequestError of the task, and throws RequestError with InternalError for any
// other exception. `aServing` and `aRecord` must outlive the task.
Task<void>
RunRecorded(const ServingContext& aServing,
            const RequestRecord& aRecord,
            Task<void> aTask);

} // namespace rattanweir
