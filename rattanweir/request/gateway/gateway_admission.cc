#include "rattanweir/request/gateway/gateway_admission.h"

#include "rattanweir/process/logging/log.h"
#include "rattanweir/request/exchange/header_fields.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// A starting instance receives its configuration from the store or a peer
// within a few round trips.
constexpr milliseconds kConfigRetryAfter{ 250 };

[[noreturn]] void
RefuseRequest(ResultCode aCode, const char* aDetail)
{
  throw RequestError(aCode, aDetail, Ran::No);
}

FleetConfigPtr
RequireConfig(const GatewayState& aState)
{
  FleetConfigPtr config = aState.m_config.InForce();
  if (!config) {
    throw RequestError(ResultCode::InstanceNotReady,
                       "this instance has no configuration yet",
                       Ran::No,
                       kConfigRetryAfter);
  }
  return config;
}

void
ApplyRoute(AdmittedRequest& aRequest)
{
  const FleetRoute* route =
    aRequest.m_config->FindRoute(aRequest.m_info.m_host, aRequest.m_target);
  if (route == nullptr) {
    RefuseRequest(ResultCode::UnknownRoute,
                  "no route matches the host and path");
  }
  aRequest.m_route = *route;
  aRequest.m_priority = route->m_priority;
}

// Permits the regions that are home regions of both route and account; an empty
// set of home regions permits all.
void
RestrictRegions(AdmittedRequest& aRequest, const FleetAccount* aAccount)
{
  const auto restrictTo = [&](const std::set<RegionId>& aHomes) {
    if (aHomes.empty()) {
      return;
    }
    if (!aRequest.m_permittedRegions) {
      aRequest.m_permittedRegions = aHomes;
      return;
    }
    std::erase_if(*aRequest.m_permittedRegions, [&](const RegionId& aRegion) {
      return !aHomes.contains(aRegion);
    });
  };
  restrictTo(aRequest.m_route.m_homeRegions);
  if (aAccount != nullptr) {
    restrictTo(aAccount->m_homeRegions);
  }
}

// Throws RequestError if no region may serve the request as the configuration
// stands. Only a new configuration helps, so the caller is to come back late.
void
CheckResidencyConflict(GatewayState& aState, const AdmittedRequest& aRequest)
{
  if (!aRequest.HasResidencyConflict()) {
    return;
  }
  aState.m_metrics.Count("rattanweir_residency_conflicts_total");
  if (const auto count = aState.m_residencyConflicts.Record(
        aRequest.m_route.m_id, aRequest.m_clientAccount)) {
    Log(LogLevel::Warning,
        "residency_conflict",
        { { "route", aRequest.m_route.m_id.Value() },
          { "account", aRequest.m_clientAccount.Value() },
          { "config", std::to_string(aRequest.m_config->Version().Value()) },
          { "requests", std::to_string(*count) } });
  }
  RefuseRequest(ResultCode::ResidencyConflict,
                "the route and the client account have no home region in "
                "common");
}

// Returns the cost in the unit of the account's rate. A request that declares
// no prompt tokens costs the account's plain cost.
Tokens
CostOf(const RequestInfo& aInfo, const FleetAccount& aAccount)
{
  if (aAccount.m_unit == RateUnit::Requests) {
    return Tokens(1);
  }
  return aInfo.m_promptTokens ? *aInfo.m_promptTokens + aInfo.m_outputTokens
                              : aAccount.m_defaultCost;
}

// Returns the account of the presented key; nullptr if the route or the
// configuration needs no account.
const FleetAccount*
RequireAccount(const AdmittedRequest& aRequest)
{
  if (aRequest.m_route.m_isOpenToAll || !aRequest.m_config->HasAccounts()) {
    return nullptr;
  }
  if (!aRequest.m_info.m_presentedKey) {
    RefuseRequest(ResultCode::KeyMissing, "the route requires a key");
  }
  const FleetAccount* account =
    aRequest.m_config->FindAccountOfKey(*aRequest.m_info.m_presentedKey);
  if (account == nullptr) {
    RefuseRequest(ResultCode::KeyNotGranted, "the key is unknown or withdrawn");
  }
  return account;
}

