#include "rattanweir/request/pipeline/key_issue.h"

#include "rattanweir/request/credentials/credentials.h"
#include "rattanweir/request/pipeline/admission.h"
#include "rattanweir/request/pipeline/json_response.h"
#include "rattanweir/request/relay/response_relay.h"

#include <json/json.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::chrono::seconds kIssueDeadline(5);
constexpr std::size_t kMaxKeyResponseBytes = std::size_t{ 16 } * 1024;
// Maximum number of peers that are tried in sequence for one key.
constexpr std::size_t kMaxIssueAttempts = 3;

struct KeyRequest
{
  Route m_route;
  ClientAccountId m_clientAccount;
};

Route
RequireRoute(const Catalog& aCatalog, const std::string& aId)
{
  const Route* route = aCatalog.FindRoute(RouteId(aId));
  if (route == nullptr) {
    throw RequestError(ResultCode::UnknownRoute, "no route has this id");
  }
  return *route;
}

bool
CanIssueLocally(const ServingContext& aServing, const KeyRequest& aRequest)
{
  const Catalog& catalog = aServing.m_catalog;
  const auto regions = CurrentPermittedRegions(
    catalog, aRequest.m_route, aRequest.m_clientAccount);
  if (aServing.m_isDraining || !regions.Permits(aServing.m_region)) {
    return false;
  }
  const auto poolRegions = catalog.RegionsOf(aRequest.m_route.m_pool);
  return std::find(poolRegions.begin(), poolRegions.end(), aServing.m_region) !=
         poolRegions.end();
}

std::string
IssueLocally(ServingContext& aServing, const KeyRequest& aRequest)
{
  const IssuedKey issued = aServing.m_idempotencyLedger.Issue(
    { .m_route = aRequest.m_route.m_id,
      .m_clientAccount = aRequest.m_clientAccount });
  Json::Value response(Json::objectValue);
  response["idempotency_key"] = issued.m_key.ToString();
  response["expires_in_ms"] =
    Json::Int64(duration_cast<milliseconds>(issued.m_expiresAfter).count());
  response["instance"] = aServing.m_self.Value();
  response["address"] = aServing.m_callerAddress.ToString();
  return JsonText(response);
}

std::vector<PeerView>
FindPeersThatCanIssue(const ServingContext& aServing,
                      const KeyRequest& aRequest)
{
  const auto regions = CurrentPermittedRegions(
    aServing.m_catalog, aRequest.m_route, aRequest.m_clientAccount);
  std::vector<PeerView> peers;
  for (const RegionId& region :
       aServing.m_catalog.RegionsOf(aRequest.m_route.m_pool)) {
    if (!regions.Permits(region)) {
      continue;
    }
    for (PeerView& peer : aServing.m_membership.UsablePeersIn(region)) {
      peers.push_back(std::move(peer));
    }
  }
  std::shuffle(peers.begin(), peers.end(), aServing.m_random);
  peers.resize(std::min(peers.size(), kMaxIssueAttempts));
  return peers;
}

Task<std::string>
IssueAtPeer(ServingContext& aServing,
            const KeyRequest& aRequest,
            PeerView aPeer,
            RequestId aId,
            CancelSource& aCancel)
{
  Json::Value body(Json::objectValue);
  body["route"] = aRequest.m_route.m_id.Value();
  body["client_account"] = aRequest.m_clientAccount.Value();
  OutboundRequest outbound{
    .m_method = "POST",
    .m_target = kPeerIdempotencyKeysPath,
    .m_headers = { { "content-type", "application/json" },
                   { kHopField, aServing.m_self.Value() },
                   { kRequestField, aId.Value() } },
    .m_body = std::make_shared<const std::string>(JsonText(body)),
    .m_deadline = aServing.m_clock.SteadyNow() + kIssueDeadline,
  };
  const auto exchange = co_await aServing.m_upstream.Send(
    aPeer.m_record.m_peerAddress, std::move(outbound), aCancel);
  const ResponseHead head = co_await exchange->ReadHead();
  const ResponseOrigin origin = PeerOrigin{ .m_request = aId };
  co_await CheckResponseHead(*exchange, head, origin);
  std::string response;
  while (const auto piece = co_await exchange->ReadChunk()) {
    response += *piece;
    if (response.size() > kMaxKeyResponseBytes) {
      throw RequestError(ResultCode::PeerLost,
                         "the peer's response exceeds 16 KiB");
    }
  }
  co_return response;
}

} // namespace

Task<std::string>
IssueForCaller(ServingContext& aServing,
               InboundRequest aRequest,
               CancelSource& aCancel)
{
  CheckAcceptsRequests(aServing);
  const Json::Value body = RequireJsonObject(aRequest.m_body);
  KeyRequest request{ .m_route = RequireRoute(aServing.m_catalog,
                                              RequireText(body, "route")) };
  if (!request.m_route.m_isOpenToAll) {
    const auto key = PresentedKey(aRequest.m_headers);
    request.m_clientAccount =
      RequireGrant(aServing.m_catalog, key).m_clientAccount;
  }
  if (CanIssueLocally(aServing, request)) {
    co_return IssueLocally(aServing, request);
  }
  for (PeerView& peer : FindPeersThatCanIssue(aServing, request)) {
    const InstanceId id = peer.m_record.m_id;
    try {
      co_return co_await IssueAtPeer(
        aServing, request, std::move(peer), aRequest.m_id, aCancel);
    } catch (const RequestError& error) {
      if (aCancel.Reason()) {
        throw;
      }
      if (error.Code() == ResultCode::BackendConnectFailed) {
        aServing.m_membership.MarkUnreachable(id);
      }
    }
  }
  throw RequestError(ResultCode::ResidencyUnavailable,
                     "no instance that can own the key is reachable",
                     Ran::No);
}

std::string
IssueForPeer(ServingContext& aServing, const InboundRequest& aRequest)
{
  CheckAcceptsRequests(aServing);
  CheckHop(aServing, aRequest.m_headers);
  const Json::Value body = RequireJsonObject(aRequest.m_body);
  const KeyRequest request{
    .m_route = RequireRoute(aServing.m_catalog, RequireText(body, "route")),
    .m_clientAccount =
      ClientAccountId(body.get("client_account", "").asString()),
  };
  if (request.m_route.m_isOpenToAll != request.m_clientAccount.IsEmpty()) {
    throw RequestError(
      ResultCode::KeyNotGranted,
      "the client account must be set exactly if the route requires a "
      "key");
  }
  if (!CanIssueLocally(aServing, request)) {
    throw RequestError(ResultCode::ResidencyRefused,
                       "the request cannot be dispatched from this instance");
  }
  return IssueLocally(aServing, request);
}

} // namespace rattanweir
