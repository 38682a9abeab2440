#include "rattanweir/process/server_performance/server_performance.h"

#include <algorithm>
#include <cmath>

namespace rattanweir {

using std::chrono::nanoseconds;

nanoseconds
ServerProfile::WorkTime(Tokens aUncached) const
{
  return ScaleDuration(m_firstByteCost, m_slowdown) + PrefillTime(aUncached);
}

nanoseconds
ServerProfile::PrefillTime(Tokens aTokens) const
{
  return nanoseconds(
    static_cast<std::int64_t>(m_slowdown * m_costPerToken.count() *
                              static_cast<double>(aTokens.Value())));
}

ServerPerformance::ServerPerformance(const ServerPerformanceOptions& aOptions)
  : m_options(aOptions)
{
}

void
ServerPerformance::RecordPace(const PoolId& aPool,
                              const BackendServerId& aServer,
                              Pace aPace)
{
  m_pools.try_emplace(aPool, m_options.m_poolModel);
  const double pace =
    std::clamp(aPace, m_options.m_minPace, m_options.m_maxPace).Value();
  const auto [entry, isNew] = m_servers.try_emplace(aServer);
  Server& server = entry->second;
  server.m_meanPace = isNew ? pace
                            : server.m_meanPace + m_options.m_paceWeight *
                                                    (pace - server.m_meanPace);
  server.m_pace = pace;
  server.m_paceAt = m_options.m_clock.SteadyNow();
}

bool
ServerPerformance::RecordInvalidLoad(const BackendServerId& aServer)
{
  return m_withInvalidLoad.insert(aServer).second;
}

bool
ServerPerformance::IsProfiled(const PoolId& aPool) const
{
  return m_pools.contains(aPool);
}

double
ServerPerformance::PaceOf(const Server& aServer) const
{
  const std::chrono::duration<double> age =
    m_options.m_clock.SteadyNow() - aServer.m_paceAt;
  const std::chrono::duration<double> halfLife = m_options.m_paceHalfLife;
  return aServer.m_meanPace +
         (aServer.m_pace - aServer.m_meanPace) * std::exp2(-age / halfLife);
}

std::optional<ServerProfile>
ServerPerformance::ProfileOf(const PoolId& aPool,
                             const BackendServerId& aServer) const
{
  const auto pool = m_pools.find(aPool);
  if (pool == m_pools.end()) {
    return std::nullopt;
  }
  ServerProfile profile{ .m_firstByteCost = pool->second.FixedCost(),
                         .m_costPerToken = pool->second.CostPerToken() };
  if (const auto server = m_servers.find(aServer); server != m_servers.end()) {
    profile.m_slowdown = server->second.m_speed * PaceOf(server->second);
  }
  return profile;
}

std::optional<ServerProfile>
ServerPerformance::ProfileOfRegion(const PoolId& aPool,
                                   const BackendServerId& aRegion) const
{
  if (!IsProfiled(aPool)) {
    return std::nullopt;
  }
  const auto region = m_regions.find(aRegion);
  const LatencyModel model = region == m_regions.end()
                               ? LatencyModel(m_options.m_regionModel)
                               : region->second;
  return ServerProfile{ .m_firstByteCost = model.FixedCost(),
                        .m_costPerToken = model.CostPerToken() };
}

void
ServerPerformance::RecordStart(const PoolId& aPool,
                               const BackendServerId& aServer,
                               const LatencyObservation& aObservation)
{
  const auto pool = m_pools.find(aPool);
  if (pool == m_pools.end()) {
    return;
  }
  pool->second.Observe(aObservation);
  const auto found = m_servers.find(aServer);
  const nanoseconds error = aObservation.m_observed - aObservation.m_estimate;
  const nanoseconds tolerance =
    ScaleDuration(aObservation.m_estimate, m_options.m_speedTolerance);
  if (found == m_servers.end() || std::chrono::abs(error) <= tolerance) {
    return;
  }
  double& speed = found->second.m_speed;
  speed =
    std::clamp(error > nanoseconds::zero() ? speed * m_options.m_speedStep
                                           : speed / m_options.m_speedStep,
               m_options.m_minSpeed,
               m_options.m_maxSpeed);
}

void
ServerPerformance::RecordRegionStart(const PoolId& aPool,
                                     const BackendServerId& aRegion,
                                     const LatencyObservation& aObservation)
{
  if (IsProfiled(aPool)) {
    m_regions.try_emplace(aRegion, m_options.m_regionModel)
      .first->second.Observe(aObservation);
  }
}

void
ServerPerformance::RecordSlotTime(const PoolId& aPool, nanoseconds aTime)
{
  if (!IsProfiled(aPool)) {
    return;
  }
  SlotTime& slotTime = m_slotTimes[aPool];
  ++slotTime.m_observations;
  const double weight =
    std::max(m_options.m_slotTimeWeight, 1.0 / slotTime.m_observations);
  // Bounded, since some requests wait behind others that are not known here.
  constexpr double kMaxFactor = 2;
  double observed = static_cast<double>(aTime.count());
  if (slotTime.m_observations > 1) {
    observed = std::min(observed, kMaxFactor * slotTime.m_nanoseconds);
  }
  slotTime.m_nanoseconds += weight * (observed - slotTime.m_nanoseconds);
}

std::optional<nanoseconds>
ServerPerformance::SlotTimeOf(const PoolId& aPool) const
{
  const auto found = m_slotTimes.find(aPool);
  if (found == m_slotTimes.end() ||
      found->second.m_observations < m_options.m_minSlotTimes) {
    return std::nullopt;
  }
  return nanoseconds(static_cast<std::int64_t>(found->second.m_nanoseconds));
}

void
ServerPerformance::KeepOnly(const std::set<BackendServerId>& aListed)
{
  std::erase_if(m_servers, [&](const auto& aEntry) {
    return !aListed.contains(aEntry.first);
  });
  std::erase_if(m_withInvalidLoad, [&](const BackendServerId& aServer) {
    return !aListed.contains(aServer);
  });
}

} // namespace rattanweir
