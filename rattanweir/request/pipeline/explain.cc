#include "rattanweir/request/pipeline/explain.h"

#include "rattanweir/request/pipeline/admission.h"
#include "rattanweir/request/pipeline/attempts.h"

#include <cmath>
#include <utility>

namespace rattanweir {
namespace {

// Follows the order of admission and choice, and notes each step.
class Explainer
{
public:
  explicit Explainer(const Serving& aServing)
    : m_serving(aServing)
  {
  }

  Explanation Explain(const ExplainQuery& aQuery)
  {
    try {
      CheckTakesRequests(m_serving);
      const Route& route = FindRoute(aQuery);
      CheckClientAccount(route, aQuery.m_clientAccount);
      NoteRate(aQuery.m_clientAccount);
      NotePlace(route, aQuery.m_clientAccount);
    } catch (const RequestError& error) {
      Note(error.what());
      m_explanation.m_result = InfoOf(error.Code()).m_name;
    }
    return std::move(m_explanation);
  }

private:
  void Note(std::string aReason)
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
      throw RequestError(ResultCode::UnknownRoute, "no such route");
    }
    Note("route " + route->m_id.Value() + " to pool " + route->m_pool.Value());
    return *route;
  }

  void CheckClientAccount(const Route& aRoute, const ClientAccountId& aAccount)
  {
    if (aRoute.m_isOpenToAll) {
      Note("the route is open to all");
      return;
    }
    if (aAccount.IsEmpty()) {
      throw RequestError(ResultCode::KeyMissing, "the route wants a key");
    }
    if (m_serving.m_catalog.FindClientAccount(aAccount) == nullptr) {
      throw RequestError(ResultCode::ClientAccountUnknown,
                         "the client account is not in the configuration");
    }
    Note("client account " + aAccount.Value());
  }

  void NoteRate(const ClientAccountId& aAccount)
  {
    if (aAccount.IsEmpty()) {
      return;
    }
    const RateStatus status = m_serving.m_rates.Status(aAccount);
    Note(std::to_string(std::lround(status.m_availableTokens)) +
         " tokens of the rate at hand here");
  }

  void NoteRegions(const PermittedRegions& aRegions, const Route& aRoute)
  {
    if (aRegions.IsEmpty()) {
      throw RequestError(ResultCode::ResidencyUnavailable,
                         "residency permits no region");
    }
    const bool isHere = aRegions.Permits(m_serving.m_region);
    Note("residency " + std::string(isHere ? "permits" : "forbids") +
         " this region, " + m_serving.m_region.Value());
    for (const RegionId& region :
         m_serving.m_catalog.RegionsOf(aRoute.m_pool)) {
      Note("the pool has backend servers in " + region.Value() +
           (aRegions.Permits(region) ? "" : ", which is not permitted"));
    }
  }

  void NoteCandidate(const BackendCandidate& aCandidate)
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
      text += ", leaving";
    }
    if (state.m_ejectedUntil) {
      text += ", ejected after failures";
    }
    Note(std::move(text));
  }

  void NotePlace(const Route& aRoute, const ClientAccountId& aAccount)
  {
    const RequestPlan plan{ .m_route = aRoute, .m_clientAccount = aAccount };
    const RoutingInput input = BuildRoutingInput(m_serving, plan, {}, false);
    NoteRegions(input.m_regions, aRoute);
    for (const BackendCandidate& candidate : input.m_candidates) {
      NoteCandidate(candidate);
    }
    for (const PeerView& peer : input.m_peers) {
      Note("instance " + peer.m_record.m_id.Value() + " of region " +
           peer.m_record.m_region.Value() + " is usable");
    }
    BackendSelector backends(
      { .m_clock = m_serving.m_clock, .m_random = m_serving.m_random });
    RequestRouter choice(
      { .m_backends = backends, .m_random = m_serving.m_random });
    const RoutingDecision place = choice.Choose(input);
    if (const auto* nowhere = std::get_if<NoDestination>(&place)) {
      throw RequestError(nowhere->m_code, nowhere->m_detail);
    }
    const auto* forward = std::get_if<ForwardToPeer>(&place);
    m_explanation.m_result =
      forward == nullptr
        ? "served by " + std::get<ServeLocally>(place).m_backendServer.Value()
        : "forwarded to " + forward->m_peer.m_record.m_id.Value();
  }

  const Serving& m_serving;
  Explanation m_explanation;
};

} // namespace

Explanation
Explain(const Serving& aServing, const ExplainQuery& aQuery)
{
  return Explainer(aServing).Explain(aQuery);
}

} // namespace rattanweir
