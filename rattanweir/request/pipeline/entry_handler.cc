#include "rattanweir/request/pipeline/entry_handler.h"

#include "rattanweir/request/credentials/credentials.h"
#include "rattanweir/request/pipeline/admission.h"
#include "rattanweir/request/pipeline/entry_responses.h"
#include "rattanweir/request/pipeline/json_response.h"
#include "rattanweir/request/pipeline/key_issue.h"

#include <utility>

namespace rattanweir {
namespace {

constexpr const char* kEntriesPath = "/v1/entries";
constexpr const char* kIdempotencyKeysPath = "/v1/idempotency-keys";

// Returns the error for the caller after a failed attempt at the key's owner.
// An unreachable owner may have run an earlier use of the key.
RequestError
ToOwnerLostError(const RequestError& aError)
{
  if (aError.Code() != ResultCode::PeerUnreachable) {
    return aError;
  }
  return { ResultCode::PeerLost, aError.what(), Ran::Maybe };
}

} // namespace

EntryHandler::EntryHandler(ServingContext& aServing, KeyedRuns& aKeyedRuns)
  : m_serving(aServing)
  , m_keyedRuns(aKeyedRuns)
{
}

Task<void>
EntryHandler::Handle(InboundRequest aRequest,
                     ResponseSink& aSink,
                     CancelSource& aCancel)
{
  RequestRecord record{ .m_request = aRequest.m_id,
                        .m_receivedAt = aRequest.m_receivedAt };
  Task<void> task = Serve(std::move(aRequest), aSink, aCancel, record);
  co_await RunRecorded(m_serving, record, std::move(task));
}

Task<void>
EntryHandler::Serve(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& aCancel,
                    RequestRecord& aRecord)
{
  const std::string path = TargetPath(aRequest.m_target);
  if (path == kEntriesPath && aRequest.m_method == "GET") {
    const auto key = PresentedKey(aRequest.m_headers);
    std::string json = EntriesJson(m_serving, key);
    co_await WriteJsonResponse(std::move(json), aSink);
    co_return;
  }
  if (path == kIdempotencyKeysPath && aRequest.m_method == "POST") {
    std::string json =
      co_await IssueForCaller(m_serving, std::move(aRequest), aCancel);
    co_await WriteJsonResponse(std::move(json), aSink);
    co_return;
  }
  co_await ServeRoute(std::move(aRequest), aSink, aCancel, aRecord);
}

Task<void>
EntryHandler::ServeRoute(InboundRequest aRequest,
                         ResponseSink& aSink,
                         CancelSource& aCancel,
                         RequestRecord& aRecord)
{
  const HeaderFields headers = aRequest.m_headers;
  RequestPlan plan;
  try {
    plan = AdmitFromCaller(m_serving, std::move(aRequest));
  } catch (const RequestError& error) {
    throw WithRanForIdempotencyKey(error, headers);
  }
  aRecord.m_route = plan.m_route.m_id;
  aRecord.m_clientAccount = plan.m_clientAccount;
  if (plan.m_idempotencyKey) {
    co_await ServeKeyed(std::move(plan), aSink, aCancel, aRecord.m_report);
    co_return;
  }
  const RunOptions options{};
  co_await RunRequest(
    m_serving, plan, options, aSink, aCancel, aRecord.m_report);
}

Task<void>
EntryHandler::ServeKeyed(RequestPlan aPlan,
                         ResponseSink& aSink,
                         CancelSource& aCancel,
                         AttemptsReport& aReport)
{
  IdempotencyKey key = ParseIdempotencyKey(*aPlan.m_idempotencyKey);
  if (key.m_owner == m_serving.m_self) {
    co_await m_keyedRuns.Serve(
      std::move(aPlan), std::move(key), aSink, aCancel, aReport);
    co_return;
  }
  const HeaderFields headers = { { kIdempotencyKeyField,
                                   *aPlan.m_idempotencyKey } };
  try {
    // The owner reserves the rate, once for all uses of the key.
    const RunOptions options{ .m_reservesRate = false,
                              .m_onlyPeer = FindOwner(key, aPlan) };
    co_await RunRequest(m_serving, aPlan, options, aSink, aCancel, aReport);
  } catch (const RequestError& error) {
    const bool wasAttempted = aReport.m_attempts > 0;
    throw wasAttempted ? ToOwnerLostError(error)
                       : WithRanForIdempotencyKey(error, headers);
  }
}

PeerView
EntryHandler::FindOwner(const IdempotencyKey& aKey,
                        const RequestPlan& aPlan) const
{
  const auto owner = m_serving.m_membership.Find(aKey.m_owner);
  const bool isReplaced =
    owner && owner->m_heartbeat &&
    owner->m_heartbeat->m_incarnation != aKey.m_incarnation;
  if (!owner || isReplaced) {
    throw RequestError(ResultCode::IdempotencyOutcomeUnknown,
                       "the process that issued the key no longer exists",
                       Ran::Maybe);
  }
  const auto regions = CurrentPermittedRegions(
    m_serving.m_catalog, aPlan.m_route, aPlan.m_clientAccount);
  if (!regions.Permits(owner->m_record.m_region)) {
    throw RequestError(ResultCode::ResidencyRefused,
                       "the key's owner is in a region that is not permitted",
                       Ran::No);
  }
  return *owner;
}

} // namespace rattanweir
