#include "testing/load_model/placing_policy.h"

#include "rattanweir/request/placement/question.h"

#include <algorithm>

namespace rattanweir {
namespace {

// Requests at a server, in multiples of its slots, from which the least-load
// baseline takes it for full.
constexpr double kMostPerSlot = 4;

Placement
Elsewhere(const PlacementQuestion& aQuestion)
{
  if (!aQuestion.m_regions.empty()) {
    return SendToRegion{};
  }
  return Refuse{ .m_comeBackAfter = std::chrono::seconds(1) };
}

Placement
LeastLoaded(const PlacementQuestion& aQuestion)
{
  const auto& servers = aQuestion.m_servers;
  if (servers.empty()) {
    return Elsewhere(aQuestion);
  }
  const auto least = std::min_element(
    servers.begin(),
    servers.end(),
    [&](const ServerChoice& aLeft, const ServerChoice& aRight) {
      return EstimateOccupancy(aQuestion, aLeft) <
             EstimateOccupancy(aQuestion, aRight);
    });
  if (EstimateOccupancy(aQuestion, *least) >= kMostPerSlot * least->m_slots) {
    return StayInLine{};
  }
  return SendToServer{ .m_index = std::size_t(least - servers.begin()) };
}

} // namespace

const char*
NameOf(PolicyKind aKind)
{
  switch (aKind) {
    case PolicyKind::Product:
      return "product";
    case PolicyKind::FirstCome:
      return "first come";
    case PolicyKind::NoRefusal:
      return "no refusal";
    case PolicyKind::LeastLoad:
      return "least load";
    case PolicyKind::RoundRobin:
      return "round robin";
  }
  return "unknown";
}

PlacingPolicy::PlacingPolicy(PolicyKind aKind)
  : m_kind(aKind)
{
}

Placement
PlacingPolicy::Decide(PlacementQuestion aQuestion)
{
  switch (m_kind) {
    case PolicyKind::Product:
    case PolicyKind::FirstCome:
      break;
    case PolicyKind::NoRefusal:
      aQuestion.m_untilDeadline = std::chrono::hours(1);
      break;
    case PolicyKind::LeastLoad:
      return LeastLoaded(aQuestion);
    case PolicyKind::RoundRobin:
      if (aQuestion.m_servers.empty()) {
        return Elsewhere(aQuestion);
      }
      return SendToServer{ .m_index = m_next++ % aQuestion.m_servers.size() };
  }
  return DecidePlacement(aQuestion);
}

Rank
PlacingPolicy::RankOf(const Rank& aRank) const
{
  if (m_kind == PolicyKind::Product) {
    return aRank;
  }
  // Among equals the newest goes first, so the oldest is made the newest.
  return { .m_arrivedAt = SteadyTime{} - (aRank.m_arrivedAt - SteadyTime{}) };
}

std::chrono::nanoseconds
PlacingPolicy::LongestWait(std::chrono::nanoseconds aObjective,
                           std::chrono::nanoseconds aUntilDeadline) const
{
  const bool isRefusing =
    m_kind == PolicyKind::Product || m_kind == PolicyKind::FirstCome;
  return isRefusing ? rattanweir::LongestWait(aObjective, aUntilDeadline)
                    : aUntilDeadline;
}

} // namespace rattanweir