// Chooses one of the route's pools at random, by weight.
PoolId
ChoosePool(const FleetRoute& aRoute, RandomEngine& aRandom)
{
  double sum = 0;
  for (const PoolWeight& poolWeight : aRoute.m_pools) {
    sum += poolWeight.m_weight;
  }
  double drawn = std::uniform_real_distribution<double>(0, sum)(aRandom);
  for (const PoolWeight& poolWeight : aRoute.m_pools) {
    drawn -= poolWeight.m_weight;
    if (drawn < 0) {
      return poolWeight.m_pool;
    }
  }
  return aRoute.m_pools.back().m_pool;
}

void
ConsumeRateTokens(GatewayState& aState, const AdmittedRequest& aRequest)
{
  if (aRequest.m_clientAccount.IsEmpty()) {
    return;
  }
  const RateDecision decision =
    aState.m_rates.Admit(aRequest.m_clientAccount, aRequest.m_cost);
  if (const auto* overRate = std::get_if<OverRate>(&decision)) {
    throw RequestError(
      ResultCode::RateExceeded,
      "client account " + aRequest.m_clientAccount.Value() +
        " exceeds its rate: level " +
        std::to_string(static_cast<std::int64_t>(
          aState.m_rates.BucketLevel(aRequest.m_clientAccount))) +
        ", cost " + std::to_string(aRequest.m_cost.Value()),
      Ran::No,
      std::chrono::ceil<milliseconds>(overRate->m_retryAfter));
  }
}

// Performs the part of the admission that is the same for callers and peers.
AdmittedRequest
StartAdmission(const GatewayState& aState, InboundRequest aInbound)
{
  AdmittedRequest request;
  request.m_config = RequireConfig(aState);
  request.m_info = aState.m_protocol.ReadRequest(aInbound);
  request.m_method = std::move(aInbound.m_method);
  request.m_target = std::move(aInbound.m_target);
  request.m_body =
    std::make_shared<const std::string>(std::move(aInbound.m_body));
  request.m_begunAt = aInbound.m_begunAt;
  request.m_receivedAt = aInbound.m_receivedAt;
  request.m_unreadFor = aInbound.m_unreadFor;
  std::erase_if(request.m_info.m_forwardedFields,
                [](const HeaderField& aField) {
                  return HeaderNameStartsWith(aField.m_name, kHopFieldPrefix);
                });
  ApplyRoute(request);
  request.m_partChain =
    BuildPartChain(request.m_info.m_model.Value(), request.m_info.m_parts);
  return request;
}

// Returns how many instances precede this one in the order, the same at all
// instances, in which they try the group.
std::size_t
TrialRank(const FleetView& aFleet, const QuarantinedGroup& aGroup)
{
  const std::uint64_t seed = aGroup.m_suspects.begin()->m_hash;
  const auto weight = [&](const FleetMember& aMember) {
    const std::string& id = aMember.m_id.Value();
    return XXH64(id.data(), id.size(), seed);
  };
  const std::uint64_t own = weight(aFleet.Self());
  return static_cast<std::size_t>(
    std::ranges::count_if(aFleet.ServingMembers(), [&](const auto* aMember) {
      return weight(*aMember) > own;
    }));
}

void
SetSuspects(AdmittedRequest& aRequest)
{
  aRequest.m_suspects = SharedPartsOf(aRequest.m_info.m_parts);
  aRequest.m_suspects.push_back(
    RequestSuspect({ .m_account = aRequest.m_clientAccount,
                     .m_method = aRequest.m_method,
                     .m_host = aRequest.m_info.m_host,
                     .m_target = aRequest.m_target,
                     .m_body = *aRequest.m_body }));
}

