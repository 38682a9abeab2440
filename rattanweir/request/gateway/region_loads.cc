#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/region_loads.h"

#include "rattanweir/process/logging/log.h"

#include <chrono>
#include <cmath>
#include <map>
#include <string>

namespace rattanweir {
namespace {

// Older figures say nothing about a peak that moves within seconds.
constexpr std::chrono::seconds kMaxReportAge{ 3 };

// What is known of a region so far.
struct RegionSum
{
  std::size_t m_reports = 0;
  double m_arrivals = 0;
  double m_capacity = 0;

  void Add(const PoolDemand& aDemand)
  {
    ++m_reports;
    m_arrivals += aDemand.m_arrivals.Value();
    m_capacity += aDemand.m_capacity.Value();
  }
};

bool
IsUsable(const PoolDemand& aDemand)
{
  const double arrivals = aDemand.m_arrivals.Value();
  const double capacity = aDemand.m_capacity.Value();
  return std::isfinite(arrivals) && arrivals >= 0 && std::isfinite(capacity) &&
         capacity >= 0;
}

std::string
TextOf(std::span<const RegionLoad> aLoads)
{
  std::string text;
  for (const RegionLoad& load : aLoads) {
    text += text.empty() ? "" : ",";
    text += load.m_region.Value() + ":" +
            std::to_string(std::lround(load.m_demand.Value())) + "/" +
            std::to_string(std::lround(load.m_capacity.Value()));
  }
  return text;
}

} // namespace

std::optional<PoolDemand>
DemandToAdvertise(const GatewayState& aState, const PoolId& aPool)
{
  const auto arrivals = aState.m_arrivals.RateOf(aPool);
  const auto slotTime = aState.m_performance.SlotTimeOf(aPool);
  if (!arrivals || !slotTime) {
    return std::nullopt;
  }
  const double slotSeconds = std::chrono::duration<double>(*slotTime).count();
  double capacity = 0;
  for (const RegisteredServer* server :
       aState.m_registry.ServersOf(aPool, aState.m_fleet.Self().m_region)) {
    const auto profile =
      aState.m_performance.ProfileOf(aPool, server->m_incarnation);
    if (!server->AcceptsRequests() || !profile ||
        aState.m_backends.StateOf(server->m_incarnation).m_ejectedUntil) {
      continue;
    }
    capacity += server->m_record.m_slots / (slotSeconds * profile->m_slowdown);
  }
  return PoolDemand{ .m_arrivals = *arrivals,
                     .m_capacity = RequestRate(capacity) };
}

std::vector<RegionLoad>
RegionLoadsOf(const GatewayState& aState, const PoolId& aPool)
{
  std::map<RegionId, RegionSum> sums;
  for (const FleetMember* member : aState.m_fleet.HeardWithin(kMaxReportAge)) {
    const auto report = member->m_pools.find(aPool);
    if (report != member->m_pools.end() && report->second.m_demand &&
        IsUsable(*report->second.m_demand)) {
      sums[member->m_region].Add(*report->second.m_demand);
    }
  }
  if (const auto demand = DemandToAdvertise(aState, aPool)) {
    sums[aState.m_fleet.Self().m_region].Add(*demand);
  }
  std::vector<RegionLoad> loads;
  for (const auto& [region, sum] : sums) {
    const auto reports = static_cast<double>(sum.m_reports);
    loads.push_back({ .m_region = region,
                      .m_demand = RequestRate(sum.m_arrivals),
                      .m_capacity = RequestRate(sum.m_capacity / reports) });
  }
  return loads;
}

void
UpdateSplit(GatewayState& aState, const PoolId& aPool)
{
  if (!aState.m_split.IsUpdateDue(aPool)) {
    return;
  }
  const RegionId& own = aState.m_fleet.Self().m_region;
  const SplitChange change =
    aState.m_split.Update(aPool, RegionLoadsOf(aState, aPool), own);
  if (change == SplitChange::None) {
    return;
  }
  aState.m_metrics.Count("rattanweir_region_splits_total");
  Log(LogLevel::Info,
      change == SplitChange::Begins ? "region_split_begins"
                                    : "region_split_ends",
      { { "pool", aPool.Value() },
        { "demand_per_capacity", TextOf(aState.m_split.LoadsOf(aPool)) } });
}

} // namespace rattanweir
