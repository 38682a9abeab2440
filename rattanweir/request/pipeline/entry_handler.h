// Handles callers' requests on the product's own interface.
//
//   EntryHandler handler(serving, keyedRuns);
//   HttpServer server({ .m_handler = handler, ... });
//
// Admits each request, reserves its tokens, routes it and relays the response.
// A request whose idempotency key was issued by another instance is forwarded
// to that instance. Not thread-safe.

#pragma once

#include "rattanweir/request/pipeline/keyed_runs.h"
#include "rattanweir/request/pipeline/request_record.h"

namespace rattanweir {

class EntryHandler final : public RequestHandler
{
public:
  // `aServing` and `aKeyedRuns` must outlive the handler.
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
  // Returns the instance that issued the key. Throws
  // IdempotencyOutcomeUnknown if that process no longer exists, and
  // ResidencyRefused if its region is not permitted for the request.
  PeerView FindOwner(const IdempotencyKey& aKey,
                     const RequestPlan& aPlan) const;

  ServingContext& m_serving;
  KeyedRuns& m_keyedRuns;
};

} // namespace rattanweir