void
CheckQuarantine(GatewayState& aState, AdmittedRequest& aRequest)
{
  const auto rankOf = [&](const QuarantinedGroup& aGroup) {
    return TrialRank(aState.m_fleet, aGroup);
  };
  switch (aState.m_quarantine.Check(aRequest.m_suspects, rankOf)) {
    case QuarantineDecision::Admit:
      return;
    case QuarantineDecision::Trial:
      aRequest.m_isQuarantineTrial = true;
      Log(LogLevel::Warning,
          "quarantined_request_tried",
          { { "request", aRequest.m_info.m_id.Value() } });
      return;
    case QuarantineDecision::Refuse:
      throw QuarantineError(*aState.m_quarantine.FindGroup(aRequest.m_suspects),
                            Ran::No);
  }
}

constexpr const char* kNotResumableDetail =
  "the software version that began the stream is not known";

const std::string&
RequireHeader(const HeaderFields& aHeaders, const char* aName)
{
  const std::string* value = FindHeader(aHeaders, aName);
  if (value == nullptr) {
    RefuseRequest(ResultCode::MalformedRequest,
                  "a header field of the forwarding peer is missing");
  }
  return *value;
}

} // namespace

StreamKey
ContentKeyOf(const AdmittedRequest& aRequest)
{
  return StreamKeyOfContent(aRequest.m_suspects.back().m_hash);
}

Task<void>
ResolveStreamOrigin(GatewayState& aState, AdmittedRequest& aRequest)
{
  if (!aRequest.IsResumption()) {
    co_return;
  }
  StreamOriginDirectory& origins = aState.m_streamOrigins;
  std::optional<StreamOrigin> origin;
  if (aRequest.m_info.m_resumes) {
    const StreamKey key =
      StreamKeyOf(aRequest.m_clientAccount, *aRequest.m_info.m_resumes);
    origin = co_await origins.Find(key, aRequest.m_deadline);
  } else {
    // The caller sends the same request as before, but not its id.
    // A stream began within the time that its caller waits.
    const nanoseconds maxAge = aRequest.m_route.m_timeout + kOriginMargin;
    origin = co_await origins.FindCommon(
      ContentKeyOf(aRequest), maxAge, aRequest.m_deadline);
  }
  const bool isResumable =
    origin && origin->HasVersion() &&
    std::ranges::any_of(aRequest.m_route.m_pools, [&](const PoolWeight& aPool) {
      return aPool.m_pool == origin->m_pool;
    });
  if (!isResumable) {
    RefuseRequest(ResultCode::StreamNotResumable, kNotResumableDetail);
  }
  aRequest.m_pool = origin->m_pool;
  aRequest.m_softwareVersion = origin->m_version;
}

ServiceEndQuery
ServiceEndQueryFor(const AdmittedRequest& aRequest)
{
  return { .m_route = aRequest.m_route,
           .m_pool = aRequest.m_pool,
           .m_begunAt = aRequest.m_begunAt,
           .m_deadline = aRequest.m_deadline };
}

void
CheckServiceEnd(const GatewayState& aState,
                const AdmittedRequest& aRequest,
                Ran aRan)
{
  const ServiceEndDecision decision =
    aState.m_serviceEnd.Decide(ServiceEndQueryFor(aRequest));
  if (!decision.m_maySend) {
    aState.m_metrics.Count("rattanweir_stop_refusals_total");
    const SteadyTime announcedAt =
      aState.m_serviceEnd.AnnouncedAt().value_or(aRequest.m_begunAt);
    throw RequestError(
      ResultCode::InstanceDraining,
      "this instance may end before the response: it ends in " +
        MillisecondsText(decision.m_timeLeft) + " ms, the request began " +
        MillisecondsText(aRequest.m_begunAt - announcedAt) +
        " ms after the stop signal, and " +
        std::to_string(decision.m_runs.m_count) +
        " similar responses took up to " +
        MillisecondsText(decision.m_runs.m_longest) + " ms",
      aRan);
  }
}

RequestError
QuarantineError(const QuarantinedGroup& aGroup, Ran aRan)
{
  return aGroup.HasRequest()
           ? RequestError(ResultCode::RequestQuarantined,
                          "backend servers have crashed on this request",
                          aRan)
           : RequestError(ResultCode::PromptQuarantined,
                          "engines have crashed on a part of the prompt",
                          aRan);
}

