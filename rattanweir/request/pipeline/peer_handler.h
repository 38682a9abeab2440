// Serves what peers send: forwarded requests, key issue and control.
//
//   PeerHandler handler({ .m_serving = serving,
//                         .m_keyedRuns = runs,
//                         .m_control = control });
//
// A forwarded request is judged by this instance's own configuration and is
// only ever sent to a backend server of its own region.

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
  // Answers one control call.
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
