#include "rattanweir/request/pipeline/admission.h"

#include "rattanweir/base/random/random.h"
#include "rattanweir/request/body/request_body.h"
#include "rattanweir/request/cost/cost.h"
#include "rattanweir/request/credentials/credentials.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/relay/response_relay.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;

constexpr const char* kPeerPathPrefix = "/rattanweir/";
// Refused: responses to HEAD state the length of a body that does not follow.
constexpr const char* kHeadMethod = "HEAD";
// Exceeds the deadline of every route; bounds the conversion to a duration.
constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 60 * 60 * 1000;

[[noreturn]] void
Refuse(ResultCode aCode, const char* aDetail)
{
  throw RequestError(aCode, aDetail, Ran::No);
}

const std::string&
RequirePeerField(const HeaderFields& aHeaders, const char* aName)
{
  const std::string* value = FindHeader(aHeaders, aName);
  if (value == nullptr || value->empty()) {
    Refuse(ResultCode::MalformedRequest,
           "a required header field between instances is missing");
  }
  return *value;
}

std::optional<std::uint64_t>
ParseNumberField(const HeaderFields& aHeaders, const char* aName)
{
  const std::string* value = FindHeader(aHeaders, aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  const auto number = ParseDecimal(*value);
  if (!number) {
    Refuse(ResultCode::MalformedRequest,
           "a numeric header field is not a whole number");
  }
  return number;
}

// Returns the route's deadline, or the sender's if that is earlier.
SteadyTime
EffectiveDeadline(const Route& aRoute, const InboundRequest& aRequest)
{
  const SteadyTime latest = aRequest.m_receivedAt + aRoute.m_deadline;
  const auto millisecondsLeft =
    ParseNumberField(aRequest.m_headers, kDeadlineField);
  if (!millisecondsLeft) {
    return latest;
  }
  const auto bounded =
    static_cast<std::int64_t>(std::min(*millisecondsLeft, kMaxDeadlineMs));
  return std::min(latest, aRequest.m_receivedAt + milliseconds(bounded));
}

const Route&
RequireRoute(const Route* aRoute)
{
  if (aRoute == nullptr) {
    Refuse(ResultCode::UnknownRoute, "no route has this path and model");
  }
  return *aRoute;
}

// Refuses the paths that are reserved for peers: a route that matches every
// path must not forward a caller's request to a peer's own endpoints.
void
RefusePeerPath(const std::string& aPath)
{
  if (aPath.starts_with(kPeerPathPrefix)) {
    Refuse(ResultCode::UnknownRoute,
           "the path is reserved for requests between instances");
  }
}

void
RequireClientAccount(const Catalog& aCatalog, const ClientAccountId& aAccount)
{
  if (aCatalog.FindClientAccount(aAccount) == nullptr) {
    Refuse(ResultCode::ClientAccountUnknown,
           "the key's client account is not in the configuration");
  }
}

bool
IsIssuedKey(const std::string& aText)
{
  try {
    ParseIdempotencyKey(aText);
    return true;
  } catch (const RequestError&) {
    return false;
  }
}

// Returns whether the same request may have been admitted before. A request
// that is malformed or has no route was never admitted.
bool
IsTransientRefusal(const RequestError& aError)
{
  return aError.Code() != ResultCode::MalformedRequest &&
         aError.Code() != ResultCode::UnknownRoute;
}

// Sets the fields that callers' and peers' requests share.
void
FillCommonFields(RequestPlan& aPlan,
                 const Route& aRoute,
                 InboundRequest& aRequest)
{
  aPlan.m_id = aRequest.m_id;
  aPlan.m_route = aRoute;
  aPlan.m_deadline = EffectiveDeadline(aRoute, aRequest);
  aPlan.m_receivedAt = aRequest.m_receivedAt;
  aPlan.m_method = std::move(aRequest.m_method);
  const std::string* key = FindHeader(aRequest.m_headers, kIdempotencyKeyField);
  if (!aRoute.m_isIdempotent && key != nullptr) {
    aPlan.m_idempotencyKey = *key;
  }
}

} // namespace

InFlightRequest
ToInFlightRequest(const RequestPlan& aPlan)
{
  return { .m_request = aPlan.m_id,
           .m_route = aPlan.m_route.m_id,
           .m_key = aPlan.m_key,
           .m_clientAccount = aPlan.m_clientAccount,
           .m_isIdempotent = aPlan.m_route.m_isIdempotent };
}

