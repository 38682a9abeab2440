#include "rattanweir/request/pipeline/serving.h"

namespace rattanweir {

void
CheckAcceptsRequests(const ServingContext& aServing)
{
  if (!aServing.m_isReady) {
    throw RequestError(ResultCode::InstanceNotReady,
                       "the configuration is incomplete or outdated");
  }
  if (aServing.m_rates.IsPaused()) {
    throw RequestError(ResultCode::InstancePaused, "the process was paused");
  }
}

void
CancelAttemptsToLostPeers(const ServingContext& aServing)
{
  for (const InstanceId& id : aServing.m_peerAttempts.Peers()) {
    const auto peer = aServing.m_membership.Find(id);
    if (!peer || aServing.m_membership.IsStale(*peer)) {
      aServing.m_peerAttempts.CancelAttemptsTo(id);
    }
  }
}

bool
IsStillAuthorized(const Catalog& aCatalog, const InFlightRequest& aRequest)
{
  if (!aRequest.m_key) {
    return true;
  }
  return aCatalog.IsGranted(*aRequest.m_key, aRequest.m_clientAccount) &&
         aCatalog.FindClientAccount(aRequest.m_clientAccount) != nullptr;
}

} // namespace rattanweir
