#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/gateway_report.h"

#include "rattanweir/request/gateway/build_placement_input.h"
#include "rattanweir/request/gateway/gateway_admission.h"
#include "rattanweir/request/placement/placement.h"

#include <algorithm>
#include <utility>

namespace rattanweir {
namespace {

Json::Int64
MillisecondsOf(std::chrono::nanoseconds aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

// Returns why a server currently gets no requests; empty if it is
// eligible.
std::string
IneligibilityReason(const GatewayState& aState, const RegisteredServer& aServer)
{
  if (aServer.m_record.m_isDraining) {
    return "it leaves";
  }
  if (aServer.m_isEvacuated) {
    return "its zone is evacuated";
  }
  const BackendState state = aState.m_backends.StateOf(aServer.m_incarnation);
  if (state.m_pausedUntil) {
    return "it has asked for a pause";
  }
  return state.m_ejectedUntil ? "it failed too often" : "";
}

Json::Value
ServerStatus(const GatewayState& aState, const RegisteredServer& aServer)
{
  const SteadyTime now = aState.m_clock.SteadyNow();
  const BackendState state = aState.m_backends.StateOf(aServer.m_incarnation);
  Json::Value row;
  row["incarnation"] = aServer.m_incarnation.Value();
  row["pool"] = aServer.m_record.m_pool.Value();
  row["zone"] = aServer.m_record.m_zone.Value();
  row["leaving"] = aServer.m_record.m_isDraining;
  row["evacuated"] = aServer.m_isEvacuated;
  row["cold"] = aServer.m_coldUntil > now;
  row["ejected"] = state.m_ejectedUntil.has_value();
  row["in_flight"] = state.m_inFlight;
  row["failure_share"] = state.m_failureRate;
  row["why_not"] = IneligibilityReason(aState, aServer);
  if (state.m_queue) {
    row["running"] = state.m_queue->m_running;
    row["waiting"] = state.m_queue->m_waiting;
    row["load_age_ms"] = MillisecondsOf(now - state.m_queue->m_at);
  }
  return row;
}

std::string
DescribePlacement(const PlacementInput& aInput, const Placement& aPlacement)
{
  struct PlacementDescriber
  {
    const PlacementInput& m_input;
    std::string operator()(const SendToServer& aServer) const
    {
      return "sent to " +
             m_input.m_servers[aServer.m_index].m_incarnation.Value();
    }
    std::string operator()(const SendToRegion& aRegion) const
    {
      return "sent to region " +
             m_input.m_regions[aRegion.m_index].m_region.Value();
    }
    std::string operator()(const KeepQueued&) const
    {
      return "waits in line for a server";
    }
    std::string operator()(const Refuse& aRefusal) const
    {
      return std::string(InfoOf(ResultCodeOf(aRefusal.m_reason)).m_name);
    }
  };
  return std::visit(PlacementDescriber{ aInput }, aPlacement);
}

// Returns the estimates and the placement decision for one pool of the route.
Json::Value
ExplainPool(const GatewayState& aState, const AdmittedRequest& aRequest)
{
  const std::set<BackendServerId> triedServers;
  const std::optional<std::string> anyVersion;
  const std::set<InstanceId> triedPeers;
  const PlacementInput input =
    BuildPlacementInput({ .m_state = aState,
                          .m_request = aRequest,
                          .m_triedServers = triedServers,
                          .m_triedPeers = triedPeers,
                          .m_softwareVersion = anyVersion });
  Json::Value row;
  row["pool"] = aRequest.m_pool.Value();
  row["servers"] = Json::Value(Json::arrayValue);
  for (const ServerCandidate& candidate : input.m_servers) {
    Json::Value server;
    server["incarnation"] = candidate.m_incarnation.Value();
    server["estimate_ms"] =
      MillisecondsOf(EstimateTimeToFirstByte(input, candidate));
    server["requests"] = EstimateOccupancy(input, candidate);
    server["uncached_tokens"] = Json::Int64(candidate.m_uncached.Value());
    server["rate_limit_reached"] = candidate.m_isRateLimitReached;
    row["servers"].append(std::move(server));
  }
  row["without_work"] = Json::Value(Json::arrayValue);
  for (const RegisteredServer* server : aState.m_registry.ServersOf(
         aRequest.m_pool, aState.m_fleet.Self().m_region)) {
    const std::string reason = IneligibilityReason(aState, *server);
    if (!reason.empty()) {
      row["without_work"].append(server->m_incarnation.Value() + ": " + reason);
    }
  }
  row["regions"] = Json::Value(Json::arrayValue);
  for (const RegionCandidate& candidate : input.m_regions) {
    Json::Value region;
    region["region"] = candidate.m_region.Value();
    region["estimate_ms"] =
      MillisecondsOf(EstimateTimeToFirstByte(input, candidate));
    row["regions"].append(std::move(region));
  }
  row["result"] = DescribePlacement(input, DecidePlacement(input));
  return row;
}

Json::Value
ResultOnly(ResultCode aCode)
{
  Json::Value response;
  response["result"] = std::string(InfoOf(aCode).m_name);
  return response;
}

} // namespace

Json::Value
GatewayStatus(const GatewayState& aState, bool aIsStoreInTouch)
{
  const FleetMember& self = aState.m_fleet.Self();
  const FleetConfigPtr config = aState.m_config.InForce();
  Json::Value status;
  status["instance"] = self.m_id.Value();
  status["ready"] = self.m_isReady;
  status["draining"] = self.m_isDraining;
  status["store_in_touch"] = aIsStoreInTouch;
  status["config"] = config ? Json::UInt64(config->Version().Value()) : 0;
  status["in_flight"] = Json::UInt64(aState.m_inFlight);
  status["members"] = Json::Value(Json::arrayValue);
  for (const FleetMember* member : aState.m_fleet.PossiblyRunning()) {
    Json::Value row;
    row["id"] = member->m_id.Value();
    row["region"] = member->m_region.Value();
    row["live"] = aState.m_fleet.IsLive(member->m_id);
    row["ready"] = member->m_isReady;
    row["config"] = Json::UInt64(member->m_configVersion.Value());
    status["members"].append(std::move(row));
  }
  status["quarantine"] = Json::Value(Json::arrayValue);
  for (const QuarantinedGroup& group : aState.m_quarantine.Groups()) {
    Json::Value row;
    for (const Suspect& suspect : group.m_suspects) {
      const bool isRequest = suspect.m_kind == SuspectKind::Request;
      row[isRequest ? "requests" : "parts"].append(SuspectText(suspect));
    }
    for (const BackendServerId& server : group.m_servers) {
      row["servers"].append(server.Value());
    }
    row["last_ms"] =
      MillisecondsOf(aState.m_clock.SteadyNow() - group.m_lastBreakAt);
    status["quarantine"].append(std::move(row));
  }
  status["servers"] = Json::Value(Json::arrayValue);
  if (!config) {
    return status;
  }
  for (const Pool& pool : config->Pools()) {
    for (const RegisteredServer* server :
         aState.m_registry.ServersOf(pool.m_id, self.m_region)) {
      status["servers"].append(ServerStatus(aState, *server));
    }
  }
  return status;
}

Json::Value
ExplainRequest(const GatewayState& aState, const ExplainQuery& aQuery)
{
  const FleetConfigPtr config = aState.m_config.InForce();
  if (!config) {
    return ResultOnly(ResultCode::InstanceNotReady);
  }
  const FleetRoute* route = config->FindRoute(aQuery.m_host, aQuery.m_path);
  if (route == nullptr) {
    return ResultOnly(ResultCode::UnknownRoute);
  }
  const SteadyTime now = aState.m_clock.SteadyNow();
  AdmittedRequest request{
    .m_target = aQuery.m_path,
    .m_body = std::make_shared<const std::string>(),
    .m_receivedAt = now,
    .m_deadline = now + route->m_timeout,
    .m_config = config,
    .m_route = *route,
    .m_priority = route->m_priority,
  };
  request.m_info.m_promptTokens = aQuery.m_promptTokens;
  const FleetAccount* account = config->FindAccount(aQuery.m_clientAccount);
  const bool needsAccount = !route->m_isOpenToAll && config->HasAccounts();
  if (needsAccount && account == nullptr) {
    return ResultOnly(ResultCode::KeyNotGranted);
  }
  ApplyAccount(request, needsAccount ? account : nullptr);
  Json::Value response;
  response["config"] = Json::UInt64(config->Version().Value());
  response["route"] = route->m_id.Value();
  response["priority"] = request.m_priority;
  if (needsAccount) {
    response["account_level"] = aState.m_rates.BucketLevel(account->m_id);
    response["cost"] = Json::Int64(request.m_cost.Value());
  }
  std::vector<PromptPart> parts;
  for (const std::string& id : aQuery.m_promptParts) {
    parts.push_back({ .m_id = id });
  }
  Suspects suspects = SharedPartsOf(parts);
  suspects.push_back(RequestSuspect({ .m_account = request.m_clientAccount,
                                      .m_method = aQuery.m_method,
                                      .m_host = aQuery.m_host,
                                      .m_target = aQuery.m_path,
                                      .m_body = aQuery.m_body }));
  const QuarantinedGroup* group = aState.m_quarantine.FindGroup(suspects);
  response["request_key"] = SuspectText(suspects.back());
  response["quarantined"] = group != nullptr;
  response["pools"] = Json::Value(Json::arrayValue);
  for (const PoolWeight& poolWeight : route->m_pools) {
    request.m_pool = poolWeight.m_pool;
    Json::Value row = ExplainPool(aState, request);
    row["weight"] = poolWeight.m_weight;
    response["result"] = row["result"];
    response["pools"].append(std::move(row));
  }
  if (group != nullptr) {
    response["result"] =
      std::string(InfoOf(QuarantineError(*group, Ran::No).Code()).m_name);
  }
  return response;
}

} // namespace rattanweir
