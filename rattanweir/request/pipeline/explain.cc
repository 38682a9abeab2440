#include "rattanweir/request/pipeline/explain.h"

#include "rattanweir/request/pipeline/admission.h"
#include "rattanweir/request/pipeline/attempts.h"

#include <cmath>
#include <utility>

namespace rattanweir {
namespace {

// Evaluates admission and routing step by step and records a reason for each.
class RequestExplainer
{
public:
  explicit RequestExplainer(const ServingContext& aServing)
    : m_serving(aServing)
  {
  }

  Explanation Explain(const ExplainQuery& aQuery)
  {
    try {
      CheckAcceptsRequests(m_serving);
      const Route& route = FindRoute(aQuery);
      CheckClientAccount(route, aQuery.m_clientAccount);
      ExplainRate(aQuery.m_clientAccount);
      ExplainRouting(route, aQuery.m_clientAccount);
    } catch (const RequestError& error) {
      AddReason(error.what());
      m_explanation.m_result = InfoOf(error.Code()).m_name;
    }
    return std::move(m_explanation);
  }

private:
  void AddReason(std::string aReason)
  {
    m_explanation.m_reasons.push_back(std::move(aReason));
  }

  const Route& FindRoute(const ExplainQuery& aQuery)
  {
    const Catalog& catalog = m_serving.m_catalog;
    const Route* route = aQuery.m_route
                           ? catalog.FindRoute(*aQuery.m_route)
                           : catalog.FindRoute(aQuery.m_path, aQuery.m_model);
    if (route == nullptr) {
      throw RequestError(ResultCode::UnknownRoute,
                         "no route matches the query");
    }
    AddReason("route " + route->m_id.Value() + " to pool " +
              route->m_pool.Value());
    return *route;
  }

  void CheckClientAccount(const Route& aRoute, const ClientAccountId& aAccount)
  {
    if (aRoute.m_isOpenToAll) {
      AddReason("the route is open to all");
      return;
    }
    if (aAccount.IsEmpty()) {
      throw RequestError(ResultCode::KeyMissing, "the route requires a key");
    }
    if (m_serving.m_catalog.FindClientAccount(aAccount) == nullptr) {
      throw RequestError(ResultCode::ClientAccountUnknown,
                         "the client account is not in the configuration");
    }
    AddReason("client account " + aAccount.Value());
  }

  void ExplainRate(const ClientAccountId& aAccount)
  {
    if (aAccount.IsEmpty()) {
      return;
    }
    const RateStatus status = m_serving.m_rates.Status(aAccount);
    AddReason(std::to_string(std::lround(status.m_availableTokens)) +
              " tokens available at this instance");
  }

  void ExplainRegions(const PermittedRegions& aRegions, const Route& aRoute)
  {
    if (aRegions.IsEmpty()) {
      throw RequestError(ResultCode::ResidencyUnavailable,
                         "residency permits no region");
    }
    const bool isPermittedHere = aRegions.Permits(m_serving.m_region);
    AddReason("residency " +
              std::string(isPermittedHere ? "permits" : "forbids") +
              " this region, " + m_serving.m_region.Value());
    for (const RegionId& region :
         m_serving.m_catalog.RegionsOf(aRoute.m_pool)) {
      AddReason("the pool has backend servers in " + region.Value() +
                (aRegions.Permits(region) ? "" : ", which is not permitted"));
    }
  }

  void ExplainCandidate(const BackendCandidate& aCandidate)
  {
    const BackendState& state = aCandidate.m_state;
    std::string text = "backend server " + aCandidate.m_id.Value() + ": " +
                       std::to_string(state.m_inFlight) + " of " +
                       std::to_string(aCandidate.m_maximumInFlight) +
                       " in flight";
    if (state.m_load) {
      text += ", load " + std::to_string(state.m_load->m_load);
    }
    if (aCandidate.m_isDraining || state.m_isDraining) {
      text += ", draining";
    }
    if (state.m_ejectedUntil) {
      text += ", ejected after failures";
    }
    AddReason(std::move(text));
  }

  void ExplainRouting(const Route& aRoute, const ClientAccountId& aAccount)
  {
    const RequestPlan plan{ .m_route = aRoute, .m_clientAccount = aAccount };
    const RoutingInput input = BuildRoutingInput(m_serving, plan, {}, false);
    ExplainRegions(input.m_regions, aRoute);
    for (const BackendCandidate& candidate : input.m_candidates) {
      ExplainCandidate(candidate);
    }
    for (const PeerView& peer : input.m_peers) {
      AddReason("instance " + peer.m_record.m_id.Value() + " of region " +
                peer.m_record.m_region.Value() + " is usable");
    }
    BackendSelector backends(
      { .m_clock = m_serving.m_clock, .m_random = m_serving.m_random });
    RequestRouter router(
      { .m_backends = backends, .m_random = m_serving.m_random });
    const RoutingDecision decision = router.Choose(input);
    if (const auto* noDestination = std::get_if<NoDestination>(&decision)) {
      throw RequestError(noDestination->m_code, noDestination->m_detail);
    }
    const auto* forward = std::get_if<ForwardToPeer>(&decision);
    m_explanation.m_result =
      forward == nullptr
        ? "served by " +
            std::get<ServeLocally>(decision).m_backendServer.Value()
        : "forwarded to " + forward->m_peer.m_record.m_id.Value();
  }

  const ServingContext& m_serving;
  Explanation m_explanation;
};

} // namespace

Explanation
Explain(const ServingContext& aServing, const ExplainQuery& aQuery)
{
  return RequestExplainer(aServing).Explain(aQuery);
}

} // namespace rattanweir
