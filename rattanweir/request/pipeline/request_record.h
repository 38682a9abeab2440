// The log record of a request that has ended.

#pragma once

#include "rattanweir/request/pipeline/run_request.h"

#include <optional>
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

// Writes the record and the durations. Holds neither key nor body.
void
RecordDone(const Serving& aServing,
           const RequestRecord& aRecord,
           const std::optional<RequestError>& aFailure);

} // namespace rattanweir
