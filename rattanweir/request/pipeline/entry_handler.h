// Serves what callers send.
//
//   EntryHandler handler(serving, keyedRuns);
//   HttpServer server({ .m_handler = handler, ... });
//
// Each request is admitted, reserved, placed and answered; requests under an
// idempotency key of another instance go to that one.

#pragma once

#include "rattanweir/request/pipeline/keyed_runs.h"
#include "rattanweir/request/pipeline/request_record.h"

namespace rattanweir {

class EntryHandler final : public RequestHandler
{
public:
  // Both must outlive it.
  EntryHandler(ServingContext& aServing, KeyedRuns& aKeyedRuns);

  Task<void> Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& aCancel) override;

private:
  Task<void> Serve(InboundRequest aRequest,
                   ResponseSink& aSink,
                   CancelSource& aCancel,
                   RequestRecord& aRecord);
  Task<void> ServeRoute(InboundRequest aRequest,
                        ResponseSink& aSink,
                        CancelSource& aCancel,
                        RequestRecord& aRecord);
  Task<void> ServeKeyed(RequestPlan aPlan,
                        ResponseSink& aSink,
                        CancelSource& aCancel,
                        AttemptsReport& aReport);
  PeerView FindOwner(const IdempotencyKey& aKey,
                     const RequestPlan& aPlan) const;

  ServingContext& m_serving;
  KeyedRuns& m_keyedRuns;
};

} // namespace rattanweir
