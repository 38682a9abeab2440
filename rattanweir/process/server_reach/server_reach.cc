#include "rattanweir/process/server_reach/server_reach.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rattanweir {

bool
ServerReach::RecordFailure(const Endpoint& aServer)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  const bool isNew =
    m_unreachable
      .try_emplace(
        aServer,
        Unreachable{ .m_probeAt = now + m_options.m_firstProbeInterval,
                     .m_probeInterval = m_options.m_firstProbeInterval })
      .second;
  if (!isNew) {
    return false;
  }
  m_wantsOthers = true;
  m_failuresSinceContact[aServer] = now;
  if (m_linksLostAt || CountRecentFailures() < FailuresNeeded()) {
    return false;
  }
  m_linksLostAt = now;
  m_nextProbeAt = now + m_options.m_lostLinksProbeInterval;
  return true;
}

bool
ServerReach::RecordContact(const Endpoint& aServer)
{
  const bool wasUnreachable = !IsReachable(aServer);
  m_unreachable.erase(aServer);
  m_failuresSinceContact.clear();
  m_wantsOthers = false;
  if (m_linksLostAt) {
    m_linksLostAt.reset();
    // The servers that failed by themselves are probably reachable again too.
    for (auto& [server, entry] : m_unreachable) {
      entry.m_probeAt = m_options.m_clock.SteadyNow();
      entry.m_probeInterval = m_options.m_firstProbeInterval;
    }
  }
  return wasUnreachable;
}

std::vector<Endpoint>
ServerReach::TakeDueProbes(std::span<const Endpoint> aServers)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  ForgetOthers(aServers);
  std::vector<Endpoint> due;
  if (m_linksLostAt) {
    if (now >= m_nextProbeAt && !aServers.empty()) {
      m_nextProbeAt = now + m_options.m_lostLinksProbeInterval;
      due.push_back(NextWhileLinksAreLost(aServers));
    }
    return due;
  }
  if (std::exchange(m_wantsOthers, false)) {
    AddOthers(aServers, due);
  }
  for (auto& [server, entry] : m_unreachable) {
    if (now < entry.m_probeAt) {
      continue;
    }
    entry.m_probeInterval =
      std::min(2 * entry.m_probeInterval, m_options.m_maxProbeInterval);
    entry.m_probeAt = now + entry.m_probeInterval;
    due.push_back(server);
  }
  return due;
}

const Endpoint&
ServerReach::NextWhileLinksAreLost(std::span<const Endpoint> aServers)
{
  // A server that has not failed by itself contradicts a wrong conclusion.
  for (std::size_t step = 0; step < aServers.size(); ++step) {
    const Endpoint& server = aServers[(m_nextServer + step) % aServers.size()];
    if (!m_unreachable.contains(server)) {
      return server;
    }
  }
  return aServers[m_nextServer++ % aServers.size()];
}

void
ServerReach::ForgetOthers(std::span<const Endpoint> aServers)
{
  m_serverCount = aServers.size();
  const auto isOther = [&](const auto& aEntry) {
    return std::ranges::find(aServers, aEntry.first) == aServers.end();
  };
  std::erase_if(m_unreachable, isOther);
  std::erase_if(m_failuresSinceContact, isOther);
  if (aServers.empty()) {
    m_linksLostAt.reset();
  }
}

void
ServerReach::AddOthers(std::span<const Endpoint> aServers,
                       std::vector<Endpoint>& aDue) const
{
  std::size_t wanted =
    FailuresNeeded() - std::min(FailuresNeeded(), CountRecentFailures());
  for (const Endpoint& server : aServers) {
    if (wanted == 0) {
      return;
    }
    if (IsReachable(server)) {
      aDue.push_back(server);
      --wanted;
    }
  }
}

std::size_t
ServerReach::FailuresNeeded() const
{
  const auto fraction = static_cast<std::size_t>(std::ceil(
    m_options.m_fractionToConclude * static_cast<double>(m_serverCount)));
  return std::min(std::max(m_options.m_minFailuresToConclude, fraction),
                  std::max<std::size_t>(m_serverCount, 1));
}

std::size_t
ServerReach::CountRecentFailures() const
{
  const SteadyTime oldest =
    m_options.m_clock.SteadyNow() - m_options.m_evidenceLifetime;
  return static_cast<std::size_t>(
    std::ranges::count_if(m_failuresSinceContact, [&](const auto& aEntry) {
      return aEntry.second >= oldest;
    }));
}

} // namespace rattanweir