Suspects
SharedPartsOf(const std::vector<PromptPart>& aParts)
{
  Suspects suspects;
  for (std::size_t index = 0; index + 1 < aParts.size(); ++index) {
    const Suspect suspect = PromptPartSuspect(aParts[index].m_id);
    if (std::ranges::find(suspects, suspect) == suspects.end()) {
      suspects.push_back(suspect);
    }
  }
  return suspects;
}

void
ApplyAccount(AdmittedRequest& aRequest, const FleetAccount* aAccount)
{
  if (aAccount != nullptr) {
    aRequest.m_clientAccount = aAccount->m_id;
    aRequest.m_priority = aAccount->m_priority.value_or(aRequest.m_priority);
    aRequest.m_cost = CostOf(aRequest.m_info, *aAccount);
  }
  RestrictRegions(aRequest, aAccount);
}

AdmittedRequest
AdmitFromCaller(GatewayState& aState, InboundRequest aInbound)
{
  AdmittedRequest request = StartAdmission(aState, std::move(aInbound));
  ApplyAccount(request, RequireAccount(request));
  CheckResidencyConflict(aState, request);
  const nanoseconds callerTimeout =
    request.m_info.m_callerTimeout.value_or(request.m_route.m_timeout);
  request.m_deadline =
    request.m_receivedAt + std::min(callerTimeout, request.m_route.m_timeout);
  if (request.m_deadline <= aState.m_clock.SteadyNow()) {
    RefuseRequest(ResultCode::DeadlineTooShort, "the deadline has passed");
  }
  request.m_pool = ChoosePool(request.m_route, aState.m_random);
  CheckServiceEnd(aState, request);
  SetSuspects(request);
  CheckQuarantine(aState, request);
  ConsumeRateTokens(aState, request);
  return request;
}

AdmittedRequest
AdmitFromPeer(GatewayState& aState, InboundRequest aInbound)
{
  const HeaderFields headers = aInbound.m_headers;
  AdmittedRequest request = StartAdmission(aState, std::move(aInbound));
  request.m_forwardedBy = InstanceId(RequireHeader(headers, kHopFromField));
  for (const HeaderField& field : headers) {
    if (IsSameHeaderName(field.m_name, kHopDrainingField)) {
      MarkDraining(
        aState, BackendServerId(field.m_value), request.m_forwardedBy->Value());
    }
  }
  const ClientAccountId accountId(RequireHeader(headers, kHopAccountField));
  const FleetAccount* account = request.m_config->FindAccount(accountId);
  if (account == nullptr && !accountId.IsEmpty()) {
    RefuseRequest(ResultCode::ClientAccountUnknown,
                  "the client account is not in this instance's configuration");
  }
  ApplyAccount(request, account);
  request.m_pool = PoolId(RequireHeader(headers, kHopPoolField));
  const auto timeLeft = ParseDecimal(RequireHeader(headers, kHopTimeLeftField));
  if (!timeLeft || request.m_config->FindPool(request.m_pool) == nullptr) {
    RefuseRequest(ResultCode::MalformedRequest,
                  "a header field of the forwarding peer is invalid");
  }
  request.m_deadline = request.m_receivedAt + milliseconds(*timeLeft);
  CheckServiceEnd(aState, request);
  request.m_isQuarantineTrial = FindHeader(headers, kHopTrialField) != nullptr;
  if (const std::string* version = FindHeader(headers, kHopVersionField)) {
    request.m_softwareVersion = *version;
  } else if (request.IsResumption()) {
    // Forwarded by an earlier release, which does not know the version.
    RefuseRequest(ResultCode::StreamNotResumable, kNotResumableDetail);
  }
  SetSuspects(request);
  const QuarantinedGroup* group =
    aState.m_quarantine.FindGroup(request.m_suspects);
  if (group != nullptr && !request.m_isQuarantineTrial) {
    throw QuarantineError(*group, Ran::No);
  }
  if (!request.IsPermittedIn(aState.m_fleet.Self().m_region)) {
    RefuseRequest(ResultCode::ResidencyRefused,
                  "the request may not be served in this region");
  }
  return request;
}

} // namespace rattanweir
