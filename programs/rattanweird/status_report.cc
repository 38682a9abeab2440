#include "programs/rattanweird/status_report.h"

#include "rattanweir/request/pipeline/explain.h"
#include "rattanweir/request/pipeline/json_response.h"

#include <chrono>

namespace rattanweir {
namespace {

Json::Value
SectionJson(const SectionStatus& aStatus)
{
  Json::Value json(Json::objectValue);
  if (aStatus.m_inForce) {
    json["version"] = Json::UInt64(aStatus.m_inForce->Value());
  }
  if (aStatus.m_rejected) {
    json["rejected_version"] = Json::UInt64(aStatus.m_rejected->Value());
  }
  json["faults"] = Json::arrayValue;
  for (const SectionFault& fault : aStatus.m_faults) {
    json["faults"].append(fault.ToString());
  }
  json["accepted"] = Json::UInt64(aStatus.m_acceptedCount);
  json["rejected"] = Json::UInt64(aStatus.m_rejectedCount);
  json["conflicts"] = Json::UInt64(aStatus.m_conflictCount);
  return json;
}

} // namespace

StatusReport::StatusReport(const ServingContext& aServing,
                           Incarnation aIncarnation,
                           const KeyedRuns& aKeyedRuns)
  : m_serving(aServing)
  , m_incarnation(aIncarnation)
  , m_keyedRuns(aKeyedRuns)
{
}

std::string
StatusReport::Status() const
{
  Json::Value json(Json::objectValue);
  json["instance"] = m_serving.m_self.Value();
  // A string, because some JSON parsers read large numbers inexactly.
  json["incarnation"] = std::to_string(m_incarnation.Value());
  json["region"] = m_serving.m_region.Value();
  json["caller_address"] = m_serving.m_callerAddress.ToString();
  json["ready"] = m_serving.m_isReady;
  json["draining"] = m_serving.m_isDraining;
  json["paused"] = m_serving.m_rates.IsPaused();
  json["sections"] = Sections();
  json["peers"] = Peers();
  json["client_accounts"] = Rates();
  json["in_flight"] = Json::UInt64(m_serving.m_inFlight.Count());
  json["keyed_runs"] = Json::UInt64(m_keyedRuns.RunningCount());
  json["idempotency_keys"] =
    Json::UInt64(m_serving.m_idempotencyLedger.KeyCount());
  return JsonText(json);
}

std::string
StatusReport::Counters() const
{
  Json::Value json(Json::objectValue);
  for (const ResultInfo& info : AllResults()) {
    const std::string name(info.m_name);
    json["refusals"][name] =
      Json::UInt64(m_serving.m_metrics.Refusals(info.m_code));
    json["retries"][name] =
      Json::UInt64(m_serving.m_metrics.Retries(info.m_code));
  }
  return JsonText(json);
}

std::string
StatusReport::Explain(const AdminQuery& aQuery) const
{
  ExplainQuery query;
  if (const auto route = aQuery.Find("route")) {
    query.m_route = RouteId(*route);
  }
  if (const auto model = aQuery.Find("model")) {
    query.m_model = ModelId(*model);
  }
  query.m_path = aQuery.Find("path").value_or("");
  query.m_clientAccount =
    ClientAccountId(aQuery.Find("client_account").value_or(""));
  const Explanation explanation = rattanweir::Explain(m_serving, query);
  Json::Value json(Json::objectValue);
  json["result"] = explanation.m_result;
  json["reasons"] = Json::arrayValue;
  for (const std::string& reason : explanation.m_reasons) {
    json["reasons"].append(reason);
  }
  return JsonText(json);
}

Json::Value
StatusReport::Sections() const
{
  Json::Value sections(Json::objectValue);
  for (const SectionKind kind : kAllSectionKinds) {
    sections[SectionName(kind)] = SectionJson(m_serving.m_catalog.Status(kind));
  }
  return sections;
}

Json::Value
StatusReport::Peers() const
{
  using std::chrono::milliseconds;
  Json::Value peers(Json::arrayValue);
  const SteadyTime now = m_serving.m_clock.SteadyNow();
  for (const PeerView& peer : m_serving.m_membership.Peers()) {
    Json::Value json(Json::objectValue);
    json["instance"] = peer.m_record.m_id.Value();
    json["region"] = peer.m_record.m_region.Value();
    json["usable"] = m_serving.m_membership.IsUsable(peer);
    json["leaving"] = peer.m_record.m_isDraining;
    if (peer.m_heartbeat) {
      const auto age =
        std::chrono::duration_cast<milliseconds>(now - peer.m_lastHeartbeatAt);
      json["heard_ms_ago"] = Json::Int64(age.count());
      json["ready"] = peer.m_heartbeat->m_isReady;
      json["draining"] = peer.m_heartbeat->m_isDraining;
      json["in_flight"] = peer.m_heartbeat->m_requestsInFlight;
    }
    peers.append(std::move(json));
  }
  return peers;
}

Json::Value
StatusReport::Rates() const
{
  Json::Value rates(Json::objectValue);
  for (const ClientAccount& account :
       m_serving.m_catalog.ClientAccounts().m_clientAccounts) {
    const RateStatus status = m_serving.m_rates.Status(account.m_id);
    Json::Value& json = rates[account.m_id.Value()];
    json["owned_fraction"] = status.m_ownedFraction;
    json["borrowed_fraction"] = status.m_borrowedFraction;
    json["lent_fraction"] = status.m_lentFraction;
    json["tokens_at_hand"] = status.m_availableTokens;
  }
  return rates;
}

} // namespace rattanweir
