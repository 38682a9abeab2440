// The log record of a request that has ended.

#pragma once

#include "rattanweir/request/pipeline/run_request.h"

#include <string>

namespace rattanweir {

// What is known of a request by the time it ends.
struct RequestRecord
{
  RequestId m_request;
  RouteId m_route;
  ClientAccountId m_clientAccount;
  SteadyTime m_receivedAt;
  AttemptsReport m_report;
};

// Awaits the task that serves a request, then logs how it ended and counts its
// time; neither key nor body is logged. Throws the task's failure as a
// RequestError, InternalError for any other exception. What `aServing` and
// `aRecord` refer to must outlive the task.
Task<void>
RunRecorded(const ServingContext& aServing,
            const RequestRecord& aRecord,
            Task<void> aTask);

} // namespace rattanweir
