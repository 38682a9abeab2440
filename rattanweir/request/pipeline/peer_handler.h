// Handles requests from peers on the product's own interface: forwarded
// requests, issue of idempotency keys, and control calls.
//
//   PeerHandler handler({ .m_serving = serving,
//                         .m_keyedRuns = runs,
//                         .m_control = control });
//
// Forwarded requests are admitted by this instance's own configuration and are
// dispatched only to backend servers of the local region. Not thread-safe.

#pragma once

#include "rattanweir/request/pipeline/keyed_runs.h"
#include "rattanweir/request/pipeline/request_record.h"

#include <functional>
#include <string>

namespace rattanweir {

struct PeerHandlerOptions
{
  ServingContext& m_serving;
  KeyedRuns& m_keyedRuns;
  // Handles one control call: takes the request body, returns the response.
  std::function<std::string(std::string)> m_control;
};

class PeerHandler final : public RequestHandler
{
public:
  explicit PeerHandler(PeerHandlerOptions aOptions);

  Task<void> Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& aCancel) override;

private:
  Task<void> ServeForwarded(InboundRequest aRequest,
                            ResponseSink& aSink,
                            CancelSource& aCancel,
                            RequestRecord& aRecord);
  Task<void> Run(RequestPlan aPlan,
                 ResponseSink& aSink,
                 CancelSource& aCancel,
                 AttemptsReport& aReport);

  PeerHandlerOptions m_options;
  ServingContext& m_serving;
};

} // namespace rattanweir
