#include "rattanweir/request/pipeline/peer_handler.h"

#include "rattanweir/request/credentials/credentials.h"
#include "rattanweir/request/pipeline/admission.h"
#include "rattanweir/request/pipeline/json_response.h"
#include "rattanweir/request/pipeline/key_issue.h"

#include <utility>

namespace rattanweir {
namespace {

} // namespace

PeerHandler::PeerHandler(PeerHandlerOptions aOptions)
  : m_options(std::move(aOptions))
  , m_serving(m_options.m_serving)
{
}

Task<void>
PeerHandler::Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& aCancel)
{
  const std::string path = TargetPath(aRequest.m_target);
  const bool isPost = aRequest.m_method == "POST";
  if (isPost && path == kControlPath) {
    std::string response = m_options.m_control(std::move(aRequest.m_body));
    co_await WriteJsonResponse(std::move(response), aSink);
    co_return;
  }
  if (isPost && path == kPeerIdempotencyKeysPath) {
    std::string response = IssueForPeer(m_serving, aRequest);
    co_await WriteJsonResponse(std::move(response), aSink);
    co_return;
  }
  RequestRecord record{ .m_request = aRequest.m_id,
                        .m_receivedAt = aRequest.m_receivedAt };
  Task<void> task = ServeForwarded(std::move(aRequest), aSink, aCancel, record);
  co_await RunRecorded(m_serving, record, std::move(task));
}

Task<void>
PeerHandler::ServeForwarded(InboundRequest aRequest,
                            ResponseSink& aSink,
                            CancelSource& aCancel,
                            RequestRecord& aRecord)
{
  const HeaderFields headers = aRequest.m_headers;
  RequestPlan plan;
  try {
    plan = AdmitFromPeer(m_serving, std::move(aRequest));
  } catch (const RequestError& error) {
    throw WithRanForIdempotencyKey(error, headers);
  }
  aRecord.m_route = plan.m_route.m_id;
  aRecord.m_clientAccount = plan.m_clientAccount;
  co_await Run(std::move(plan), aSink, aCancel, aRecord.m_report);
}

Task<void>
PeerHandler::Run(RequestPlan aPlan,
                 ResponseSink& aSink,
                 CancelSource& aCancel,
                 AttemptsReport& aReport)
{
  // The sender has reserved the tokens.
  const RunOptions options{ .m_reservesRate = false };
  if (!aPlan.m_idempotencyKey) {
    co_await RunRequest(m_serving, aPlan, options, aSink, aCancel, aReport);
    co_return;
  }
  IdempotencyKey key = ParseIdempotencyKey(*aPlan.m_idempotencyKey);
  if (key.m_owner == m_serving.m_self) {
    co_await m_options.m_keyedRuns.Serve(
      std::move(aPlan), std::move(key), aSink, aCancel, aReport);
    co_return;
  }
  if (key.m_owner != aPlan.m_forwardedBy) {
    throw RequestError(
      ResultCode::IdempotencyOutcomeUnknown,
      "the key was issued by neither the sender nor this instance",
      Ran::Maybe);
  }
  // The sender owns and has claimed the key, and dispatches the request once.
  co_await RunRequest(m_serving, aPlan, options, aSink, aCancel, aReport);
}

} // namespace rattanweir
