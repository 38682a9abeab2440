#include "testing/load_model/placement_policy.h"

#include "rattanweir/request/placement/placement_input.h"

#include <algorithm>

namespace rattanweir {
namespace {

// Requests per slot at which the least-load policy considers a server full.
constexpr double kMaxPerSlot = 4;

Placement
SendToOtherRegionOrRefuse(const PlacementInput& aInput)
{
  if (!aInput.m_regions.empty()) {
    return SendToRegion{};
  }
  return Refuse{ .m_retryAfter = std::chrono::seconds(1) };
}

Placement
LeastLoaded(const PlacementInput& aInput)
{
  const auto& servers = aInput.m_servers;
  if (servers.empty()) {
    return SendToOtherRegionOrRefuse(aInput);
  }
  const auto least = std::min_element(
    servers.begin(),
    servers.end(),
    [&](const ServerCandidate& aLeft, const ServerCandidate& aRight) {
      return EstimateOccupancy(aInput, aLeft) <
             EstimateOccupancy(aInput, aRight);
    });
  if (EstimateOccupancy(aInput, *least) >= kMaxPerSlot * least->m_slots) {
    return KeepQueued{};
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
    case PolicyKind::FirstComeFirstServed:
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

PlacementPolicy::PlacementPolicy(PolicyKind aKind)
  : m_kind(aKind)
{
}

Placement
PlacementPolicy::Decide(PlacementInput aInput)
{
  switch (m_kind) {
    case PolicyKind::Product:
    case PolicyKind::FirstComeFirstServed:
      break;
    case PolicyKind::NoRefusal:
      aInput.m_untilDeadline = std::chrono::hours(1);
      break;
    case PolicyKind::LeastLoad:
      return LeastLoaded(aInput);
    case PolicyKind::RoundRobin:
      if (aInput.m_servers.empty()) {
        return SendToOtherRegionOrRefuse(aInput);
      }
      return SendToServer{ .m_index = m_next++ % aInput.m_servers.size() };
  }
  return DecidePlacement(aInput);
}

SchedulingKey
PlacementPolicy::SchedulingKeyOf(const SchedulingKey& aKey) const
{
  if (m_kind == PolicyKind::Product) {
    return aKey;
  }
  // Equal priorities are served newest first; negating the arrival time makes
  // this oldest first.
  return { .m_arrivedAt = SteadyTime{} - (aKey.m_arrivedAt - SteadyTime{}) };
}

std::chrono::nanoseconds
PlacementPolicy::MaxQueueWait(std::chrono::nanoseconds aObjective,
                              std::chrono::nanoseconds aUntilDeadline) const
{
  const bool isRefusing =
    m_kind == PolicyKind::Product || m_kind == PolicyKind::FirstComeFirstServed;
  return isRefusing ? rattanweir::MaxQueueWait(aObjective, aUntilDeadline)
                    : aUntilDeadline;
}

} // namespace rattanweir
