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

constexpr const char* kOwnPathPrefix = "/rattanweir/";
// Its answers have the length of a body that does not come.
constexpr const char* kBodilessMethod = "HEAD";
// Longer deadlines than any route's are as good as none.
constexpr std::uint64_t kLongestDeadlineMs = 24ULL * 60 * 60 * 1000;

[[noreturn]] void
Refuse(ResultCode aCode, const char* aDetail)
{
  throw RequestError(aCode, aDetail, Ran::No);
}

const std::string&
RequireField(const HeaderFields& aHeaders, const char* aName)
{
  const std::string* value = FindHeader(aHeaders, aName);
  if (value == nullptr || value->empty()) {
    Refuse(ResultCode::MalformedRequest,
           "a field between instances is missing");
  }
  return *value;
}

std::optional<std::uint64_t>
NumberField(const HeaderFields& aHeaders, const char* aName)
{
  const std::string* value = FindHeader(aHeaders, aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  const auto number = ParseDecimal(*value);
  if (!number) {
    Refuse(ResultCode::MalformedRequest, "a header field is no whole number");
  }
  return number;
}

// The route's deadline, or the sender's if that is shorter.
SteadyTime
DeadlineOf(const Route& aRoute, const InboundRequest& aRequest)
{
  const SteadyTime latest = aRequest.m_receivedAt + aRoute.m_deadline;
  const auto left = NumberField(aRequest.m_headers, kDeadlineField);
  if (!left) {
    return latest;
  }
  const auto bounded =
    static_cast<std::int64_t>(std::min(*left, kLongestDeadlineMs));
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

// A route that takes every path must not carry a caller's request to what
// peers answer themselves.
void
RefuseOwnPath(const std::string& aPath)
{
  if (aPath.starts_with(kOwnPathPrefix)) {
    Refuse(ResultCode::UnknownRoute, "the path is kept for instances");
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

// Whether the same request may have been taken before; one that is malformed
// or has no route never was.
bool
IsAboutTheMoment(const RequestError& aError)
{
  return aError.Code() != ResultCode::MalformedRequest &&
         aError.Code() != ResultCode::UnknownRoute;
}

// Fills in what callers' and peers' requests have in common.
void
FillIn(RequestPlan& aPlan, const Route& aRoute, InboundRequest& aRequest)
{
  aPlan.m_id = aRequest.m_id;
  aPlan.m_route = aRoute;
  aPlan.m_deadline = DeadlineOf(aRoute, aRequest);
  aPlan.m_receivedAt = aRequest.m_receivedAt;
  aPlan.m_method = std::move(aRequest.m_method);
  const std::string* key = FindHeader(aRequest.m_headers, kIdempotencyKeyField);
  if (!aRoute.m_isIdempotent && key != nullptr) {
    aPlan.m_idempotencyKey = *key;
  }
}

} // namespace

InFlightRequest
RunningRequestOf(const RequestPlan& aPlan)
{
  return { .m_request = aPlan.m_id,
           .m_route = aPlan.m_route.m_id,
           .m_key = aPlan.m_key,
           .m_clientAccount = aPlan.m_clientAccount,
           .m_isIdempotent = aPlan.m_route.m_isIdempotent };
}

RequestPlan
AdmitFromCaller(const Serving& aServing, InboundRequest aRequest)
{
  CheckTakesRequests(aServing);
  const Catalog& catalog = aServing.m_catalog;
  if (aRequest.m_method == kBodilessMethod) {
    Refuse(ResultCode::MalformedRequest, "routes take no HEAD requests");
  }
  const auto presentedKey = PresentedKey(aRequest.m_headers);
  const RequestBody body =
    ReadRequestBody(aRequest.m_headers, std::move(aRequest.m_body));
  const std::string path = TargetPath(aRequest.m_target);
  RefuseOwnPath(path);
  const Route& route = RequireRoute(catalog.FindRoute(path, body.m_model));
  RequestPlan plan;
  if (!route.m_isOpenToAll) {
    const KeyGrant grant = RequireGrant(catalog, presentedKey);
    plan.m_key = grant.m_id;
    plan.m_clientAccount = grant.m_clientAccount;
  }
  if (RegionsInForce(catalog, route, plan.m_clientAccount).IsEmpty()) {
    Refuse(ResultCode::ResidencyUnavailable,
           "the client account has no home region");
  }
  plan.m_target = ForwardedTarget(aRequest.m_target);
  plan.m_headers = ForwardedHeaders(aRequest.m_headers, presentedKey);
  plan.m_body = body.m_text;
  plan.m_cost = TokensToReserve(route.m_cost, body);
  plan.m_promptTokens = EstimatePromptTokens(body);
  plan.m_promptPrefix = body.m_promptPrefix;
  FillIn(plan, route, aRequest);
  return plan;
}

RequestPlan
AdmitFromPeer(const Serving& aServing, InboundRequest aRequest)
{
  CheckTakesRequests(aServing);
  const Catalog& catalog = aServing.m_catalog;
  const HeaderFields& headers = aRequest.m_headers;
  RequestPlan plan;
  plan.m_forwardedBy = CheckHop(aServing, headers);
  const RouteId routeId(RequireField(headers, kRouteField));
  const Route& route = RequireRoute(catalog.FindRoute(routeId));
  if (!route.m_isOpenToAll) {
    plan.m_key = KeyId(RequireField(headers, kKeyField));
    plan.m_clientAccount =
      ClientAccountId(RequireField(headers, kClientAccountField));
    if (!catalog.IsGranted(*plan.m_key, plan.m_clientAccount)) {
      Refuse(ResultCode::KeyNotGranted, "the key is unknown or withdrawn");
    }
    RequireClientAccount(catalog, plan.m_clientAccount);
  }
  const auto regions = RegionsInForce(catalog, route, plan.m_clientAccount);
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
  plan.m_resumeOffset = NumberField(headers, kResumeOffsetField).value_or(0);
  FillIn(plan, route, aRequest);
  return plan;
}

RequestError
AsSaidUnderKey(const RequestError& aError, const HeaderFields& aHeaders)
{
  const std::string* key = FindHeader(aHeaders, kIdempotencyKeyField);
  if (key == nullptr || !IsIssuedKey(*key) || !IsAboutTheMoment(aError)) {
    return aError;
  }
  return { aError.Code(),
           aError.what(),
           std::max(aError.HasRun(), Ran::Maybe),
           aError.RetryAfter() };
}

InstanceId
CheckHop(const Serving& aServing, const HeaderFields& aHeaders)
{
  const std::string& hop = RequireField(aHeaders, kHopField);
  if (hop.find(',') != std::string::npos) {
    Refuse(ResultCode::LoopRefused, "the request took more than one hop");
  }
  InstanceId sender(hop);
  if (sender == aServing.m_self) {
    Refuse(ResultCode::LoopRefused, "the request was at this instance before");
  }
  return sender;
}

KeyGrant
RequireGrant(const Catalog& aCatalog,
             const std::optional<std::string>& aPresentedKey)
{
  if (!aPresentedKey) {
    Refuse(ResultCode::KeyMissing, "the route wants a key");
  }
  const KeyGrant* grant = aCatalog.FindKey(*aPresentedKey);
  if (grant == nullptr) {
    Refuse(ResultCode::KeyNotGranted, "the key is unknown or withdrawn");
  }
  RequireClientAccount(aCatalog, grant->m_clientAccount);
  return *grant;
}

PermittedRegions
RegionsInForce(const Catalog& aCatalog,
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