RequestPlan
AdmitFromCaller(const ServingContext& aServing, InboundRequest aRequest)
{
  CheckAcceptsRequests(aServing);
  const Catalog& catalog = aServing.m_catalog;
  if (aRequest.m_method == kHeadMethod) {
    Refuse(ResultCode::MalformedRequest, "routes do not accept HEAD requests");
  }
  const auto presentedKey = PresentedKey(aRequest.m_headers);
  const RequestBody body =
    ReadRequestBody(aRequest.m_headers, std::move(aRequest.m_body));
  const std::string path = TargetPath(aRequest.m_target);
  RefusePeerPath(path);
  const Route& route = RequireRoute(catalog.FindRoute(path, body.m_model));
  RequestPlan plan;
  if (!route.m_isOpenToAll) {
    const KeyGrant grant = RequireGrant(catalog, presentedKey);
    plan.m_key = grant.m_id;
    plan.m_clientAccount = grant.m_clientAccount;
  }
  if (CurrentPermittedRegions(catalog, route, plan.m_clientAccount).IsEmpty()) {
    Refuse(ResultCode::ResidencyUnavailable,
           "the client account has no home region");
  }
  plan.m_target = ForwardedTarget(aRequest.m_target);
  plan.m_headers = ForwardedHeaders(aRequest.m_headers, presentedKey);
  plan.m_body = body.m_text;
  plan.m_cost = TokensToReserve(route.m_cost, body);
  plan.m_promptTokens = EstimatePromptTokens(body);
  plan.m_promptPrefix = body.m_promptPrefix;
  FillCommonFields(plan, route, aRequest);
  return plan;
}

RequestPlan
AdmitFromPeer(const ServingContext& aServing, InboundRequest aRequest)
{
  CheckAcceptsRequests(aServing);
  const Catalog& catalog = aServing.m_catalog;
  const HeaderFields& headers = aRequest.m_headers;
  RequestPlan plan;
  plan.m_forwardedBy = CheckHop(aServing, headers);
  const RouteId routeId(RequirePeerField(headers, kRouteField));
  const Route& route = RequireRoute(catalog.FindRoute(routeId));
  if (!route.m_isOpenToAll) {
    plan.m_key = KeyId(RequirePeerField(headers, kKeyField));
    plan.m_clientAccount =
      ClientAccountId(RequirePeerField(headers, kClientAccountField));
    if (!catalog.IsGranted(*plan.m_key, plan.m_clientAccount)) {
      Refuse(ResultCode::KeyNotGranted, "the key is unknown or withdrawn");
    }
    RequireClientAccount(catalog, plan.m_clientAccount);
  }
  const auto regions =
    CurrentPermittedRegions(catalog, route, plan.m_clientAccount);
  if (!regions.Permits(aServing.m_region)) {
    Refuse(ResultCode::ResidencyRefused,
           "the request may not be served in this region");
  }
  const RequestBody body = ReadRequestBody(headers, std::move(aRequest.m_body));
  plan.m_target = ForwardedTarget(aRequest.m_target);
  plan.m_headers = ForwardedHeaders(headers, std::nullopt);
  plan.m_body = body.m_text;
  plan.m_cost = TokensToReserve(route.m_cost, body);
  plan.m_promptTokens = EstimatePromptTokens(body);
  plan.m_promptPrefix = body.m_promptPrefix;
  plan.m_resumeOffset =
    ParseNumberField(headers, kResumeOffsetField).value_or(0);
  FillCommonFields(plan, route, aRequest);
  return plan;
}

RequestError
WithRanForIdempotencyKey(const RequestError& aError,
                         const HeaderFields& aHeaders)
{
  const std::string* key = FindHeader(aHeaders, kIdempotencyKeyField);
  if (key == nullptr || !IsIssuedKey(*key) || !IsTransientRefusal(aError)) {
    return aError;
  }
  return { aError.Code(),
           aError.what(),
           std::max(aError.HasRun(), Ran::Maybe),
           aError.RetryAfter() };
}

InstanceId
CheckHop(const ServingContext& aServing, const HeaderFields& aHeaders)
{
  const std::string& hop = RequirePeerField(aHeaders, kHopField);
  if (hop.find(',') != std::string::npos) {
    Refuse(ResultCode::LoopRefused, "the request took more than one hop");
  }
  InstanceId sender(hop);
  if (sender == aServing.m_self) {
    Refuse(ResultCode::LoopRefused, "the request was sent by this instance");
  }
  return sender;
}

KeyGrant
RequireGrant(const Catalog& aCatalog,
             const std::optional<std::string>& aPresentedKey)
{
  if (!aPresentedKey) {
    Refuse(ResultCode::KeyMissing, "the route requires a key");
  }
  const KeyGrant* grant = aCatalog.FindKey(*aPresentedKey);
  if (grant == nullptr) {
    Refuse(ResultCode::KeyNotGranted, "the key is unknown or withdrawn");
  }
  RequireClientAccount(aCatalog, grant->m_clientAccount);
  return *grant;
}

PermittedRegions
CurrentPermittedRegions(const Catalog& aCatalog,
                        const Route& aRoute,
                        const ClientAccountId& aAccount)
{
  const ClientAccount* account = aCatalog.FindClientAccount(aAccount);
  auto admitted = PermittedRegionsOf(aRoute.m_residency, account);
  const Route* newest = aCatalog.FindRoute(aRoute.m_id);
  if (newest == nullptr) {
    return admitted;
  }
  return admitted.Intersect(PermittedRegionsOf(newest->m_residency, account));
}

} // namespace rattanweir
